package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, or a deletion.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64
	Lease    uint64
	Deleted  bool `json:",omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps all of its history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]time.Time
	ttl      map[uint64]time.Duration
	changed  chan struct{}
	address  string
}

// pageItems is the number of items on a page of a list.
const pageItems = 500

func newStore() *store {
	s := &store{
		revision: 1, items: make(map[string]item), leases: make(map[uint64]time.Time), ttl: make(map[uint64]time.Duration),
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+name("kv-get"), s.get)
	mux.HandleFunc("GET "+name("kv-list"), s.list)
	mux.HandleFunc("GET "+name("kv-follow"), s.watch)
	mux.HandleFunc("POST "+name("kv-write"), s.write)
	mux.HandleFunc("POST "+name("kv-grant"), s.grant)
	mux.HandleFunc("POST "+name("kv-renew")+"{id}", s.renew)
	mux.HandleFunc("DELETE "+name("kv-end")+"{id}", s.end)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, mux) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// storeDelay is the usual time for an answer.
const storeDelay = 4 * time.Millisecond

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// put writes a key as an operator or a worker does; an empty value removes it.
func (s *store) put(key string, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.items[key]; value == "" && !exists {
		return
	}
	s.revision++
	s.set(item{Key: key, Value: []byte(value), Deleted: value == ""})
	s.notify()
}

func (s *store) set(i item) {
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	if i.Deleted {
		i.Value = nil
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("Key")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, found)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	page := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(page, func(a, b int) bool { return page[a].Key < page[b].Key })
	more := len(page) > pageItems
	if more {
		page = page[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": page, name("more"): more, name("rev"): revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	prefix := r.URL.Query().Get("Prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		select {
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, name("rev"): revision})
			return
		case <-r.Context().Done():
			return
		default:
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, name("rev"): revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, name("rev"): revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a write.
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

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var tx transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil || len(tx.Expect)+len(tx.Puts)+len(tx.Remove) > 32 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	status, body := s.apply(&tx)
	for _, p := range tx.Puts {
		if strings.HasPrefix(p.Key, "job/") {
			note("store: the write of %s is carried out: %d", p.Key, status)
		}
	}
	reply(w, status, body)
}

// leader returns the entry that leads, as the leader's record in the store names it.
func (s *store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var record struct{ Entry string }
	_ = json.Unmarshal(s.items["lead/leader"].Value, &record)
	return record.Entry
}

// size returns the number of keys.
func (s *store) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items)
}

// apply carries a transaction out if its conditions hold.
func (s *store) apply(tx *transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expect {
		if s.items[e.Key].Revision != e.Revision {
			current := []item{}
			for _, e := range tx.Expect {
				if i, ok := s.items[e.Key]; ok {
					current = append(current, i)
				}
			}
			return http.StatusPreconditionFailed, map[string]any{"items": current}
		}
	}
	for _, p := range tx.Puts {
		if _, alive := s.leases[p.Lease]; p.Lease != 0 && !alive {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, p := range tx.Puts {
		s.set(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range tx.Remove {
		if _, exists := s.items[key]; exists {
			s.set(item{Key: key, Deleted: true})
		}
	}
	s.notify()
	return http.StatusOK, map[string]any{"Revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var body struct{ TtlMs int64 }
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.ttl[id] = time.Duration(body.TtlMs) * time.Millisecond
	s.leases[id] = time.Now().Add(s.ttl[id])
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": body.TtlMs})
}

func (s *store) renew(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	_, alive := s.leases[id]
	if alive {
		s.leases[id] = time.Now().Add(s.ttl[id])
	}
	ttl := s.ttl[id]
	s.mu.Unlock()
	if !alive {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	_, alive := s.leases[id]
	s.endLease(id)
	s.mu.Unlock()
	if !alive {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, nil)
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, end := range s.leases {
		if now.After(end) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.set(item{Key: key, Deleted: true})
			s.notify()
		}
	}
}
