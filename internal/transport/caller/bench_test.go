package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// baselineForwarder is a minimal streaming proxy on net/http alone, with one upstream and without queue, budgets or
// checks. The benchmarks compare the entry with it.
type baselineForwarder struct {
	transport http.Transport
	address   string
}

func (f *baselineForwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host, out.RequestURI = "http", f.address, ""
	out.Header.Del("Connection")
	if r.ContentLength == 0 {
		out.Body = nil
	}
	response, err := f.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	// As in the entry, the copy uses a pooled buffer and hides ReadFrom, which would flush the headers in a separate
	// packet.
	buffer, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	_, _ = io.CopyBuffer(struct{ io.Writer }{w}, response.Body, *buffer)
}

// loadResult holds the measurements of one run of runLoad.
type loadResult struct {
	perSecond float64
	latencies []time.Duration
}

func (r loadResult) percentile(p float64) time.Duration {
	return r.latencies[min(len(r.latencies)-1, int(p*float64(len(r.latencies))))]
}

// runLoad sends requests from parallel callers; each caller sends perCaller requests, one after the other.
func runLoad(b testing.TB, client *http.Client, url string, callers, perCaller int) loadResult {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var all []time.Duration
	started := time.Now()
	for range callers {
		wait.Go(func() {
			latencies := make([]time.Duration, 0, perCaller)
			for range perCaller {
				begin := time.Now()
				response, err := client.Get(url)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				latencies = append(latencies, time.Since(begin))
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, latencies...)
		})
	}
	wait.Wait()
	slices.Sort(all)
	return loadResult{perSecond: float64(callers*perCaller) / time.Since(started).Seconds(), latencies: all}
}

func benchClient(b testing.TB) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	b.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// BenchmarkEntryAgainstBaseline reports the throughput and latency of the entry relative to baselineForwarder.
// The order alternates between rounds, so that noise on the machine affects both; the reported ratios are medians over
// the rounds.
func BenchmarkEntryAgainstBaseline(b *testing.B) {
	const callers, perCaller, rounds = 16, 400, 9
	body := strings.Repeat("x", 1024)
	backend := serve(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body)
	}), false)
	plain := &baselineForwarder{
		address: backend, transport: http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
	}
	b.Cleanup(plain.transport.CloseIdleConnections)
	plainURL := "http://" + serve(b, plain, false) + "/"
	entryURL := "http://" + newTestProxy(b, 64, backend).address + "/"
	client := benchClient(b)
	for b.Loop() {
		ratios := map[string][]float64{}
		for round := range rounds {
			var entry, baseline loadResult
			if round%2 == 0 {
				entry, baseline = runLoad(b, client, entryURL, callers, perCaller),
					runLoad(b, client, plainURL, callers, perCaller)
			} else {
				baseline, entry = runLoad(b, client, plainURL, callers, perCaller),
					runLoad(b, client, entryURL, callers, perCaller)
			}
			ratios["throughput-ratio"] = append(ratios["throughput-ratio"], entry.perSecond/baseline.perSecond)
			for name, p := range map[string]float64{"p50-ratio": 0.5, "p99-ratio": 0.99, "p99.9-ratio": 0.999} {
				ratios[name] = append(ratios[name], float64(entry.percentile(p))/float64(baseline.percentile(p)))
			}
		}
		for name, values := range ratios {
			slices.Sort(values)
			b.ReportMetric(values[len(values)/2], name)
		}
	}
}

// BenchmarkAllocations reports the allocations of a request, those of server and client included, for the entry and for
// baselineForwarder.
func BenchmarkAllocations(b *testing.B) {
	backend := serve(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "x")
	}), false)
	plain := &baselineForwarder{address: backend}
	b.Cleanup(plain.transport.CloseIdleConnections)
	for name, h := range map[string]http.Handler{"plain": plain, "entry": newTestProxy(b, 64, backend).proxy} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				w := httptest.NewRecorder()
				h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
			}
		})
	}
}

// BenchmarkRefusal reports the cost of refusing a request because the queue is full.
func BenchmarkRefusal(b *testing.B) {
	r, request := newFullTestProxy(b)
	b.ReportAllocs()
	for b.Loop() {
		r.proxy.ServeHTTP(&discardWriter{header: http.Header{}}, request)
	}
}

// newFullTestProxy returns a proxy whose slots and queue are full, and a request that it refuses.
func newFullTestProxy(t testing.TB) (*testProxy, *http.Request) {
	t.Helper()
	release := make(chan struct{})
	r := newTestProxy(t, 1, serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }), false))
	// Registered after the servers' clean-up, so that it runs first: closing a server waits for its handlers.
	t.Cleanup(func() { close(release) })
	for range 1 + defaultQueuePerSlot {
		go r.proxy.ServeHTTP(&discardWriter{header: http.Header{}}, httptest.NewRequest(http.MethodGet, "/", nil))
	}
	s := r.proxy.serviceFor("s")
	eventually(t, "the queue is full", func() bool { return s.waiting.Load() == defaultQueuePerSlot })
	return r, httptest.NewRequest(http.MethodGet, "/", nil)
}

type discardWriter struct {
	header http.Header
	status int
}

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(status int)      { w.status = status }

// Guards against refusals that cost as much as the work they avoid. The bound of 40 allocations is less than half of
// what forwarding a request takes with net/http alone.
func TestRefusalIsCheap(t *testing.T) {
	r, request := newFullTestProxy(t)
	allocations := testing.AllocsPerRun(100, func() {
		w := &discardWriter{header: http.Header{}}
		r.proxy.ServeHTTP(w, request)
		assert.Equal(t, w.status, http.StatusServiceUnavailable)
	})
	t.Logf("%.0f allocations", allocations)
	assert.Assert(t, allocations <= 40)
}
