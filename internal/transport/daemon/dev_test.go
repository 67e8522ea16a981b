package daemon

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/protocol/intent"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/transport/control"
)

func startSite(t *testing.T) *DevSite {
	t.Helper()
	site, err := StartDev(slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	t.Cleanup(site.Close)
	return site
}

// waitFor polls a condition until it holds and fails the test after ten seconds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// Guards against a broken path from a caller to an upstream instance.
func TestRequestReachesAnInstance(t *testing.T) {
	site := startSite(t)
	url := "http://" + site.Daemon.CallerAddress + "/matcher/search"
	waitFor(t, "a response from an instance", func() bool {
		response, err := http.Get(url)
		if err != nil {
			return false
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return err == nil && response.StatusCode == http.StatusOK && len(body) > 0
	})
}

const batchIntent = `
[batch scoring]
tasks = 12
cpu = 4
memory = 8GB
run_time = 30s
exclusive = true
`

// Guards against a repeated confirmation of a plan that starts its tasks a second time.
func TestPlanConfirmedTwiceStartsItsTasksOnce(t *testing.T) {
	site := startSite(t)
	intents, err := intent.Parse([]byte(batchIntent))
	assert.NilError(t, err)
	ctx := context.Background()
	actor := site.Daemon.Actor()
	waitFor(t, "the workers of the VM list, which appear after its lag", func() bool {
		status, err := actor.Status(ctx)
		return err == nil && len(status.Workers) == devWorkers
	})
	plan, err := control.AskTyped[model.Plan](ctx, actor, func(to controller.ReplyTo) controller.Event {
		return controller.PlanSubmitted{ReplyTo: to, ID: "p1", Operator: "test", Intents: intents}
	})
	assert.NilError(t, err)
	assert.Equal(t, len(plan.Unmet), 0)
	for _, repeated := range []bool{false, true} {
		c, err := control.AskTyped[controller.Confirmation](ctx, actor, func(to controller.ReplyTo) controller.Event {
			return controller.PlanConfirmed{ReplyTo: to, ID: plan.ID, Operator: "test"}
		})
		assert.NilError(t, err)
		assert.Equal(t, c.Repeated, repeated)
	}
	waitFor(t, "12 running tasks", func() bool { return countRunning(site) == 12 })
	started := make(map[model.TaskID]int)
	for _, w := range site.Workers {
		for _, s := range w.Starts() {
			started[s.Task]++
		}
	}
	assert.Equal(t, len(started), 12)
	for id, count := range started {
		assert.Equal(t, count, 1, id.String())
	}
}

func countRunning(site *DevSite) int {
	running := 0
	for _, w := range site.Workers {
		running += len(w.Running())
	}
	return running
}
