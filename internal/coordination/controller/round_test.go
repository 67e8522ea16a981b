package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/placement"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Guards against batch tasks of a new kind that wait for the reports of others of the kind that no worker can run.
func TestUnrunnableTasksTakeNoTrialStarts(t *testing.T) {
	group := func(cpuMillis int64) *placement.Group {
		return &placement.Group{
			Job:  &model.Job{Kind: "new", Class: model.ClassBatch},
			Need: model.Resources{CPUMillis: cpuMillis}, Tasks: make([]model.Task, 100),
		}
	}
	tooLarge, runnable := group(64_000), group(1000)
	r := &round{
		workers: []placement.Worker{{Capacity: model.Resources{CPUMillis: 32_000}}},
		groups:  []*placement.Group{tooLarge, runnable},
	}
	r.limitUnknownKinds(time.UnixMilli(1_800_000_000_000), &schedulingState{estimates: placement.NewEstimates()})
	const maxTrialTasks = 8
	assert.Equal(t, len(r.groups), 2)
	assert.Equal(t, len(runnable.Tasks), maxTrialTasks)
	assert.Assert(t, len(tooLarge.Tasks) > 0, "nothing is left to report the job as unrunnable")
}
