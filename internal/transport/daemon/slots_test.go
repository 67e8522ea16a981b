package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against half of the slots staying idle when all callers use one of the two entries of a data centre, and
// against more requests on an instance than its slots while slots move between the entries.
func TestLoadOnOneEntryUsesNearlyAllSlots(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about ten seconds")
	}
	c := startCluster(t)
	c.apply(clusterIntents)
	c.waitForUsableWorkers()
	// The callers keep one entry busy; requests that find no free slot are forwarded to other data centres.
	const callers = 40
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callerGroup sync.WaitGroup
	for i := range callers {
		callerGroup.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				url := fmt.Sprintf("http://%s/matcher/s?work=150ms&id=s%d-%d", c.members[0].settings.CallerListen, i, n)
				if response, err := http.Get(url); err == nil {
					_ = response.Body.Close()
				}
			}
		})
	}
	const slots, wantPeak = 8, 7
	waitFor(t, "7 of 8 slots of each local instance to be in use", func() bool {
		return c.upstreams[0].PeakRequests() >= wantPeak && c.upstreams[1].PeakRequests() >= wantPeak
	})
	time.Sleep(time.Second)
	cancel()
	callerGroup.Wait()
	for _, u := range c.upstreams {
		assert.Equal(t, u.ExcessRequests(), int64(0), "%s exceeded its %d slots", u.Name, slots)
	}
}
