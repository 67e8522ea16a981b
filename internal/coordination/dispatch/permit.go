package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

const (
	// adviceWorkers is the number of workers that one question names: each adds to the time of the answer.
	adviceWorkers = 30
	// maxQuestions bounds the questions on their way: the service answers those of one machine in turn.
	maxQuestions = 4
	// adviceRetry is the pause after a question that got no answer.
	adviceRetry = 300 * time.Millisecond
	// permitReserve is how long before its end a permit is not used any more: a start takes a while to arrive.
	permitReserve = 300 * time.Millisecond
)

// permits are what the advice service has said of a step.
type permits struct {
	granted map[model.WorkerID]grant
	// denied are lives of workers that may not run the step, which does not change.
	denied map[life]bool
	asking bool
	retry  time.Time
}

// grant is a permit for one life of a worker.
type grant struct {
	permit job.Permit
	boot   job.Boot
	until  time.Time
}

// life is one life of a worker.
type life struct {
	worker model.WorkerID
	boot   job.Boot
}

func (w *worker) life() life { return life{w.ID, w.Boot} }

// permitFor returns the permit of a step for a worker, or false when there is none that is valid for a while.
func (s *step) permitFor(now time.Time, w *worker) (job.Permit, bool) {
	g, known := s.permits.granted[w.ID]
	if !known || g.boot != w.Boot || !now.Add(permitReserve).Before(g.until) {
		return "", false
	}
	return g.permit, true
}

// ask asks for advice on the workers that a task of a step would best run on.
func (p *pass) ask(t *task, route job.Route) {
	s := t.step
	if route.Advice == nil || s.permits.asking || p.now.Before(s.permits.retry) || p.d.questions >= maxQuestions {
		return
	}
	var candidates []choice
	for _, w := range p.d.fleet {
		if s.permits.denied[w.life()] || !p.usable(w, route) || !p.suits(t, w) || !counted(s).FitsIn(w.free()) {
			continue
		}
		if _, granted := s.permitFor(p.now, w); !granted {
			candidates = append(candidates, p.rate(t, w))
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(a, b choice) int { return cmp.Compare(b.score, a.score) })
	question := Advise{Epoch: p.d.epoch, Step: job.StepOf(t.Task), Limit: route.Advice.Decide}
	for _, c := range candidates[:min(len(candidates), adviceWorkers)] {
		question.Workers = append(question.Workers, c.worker.ID)
		question.boots = append(question.boots, c.worker.Boot)
		question.Limit += route.Advice.PerWorker
	}
	question.valid = route.Advice.Valid
	s.permits.asking = true
	p.d.questions++
	p.d.emit(question)
}

// Advised takes in the answer to a question for advice.
func (d *Dispatcher) Advised(now time.Time, q Advise, granted map[model.WorkerID]job.Permit, err error) {
	d.questions--
	s := d.stepOf(q.Step)
	if s == nil {
		return
	}
	s.permits.asking = false
	if err != nil {
		s.permits.retry = now.Add(adviceRetry)
		d.report(notice.AdviceFailed, Attr{Key: "step", Value: q.Step.String()}, Attr{Key: "workers", Value: len(q.Workers)}, Attr{Key: "error", Value: err.Error()})
		return
	}
	if s.permits.granted == nil {
		s.permits.granted, s.permits.denied = make(map[model.WorkerID]grant), make(map[life]bool)
	}
	for i, id := range q.Workers {
		if permit, ok := granted[id]; ok {
			s.permits.granted[id] = grant{permit: permit, boot: q.boots[i], until: now.Add(q.valid)}
		} else {
			s.permits.denied[life{id, q.boots[i]}] = true
		}
	}
	d.report(notice.AdviceGiven, Attr{Key: "step", Value: q.Step.String()}, Attr{Key: "workers", Value: len(q.Workers)}, Attr{Key: "granted", Value: len(granted)})
	d.changed = true
}

func (d *Dispatcher) stepOf(ref job.StepRef) *step {
	j, known := d.jobs[ref.Job]
	if !known || j.phase.Final() {
		return nil
	}
	return j.step(ref.Occurrence, ref.Step)
}
