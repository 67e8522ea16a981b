package standin

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jujubearch/jujubearch/internal/protocol/header"
)

// Upstream is a stand-in for one upstream instance of a service. It counts the requests and connections beyond its
// limits, but serves them too.
type Upstream struct {
	Name string
	// Observe, if not nil, is called at the start of each request. It must be set before the instance serves.
	Observe func(*http.Request)

	slots    int32
	maxConns int32

	runningRequests atomic.Int32
	peakRequests    atomic.Int32
	openConns       atomic.Int32
	startedRequests atomic.Int64
	excessRequests  atomic.Int64
	excessConns     atomic.Int64
	leaving         atomic.Bool
	leavingSinceNS  atomic.Int64
	defaultWorkNS   atomic.Int64
	lastArrivalNS   atomic.Int64
}

// NewUpstream returns an instance with the given limits on concurrent requests and open connections.
func NewUpstream(name string, slots, maxConns int32) *Upstream {
	return &Upstream{Name: name, slots: slots, maxConns: maxConns}
}

// SetProcessingTime sets the processing time of requests without a "work" parameter.
func (u *Upstream) SetProcessingTime(d time.Duration) { u.defaultWorkNS.Store(int64(d)) }

// Leave makes the instance announce in its responses that it is leaving.
func (u *Upstream) Leave() {
	u.leavingSinceNS.Store(time.Now().UnixNano())
	u.leaving.Store(true)
}

// PeakRequests returns the highest number of concurrent requests seen. It may be too low, since its update is not
// atomic.
func (u *Upstream) PeakRequests() int32 { return u.peakRequests.Load() }

// StartedRequests returns the number of requests whose processing has started.
func (u *Upstream) StartedRequests() int64 { return u.startedRequests.Load() }

// ExcessRequests returns the number of requests that arrived while all slots were in use.
func (u *Upstream) ExcessRequests() int64 { return u.excessRequests.Load() }

// ExcessConnections returns the number of connections that were opened beyond the limit.
func (u *Upstream) ExcessConnections() int64 { return u.excessConns.Load() }

// LastArrival returns the arrival time of the latest request.
func (u *Upstream) LastArrival() time.Time { return time.Unix(0, u.lastArrivalNS.Load()) }

// ConnState counts the open connections; it is meant for http.Server.ConnState.
func (u *Upstream) ConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if u.openConns.Add(1) > u.maxConns {
			u.excessConns.Add(1)
		}
	case http.StateClosed, http.StateHijacked:
		u.openConns.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// ServeHTTP waits for the duration in the "work" parameter. It then echoes the body of a POST or PUT, and responds to
// other methods with its name and the path.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.lastArrivalNS.Store(time.Now().UnixNano())
	running := u.runningRequests.Add(1)
	if running > u.slots {
		u.excessRequests.Add(1)
	}
	if running > u.peakRequests.Load() {
		u.peakRequests.Store(running)
	}
	defer u.runningRequests.Add(-1)
	u.startedRequests.Add(1)
	if u.Observe != nil {
		u.Observe(r)
	}
	work := time.Duration(u.defaultWorkNS.Load())
	if text := r.URL.Query().Get("work"); text != "" {
		if d, err := time.ParseDuration(text); err == nil {
			work = d
		}
	}
	if work > 0 {
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}
	}
	if u.leaving.Load() {
		w.Header().Set(header.Leaving, "true")
	}
	w.Header().Set("Upstream", u.Name)
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		_, _ = io.Copy(w, r.Body)
		return
	}
	_, _ = io.WriteString(w, u.Name+" "+r.URL.Path+"\n")
}
