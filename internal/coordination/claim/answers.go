package claim

import "github.com/jujubearch/jujubearch/internal/state/model"

// answerOverhead estimates the size in bytes of an Answer without its body and headers.
const answerOverhead = 256

// answerCache caches answers up to a total size in bytes; the oldest answer is evicted first.
type answerCache struct {
	maxBytes  int
	usedBytes int
	byKey     map[model.KeyHash]StoredResponse
	order     []model.KeyHash
}

func newAnswerCache(maxBytes int) *answerCache {
	return &answerCache{maxBytes: maxBytes, byKey: make(map[model.KeyHash]StoredResponse)}
}

func (a *answerCache) get(key model.KeyHash) *StoredResponse {
	cached, found := a.byKey[key]
	if !found {
		return nil
	}
	return &cached
}

func (a *answerCache) put(key model.KeyHash, answer StoredResponse) {
	size := sizeOf(answer)
	if _, found := a.byKey[key]; found || size > a.maxBytes {
		return
	}
	a.byKey[key] = answer
	a.order = append(a.order, key)
	a.usedBytes += size
	for a.usedBytes > a.maxBytes {
		a.remove(a.order[0])
	}
}

func (a *answerCache) remove(key model.KeyHash) {
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

func sizeOf(answer StoredResponse) int {
	size := answerOverhead + len(answer.Body)
	for _, h := range answer.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}
