package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/protocol/intent"
	"github.com/jujubearch/jujubearch/internal/protocol/settings"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/transport/control"
	"github.com/jujubearch/jujubearch/internal/transport/standin"
)

const (
	devWorkers   = 8
	devUpstreams = 3
	devUsageLag  = 2 * time.Second
	devVMListLag = 500 * time.Millisecond
)

// devIntents is the configuration that StartDev confirms.
const devIntents = `
[shards]
per_data_centre = 2
claim = 2

[service matcher]
latency_target = 150ms
percentile = 99

[route matcher]
path_prefix = /matcher
service = matcher

[team default]
weight = 1
`

// DevSite is a development installation: one entry, with in-memory stand-ins for the platform and the upstream
// instances.
type DevSite struct {
	Daemon    *Daemon
	Store     *standin.Store
	VMs       *standin.VMList
	Workers   []*standin.Worker
	Upstreams []*standin.Upstream
	servers   []*standin.Server
}

// StartDev starts a development site on loopback and confirms its initial configuration.
func StartDev(logger *slog.Logger) (*DevSite, error) {
	site := &DevSite{Store: standin.NewStore(), VMs: standin.NewVMList(devVMListLag)}
	if err := site.start(logger); err != nil {
		site.Close()
		return nil, errors.Trace(err)
	}
	return site, nil
}

func (s *DevSite) start(logger *slog.Logger) error {
	platform, err := s.trackServer(standin.ServePlatform(s.Store, s.VMs))
	if err != nil {
		return errors.Trace(err)
	}
	vms, err := s.startVMs()
	if err != nil {
		return errors.Trace(err)
	}
	s.VMs.Update(func([]model.VM) []model.VM { return vms })
	s.Daemon, err = Start(DevSettings(platform.URL()), logger)
	if err != nil {
		return errors.Trace(err)
	}
	return s.configure()
}

// trackServer records a started server, so that Close stops it. It passes its arguments through.
func (s *DevSite) trackServer(server *standin.Server, err error) (*standin.Server, error) {
	if err == nil {
		s.servers = append(s.servers, server)
	}
	return server, err
}

// DevSettings returns settings for a single entry on loopback that uses the platform at platformURL.
func DevSettings(platformURL string) *settings.Settings {
	return &settings.Settings{
		Entry: "dev-1", DataCentre: "lju-a", Seats: 1,
		CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0",
		StoreURL: platformURL, VMListURL: platformURL, StoreTimeout: 2 * time.Second,
		Regions: map[model.DataCentre]model.Region{"lju-a": "si-central"}, StoreRegion: "si-central",
		RequestTimeout: 10 * time.Second, QueuePerSlot: 100, DrainDeadline: time.Minute,
		MaxHeaderBytes: 64 << 10, MaxOperatorBodyBytes: 1 << 20, MaxKeyedBodyBytes: 1 << 20,
	}
}

func (s *DevSite) startVMs() ([]model.VM, error) {
	var vms []model.VM
	capacity := model.Resources{CPUMillis: 32_000, MemoryBytes: 125_000_000_000}
	for i := range devWorkers {
		w := standin.NewWorker(model.WorkerID(fmt.Sprintf("worker-%d", i)), capacity, devUsageLag)
		server, err := s.trackServer(standin.ServeWorker(w))
		if err != nil {
			return nil, errors.Trace(err)
		}
		s.Workers = append(s.Workers, w)
		vms = append(vms, model.VM{
			ID: model.VMID(fmt.Sprintf("worker-%d", i)), Address: server.Address, DataCentre: "lju-a", Rack: "rack-1",
			Role: model.RoleWorker, Capacity: capacity,
		})
	}
	for i := range devUpstreams {
		u := standin.NewUpstream(fmt.Sprintf("matcher-%d", i), 8, 64)
		server, err := s.trackServer(standin.ServeUpstream(u))
		if err != nil {
			return nil, errors.Trace(err)
		}
		s.Upstreams = append(s.Upstreams, u)
		vms = append(vms, model.VM{
			ID: model.VMID(u.Name), Address: server.Address, DataCentre: "lju-a", Role: model.RoleUpstream, Service: "matcher",
		})
	}
	return vms, nil
}

// configure submits and confirms the initial intents.
func (s *DevSite) configure() error {
	intents, err := intent.Parse([]byte(devIntents))
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	actor := s.Daemon.Actor()
	p, err := control.AskTyped[model.Plan](ctx, actor, func(to controller.ReplyTo) controller.Event {
		return controller.PlanSubmitted{ReplyTo: to, ID: "dev", Operator: "dev", Digest: "dev", Intents: intents}
	})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = control.AskTyped[controller.Confirmation](ctx, actor, func(to controller.ReplyTo) controller.Event {
		return controller.PlanConfirmed{ReplyTo: to, ID: p.ID, Operator: "dev"}
	})
	return errors.Trace(err)
}

// Close stops the entry and the stand-ins at once.
func (s *DevSite) Close() {
	if s.Daemon != nil {
		s.Daemon.Close()
	}
	for _, server := range s.servers {
		server.Close()
	}
}
