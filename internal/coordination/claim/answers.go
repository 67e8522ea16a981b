package claim

import "github.com/jujubearch/jujubearch/internal/state/model"

// responseOverhead estimates the size in bytes of a StoredResponse without its body and headers.
const responseOverhead = 256

// responseCache caches responses up to a total size in bytes; the oldest one is evicted first.
type responseCache struct {
	maxBytes  int
	usedBytes int
	byKey     map[model.KeyHash]StoredResponse
	order     []model.KeyHash
}

func newResponseCache(maxBytes int) *responseCache {
	return &responseCache{maxBytes: maxBytes, byKey: make(map[model.KeyHash]StoredResponse)}
}

func (a *responseCache) get(key model.KeyHash) *StoredResponse {
	cached, found := a.byKey[key]
	if !found {
		return nil
	}
	return &cached
}

func (a *responseCache) put(key model.KeyHash, response StoredResponse) {
	size := sizeOf(response)
	if _, found := a.byKey[key]; found || size > a.maxBytes {
		return
	}
	a.byKey[key] = response
	a.order = append(a.order, key)
	a.usedBytes += size
	for a.usedBytes > a.maxBytes {
		a.remove(a.order[0])
	}
}

func (a *responseCache) remove(key model.KeyHash) {
	cached, found := a.byKey[key]
	if !found {
		return
	}
	delete(a.byKey, key)
	a.usedBytes -= sizeOf(cached)
	for i, k := range a.order {
		if k == key {
			a.order = append(a.order[:i], a.order[i+1:]...)
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
