package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/jujubearch/jujubearch/internal/protocol/operatorapi"
)

func intentCommand(o *options) *cobra.Command {
	var file string
	submit := &cobra.Command{
		Use:   "submit -f FILE",
		Short: "Print the plan for an intent file; changes nothing",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return errors.Trace(err)
			}
			content, err := o.call(http.MethodPost, operatorapi.PathPlans, text)
			if err != nil {
				return err
			}
			return printResponse(o, command.OutOrStdout(), content, printPlan)
		},
	}
	submit.Flags().StringVarP(&file, "file", "f", "", "intent file")
	_ = submit.MarkFlagRequired("file")
	parent := &cobra.Command{Use: "intent", Short: "State intents"}
	parent.AddCommand(submit)
	return parent
}

func planCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "plan", Short: "List, show, confirm and reject plans"}
	parent.AddCommand(
		&cobra.Command{Use: "list", Short: "List plans", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			return fetch(o, c, operatorapi.PathPlans, printPlans)
		}},
		&cobra.Command{Use: "show ID", Short: "Show a plan", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			return fetch(o, c, operatorapi.PathPlans+"/"+url.PathEscape(args[0]), func(w io.Writer, plans []operatorapi.Plan) {
				for _, p := range plans {
					printPlan(w, p)
				}
			})
		}},
		&cobra.Command{Use: "confirm ID", Short: "Carry out a plan", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			return post(o, c, args[0]+"/confirm", func(w io.Writer, confirmation operatorapi.Confirmation) {
				_, _ = fmt.Fprintf(w, "plan %s is in force as version %d\n", confirmation.Plan, confirmation.Entry.VersionAfter)
			})
		}},
		&cobra.Command{Use: "reject ID", Short: "Reject a plan", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			return post(o, c, args[0]+"/reject", printPlan)
		}},
	)
	return parent
}

func fetch[T any](o *options, c *cobra.Command, path string, text func(io.Writer, T)) error {
	content, err := o.call(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return printResponse(o, c.OutOrStdout(), content, text)
}

func post[T any](o *options, c *cobra.Command, path string, text func(io.Writer, T)) error {
	content, err := o.call(http.MethodPost, operatorapi.PathPlans+"/"+path, nil)
	if err != nil {
		return err
	}
	return printResponse(o, c.OutOrStdout(), content, text)
}

func printPlan(w io.Writer, p operatorapi.Plan) {
	_, _ = fmt.Fprintf(w, "plan %s  %s  made by %s from version %d\n", p.ID, p.Status, p.Operator, p.BaseVersion)
	for _, s := range p.Steps {
		_, _ = fmt.Fprintf(w, "  %-9s %s: %s\n", s.Kind, s.Target, s.Detail)
	}
	for _, e := range p.Effects {
		_, _ = fmt.Fprintf(w, "  effect    %s of %s: %s -> %s %s\n", e.Measure, e.Subject, e.Before, e.After, e.Note)
	}
	for _, u := range p.Unmet {
		_, _ = fmt.Fprintf(w, "  not met   %s: %s\n", u.Subject, u.Reason)
	}
	if p.Status == "open" {
		_, _ = fmt.Fprintf(w, "confirm with: jujubearch plan confirm %s\n", p.ID)
	}
}

func printPlans(w io.Writer, plans []operatorapi.Plan) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ID\tSTATUS\tOPERATOR\tBASE VERSION\tINTENTS")
	for _, p := range plans {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\n", p.ID, p.Status, p.Operator, p.BaseVersion, len(p.Intents))
	}
	_ = table.Flush()
}
