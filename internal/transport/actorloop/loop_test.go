package actorloop

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// recordingCore records the events of each step. The first step blocks until release is closed.
type recordingCore struct {
	mu      sync.Mutex
	steps   [][]int
	release chan struct{}
	done    chan struct{}
	last    int
}

func (c *recordingCore) Step(_ time.Time, events []int) []struct{} {
	<-c.release
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps = append(c.steps, events)
	if events[len(events)-1] == c.last {
		close(c.done)
	}
	return nil
}

func (c *recordingCore) Snapshot() *int { return new(int) }

// Guards against a backlog of events in which each one costs a round of decisions, and against events that change
// their order or get lost when they are merged.
func TestQueuedEventsAreMergedInOrder(t *testing.T) {
	const events = 100
	core := &recordingCore{release: make(chan struct{}), done: make(chan struct{}), last: events - 1}
	l := Start(Options[[]int, struct{}, int]{
		Core: core, ReplyOf: func(struct{}) (Reply, bool) { return Reply{}, false },
		Merge: func(list [][]int) []int {
			var all []int
			for _, ev := range list {
				all = append(all, ev...)
			}
			return all
		},
		Tick: func() []int { return []int{-1} }, Interval: time.Hour,
	})
	defer l.Stop()
	for n := range events {
		assert.NilError(t, l.Send(context.Background(), []int{n}))
	}
	close(core.release)
	<-core.done
	var seen []int
	for _, step := range core.steps {
		seen = append(seen, step...)
	}
	assert.Equal(t, len(seen), events)
	for n := range events {
		assert.Equal(t, seen[n], n)
	}
	assert.Assert(t, len(core.steps) <= 3, "%d steps", len(core.steps))
}
