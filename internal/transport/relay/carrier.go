package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb/jobspbconnect"
	"github.com/jujubearch/jujubearch/internal/protocol/relaybatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
	"github.com/jujubearch/jujubearch/internal/transport/event"
	"github.com/jujubearch/jujubearch/internal/transport/jobs"
)

const (
	// maxResultsPerReport bounds one report.
	maxResultsPerReport = 500
	// heartbeatInterval is the time after which an empty report is sent while orders are in progress, and
	// idleHeartbeatInterval that while there are none.
	heartbeatInterval     = 200 * time.Millisecond
	idleHeartbeatInterval = 2 * time.Second
)

// carrier carries out the orders of one session.
type carrier struct {
	options AgentOptions
	client  jobspbconnect.RelayServiceClient
	session uint64
	ctx     context.Context
	// cancel ends the session.
	cancel context.CancelFunc
	orders sync.WaitGroup
	reader relaybatch.Reader

	mu      sync.Mutex
	results []*jobspb.Result
	workers map[model.WorkerID]*reporter
	// inProgress is the number of orders that are being carried out.
	inProgress atomic.Int64
	// wake gets an element when a result is added.
	wake chan struct{}
}

func newCarrier(
	ctx context.Context, cancel context.CancelFunc, o AgentOptions, client jobspbconnect.RelayServiceClient,
	first *jobspb.FollowResponse,
) *carrier {
	event.Log(o.Logger, notice.RelayFollowing, notice.Attr{Key: "epoch", Value: first.GetEpoch()},
		notice.Attr{Key: "session", Value: first.GetSession()})
	c := &carrier{
		options: o, client: client, session: first.GetSession(), ctx: ctx, cancel: cancel,
		workers: make(map[model.WorkerID]*reporter), wake: make(chan struct{}, 1),
	}
	c.orders.Go(c.report)
	return c
}

// wait waits until the orders in progress are given up, after the session has ended.
func (c *carrier) wait() { c.orders.Wait() }

// accept starts to carry out the orders of a batch.
func (c *carrier) accept(batch *jobspb.FollowResponse) {
	c.mu.Lock()
	for _, id := range batch.GetIncomplete() {
		c.reporterOf(model.WorkerID(id)).encoder.Reset()
	}
	c.mu.Unlock()
	arrived := time.Now()
	for _, o := range c.reader.Read(batch) {
		if o.Err != nil {
			c.addResult(relaybatch.ResultToProto(o.ID, refused(o.Err)))
			continue
		}
		c.inProgress.Add(1)
		c.orders.Go(func() {
			defer c.inProgress.Add(-1)
			c.carry(o, arrived)
		})
	}
}

func refused(cause error) job.OrderResponse {
	return job.OrderResponse{Err: verdict.NotRunError("order not sent", cause)}
}

// carry sends an order to its worker and adds the result to the next report.
func (c *carrier) carry(o relaybatch.Order, arrived time.Time) {
	now := time.Now()
	if model.Elapsed(arrived, now) > jobs.MaxOrderAge {
		c.addResult(relaybatch.ResultToProto(o.ID, refused(nil)))
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, jobs.OrderTimeout(o.Action))
	defer cancel()
	hold, ok := o.Action.(dispatch.Hold)
	if !ok {
		c.addResult(relaybatch.ResultToProto(o.ID, jobs.SendOrder(ctx, c.options.Workers, o.Action)))
		return
	}
	hold.DecidedAt = c.reportedAt(hold.Worker, o.LastInventory)
	inventory, response := c.options.Workers.Hold(ctx, hold.AtSend(now))
	result := relaybatch.ResultToProto(o.ID, response)
	c.mu.Lock()
	if response.Err == nil && response.Refusal == job.RefusedNone {
		result.Inventory = c.reporterOf(hold.Worker).encode(time.Now(), inventory)
	}
	c.mu.Unlock()
	c.addResult(result)
}

// reportedAt returns when the inventory with a number arrived, or the zero time if it is not the last one of the worker.
func (c *carrier) reportedAt(w model.WorkerID, number uint64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reporterOf(w)
	if r.encoder.Number() != number {
		return time.Time{}
	}
	return r.reportedAt
}

func (c *carrier) reporterOf(w model.WorkerID) *reporter {
	r := c.workers[w]
	if r == nil {
		r = &reporter{}
		c.workers[w] = r
	}
	return r
}

func (c *carrier) addResult(r *jobspb.Result) {
	c.mu.Lock()
	c.results = append(c.results, r)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// report sends results to the leader until the session ends. If that fails, it ends the session: the leader then counts
// the orders in progress as having no result.
func (c *carrier) report() {
	defer c.cancel()
	stream, err := c.client.Report(c.ctx)
	if err != nil {
		return
	}
	defer func() { _, _ = stream.CloseAndReceive() }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	heartbeat := true
	for c.ctx.Err() == nil {
		if results := c.takeResults(); heartbeat || len(results) > 0 {
			heartbeat = false
			report := &jobspb.ReportRequest{Entry: string(c.options.Entry), Session: c.session, Results: results}
			if stream.Send(report) != nil {
				return
			}
			sleep(c.ctx, batchInterval)
			timer.Reset(c.heartbeatInterval())
		}
		select {
		case <-c.wake:
		case <-timer.C:
			heartbeat = true
		case <-c.ctx.Done():
		}
	}
}

func (c *carrier) heartbeatInterval() time.Duration {
	if c.inProgress.Load() > 0 {
		return heartbeatInterval
	}
	return idleHeartbeatInterval
}

func (c *carrier) takeResults() []*jobspb.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.results), maxResultsPerReport)
	taken := c.results[:n:n]
	c.results = c.results[n:]
	return taken
}
