package retry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// Guards against a kind without an outcome, and against a changed verdict: only the kinds in notRun prove that the
// request did not run.
func TestVerdictsOfKinds(t *testing.T) {
	notRun := []Kind{
		KindResponseNotRun, KindDialRefused, KindDialTimeout, KindDialFailed, KindNoConnection, KindNotWritten,
		KindStreamRefused, KindGoAwayUnprocessed,
	}
	names := make(map[string]bool)
	for _, k := range Kinds() {
		o := k.Outcome()
		assert.Assert(t, o.Name != "" && o.Reason != "" && !names[o.Name], k)
		names[o.Name] = true
		want := verdict.MayHaveRun
		switch {
		case slices.Contains(notRun, k):
			want = verdict.NotRun
		case k == KindResponse:
			want = verdict.Ran
		}
		assert.Equal(t, o.Verdict, want, o.Name)
		for _, a := range []Attempt{
			{Kind: k}, {Kind: k, Keyed: true, Idempotent: true}, {Kind: k, Idempotent: true, BodyRead: true},
		} {
			if MayRepeat(a) {
				assert.Equal(t, o.Verdict, verdict.NotRun, "%s is repeated without proof: %+v", o.Name, a)
				assert.Assert(t, !a.BodyRead)
			}
		}
	}
	assert.Equal(t, Kind(250).Outcome().Name, "unknown")
}

// Guards against attempts above 1.1 times the requests at any moment, in total and for each destination.
func TestAttemptsStayWithinTheBudget(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		var service Budget
		destinations := make([]Budget, 4)
		requests, extras := make([]int, 4), make([]int, 4)
		var allRequests, allExtras int
		for range 5000 {
			d := random.IntN(4)
			if random.IntN(3) > 0 {
				service.CountRequest()
				destinations[d].CountRequest()
				requests[d]++
				allRequests++
			} else if TryAcquireBoth(&service, &destinations[d]) {
				extras[d]++
				allExtras++
			}
			assert.Assert(t, 10*allExtras <= allRequests)
			assert.Assert(t, 10*extras[d] <= requests[d])
		}
		assert.Assert(t, allExtras > 0)
	}
}

// Guards against hedges that start at the wrong time: the estimate must be at most one bucket, 12.5%, above the true
// value.
func TestP95(t *testing.T) {
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 4))
		var l Latency
		var samples []time.Duration
		for range 4 * windowSamples {
			d := time.Duration(random.ExpFloat64() * float64(10*time.Millisecond))
			l.Observe(d)
			samples = append(samples, d)
		}
		slices.Sort(samples)
		low, high := samples[len(samples)*92/100], samples[len(samples)*98/100]
		assert.Assert(t, l.P95() >= low && l.P95() <= high+high/8, "%v is not in %v to %v", l.P95(), low, high)
	}
	for d := time.Duration(1); d > 0 && d < time.Hour; d = d*3/2 + 1 {
		assert.Assert(t, upperBound(bucketOf(d)) >= d && upperBound(bucketOf(d)) <= d+d/subBuckets, d)
	}
}

// Guards against hedges of requests that must not run twice.
func TestOnlyIdempotentRequestsWithoutKeyAreHedged(t *testing.T) {
	assert.Assert(t, MayHedge(true, false, false))
	assert.Assert(t, !MayHedge(false, false, false))
	assert.Assert(t, !MayHedge(true, true, false))
	assert.Assert(t, !MayHedge(true, false, true))
}
