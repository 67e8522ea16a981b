package daemon

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/protocol/header"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

const (
	loadCallers           = 12
	maxKeyedTries         = 4
	callerTimeout         = 8 * time.Second
	requestTimeoutSeconds = "3"
	// firstKeyedTryTimeout is shorter than the 40 ms that an instance works on a request. The caller abandons the first
	// try of every keyed request while it runs, and retries with the same key.
	firstKeyedTryTimeout = 25 * time.Millisecond
	requestInterval      = 10 * time.Millisecond
)

// requestKind distinguishes requests by how often they may run: writes at most once, reads any number of times.
type requestKind uint8

const (
	kindRead requestKind = iota
	kindPlainWrite
	kindKeyedWrite
)

// outcome is what a caller observed of one request, over all its tries.
type outcome struct {
	id   string
	kind requestKind
	// answered is set after a complete response from an instance; wrongBody is set if it did not echo a write's body.
	answered  bool
	wrongBody bool
	// notRun is true as long as every try is proved not to have run.
	notRun bool
	// missingVerdict is set when an error response lacked a verdict.
	missingVerdict bool
	tries          int
	// trace describes the result of each try, for the message of a failed check.
	trace []string
}

// loadGenerator sends requests of all kinds to ready entries, as a load balancer would, until it is stopped.
type loadGenerator struct {
	c        *cluster
	client   *http.Client
	stop     chan struct{}
	callers  sync.WaitGroup
	mu       sync.Mutex
	outcomes []outcome
}

func startLoad(c *cluster) *loadGenerator {
	l := &loadGenerator{c: c, client: &http.Client{Timeout: callerTimeout}, stop: make(chan struct{})}
	for i := range loadCallers {
		random := rand.New(rand.NewPCG(7, uint64(i)))
		l.callers.Go(func() { l.runCaller(i, random) })
	}
	return l
}

func (l *loadGenerator) runCaller(number int, random *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(requestInterval):
		}
		o := l.sendRequest(fmt.Sprintf("c%d-%d", number, n), requestKind(n%3), random)
		l.mu.Lock()
		l.outcomes = append(l.outcomes, o)
		l.mu.Unlock()
	}
}

func (l *loadGenerator) sendRequest(id string, kind requestKind, random *rand.Rand) outcome {
	o := outcome{id: id, kind: kind, notRun: true}
	limit := 1
	if kind == kindKeyedWrite {
		limit = maxKeyedTries
	}
	for !o.answered && o.tries < limit {
		if o.tries > 0 {
			time.Sleep(time.Duration(o.tries) * 300 * time.Millisecond)
		}
		o.tries++
		l.sendOnce(&o, random)
	}
	return o
}

func (l *loadGenerator) sendOnce(o *outcome, random *rand.Rand) {
	ready := l.c.ready()
	if len(ready) == 0 {
		return
	}
	m := l.c.members[ready[random.IntN(len(ready))]]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if o.kind == kindKeyedWrite && o.tries == 1 {
		ctx, cancel = context.WithTimeout(ctx, firstKeyedTryTimeout)
		defer cancel()
	}
	request := newRequest(ctx, m.settings.CallerListen, o)
	response, err := l.client.Do(request)
	if err != nil {
		o.trace = append(o.trace, err.Error())
		// A refused connection proves that the request did not run.
		o.notRun = o.notRun && strings.Contains(err.Error(), "connection refused")
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		o.notRun = false
		return
	}
	o.record(response, string(body))
}

func newRequest(ctx context.Context, address string, o *outcome) *http.Request {
	url := fmt.Sprintf("http://%s/matcher/search?work=40ms&id=%s", address, o.id)
	method, body := http.MethodGet, io.Reader(nil)
	if o.kind != kindRead {
		method, body = http.MethodPost, strings.NewReader("body of "+o.id)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		panic(err)
	}
	request.Header.Set(header.RequestTimeout, requestTimeoutSeconds)
	if o.kind == kindKeyedWrite {
		request.Header.Set(header.IdempotencyKey, o.id)
	}
	return request
}

func (o *outcome) record(response *http.Response, body string) {
	v := response.Header.Get(header.Verdict)
	o.trace = append(o.trace, fmt.Sprintf("%d %s %s", response.StatusCode, v, body))
	if response.StatusCode == http.StatusOK {
		o.answered, o.notRun = true, false
		o.wrongBody = o.kind != kindRead && body != "body of "+o.id
		return
	}
	o.missingVerdict = o.missingVerdict || v == ""
	o.notRun = o.notRun && v == verdict.NotRun.String()
}

// finish stops the callers and returns the outcomes of all requests.
func (l *loadGenerator) finish() []outcome {
	close(l.stop)
	l.callers.Wait()
	l.client.CloseIdleConnections()
	return l.outcomes
}

// checkRequests checks that every response is complete and belongs to its request, that error responses carry a
// verdict, that a request refused as not-run never ran, that writes ran at most once, and that no instance had more
// requests or connections than its limits.
func checkRequests(t *testing.T, c *cluster, outcomes []outcome) {
	t.Helper()
	answered := 0
	for _, o := range outcomes {
		runs := c.executions.count(o.id)
		assert.Assert(t, !o.wrongBody, "request %s got an incomplete response or one of another request", o.id)
		assert.Assert(t, !o.missingVerdict, "request %s was refused without a verdict", o.id)
		assert.Assert(t, !o.notRun || runs == 0, "request %s was refused as not-run but ran %d times", o.id, runs)
		assert.Assert(t, o.kind == kindRead || runs <= 1, "request %s (kind %d) ran %d times", o.id, o.kind, runs)
		if o.answered {
			answered++
			assert.Assert(t, runs >= 1, "request %s was answered but never ran", o.id)
		}
	}
	for _, u := range c.upstreams {
		assert.Equal(t, u.ExcessRequests(), int64(0), "%s had requests beyond its slots", u.Name)
		assert.Equal(t, u.ExcessConnections(), int64(0), "%s had connections beyond its limit", u.Name)
	}
	assert.Assert(t, answered > len(outcomes)/2, "only %d of %d requests were answered", answered, len(outcomes))
	t.Logf("%d requests, %d answered", len(outcomes), answered)
}
