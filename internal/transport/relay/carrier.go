package relay

import (
	"context"
	"sync"
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
)

// carrier carries out the orders of one session.
type carrier struct {
	options AgentOptions
	client  jobspbconnect.RelayServiceClient
	session uint64
	ctx     context.Context
	cancel  context.CancelFunc
	orders  sync.WaitGroup
	reader  relaybatch.Reader

	mu      sync.Mutex
	results []*jobspb.Result
	workers map[model.WorkerID]*reporter
	// wake gets an element when a result is added.
	wake chan struct{}
}

func newCarrier(
	ctx context.Context, o AgentOptions, client jobspbconnect.RelayServiceClient, first *jobspb.PollResponse,
) *carrier {
	event.Log(o.Logger, notice.RelayFollowing, notice.Attr{Key: "epoch", Value: first.GetEpoch()},
		notice.Attr{Key: "session", Value: first.GetSession()})
	c := &carrier{
		options: o, client: client, session: first.GetSession(),
		workers: make(map[model.WorkerID]*reporter), wake: make(chan struct{}, 1),
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.orders.Go(c.report)
	return c
}

func (c *carrier) stop() {
	c.cancel()
	c.orders.Wait()
}

// accept starts to carry out orders. Orders that may have grown old on their way are returned without being sent.
func (c *carrier) accept(batch *jobspb.PollResponse, old bool) {
	arrived := time.Now()
	for _, o := range c.reader.Read(batch) {
		if o.Err != nil || old {
			c.addResult(relaybatch.ResultToProto(o.ID, refused(o.Err)))
			continue
		}
		c.orders.Go(func() { c.carry(o, arrived) })
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

// report sends results to the leader until the session ends. A report that failed is sent again: the leader ignores the
// results that it has.
func (c *carrier) report() {
	var unsent []*jobspb.Result
	for c.ctx.Err() == nil {
		if unsent == nil {
			unsent = c.takeResults()
		}
		if unsent == nil {
			select {
			case <-c.wake:
			case <-c.ctx.Done():
			}
			continue
		}
		if !c.sendReport(unsent) {
			sleep(c.ctx, retryDelay)
			continue
		}
		unsent = nil
		sleep(c.ctx, batchInterval)
	}
}

func (c *carrier) takeResults() []*jobspb.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.results), maxResultsPerReport)
	if n == 0 {
		return nil
	}
	taken := c.results[:n:n]
	c.results = c.results[n:]
	return taken
}

func (c *carrier) sendReport(results []*jobspb.Result) bool {
	ctx, cancel := context.WithTimeout(c.ctx, reportTimeout)
	defer cancel()
	response, err := c.client.Report(ctx, &jobspb.ReportRequest{
		Entry: string(c.options.Entry), Session: c.session, Results: results,
	})
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range response.GetIncomplete() {
		c.reporterOf(model.WorkerID(id)).encoder.Reset()
	}
	return true
}
