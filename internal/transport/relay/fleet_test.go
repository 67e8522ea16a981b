package relay

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/protocol/jobrecord"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/transport/jobs"
)

const (
	testService = "s"
	testQueue   = "q"
)

// memoryStore is a store in memory that always responds. It serves one leader.
type memoryStore struct {
	mu       sync.Mutex
	revision model.Revision
	items    map[string]jobs.Item
	log      []jobs.Item
	changed  chan struct{}
	commits  int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{items: make(map[string]jobs.Item), changed: make(chan struct{})}
}

func (s *memoryStore) Get(_ context.Context, key string) (jobs.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item, ok := s.items[key]; ok {
		return item, nil
	}
	return jobs.Item{Key: key}, nil
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]jobs.Item, model.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []jobs.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, item)
		}
	}
	return found, s.revision, nil
}

func (s *memoryStore) Watch(
	ctx context.Context, prefix string, after model.Revision, wait time.Duration,
) ([]jobs.Item, model.Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var found []jobs.Item
		for i := len(s.log) - 1; i >= 0 && s.log[i].Revision > after; i-- {
			if strings.HasPrefix(s.log[i].Key, prefix) {
				found = append([]jobs.Item{s.log[i]}, found...)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			return found, revision, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *memoryStore) Commit(_ context.Context, tx jobs.Transaction) (jobs.TransactionResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expect {
		if s.items[e.Key].Revision != e.Revision {
			return jobs.TransactionResult{}, nil
		}
	}
	s.revision++
	s.commits++
	for _, p := range tx.Puts {
		item := jobs.Item{Key: p.Key, Value: p.Value, Revision: s.revision}
		s.items[p.Key] = item
		s.log = append(s.log, item)
	}
	for _, key := range tx.Delete {
		delete(s.items, key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return jobs.TransactionResult{Applied: true, Revision: s.revision}, nil
}

func (s *memoryStore) GrantLease(context.Context, time.Duration) (model.LeaseID, error) {
	return 1, nil
}
func (s *memoryStore) KeepAlive(context.Context, model.LeaseID) (bool, error) { return true, nil }
func (s *memoryStore) RevokeLease(context.Context, model.LeaseID) error       { return nil }

// fleet is a set of workers that run tasks for the time of their step's estimate, times the pace.
type fleet struct {
	started time.Time
	workers map[model.WorkerID]*fleetWorker
	list    []job.Worker
	// calls counts the calls to workers, and starts those that started a run.
	calls, starts, doubled atomic.Int64
	mu                     sync.Mutex
	running                map[job.Task]model.WorkerID
	runTime                func(job.Run) time.Duration
	// report, if not nil, fills in what a worker reports of a run that began at a time. onStart, if not nil, is told of each
	// start.
	report  func(w *fleetWorker, row *job.RunningTask, began time.Time)
	onStart func(job.Run)
}

type fleetWorker struct {
	mu       sync.Mutex
	epoch    model.Epoch
	runs     map[job.Run]time.Time
	ended    []job.EndedTask
	sequence int64
	changed  chan struct{}
}

func newFleet(workers, dataCentres int) *fleet {
	f := &fleet{
		started: time.Now(), workers: make(map[model.WorkerID]*fleetWorker), running: make(map[job.Task]model.WorkerID),
		runTime: func(run job.Run) time.Duration {
			if isServing(run.Task.Job) {
				return time.Hour
			}
			return 700 * time.Millisecond
		},
	}
	for i := range workers {
		id := model.WorkerID(fmt.Sprintf("i-%08x", i))
		f.workers[id] = &fleetWorker{runs: make(map[job.Run]time.Time), changed: make(chan struct{}, 1)}
		f.list = append(f.list, job.Worker{
			ID: id, Address: fmt.Sprintf("10.%d.0.%d:8080", i%dataCentres, i), Service: testService, Boot: 1,
			DataCentre: model.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres)), Rack: fmt.Sprintf("r%d", i/20),
			Capacity: model.Resources{CPUMillis: 32_000, MemoryBytes: 125 << 30},
		})
	}
	return f
}

func (f *fleet) Workers(context.Context, model.Revision, time.Duration) (jobs.WorkersResult, error) {
	return jobs.WorkersResult{Changed: f.list, Complete: true, Revision: 1}, nil
}

func (f *fleet) Configuration(
	ctx context.Context, after model.Revision, wait time.Duration,
) (jobs.ConfigurationResult, error) {
	if after > 0 {
		sleep(ctx, wait)
		return jobs.ConfigurationResult{Revision: after, Newest: true}, nil
	}
	return jobs.ConfigurationResult{Changed: true, Newest: true, Revision: 1, Configuration: job.Configuration{
		Version: 1, Routes: []job.Route{{Queue: testQueue, Service: testService, Attempts: 2, Slack: 1.5}},
	}}, nil
}

func (f *fleet) clock() time.Duration { return time.Since(f.started) }

func (w *fleetWorker) refuses(epoch model.Epoch) bool {
	if epoch < w.epoch {
		return true
	}
	w.epoch = epoch
	return false
}

func (f *fleet) Hold(ctx context.Context, h dispatch.Hold) (job.Inventory, job.OrderResponse) {
	f.calls.Add(1)
	w := f.workers[h.Worker]
	timer := time.NewTimer(h.Wait)
	defer timer.Stop()
	for {
		w.mu.Lock()
		if w.refuses(h.Epoch) {
			w.mu.Unlock()
			return job.Inventory{}, job.OrderResponse{Refusal: job.RefusedEpoch}
		}
		for len(w.ended) > 0 && w.ended[0].Sequence <= h.Acknowledged {
			w.ended = w.ended[1:]
		}
		inv := job.Inventory{Boot: 1, Clock: f.clock(), Ended: append([]job.EndedTask(nil), w.ended...)}
		for run, at := range w.runs {
			row := job.RunningTask{
				Run: run, Percent: int(time.Since(at) / (10 * time.Millisecond) % 100), Measurement: float64(rand.IntN(1000)),
			}
			if isServing(run.Task.Job) {
				row.Percent, row.Measurement = 100, float64(40+rand.IntN(60))
			}
			if f.report != nil {
				f.report(w, &row, at)
			}
			inv.Running = append(inv.Running, row)
		}
		w.mu.Unlock()
		if len(inv.Ended) > 0 {
			return inv, job.OrderResponse{Clock: inv.Clock}
		}
		select {
		case <-w.changed:
		case <-timer.C:
			return inv, job.OrderResponse{Clock: inv.Clock}
		case <-ctx.Done():
			return job.Inventory{}, job.OrderResponse{Err: ctx.Err()}
		}
	}
}

func (f *fleet) Start(_ context.Context, s dispatch.Start) job.OrderResponse {
	f.calls.Add(1)
	w := f.workers[s.Worker]
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refuses(s.Epoch) {
		return job.OrderResponse{Refusal: job.RefusedEpoch}
	}
	if _, here := w.runs[s.Run]; here {
		return job.OrderResponse{Clock: f.clock()}
	}
	f.starts.Add(1)
	f.mu.Lock()
	if _, elsewhere := f.running[s.Run.Task]; elsewhere {
		f.doubled.Add(1)
	}
	f.running[s.Run.Task] = s.Worker
	f.mu.Unlock()
	if f.onStart != nil {
		f.onStart(s.Run)
	}
	w.runs[s.Run] = time.Now()
	time.AfterFunc(f.runTime(s.Run), func() { f.end(w, s.Run, job.EndDone) })
	return job.OrderResponse{Clock: f.clock()}
}

func (f *fleet) end(w *fleetWorker, run job.Run, kind job.EndKind) {
	w.mu.Lock()
	if _, here := w.runs[run]; here {
		delete(w.runs, run)
		f.mu.Lock()
		delete(f.running, run.Task)
		f.mu.Unlock()
		w.sequence++
		w.ended = append(w.ended, job.EndedTask{Run: run, Sequence: w.sequence, Kind: kind})
	}
	w.mu.Unlock()
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (f *fleet) Stop(_ context.Context, s dispatch.Stop) job.OrderResponse {
	f.calls.Add(1)
	go f.end(f.workers[s.Worker], s.Run, job.EndOther)
	return job.OrderResponse{Clock: f.clock()}
}

func (f *fleet) Pace(context.Context, dispatch.Pace) job.OrderResponse {
	f.calls.Add(1)
	return job.OrderResponse{Clock: f.clock()}
}

// leaderUnderTest is an entry that leads, with its hub on a test server.
type leaderUnderTest struct {
	actor  *jobs.ControlActor
	hub    *Hub
	store  *memoryStore
	server *httptest.Server
	// bytes counts what relays send and receive, messages the batches that they receive.
	bytes, messages atomic.Int64
}

func startLeader(t testing.TB, f *fleet, maxDirect int) *leaderUnderTest {
	t.Helper()
	l := &leaderUnderTest{hub: NewHub(), store: newMemoryStore()}
	executor := &jobs.Executor{
		Store: l.store, Workers: f, Directory: f, Relays: l.hub, Logger: testLogger(),
		Metrics: jobs.NewMetrics(),
	}
	actor, err := jobs.NewControlActor(context.Background(), scheduler.Settings{
		Entry: "leader", Incarnation: 1, Address: "leader", LeaderTTL: 2 * time.Second, MaxUnconfirmed: 6 * time.Second,
		ConfigMaxAge: 4 * time.Second,
		Dispatch:     dispatch.Settings{MaxLease: 6 * time.Second, StatusRetention: time.Minute, MaxDirectWorkers: maxDirect},
	}, executor, rand.New(rand.NewPCG(1, 1)))
	assert.NilError(t, err)
	l.actor = actor
	l.hub.Attach(actor)
	path, handler := l.hub.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = &countingBody{r.Body, l}
		handler.ServeHTTP(&countingWriter{w, l}, r)
	}))
	l.server = httptest.NewServer(mux)
	t.Cleanup(func() {
		l.server.CloseClientConnections()
		l.server.Close()
		actor.Stop()
	})
	return l
}

type countingWriter struct {
	http.ResponseWriter
	leader *leaderUnderTest
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.leader.bytes.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

func (w *countingWriter) Flush() {
	w.leader.messages.Add(1)
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

type countingBody struct {
	io.ReadCloser
	leader *leaderUnderTest
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.leader.bytes.Add(int64(n))
	return n, err
}

// followerView is the control state of an entry that follows a leader.
type followerView struct{ address atomic.Pointer[string] }

func (v *followerView) Snapshot() *scheduler.View {
	return &scheduler.View{LeaderAddress: *v.address.Load()}
}

func (v *followerView) Send(context.Context, scheduler.Event) error { return nil }

func (l *leaderUnderTest) startAgent(t testing.TB, entry, dataCentre string, workers jobs.Workers) *Agent {
	t.Helper()
	view := &followerView{}
	address := l.server.Listener.Addr().String()
	view.address.Store(&address)
	a := StartAgent(AgentOptions{
		Entry: model.EntryID(entry), Incarnation: 1, DataCentre: model.DataCentre(dataCentre), MaxWorkers: 400,
		Core: view, Workers: workers, Client: &http.Client{Transport: &http.Transport{}},
		Logger: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(a.Stop)
	return a
}

// submit stores a job as an accepting entry does.
func (l *leaderUnderTest) submit(t testing.TB, j *job.Job) {
	t.Helper()
	j.Queue, j.Accepted = testQueue, time.Now()
	value, err := jobrecord.Encode(j)
	assert.NilError(t, err)
	key := job.Key(j.ID)
	_, err = l.store.Commit(context.Background(), jobs.Transaction{
		Expect: []job.Expectation{{Key: key}}, Puts: []jobs.Put{{Key: key, Value: value}},
	})
	assert.NilError(t, err)
}

// completed returns how many of the jobs have completed.
func (l *leaderUnderTest) completed(t testing.TB, ids []job.ID) int {
	t.Helper()
	n := 0
	for _, id := range ids {
		inspection, err := l.actor.Inspect(context.Background(), id)
		assert.NilError(t, err)
		if inspection.Phase == job.Completed {
			n++
		}
	}
	return n
}

// isServing reports whether a job was made by servingJob.
func isServing(id job.ID) bool { return id[0] == 'f' }

// servingJob returns a job of long-running tasks that serve users.
func servingJob(n, tasks int) *job.Job {
	return &job.Job{ID: job.ID(fmt.Sprintf("f%015x", n)), Steps: []job.Step{{
		Tasks: tasks, Size: model.Resources{CPUMillis: 2000, MemoryBytes: 2 << 30}, Estimate: time.Second,
		Image: fmt.Sprint("serving-", n%12), LongRunning: true, TailLatencyTarget: 150 * time.Millisecond,
	}}}
}

func testJob(id string, tasks int, bestEffort bool) *job.Job {
	return &job.Job{ID: job.ID(id), Payload: strings.Repeat("p", 250), Steps: []job.Step{{
		Tasks: tasks, Size: model.Resources{CPUMillis: 3500, MemoryBytes: 2 << 30}, Estimate: 700 * time.Millisecond,
		Image: "image-" + id[:1], BestEffort: bestEffort, Checkpoints: bestEffort,
	}}}
}

// testLogger encodes the log and discards it, unless RELAY_TEST_LOG is set.
func testLogger() *slog.Logger {
	if os.Getenv("RELAY_TEST_LOG") != "" {
		return slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	return slog.New(slog.NewJSONHandler(io.Discard, nil))
}
