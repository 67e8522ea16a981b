// Package capacity computes the tables of docs/CAPACITY.md: the resources that the control of an installation needs,
// extrapolated from measurements. TestMeasureSlopes makes the measurements, fits lines to them and stores these in
// docs/capacity.json.
package capacity

import (
	"fmt"
	"strings"
)

// The size of the installation for which the tables are computed.
const (
	Workers         = 1100
	RunningTasks    = 24_400
	StartsPerSecond = 1100
	DataCentres     = 4
	ShardsPerCentre = 16
	ChangesPerDay   = 800
	JobsPerDay      = 4700
)

// The resources that one node, on which one entry runs, may spend on control.
const (
	BudgetCorePercent = 2.0
	BudgetMegabytes   = 64.0
	BudgetKilobytes   = 29.0
)

// Line is a straight line fitted to measurements by linear regression.
type Line struct {
	// X names the independent variable; Unit is the unit of the value.
	X    string
	Unit string
	// At and Values are the measurements: Values[i] was measured at X = At[i].
	At     []float64
	Values []float64
	// Base is the value at X = 0, Slope the growth per unit of X, R2 the coefficient of determination of the fit.
	Base  float64
	Slope float64
	R2    float64
}

// Value returns the fitted value at x.
func (l Line) Value(x float64) float64 { return l.Base + l.Slope*x }

// Total returns the sum of the values of all data centres, each of which has an equal share of x.
func (l Line) Total(x float64) float64 { return DataCentres * l.Value(x/DataCentres) }

// Slopes holds all fitted lines. All but HeartbeatBytes were measured in one data centre.
type Slopes struct {
	// StepMicrosPerSecond is the CPU time of controller steps, by workers with 22 running tasks each.
	StepMicrosPerSecond Line
	// StartMicros is the CPU time of controller steps, by task starts per second.
	StartMicros Line
	// OrderCalls is the number of calls to workers per second, by workers.
	OrderCalls Line
	// OrderBytes is the bytes of orders and reports per second, by workers with 22 running tasks each.
	OrderBytes Line
	// StartOrderBytes is the bytes of orders and reports per second, by task starts per second.
	StartOrderBytes Line
	// StoreWrites is the number of store writes per second, by task starts per second.
	StoreWrites Line
	// StoreBytes is the bytes of store writes per second, by task starts per second.
	StoreBytes Line
	// HeapBytes is the heap memory of the controllers, by running tasks.
	HeapBytes Line
	// HeartbeatBytes is the bytes of heartbeats that one entry sends per second, by entries.
	HeartbeatBytes Line
}

// Row is a row of a table: a role, a resource that it uses and the mechanism that limits the use.
type Row struct {
	Role, Resource, Mechanism string
	Total, PerNode            float64 // PerNode is Total divided by the number of entries.
	Unit                      string
	// Budget is what one node may use; 0 means that there is no budget.
	Budget float64
}

// microsPerCorePercent is the CPU time per second, in microseconds, of 1% of a core.
const microsPerCorePercent = 10_000

// Rows computes the table of an installation with a number of entries.
func Rows(s Slopes, entries float64) []Row {
	step := s.StepMicrosPerSecond.Total(Workers) + s.StartMicros.Slope*StartsPerSecond
	orders := s.OrderBytes.Total(Workers) + s.StartOrderBytes.Slope*StartsPerSecond
	calls := s.OrderCalls.Total(Workers)
	writes := s.StoreWrites.Total(StartsPerSecond)
	store := s.StoreBytes.Total(StartsPerSecond)
	heap := s.HeapBytes.Total(RunningTasks)
	heartbeats := s.HeartbeatBytes.Value(entries)
	const shards = DataCentres * ShardsPerCentre
	return []Row{
		{
			"owner of worker shards", "processor time of decisions", "shards; indexed tasks; one round per tick",
			step / microsPerCorePercent, step / microsPerCorePercent / entries, "% of a core", BudgetCorePercent,
		},
		{
			"owner of worker shards", "calls to workers", "one batch of orders per worker in flight",
			calls, calls / entries, "calls/s", 0,
		},
		{
			"owner of worker shards", "orders and reports", "batches",
			orders / 1000, orders / 1000 / entries, "KB/s", BudgetKilobytes,
		},
		{
			"owner of worker shards", "state in memory", "finished tasks leave the state",
			heap / 1e6, heap / 1e6 / entries, "MB", BudgetMegabytes,
		},
		{
			"writer of journals", "store writes", fmt.Sprintf("group commit in %d journals", shards),
			writes, writes / entries, "writes/s", 0,
		},
		{
			"writer of journals", "bytes to the store", "entries hold changes only; a snapshot each 32",
			store / 1000, store / 1000 / entries, "KB/s", BudgetKilobytes,
		},
		{
			"member", "heartbeats sent", "one message per peer each 500 ms",
			heartbeats * entries / 1000, heartbeats / 1000, "KB/s", BudgetKilobytes,
		},
		{
			"follower of configuration", "store calls", "one waiting watch per entry",
			configurationCalls(entries), configurationCalls(entries) / entries, "calls/s", 0,
		},
	}
}

const secondsPerDay = 86_400

// configurationCalls returns the store calls per second on the head record, which holds the configuration and the
// delegated jobs: a write per change of the configuration and two per job, the return of every entry's watch for each
// write, and the renewal of every watch once a minute (1440 a day).
func configurationCalls(entries float64) float64 {
	const headWrites, renewals = ChangesPerDay + 2*JobsPerDay, 1440
	return (headWrites + entries*(headWrites+renewals)) / secondsPerDay
}

// Table renders rows as Markdown.
func Table(rows []Row) string {
	var b strings.Builder
	b.WriteString("| Role | What | In all | Per entry | Budget per node | Mechanism |\n|---|---|---|---|---|---|\n")
	for _, r := range rows {
		budget := "–"
		if r.Budget > 0 {
			budget = fmt.Sprintf("%.0f %s", r.Budget, r.Unit)
			if r.PerNode > r.Budget {
				budget += fmt.Sprintf(", **exceeded %.1f times**", r.PerNode/r.Budget)
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %.1f %s | %.2f %s | %s | %s |\n",
			r.Role, r.Resource, r.Total, r.Unit, r.PerNode, r.Unit, budget, r.Mechanism)
	}
	return b.String()
}
