package controllertest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Guards against an urgent task that waits for batch tasks to finish: it must start within 2.1 s, by evicting the tasks
// that are cheapest to evict.
func TestUrgentWorkStartsInTimeOnAFullFleet(t *testing.T) {
	const limit = 2100 * time.Millisecond
	w := New(1)
	w.Build(Topology{
		DataCentres: []model.DataCentre{"a"}, Entries: 1, Workers: 3,
		Capacity: model.Resources{CPUMillis: 4000, MemoryBytes: 1 << 30},
	})
	fill := newDelegation("fill", 0, 12, func(j *model.Job) {
		j.Declared, j.RunTime = model.Resources{CPUMillis: 1000}, time.Hour
	})
	writeInitialHead(w, 1, 0, fill)
	assert.Assert(t, w.RunUntil(10*time.Minute, func() bool { return w.runningCount("fill") == 12 }))
	w.Run(10 * time.Second)
	urgent := newDelegation("urgent", 0, 1, func(j *model.Job) {
		j.Declared, j.RunTime, j.Urgent = model.Resources{CPUMillis: 2000}, time.Hour, true
	})
	updateHead(w, func(h *model.Head) { h.Delegations = append(h.Delegations, urgent) })
	ticks := 0
	for w.runningCount("urgent") == 0 && ticks < 100 {
		w.Run(controller.TickInterval)
		ticks++
	}
	t.Logf("started after %d ticks", ticks)
	assert.Assert(t, time.Duration(ticks)*controller.TickInterval <= limit, "%d ticks", ticks)
	assert.Equal(t, len(w.Violations), 0)
}
