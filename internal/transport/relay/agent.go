package relay

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

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
	// retryDelay is the pause after a call to the leader that failed.
	retryDelay = 100 * time.Millisecond
	// offerInterval is the pause between two offers to a leader that needs no relays.
	offerInterval = 2 * time.Second
	// maxMessageGap is the longest time between two messages of the leader. A longer one shows that the connection is
	// dead or that this process was paused: the orders that have arrived meanwhile are old.
	maxMessageGap = 2500 * time.Millisecond
	// leaveTimeout bounds the call that tells the leader that this entry is no relay any more.
	leaveTimeout = time.Second
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
	followed := false
	for leaderCtx.Err() == nil {
		delay := retryDelay
		switch err := a.follow(leaderCtx, client); {
		case err == nil:
			followed = true
		case connect.CodeOf(err) == connect.CodeResourceExhausted:
			delay = offerInterval
		}
		sleep(leaderCtx, delay)
	}
	if followed {
		a.leave(client)
	}
}

// follow carries the orders of one session. It returns an error if there was none.
func (a *Agent) follow(ctx context.Context, client jobspbconnect.RelayServiceClient) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(maxMessageGap, cancel)
	defer watchdog.Stop()
	stream, err := client.Follow(ctx, &jobspb.FollowRequest{
		Entry: string(a.options.Entry), Incarnation: uint64(a.options.Incarnation),
		DataCentre: string(a.options.DataCentre), MaxWorkers: uint32(a.options.MaxWorkers),
	})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	var c *carrier
	for last := time.Now(); stream.Receive(); {
		now := time.Now()
		if model.Elapsed(last, now) > maxMessageGap {
			break
		}
		last = now
		watchdog.Reset(maxMessageGap)
		if c == nil {
			c = newCarrier(ctx, cancel, a.options, client, stream.Msg())
		}
		c.accept(stream.Msg())
	}
	if c == nil {
		return errors.Trace(stream.Err())
	}
	cancel()
	c.wait()
	return nil
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

// leave tells the former leader that this entry carries no more orders. If the call fails, the leader notices that
// there are no more reports.
func (a *Agent) leave(client jobspbconnect.RelayServiceClient) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_, err := client.Leave(ctx, &jobspb.LeaveRequest{
		Entry: string(a.options.Entry), Incarnation: uint64(a.options.Incarnation),
	})
	if err != nil {
		event.Log(a.options.Logger, notice.RelayStopped, notice.Attr{Key: "error", Value: err.Error()})
		return
	}
	event.Log(a.options.Logger, notice.RelayStopped)
}
