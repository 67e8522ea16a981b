package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// headroomOfOscillatingLoad is the headroom under a load that varies by half around its mean with a period of 10 s.
func headroomOfOscillatingLoad(at time.Duration) float64 {
	return 6 * (1 - 0.48*(1+0.5*math.Sin(2*math.Pi*at.Seconds()/10)))
}

// Guards against a filter that lags so far behind an oscillating load that paces are set too late.
func TestLoadFilterFollowsOscillatingLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	begin := time.UnixMilli(1_800_000_000_000)
	var f loadFilter
	squares, n := 0.0, 0
	for at := time.Duration(0); at < 60*time.Second; at += 80 * time.Millisecond {
		reported := headroomOfOscillatingLoad(at) * (1 + 0.1*random.NormFloat64())
		f.observe(begin.Add(at), reported, headroomVariance(reported))
		if at > 10*time.Second {
			residual := f.predict(begin.Add(at), paceHorizon) - headroomOfOscillatingLoad(at+paceHorizon)
			squares += residual * residual
			n++
		}
	}
	rms := math.Sqrt(squares / float64(n))
	assert.Assert(t, rms < paceMarginError, "RMS error of the headroom predicted half a second ahead: %.2f", rms)
}

// Guards against one serving task beside a new best-effort task that lowers the estimate for all tasks of its step.
func TestLoadFilterResistsOutlier(t *testing.T) {
	begin := time.UnixMilli(1_800_000_000_000)
	var f loadFilter
	for i := range 100 {
		f.observe(begin.Add(time.Duration(i)*80*time.Millisecond), 3, headroomVariance(3))
	}
	now := begin.Add(8 * time.Second)
	f.observe(now, 0.3, headroomVariance(0.3))
	assert.Assert(t, f.predict(now, 0) > 2.5, "the level is %.2f", f.predict(now, 0))
}

// Guards against attributing interference to the wrong one of two images, or to none.
func TestSlopesAreLearnedFromChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := newSlopeFit()
	for range 60 {
		light, heavy := 0.1*random.Float64(), 0.1*random.Float64()
		loss := 1.5*light + 9*heavy + 0.2*random.NormFloat64()
		f.add(loss, 0.04, imageShares{{"heavy", heavy}, {"light", light}})
	}
	f.fit()
	m := interferenceModel{fits: map[string]*slopeFit{"s": f}}
	light, _ := m.slopeOf("s", "light")
	heavy, stdError := m.slopeOf("s", "heavy")
	assert.Assert(t, light < 4 && heavy > 6, "light %.1f, heavy %.1f", light, heavy)
	assert.Assert(t, stdError < initialSlopeSD/2)
}

// Guards against missing a change because an image appeared or disappeared.
func TestImageSharesChangeTo(t *testing.T) {
	before := imageShares{{"a", 0.1}, {"b", 0.2}}
	change := before.changeTo(imageShares{{"b", 0.2}, {"c", 0.3}})
	assert.Equal(t, len(change), 2)
	assert.Equal(t, change.shareOf("a"), -0.1)
	assert.Equal(t, change.shareOf("c"), 0.3)
	assert.Equal(t, len(before.changeTo(imageShares{{"a", 0.101}, {"b", 0.2}})), 0)
}

// Guards against halting harmless tasks along with harmful ones, and against best-effort work beside a task that has
// been above its target for long.
func TestPaceHaltsMostHarmfulTasks(t *testing.T) {
	neighbours := []neighbour{{margin: 0.1}, {margin: 0.1}, {margin: 0.1}}
	harmless := paceCandidate{share: 0.1, workValue: 1, losses: []float64{0.05, 0.05, 0.05}}
	harmful := paceCandidate{share: 0.1, workValue: 1, losses: []float64{1, 1, 1}}
	assert.Equal(t, harmless.choosePace(neighbours), fullPercent)
	assert.Equal(t, harmful.choosePace(neighbours), 0)
	protected := []neighbour{{margin: 2, protected: true}}
	alone := paceCandidate{share: 0.1, workValue: 1, losses: []float64{0.05}}
	assert.Equal(t, alone.choosePace(protected), 0)
}

// Guards against late jobs that take workers from jobs that can still be in time.
func TestLateJobsHaveLowValue(t *testing.T) {
	sim := newSimulation(1, 1)
	j := plainJob("0000000000000001", 4)
	sim.submit(j)
	state := sim.leader.jobs[j.ID]
	state.updateValue(sim.now)
	assert.Equal(t, state.workValue, 1.0)
	sim.leader.finishTask(sim.now, state.occurrences[0].steps[0].task(0))
	sim.leader.finishTask(sim.now, state.occurrences[0].steps[0].task(1))
	state.updateValue(sim.now)
	assert.Equal(t, state.workValue, 2.0, "half of the work is left")
	state.updateValue(state.due)
	assert.Assert(t, state.late)
	assert.Equal(t, state.workValue, lateJobValue)
}

// Guards against a new leader that learns again, at the expense of serving tasks, what its predecessor knew.
func TestSuccessorRestoresSlopes(t *testing.T) {
	m := newInterferenceModel()
	f := m.fitFor("s")
	for range 100 {
		f.add(0.9, 0.04, imageShares{{"heavy", 0.1}})
	}
	f.fit()
	m.unstored = true
	now := time.UnixMilli(1_800_000_000_000)
	stored := m.slopesToStore(now)
	assert.Assert(t, stored != nil)
	assert.Assert(t, m.slopesToStore(now.Add(time.Second)) == nil, "stored again although nothing changed")
	successor := newInterferenceModel()
	successor.restoreSlopes(now, stored)
	slope, stdError := successor.slopeOf("s", "heavy")
	assert.Assert(t, slope > 8 && stdError < 1, "slope %.1f, standard error %.1f", slope, stdError)
}

// Guards against a leader that never stores the slopes that it learned.
func TestSlopesAreCommitted(t *testing.T) {
	e := newEmulator(1)
	sim := e.sim
	sim.listWorkers()
	sim.advance(sim.leader)
	sim.advanceTime(time.Second)
	sim.submit(servingJob(0, ""))
	sim.advanceTime(2 * time.Second)
	for n := range 30 {
		sim.submit(bestEffortJob(n, n%bestEffortImages, ""))
		sim.advanceTime(300 * time.Millisecond)
	}
	assert.Assert(t, sim.store.slopes != nil && len(sim.store.slopes.Pairs) > 0)
	sim.electLeader(0)
	assert.Assert(t, len(sim.leader.interference.fits) > 0)
}
