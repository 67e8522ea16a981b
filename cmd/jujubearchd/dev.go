package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/jujubearch/jujubearch/internal/transport/daemon"
	"github.com/jujubearch/jujubearch/internal/transport/event"
)

func devCommand() *cobra.Command {
	var once bool
	command := &cobra.Command{
		Use:   "dev",
		Short: "Run an entry with stand-ins of the whole platform in one process on loopback",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runDev(command.OutOrStdout(), once)
		},
	}
	command.Flags().BoolVar(&once, "once", false, "stop after the first request was answered")
	return command
}

func runDev(out io.Writer, once bool) error {
	site, err := daemon.StartDev(event.NewLogger(os.Stderr, "info", "text"))
	if err != nil {
		return errors.Trace(err)
	}
	defer site.Close()
	body, err := waitForFirstResponse("http://" + site.Daemon.CallerAddress + "/matcher/search")
	if err != nil {
		return errors.Trace(err)
	}
	d := site.Daemon
	_, _ = fmt.Fprintf(out, `callers    http://%s/matcher/
operators  http://%s
peers      http://%s

first request answered: %s
Try next, in another shell:
  export JUJUBEARCH_ADDRESS=http://%s
  go run ./cmd/jujubearch intent submit -f examples/batch.ini
  go run ./cmd/jujubearch status
`, d.CallerAddress, d.OperatorAddress, d.PeerAddress, body, d.OperatorAddress)
	if once {
		return nil
	}
	return waitAndDrain(d)
}

// firstResponseTimeout bounds the wait for the first successful response of the entry.
const firstResponseTimeout = 15 * time.Second

func waitForFirstResponse(url string) (string, error) {
	deadline := time.Now().Add(firstResponseTimeout)
	for {
		status, body, err := get(url)
		if err == nil && status == http.StatusOK {
			return body, nil
		}
		if time.Now().After(deadline) {
			return "", errors.Errorf("no answer from %s: status %d, %s", url, status, body)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func get(url string) (int, string, error) {
	response, err := http.Get(url)
	if err != nil {
		return 0, "", errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), errors.Trace(err)
}
