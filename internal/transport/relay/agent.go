package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/protocol/convert"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb/jobspbconnect"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
	"github.com/jujubearch/jujubearch/internal/transport/event"
	"github.com/jujubearch/jujubearch/internal/transport/jobs"
)

const (
	// followInterval is how often an agent looks whether the leader has changed.
	followInterval = 100 * time.Millisecond
	// pollGrace is added to pollWait for the response.
	pollGrace = time.Second
	// retryDelay is the pause after a call to the leader that failed.
	retryDelay = 100 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = time.Second
	// minReportInterval is the minimum time between two reports: the results of that time go together.
	minReportInterval = 10 * time.Millisecond
	// maxResultsPerReport bounds one report.
	maxResultsPerReport = 500
	// maxOrderAge is the time after its arrival within which an order is sent.
	maxOrderAge = 500 * time.Millisecond
)

// AgentOptions describe an entry as a relay.
type AgentOptions struct {
	Entry       model.EntryID
	Incarnation model.Incarnation
	DataCentre  model.DataCentre
	// MaxWorkers is the number of workers that the entry can carry orders to.
	MaxWorkers int
	Core       Core
	Workers    jobs.Workers
	// Client makes the calls to the leader. It uses HTTP/1.1, so that a call that is given up closes its connection.
	Client *http.Client
	Logger *slog.Logger
}

// Agent carries orders of the leader, whichever entry that is.
type Agent struct {
	options AgentOptions
	cancel  context.CancelFunc
	done    chan struct{}
}

// StartAgent starts an agent. Stop ends it.
func StartAgent(o AgentOptions) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{options: o, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(a.done)
		a.run(ctx)
	}()
	return a
}

// Stop ends the agent, tells the leader and waits until both is done. Orders in progress are given up.
func (a *Agent) Stop() {
	a.cancel()
	<-a.done
}

// run follows the leader until ctx ends.
func (a *Agent) run(ctx context.Context) {
	for ctx.Err() == nil {
		view := a.options.Core.Snapshot()
		if view.Leading || view.LeaderAddress == "" || view.Draining {
			sleep(ctx, followInterval)
			continue
		}
		a.serve(ctx, view.LeaderAddress)
	}
}

// serve carries orders of the leader at an address until another entry leads, this entry drains or ctx ends.
func (a *Agent) serve(ctx context.Context, address string) {
	client := jobspbconnect.NewRelayServiceClient(a.options.Client, "http://"+address,
		connect.WithCompressMinBytes(minCompressBytes))
	leaderCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.watchLeader(leaderCtx, address, cancel)
	var c *carrier
	var last time.Time
	for leaderCtx.Err() == nil {
		last = time.Now()
		response, err := a.poll(leaderCtx, client)
		if err != nil || !response.GetLeading() {
			sleep(leaderCtx, retryDelay)
			continue
		}
		if c == nil || c.session != response.GetSession() {
			if c != nil {
				c.stop()
			}
			c = newCarrier(leaderCtx, a.options, client, response)
		}
		if len(response.GetOrders()) > 0 {
			// A poll that took much longer than the leader lets it wait shows that this process was paused meanwhile.
			c.accept(response.GetOrders(), model.Elapsed(last, time.Now()) > pollWait+pollGrace)
		}
	}
	if c != nil {
		c.stop()
		a.leave(client)
	}
}

// watchLeader calls changed when another entry leads or this entry drains.
func (a *Agent) watchLeader(ctx context.Context, address string, changed func()) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if view := a.options.Core.Snapshot(); view.Leading || view.LeaderAddress != address || view.Draining {
				changed()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) request() *jobspb.PollRequest {
	return &jobspb.PollRequest{
		Entry: string(a.options.Entry), Incarnation: uint64(a.options.Incarnation),
		DataCentre: string(a.options.DataCentre), MaxWorkers: uint32(a.options.MaxWorkers),
	}
}

func (a *Agent) poll(ctx context.Context, client jobspbconnect.RelayServiceClient) (*jobspb.PollResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollGrace)
	defer cancel()
	return client.Poll(ctx, a.request())
}

// leave tells the former leader that this entry carries no more orders. If the call fails, the leader notices that
// there are no more polls.
func (a *Agent) leave(client jobspbconnect.RelayServiceClient) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	request := a.request()
	request.Leaving = true
	if _, err := client.Poll(ctx, request); err != nil {
		event.Log(a.options.Logger, notice.RelayStopped, notice.Attr{Key: "error", Value: err.Error()})
		return
	}
	event.Log(a.options.Logger, notice.RelayStopped)
}

// carrier carries out the orders of one session.
type carrier struct {
	options AgentOptions
	client  jobspbconnect.RelayServiceClient
	session uint64
	epoch   model.Epoch
	ctx     context.Context
	cancel  context.CancelFunc
	orders  sync.WaitGroup

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
		options: o, client: client, session: first.GetSession(), epoch: model.Epoch(first.GetEpoch()),
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
func (c *carrier) accept(messages []*jobspb.Order, old bool) {
	arrived := time.Now()
	for _, m := range messages {
		action, err := convert.RelayOrderFromProto(m, c.epoch)
		if err != nil || old {
			c.addResult(convert.RelayResultToProto(m.GetId(), refused(err)))
			continue
		}
		c.orders.Go(func() { c.carry(m, action, arrived) })
	}
}

func refused(cause error) job.OrderResponse {
	return job.OrderResponse{Err: verdict.NotRunError("order not sent", cause)}
}

// carry sends an order to its worker and adds the result to the next report.
func (c *carrier) carry(m *jobspb.Order, action dispatch.Action, arrived time.Time) {
	now := time.Now()
	if model.Elapsed(arrived, now) > maxOrderAge {
		c.addResult(convert.RelayResultToProto(m.GetId(), refused(nil)))
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, jobs.OrderTimeout(action))
	defer cancel()
	hold, ok := action.(dispatch.Hold)
	if !ok {
		c.addResult(convert.RelayResultToProto(m.GetId(), jobs.SendOrder(ctx, c.options.Workers, action)))
		return
	}
	hold.DecidedAt = c.reportedAt(hold.Worker, m.GetHold().GetInventory())
	inventory, response := c.options.Workers.Hold(ctx, hold.AtSend(now))
	result := convert.RelayResultToProto(m.GetId(), response)
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
		sleep(c.ctx, minReportInterval)
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
