package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
	"github.com/jujubearch/jujubearch/internal/transport/upstream"
)

// testProxy is a Proxy that listens for callers and has one instance at each given address.
type testProxy struct {
	address string
	proxy   *Proxy
	view    atomic.Pointer[snapshot.Snapshot]
}

const testTimeout = 10 * time.Second

func newTestProxy(t testing.TB, slots int32, addresses ...string) *testProxy {
	t.Helper()
	r := &testProxy{}
	view := &snapshot.Snapshot{
		DataCentre: "lju-a", Region: "si-central", Instances: map[model.ServiceName][]snapshot.Instance{},
	}
	view.Config.Routes = []model.Route{
		{PathPrefix: "/", Service: "s"},
		{PathPrefix: "/urgent", Service: "s", Urgent: true},
		{PathPrefix: "/repeat", Service: "s", Idempotent: true},
	}
	for i, a := range addresses {
		view.Instances["s"] = append(view.Instances["s"], snapshot.Instance{
			ID: model.InstanceID(fmt.Sprintf("i-%d", i)), Address: a, Limiter: snapshot.NewInstanceLimiter(slots),
		})
	}
	r.view.Store(view)
	upstreams := upstream.NewPool(upstream.Options{
		MaxPerAddress: 256, IsClosed: func(a string) bool { return IsAddressClosed(r.view.Load(), a) },
	})
	peers := upstream.NewPool(upstream.Options{
		MaxPerAddress: 4, HTTP2: true, NewMeter: func(a string) upstream.Meter { return r.proxy.PeerMeter(a) },
	})
	t.Cleanup(upstreams.Close)
	t.Cleanup(peers.Close)
	r.proxy = NewProxy(Options{Snapshot: r.view.Load, Upstreams: upstreams, Peers: peers, RequestTimeout: testTimeout})
	r.address = serve(t, r.proxy, true)
	return r
}

// serve serves a handler over HTTP/1.1 and HTTP/2 on loopback and returns its address.
func serve(t testing.TB, h http.Handler, strict bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	if strict {
		l = NewListener(l)
	}
	server := &httptest.Server{
		Listener: l, Config: &http.Server{Handler: h, Protocols: bothProtocols(), MaxHeaderBytes: 64 << 10},
	}
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return address
}

func bothProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// serveRaw serves each connection with f and returns the address.
func serveRaw(t testing.TB, f func(c net.Conn, in *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// clients returns an HTTP/1.1 and an HTTP/2 client.
func clients(t testing.TB) map[string]*http.Client {
	t.Helper()
	all := make(map[string]*http.Client)
	for name, h2 := range map[string]bool{"http1": false, "http2": true} {
		p := new(http.Protocols)
		p.SetHTTP1(!h2)
		p.SetUnencryptedHTTP2(h2)
		transport := &http.Transport{Protocols: p, ExpectContinueTimeout: testTimeout, DisableCompression: true}
		t.Cleanup(transport.CloseIdleConnections)
		all[name] = &http.Client{Transport: transport, Timeout: testTimeout}
	}
	return all
}

// sendRaw writes text to an address and returns what it receives within 300 ms or until the other side closes.
func sendRaw(t testing.TB, address, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	out, _ := io.ReadAll(c)
	return string(out)
}
