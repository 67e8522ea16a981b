package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/jujubearch/jujubearch/internal/protocol/operatorapi"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the entry, its peers and its shards", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return fetch(o, c, operatorapi.PathStatus, printStatus) },
	}
}

func workersCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "workers", Short: "List the workers of all entries", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return fetch(o, c, operatorapi.PathWorkers, printWorkers) },
	}
}

func tasksCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "tasks", Short: "List the tasks of all entries", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return fetch(o, c, operatorapi.PathTasks, printTasks) },
	}
}

func configCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "config", Short: "Show the configuration"}
	parent.AddCommand(
		&cobra.Command{
			Use: "get", Short: "Print the configuration in force", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return fetch(o, c, operatorapi.PathStatus, printConfig) },
		},
		&cobra.Command{
			Use: "history", Short: "List the accepted versions", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return fetch(o, c, operatorapi.PathAudit, printAudit) },
		},
	)
	return parent
}

func auditCommand(o *options) *cobra.Command {
	var filter auditFilter
	command := &cobra.Command{
		Use: "audit", Short: "Print the audit trail", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			content, err := o.call(http.MethodGet, operatorapi.PathAudit, nil)
			if err != nil {
				return err
			}
			return showAudit(o, c.OutOrStdout(), content, filter)
		},
	}
	flags := command.Flags()
	flags.StringVar(&filter.operator, "by", "", "only changes by this operator")
	flags.StringVar(&filter.plan, "plan", "", "only the change of this plan")
	flags.DurationVar(&filter.within, "within", 0, "only changes within this time, for example 24h")
	return command
}

// auditFilter selects audit entries; a zero field matches every entry.
type auditFilter struct {
	operator string
	plan     string
	within   time.Duration
}

func (f auditFilter) matches(e operatorapi.AuditEntry, now time.Time) bool {
	if f.operator != "" && e.Operator != f.operator {
		return false
	}
	if f.plan != "" && string(e.Plan) != f.plan {
		return false
	}
	return f.within == 0 || now.Sub(e.At) <= f.within
}

func showAudit(o *options, w io.Writer, content []byte, filter auditFilter) error {
	var entries []operatorapi.AuditEntry
	if err := json.Unmarshal(content, &entries); err != nil {
		return errors.Annotate(err, "response")
	}
	now := time.Now()
	entries = slices.DeleteFunc(entries, func(e operatorapi.AuditEntry) bool { return !filter.matches(e, now) })
	if o.output == "json" {
		return errors.Trace(json.NewEncoder(w).Encode(entries))
	}
	printAudit(w, entries)
	return nil
}

func printStatus(w io.Writer, s operatorapi.Status) {
	_, _ = fmt.Fprintf(w, "entry %s in %s (%s)  ready=%t draining=%t\n", s.Entry, s.DataCentre, s.Region, s.Ready, s.Draining)
	_, _ = fmt.Fprintf(w, "configuration version %d, source=%s\n", s.ConfigVersion, s.ConfigSource)
	_, _ = fmt.Fprintf(w, "shards %v, workers %d, tasks not finished %d\n", s.Shards, len(s.Workers), len(s.Tasks))
	for _, p := range s.Peers {
		_, _ = fmt.Fprintf(w, "peer %s in %s: %s, version %d, round trip %d us\n", p.ID, p.DataCentre, p.Status, p.ConfigVersion, p.RoundTripMicros)
	}
}

func printWorkers(w io.Writer, s operatorapi.Workers) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ID\tDATA CENTRE\tRACK\tSHARD\tUSABLE\tRESERVED CPU\tCPU\tRUNS")
	for _, r := range s.Workers {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%t\t%d\t%d\t%d\n",
			r.ID, r.DataCentre, r.Rack, r.Shard, r.Usable, r.Reserved.CPUMillis, r.Capacity.CPUMillis, r.Runs)
	}
	_ = table.Flush()
	printUnreachable(w, s.Unreachable)
}

func printTasks(w io.Writer, s operatorapi.Tasks) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "TASK\tKIND\tPHASE\tATTEMPT\tWORKER\tFAILURES")
	for _, r := range s.Tasks {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\n",
			r.Task.ID, r.Kind, r.Task.Phase, r.Task.Attempt, r.Task.Worker, r.Task.Failures)
	}
	_ = table.Flush()
	printUnreachable(w, s.Unreachable)
}

func printUnreachable(w io.Writer, entries []model.EntryID) {
	for _, id := range entries {
		_, _ = fmt.Fprintf(w, "incomplete: entry %s did not answer\n", id)
	}
}

func printConfig(w io.Writer, s operatorapi.Status) {
	c := s.Config
	_, _ = fmt.Fprintf(w, "version %d\n", c.Version)
	for _, service := range c.Services {
		_, _ = fmt.Fprintf(w, "service %s: %v at p%v, %d slots, %d connections\n",
			service.Name, service.LatencyTarget, service.Percentile, service.Slots, service.Connections)
	}
	for _, route := range c.Routes {
		_, _ = fmt.Fprintf(w, "route %s: %s%s to %s\n", route.Name, route.Host, route.PathPrefix, route.Service)
	}
	for _, team := range c.Teams {
		_, _ = fmt.Fprintf(w, "team %s: weight %d, quota %+v\n", team.Name, team.Weight, team.Quota)
	}
}

func printAudit(w io.Writer, entries []operatorapi.AuditEntry) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SEQUENCE\tTIME\tOPERATOR\tPLAN\tVERSION\tCHANGE\tOUTCOME")
	for _, e := range entries {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%d -> %d\t%s\t%s\n",
			e.Sequence, e.At.Format("2006-01-02T15:04:05Z07:00"), e.Operator, e.Plan, e.VersionBefore, e.VersionAfter, e.Summary, e.Outcome)
	}
	_ = table.Flush()
}
