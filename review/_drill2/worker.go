package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// lapse is the time of silence after which the record of a worker is removed.
	lapse = 3 * heartbeat
	// holdMax is the longest lease that a worker grants.
	holdMax = 6 * time.Second
	// stopTime is how long a worker takes to stop a run.
	stopTime = 50 * time.Millisecond
	// startupTime is how long a lasting task starts up.
	startupTime = 300 * time.Millisecond
)

// capacity is what a worker offers, or a task takes.
type capacity struct{ Cpu, MemMb, Gpu int64 }

// worker is a stand-in of a worker at one address. Its lives follow each other there.
type worker struct {
	fleet    *fleet
	slot     int
	address  string
	id       string
	capacity capacity
	labels   []string

	mu       sync.Mutex
	life     int
	up       bool
	born     time.Time
	server   *http.Server
	fence    uint64
	leaseEnd time.Duration
	runs     map[string]*taskRun
	highest  map[string]uint64
	ended    []endRow
	lastEnd  int64
	lastBeat time.Time
	sequence int
	listed   bool
}

type taskRun struct {
	task    string
	number  uint64
	spec    spec
	began   time.Time
	stopped time.Time
}

type endRow struct {
	n    int64
	task string
	run  uint64
	how  string
}

// spec is what the stand-ins of the workers read in the Spec of a submission.
type spec struct {
	// Ms is how long a task works; 0 means that it lasts.
	Ms int64
	// Text fills the Spec.
	Text string `json:",omitempty"`
	// Cpu is what a task is reported to use.
	Cpu int64 `json:",omitempty"`
}

// fleet is the set of all workers.
type fleet struct {
	store   *store
	service string
	workers []*worker
	mu      sync.Mutex
	// starts are the starts of all workers.
	starts []startRecord
}

type startRecord struct {
	at     time.Time
	task   string
	run    uint64
	worker *worker
	life   int
}

func newFleet(s *store, service string, size int, offer capacity, labels func(slot int) []string) *fleet {
	f := &fleet{store: s, service: service}
	for i := range size {
		w := &worker{fleet: f, slot: i, id: fmt.Sprintf("i-%04x", 0xa100+i), capacity: offer, labels: labels(i), address: loopback(101+i) + ":7005"}
		f.workers = append(f.workers, w)
		w.start()
	}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			for _, w := range f.workers {
				w.tick()
			}
		}
	}()
	return f
}

// start begins a new life of the worker.
func (w *worker) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	listener, err := net.Listen("tcp", w.address)
	for n := 0; err != nil && n < 200; n++ {
		time.Sleep(10 * time.Millisecond)
		listener, err = net.Listen("tcp", w.address)
	}
	must(err)
	w.life++
	w.up, w.born = true, time.Now()
	w.fence, w.leaseEnd, w.lastEnd = 0, 0, 0
	w.runs, w.highest, w.ended = make(map[string]*taskRun), make(map[string]uint64), nil
	w.lastBeat = time.Time{}
	mux := http.NewServeMux()
	for _, path := range []string{"start", "stop", "hold", "pace"} {
		mux.HandleFunc("POST "+name(path), w.handle(path))
	}
	w.server = &http.Server{Handler: mux}
	go func(server *http.Server) { _ = server.Serve(listener) }(w.server)
	note("worker %s is up (life %d) at %s", w.id, w.life, w.address)
}

// crash ends the life of the worker: it runs nothing and sends nothing any more.
func (w *worker) crash() {
	w.mu.Lock()
	lost := []string{}
	for _, r := range w.runs {
		lost = append(lost, fmt.Sprintf("%s run %d", r.task, r.number))
	}
	w.up, w.runs = false, nil
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
	note("worker %s crashes; lost: %s", w.id, strings.Join(lost, ", "))
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// tick ends what is due and sends heartbeats.
func (w *worker) tick() {
	w.mu.Lock()
	now := time.Now()
	record, write := "", false
	if w.up {
		w.endDue()
		if now.Sub(w.lastBeat) >= heartbeat {
			w.lastBeat, w.listed, write = now, true, true
			w.sequence++
			record = w.describe()
		}
	} else if w.listed && now.Sub(w.lastBeat) > lapse {
		w.listed, write = false, true
		note("the record of worker %s is removed", w.id)
	}
	w.mu.Unlock()
	if write {
		w.fleet.store.put("servers/"+w.id, record)
	}
}

func (w *worker) describe() string {
	text, err := json.Marshal(map[string]any{
		"Id": w.id, "Service": w.fleet.service, "Address": w.address, "Zone": "za", "Version": "1", "Slots": 8, "State": "ready",
		name("cold"): 0, "Sequence": w.sequence, "born": w.born.UnixMilli(), "Capacity": w.capacity, "Labels": w.labels,
		"Machine": fmt.Sprint("m-", w.slot),
	})
	must(err)
	return string(text)
}

func (w *worker) endDue() {
	expired := w.clock() > w.leaseEnd
	for task, r := range w.runs {
		how := ""
		switch {
		case !r.stopped.IsZero() && time.Since(r.stopped) >= stopTime:
			how = "stopped"
		case expired:
			how = "lapsed"
		case r.spec.Ms > 0 && time.Since(r.began) >= time.Duration(r.spec.Ms)*time.Millisecond:
			how = "done"
		default:
			continue
		}
		delete(w.runs, task)
		w.highest[task] = max(w.highest[task], r.number)
		w.lastEnd++
		w.ended = append(w.ended, endRow{w.lastEnd, task, r.number, how})
		note("worker %s: %s run %d ends: %s", w.id, task, r.number, how)
	}
}

// handle returns the handler of one order.
func (w *worker) handle(path string) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var order map[string]json.RawMessage
		_ = json.NewDecoder(r.Body).Decode(&order)
		w.mu.Lock()
		life := w.life
		if !w.up {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if r.Header.Get(name("instance")) != w.id {
			w.mu.Unlock()
			reply(out, http.StatusMisdirectedRequest, nil)
			return
		}
		status, body := w.execute(path, order)
		w.mu.Unlock()
		if path == "hold" && status == http.StatusOK {
			until := time.Now().Add(time.Duration(number(order["WaitMs"])) * time.Millisecond)
			for time.Now().Before(until) && len(body["Ended"].([][]any)) == 0 && r.Context().Err() == nil {
				time.Sleep(10 * time.Millisecond)
				w.mu.Lock()
				if !w.up || w.life != life {
					w.mu.Unlock()
					panic(http.ErrAbortHandler)
				}
				body = w.lists()
				w.mu.Unlock()
			}
		}
		reply(out, status, body)
	}
}

func number(text json.RawMessage) int64 {
	var n int64
	_ = json.Unmarshal(text, &n)
	return n
}

func word(text json.RawMessage) string {
	var s string
	_ = json.Unmarshal(text, &s)
	return s
}

// execute carries out an order. The caller holds the mutex.
func (w *worker) execute(path string, order map[string]json.RawMessage) (int, map[string]any) {
	w.endDue()
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"ClockMs": w.clock().Milliseconds(), "Reason": reason, "born": w.born.UnixMilli()}
	}
	token := uint64(number(order[name("fence")]))
	if token < w.fence {
		return refuse("fence")
	}
	w.fence = token
	if end := time.Duration(number(order["DeadlineMs"])) * time.Millisecond; end > 0 && (path == "hold" || path == "start") {
		if path == "start" && end <= w.clock() {
			return refuse("late")
		}
		w.leaseEnd = max(w.leaseEnd, min(end, w.clock()+holdMax))
	}
	task, run := word(order["Task"]), uint64(number(order["Run"]))
	switch path {
	case "hold":
		seen := number(order["LastSeen"])
		left := w.ended[:0]
		for _, e := range w.ended {
			if e.n > seen {
				left = append(left, e)
			}
		}
		w.ended = left
		return http.StatusOK, w.lists()
	case "start":
		if r := w.runs[task]; r != nil && r.number == run {
			break
		}
		if run <= w.highest[task] {
			return refuse("old")
		}
		var s spec
		_ = json.Unmarshal([]byte(word(order["Spec"])), &s)
		w.runs[task] = &taskRun{task: task, number: run, spec: s, began: time.Now()}
		w.fleet.mu.Lock()
		w.fleet.starts = append(w.fleet.starts, startRecord{time.Now(), task, run, w, w.life})
		w.fleet.mu.Unlock()
		note("worker %s: %s run %d starts", w.id, task, run)
	case "stop":
		w.highest[task] = max(w.highest[task], run)
		if r := w.runs[task]; r != nil && r.number == run && r.stopped.IsZero() {
			r.stopped = time.Now()
		}
	}
	return http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
}

// lists returns the body of the answer to a hold.
func (w *worker) lists() map[string]any {
	w.endDue()
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := int64(100)
		if r.spec.Ms > 0 {
			percent = min(99, 100*time.Since(r.began).Milliseconds()/r.spec.Ms)
		} else if time.Since(r.began) < startupTime {
			percent = 0
		}
		running = append(running, []any{r.task, r.number, "", percent, r.spec.Cpu})
	}
	for _, e := range w.ended {
		if len(ended) < 500 {
			ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
		}
	}
	return map[string]any{"ClockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "Running": running, "Ended": ended}
}

// running returns the workers that run a task now.
func (f *fleet) running(task string) []*worker {
	var found []*worker
	for _, w := range f.workers {
		w.mu.Lock()
		if w.up && w.runs[task] != nil {
			found = append(found, w)
		}
		w.mu.Unlock()
	}
	return found
}

// startsOf returns the starts of the tasks whose names begin so.
func (f *fleet) startsOf(prefix string) []startRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []startRecord
	for _, s := range f.starts {
		if strings.HasPrefix(s.task, prefix) {
			found = append(found, s)
		}
	}
	return found
}
