// Package admission implements the bounded queue of requests that wait for a slot of one service. Urgent requests go
// first, then those with the earliest deadline. It guarantees that a request that is not expected to meet its deadline
// is refused before it runs, and that adding, dequeuing and removing a request take logarithmic time.
package admission

import (
	"container/heap"
	"time"
)

// Ticket is a waiting request. The queue owns a ticket from Enqueue until it is returned by Dequeue, removed by Remove
// or evicted.
type Ticket struct {
	Urgent   bool
	Deadline time.Time
	// Owner is the data of the caller of Enqueue; the queue does not use it.
	Owner any

	sequence uint64
	index    int
	waiting  bool
}

// Result is the result of Enqueue: Admitted, or the reason why the request was not queued.
type Result uint8

// Results of Enqueue.
const (
	Admitted Result = iota
	// QueueFull means that the queue has reached its maximum length.
	QueueFull
	// TooLate means that the response is expected after the deadline.
	TooLate
)

var resultNames = [...]string{"admitted", "queue-full", "too-late"}

// String returns the name used in problem types and metrics.
func (r Result) String() string { return resultNames[r] }

// Load describes the service at the time of a decision.
type Load struct {
	Now time.Time
	// Slots is the number of slots that serve the queue.
	Slots int
	// ServiceTime is the expected time from the start of a request to its response.
	ServiceTime time.Duration
}

// Queue is the queue of one service. It is not safe for concurrent use.
type Queue struct {
	// maxPerSlot is the maximum number of waiting requests per slot.
	maxPerSlot int
	urgent     ticketHeap
	normal     ticketHeap
	sequence   uint64
	// latestDeadline is the latest deadline of a normal ticket queued since the queue was last empty.
	latestDeadline time.Time
}

// NewQueue returns a queue that holds at most maxPerSlot requests per slot.
func NewQueue(maxPerSlot int) *Queue { return &Queue{maxPerSlot: maxPerSlot} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.urgent) + len(q.normal) }

// Enqueue queues a ticket or refuses it. When the queue is full, an urgent ticket evicts a normal one. The normal
// ticket that would be dequeued first is evicted only if there is no other. The evicted ticket is returned; its request
// has not run.
func (q *Queue) Enqueue(t *Ticket, load Load) (Result, *Ticket) {
	if q.EstimatedWait(t, load)+load.ServiceTime > t.Deadline.Sub(load.Now) {
		return TooLate, nil
	}
	var evicted *Ticket
	if q.Len() >= max(q.maxPerSlot*load.Slots, 1) {
		if !t.Urgent || len(q.normal) == 0 {
			return QueueFull, nil
		}
		// The last element of a heap is a leaf: unless it is the only element, it is not the first to be dequeued.
		evicted = q.normal[len(q.normal)-1]
		q.Remove(evicted)
	}
	q.push(t)
	return Admitted, evicted
}

func (q *Queue) push(t *Ticket) {
	q.sequence++
	t.sequence = q.sequence
	t.waiting = true
	if t.Urgent {
		heap.Push(&q.urgent, t)
		return
	}
	if len(q.normal) == 0 || t.Deadline.After(q.latestDeadline) {
		q.latestDeadline = t.Deadline
	}
	heap.Push(&q.normal, t)
}

// EstimatedWait estimates how long a ticket would wait for the requests ahead of it to be served by all slots.
func (q *Queue) EstimatedWait(t *Ticket, load Load) time.Duration {
	if load.Slots <= 0 {
		// Without slots there is no estimate; the maximum length and the deadlines limit the wait.
		return 0
	}
	return time.Duration(float64(q.requestsAhead(t)) * float64(load.ServiceTime) / float64(load.Slots))
}

// requestsAhead estimates the number of requests that are served before a ticket. It assumes that deadlines are spread
// evenly between the earliest and the latest, which avoids a search.
func (q *Queue) requestsAhead(t *Ticket) int {
	if t.Urgent {
		return len(q.urgent)
	}
	n := len(q.normal)
	if n == 0 {
		return len(q.urgent)
	}
	first := q.normal[0].Deadline
	span := q.latestDeadline.Sub(first)
	offset := t.Deadline.Sub(first)
	if offset < 0 {
		return len(q.urgent)
	}
	if span > 0 && offset < span {
		n = int(float64(n) * float64(offset) / float64(span))
	}
	return len(q.urgent) + n
}

// Dequeue removes and returns the first ticket that can still meet its deadline. The tickets before it are removed,
// too, and returned as expired; their requests have not run.
func (q *Queue) Dequeue(load Load) (next *Ticket, expired []*Ticket) {
	for q.Len() > 0 {
		t := q.pop()
		if t.Deadline.Sub(load.Now) >= load.ServiceTime {
			return t, expired
		}
		expired = append(expired, t)
	}
	return nil, expired
}

// Requeue puts back a ticket that Dequeue returned and for which no slot was found.
func (q *Queue) Requeue(t *Ticket) { q.push(t) }

func (q *Queue) pop() *Ticket {
	h := &q.urgent
	if len(*h) == 0 {
		h = &q.normal
	}
	t, _ := heap.Pop(h).(*Ticket)
	t.waiting = false
	return t
}

// Remove removes a ticket and reports whether it was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	if !t.waiting {
		return false
	}
	t.waiting = false
	if t.Urgent {
		heap.Remove(&q.urgent, t.index)
	} else {
		heap.Remove(&q.normal, t.index)
	}
	return true
}

// ticketHeap orders by deadline, then by arrival.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool {
	if !h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].Deadline.Before(h[j].Deadline)
	}
	return h[i].sequence < h[j].sequence
}

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t, _ := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}
