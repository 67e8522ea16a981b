package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

const testID job.ID = "00000000000000aa"

// simulationWithAdvice has 6 workers that require permits. The policy allows only w02 and w04.
func simulationWithAdvice() *simulation {
	sim := newSimulation(1, 6)
	sim.routes[0].Advice = &job.Advice{
		BaseServiceTime: 50 * time.Millisecond, ServiceTimePerWorker: time.Millisecond, PermitLifetime: 2 * time.Second,
	}
	sim.leader.SetRoutes(testConfigVersion, sim.routes)
	for _, s := range sim.sortedWorkers() {
		s.requiredPermit = job.Permit("permit-" + s.id)
	}
	sim.advise = func(q RequestAdvice) (map[model.WorkerID]job.Permit, error) {
		granted := make(map[model.WorkerID]job.Permit)
		for _, id := range q.Workers {
			if id == "w02" || id == "w04" {
				granted[id] = sim.workers[id].requiredPermit
			}
		}
		return granted, nil
	}
	sim.advanceTime(time.Second)
	return sim
}

// Guards against starts without a permit, and against one advice request per task.
func TestTasksStartWherePolicyAllows(t *testing.T) {
	sim := simulationWithAdvice()
	sim.submit(plainJob(testID, 4))
	sim.advanceTime(3 * time.Second)
	assert.Equal(t, sim.phase(testID), job.Completed)
	assert.Equal(t, len(sim.adviceRequests), 1, "one request covers all tasks of a step")
	for _, r := range sim.logEvents {
		for _, a := range r.Attrs {
			if a.Key == "worker" && isPlacement(r.Code) {
				assert.Assert(t, a.Value == model.WorkerID("w02") || a.Value == model.WorkerID("w04"),
					"placed on %v", a.Value)
			}
		}
	}
}

// Guards against a step that waits forever after an unanswered advice request.
func TestLostAdviceIsAskedForAgain(t *testing.T) {
	sim := simulationWithAdvice()
	answer := sim.advise
	sim.advise = func(RequestAdvice) (map[model.WorkerID]job.Permit, error) {
		sim.advise = answer
		return nil, errors.New("no answer")
	}
	sim.submit(plainJob(testID, 4))
	sim.advanceTime(3 * time.Second)
	assert.Equal(t, sim.phase(testID), job.Completed)
	assert.Equal(t, len(sim.adviceRequests), 2)
}

// Guards against a permit from before a worker's restart that fails the job or is tried again and again.
func TestRefusedPermitIsAskedForAgain(t *testing.T) {
	sim := simulationWithAdvice()
	answer := sim.advise
	// The workers restart between the answer and the starts.
	sim.advise = func(q RequestAdvice) (map[model.WorkerID]job.Permit, error) {
		sim.advise = answer
		granted, err := answer(q)
		for _, id := range []model.WorkerID{"w02", "w04"} {
			sim.workers[id].requiredPermit = "newer-" + sim.workers[id].requiredPermit
		}
		return granted, err
	}
	sim.submit(plainJob(testID, 4))
	sim.advanceTime(5 * time.Second)
	assert.Equal(t, sim.phase(testID), job.Completed)
	assert.Equal(t, len(sim.adviceRequests), 2)
}

// Guards against steps that wait for advice for long because others, which the policy allows nowhere, are asked about again
// and again before them.
func TestAdviceIsAskedForInTurn(t *testing.T) {
	sim := newSimulation(1, 120)
	sim.routes[0].Advice = &job.Advice{
		BaseServiceTime: 50 * time.Millisecond, ServiceTimePerWorker: time.Millisecond, PermitLifetime: 5 * time.Second,
	}
	sim.leader.SetRoutes(testConfigVersion, sim.routes)
	sim.advise = func(q RequestAdvice) (map[model.WorkerID]job.Permit, error) {
		granted := make(map[model.WorkerID]job.Permit)
		if q.Step.Job == testID {
			granted[q.Workers[0]] = "permit"
		}
		return granted, nil
	}
	sim.advanceTime(time.Second)
	// Each of these takes four answers until no worker is left to ask about.
	const unrunnable = 100
	for n := range unrunnable {
		sim.accept(plainJob(job.ID(fmt.Sprintf("h%03d", n)), 1))
	}
	sim.advanceTime(time.Second)
	before := len(sim.adviceRequests)
	sim.submit(plainJob(testID, 1))
	sim.advanceTime(2 * time.Second)
	asked := slices.IndexFunc(sim.adviceRequests[before:], func(q RequestAdvice) bool { return q.Step.Job == testID })
	assert.Assert(t, asked >= 0 && before+asked <= unrunnable, "asked about after %d requests, then %d", before, asked)
	assert.Equal(t, sim.phase(testID), job.Completed)
}

// Guards against two requests at once about a gang, which a pass may look at twice.
func TestGangIsAskedAboutOnce(t *testing.T) {
	sim := simulationWithAdvice()
	gang := plainJob(testID, 2)
	gang.Steps[0].Gang, gang.Steps[0].LongRunning = true, true
	sim.submit(gang)
	sim.advanceTime(20 * time.Millisecond)
	assert.Equal(t, len(sim.adviceRequests), 1)
	s := sim.leader.jobs[testID].occurrences[0].steps[0]
	s.permits.requestInFlight, sim.leader.adviceInFlight = false, 0
	s.task(0).hasRun, s.task(1).hasRun = true, true
	sim.leader.place(sim.now)
	sim.execute(sim.leader)
	assert.Equal(t, len(sim.adviceRequests), 2, "one request more in a pass that looks at the gang twice")
}
