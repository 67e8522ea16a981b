package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/admission"
	"github.com/jujubearch/jujubearch/internal/coordination/retry"
	"github.com/jujubearch/jujubearch/internal/coordination/routing"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

// dispatchInterval is the period of the search for slots that became free without a release, for example by a higher
// limit or a new instance, while requests are waiting.
const dispatchInterval = 20 * time.Millisecond

// globalRandom uses the global source of math/rand/v2, which is per thread and needs no lock.
type globalRandom struct{}

// IntN implements routing.Random.
func (globalRandom) IntN(n int) int { return rand.IntN(n) }

// service holds the queue, measurements and retry budgets of one service on this entry.
type service struct {
	name    model.ServiceName
	view    func() *snapshot.Snapshot
	metrics *serviceMetrics

	// serviceTime measures local attempts up to the end of the response, latency up to the end of its headers.
	serviceTime admission.ServiceTime
	latency     retry.Latency
	retryBudget retry.Budget
	spillover   spilloverState

	// waiting and releases prevent a lost wake-up between acquire and release: a release increments releases before it
	// reads waiting, and an arrival increments waiting before it reads releases again, so that at least one sees the
	// other.
	waiting   atomic.Int32
	releases  atomic.Uint64
	slotCount atomic.Pointer[slotCount]

	mu                sync.Mutex
	queue             *admission.Queue
	dispatchScheduled bool

	// destinationBudgets holds the retry budgets of instances and peers by their IDs.
	destinationBudgetsMu sync.RWMutex
	destinationBudgets   map[string]*retry.Budget
}

// waiter is a request in the queue.
type waiter struct {
	admission.Ticket

	decisions chan decision
}

// decision ends the wait of a request, with a slot or with a refusal.
type decision struct {
	instance snapshot.Instance
	result   admission.Result
}

func newService(name model.ServiceName, view func() *snapshot.Snapshot, perSlot int) *service {
	return &service{
		name: name, view: view, metrics: newServiceMetrics(string(name)), queue: admission.NewQueue(perSlot),
		destinationBudgets: make(map[string]*retry.Budget),
	}
}

func (s *service) instances() []snapshot.Instance { return s.view().Instances[s.name] }

// tryAcquire acquires a free slot without waiting, on any instance but the one with the index avoid (-1 excludes none).
// It acquires none while requests are queued, since they go first.
func (s *service) tryAcquire(avoid int, deadline time.Time) (snapshot.Instance, bool) {
	if s.waiting.Load() > 0 {
		return snapshot.Instance{}, false
	}
	instances, now := s.instances(), time.Now()
	if i, ok := routing.Acquire(instances, now, globalRandom{}, avoid); ok {
		return withSlot(instances[i], snapshot.SlotOwn), true
	}
	if i, ok := routing.AcquireBorrowed(instances, now, deadline, globalRandom{}, avoid); ok {
		return withSlot(instances[i], snapshot.SlotBorrowed), true
	}
	return snapshot.Instance{}, false
}

func withSlot(instance snapshot.Instance, slot snapshot.Slot) snapshot.Instance {
	instance.Slot = slot
	return instance
}

// acquire acquires a slot, if necessary after waiting in the queue until ctx ends. A refused request has not run.
func (s *service) acquire(ctx context.Context, urgent bool, deadline time.Time) (snapshot.Instance, admission.Result) {
	releases := s.releases.Load()
	if instance, ok := s.tryAcquire(-1, deadline); ok {
		return instance, admission.Admitted
	}
	w := &waiter{Ticket: admission.Ticket{Urgent: urgent, Deadline: deadline}}
	if result := s.enqueue(w); result != admission.Admitted {
		return snapshot.Instance{}, result
	}
	if s.releases.Load() != releases {
		s.dispatch()
	}
	select {
	case d := <-w.decisions:
		return d.instance, d.result
	case <-ctx.Done():
		return s.remove(w)
	}
}

func (s *service) enqueue(w *waiter) admission.Result {
	load := s.load()
	s.mu.Lock()
	defer s.mu.Unlock()
	result, evicted := s.queue.Enqueue(&w.Ticket, load)
	if result != admission.Admitted {
		return result
	}
	w.Owner = w
	w.decisions = make(chan decision, 1)
	if evicted != nil {
		notify(evicted, decision{result: admission.QueueFull})
	}
	s.publishQueueLength()
	s.scheduleDispatch()
	return admission.Admitted
}

// remove removes a waiter whose request has ended from the queue. If it was granted a slot in the meantime, it
// releases the slot.
func (s *service) remove(w *waiter) (snapshot.Instance, admission.Result) {
	s.mu.Lock()
	removed := s.queue.Remove(&w.Ticket)
	s.waiting.Store(int32(s.queue.Len()))
	s.mu.Unlock()
	if !removed {
		if d := <-w.decisions; d.result == admission.Admitted {
			s.release(d.instance)
		}
	}
	return snapshot.Instance{}, admission.TooLate
}

// release releases a slot and grants it to the next waiter.
func (s *service) release(instance snapshot.Instance) {
	instance.Limiter.ReleaseSlot(instance.Slot)
	s.releases.Add(1)
	if s.waiting.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if instance.Slot == snapshot.SlotBorrowed {
		s.grantBorrowedSlots()
		return
	}
	if s.queue.Len() > 0 && routing.AcquireFrom(&instance, time.Now()) {
		s.grantNext(withSlot(instance, snapshot.SlotOwn))
	}
}

// grantBorrowedSlots grants slots borrowed from other entries of the data centre to waiters in the order of the queue,
// until it is empty or no loan lasts until the deadline of the next waiter. The caller holds the mutex.
func (s *service) grantBorrowedSlots() {
	for s.queue.Len() > 0 {
		next, late := s.queue.Dequeue(s.load())
		s.refuseLate(late)
		if next == nil {
			return
		}
		instances := s.instances()
		i, ok := routing.AcquireBorrowed(instances, time.Now(), next.Deadline, globalRandom{}, -1)
		if !ok {
			s.queue.Requeue(next)
			s.publishQueueLength()
			return
		}
		s.publishQueueLength()
		notify(next, decision{instance: withSlot(instances[i], snapshot.SlotBorrowed)})
	}
}

func (s *service) publishQueueLength() {
	s.waiting.Store(int32(s.queue.Len()))
	s.metrics.queue.Set(float64(s.queue.Len()))
}

func (s *service) refuseLate(late []*admission.Ticket) {
	for _, t := range late {
		notify(t, decision{result: admission.TooLate})
	}
	s.publishQueueLength()
}

// dispatch grants free slots to waiters until there are no more slots or no more waiters.
func (s *service) dispatch() {
	instances := s.instances()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.queue.Len() > 0 {
		i, ok := routing.Acquire(instances, time.Now(), globalRandom{}, -1)
		if !ok {
			s.grantBorrowedSlots()
			return
		}
		s.grantNext(withSlot(instances[i], snapshot.SlotOwn))
	}
}

// grantNext grants an acquired slot to the next waiter, or releases it if there is none. The caller holds the mutex.
func (s *service) grantNext(instance snapshot.Instance) {
	next, late := s.queue.Dequeue(s.load())
	s.refuseLate(late)
	if next == nil {
		instance.Limiter.ReleaseSlot(instance.Slot)
		return
	}
	notify(next, decision{instance: instance})
}

// notify sends a waiter its decision. It never blocks: each waiter gets one decision, and its channel has room for one.
func notify(t *admission.Ticket, d decision) {
	if w, ok := t.Owner.(*waiter); ok {
		w.decisions <- d
	}
}

// scheduleDispatch runs dispatch after each dispatchInterval while requests are waiting. The caller holds the mutex.
func (s *service) scheduleDispatch() {
	if s.dispatchScheduled {
		return
	}
	s.dispatchScheduled = true
	time.AfterFunc(dispatchInterval, func() {
		s.dispatch()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dispatchScheduled = false
		if s.queue.Len() > 0 {
			s.scheduleDispatch()
		}
	})
}

// slotCount is the number of slots of the service in one snapshot.
type slotCount struct {
	view  *snapshot.Snapshot
	slots int
}

// load returns the load for admission decisions. It counts the slots once per snapshot, so that not every arrival
// iterates over all instances.
func (s *service) load() admission.Load {
	view := s.view()
	cached := s.slotCount.Load()
	if cached == nil || cached.view != view {
		cached = &slotCount{view: view, slots: countSlots(view.Instances[s.name])}
		s.slotCount.Store(cached)
	}
	return admission.Load{Now: time.Now(), Slots: cached.slots, ServiceTime: s.serviceTime.Expected()}
}

func countSlots(instances []snapshot.Instance) int {
	slots := 0
	for i := range instances {
		limiter := instances[i].Limiter
		if !instances[i].Leaving && !limiter.IsClosed() && !routing.IsEjected(&limiter.Health) {
			slots += int(limiter.Limit())
		}
	}
	return slots
}

// destinationBudget returns the retry budget of an instance or peer.
func (s *service) destinationBudget(id string) *retry.Budget {
	s.destinationBudgetsMu.RLock()
	b := s.destinationBudgets[id]
	s.destinationBudgetsMu.RUnlock()
	if b != nil {
		return b
	}
	s.destinationBudgetsMu.Lock()
	defer s.destinationBudgetsMu.Unlock()
	if len(s.destinationBudgets) > 4*(len(s.instances())+len(s.view().Peers))+16 {
		// Most budgets belong to replaced instances. A new budget starts empty, so the bound on attempts still holds.
		clear(s.destinationBudgets)
	}
	if s.destinationBudgets[id] == nil {
		s.destinationBudgets[id] = &retry.Budget{}
	}
	return s.destinationBudgets[id]
}
