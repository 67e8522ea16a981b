// Package jobdaemon wires an entry that schedules jobs on a platform and runs its life cycle. The platform's adapter
// supplies the ports.
package jobdaemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/protocol/settings"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/transport/event"
	"github.com/jujubearch/jujubearch/internal/transport/jobs"
)

const (
	// headerTimeout bounds the time in which a client sends its headers.
	headerTimeout = 3 * time.Second
	// peerIdle closes idle connections between entries.
	peerIdle = 10 * time.Second
	// peerDial bounds the opening of a connection to another entry.
	peerDial = 300 * time.Millisecond
	// memoryShare is the part of the memory limit at which the garbage collector works harder; the rest is for buffers
	// of the kernel, which count as well.
	memoryShare = 0.7
	bytesPerMB  = 1 << 20
	// collectorPercent lets the heap grow to four times what is live before it is collected: processor time is scarcer
	// here than memory.
	collectorPercent = 300
)

// Adapter is what the platform supplies.
type Adapter struct {
	Store     jobs.Store
	Workers   jobs.Workers
	Directory jobs.Directory
	Advisor   jobs.Advisor
	// Front returns the handler of callers' requests, Health that of the balancer's checks.
	Front  func(*jobs.Service) http.Handler
	Health func(*jobs.Service) http.Handler
	// LinesDropped counts the log lines that were dropped; nil means that none ever is.
	LinesDropped func() uint64
}

// Daemon is a running entry.
type Daemon struct {
	settings *settings.Site
	logger   *slog.Logger
	host     *jobs.Host
	dropped  func() uint64
	front    *http.Server
	servers  []*http.Server
}

// Start opens the listeners and starts the control actor.
func Start(s *settings.Site, logger *slog.Logger, adapter Adapter) (*Daemon, error) {
	debug.SetGCPercent(collectorPercent)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * bytesPerMB))
	}
	d := &Daemon{settings: s, logger: logger, dropped: adapter.LinesDropped}
	counters := jobs.NewMetrics()
	if adapter.LinesDropped != nil {
		counters.CountDropped(adapter.LinesDropped)
	}
	executor := &jobs.Executor{
		Store: adapter.Store, Workers: adapter.Workers, Directory: adapter.Directory, Advisor: adapter.Advisor, Logger: logger, Metrics: counters,
	}
	host, err := jobs.NewHost(context.Background(), coreSettings(s), executor, newRandom())
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.host = host
	service := &jobs.Service{
		Host: host, Store: executor.Store, Leader: jobs.NewPeerClient(newPeerClient()), Logger: logger, Metrics: counters,
	}
	if err := d.listen(service, adapter, counters); err != nil {
		d.Close()
		return nil, errors.Trace(err)
	}
	event.Log(logger, notice.ProcessStarted, notice.Attr{Key: "entry", Value: s.Entry},
		notice.Attr{Key: "caller", Value: s.CallerListen}, notice.Attr{Key: "peer", Value: s.PeerListen})
	return d, nil
}

func (d *Daemon) listen(service *jobs.Service, adapter Adapter, counters *jobs.Metrics) error {
	peers := http.NewServeMux()
	peers.Handle(jobs.NewPeerServer(d.host).Handler())
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{d.settings.PeerListen, peers},
		{d.settings.OperatorListen, operatorHandler(service, counters.Set())},
		{d.settings.HealthListen, adapter.Health(service)},
		{d.settings.CallerListen, adapter.Front(service)},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Trace(err)
		}
		server := &http.Server{
			Handler: l.handler, ReadHeaderTimeout: headerTimeout,
			ErrorLog: slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
		}
		d.servers = append(d.servers, server)
		d.front = server
		go func() { _ = server.Serve(listener) }()
	}
	return nil
}

// operatorHandler serves the product's job interface and the metrics.
func operatorHandler(service *jobs.Service, set *metrics.Set) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", jobs.NewAPI(service))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

// Drain hands the leadership over, goes on serving while the balancer still sends requests, and finishes what is in
// flight.
func (d *Daemon) Drain(ctx context.Context) {
	event.Log(d.logger, notice.ProcessDraining)
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainDeadline)
	defer cancel()
	lag := time.NewTimer(d.settings.DrainLag)
	defer lag.Stop()
	if err := d.host.Drain(ctx); err != nil {
		event.Log(d.logger, notice.DependencyLost, notice.Attr{Key: "dependency", Value: "leadership"},
			notice.Attr{Key: "error", Value: err.Error()})
	}
	select {
	case <-lag.C:
	case <-ctx.Done():
	}
	if err := d.front.Shutdown(ctx); err != nil {
		event.Log(d.logger, notice.DrainCutRequests, notice.Attr{Key: "error", Value: err.Error()})
	}
	d.Close()
	if d.dropped != nil && d.dropped() > 0 {
		event.Log(d.logger, notice.LinesDropped, notice.Attr{Key: "lines", Value: d.dropped()})
	}
	event.Log(d.logger, notice.ProcessStopped)
}

// Close ends the daemon at once, as a crash would.
func (d *Daemon) Close() {
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.host.Stop()
}

// newPeerClient returns a client for calls between entries. It speaks HTTP/1.1: a call that is given up closes its
// connection, so that one that went silent is not used again.
func newPeerClient() *http.Client {
	dialer := &net.Dialer{Timeout: peerDial}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: peerIdle, MaxIdleConnsPerHost: 4, DisableCompression: true,
	}}
}

func coreSettings(s *settings.Site) scheduler.Settings {
	return scheduler.Settings{
		Entry: s.Entry, Incarnation: model.Incarnation(time.Now().UnixMicro()), Address: s.PeerListen,
		LeaderTTL: s.LeaderTTL, Blind: s.LeaderBlind, Cores: s.Cores, LinkMbps: s.LinkMbps,
		Dispatch: dispatch.Settings{
			LeaseMax: s.LeaseMax, StatusKeep: s.StatusKeep,
		},
	}
}

func newRandom() *mathrand.Rand {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}
