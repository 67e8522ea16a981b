package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/jujubearch/jujubearch/internal/protocol/jobapi"
)

func jobCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "job", Short: "Submit, inspect and cancel jobs of an entry that serves"}
	parent.AddCommand(jobSubmitCommand(o), jobGetCommand(o), jobCancelCommand(o), jobQueueCommand(o))
	return parent
}

// fillPath replaces the placeholders in a path of the job API. names holds pairs of a placeholder and its value.
func fillPath(path string, names ...string) string {
	return strings.NewReplacer(names...).Replace(path)
}

func printJob(w io.Writer, s jobapi.Status) { _, _ = fmt.Fprintf(w, "%s %s\n", s.ID, s.Phase) }

func jobSubmitCommand(o *options) *cobra.Command {
	var file string
	command := &cobra.Command{
		Use: "submit QUEUE ID -f FILE", Short: "Submit a job; the same id is the same job", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return errors.Trace(err)
			}
			path := fillPath(jobapi.PathSubmit, "{queue}", url.PathEscape(args[0]), "{id}", url.PathEscape(args[1]))
			content, err := o.call(http.MethodPut, path, text)
			if err != nil {
				return err
			}
			return printResponse(o, c.OutOrStdout(), content, printJob)
		},
	}
	command.Flags().StringVarP(&file, "file", "f", "", "job file (JSON)")
	_ = command.MarkFlagRequired("file")
	return command
}

func jobGetCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "get ID", Short: "Print the phase of a job", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return fetch(o, c, fillPath(jobapi.PathJob, "{id}", url.PathEscape(args[0])), printJob)
		},
	}
}

func jobCancelCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "cancel ID", Short: "Cancel a job", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			content, err := o.call(http.MethodDelete, fillPath(jobapi.PathJob, "{id}", url.PathEscape(args[0])), nil)
			if err != nil {
				return err
			}
			return printResponse(o, c.OutOrStdout(), content, printJob)
		},
	}
}

func jobQueueCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "queue NAME", Short: "Print how many jobs of a queue have not begun", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return fetch(o, c, fillPath(jobapi.PathPending, "{queue}", url.PathEscape(args[0])), func(w io.Writer, q jobapi.Queue) {
				_, _ = fmt.Fprintf(w, "%s on %s: %d pending\n", q.Name, q.Service, q.Pending)
			})
		},
	}
}
