package claim

import "github.com/jujubearch/jujubearch/internal/state/model"

// responseOverhead estimates the size in bytes of a StoredResponse without its body and headers.
const responseOverhead = 256

// responseCache caches responses up to a total size in bytes; the oldest one is evicted first.
type responseCache struct {
	maxBytes  int
	usedBytes int
	byKey     map[model.KeyHash]StoredResponse
	// order lists the keys, oldest response first.
	order []model.KeyHash
}

func newResponseCache(maxBytes int) *responseCache {
	return &responseCache{maxBytes: maxBytes, byKey: make(map[model.KeyHash]StoredResponse)}
}

func (c *responseCache) get(key model.KeyHash) *StoredResponse {
	cached, found := c.byKey[key]
	if !found {
		return nil
	}
	return &cached
}

func (c *responseCache) put(key model.KeyHash, response StoredResponse) {
	size := sizeOf(response)
	if _, found := c.byKey[key]; found || size > c.maxBytes {
		return
	}
	c.byKey[key] = response
	c.order = append(c.order, key)
	c.usedBytes += size
	for c.usedBytes > c.maxBytes {
		c.remove(c.order[0])
	}
}

func (c *responseCache) remove(key model.KeyHash) {
	cached, found := c.byKey[key]
	if !found {
		return
	}
	delete(c.byKey, key)
	c.usedBytes -= sizeOf(cached)
	for i, k := range c.order {
		if k == key {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}

func sizeOf(response StoredResponse) int {
	size := responseOverhead + len(response.Body)
	for _, h := range response.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}
