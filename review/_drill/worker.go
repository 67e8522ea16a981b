package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	workerPort = 18400
	heartbeat  = 1500 * time.Millisecond
	// holdMax is the longest lease that a worker grants.
	holdMax = 6 * time.Second
	// stopTime is how long a run takes to stop.
	stopTime = 200 * time.Millisecond
	// startupTime is how long a long-running task takes until it is at work.
	startupTime = 300 * time.Millisecond
	// saveInterval is the work between two checkpoints, restoreTime the time to resume from one.
	saveInterval = 500 * time.Millisecond
	restoreTime  = 100 * time.Millisecond
	// listedEnds is the number of ends that one answer lists.
	listedEnds = 500
	// step is the granularity at which the workers' time advances.
	step = 10 * time.Millisecond
)

// capacity is what a worker has, or what a task takes of it.
type capacity struct{ Cpu, MemMb, Gpu int64 }

// spec is what the text of a submission says of its tasks, for the workers here.
type spec struct {
	// WorkMs holds the work of a task of each step.
	WorkMs []int64
	Steps  []taskShape
}

type taskShape struct {
	Cpu, MemMb, Gpu                   int64
	Fills, LongRunning, Checkpointing bool
}

// fleet is the set of all workers, with the ledger of what ran.
type fleet struct {
	rec     *record
	store   *store
	service string
	guards  bool

	mu      sync.Mutex
	workers []*worker
	// lives counts the runs of each task.
	lives map[string]int
	// starts and done count what happened to each task; lastStart is when a run of it started last.
	starts, done map[string]int
	lastStart    map[string]time.Time
	// rule is the rule that the case is about, and broken lists what breaks it.
	rule   string
	broken []string
	hosts  hosts
	// quiet leaves first starts, and ends done, out of the record.
	quiet bool
}

func newFleet(rec *record, s *store, service string, guards bool) *fleet {
	f := &fleet{
		rec: rec, store: s, service: service, guards: guards, lives: make(map[string]int), starts: make(map[string]int),
		done: make(map[string]int), lastStart: make(map[string]time.Time),
	}
	go func() {
		for range time.Tick(step) {
			f.mu.Lock()
			for _, w := range f.workers {
				w.advance()
			}
			f.mu.Unlock()
		}
	}()
	return f
}

// breakRule notes that a rule is broken. It counts only if the case is about that rule.
func (f *fleet) breakRule(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	if rule != f.rule {
		f.rec.add("also broken, not what the case is about: %s", text)
		return
	}
	f.broken = append(f.broken, text)
	f.rec.add("BROKEN %s", text)
}

func (f *fleet) locked(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// worker is a stand-in of a worker.
type worker struct {
	fleet    *fleet
	id, zone string
	address  string
	labels   []string
	size     capacity

	// reachable tells, by the generation number of an order, whether the order arrives; nil means that all do.
	reachable func(token uint64) bool
	born      time.Time
	token     uint64
	leaseEnd  int64
	runs      map[string]*run
	highest   map[string]uint64
	ended     []end
	lastEnd   int64
	sequence  int
	changed   chan struct{}
}

type run struct {
	task    string
	number  uint64
	shape   taskShape
	need    time.Duration
	worked  time.Duration
	saved   string
	waits   time.Duration
	pace    int
	stopAt  time.Time
	began   time.Time
	started time.Duration
}

type end struct {
	n     int64
	task  string
	run   uint64
	how   string
	saved string
	at    time.Time
	// lapsed means that the worker's lease has lapsed since: the end is not taken note of then.
	lapsed bool
}

// add starts a worker.
func (f *fleet) add(id, zone string, labels []string, size capacity) (*worker, error) {
	// Each worker has an address of its own, as on the platform.
	host, err := f.hosts.next()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, workerPort))
	if err != nil {
		return nil, err
	}
	w := &worker{
		fleet: f, id: id, zone: zone, labels: labels, size: size, address: listener.Addr().String(), born: time.Now(),
		runs: make(map[string]*run), highest: make(map[string]uint64), changed: make(chan struct{}),
	}
	server := &http.Server{Handler: w}
	go func() { _ = server.Serve(listener) }()
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	go func() {
		for {
			w.beat()
			time.Sleep(heartbeat)
		}
	}()
	return w, nil
}

// beat writes the worker's entry.
func (w *worker) beat() {
	w.fleet.mu.Lock()
	w.sequence++
	entry := map[string]any{
		"Service": w.fleet.service, "Address": w.address, "Zone": w.zone, "Version": "1", "Slots": 8, "State": "ready",
		"Sequence": w.sequence, "Capacity": w.size, "Labels": w.labels, "born": w.born.UnixMilli(),
	}
	w.fleet.mu.Unlock()
	w.fleet.store.put("servers/"+w.id, entry)
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// order is the union of all requests to a worker.
type order struct {
	token      uint64
	Task       string
	Run        uint64
	Spec       string
	DeadlineMs int64
	Checkpoint string
	LastSeen   int64
	WaitMs     int64
	Percent    int
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var o order
	fields := make(map[string]json.RawMessage)
	if json.Unmarshal(text, &o) != nil || json.Unmarshal(text, &fields) != nil {
		respond(out, http.StatusBadRequest, nil)
		return
	}
	_ = json.Unmarshal(fields[wire["token"]], &o.token)
	w.fleet.mu.Lock()
	cut := w.reachable != nil && !w.reachable(o.token)
	w.fleet.mu.Unlock()
	if cut {
		hang(r)
	}
	if r.Header.Get(wire["instance"]) != w.id {
		respond(out, http.StatusMisdirectedRequest, nil)
		return
	}
	status, body := w.execute(r, &o)
	w.fleet.mu.Lock()
	cut = w.reachable != nil && !w.reachable(o.token)
	w.fleet.mu.Unlock()
	if cut {
		hang(r)
	}
	respond(out, status, body)
}

func (w *worker) execute(r *http.Request, o *order) (int, any) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.advance()
	if o.token < w.token {
		return http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": "fence"}
	}
	w.token = o.token
	switch r.URL.Path {
	case wire["start"]:
		return w.start(o)
	case wire["stop"]:
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if run := w.runs[o.Task]; run != nil && run.number == o.Run && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopTime)
			w.fleet.rec.add("worker %s: stop of run %d of %s by %d", w.id, o.Run, o.Task, o.token)
		}
	case wire["pace"]:
		if run := w.runs[o.Task]; run != nil && run.number == o.Run {
			run.pace = o.Percent
		}
	case wire["hold"]:
		return w.hold(r, o)
	default:
		return http.StatusNotFound, nil
	}
	return http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born.UnixMilli()}
}

// extend takes the end of the leases from an order.
func (w *worker) extend(deadline int64) {
	if deadline > 0 {
		w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+holdMax.Milliseconds()))
	}
}

func (w *worker) refuse(reason string) (int, any) {
	return http.StatusConflict, map[string]any{"ClockMs": w.clock(), "born": w.born.UnixMilli(), "Reason": reason}
}

func (w *worker) start(o *order) (int, any) {
	f := w.fleet
	if o.DeadlineMs <= w.clock() {
		return w.refuse("late")
	}
	w.extend(o.DeadlineMs)
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born.UnixMilli()}
	}
	if o.Run <= w.highest[o.Task] || w.runs[o.Task] != nil {
		return w.refuse("old")
	}
	var s spec
	parts := strings.Split(o.Task, ".")
	stepNumber := 0
	if len(parts) == 4 {
		_, _ = fmt.Sscan(parts[2], &stepNumber)
	}
	if json.Unmarshal([]byte(o.Spec), &s) != nil || stepNumber >= len(s.Steps) {
		return http.StatusBadRequest, nil
	}
	shape := s.Steps[stepNumber]
	if !w.fits(shape) {
		if f.guards {
			return w.refuse("room")
		}
		f.breakRule("LIMIT", "a start of %s brings worker %s over its capacity", o.Task, w.id)
	}
	w.highest[o.Task] = o.Run
	r := &run{task: o.Task, number: o.Run, shape: shape, need: time.Duration(s.WorkMs[stepNumber]) * time.Millisecond, pace: 100, began: time.Now(), saved: o.Checkpoint, waits: startupTime}
	if !shape.LongRunning {
		r.waits = 0
	}
	if o.Checkpoint != "" {
		var ms int64
		_, _ = fmt.Sscanf(o.Checkpoint, "%x", &ms)
		r.worked, r.waits = time.Duration(ms)*time.Millisecond, restoreTime
	}
	w.runs[o.Task] = r
	f.starts[o.Task]++
	f.lastStart[o.Task] = time.Now()
	if !f.quiet || f.starts[o.Task] > 1 {
		f.rec.add("worker %s: start of run %d of %s by %d", w.id, o.Run, o.Task, o.token)
	}
	// A lease ends on a worker that gets no requests, too.
	for _, other := range f.workers {
		other.advance()
	}
	f.lives[o.Task]++
	if f.lives[o.Task] > 1 {
		f.breakRule("TWICE", "run %d of %s starts on worker %s while another run of it is on a worker that is up", o.Run, o.Task, w.id)
	}
	if f.done[o.Task] > 0 && !shape.LongRunning {
		f.rec.add("worker %s: run %d of %s starts after a run of it has ended done", w.id, o.Run, o.Task)
	}
	return http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born.UnixMilli()}
}

func (w *worker) fits(shape taskShape) bool {
	used := capacity{}
	for _, r := range w.runs {
		if !r.shape.Fills {
			used.Cpu += r.shape.Cpu
		}
		used.MemMb += r.shape.MemMb
		used.Gpu += r.shape.Gpu
	}
	cpu := shape.Cpu
	if shape.Fills {
		cpu = 0
	}
	return used.Cpu+cpu <= w.size.Cpu && used.MemMb+shape.MemMb <= w.size.MemMb && used.Gpu+shape.Gpu <= w.size.Gpu
}

func (w *worker) hold(r *http.Request, o *order) (int, any) {
	w.extend(o.DeadlineMs)
	kept := w.ended[:0:0]
	for _, e := range w.ended {
		if e.n > o.LastSeen {
			kept = append(kept, e)
			continue
		}
		if e.how == "done" && !e.lapsed {
			if w.fleet.lastStart[e.task].After(e.at) {
				w.fleet.breakRule("TWICE", "a run of %s started after run %d had ended done on worker %s; that end is taken note of", e.task, e.run, w.id)
			}
		}
	}
	w.ended = kept
	deadline := time.Now().Add(min(time.Duration(o.WaitMs)*time.Millisecond, 2*time.Second))
	for len(w.ended) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		changed := w.changed
		w.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
		}
		w.fleet.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, r.saved, r.percent(), r.shape.Cpu})
	}
	for _, e := range w.ended[:min(len(w.ended), listedEnds)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born.UnixMilli(), "Running": running, "Ended": ended}
}

func (r *run) percent() int {
	if r.shape.LongRunning {
		if r.waits > 0 {
			return 0
		}
		return 100
	}
	return int(100 * r.worked / max(r.need, 1))
}

// advance lets time pass on the worker: tasks work, are stopped, and lose their lease.
func (w *worker) advance() {
	now := time.Now()
	lapsed := w.clock() > w.leaseEnd
	for i := range w.ended {
		w.ended[i].lapsed = w.ended[i].lapsed || lapsed
	}
	for _, r := range w.runs {
		passed := now.Sub(r.began) - r.started
		r.started += passed
		idle := min(passed, r.waits)
		r.waits -= idle
		r.worked += (passed - idle) * time.Duration(r.pace) / 100
		if r.shape.Checkpointing {
			if n := r.worked / saveInterval; n > 0 {
				r.saved = fmt.Sprintf("%016x", (n * saveInterval).Milliseconds())
			}
		}
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			if r.shape.Checkpointing {
				r.saved = fmt.Sprintf("%016x", r.worked.Milliseconds())
			}
			w.end(r, "stopped")
		case !r.shape.LongRunning && r.worked >= r.need:
			w.end(r, "done")
		}
	}
}

func (w *worker) end(r *run, how string) {
	f := w.fleet
	delete(w.runs, r.task)
	f.lives[r.task]--
	w.lastEnd++
	w.ended = append(w.ended, end{n: w.lastEnd, task: r.task, run: r.number, how: how, saved: r.saved, at: time.Now()})
	if !f.quiet || how != "done" {
		f.rec.add("worker %s: run %d of %s ends %s", w.id, r.number, r.task, how)
	}
	if how == "done" {
		f.done[r.task]++
	}
	close(w.changed)
	w.changed = make(chan struct{})
}
