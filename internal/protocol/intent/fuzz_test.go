package intent

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Guards against a panic, and against an accepted intent that other packages cannot handle: one without the content
// of its kind, with a negative size or with an invalid name.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[batch a]\ntasks = 3\ncpu = 1.5\nmemory = 2GiB\nrun_time = 3s\nfinish_by = 2026-12-05T06:00:00Z\n"))
	f.Add([]byte("[service s]\nlatency_target = 200ms\n[route r]\nservice = s\npath_prefix = /x\n[team t]\nweight = 2\n"))
	f.Add([]byte("[weights]\nlatency = 1\nthroughput = 2\nevictions = 3\n[shards]\nper_data_centre = 4\n"))
	f.Add([]byte("[cancel a]\n[cancel a]\n[nonsense b]\n"))
	f.Add([]byte("[batch a]\ncpu = NaN\nmemory = -1GB\ntasks = 1\ntasks = 2\n"))
	f.Add([]byte("x = 1\n[batch a]\ncpu = 1e-9\n"))
	f.Add([]byte("[weights x]\nlatency = 1\nthroughput = 2\nevictions = 3\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		intents, err := Parse(text)
		if err != nil {
			var faults *Error
			assert.Assert(t, errors.As(err, &faults) && len(faults.Faults) > 0)
			return
		}
		assert.Assert(t, len(intents) > 0)
		for _, i := range intents {
			assertValid(t, i)
		}
	})
}

func assertValid(t *testing.T, i model.Intent) {
	t.Helper()
	switch i.Kind {
	case model.IntentBatch:
		assert.Assert(t, string(i.Job.ID) == i.Name && i.Job.Tasks > 0 && !i.Job.Declared.IsNegative())
		assert.Assert(t, !i.Job.Declared.IsZero(), "%+v", i.Job)
	case model.IntentService:
		assert.Assert(t, i.Service.Slots > 0 && i.Service.LatencyTarget > 0 && !i.Service.Declared.IsNegative())
	case model.IntentRoute:
		assert.Assert(t, i.Route.Service != "" && i.Route.PathPrefix[0] == '/')
	case model.IntentTeam:
		assert.Assert(t, i.Team.Weight > 0)
	case model.IntentWeights:
		assert.Assert(t, i.Weights.Latency >= 0 && i.Name == "", "%+v", i)
	case model.IntentSetShardNumbers:
		assert.Assert(t, i.ShardsPerDataCentre > 0 && i.ClaimShards > 0 && i.Name == "", "%+v", i)
	default:
		assert.Assert(t, namePattern.MatchString(i.Name), "%+v", i)
	}
}
