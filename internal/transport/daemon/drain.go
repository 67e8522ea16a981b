package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/transport/event"
)

// ErrRequestsAborted is the cause of a Drain error when requests in flight were aborted.
const ErrRequestsAborted = errors.ConstError("requests in flight were aborted")

const (
	// handOverTimeout bounds the hand-over of the seat and the shards after the last request. Without a completed
	// hand-over peers still take both over, only later.
	handOverTimeout = 3 * time.Second
	// handOverPollInterval is the interval at which the progress of the hand-over is polled.
	handOverPollInterval = 50 * time.Millisecond
)

// countInFlight maintains the number of callers' requests in flight.
func (d *Daemon) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Drain shuts the entry down gracefully. It fails the readiness check at once, serves new requests until load balancers
// have noticed (the drain lag of the settings), completes the requests in flight and hands the seat and the shards over
// to peers. If ctx or the drain deadline ends before the last request does, Drain aborts what is in flight and returns
// an error whose cause is ErrRequestsAborted.
func (d *Daemon) Drain(ctx context.Context) error {
	if err := d.actor.Send(ctx, controller.DrainRequested{}); err != nil {
		return errors.Trace(err)
	}
	select {
	case <-time.After(d.settings.DrainLag):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainDeadline)
	defer cancel()
	callerServer := d.servers[0]
	if err := callerServer.Shutdown(ctx); err != nil {
		return d.abortDrain()
	}
	// Pending outcomes of keyed requests must reach the claim owners before the shards of this entry move.
	d.claims.Close(ctx)
	d.handOver(ctx)
	for _, server := range d.servers[1:] {
		_ = server.Shutdown(ctx)
	}
	d.Close()
	event.Log(d.logger, notice.ProcessStopped)
	return nil
}

// abortDrain closes the daemon while requests may be in flight, and reports how many were aborted.
func (d *Daemon) abortDrain() error {
	aborted := d.inFlight.Load()
	d.Close()
	if aborted > 0 {
		event.Log(d.logger, notice.DrainAbortedRequests, controller.Attr{Key: "requests", Value: aborted})
	}
	event.Log(d.logger, notice.ProcessStopped)
	if aborted == 0 {
		return nil
	}
	return errors.Annotatef(ErrRequestsAborted, "drain ended with %d requests unfinished", aborted)
}

// handOver asks the controller to hand the seat over, and waits until the shards are released and another entry of the
// data centre has taken the seat, if there is one. The peer listener stays open meanwhile, since the hand-over uses it.
func (d *Daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := d.actor.Send(ctx, controller.SeatHandOverRequested{}); err != nil {
		return
	}
	ticker := time.NewTicker(handOverPollInterval)
	defer ticker.Stop()
	for {
		status, err := d.actor.Status(ctx)
		if err == nil && len(status.Shards) == 0 && (status.SeatLeft || d.settings.Seats == 1) {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
