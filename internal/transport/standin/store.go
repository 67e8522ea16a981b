// Package standin implements in-memory stand-ins for the platform's store, VM list and workers and for upstream
// instances. They serve the same protocols as the real services, can inject faults, and are for development and tests
// only.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jujubearch/jujubearch/internal/protocol/platformpb"
)

// StoreFaults are the faults that a Store injects.
type StoreFaults struct {
	// Down makes every new call fail without effect.
	Down bool
	// Delay is the time that every call waits before it is processed.
	Delay time.Duration
	// LoseResponses is the number of following writes that take effect but whose response is lost.
	LoseResponses int
}

// Store is a key-value store with compare-and-swap, leases and watches.
type Store struct {
	mu          sync.Mutex
	revision    uint64
	records     map[string]*platformpb.Record
	leaseByKey  map[string]uint64
	leases      map[uint64]*lease
	lastLeaseID uint64
	changed     chan struct{}
	history     []*platformpb.Record
	faults      StoreFaults
	calls       map[string]int
	clock       func() time.Time
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewStore returns an empty store without faults.
func NewStore() *Store {
	return &Store{
		records: make(map[string]*platformpb.Record), leaseByKey: make(map[string]uint64),
		leases: make(map[uint64]*lease), changed: make(chan struct{}), calls: make(map[string]int), clock: time.Now,
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls by operation. A watch counts as one call, however long it waits.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for op, n := range s.calls {
		calls[op] = n
	}
	return calls
}

// beginCall counts a call, injects the delay and returns an error if the store is down.
func (s *Store) beginCall(ctx context.Context, op string) error {
	s.mu.Lock()
	s.calls[op]++
	faults := s.faults
	s.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
		}
	}
	if faults.Down {
		return connect.NewError(connect.CodeUnavailable, nil)
	}
	return nil
}

// Get implements StoreService.
func (s *Store) Get(ctx context.Context, r *platformpb.GetRequest) (*platformpb.GetResponse, error) {
	if err := s.beginCall(ctx, "get"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return &platformpb.GetResponse{Record: s.recordOrEmpty(r.GetKey())}, nil
}

func (s *Store) recordOrEmpty(key string) *platformpb.Record {
	if record := s.records[key]; record != nil {
		return record
	}
	return &platformpb.Record{Key: key}
}

// List implements StoreService.
func (s *Store) List(ctx context.Context, r *platformpb.ListRequest) (*platformpb.ListResponse, error) {
	if err := s.beginCall(ctx, "list"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	response := &platformpb.ListResponse{Revision: s.revision}
	for key, record := range s.records {
		if strings.HasPrefix(key, r.GetPrefix()) {
			response.Records = append(response.Records, record)
		}
	}
	sort.Slice(response.Records, func(i, j int) bool { return response.Records[i].Key < response.Records[j].Key })
	return response, nil
}

// CompareAndSwap implements StoreService.
func (s *Store) CompareAndSwap(
	ctx context.Context, r *platformpb.CompareAndSwapRequest,
) (*platformpb.CompareAndSwapResponse, error) {
	if err := s.beginCall(ctx, "swap"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if current := s.recordOrEmpty(r.GetKey()); current.GetRevision() != r.GetExpectRevision() {
		return &platformpb.CompareAndSwapResponse{Record: current}, nil
	}
	if r.GetLeaseId() != 0 && s.leases[r.GetLeaseId()] == nil {
		return nil, connect.NewError(connect.CodeNotFound, nil)
	}
	s.write(r)
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		return nil, connect.NewError(connect.CodeDeadlineExceeded, nil)
	}
	return &platformpb.CompareAndSwapResponse{Swapped: true, Revision: s.revision}, nil
}

func (s *Store) write(r *platformpb.CompareAndSwapRequest) {
	if r.GetDelete() {
		s.remove(r.GetKey())
		return
	}
	s.revision++
	record := &platformpb.Record{Key: r.GetKey(), Value: r.GetValue(), Revision: s.revision}
	s.records[r.GetKey()] = record
	delete(s.leaseByKey, r.GetKey())
	if r.GetLeaseId() != 0 {
		s.leaseByKey[r.GetKey()] = r.GetLeaseId()
	}
	s.publish(record)
}

func (s *Store) remove(key string) {
	s.revision++
	delete(s.records, key)
	delete(s.leaseByKey, key)
	s.publish(&platformpb.Record{Key: key, Revision: s.revision, Deleted: true})
}

// maxHistory bounds the retained changes; a watch from an older revision misses what was dropped.
const maxHistory = 4096

func (s *Store) publish(record *platformpb.Record) {
	s.history = append(s.history, record)
	if len(s.history) > maxHistory {
		s.history = s.history[len(s.history)-maxHistory/2:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases deletes expired leases and their keys. Only Get, List, CompareAndSwap and KeepAlive run it, so a watch
// sees an expiry after the next of these calls.
func (s *Store) expireLeases() {
	now := s.clock()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.deleteLease(id)
		}
	}
}

func (s *Store) deleteLease(id uint64) {
	delete(s.leases, id)
	for key, leaseID := range s.leaseByKey {
		if leaseID == id {
			s.remove(key)
		}
	}
}

// Watch implements StoreService.
func (s *Store) Watch(ctx context.Context, r *platformpb.WatchRequest) (*platformpb.WatchResponse, error) {
	if err := s.beginCall(ctx, "watch"); err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Duration(r.GetWaitMilliseconds()) * time.Millisecond)
	defer timer.Stop()
	for {
		response, changed := s.changesAfter(r)
		if len(response.GetRecords()) > 0 {
			return response, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return response, nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// changesAfter returns the latest change of each watched key, and a channel that is closed at the next change of any
// key.
func (s *Store) changesAfter(r *platformpb.WatchRequest) (*platformpb.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]*platformpb.Record)
	for _, record := range s.history {
		if record.GetRevision() > r.GetAfterRevision() && strings.HasPrefix(record.GetKey(), r.GetPrefix()) {
			newest[record.GetKey()] = record
		}
	}
	response := &platformpb.WatchResponse{Revision: s.revision}
	for _, record := range newest {
		response.Records = append(response.Records, record)
	}
	sort.Slice(response.Records, func(i, j int) bool { return response.Records[i].Key < response.Records[j].Key })
	return response, s.changed
}

// GrantLease implements StoreService.
func (s *Store) GrantLease(ctx context.Context, r *platformpb.GrantLeaseRequest) (*platformpb.GrantLeaseResponse, error) {
	if err := s.beginCall(ctx, "grant"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	ttl := time.Duration(r.GetTtlMilliseconds()) * time.Millisecond
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expiresAt: s.clock().Add(ttl)}
	return &platformpb.GrantLeaseResponse{LeaseId: s.lastLeaseID}, nil
}

// KeepAlive implements StoreService.
func (s *Store) KeepAlive(ctx context.Context, r *platformpb.KeepAliveRequest) (*platformpb.KeepAliveResponse, error) {
	if err := s.beginCall(ctx, "keepalive"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[r.GetLeaseId()]
	if l == nil {
		return &platformpb.KeepAliveResponse{}, nil
	}
	l.expiresAt = s.clock().Add(l.ttl)
	return &platformpb.KeepAliveResponse{Alive: true}, nil
}

// RevokeLease implements StoreService.
func (s *Store) RevokeLease(ctx context.Context, r *platformpb.RevokeLeaseRequest) (*platformpb.RevokeLeaseResponse, error) {
	if err := s.beginCall(ctx, "revoke"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLease(r.GetLeaseId())
	return &platformpb.RevokeLeaseResponse{}, nil
}
