// Package jobdaemon assembles and runs an entry: a process that accepts jobs from callers and, while it is the leader,
// schedules them on the workers of a platform. The platform is reached through an Adapter.
//
// Guarantees: callers are accepted only after all other listeners are open, and Drain hands the leadership over before
// it stops serving callers, as far as DrainDeadline allows.
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
	"github.com/jujubearch/jujubearch/internal/transport/relay"
)

const (
	// headerTimeout limits the time a client may take to send its request headers.
	headerTimeout = 3 * time.Second
	// peerIdleTimeout is the time after which an idle connection to another entry is closed.
	peerIdleTimeout = 10 * time.Second
	// peerDialTimeout limits opening a connection to another entry.
	peerDialTimeout = 300 * time.Millisecond
	// responseReserve is the part of DrainDeadline that is kept for responses. A request that is still being handled then,
	// because the store doesn't answer, is answered with what is known of its outcome, since it would be cut at the end.
	responseReserve = 500 * time.Millisecond
	// memoryLimitShare is the share of the process's memory limit that becomes the Go runtime's soft limit. The rest is
	// for kernel buffers, which count towards the process's limit too.
	memoryLimitShare = 0.7
	bytesPerMB       = 1 << 20
	// gcPercent lets the heap grow to four times its live size before a collection, because CPU time is scarcer here
	// than memory.
	gcPercent = 300
)

// Adapter is the implementation of a platform.
type Adapter struct {
	Store     jobs.Store
	Workers   jobs.Workers
	Directory jobs.Directory
	Advisor   jobs.Advisor
	// CallerHandler returns the handler of callers' requests, HealthHandler that of the load balancer's health checks.
	CallerHandler func(*jobs.Service) http.Handler
	HealthHandler func(*jobs.Service) http.Handler
	// DroppedLogLines returns the numbers of log lines dropped so far; nil means that the logger drops none.
	DroppedLogLines func() event.DroppedLines
}

// Daemon is a running entry.
type Daemon struct {
	settings     *settings.JobSettings
	logger       *slog.Logger
	actor        *jobs.ControlActor
	hub          *relay.Hub
	agent        *relay.Agent
	droppedLines func() event.DroppedLines
	stopReports  func()
	callerServer *http.Server
	servers      []*http.Server
	// requestCtx is the base context of callers' requests, and endRequests cancels it.
	requestCtx  context.Context
	endRequests context.CancelFunc
}

// Start opens the listeners and starts the control actor.
func Start(jobSettings *settings.JobSettings, logger *slog.Logger, adapter Adapter) (*Daemon, error) {
	debug.SetGCPercent(gcPercent)
	if jobSettings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(jobSettings.MemoryMB) * bytesPerMB))
	}
	d := &Daemon{
		settings: jobSettings, logger: logger, droppedLines: adapter.DroppedLogLines,
		hub: relay.NewHub(),
	}
	d.requestCtx, d.endRequests = context.WithCancel(context.Background())
	jobMetrics := jobs.NewMetrics()
	if adapter.DroppedLogLines != nil {
		jobMetrics.RegisterDroppedLines(adapter.DroppedLogLines)
	}
	core := coreSettings(jobSettings)
	executor := &jobs.Executor{
		Store: adapter.Store, Workers: adapter.Workers, Directory: adapter.Directory, Advisor: adapter.Advisor,
		Relays: d.hub, Logger: logger, Metrics: jobMetrics,
	}
	actor, err := jobs.NewControlActor(context.Background(), core, executor, newRandom())
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.actor = actor
	d.stopReports = func() {}
	if d.droppedLines != nil {
		d.stopReports = startDropReports(logger, d.droppedLines)
	}
	d.hub.Attach(actor)
	service := &jobs.Service{
		Actor: actor, Store: executor.Store, Leader: jobs.NewPeerClient(newPeerHTTPClient()), Logger: logger,
		Metrics: jobMetrics,
	}
	if err := d.listen(service, adapter, jobMetrics); err != nil {
		d.Close()
		return nil, errors.Trace(err)
	}
	d.agent = relay.StartAgent(relay.AgentOptions{
		Entry: core.Entry, Address: core.Address, Incarnation: core.Incarnation, DataCentre: jobSettings.DataCentre,
		MaxWorkers: scheduler.MaxWorkers(core.Cores, core.LinkMbps),
		Core:       actor, Workers: adapter.Workers,
		Client: newPeerHTTPClient(), Logger: logger,
	})
	event.Log(logger, notice.ProcessStarted, notice.Attr{Key: "entry", Value: jobSettings.Entry},
		notice.Attr{Key: "caller", Value: jobSettings.CallerListen}, notice.Attr{Key: "peer", Value: jobSettings.PeerListen})
	return d, nil
}

// listen opens the listeners and serves on them. The callers' listener must be the last in the list: no caller is then
// accepted before the other listeners are open, and the last server assigned to callerServer is that of the callers.
func (d *Daemon) listen(service *jobs.Service, adapter Adapter, jobMetrics *jobs.Metrics) error {
	peers := http.NewServeMux()
	peers.Handle(jobs.NewPeerServer(d.actor).Handler())
	peers.Handle(d.hub.Handler())
	for _, endpoint := range []struct {
		address string
		handler http.Handler
	}{
		{d.settings.PeerListen, peers},
		{d.settings.OperatorListen, operatorHandler(service, jobMetrics.Set())},
		{d.settings.HealthListen, adapter.HealthHandler(service)},
		{d.settings.CallerListen, adapter.CallerHandler(service)},
	} {
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return errors.Trace(err)
		}
		server := &http.Server{
			Handler: endpoint.handler, ReadHeaderTimeout: headerTimeout,
			ErrorLog: slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
		}
		d.servers = append(d.servers, server)
		d.callerServer = server
		if endpoint.address == d.settings.CallerListen {
			server.BaseContext = func(net.Listener) context.Context { return d.requestCtx }
		}
		go func() { _ = server.Serve(listener) }()
	}
	return nil
}

// operatorHandler serves jujubearch's own job API and the metrics.
func operatorHandler(service *jobs.Service, set *metrics.Set) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", jobs.NewAPI(service))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

// Drain hands the leadership over, keeps serving until DrainLag after its start, since the load balancer still sends
// requests, and then shuts down, waiting for the requests in flight. DrainDeadline limits all these waits together;
// requests that are still in flight responseReserve before it are answered at once.
func (d *Daemon) Drain(ctx context.Context) {
	event.Log(d.logger, notice.ProcessDraining)
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainDeadline)
	defer cancel()
	lagTimer := time.NewTimer(d.settings.DrainLag)
	defer lagTimer.Stop()
	endTimer := time.AfterFunc(max(d.settings.DrainLag, d.settings.DrainDeadline-responseReserve), d.endRequests)
	defer endTimer.Stop()
	if err := d.actor.Drain(ctx); err != nil {
		event.Log(d.logger, notice.DependencyLost, notice.Attr{Key: "dependency", Value: "leadership"},
			notice.Attr{Key: "error", Value: err.Error()})
	}
	select {
	case <-lagTimer.C:
	case <-ctx.Done():
	}
	if err := d.callerServer.Shutdown(ctx); err != nil {
		event.Log(d.logger, notice.DrainAbortedRequests, notice.Attr{Key: "error", Value: err.Error()})
	}
	d.Close()
	if d.droppedLines != nil {
		logDroppedLines(d.logger, d.droppedLines())
	}
	event.Log(d.logger, notice.ProcessStopped)
}

// Close stops the daemon without draining: requests in flight are cut and the leadership is not handed over.
func (d *Daemon) Close() {
	d.stopReports()
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.endRequests()
	if d.agent != nil {
		d.agent.Stop()
	}
	d.actor.Stop()
}

// newPeerHTTPClient returns the HTTP client for calls to other entries. It uses HTTP/1.1, where a cancelled call closes
// its connection, so that a connection without responses is not reused.
func newPeerHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: peerIdleTimeout, MaxIdleConnsPerHost: 4, DisableCompression: true,
	}}
}

func coreSettings(jobSettings *settings.JobSettings) scheduler.Settings {
	return scheduler.Settings{
		Entry: jobSettings.Entry, Incarnation: model.Incarnation(time.Now().UnixMicro()), Address: jobSettings.PeerListen,
		LeaderTTL: jobSettings.LeaderTTL, MaxUnconfirmed: jobSettings.LeaderMaxUnconfirmed,
		ConfigMaxAge: jobSettings.ConfigMaxAge,
		Cores:        jobSettings.Cores, LinkMbps: jobSettings.LinkMbps,
		Dispatch: dispatch.Settings{
			MaxLease: jobSettings.MaxLease, StatusRetention: jobSettings.StatusRetention,
			MaxDirectWorkers: scheduler.MaxWorkers(jobSettings.Cores, jobSettings.LinkMbps),
		},
	}
}

// newRandom returns a generator with a random seed.
func newRandom() *mathrand.Rand {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}
