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
	// maxAdviceWorkers is the maximum number of workers in one request. Each adds to the time that the service takes.
	maxAdviceWorkers = 30
	// maxAdviceInFlight limits the requests in flight, because the service answers the requests of one machine one
	// after the other.
	maxAdviceInFlight = 4
	// maxAdviceTries limits the steps of a pass for which workers to ask about are looked for, because there may be none.
	maxAdviceTries = 2 * maxAdviceInFlight
	// adviceRetryInterval is the pause after a request that got no answer.
	adviceRetryInterval = 300 * time.Millisecond
	// minPermitValidity is the remaining validity that a permit must have to be used, because a start takes time to
	// arrive.
	minPermitValidity = 300 * time.Millisecond
)

// stepPermits holds the answers of the advice service for a step.
type stepPermits struct {
	granted map[model.WorkerID]permitGrant
	// denied holds the boots of workers that may not run the step. The service does not revise a denial.
	denied          map[workerBoot]bool
	requestInFlight bool
	retryAt         time.Time
	// emptyAnswers counts the answers that granted no permit. lastTry is the number of the last pass that looked for workers
	// to ask about.
	emptyAnswers int
	lastTry      uint64
}

// permitGrant is a permit for one boot of a worker.
type permitGrant struct {
	permit     job.Permit
	boot       job.BootID
	validUntil time.Time
}

// workerBoot identifies one boot of a worker.
type workerBoot struct {
	worker model.WorkerID
	boot   job.BootID
}

func (w *worker) workerBoot() workerBoot { return workerBoot{w.ID, w.boot} }

// permitFor returns the permit of a step for a worker, or false if there is none that is valid for at least
// minPermitValidity.
func (s *step) permitFor(now time.Time, w *worker) (job.Permit, bool) {
	g, known := s.permits.granted[w.ID]
	if !known || g.boot != w.boot || !now.Add(minPermitValidity).Before(g.validUntil) {
		return "", false
	}
	return g.permit, true
}

// wantAdvice notes that the advice service could be asked about a step, if the route requires advice.
func (p *pass) wantAdvice(s *step, route job.Route) {
	if route.Advice != nil && !s.permits.requestInFlight && !p.now.Before(s.permits.retryAt) {
		p.adviceWanted = append(p.adviceWanted, s)
	}
}

// sendAdviceRequests asks the advice service about the noted steps, as far as the limit of requests in flight admits. Steps
// with the fewest answers that granted nothing come first: the policy may allow a step nowhere, and a request about it
// delays those about others. Of equal ones, those come first that were tried the longest time ago.
func (p *pass) sendAdviceRequests() {
	slices.SortStableFunc(p.adviceWanted, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.permits.emptyAnswers, b.permits.emptyAnswers),
			cmp.Compare(a.permits.lastTry, b.permits.lastTry))
	})
	for _, s := range p.adviceWanted[:min(len(p.adviceWanted), maxAdviceTries)] {
		if p.d.adviceInFlight >= maxAdviceInFlight {
			return
		}
		// A step may be noted twice, and a gang may have found workers since.
		if s.permits.requestInFlight || !s.ready() {
			continue
		}
		s.permits.lastTry = p.d.passNumber
		t := s.firstWaiting()
		p.requestAdvice(t, p.d.routes.of(t.owner.Queue))
	}
}

// sendFirstAdviceRequests does the same for those steps only of which no answer has granted nothing. The others wait for
// their turn in a pass over all work.
func (p *pass) sendFirstAdviceRequests() {
	p.adviceWanted = slices.DeleteFunc(p.adviceWanted, func(s *step) bool { return s.permits.emptyAnswers > 0 })
	p.sendAdviceRequests()
}

// requestAdvice asks the advice service about the workers with the best scores for a task.
func (p *pass) requestAdvice(t *task, route job.Route) {
	s := t.step
	var candidates []scoredWorker
	for _, w := range p.d.sortedWorkers {
		if s.permits.denied[w.workerBoot()] || !p.acceptsStarts(w, route) || !p.meetsConstraints(t, w) ||
			!reservedSize(s.Step).FitsIn(w.free()) {
			continue
		}
		if _, granted := s.permitFor(p.now, w); !granted {
			candidates = append(candidates, p.scoreWorker(t, w))
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(a, b scoredWorker) int { return cmp.Compare(b.score, a.score) })
	request := RequestAdvice{Epoch: p.d.epoch, Step: job.StepOf(t.Task), ServiceTime: route.Advice.BaseServiceTime}
	for _, c := range candidates[:min(len(candidates), maxAdviceWorkers)] {
		request.Workers = append(request.Workers, c.worker.ID)
		request.boots = append(request.boots, c.worker.boot)
		request.ServiceTime += route.Advice.ServiceTimePerWorker
	}
	request.permitLifetime = route.Advice.PermitLifetime
	s.permits.requestInFlight = true
	p.d.adviceInFlight++
	p.d.emit(request)
}

// HandleAdvice handles the response to a request for advice.
func (d *Dispatcher) HandleAdvice(
	now time.Time, request RequestAdvice, granted map[model.WorkerID]job.Permit, err error,
) {
	d.adviceInFlight--
	s := d.findStep(request.Step)
	if s == nil {
		return
	}
	s.permits.requestInFlight = false
	if err != nil {
		s.permits.retryAt = now.Add(adviceRetryInterval)
		d.logEvent(notice.AdviceFailed, Attr{Key: "step", Value: request.Step.String()},
			Attr{Key: "workers", Value: len(request.Workers)}, Attr{Key: "error", Value: err.Error()})
		return
	}
	if s.permits.granted == nil {
		s.permits.granted, s.permits.denied = make(map[model.WorkerID]permitGrant), make(map[workerBoot]bool)
	}
	if len(granted) == 0 {
		s.permits.emptyAnswers++
	}
	for i, id := range request.Workers {
		if permit, ok := granted[id]; ok {
			s.permits.granted[id] = permitGrant{
				permit: permit, boot: request.boots[i], validUntil: now.Add(request.permitLifetime),
			}
		} else {
			s.permits.denied[workerBoot{id, request.boots[i]}] = true
		}
	}
	d.logEvent(notice.AdviceGiven, Attr{Key: "step", Value: request.Step.String()},
		Attr{Key: "workers", Value: len(request.Workers)}, Attr{Key: "granted", Value: len(granted)})
	d.passNeeded = true
}

func (d *Dispatcher) findStep(ref job.StepRef) *step {
	j, known := d.jobs[ref.Job]
	if !known || j.phase.Final() {
		return nil
	}
	return j.findStep(ref.Occurrence, ref.Step)
}
