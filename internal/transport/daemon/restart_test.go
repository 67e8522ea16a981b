package daemon

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/protocol/operatorapi"
	"github.com/jujubearch/jujubearch/internal/protocol/settings"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

func newAddress(t *testing.T) string {
	t.Helper()
	return uniqueAddress()
}

// entryPair is a data centre with two entries that use a development site's platform and upstream instances.
type entryPair struct {
	t        *testing.T
	settings [2]*settings.Settings
	mu       sync.Mutex
	entries  [2]*Daemon
}

func startEntryPair(t *testing.T, site *DevSite) *entryPair {
	t.Helper()
	p := &entryPair{t: t}
	for i := range p.settings {
		s := DevSettings(site.servers[0].URL())
		s.Entry, s.Seat, s.Seats = model.EntryID(fmt.Sprintf("pair-%d", i)), uint32(i), 2
		s.PeerListen, s.CallerListen, s.OperatorListen = newAddress(t), newAddress(t), newAddress(t)
		s.DrainLag, s.DrainDeadline = 300*time.Millisecond, 10*time.Second
		p.settings[i] = s
	}
	for i, s := range p.settings {
		other := p.settings[1-i]
		s.Peers = []settings.Peer{{ID: other.Entry, Address: other.PeerListen, DataCentre: other.DataCentre}}
		p.start(i)
	}
	t.Cleanup(func() {
		for _, d := range p.entries {
			d.Close()
		}
	})
	return p
}

func (p *entryPair) start(i int) {
	d, err := Start(p.settings[i], slog.New(slog.DiscardHandler))
	assert.NilError(p.t, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries[i] = d
}

func (p *entryPair) isReady(i int) bool {
	response, err := http.Get("http://" + p.settings[i].OperatorListen + operatorapi.PathReady)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (p *entryPair) hasInstances(i int) bool {
	return len(p.entries[i].Actor().Snapshot().Instances) > 0
}

// startLoad sends requests until stop is closed, as clients behind a load balancer do: it polls the readiness of both
// entries every 50 ms, so that its view lags, and sends to a ready one. It counts the requests that were served and
// that failed.
func (p *entryPair) startLoad(stop <-chan struct{}) (served, failed *atomic.Int64, clients *sync.WaitGroup) {
	served, failed, clients = new(atomic.Int64), new(atomic.Int64), new(sync.WaitGroup)
	var ready [2]atomic.Bool
	repeat := func(interval time.Duration, f func()) {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(interval):
					f()
				}
			}
		})
	}
	for i := range ready {
		ready[i].Store(true)
		repeat(50*time.Millisecond, func() { ready[i].Store(p.isReady(i)) })
	}
	for client := range 4 {
		next := client
		repeat(2*time.Millisecond, func() {
			next++
			i := next % 2
			if !ready[i].Load() {
				i = 1 - i
			}
			response, err := http.Get("http://" + p.settings[i].CallerListen + "/matcher/x?work=20ms")
			if err != nil {
				failed.Add(1)
				return
			}
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if err != nil || response.StatusCode != http.StatusOK {
				failed.Add(1)
				return
			}
			served.Add(1)
		})
	}
	return served, failed, clients
}

// Guards against a planned restart of all entries, one after another, that loses or aborts a request, and against
// entries that together exceed an instance's slots while seats change hands.
func TestDataCentreRestartLosesNoRequest(t *testing.T) {
	site := startSite(t)
	p := startEntryPair(t, site)
	waitFor(t, "both entries to be ready", func() bool { return p.isReady(0) && p.isReady(1) })
	// The VM list is empty until its lag has passed.
	waitFor(t, "the upstream instances of the VM list", func() bool { return p.hasInstances(0) && p.hasInstances(1) })
	stop := make(chan struct{})
	served, failed, clients := p.startLoad(stop)
	for i := range p.entries {
		servedBefore := served.Load()
		waitFor(t, "50 more responses", func() bool { return served.Load() > servedBefore+50 })
		assert.NilError(t, p.entries[i].Drain(t.Context()))
		p.start(i)
		waitFor(t, "the restarted entry to be ready", func() bool { return p.isReady(i) })
	}
	close(stop)
	clients.Wait()
	assert.Equal(t, failed.Load(), int64(0), "failed requests besides %d served", served.Load())
	for _, u := range site.Upstreams {
		assert.Equal(t, u.ExcessRequests(), int64(0), u.Name)
		assert.Equal(t, u.ExcessConnections(), int64(0), u.Name)
	}
}

// Guards against a drain that aborts requests without reporting it.
func TestDrainReportsAbortedRequests(t *testing.T) {
	site := startSite(t)
	url := "http://" + site.Daemon.CallerAddress + "/matcher/x?work="
	waitFor(t, "a response from an instance", func() bool {
		response, err := http.Get(url + "1ms")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		if response, err := http.Get(url + "9s"); err == nil {
			_ = response.Body.Close()
		}
	}()
	waitFor(t, "the request to be in flight", func() bool { return site.Daemon.inFlight.Load() == 1 })
	site.Daemon.settings.DrainDeadline = 100 * time.Millisecond
	assert.ErrorIs(t, site.Daemon.Drain(t.Context()), ErrRequestsAborted)
	<-finished
}
