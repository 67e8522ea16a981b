package daemon

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/protocol/intent"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/transport/control"
	"github.com/jujubearch/jujubearch/internal/transport/standin"
)

const clusterIntents = `
[shards]
per_data_centre = 2
claim = 4

[team default]
weight = 1

[service matcher]
latency_target = 150ms

[route matcher]
path_prefix = /matcher
service = matcher
`

const tasksPerBatch = 18

func batchText(name string) string {
	return fmt.Sprintf("[batch %s]\ntasks = %d\ncpu = 1\nmemory = 1GB\nrun_time = 1200ms\nexclusive = true\n", name, tasksPerBatch)
}

// apply submits and confirms intents through the running entries in turn until a confirmation succeeds. Each try
// submits a new plan.
func (c *cluster) apply(text string) {
	c.t.Helper()
	intents, err := intent.Parse([]byte(text))
	assert.NilError(c.t, err)
	tries := 0
	waitFor(c.t, "a confirmed plan", func() bool {
		for _, m := range c.members {
			tries++
			if d := m.current(); d != nil && c.tryApply(d, intents, tries) {
				return true
			}
		}
		return false
	})
}

func (c *cluster) tryApply(d *Daemon, intents []model.Intent, try int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	id := model.PlanID(fmt.Sprintf("%s-%d-%d", d.settings.Entry, try, time.Now().UnixNano()))
	plan, err := control.AskTyped[model.Plan](ctx, d.Actor(), func(to controller.ReplyTo) controller.Event {
		return controller.PlanSubmitted{ReplyTo: to, ID: id, Operator: "test", Intents: intents}
	})
	if err != nil || len(plan.Unmet) > 0 {
		return false
	}
	_, err = control.AskTyped[controller.Confirmation](ctx, d.Actor(), func(to controller.ReplyTo) controller.Event {
		return controller.PlanConfirmed{ReplyTo: to, ID: id, Operator: "test"}
	})
	return err == nil
}

// waitForUsableWorkers waits until every worker is usable, which requires that the owner of its shard has fenced it.
func (c *cluster) waitForUsableWorkers() {
	waitFor(c.t, "all workers to be usable", func() bool {
		usable := 0
		for _, m := range c.members {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			status, err := m.current().Actor().Status(ctx)
			cancel()
			if err != nil {
				return false
			}
			for _, w := range status.Workers {
				if w.Usable {
					usable++
				}
			}
		}
		return usable == len(c.workers)
	})
}

// faultScenario injects faults while requests and tasks run. It ends outages, pauses and partitions before run returns.
type faultScenario struct {
	name string
	run  func(c *cluster)
}

var faultScenarios = []faultScenario{
	{"entry killed and replaced while the store loses responses", func(c *cluster) {
		c.store.SetFaults(standin.StoreFaults{LoseResponses: 10})
		c.kill(0)
		time.Sleep(2 * time.Second)
		c.start(0)
		time.Sleep(2 * time.Second)
	}},
	{"store down, then slow, with an entry restarted meanwhile", func(c *cluster) {
		c.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(time.Second)
		c.kill(3)
		c.start(3)
		time.Sleep(2 * time.Second)
		c.store.SetFaults(standin.StoreFaults{Delay: 200 * time.Millisecond})
		time.Sleep(2 * time.Second)
		c.store.SetFaults(standin.StoreFaults{})
	}},
	{"entry isolated in both directions and another killed", func(c *cluster) {
		c.isolate(1, true)
		time.Sleep(time.Second)
		c.kill(4)
		time.Sleep(3 * time.Second)
		c.isolate(1, false)
		c.start(4)
		time.Sleep(time.Second)
	}},
	{"control actor paused beyond its session TTL while a rack fails", func(c *cluster) {
		resume := c.pause(0)
		time.Sleep(time.Second)
		c.killRack("lju-a-r0")
		time.Sleep(controller.SessionTTL + 2*time.Second)
		resume()
		time.Sleep(2 * time.Second)
	}},
	{"entry partitioned one way from the platform and its peers", func(c *cluster) {
		self := string(c.members[2].settings.Entry)
		for _, other := range []string{"platform", "lju-a-0", "lju-b-1"} {
			c.network.setBlocked(self, other, true)
		}
		c.store.SetFaults(standin.StoreFaults{LoseResponses: 5})
		time.Sleep(4 * time.Second)
		for _, other := range []string{"platform", "lju-a-0", "lju-b-1"} {
			c.network.setBlocked(self, other, false)
		}
		time.Sleep(time.Second)
	}},
}

// killRack kills the workers of a rack and removes them from the VM list.
func (c *cluster) killRack(rack string) {
	c.vms.Update(func(vms []model.VM) []model.VM {
		return slices.DeleteFunc(vms, func(vm model.VM) bool {
			if vm.Rack != rack {
				return false
			}
			for _, w := range c.workers {
				if string(w.ID()) == string(vm.ID) {
					w.Kill()
				}
			}
			return true
		})
	})
}

// Guards against broken guarantees when two or three faults coincide. Six entries over real sockets serve callers and
// run exclusive tasks through each scenario; at the end, the outcomes of all requests and the runs of all tasks are
// checked.
func TestGuaranteesHoldThroughFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about two minutes")
	}
	for _, s := range faultScenarios {
		t.Run(s.name, func(t *testing.T) {
			c := startCluster(t)
			c.apply(clusterIntents)
			c.waitForUsableWorkers()
			l := startLoad(c)
			c.apply(batchText("first"))
			s.run(c)
			c.apply(batchText("second"))
			c.waitForFinishedTasks(2 * tasksPerBatch)
			checkRequests(t, c, l.finish())
			checkTasks(t, c)
		})
	}
}

const taskCompletionTimeout = 60 * time.Second

// waitForFinishedTasks waits until at least count tasks have finished, up to taskCompletionTimeout.
func (c *cluster) waitForFinishedTasks(count int) {
	c.t.Helper()
	deadline := time.Now().Add(taskCompletionTimeout)
	for {
		finished := len(c.finishedRuns())
		if finished >= count {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("%d of %d tasks finished", finished, count)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// finishedRuns returns the number of finished runs of each task.
func (c *cluster) finishedRuns() map[model.TaskID]int {
	finished := make(map[model.TaskID]int)
	for _, w := range c.workers {
		for _, e := range w.Ends() {
			if e.Finished {
				finished[e.Task]++
			}
		}
	}
	return finished
}

// checkTasks checks that no task finished twice and that no two runs of a task overlapped.
func checkTasks(t *testing.T, c *cluster) {
	t.Helper()
	for id, count := range c.finishedRuns() {
		assert.Equal(t, count, 1, "task %s finished %d times", id, count)
	}
	runs := make(map[model.TaskID][]standin.EndRecord)
	for _, w := range c.workers {
		for _, e := range w.Ends() {
			runs[e.Task] = append(runs[e.Task], e)
		}
	}
	for id, list := range runs {
		slices.SortFunc(list, func(a, b standin.EndRecord) int { return cmp.Compare(a.Attempt, b.Attempt) })
		for i := 1; i < len(list); i++ {
			assert.Assert(t, !list[i].Started.Before(list[i-1].At), "attempts %d and %d of task %s overlap",
				list[i-1].Attempt, list[i].Attempt, id)
		}
	}
}

// Guards against requests that are lost or aborted while all entries are restarted gracefully, one after another.
func TestRollingRestartLosesNoRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about 20 seconds")
	}
	c := startCluster(t)
	c.apply(clusterIntents)
	c.waitForUsableWorkers()
	l := startLoad(c)
	c.apply(batchText("first"))
	for i := range c.members {
		assert.NilError(t, c.drain(i))
		c.start(i)
		waitFor(t, "the restarted entry to be ready", func() bool {
			return c.members[i].current().Actor().Snapshot().Ready
		})
	}
	c.waitForFinishedTasks(tasksPerBatch)
	outcomes := l.finish()
	checkRequests(t, c, outcomes)
	checkTasks(t, c)
	for _, o := range outcomes {
		// The response to an abandoned first try may have been kept only by an entry that was replaced since. The
		// request then ran once, and retries are refused with the verdict may-have-run.
		wasAbandoned := o.kind == kindKeyedWrite && c.executions.count(o.id) == 1
		assert.Assert(t, o.answered || o.notRun || wasAbandoned, "request %s (kind %d, ran %d times) was aborted: %q",
			o.id, o.kind, c.executions.count(o.id), o.trace)
	}
}
