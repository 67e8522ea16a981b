package relay

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb/jobspbconnect"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
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
)

// AgentOptions describe an entry as a relay.
type AgentOptions struct {
	Entry model.EntryID
	// Address is where this entry serves the others.
	Address     string
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
		if view.LeaderAddress == "" || view.LeaderAddress == a.options.Address || view.Draining {
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
			c.accept(response, model.Elapsed(last, time.Now()) > pollWait+pollGrace)
		}
	}
	if c != nil {
		c.stop()
		a.leave(client)
	}
}

// watchLeader calls changed when another entry leads or this entry drains. While no leader is known, the former one may
// go on, for example because the store turns it away.
func (a *Agent) watchLeader(ctx context.Context, address string, changed func()) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			view := a.options.Core.Snapshot()
			if (view.LeaderAddress != "" && view.LeaderAddress != address) || view.Draining {
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
