package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is the time that the store takes for an answer.
	storeLatency = 4 * time.Millisecond
	// historyTime is how long the store keeps its history.
	historyTime = 20 * time.Second
	// pageItems and pageBytes bound a page of a list.
	pageItems = 500
	pageBytes = 1 << 20
	// valueBytes bounds a value, and transactionRows the entries of a transaction.
	valueBytes      = 1 << 20
	transactionRows = 32
)

// item is a key of the store, as the store encodes it.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64 `json:",omitempty"`
	Deleted  bool   `json:",omitempty"`

	at time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	rec *record

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	// compacted is the newest revision that the history does not hold any more.
	compacted uint64
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{}
	// down means that the store refuses every call. cut holds the entries whose calls it does not answer.
	down bool
	cut  map[string]bool
}

func newStore(rec *record) *store {
	s := &store{
		rec: rec, revision: 1, items: make(map[string]item), leases: make(map[uint64]*lease),
		changed: make(chan struct{}), cut: make(map[string]bool),
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// serve opens a listener of its own for one entry, so that the entry can be cut off, and returns its address.
func (s *store) serve(entry string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(entry, w, r) })}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) setCut(entries []string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		s.cut[e] = cut
	}
}

func (s *store) isCut(entry string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[entry]
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// hang leaves a request unanswered, as a network does that drops all packets.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *store) handle(entry string, w http.ResponseWriter, r *http.Request) {
	if s.isCut(entry) {
		hang(r)
	}
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(storeLatency)
	status, body := s.call(entry, r)
	if s.isCut(entry) {
		hang(r)
	}
	respond(w, status, body)
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) call(entry string, r *http.Request) (int, any) {
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case r.Method == http.MethodGet && path == wire["key"]:
		return s.get(query.Get("Key"))
	case r.Method == http.MethodGet && path == wire["range"]:
		return s.list(query.Get("Prefix"), query.Get("After"))
	case r.Method == http.MethodGet && path == wire["watch"]:
		after, _ := strconv.ParseUint(query.Get("After"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		return s.watch(r, entry, query.Get("Prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.Method == http.MethodPost && path == wire["txn"]:
		var tx transaction
		if json.NewDecoder(r.Body).Decode(&tx) != nil {
			return http.StatusBadRequest, nil
		}
		return s.commit(entry, tx)
	case r.Method == http.MethodPost && path == wire["grant"]:
		var request struct{ TtlMs int64 }
		_ = json.NewDecoder(r.Body).Decode(&request)
		return s.grant(time.Duration(request.TtlMs) * time.Millisecond)
	case r.Method == http.MethodPost && strings.HasPrefix(path, wire["keep"]):
		return s.keep(strings.TrimPrefix(path, wire["keep"]))
	case r.Method == http.MethodDelete && strings.HasPrefix(path, wire["revoke"]):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, wire["revoke"]), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
		return http.StatusOK, struct{}{}
	}
	return http.StatusNotFound, nil
}

func (s *store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, i
}

func (s *store) sortedKeys(prefix, after string) []string {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, size, more := []item{}, 0, false
	for _, key := range s.sortedKeys(prefix, after) {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	return http.StatusOK, map[string]any{"items": items, wire["morePages"]: more, wire["revision"]: s.revision}
}

func (s *store) watch(r *http.Request, entry, prefix string, after uint64, wait time.Duration) (int, any) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		body := map[string]any{"events": events, wire["revision"]: s.revision}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, body
		}
		select {
		case <-changed:
		case <-deadline:
			return http.StatusOK, body
		case <-r.Context().Done():
			return http.StatusOK, body
		}
		if s.isDown() {
			return http.StatusServiceUnavailable, nil
		}
	}
}

type transaction struct {
	Expect []struct {
		Key      string
		Revision uint64
	}
	Puts []struct {
		Key   string
		Value []byte
		Lease uint64
	}
	Remove []string
}

func (s *store) commit(entry string, tx transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(tx.Expect)+len(tx.Puts)+len(tx.Remove) > transactionRows {
		return http.StatusBadRequest, nil
	}
	for _, p := range tx.Puts {
		if len(p.Value) > valueBytes {
			return http.StatusBadRequest, nil
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
	}
	for _, e := range tx.Expect {
		if s.items[e.Key].Revision == e.Revision {
			continue
		}
		items := []item{}
		for _, other := range tx.Expect {
			if i, ok := s.items[other.Key]; ok {
				items = append(items, i)
			}
		}
		return http.StatusPreconditionFailed, map[string]any{"items": items}
	}
	for _, p := range tx.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, p := range tx.Puts {
		s.write(p.Key, p.Value, p.Lease)
		if p.Key == keyLeader {
			s.rec.add("store: %s writes the leader record at revision %d: %s", entry, s.revision, p.Value)
		}
	}
	for _, key := range tx.Remove {
		s.remove(key)
		if key == keyLeader {
			s.rec.add("store: %s removes the leader record", entry)
		}
	}
	s.notify()
	return http.StatusOK, map[string]any{"Revision": s.revision}
}

// keyLeader is where the project keeps the record of its leader; it is read for the record of the case only.
const keyLeader = "lead/leader"

func (s *store) write(key string, value []byte, leaseID uint64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID, at: time.Now()}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key, as the operator or a worker does.
func (s *store) put(key string, value any) bool {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.revision++
	s.write(key, text, 0)
	s.notify()
	return true
}

// drop removes a key, as the platform does when a worker is silent.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

func (s *store) grant(ttl time.Duration) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl = min(max(ttl, time.Second), 10*time.Minute)
	s.leases[s.lastLease] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"Lease": s.lastLease, "TtlMs": ttl.Milliseconds()}
}

func (s *store) keep(text string) (int, any) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.ends = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()}
}

// endLease ends a lease and removes its keys.
func (s *store) endLease(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
			if key == keyLeader {
				s.rec.add("store: the lease of the leader record ends")
			}
		}
	}
	s.notify()
}

// expire ends leases that were not renewed and drops old history. Leases pause while the store is down.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if s.down {
			l.ends = l.ends.Add(20 * time.Millisecond)
		}
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// leader returns the entry that the leader record names, or an empty string.
func (s *store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l struct{ Entry string }
	if i, ok := s.items[keyLeader]; ok {
		_ = json.Unmarshal(i.Value, &l)
	}
	return l.Entry
}

// valueSize returns the size of the value of a key.
func (s *store) valueSize(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items[key].Value)
}
