package jobs

import (
	"sync"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// pendingMaxAge is the age up to which a cached count is returned. Callers accept counts that are up to 2 s old.
const pendingMaxAge = 1500 * time.Millisecond

// pendingCache holds the last count that the leader returned for each queue.
type pendingCache struct {
	mu     sync.Mutex
	counts map[job.Queue]cachedCount
}

type cachedCount struct {
	jobs int
	at   time.Time
}

func (c *pendingCache) store(queue job.Queue, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[job.Queue]cachedCount)
	}
	c.counts[queue] = cachedCount{jobs: count, at: time.Now()}
}

// load returns the count of a queue, or Refused if there is none or it is older than pendingMaxAge.
func (c *pendingCache) load(queue job.Queue) (int, Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count, known := c.counts[queue]
	if !known || time.Since(count.at) > pendingMaxAge {
		return 0, Refused
	}
	return count.jobs, Accepted
}
