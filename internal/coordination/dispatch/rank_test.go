package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// placeWide submits a wide batch step and a wide quick one to a loaded fleet and returns where their tasks are placed in
// one pass.
func placeWide(t *testing.T, place func(p *pass, s *step, route job.Route)) map[job.Task]model.WorkerID {
	t.Helper()
	e := loadedEmulator(60, 0)
	d := e.sim.leader
	e.sim.now = e.sim.now.Add(time.Second)
	placed := make(map[job.Task]model.WorkerID)
	for n, bestEffort := range []bool{true, false} {
		j := bestEffortJob(5000+n, n, "")
		j.Steps[0].Tasks, j.Steps[0].BestEffort, j.Steps[0].MaxPerWorker = 150, bestEffort, 3
		j.Queue, j.Accepted = "q", e.sim.now
		e.sim.jobsByID[j.ID] = &j
		d.AddJob(e.sim.now, j, nil, 1)
		s := d.jobs[j.ID].occurrences[0].steps[0]
		place(d.newPass(e.sim.now), s, d.routes.of(j.Queue))
		for task := range s.touchedTasks() {
			for _, r := range task.runs {
				placed[task.Task] = r.worker.ID
			}
		}
	}
	return placed
}

// Pattern: bursts of wide steps. Guards against a ranking for a whole step that places its tasks elsewhere than a choice
// for each task by itself does.
func TestRankingPlacesLikeSingleChoices(t *testing.T) {
	ranked := placeWide(t, func(p *pass, s *step, route job.Route) { p.placeStep(s, route) })
	single := placeWide(t, func(p *pass, s *step, route job.Route) {
		for task := range s.waitingTasks() {
			w := p.chooseWorker(task, route)
			if w == nil {
				return
			}
			p.start(task, w)
		}
	})
	assert.Assert(t, len(single) > 100, "%d tasks placed", len(single))
	assert.DeepEqual(t, ranked, single)
}
