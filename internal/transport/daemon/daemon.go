// Package daemon builds and runs one entry, a process that serves callers and takes part in scheduling. It opens the
// listeners for callers, peers and operators, starts the control actor, and shuts the process down.
//
// Guarantee: Drain completes all requests that callers sent to this entry, or returns an error with the number aborted.
// It also tries to hand the entry's seat (its share of the slots of upstream instances in its data centre) and its
// shards over to peers.
package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/coordination/membership"
	"github.com/jujubearch/jujubearch/internal/protocol/settings"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/transport/caller"
	"github.com/jujubearch/jujubearch/internal/transport/claim"
	"github.com/jujubearch/jujubearch/internal/transport/control"
	"github.com/jujubearch/jujubearch/internal/transport/event"
	"github.com/jujubearch/jujubearch/internal/transport/operator"
	"github.com/jujubearch/jujubearch/internal/transport/peer"
	"github.com/jujubearch/jujubearch/internal/transport/platform"
	"github.com/jujubearch/jujubearch/internal/transport/upstream"
)

// maxConnsPerInstance bounds the connections to one upstream instance; the seats of a data centre share it equally.
const maxConnsPerInstance = 64

// maxConnsPerPeer bounds the HTTP/2 connections to one peer that carry forwarded requests.
const maxConnsPerPeer = 4

// readHeaderTimeout bounds the time that a client may take to send the request headers.
const readHeaderTimeout = 10 * time.Second

// Daemon is one running entry.
type Daemon struct {
	settings *settings.Settings
	logger   *slog.Logger
	actor    *control.Actor
	servers  []*http.Server
	claims   *claim.Service
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	pools    []*upstream.Pool
	inFlight atomic.Int64
	// credentials is nil when entries communicate over plain HTTP.
	credentials *peer.Credentials

	// CallerAddress, PeerAddress and OperatorAddress are the addresses of the listeners, with the actual ports.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
}

// Options are the dependencies that tests can replace.
type Options struct {
	Logger *slog.Logger
	// Dial opens all outgoing connections; nil means the default dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Clock is the control actor's clock; nil means time.Now.
	Clock func() time.Time
}

// Start opens the listeners and starts the control actor, with default dependencies.
func Start(s *settings.Settings, logger *slog.Logger) (*Daemon, error) {
	return StartWithOptions(s, Options{Logger: logger})
}

// StartWithOptions is Start with replaceable dependencies.
func StartWithOptions(s *settings.Settings, o Options) (*Daemon, error) {
	token, err := newTokenReader(s.OperatorTokenFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	logger := o.Logger
	d := &Daemon{settings: s, logger: logger, dial: o.Dial}
	if s.PeerTLS.CertificateFile != "" {
		if d.credentials, err = peer.LoadCredentials(s.PeerTLS); err != nil {
			return nil, errors.Trace(err)
		}
	}
	client := newClient(o.Dial)
	peerClient := d.newPeerClient(client)
	d.actor = control.Start(control.Options{
		Settings: controllerSettings(s), Performer: newExecutor(s, logger, client, peerClient), Random: newRandom(),
		Clock: o.Clock,
	})
	connsPerInstance := max(1, maxConnsPerInstance/int(s.Seats))
	d.claims = claim.NewService(d.actor, peerClient)
	proxy := d.newProxy(connsPerInstance)
	operatorServer := operator.NewServer(d.actor, peerClient, token, s.MaxOperatorBodyBytes)
	mux := http.NewServeMux()
	mux.Handle(peer.NewServer(d.actor).Handler())
	mux.Handle(peer.NewStatusServer(d.actor).Handler())
	if err := d.listen(d.countInFlight(proxy), proxy.PeerHandler(mux), operatorServer.Handler()); err != nil {
		d.Close()
		return nil, errors.Trace(err)
	}
	event.Log(logger, notice.ProcessStarted,
		controller.Attr{Key: "entry", Value: s.Entry}, controller.Attr{Key: "caller", Value: d.CallerAddress},
		controller.Attr{Key: "peer", Value: d.PeerAddress}, controller.Attr{Key: "operator", Value: d.OperatorAddress})
	return d, nil
}

// newProxy returns the proxy for callers, with connection pools for upstream instances and peers.
func (d *Daemon) newProxy(connsPerInstance int) *caller.Proxy {
	var proxy *caller.Proxy
	upstreams := upstream.NewPool(upstream.Options{
		MaxPerAddress: connsPerInstance, Dial: d.dial,
		IsClosed: func(address string) bool { return caller.IsAddressClosed(d.actor.Snapshot(), address) },
	})
	peers := upstream.NewPool(upstream.Options{
		MaxPerAddress: maxConnsPerPeer, HTTP2: true, Dial: d.dial, TLS: d.peerTLS(),
		NewMeter: func(address string) upstream.Meter { return proxy.PeerMeter(address) },
	})
	d.pools = append(d.pools, upstreams, peers)
	proxy = caller.NewProxy(caller.Options{
		Snapshot: d.actor.Snapshot, Upstreams: upstreams, Peers: peers, RequestTimeout: d.settings.RequestTimeout,
		QueuePerSlot: d.settings.QueuePerSlot, Claims: claim.NewAdapter(d.claims),
		MaxKeyedBodyBytes: d.settings.MaxKeyedBodyBytes,
	})
	return proxy
}

// listen opens the listeners and serves on them. Drain relies on the server for callers being the first.
func (d *Daemon) listen(callers, peers, operators http.Handler) error {
	for _, l := range []struct {
		address string
		handler http.Handler
		bound   *string
	}{
		{d.settings.CallerListen, callers, &d.CallerAddress},
		{d.settings.PeerListen, peers, &d.PeerAddress},
		{d.settings.OperatorListen, operators, &d.OperatorAddress},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Trace(err)
		}
		*l.bound = listener.Addr().String()
		if l.bound == &d.CallerAddress {
			listener = caller.NewListener(listener)
		}
		server := d.newServer(l.handler)
		d.servers = append(d.servers, server)
		if l.bound == &d.PeerAddress && d.credentials != nil {
			server.TLSConfig = d.credentials.ServerConfig()
			go func() { _ = server.ServeTLS(listener, "", "") }()
			continue
		}
		go func() { _ = server.Serve(listener) }()
	}
	return nil
}

func (d *Daemon) newServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(true)
	return &http.Server{
		Handler: handler, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes: d.settings.MaxHeaderBytes, ErrorLog: slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
}

// Actor returns the control actor.
func (d *Daemon) Actor() *control.Actor { return d.actor }

// Close stops the daemon at once. As after a crash, requests in flight are aborted and nothing is handed over.
func (d *Daemon) Close() {
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.closePools()
	if d.claims != nil {
		d.claims.Abort()
	}
	d.actor.Stop()
}

func (d *Daemon) closePools() {
	for _, pool := range d.pools {
		pool.Close()
	}
}

func newExecutor(s *settings.Settings, logger *slog.Logger, client *http.Client, peers control.Peers) *control.Executor {
	return &control.Executor{
		Store: platform.NewStore(client, s.StoreURL), VMs: platform.NewVMList(client, s.VMListURL),
		Workers: platform.NewWorkers(client), Peers: peers, Logger: logger,
		StoreTimeout: s.StoreTimeout,
	}
}

// peerTLS returns the client configuration for mutual TLS, or nil for plain HTTP.
func (d *Daemon) peerTLS() *tls.Config {
	if d.credentials == nil {
		return nil
	}
	return d.credentials.ClientConfig()
}

// newPeerClient returns a client that uses mutual TLS if the settings name certificates, or else the plain client.
func (d *Daemon) newPeerClient(plain *http.Client) *peer.Client {
	if d.credentials == nil {
		return peer.NewClient(plain, "http")
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	transport := &http.Transport{Protocols: protocols, TLSClientConfig: d.credentials.ClientConfig(), DialContext: d.dial}
	return peer.NewClient(&http.Client{Transport: transport}, "https")
}

// newClient returns a client that multiplexes its calls to an address over one unencrypted HTTP/2 connection.
func newClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols, DialContext: dial}}
}

func controllerSettings(s *settings.Settings) controller.Settings {
	cs := controller.Settings{
		Entry: s.Entry, Incarnation: model.Incarnation(time.Now().UnixMicro()), DataCentre: s.DataCentre,
		Region: s.Region(), StoreRegion: s.StoreRegion, Seat: s.Seat, Seats: s.Seats,
	}
	for _, p := range s.Peers {
		cs.Peers = append(cs.Peers, membership.Peer{
			ID: p.ID, Address: p.Address, DataCentre: p.DataCentre, Region: s.Regions[p.DataCentre],
		})
	}
	for dc := range s.Regions {
		cs.DataCentres = append(cs.DataCentres, dc)
	}
	slices.Sort(cs.DataCentres)
	return cs
}

func newRandom() *mathrand.Rand {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// newTokenReader returns a function that reads the operators' token file on each call, so that a replaced token takes
// effect at once. While the file is unreadable or empty, it returns the token that was read last. The function is safe
// for concurrent use.
func newTokenReader(file string) (func() string, error) {
	if file == "" {
		return func() string { return "" }, nil
	}
	read := func() (string, error) {
		text, err := os.ReadFile(file)
		if err != nil {
			return "", errors.Trace(err)
		}
		token := strings.TrimSpace(string(text))
		if token == "" {
			return "", errors.Errorf("operator token file %s is empty", file)
		}
		return token, nil
	}
	initial, err := read()
	if err != nil {
		return nil, err
	}
	var last atomic.Pointer[string]
	last.Store(&initial)
	return func() string {
		if token, err := read(); err == nil {
			last.Store(&token)
		}
		return *last.Load()
	}, nil
}
