package controller

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

const (
	// workerPollInterval is the time after which a worker without orders is asked for a report again.
	workerPollInterval = time.Second
	// workerSuspectAfter is the time without a report after which a worker gets no new tasks, and its tasks that are
	// not exclusive start elsewhere.
	workerSuspectAfter = 3 * time.Second
	// maxOrders bounds the number of orders in one call to a worker.
	maxOrders = 256
)

// worker is what the owner of a shard knows about one of its workers.
type worker struct {
	vm model.VM
	// fenced is set once the worker has answered a call of this owner, so that it refuses orders of earlier epochs.
	fenced   bool
	inFlight bool
	// unlisted is set while the worker is missing from the VM list.
	unlisted bool
	// suspect is set after workerSuspectAfter without a report.
	suspect bool
	// lastReportAt is the time of the newest report or, before the first one, when the worker was first listed.
	lastReportAt time.Time
	nextPoll     time.Time
	// nextRenew is when the leases of its tasks are to be renewed.
	nextRenew time.Time
	// lastLeaseAt is when the newest lease was sent to the worker.
	lastLeaseAt time.Time
	// queue holds the orders to send with the next call.
	queue  []model.Order
	report model.WorkerReport
	// pendingStarts are the attempts that this owner has assigned to the worker and that it has not reported yet.
	pendingStarts map[model.TaskID]pendingStart
	// strayResources is what running attempts hold that the journal does not place on the worker.
	strayResources model.Resources
}

// pendingStart is an attempt whose start may or may not have reached the worker.
type pendingStart struct {
	attempt model.Attempt
	// incarnation identifies the worker's process to which the start was sent; it is empty if the start was not sent.
	incarnation string
	sent        bool
}

func (w *worker) id() model.WorkerID { return model.WorkerID(w.vm.ID) }

// isUsable reports whether the worker may get new tasks.
func (w *worker) isUsable() bool {
	return w.fenced && !w.suspect && !w.unlisted && !w.vm.Leaving
}

// isReachable reports whether orders are expected to reach the worker.
func (w *worker) isReachable() bool { return w.fenced && !w.suspect && !w.unlisted }

// usableWorkerCount returns the number of usable workers in this entry's shards.
func (c *Controller) usableWorkerCount() uint32 {
	var count uint32
	for _, s := range c.shards {
		for _, w := range s.workers {
			if w.isUsable() {
				count++
			}
		}
	}
	return count
}

func (c *Controller) tickShards() {
	for _, id := range c.shardIDs() {
		s := c.shards[id]
		if !s.isActive() {
			continue
		}
		c.expireClaims(s)
		c.syncWorkers(s)
		c.suspectWorkers(s)
		c.acceptFromHead(s)
		c.releaseUnreachable(s)
		c.assignPending(s)
		c.sendOrders(s)
	}
}

// syncWorkers updates the workers of a shard from the VM list. A worker that is no longer listed is kept while tasks
// are placed on it.
func (c *Controller) syncWorkers(s *shard) {
	if !c.vmListLoaded || s.syncedVMListUpdate == c.vmListUpdates {
		return
	}
	s.syncedVMListUpdate = c.vmListUpdates
	layout := c.layout()
	listed := make(map[model.WorkerID]bool)
	for _, vm := range c.vmList.VMs {
		id := model.WorkerID(vm.ID)
		shardID, ok := layout.ShardOfWorker(id, vm.DataCentre)
		if vm.Role != model.RoleWorker || !ok || shardID != s.id {
			continue
		}
		listed[id] = true
		c.updateListedWorker(s, vm)
	}
	for id, w := range s.workers {
		if listed[id] {
			continue
		}
		w.unlisted = true
		if len(s.tasks.OnWorker(id)) == 0 {
			delete(s.workers, id)
		}
	}
	s.sortWorkers()
}

// updateListedWorker adds or updates a worker that the VM list has. For a worker that was missing from the list, only
// the time of its newest lease is kept.
func (c *Controller) updateListedWorker(s *shard, vm model.VM) {
	id := model.WorkerID(vm.ID)
	w := s.workers[id]
	if w == nil || w.unlisted {
		lastLeaseAt := time.Time{}
		if w != nil {
			lastLeaseAt = w.lastLeaseAt
		}
		w = &worker{
			lastReportAt: c.now, lastLeaseAt: lastLeaseAt, pendingStarts: make(map[model.TaskID]pendingStart),
			queue: []model.Order{{Kind: model.OrderFence}},
		}
		s.workers[id] = w
	}
	w.vm = vm
}

func (s *shard) sortWorkers() {
	s.sortedWorkers = s.sortedWorkers[:0]
	for id := range s.workers {
		s.sortedWorkers = append(s.sortedWorkers, id)
	}
	slices.Sort(s.sortedWorkers)
}

// suspectWorkers marks the workers that have not reported for workerSuspectAfter as suspect, and logs each once.
func (c *Controller) suspectWorkers(s *shard) {
	for _, id := range s.sortedWorkers {
		w := s.workers[id]
		suspect := c.now.Sub(w.lastReportAt) > workerSuspectAfter
		if suspect && !w.suspect {
			c.notify(notice.WorkerSilent, Attr{Key: "worker", Value: id}, Attr{Key: "shard", Value: s.id})
		}
		w.suspect = suspect
		if w.isReachable() {
			s.lastReachableAt = c.now
		}
	}
}

// sendOrders sends each worker its queued orders, or a call without orders when a report is due.
func (c *Controller) sendOrders(s *shard) {
	for _, id := range s.sortedWorkers {
		c.sendTo(s, s.workers[id])
	}
}

func (c *Controller) sendTo(s *shard, w *worker) {
	isDue := !c.now.Before(w.nextPoll)
	if w.inFlight || w.unlisted || (!isDue && (len(w.queue) == 0 || w.suspect)) {
		return
	}
	w.inFlight = true
	w.nextPoll = c.now.Add(workerPollInterval)
	orders := w.queue[:min(len(w.queue), maxOrders)]
	w.queue = slices.Clone(w.queue[len(orders):])
	for _, order := range orders {
		c.recordSent(w, order)
	}
	c.emit(SendOrders{At: c.now, Worker: w.id(), Address: w.vm.Address, Shard: s.id, Epoch: s.owner.Epoch, Orders: orders})
}

func (c *Controller) recordSent(w *worker, order model.Order) {
	switch order.Kind {
	case model.OrderStart:
		w.pendingStarts[order.Task] = pendingStart{attempt: order.Attempt, incarnation: w.report.Incarnation, sent: true}
		w.lastLeaseAt = c.now
	case model.OrderRenew:
		w.lastLeaseAt = c.now
	default:
	}
}

// queueOrder queues an order for a worker unless the same order is already queued.
func (c *Controller) queueOrder(s *shard, id model.WorkerID, order model.Order) {
	w := s.workers[id]
	if w == nil || w.unlisted {
		return
	}
	repeated := slices.ContainsFunc(w.queue, func(o model.Order) bool {
		return o.Kind == order.Kind && o.Task == order.Task && o.Attempt == order.Attempt
	})
	if !repeated {
		w.queue = append(w.queue, order)
	}
}

func (c *Controller) handleWorkerReported(e WorkerReported) {
	s := c.shards[e.Shard]
	if s == nil || !s.isActive() || s.owner.Epoch != e.Epoch || s.workers[e.Worker] == nil {
		return
	}
	w := s.workers[e.Worker]
	if !w.inFlight {
		return
	}
	w.inFlight = false
	if e.Err != nil {
		w.resetQueue()
		return
	}
	if e.Report.HighestEpoch > s.owner.Epoch {
		c.handleOwnershipLost(s)
		return
	}
	c.reconcileReport(s, w, e.Report)
}

// resetQueue discards the queued orders after a failed call; the next report shows which of them are still needed.
func (w *worker) resetQueue() {
	w.queue = nil
	if !w.fenced {
		w.queue = []model.Order{{Kind: model.OrderFence}}
	}
}
