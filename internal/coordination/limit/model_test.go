package limit

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

func init() {
	// A fixed seed gives the same result on every CI run; the command line may set another one.
	for name, value := range map[string]string{"rapid.seed": "20260412", "rapid.steps": "250", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const (
	testSlots  = 8
	maxListLag = 3 * time.Second
)

var (
	testInstances = []model.InstanceID{"i1", "i2"}
	testEntries   = []model.EntryID{"a", "b", "c"}
)

// runningRequest is a request on an instance. It ends at a true time, whatever happens to its entry.
type runningRequest struct {
	slot snapshot.Slot
	ends time.Duration
}

type node struct {
	id   model.EntryID
	seat uint32
	// rate is the speed of the node's clock relative to true time.
	rate        float64
	incarnation model.Incarnation
	alive       bool
	paused      bool
	limits      *Limits
	limiters    map[model.InstanceID]*snapshot.InstanceLimiter
	runs        map[model.InstanceID][]runningRequest
	// absentSince is the true time from which the VM list lacks the entry's VM; negative while it is listed.
	absentSince time.Duration
}

type message struct {
	from, to    int
	incarnation model.Incarnation
	request     Request
	response    *Response
}

// simulation is the state of a data centre whose entries exchange messages over an unreliable network. Its clock, now,
// shows true time. orphans are the requests of dead processes that still run on the instances.
type simulation struct {
	now      time.Duration
	nodes    []*node
	messages []message
	orphans  map[model.InstanceID][]runningRequest
}

func newSimulation(seats int, rate func() float64) *simulation {
	s := &simulation{orphans: make(map[model.InstanceID][]runningRequest)}
	for i := range seats {
		s.nodes = append(s.nodes, &node{id: testEntries[i], seat: uint32(i), rate: rate()})
	}
	for i := range s.nodes {
		s.start(i)
	}
	return s
}

func (s *simulation) localTime(n *node) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(float64(s.now) * n.rate))
}

func (s *simulation) start(index int) {
	n := s.nodes[index]
	n.alive, n.paused, n.absentSince = true, false, -1
	n.incarnation++
	n.limiters = make(map[model.InstanceID]*snapshot.InstanceLimiter)
	n.runs = make(map[model.InstanceID][]runningRequest)
	var peers []model.EntryID
	for _, other := range s.nodes {
		if other != n {
			peers = append(peers, other.id)
		}
	}
	n.limits = New(s.localTime(n), Settings{
		Entry: n.id, Incarnation: n.incarnation, Seat: n.seat, Seats: uint32(len(s.nodes)), WaitIfUnknown: true,
	}, peers)
	var list []Instance
	for _, id := range testInstances {
		n.limiters[id] = snapshot.NewInstanceLimiter(0)
		list = append(list, Instance{ID: id, Slots: testSlots, Limiter: n.limiters[id]})
	}
	n.limits.Update(s.localTime(n), list)
}

func (s *simulation) isRunning(n *node) bool { return n.alive && !n.paused }

// stop ends a process; its requests keep running on the instances.
func (s *simulation) stop(n *node) {
	n.alive = false
	for id, runs := range n.runs {
		// A paused process has not yet removed the requests that have ended.
		runs = slices.DeleteFunc(runs, func(r runningRequest) bool { return r.ends <= s.now })
		s.orphans[id] = append(s.orphans[id], runs...)
	}
	n.runs = nil
}

// advance lets true time pass. Requests that have ended release their slots; those of a paused process do so once it
// runs again.
func (s *simulation) advance(d time.Duration) {
	s.now += d
	for id, orphans := range s.orphans {
		s.orphans[id] = slices.DeleteFunc(orphans, func(r runningRequest) bool { return r.ends <= s.now })
	}
	for _, n := range s.nodes {
		if !s.isRunning(n) {
			continue
		}
		for id, runs := range n.runs {
			n.runs[id] = slices.DeleteFunc(runs, func(r runningRequest) bool {
				if r.ends > s.now {
					return false
				}
				n.limiters[id].ReleaseSlot(r.slot)
				return true
			})
		}
	}
}

func (s *simulation) tick(index int) {
	n := s.nodes[index]
	if !s.isRunning(n) {
		return
	}
	n.limits.Step(s.localTime(n))
	for _, out := range n.limits.DueRequests(s.localTime(n)) {
		to := slices.IndexFunc(s.nodes, func(other *node) bool { return other.id == out.To })
		s.messages = append(s.messages, message{from: index, to: to, incarnation: n.incarnation, request: out.Request})
	}
}

// heartbeat delivers a heartbeat from one node to another, unless either is stopped or paused.
func (s *simulation) heartbeat(from, to int) {
	a, b := s.nodes[from], s.nodes[to]
	if a != b && s.isRunning(a) && s.isRunning(b) {
		b.limits.RecordMessage(s.localTime(b), a.id, a.incarnation, a.seat)
	}
}

func (s *simulation) deliver(m message) {
	if m.response == nil {
		n := s.nodes[m.to]
		if s.isRunning(n) {
			response := n.limits.HandleRequest(s.localTime(n), m.request)
			m.response = &response
			s.messages = append(s.messages, m)
		}
		return
	}
	if n := s.nodes[m.from]; s.isRunning(n) && n.incarnation == m.incarnation {
		n.limits.HandleResponse(s.localTime(n), s.nodes[m.to].id, m.request.Sequence, *m.response, true)
	}
}

// fail tells the sender of a request that no response came; the message itself may still be delivered later.
func (s *simulation) fail(m message) {
	if n := s.nodes[m.from]; s.isRunning(n) && n.incarnation == m.incarnation {
		n.limits.HandleResponse(s.localTime(n), s.nodes[m.to].id, m.request.Sequence, Response{}, false)
	}
}

func (s *simulation) readVMList(index int, lag time.Duration) {
	n := s.nodes[index]
	if !s.isRunning(n) {
		return
	}
	for _, other := range s.nodes {
		if other != n {
			absent := other.absentSince >= 0 && s.now-lag >= other.absentSince
			n.limits.SetListed(s.localTime(n), other.id, !absent)
		}
	}
}

// settle lets all running nodes exchange messages without faults for a duration.
func (s *simulation) settle(d time.Duration) {
	for end := s.now + d; s.now < end; s.advance(100 * time.Millisecond) {
		s.round()
	}
}

func (s *simulation) round() {
	for i := range s.nodes {
		for j := range s.nodes {
			s.heartbeat(i, j)
		}
		s.readVMList(i, 0)
		s.tick(i)
	}
	for len(s.messages) > 0 {
		m := s.messages[0]
		s.messages = s.messages[1:]
		if n := s.nodes[m.to]; m.response == nil && !s.isRunning(n) {
			s.fail(m)
			continue
		}
		s.deliver(m)
	}
}

func (s *simulation) acquire(index int, id model.InstanceID, timeout time.Duration) bool {
	n := s.nodes[index]
	if !s.isRunning(n) {
		return false
	}
	slot := n.limiters[id].TryAcquireUntil(s.localTime(n).Add(timeout))
	if slot == snapshot.SlotNone {
		return false
	}
	// A request ends at its deadline by the entry's clock; for a paused entry, the instance ends it.
	n.runs[id] = append(n.runs[id], runningRequest{slot: slot, ends: s.now + time.Duration(float64(timeout)/n.rate)})
	return true
}

// allocatedSlots returns the number of slots of an instance that may be in use: for each entry, the slots that it may
// use and the requests that run beyond them.
func (s *simulation) allocatedSlots(id model.InstanceID) int {
	total := len(s.orphans[id])
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		limiter := n.limiters[id]
		own, borrowed := 0, 0
		for _, r := range n.runs[id] {
			switch {
			case r.ends <= s.now:
			case r.slot == snapshot.SlotOwn:
				own++
			default:
				borrowed++
			}
		}
		usable := int(limiter.BorrowedLimit())
		if until := limiter.BorrowedUntil(); !until.After(s.localTime(n)) {
			usable = 0
		}
		total += max(own, int(limiter.OwnLimit())) + max(borrowed, usable)
	}
	return total
}

func (s *simulation) check(t *rapid.T) {
	for _, id := range testInstances {
		if n := s.allocatedSlots(id); n > testSlots {
			t.Fatalf("%s: %d slots are usable or in use\n%s", id, n, s.describe(id))
		}
	}
}

// describe returns the state of an instance for failure messages.
func (s *simulation) describe(id model.InstanceID) string {
	text := fmt.Sprintf("at %v, %d requests of dead processes\n", s.now, len(s.orphans[id]))
	for _, n := range s.nodes {
		l, i := n.limits, n.limits.instances[id]
		text += fmt.Sprintf("%s/%d alive=%v paused=%v seat=%+v holdsPrevious=%v returning=%v own=%d/%d borrowed=%d/%d "+
			"lent=%v loans=%v\n",
			n.id, n.incarnation, n.alive, n.paused, l.seat, l.holdsPrevious, l.returning,
			i.Limiter.OwnInUse(), i.Limiter.OwnLimit(), i.Limiter.BorrowedInUse(), i.Limiter.BorrowedLimit(), i.lent, i.borrowed)
	}
	return text
}

// randomEvent draws one event and applies it.
func (s *simulation) randomEvent(t *rapid.T) {
	index := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
	n := s.nodes[index]
	randomMessage := func() int { return rapid.IntRange(0, len(s.messages)-1).Draw(t, "message") }
	switch event := rapid.IntRange(0, 99).Draw(t, "event"); {
	case event < 20:
		s.advance(time.Duration(rapid.IntRange(10, 2000).Draw(t, "ms")) * time.Millisecond)
		s.tick(index)
	case event < 23:
		s.advance(time.Duration(rapid.IntRange(2, 40).Draw(t, "s")) * time.Second)
	case event < 27:
		s.round()
	case event < 32:
		s.applyLoad(index, testInstances[0],
			time.Duration(rapid.IntRange(200, 3000).Draw(t, "load ms"))*time.Millisecond)
	case event < 36:
		s.heartbeat(index, rapid.IntRange(0, len(s.nodes)-1).Draw(t, "to"))
	case event < 40:
		s.readVMList(index, time.Duration(rapid.IntRange(0, int(maxListLag)).Draw(t, "lag")))
	case event < 52 && len(s.messages) > 0:
		i := randomMessage()
		m := s.messages[i]
		if rapid.IntRange(0, 3).Draw(t, "duplicate") > 0 {
			s.messages = slices.Delete(s.messages, i, i+1)
		}
		s.deliver(m)
	case event < 55 && len(s.messages) > 0:
		s.fail(s.messages[randomMessage()])
	case event < 57 && len(s.messages) > 0:
		i := randomMessage()
		s.fail(s.messages[i])
		s.messages = slices.Delete(s.messages, i, i+1)
	case event < 85:
		timeout := time.Duration(rapid.IntRange(1, 28_000).Draw(t, "timeout")) * time.Millisecond
		for range rapid.IntRange(1, testSlots).Draw(t, "requests") {
			s.acquire(index, rapid.SampledFrom(testInstances).Draw(t, "instance"), timeout)
		}
	case event < 89:
		n.paused = n.alive && !n.paused
	case event < 92 && n.alive:
		s.stop(n)
	case event < 93 && !n.alive && n.absentSince < 0:
		n.absentSince = s.now
	case event < 96 && !n.alive:
		s.start(index)
	case event < 97 && s.isRunning(n):
		n.limits.StartDraining()
	case event < 98 && s.isRunning(n):
		n.limits.StartHandOver()
	}
}

// Guards against two seats using the same slot at once when messages are lost, delayed or duplicated, processes pause
// or restart, VMs are replaced and clocks differ from true time by up to 1%.
func TestSlotsNeverExceedTheLimit(t *testing.T) {
	for seats := 2; seats <= 3; seats++ {
		t.Run(fmt.Sprint(seats), rapid.MakeCheck(func(t *rapid.T) {
			s := newSimulation(seats, func() float64 {
				return 1 + float64(rapid.IntRange(-100, 100).Draw(t, "rate"))/10_000
			})
			if rapid.Bool().Draw(t, "settled") {
				s.settle(35 * time.Second)
			}
			t.Repeat(map[string]func(*rapid.T){"": s.check, "step": s.randomEvent})
		}))
	}
}

func constantRate(rate float64) func() float64 { return func() float64 { return rate } }
