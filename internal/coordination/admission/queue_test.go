package admission

import (
	"math/rand/v2"
	"runtime"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// Guards against requests that are urgent or have an early deadline waiting behind others.
func TestOrderIsUrgentThenDeadline(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	q := NewQueue(1000)
	load := Load{Now: epoch, Slots: 10, ServiceTime: time.Millisecond}
	var all []*Ticket
	for range 500 {
		ticket := &Ticket{
			Urgent: random.IntN(4) == 0, Deadline: at(time.Hour + time.Duration(random.IntN(100))*time.Second),
		}
		result, evicted := q.Enqueue(ticket, load)
		assert.Equal(t, result, Admitted)
		assert.Assert(t, evicted == nil)
		all = append(all, ticket)
	}
	for _, ticket := range all[:100] {
		assert.Assert(t, q.Remove(ticket))
		assert.Assert(t, !q.Remove(ticket))
	}
	rest := all[100:]
	sort.SliceStable(rest, func(i, j int) bool {
		if rest[i].Urgent != rest[j].Urgent {
			return rest[i].Urgent
		}
		return rest[i].Deadline.Before(rest[j].Deadline)
	})
	for _, want := range rest {
		got, expired := q.Dequeue(load)
		assert.Assert(t, got == want)
		assert.Equal(t, len(expired), 0)
	}
	assert.Equal(t, q.Len(), 0)
}

// Guards against a queue above its maximum length, and against urgent requests refused because normal ones fill the
// queue.
func TestFullQueueRefusesAndUrgentEvicts(t *testing.T) {
	q := NewQueue(3)
	load := Load{Now: epoch, Slots: 2, ServiceTime: time.Millisecond}
	offer := func(urgent bool, deadline time.Duration) (Result, *Ticket) {
		return q.Enqueue(&Ticket{Urgent: urgent, Deadline: at(deadline)}, load)
	}
	for i := range 6 {
		result, _ := offer(false, time.Second+time.Duration(i))
		assert.Equal(t, result, Admitted)
	}
	result, _ := offer(false, time.Hour)
	assert.Equal(t, result, QueueFull)
	for range 6 {
		result, evicted := offer(true, time.Second)
		assert.Equal(t, result, Admitted)
		assert.Assert(t, evicted != nil && !evicted.Urgent)
		assert.Equal(t, q.Len(), 6)
	}
	result, _ = offer(true, time.Second)
	assert.Equal(t, result, QueueFull)
}

// simulateOverload runs, in virtual time, arrivals at a multiple of the capacity and returns the goodput: the responses
// before their deadlines as a fraction of the capacity.
func simulateOverload(
	seed uint64, multiple float64, slots int,
	work func(*rand.Rand) time.Duration, timeout func(*rand.Rand) time.Duration,
) float64 {
	const mean = 10 * time.Millisecond
	const duration = 20 * time.Second
	random := rand.New(rand.NewPCG(seed, 2))
	q := NewQueue(100)
	var serviceTime ServiceTime
	now, nextArrival := time.Duration(0), time.Duration(0)
	var busy []time.Duration // ends of running requests, sorted
	var deadlines []time.Duration
	good := 0
	start := func(deadline time.Time) {
		d := work(random)
		serviceTime.Observe(d)
		end := now + d
		i := sort.Search(len(busy), func(i int) bool { return busy[i] > end })
		busy = append(busy[:i], append([]time.Duration{end}, busy[i:]...)...)
		deadlines = append(deadlines[:i], append([]time.Duration{deadline.Sub(epoch)}, deadlines[i:]...)...)
	}
	load := func() Load { return Load{Now: at(now), Slots: slots, ServiceTime: serviceTime.Expected()} }
	for now < duration {
		if len(busy) > 0 && busy[0] <= nextArrival {
			now = busy[0]
			if now <= deadlines[0] {
				good++
			}
			busy, deadlines = busy[1:], deadlines[1:]
			if next, _ := q.Dequeue(load()); next != nil {
				start(next.Deadline)
			}
			continue
		}
		now = nextArrival
		nextArrival += time.Duration(random.ExpFloat64() * float64(mean) / float64(slots) / multiple)
		deadline := at(now + timeout(random))
		if len(busy) < slots && q.Len() == 0 {
			start(deadline)
		} else {
			q.Enqueue(&Ticket{Deadline: deadline, Urgent: random.IntN(10) == 0}, load())
		}
	}
	capacity := float64(duration) / float64(mean) * float64(slots)
	return float64(good) / capacity
}

// Guards against a collapse under overload: at twice the capacity, goodput must stay at 90% of the capacity or more.
func TestGoodputAtTwiceTheCapacity(t *testing.T) {
	constant := func(*rand.Rand) time.Duration { return 10 * time.Millisecond }
	uniform := func(r *rand.Rand) time.Duration {
		return 5*time.Millisecond + time.Duration(r.Int64N(int64(10*time.Millisecond)))
	}
	exponential := func(r *rand.Rand) time.Duration {
		return time.Duration(r.ExpFloat64() * float64(10*time.Millisecond))
	}
	oneSecond := func(*rand.Rand) time.Duration { return time.Second }
	short := func(*rand.Rand) time.Duration { return 100 * time.Millisecond }
	mixed := func(r *rand.Rand) time.Duration {
		return 50*time.Millisecond + time.Duration(r.Int64N(int64(time.Second)))
	}
	for name, c := range map[string]struct {
		work, timeout func(*rand.Rand) time.Duration
	}{
		"constant work, 1 s": {constant, oneSecond}, "constant work, short": {constant, short},
		"constant work, mixed": {constant, mixed},
		"uniform work, 1 s":    {uniform, oneSecond}, "uniform work, short": {uniform, short},
		"uniform work, mixed":   {uniform, mixed},
		"exponential work, 1 s": {exponential, oneSecond}, "exponential work, short": {exponential, short},
		"exponential work, mixed": {exponential, mixed},
	} {
		for seed := range uint64(3) {
			got := simulateOverload(seed, 2, 16, c.work, c.timeout)
			t.Logf("%s, seed %d: goodput %.3f of the capacity", name, seed, got)
			assert.Check(t, got >= 0.9, "%s, seed %d: %.3f", name, seed, got)
		}
	}
}

// Guards against refusals that allocate memory, since they are most frequent under overload.
func TestRefusalAllocatesNothing(t *testing.T) {
	q := NewQueue(1)
	load := Load{Now: epoch, Slots: 1, ServiceTime: time.Millisecond}
	q.Enqueue(&Ticket{Deadline: at(time.Minute)}, load)
	ticket := &Ticket{Deadline: at(time.Minute)}
	assert.Equal(t, testing.AllocsPerRun(100, func() { q.Enqueue(ticket, load) }), 0.0)
}

// Guards against a queue that takes more than 256 bytes for each waiting request, with 100 waiting requests per slot.
// At 256 bytes each, the queue of 50 instances with 4 slots each takes 5 MB.
func TestMemoryOfWaitingRequests(t *testing.T) {
	const slots, maxPerSlot = 200, 100
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	q := NewQueue(maxPerSlot)
	load := Load{Now: epoch, Slots: slots}
	for i := range slots * maxPerSlot {
		result, _ := q.Enqueue(&Ticket{Deadline: at(time.Duration(i))}, load)
		assert.Equal(t, result, Admitted)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := float64(after.HeapAlloc-before.HeapAlloc) / (slots * maxPerSlot)
	t.Logf("%.0f bytes for each waiting request", each)
	assert.Assert(t, each <= 256)
	assert.Equal(t, q.Len(), slots*maxPerSlot)
}
