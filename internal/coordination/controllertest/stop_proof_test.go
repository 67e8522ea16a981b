package controllertest

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Guards against an exclusive task that starts on another worker without proof that it has stopped, and against one
// that is not restarted although there is such proof.
func TestExclusiveTaskMovesOnlyOnProof(t *testing.T) {
	proofs := map[string]func(w *Simulation, wk *Worker){
		"vm gone":  func(w *Simulation, wk *Worker) { w.RemoveVM(model.WorkerID(wk.vm.ID)) },
		"declared": func(w *Simulation, wk *Worker) { wk.runs = nil; declareStopped(w, wk) },
		"restart":  func(_ *Simulation, wk *Worker) { wk.Restart(); wk.Down = false },
	}
	for name, prove := range proofs {
		w := newSingleShardSimulation(t, 2, newDelegation("a", 0, 1, exclusive))
		assert.Assert(t, w.RunUntil(time.Minute, func() bool { return w.eachRunsOnce(1) }))
		wk, _ := w.findRun(firstTask)
		wk.Down = true
		w.Run(30 * time.Minute)
		assert.Equal(t, w.startCount(), 1, name)
		prove(w, wk)
		assert.Assert(t, w.RunUntil(10*time.Second, func() bool { return w.Starts[firstTask][2] == 1 }), name)
		w.checkNoViolations(t)
	}
}

// declareStopped has the operator declare that the VM of a worker has stopped.
func declareStopped(w *Simulation, wk *Worker) {
	updateHead(w, func(h *model.Head) { h.Config.DeclaredStopped = []model.VMID{wk.vm.ID} })
}

// Guards against an exclusive task that starts on another worker before its lease has expired, and against one that
// does not move afterwards: it must move between controller.RenewalHorizon and that horizon plus its safety margin,
// counted from the last renewal.
func TestExclusiveTaskMovesAfterTheHorizon(t *testing.T) {
	w := newSingleShardSimulation(t, 2, newDelegation("a", 0, 1, exclusive))
	assert.Assert(t, w.RunUntil(time.Minute, func() bool { return w.eachRunsOnce(1) }))
	w.Run(20 * time.Minute)
	wk, r := w.findRun(firstTask)
	wk.Down = true
	w.Run(r.LeaseEnd.Sub(w.Now))
	assert.Equal(t, w.startCount(), 1)
	w.Run(controller.RenewalHorizon / 10)
	assert.Equal(t, w.Starts[firstTask][2], 1)
	w.checkNoViolations(t)
}

// Guards against a declaration that still counts as proof of a stop for tasks that the VM runs after reporting again.
func TestDeclarationEndsWhenTheVMReports(t *testing.T) {
	w := newSingleShardSimulation(t, 2, newDelegation("a", 0, 1, exclusive))
	assert.Assert(t, w.RunUntil(time.Minute, func() bool { return w.eachRunsOnce(1) }))
	wk, _ := w.findRun(firstTask)
	declareStopped(w, wk)
	w.Run(time.Minute)
	assert.Equal(t, w.startCount(), 1, "a VM that reports has not stopped")
	wk.Down = true
	w.Run(10 * time.Minute)
	assert.Equal(t, w.startCount(), 1)
	w.checkNoViolations(t)
}

// Guards against a successor that considers a worker gone because its VM list is out of date and does not show it yet.
func TestSuccessorNeedsANewerListForAGoneVM(t *testing.T) {
	w := newSingleShardSimulation(t, 1, newDelegation("a", 0, 2, exclusive))
	w.Run(10 * time.Second)
	old := w.VMs
	w.AddWorker(model.VM{ID: "late", DataCentre: "a", Role: model.RoleWorker, Capacity: oneCore})
	assert.Assert(t, w.RunUntil(time.Minute, func() bool { return w.eachRunsOnce(2) }))
	newest := w.VMs
	w.VMs = old
	w.Restart(w.Entries[0])
	w.Run(30 * time.Second)
	assert.Equal(t, w.startCount(), 2)
	w.VMs = newest
	w.Run(30 * time.Second)
	assert.Assert(t, w.eachRunsOnce(2))
	w.checkNoViolations(t)
}

// Guards against non-exclusive tasks that wait for proof of a stop, and against a burst of starts after the loss of a
// rack: urgent tasks are replaced first, with at most 50 starts per second.
func TestLostRackIsReplacedInOrderOfUrgency(t *testing.T) {
	w := New(1)
	w.Build(Topology{
		DataCentres: oneDataCentre, Entries: 1, Workers: 16,
		// The remaining workers have room for all 320 tasks, however evenly the tasks were spread before.
		Capacity: model.Resources{CPUMillis: 80 * oneCore.CPUMillis, MemoryBytes: 80 * oneCore.MemoryBytes},
	})
	writeInitialHead(w, 1, 0, newDelegation("batch", 0, 200, nil),
		newDelegation("urgent", 0, 60, func(j *model.Job) { j.Urgent = true }),
		newDelegation("service", 0, 60, func(j *model.Job) { j.Class = model.ClassService }))
	assert.Assert(t, w.RunUntil(time.Minute, func() bool { return w.eachRunsOnce(320) }))
	w.Run(5 * time.Second)
	lost := 0
	for i := 0; i < 16 && lost < 200; i++ {
		wk := w.Workers[model.WorkerID(fmt.Sprintf("a-w%d", i))]
		if len(wk.Running()) == 0 {
			continue
		}
		lost += len(wk.Running())
		wk.Down = true
		wk.runs = make(map[model.TaskID]*Run)
	}
	starts := w.startCount()
	urgentDone := false
	for second := 0; !w.eachRunsOnce(320); second++ {
		assert.Assert(t, second < 60, "%d tasks run", len(w.RunningTasks()))
		w.Run(time.Second)
		assert.Assert(t, w.startCount()-starts <= 50)
		starts = w.startCount()
		running := w.runningCount("urgent")
		urgentDone = urgentDone || running == 60
		if w.runningCount("batch") == 200 {
			assert.Assert(t, urgentDone)
		}
	}
}

func (w *Simulation) runningCount(job model.JobID) int {
	count := 0
	for id := range w.RunningTasks() {
		if id.Job == job {
			count++
		}
	}
	return count
}

// Guards against stopping healthy work in a store outage of an hour, and against leases that outlive the horizon.
func TestHealthyWorkSurvivesAStoreOutageOfAnHour(t *testing.T) {
	w := New(1)
	w.Build(Topology{DataCentres: oneDataCentre, Entries: 1, Workers: 4, Capacity: oneCore})
	writeInitialHead(w, 1, 0, newDelegation("a", 0, 4, exclusive))
	// Run for longer than the interval at which an idle owner writes to prove its ownership.
	w.Run(8 * time.Minute)
	w.Store.Down = true
	starts := w.startCount()
	for range 60 {
		w.Run(time.Minute)
		assert.Assert(t, w.eachRunsOnce(4))
	}
	w.Store.Down = false
	w.Run(10 * time.Minute)
	assert.Assert(t, w.eachRunsOnce(4))
	assert.Equal(t, w.startCount(), starts)
	w.Store.Down = true
	w.Run(controller.RenewalHorizon + time.Minute)
	assert.Assert(t, w.eachRunsOnce(0), "leases must end with the horizon")
	w.checkNoViolations(t)
}

// Guards against work in an isolated data centre that stops, or that also starts in another data centre.
func TestIsolatedDataCentreKeepsRunning(t *testing.T) {
	w := New(3)
	sites := []model.DataCentre{"a", "b"}
	w.Build(Topology{DataCentres: sites, Entries: 1, Workers: 4, Capacity: oneCore})
	writeInitialHead(w, 2, 0, newDelegation("a", 0, 2, exclusive), newDelegation("b", 1, 2, exclusive),
		newDelegation("c", 2, 2, exclusive))
	settled := func() bool { return len(w.RunningTasks()) >= 4 }
	assert.Assert(t, w.RunUntil(time.Minute, settled))
	w.Run(10 * time.Second)
	running := len(w.RunningTasks())
	cutOff := func(cut bool) {
		for _, e := range w.Entries[:1] {
			e.CutStore, e.CutPeers = cut, cut
		}
		for _, e := range w.Entries[1:] {
			e.CutRemoteWorkers = cut
		}
	}
	cutOff(true)
	w.Run(50 * time.Minute)
	assert.Equal(t, len(w.RunningTasks()), running)
	assert.Assert(t, w.eachRunsOnce(running))
	cutOff(false)
	w.Run(5 * time.Minute)
	assert.Assert(t, w.eachRunsOnce(running))
	assert.Assert(t, w.eachShardOwned(4))
	w.checkNoViolations(t)
}
