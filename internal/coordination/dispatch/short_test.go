package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Pattern: a burst of wide batches over quick work. Guards against quick tasks that wait for the next pass over a backlog
// of best-effort work. The baseline is the pass interval, by which they were delayed before.
func TestQuickTasksDoNotWaitForTheBacklog(t *testing.T) {
	e := loadedEmulator(20, 60)
	sim := e.sim
	sim.advanceTime(500 * time.Millisecond)
	d := sim.leader
	d.passNeeded, d.nextPass = true, time.Time{}
	d.Advance(sim.now)
	assert.Assert(t, sim.now.Before(d.nextPass), "no backlog")
	d.Actions()
	now := sim.now.Add(passInterval / 10)
	quick := quickJob("00000000000000ff", 1, 1)
	quick.Queue, quick.Accepted = "q", now
	d.AddJob(now, quick, nil, 1)
	d.Advance(now)
	started := 0
	for _, a := range d.Actions() {
		if s, ok := a.(Start); ok {
			assert.Equal(t, s.Run.Task.Job, quick.ID, "only the quick task is placed between two passes")
			started++
		}
	}
	assert.Equal(t, started, 1)
}
