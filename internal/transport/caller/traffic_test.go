package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

// slowHandler responds after a set time and counts its requests.
type slowHandler struct {
	work       atomic.Int64
	served     atomic.Int64
	running    atomic.Int64
	cancelled  atomic.Int64
	maxRunning atomic.Int64
}

func (s *slowHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.served.Add(1)
	for n := s.running.Add(1); ; {
		maxRunning := s.maxRunning.Load()
		if n <= maxRunning || s.maxRunning.CompareAndSwap(maxRunning, n) {
			break
		}
	}
	defer s.running.Add(-1)
	select {
	case <-time.After(time.Duration(s.work.Load())):
	case <-r.Context().Done():
		s.cancelled.Add(1)
	}
	_, _ = io.WriteString(w, "done")
}

// eventually waits up to testTimeout, ten seconds, for a condition.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(testTimeout))
}

// fetch sends a request and returns the response's status and headers; the status is 0 if the request failed.
func fetch(client *http.Client, method, url, timeout string) (int, http.Header) {
	request, err := http.NewRequest(method, url, nil)
	if err != nil {
		return 0, nil
	}
	if timeout != "" {
		request.Header.Set("Request-Timeout", timeout)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, response.Header
}

// Guards against a collapse under overload on real sockets. The goodput at twice the capacity is compared with the
// capacity, which is measured in the same run by twice as many callers as slots, so that all slots are always in use.
// The work is a sleep, so that both figures depend on time in the same way.
func TestGoodputOverSockets(t *testing.T) {
	const slots, work, rounds = 8, 20 * time.Millisecond, 60
	s := &slowHandler{}
	s.work.Store(int64(work))
	r := newTestProxy(t, slots, serve(t, s, false))
	client := clients(t)["http2"]
	url := "http://" + r.address + "/"
	started := time.Now()
	var wait sync.WaitGroup
	for range 2 * slots {
		wait.Go(func() {
			for range rounds / 2 {
				status, _ := fetch(client, http.MethodPost, url, "")
				assert.Check(t, status == http.StatusOK)
			}
		})
	}
	wait.Wait()
	capacity := float64(slots*rounds) / time.Since(started).Seconds()
	var good, refused atomic.Int64
	served := s.served.Load()
	interval := time.Duration(float64(time.Second) / (2 * capacity))
	const arrivals = 2 * slots * rounds
	started = time.Now()
	for i := range arrivals {
		time.Sleep(time.Until(started.Add(time.Duration(i) * interval)))
		wait.Go(func() {
			status, h := fetch(client, http.MethodPost, url, "0.3")
			switch status {
			case http.StatusOK:
				good.Add(1)
			case http.StatusServiceUnavailable:
				assert.Check(t, h.Get("Jujubearch-Verdict") == "not-run" && h.Get("Retry-After") != "")
				refused.Add(1)
			}
		})
	}
	offered := time.Since(started)
	wait.Wait()
	ratio := float64(good.Load()) / time.Since(started).Seconds() / capacity
	t.Logf("offered %.2f of the capacity: goodput %.2f of it, %d refused",
		arrivals/offered.Seconds()/capacity, ratio, refused.Load())
	assert.Assert(t, ratio >= 0.9)
	assert.Equal(t, s.served.Load()-served+refused.Load(), int64(arrivals), "a refused request ran")
	assert.Equal(t, s.maxRunning.Load(), int64(slots), "more requests ran than there are slots")
}

// Guards against more requests at an instance than it has slots: a request that passed its deadline freed its slot
// before the instance had ended it.
func TestSlotOfGivenUpRequestStaysTaken(t *testing.T) {
	const slots, work = 2, 150 * time.Millisecond
	var running, maxRunning atomic.Int64
	ignoresCancel := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		maxRunning.Store(max(maxRunning.Load(), n))
		time.Sleep(work)
	})
	r := newTestProxy(t, slots, serve(t, ignoresCancel, false))
	client := clients(t)["http1"]
	var wait sync.WaitGroup
	for range 4 * slots {
		wait.Go(func() {
			for range 5 {
				fetch(client, http.MethodPost, "http://"+r.address+"/", "0.05")
			}
		})
	}
	wait.Wait()
	assert.Equal(t, maxRunning.Load(), int64(slots), "more requests ran than there are slots")
}

// Guards against a retry storm: upstreams that fail all requests get at most 1.1 times as many attempts as there are
// requests, and a request that is not idempotent gets one attempt.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	var received atomic.Int64
	failing := func(_ net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			received.Add(1)
		}
	}
	addresses := []string{serveRaw(t, failing), serveRaw(t, failing), serveRaw(t, failing)}
	client := clients(t)["http1"]
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		// Each method gets a new proxy, since the instances of the previous one end up ejected.
		r := newTestProxy(t, 8, addresses...)
		received.Store(0)
		sent := int64(0)
		for range 300 {
			for _, i := range r.view.Load().Instances["s"] {
				i.Limiter.Health.RecordSuccess()
			}
			status, h := fetch(client, method, "http://"+r.address+"/", "")
			sent++
			assert.Equal(t, status, http.StatusBadGateway)
			assert.Equal(t, h.Get("Jujubearch-Verdict"), "may-have-run")
			assert.Assert(t, 10*received.Load() <= 11*sent)
		}
		retries := received.Load() - sent
		t.Logf("%s: %d retries of %d requests", method, retries, sent)
		assert.Equal(t, method == http.MethodGet, retries > 0)
	}
}

// Guards against a body that both a failed attempt and its retry read, so that each gets only a part.
func TestAbandonedBodyIsNotRead(t *testing.T) {
	c := &call{body: &attemptBody{ReadCloser: io.NopCloser(strings.NewReader("all"))}}
	first := c.body
	assert.Assert(t, c.replaceBody())
	n, err := first.Read(make([]byte, 3))
	assert.Equal(t, n, 0)
	assert.ErrorIs(t, err, http.ErrBodyReadAfterClose)
	all, err := io.ReadAll(c.body)
	assert.NilError(t, err)
	assert.Equal(t, string(all), "all")
	assert.Assert(t, !c.replaceBody(), "a body that was read can't be sent again")
}

// Guards against a request that fails because one instance refuses it, although another instance would accept it, and
// against a retry without its body.
func TestRefusedRequestIsRetriedWithItsBody(t *testing.T) {
	refuse := serveRaw(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nJujubearch-Verdict: not-run\r\nContent-Length: 0\r\n\r\n")
		}
	})
	echo := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}), false)
	r := newTestProxy(t, 8, refuse, echo)
	s := r.proxy.serviceFor("s")
	for range 1000 {
		s.retryBudget.CountRequest()
		s.destinationBudget("i-1").CountRequest()
	}
	client := clients(t)["http1"]
	for i := range 100 {
		want := strings.Repeat("x", i)
		response, err := client.Post("http://"+r.address+"/", "text/plain", strings.NewReader(want))
		assert.NilError(t, err)
		got, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		// A request whose body was already read for the refusing instance can't be retried and stays refused.
		if response.StatusCode != http.StatusServiceUnavailable {
			assert.Equal(t, string(got), want)
		}
	}
}

// Guards against requests that fail although a refused connection proves that they did not run, and against a dead
// instance that is not ejected.
func TestDeadInstanceIsRetriedAndEjected(t *testing.T) {
	s := &slowHandler{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dead := l.Addr().String()
	assert.NilError(t, l.Close())
	r := newTestProxy(t, 8, serve(t, s, false))
	client := clients(t)["http1"]
	for range 100 {
		status, _ := fetch(client, http.MethodPost, "http://"+r.address+"/", "")
		assert.Equal(t, status, http.StatusOK)
	}
	// The 100 requests have added ten retries to the retry budget of the live instance; the dead instance is ejected at
	// its third failure.
	view := *r.view.Load()
	view.Instances = map[model.ServiceName][]snapshot.Instance{"s": append(view.Instances["s"][:1:1],
		snapshot.Instance{ID: "dead", Address: dead, Limiter: snapshot.NewInstanceLimiter(8)})}
	r.view.Store(&view)
	for range 200 {
		status, h := fetch(client, http.MethodPost, "http://"+r.address+"/", "")
		assert.Equal(t, status, http.StatusOK, "%v", h)
	}
	assert.Assert(t, view.Instances["s"][1].Limiter.Health.Failures() >= 3)
}

// Guards against a slow instance that delays requests although another is free, and against hedges that continue after
// the other attempt has responded.
func TestSlowAttemptIsHedgedAndCancelled(t *testing.T) {
	fast, slow := &slowHandler{}, &slowHandler{}
	r := newTestProxy(t, 64, serve(t, fast, false))
	client := clients(t)["http1"]
	url := "http://" + r.address + "/"
	for range 300 {
		status, _ := fetch(client, http.MethodGet, url, "")
		assert.Equal(t, status, http.StatusOK)
	}
	// Only the fast instance has credit in its retry budget, so hedges go to it. The slow instance has the lower
	// measured latency and is preferred until its first request is hedged.
	view := *r.view.Load()
	view.Instances = map[model.ServiceName][]snapshot.Instance{"s": append(view.Instances["s"][:1:1],
		snapshot.Instance{ID: "slow", Address: serve(t, slow, false), Limiter: snapshot.NewInstanceLimiter(64)})}
	r.view.Store(&view)
	limiter := r.view.Load().Instances["s"][0].Limiter
	limiter.Health.UpdateLatency(time.Now(), func(time.Duration) time.Duration { return time.Second })
	before := fast.served.Load() + slow.served.Load()
	slow.work.Store(int64(time.Minute))
	for range 40 {
		status, _ := fetch(client, http.MethodGet, url, "5")
		assert.Equal(t, status, http.StatusOK)
		limiter.Health.UpdateLatency(time.Now(), func(time.Duration) time.Duration { return 0 })
	}
	hedges := fast.served.Load() + slow.served.Load() - before - 40
	t.Logf("%d hedges of 340 requests", hedges)
	assert.Assert(t, hedges > 0 && hedges <= 34)
	eventually(t, "the slower attempts are cancelled", func() bool { return slow.running.Load() == 0 })
	eventually(t, "all slots are free", func() bool {
		for _, i := range r.view.Load().Instances["s"] {
			if i.Limiter.InUse() != 0 {
				return false
			}
		}
		return true
	})
}

// Guards against new requests to an instance that announces its shutdown, and against idle connections to it that stay
// open.
func TestLeavingInstanceGetsNoRequests(t *testing.T) {
	var served atomic.Int64
	closed := make(chan struct{})
	leaving := serveRaw(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				closed <- struct{}{}
				return
			}
			served.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nJujubearch-Leaving: true\r\nContent-Length: 0\r\n\r\n")
		}
	})
	s := &slowHandler{}
	r := newTestProxy(t, 8, leaving, serve(t, s, false))
	for range 50 {
		status, h := fetch(clients(t)["http1"], http.MethodGet, "http://"+r.address+"/", "")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, h.Get("Jujubearch-Leaving"), "")
	}
	assert.Equal(t, served.Load(), int64(1))
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("an idle connection to a leaving instance stays open")
	}
}

// Guards against waiting requests that do not get a slot that became free without a release.
func TestHigherLimitWakesWaitingRequest(t *testing.T) {
	s := &slowHandler{}
	r := newTestProxy(t, 0, serve(t, s, false))
	time.AfterFunc(100*time.Millisecond, func() { r.view.Load().Instances["s"][0].Limiter.SetLimit(1) })
	status, _ := fetch(clients(t)["http1"], http.MethodGet, "http://"+r.address+"/", "")
	assert.Equal(t, status, http.StatusOK)
}

// Guards against forwarding that loses requests, loops, crosses regions unnecessarily or is not counted.
func TestForwardingBetweenEntries(t *testing.T) {
	s := &slowHandler{}
	remote := newTestProxy(t, 8, serve(t, s, false))
	address := serve(t, remote.proxy.PeerHandler(http.NotFoundHandler()), false)
	local := newTestProxy(t, 8)
	setPeer := func(region model.Region, usable bool) {
		view := *local.view.Load()
		view.Peers = []snapshot.Peer{{
			ID: "there", Address: address, DataCentre: "lju-b", Region: region, Usable: usable,
			FreeSlots: map[model.ServiceName]uint32{"s": 8},
		}}
		local.view.Store(&view)
	}
	client := clients(t)["http1"]
	counter := local.proxy.links.sentBytes
	before := counter.Get()
	setPeer("si-central", true)
	status, _ := fetch(client, http.MethodPost, "http://"+local.address+"/a", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, counter.Get(), before, "no bytes cross within a region")
	// A connection gets its meter when it is opened, so the peer moves to a new address to force a new connection.
	address = serve(t, remote.proxy.PeerHandler(http.NotFoundHandler()), false)
	setPeer("at-south", true)
	status, _ = fetch(client, http.MethodPost, "http://"+local.address+"/a", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, counter.Get() > before)
	assert.Equal(t, s.served.Load(), int64(2))
	local.proxy.links.sentBudget.Consume(time.Now(), 1<<30)
	status, h := fetch(client, http.MethodPost, "http://"+local.address+"/a", "0.1")
	assert.Equal(t, status, http.StatusServiceUnavailable, "the byte budget is spent")
	assert.Equal(t, h.Get("Jujubearch-Verdict"), "not-run")
	answer := sendRaw(t, address, "GET /forward/a HTTP/1.1\r\nHost: a\r\nJujubearch-Hops: 2\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 508"), answer)
	answer = sendRaw(t, address, "GET /forward/a HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 508"), answer)
	assert.Equal(t, s.served.Load(), int64(2))
}
