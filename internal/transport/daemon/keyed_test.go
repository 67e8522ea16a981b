package daemon

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/protocol/header"
	"github.com/jujubearch/jujubearch/internal/transport/standin"
)

// keyedResponse is what a caller sees of the response to a request with an idempotency key.
type keyedResponse struct {
	status   int
	body     string
	verdict  string
	replayed bool
}

var allowUnexported = cmp.AllowUnexported(keyedResponse{})

func sendKeyed(t *testing.T, site *DevSite, key, body string) keyedResponse {
	t.Helper()
	url := "http://" + site.Daemon.CallerAddress + "/matcher/suggest"
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set(header.IdempotencyKey, key)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return keyedResponse{
		status: response.StatusCode, body: string(content), verdict: response.Header.Get(header.Verdict),
		replayed: response.Header.Get(header.Replayed) == "true",
	}
}

func startedRequests(site *DevSite) int64 {
	var sum int64
	for _, u := range site.Upstreams {
		sum += u.StartedRequests()
	}
	return sum
}

// startKeyedSite returns a site whose claim shards have owners and whose service has instances.
func startKeyedSite(t *testing.T) *DevSite {
	t.Helper()
	site := startSite(t)
	waitFor(t, "instances, and owners of all claim shards", func() bool {
		view := site.Daemon.Actor().Snapshot()
		for _, owner := range view.ClaimOwners {
			if owner.Owner == "" {
				return false
			}
		}
		return len(view.ClaimOwners) > 0 && len(view.Instances["matcher"]) > 0
	})
	return site
}

// Guards against running a keyed request twice, and against losing its first response.
func TestKeyedRequestRunsOnceAndIsReplayed(t *testing.T) {
	site := startKeyedSite(t)
	first := sendKeyed(t, site, "k1", "suggest Ana")
	assert.DeepEqual(t, first, keyedResponse{status: 200, body: "suggest Ana"}, allowUnexported)
	waitFor(t, "a replayed response", func() bool { return sendKeyed(t, site, "k1", "suggest Ana").replayed })
	assert.Equal(t, sendKeyed(t, site, "k1", "suggest Ana").body, "suggest Ana")
	other := sendKeyed(t, site, "k1", "suggest Bor")
	assert.Equal(t, other.status, http.StatusUnprocessableEntity)
	assert.Equal(t, other.verdict, "not-run")
	assert.Equal(t, startedRequests(site), int64(1))
}

// Guards against running a keyed request while the store is down, when no entry can prove that its key is unused.
func TestKeyedRequestIsRefusedWithoutTheStore(t *testing.T) {
	site := startKeyedSite(t)
	site.Store.SetFaults(standin.StoreFaults{Down: true})
	refused := sendKeyed(t, site, "k2", "pay")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Equal(t, refused.verdict, "not-run")
	assert.Equal(t, startedRequests(site), int64(0))
	site.Store.SetFaults(standin.StoreFaults{})
	waitFor(t, "a success after the store's recovery", func() bool {
		return sendKeyed(t, site, "k2", "pay").status == http.StatusOK
	})
	assert.Equal(t, startedRequests(site), int64(1))
}

// Guards against a duplicate claim when the store's response is lost after the claim was written.
func TestKeyedRequestRunsOnceWhenStoreResponseIsLost(t *testing.T) {
	site := startKeyedSite(t)
	site.Store.SetFaults(standin.StoreFaults{LoseResponses: 1})
	response := sendKeyed(t, site, "k3", "pay")
	assert.Equal(t, response.status, http.StatusOK)
	assert.Equal(t, startedRequests(site), int64(1))
}

// Guards against losing the response to a keyed request whose caller disconnected before it arrived.
func TestRetryAfterDisconnectGetsFirstResponse(t *testing.T) {
	site := startKeyedSite(t)
	for _, u := range site.Upstreams {
		u.SetProcessingTime(300 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	url := "http://" + site.Daemon.CallerAddress + "/matcher/suggest"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("suggest Ana"))
	assert.NilError(t, err)
	request.Header.Set(header.IdempotencyKey, "k4")
	_, err = http.DefaultClient.Do(request) //nolint:bodyclose // the request fails
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	waitFor(t, "the first response", func() bool {
		response := sendKeyed(t, site, "k4", "suggest Ana")
		return response.replayed && response.body == "suggest Ana"
	})
	assert.Equal(t, startedRequests(site), int64(1))
}
