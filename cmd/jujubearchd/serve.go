package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/jujubearch/jujubearch/internal/protocol/settings"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/transport/event"
	"github.com/jujubearch/jujubearch/internal/transport/jobdaemon"
	"github.com/jujubearch/jujubearch/platform"
)

// settingsEnv is the environment variable with the default of the flag --config.
const settingsEnv = "JUJUBEARCH_SETTINGS"

func serveCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "serve [-c FILE]",
		Short: "Run an entry that schedules jobs on the users' platform until SIGTERM or SIGINT",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return serve(file) },
	}
	command.Flags().StringVarP(&file, "config", "c", os.Getenv(settingsEnv), "settings file")
	return command
}

func serve(file string) error {
	s, err := loadJobSettings(file)
	if err != nil {
		return err
	}
	output := event.NewAsyncWriter(os.Stdout)
	defer output.Close()
	logger := output.NewLogger(s.LogLevel, s.LogFormat)
	stop, reload := notifySignals()
	client := platform.NewHTTPClient()
	store := platform.NewStore(client, s.StoreAddress)
	d, err := jobdaemon.Start(s, logger, jobdaemon.Adapter{
		Store: store, Workers: platform.NewWorkerClient(client), Directory: platform.NewDirectory(store, logger),
		Advisor:       platform.NewAdviceClient(client, s.AdviceAddress),
		CallerHandler: platform.NewJobHandler, HealthHandler: platform.ReadyHandler, DroppedLogLines: output.Dropped,
	})
	if err != nil {
		return errors.Trace(err)
	}
	for {
		select {
		case <-stop:
			d.Drain(context.Background())
			return nil
		case <-reload:
			// SIGHUP only validates the settings file and logs the result; the entry keeps the settings that it started with.
			_, err := loadJobSettings(file)
			event.Log(logger, notice.SettingsReloaded, notice.Attr{Key: "file", Value: file},
				notice.Attr{Key: "error", Value: errorText(err)})
		}
	}
}

// notifySignals returns the channels of the signals that stop the entry and of those that reload its settings. They are
// separate, because a signal is dropped while its channel is full.
func notifySignals() (stop, reload <-chan os.Signal) {
	stopping := make(chan os.Signal, 1)
	signal.Notify(stopping, syscall.SIGTERM, syscall.SIGINT)
	reloading := make(chan os.Signal, 1)
	signal.Notify(reloading, syscall.SIGHUP)
	return stopping, reloading
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func loadJobSettings(file string) (*settings.JobSettings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return settings.LoadJobSettings(file, text)
}
