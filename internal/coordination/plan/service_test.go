package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/ownership"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

var size = model.Resources{CPUMillis: 1000, MemoryBytes: 1 << 30}

func clusterWithOneWorker(head model.Head) ClusterState {
	return ClusterState{
		Head:    head,
		Layout:  ownership.Layout{DataCentres: []model.DataCentre{"a"}, ShardsPerDataCentre: 2},
		Workers: []WorkerView{{ID: "w", DataCentre: "a", Capacity: size.Times(8)}},
	}
}

func serviceIntent(instances uint32) []model.Intent {
	s := model.Service{Name: "matcher", Team: "t", Instances: instances, Declared: size}
	return []model.Intent{{Kind: model.IntentService, Name: "matcher", Service: &s}}
}

// Guards against service instances that are never started or never stopped, and against a change of their number that
// would replace all running instances at once.
func TestServiceInstancesAreStartedByAJob(t *testing.T) {
	now := time.Unix(1, 0)
	head := model.Head{Config: model.Config{Version: 4, Teams: []model.Team{{Name: "t"}}}}
	intents := serviceIntent(3)
	p := Make(now, "p", "op", "", intents, clusterWithOneWorker(head))
	assert.Equal(t, len(p.Unmet), 0)
	assert.Equal(t, intents[0].Service.Job, model.JobID(""), "Make modified the intent that was passed to it")
	next, err := Apply(now, head, 1, p, "op")
	assert.NilError(t, err)
	assert.Equal(t, next.Config.Services[0].Job, model.JobID("matcher@5"))
	assert.Equal(t, next.Delegations[0].Job.Class, model.ClassService)
	assert.Equal(t, next.Delegations[0].Count, uint32(3))

	same := Make(now, "q", "op", "", serviceIntent(3), clusterWithOneWorker(next))
	assert.Equal(t, len(same.Unmet)+len(same.Delegations), 0)
	changed := Make(now, "r", "op", "", serviceIntent(4), clusterWithOneWorker(next))
	assert.Assert(t, changed.Blocked)

	remove := []model.Intent{{Kind: model.IntentRemoveService, Name: "matcher"}}
	last, err := Apply(now, next, 2, Make(now, "s", "op", "", remove, clusterWithOneWorker(next)), "op")
	assert.NilError(t, err)
	assert.DeepEqual(t, last.Cancels, []model.JobID{"matcher@5"})
	assert.Equal(t, len(last.Config.Services), 0)
}
