package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/jujubearch/jujubearch/internal/protocol/settings"
	"github.com/jujubearch/jujubearch/internal/transport/daemon"
	"github.com/jujubearch/jujubearch/internal/transport/event"
)

func runCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "run -c FILE",
		Short: "Run the entry until SIGTERM or SIGINT",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := loadSettings(file)
			if err != nil {
				return err
			}
			d, err := daemon.Start(s, event.NewLogger(os.Stderr, s.LogLevel, s.LogFormat))
			if err != nil {
				return errors.Trace(err)
			}
			return waitAndDrain(d)
		},
	}
	addFileFlag(command, &file)
	return command
}

// waitAndDrain drains the entry on the first SIGTERM or SIGINT and ends the drain early on the second.
func waitAndDrain(d *daemon.Daemon) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return errors.Trace(d.Drain(ctx))
}

func addFileFlag(command *cobra.Command, file *string) {
	command.Flags().StringVarP(file, "config", "c", "", "settings file")
	_ = command.MarkFlagRequired("config")
}

func loadSettings(file string) (*settings.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return settings.Load(file, text)
}

func checkCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "check -c FILE",
		Short: "Validate a settings file and print the effective settings",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			s, err := loadSettings(file)
			if err != nil {
				return err
			}
			return s.Write(command.OutOrStdout())
		},
	}
	addFileFlag(command, &file)
	return command
}
