package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/protocol/settings"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/transport/standin"
)

const (
	clusterWorkers   = 4
	clusterUpstreams = 2
	clusterSeats     = 2
)

var clusterDataCentres = []model.DataCentre{"lju-a", "lju-b", "grz-a"}

var clusterRegions = map[model.DataCentre]model.Region{
	"lju-a": "si-central", "lju-b": "si-central", "grz-a": "at-south",
}

// pausableClock is a clock whose readers block while it is paused, which stops a control actor between two events.
type pausableClock struct{ mu sync.RWMutex }

func (p *pausableClock) now() time.Time {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return time.Now()
}

// member is one entry of a cluster. It keeps its settings across restarts; daemon is nil while the entry is down.
type member struct {
	settings *settings.Settings
	clock    *pausableClock
	mu       sync.Mutex
	daemon   *Daemon
}

func (m *member) current() *Daemon {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.daemon
}

// cluster is an installation of six entries in three data centres, with stand-ins for the platform.
type cluster struct {
	t          *testing.T
	network    *testNetwork
	store      *standin.Store
	vms        *standin.VMList
	members    []*member
	workers    []*standin.Worker
	upstreams  []*standin.Upstream
	executions *executionCounter
}

// executionCounter counts how often each request was executed, over all upstream instances.
type executionCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *executionCounter) observe(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.URL.Query().Get("id")]++
}

func (c *executionCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

func startCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		t: t, network: newTestNetwork(), store: standin.NewStore(), vms: standin.NewVMList(devVMListLag),
		executions: &executionCounter{runs: make(map[string]int)},
	}
	platform, err := standin.ServePlatform(c.store, c.vms)
	assert.NilError(t, err)
	t.Cleanup(platform.Close)
	c.network.register(platform.Address, "platform")
	var vms []model.VM
	for _, dc := range clusterDataCentres {
		vms = append(vms, c.startVMs(dc)...)
	}
	c.vms.Update(func([]model.VM) []model.VM { return vms })
	c.prepareEntries(platform.URL())
	for i := range c.members {
		c.start(i)
	}
	t.Cleanup(func() {
		for i := range c.members {
			c.kill(i)
		}
	})
	return c
}

func (c *cluster) startVMs(dc model.DataCentre) []model.VM {
	var vms []model.VM
	capacity := model.Resources{CPUMillis: 8_000, MemoryBytes: 32_000_000_000}
	for i := range clusterWorkers {
		id := fmt.Sprintf("%s-w%d", dc, i)
		w := standin.NewWorker(model.WorkerID(id), capacity, 200*time.Millisecond)
		server, err := standin.ServeWorker(w)
		assert.NilError(c.t, err)
		c.t.Cleanup(server.Close)
		c.network.register(server.Address, id)
		c.workers = append(c.workers, w)
		vms = append(vms, model.VM{
			ID: model.VMID(id), Address: server.Address, DataCentre: dc, Rack: fmt.Sprintf("%s-r%d", dc, i/2),
			Role: model.RoleWorker, Capacity: capacity,
		})
	}
	for i := range clusterUpstreams {
		u := standin.NewUpstream(fmt.Sprintf("%s-u%d", dc, i), 8, 64)
		u.Observe = c.executions.observe
		server, err := standin.ServeUpstream(u)
		assert.NilError(c.t, err)
		c.t.Cleanup(server.Close)
		c.network.register(server.Address, u.Name)
		c.upstreams = append(c.upstreams, u)
		vms = append(vms, model.VM{
			ID: model.VMID(u.Name), Address: server.Address, DataCentre: dc, Role: model.RoleUpstream, Service: "matcher",
		})
	}
	return vms
}

// newAddress returns a new loopback address for an entry's listener; the entry keeps it across restarts.
func (c *cluster) newAddress() string {
	return uniqueAddress()
}

func (c *cluster) prepareEntries(platformURL string) {
	var peers []settings.Peer
	for _, dc := range clusterDataCentres {
		for seat := range uint32(clusterSeats) {
			id := model.EntryID(fmt.Sprintf("%s-%d", dc, seat))
			s := DevSettings(platformURL)
			s.Entry, s.DataCentre, s.Seat, s.Seats = id, dc, seat, clusterSeats
			s.Regions, s.StoreRegion = clusterRegions, "si-central"
			s.CallerListen, s.PeerListen, s.OperatorListen = c.newAddress(), c.newAddress(), c.newAddress()
			s.Advertise, s.StoreTimeout, s.DrainLag = s.PeerListen, time.Second, 300*time.Millisecond
			c.network.register(s.PeerListen, string(id))
			peers = append(peers, settings.Peer{ID: id, Address: s.PeerListen, DataCentre: dc})
			c.members = append(c.members, &member{settings: s, clock: &pausableClock{}})
		}
	}
	for _, m := range c.members {
		for _, p := range peers {
			if p.ID != m.settings.Entry {
				m.settings.Peers = append(m.settings.Peers, p)
			}
		}
	}
}

func (c *cluster) start(i int) {
	m := c.members[i]
	d, err := StartWithOptions(m.settings, Options{
		Logger: slog.New(slog.DiscardHandler), Dial: c.network.dialer(string(m.settings.Entry)), Clock: m.clock.now,
	})
	assert.NilError(c.t, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.daemon = d
}

// kill stops an entry without a drain, as a crash would.
func (c *cluster) kill(i int) {
	m := c.members[i]
	m.mu.Lock()
	d := m.daemon
	m.daemon = nil
	m.mu.Unlock()
	if d != nil {
		d.Close()
	}
}

// drain stops an entry gracefully; it returns an error if requests were aborted.
func (c *cluster) drain(i int) error {
	m := c.members[i]
	d := m.current()
	err := d.Drain(context.Background())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.daemon = nil
	return err
}

// pause suspends the control actor of an entry; the returned function resumes it.
func (c *cluster) pause(i int) func() {
	clock := c.members[i].clock
	clock.mu.Lock()
	return clock.mu.Unlock
}

// isolate partitions an entry from all entries, workers and the platform in both directions, or ends the partition.
// Upstream instances stay reachable.
func (c *cluster) isolate(i int, isolated bool) {
	self := string(c.members[i].settings.Entry)
	nodes := []string{"platform"}
	for _, m := range c.members {
		nodes = append(nodes, string(m.settings.Entry))
	}
	for _, w := range c.workers {
		nodes = append(nodes, string(w.ID()))
	}
	for _, node := range nodes {
		c.network.setBlocked(self, node, isolated)
		c.network.setBlocked(node, self, isolated)
	}
}

// ready returns the entries whose readiness check passes.
func (c *cluster) ready() []int {
	var ready []int
	for i, m := range c.members {
		if d := m.current(); d != nil && d.Actor().Snapshot().Ready {
			ready = append(ready, i)
		}
	}
	return ready
}

// lastPort is the last port that uniqueAddress returned, counted from 10000. Ports stay below the ephemeral range.
var lastPort atomic.Uint32

// uniqueAddress returns an address that nothing else listens on: its loopback host is derived from the process ID, and
// each port is returned once.
func uniqueAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:%d", 1+pid/250%250, 1+pid%250, 10_000+lastPort.Add(1))
}
