package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"lju-a", "lju-a", "lju-b", "lju-b", "grz-a", "grz-a"}

// usual is a queue like those of the small installation.
func usual(name, prefix string, priority, attempts int) route {
	return route{Name: name, Host: queueHost, Prefix: prefix, Service: "matcher", Priority: priority, Attempts: attempts, SlackFactor: 1.5, TargetLatencyMs: 400}
}

// full is the size of a worker of the installation.
var full = capacity{Cpu: 32000, MemMb: 128000}

// begin starts the entries with a manifest and waits until they serve.
func (s *site) begin(routes ...route) error {
	s.configure(1, routes...)
	if err := s.addEntries(zones...); err != nil {
		return err
	}
	return s.awaitReady()
}

// runEnds lets many short tasks end while the store is down for 4.5 s.
func runEnds(s *site, trouble bool) error {
	s.fleet.quiet = true
	if _, err := s.addWorkers(3, "lju-a", "a", "r1", full); err != nil {
		return err
	}
	if err := s.begin(usual("batch", "/batch/", 2, 4)); err != nil {
		return err
	}
	time.Sleep(time.Second)
	const id, count = "00000000000000a1", 5000
	steps := []stepBody{{Count: count, Cpu: 250, MemMb: 200, EstimateMs: 500, workMs: 500}}
	if !s.submit("/batch/"+id, submission(steps, nil)) {
		return fmt.Errorf("the submission was not accepted")
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		s.rec.say("the store is down")
		s.store.setDown(true)
		time.Sleep(4500 * time.Millisecond)
		s.store.setDown(false)
		s.rec.say("the store is back")
	}
	deadline := time.Now().Add(40 * time.Second)
	state := ""
	for time.Now().Before(deadline) {
		if state = s.state("/batch/" + id); strings.Contains(state, "completed") {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	s.fleet.locked(func() {
		starts := 0
		for _, n := range s.fleet.starts {
			starts += n
		}
		s.rec.say("state %s; %d tasks, %d starts", state, count, starts)
	})
	return nil
}

// droppedSteps is the number of steps, one after the other, of the submission whose queue is dropped.
const droppedSteps = 5

// runDropped drops the queue of a submission that is at work, and then restarts the entries one after the other.
func runDropped(s *site, trouble bool) error {
	if _, err := s.addWorkers(8, "lju-a", "a", "r1", full); err != nil {
		return err
	}
	kept, dropped := usual("quick", "/quick/", 0, 2), usual("batch", "/batch/", 2, 4)
	if err := s.begin(kept, dropped); err != nil {
		return err
	}
	time.Sleep(time.Second)
	const id = "00000000000000b1"
	var steps []stepBody
	var tasks []string
	for i := range droppedSteps {
		next := stepBody{Count: 1, Cpu: 3500, MemMb: 6400, EstimateMs: 10000, workMs: 10000}
		if i > 0 {
			next.After = []int{i - 1}
		}
		steps, tasks = append(steps, next), append(tasks, fmt.Sprintf("0.%d.0", i))
	}
	if !s.submit("/batch/"+id, submission(steps, nil)) {
		return fmt.Errorf("the submission was not accepted")
	}
	if !s.fleet.eventually(5*time.Second, func() bool { return s.fleet.runsOf(id, tasks[0]) == 1 }) {
		return fmt.Errorf("the submission did not start")
	}
	s.configure(2, kept)
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		for _, e := range s.entries {
			e.signal(syscall.SIGTERM)
			if !e.wait(6 * time.Second) {
				return fmt.Errorf("%s did not end within its grace period", e.name)
			}
			if err := e.start(); err != nil {
				return err
			}
			time.Sleep(1300 * time.Millisecond)
		}
	}
	s.rec.say("end of the planned work")
	s.state("/batch/" + id)
	time.Sleep(14 * time.Second)
	idle := !s.fleet.eventually(3*time.Second, func() bool {
		return s.fleet.doneOf(id, tasks...) == len(tasks) || s.fleet.runsOf(id, tasks...) > 0
	})
	s.fleet.locked(func() {
		if idle {
			s.fleet.breakRule("LOST", "14 s after the end of the traffic, %s has nothing running for 3 s; %d of its %d tasks are done; the workers run nothing else",
				id, s.fleet.doneOf(id, tasks...), len(tasks))
		}
	})
	return nil
}

// dataCentres are the zones with workers; the workers of dataCentres[i] are in rack r(i+1).
var dataCentres = []string{"lju-a", "lju-b", "grz-a"}

// isolatedTime and resignedTime are how long the data centre is cut off in the two cases.
const (
	isolatedTime = 10 * time.Second
	resignedTime = 16 * time.Second
)

// beginPartition starts 4 workers in each data centre, and entries, and returns the leader with the rack of its data centre.
func (s *site) beginPartition() (leader *entry, rack int, err error) {
	for i, zone := range dataCentres {
		if _, err := s.addWorkers(4, zone, "a", fmt.Sprint("r", i+1), full); err != nil {
			return nil, 0, err
		}
	}
	if err := s.begin(usual("quick", "/quick/", 0, 2), usual("scorers", "/scorers/", 0, 4)); err != nil {
		return nil, 0, err
	}
	time.Sleep(time.Second)
	leader = s.entryNamed(s.store.leader())
	if leader == nil {
		return nil, 0, fmt.Errorf("no leader")
	}
	for i, zone := range dataCentres {
		if zone == leader.zone {
			rack = i + 1
		}
	}
	return leader, rack, nil
}

// submitScorers submits a submission of tasks that last, with its data in a rack.
func (s *site) submitScorers(id string, tasks int64, rack int) error {
	steps := []stepBody{{Count: tasks, Cpu: 6400, MemMb: 13000, EstimateMs: 320, LongRunning: true, Affinity: fmt.Sprint("r", rack), workMs: 320}}
	if !s.submit("/scorers/"+id, submission(steps, nil)) {
		return fmt.Errorf("a submission was not accepted")
	}
	return nil
}

// cutOff cuts the data centre of the leader off from the other ones and from the store, and returns what heals the cut.
// The entries there get no answers from the store, and each worker answers only the leaders on its own side: other orders,
// told by their generation number, hang.
func (s *site) cutOff(leader *entry) (heal func()) {
	var token uint64
	var inside []string
	for _, e := range s.entries {
		if e.zone == leader.zone {
			inside = append(inside, e.name)
		}
	}
	s.fleet.locked(func() {
		here, there := 0, 0
		for _, w := range s.fleet.workers {
			token = max(token, w.token)
		}
		for _, w := range s.fleet.workers {
			if w.zone == leader.zone {
				here += len(w.runs)
				w.reachable = func(t uint64) bool { return t == token }
			} else {
				there += len(w.runs)
				w.reachable = func(t uint64) bool { return t != token }
			}
		}
		s.rec.say("%s leads with generation number %d; %d tasks run in its data centre, %d in the others", leader.name, token, here, there)
	})
	s.store.setCut(inside, true)
	s.rec.say("%s is cut off from the other data centres and from the store", leader.zone)
	return func() {
		s.store.setCut(inside, false)
		s.fleet.locked(func() {
			for _, w := range s.fleet.workers {
				w.reachable = nil
			}
		})
		s.rec.say("the cut has healed")
	}
}

// runIsolated cuts the data centre of the leader off while tasks that last run in the other ones.
func runIsolated(s *site, trouble bool) error {
	leader, own, err := s.beginPartition()
	if err != nil {
		return err
	}
	for rack := 1; rack <= len(dataCentres); rack++ {
		if rack != own {
			if err := s.submitScorers(fmt.Sprintf("00000000000000c%d", rack), 6, rack); err != nil {
				return err
			}
		}
	}
	// Short tasks let the workers' answers come at different times, as in any installation at work.
	for i := range 24 {
		steps := []stepBody{{Count: 3, Cpu: 2300, MemMb: 4600, EstimateMs: 640, workMs: 640}}
		if !s.submit(fmt.Sprintf("/quick/00000000000020%02x", i), submission(steps, nil)) {
			return fmt.Errorf("a submission was not accepted")
		}
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		heal := s.cutOff(leader)
		time.Sleep(isolatedTime)
		heal()
	} else {
		time.Sleep(isolatedTime)
	}
	time.Sleep(4 * time.Second)
	return nil
}

// runResigned cuts the data centre of the leader off, and stops the next leader in an orderly way while the first one may
// still act. With TROUBLE=cut it leaves the next leader alone.
func runResigned(s *site, trouble bool) error {
	leader, own, err := s.beginPartition()
	if err != nil {
		return err
	}
	if err := s.submitScorers("00000000000000c1", 20, own); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if !trouble {
		time.Sleep(resignedTime + 4*time.Second)
		return nil
	}
	heal := s.cutOff(leader)
	began := time.Now()
	var second *entry
	for second == nil {
		if name := s.store.leader(); name != "" && name != leader.name {
			second = s.entryNamed(name)
		}
		if time.Since(began) > 10*time.Second {
			return fmt.Errorf("no other entry took over")
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	s.rec.say("%s leads now", second.name)
	if os.Getenv("TROUBLE") != "cut" {
		s.rec.say("%s is stopped in an orderly way and started again", second.name)
		second.signal(syscall.SIGTERM)
		if !second.wait(6 * time.Second) {
			return fmt.Errorf("%s did not end within its grace period", second.name)
		}
		if err := second.start(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(began.Add(resignedTime)))
	heal()
	time.Sleep(4 * time.Second)
	return nil
}

const (
	// trafficTime and trafficPerSecond describe the submissions before the one that the case is about; each
	// hopelessEvery-th of them can never be done.
	trafficTime      = 20 * time.Second
	trafficPerSecond = 11
	hopelessEvery    = 20
)

// runHopeless submits work of which a part can never be done, and then a submission whose second step becomes due late.
func runHopeless(s *site, trouble bool) error {
	s.fleet.quiet = true
	if _, err := s.addWorkers(8, "lju-a", "a", "r1", full); err != nil {
		return err
	}
	if err := s.begin(usual("quick", "/quick/", 0, 2), usual("batch", "/batch/", 2, 4)); err != nil {
		return err
	}
	time.Sleep(time.Second)
	hopeless := 0
	for i := 1; i <= int(trafficTime.Seconds())*trafficPerSecond; i++ {
		steps := []stepBody{{Count: 2, Cpu: 2300, MemMb: 4600, EstimateMs: 640, workMs: 640}}
		if trouble && i%hopelessEvery == 0 {
			hopeless++
			gpu := stepBody{Count: 1, Cpu: 2300, MemMb: 4600, Gpu: 1, EstimateMs: 640, workMs: 640}
			steps = []stepBody{gpu, gpu, gpu, gpu}
		}
		if !s.submit(fmt.Sprintf("/quick/00000000000010%02x", i), submission(steps, nil)) {
			return fmt.Errorf("a submission was not accepted")
		}
		time.Sleep(time.Second / trafficPerSecond)
	}
	s.rec.say("%d submissions, %d of them can never be done", int(trafficTime.Seconds())*trafficPerSecond, hopeless)
	time.Sleep(4 * time.Second)
	const id = "00000000000000e1"
	steps := []stepBody{
		{Count: 1, Cpu: 3500, MemMb: 6400, EstimateMs: 1000, workMs: 4000},
		{Count: 4, Cpu: 3500, MemMb: 6400, EstimateMs: 700, Fills: true, Image: "rescore", workMs: 1700, After: []int{0}},
	}
	if !s.submit("/batch/"+id, submission(steps, nil)) {
		return fmt.Errorf("the submission was not accepted")
	}
	if !s.fleet.eventually(15*time.Second, func() bool { return s.fleet.done[id+".0.0.0"] > 0 }) {
		return fmt.Errorf("the first step did not end")
	}
	s.rec.say("the first step of %s has ended", id)
	time.Sleep(14 * time.Second)
	idle := !s.fleet.eventually(3*time.Second, func() bool {
		return s.fleet.done[id+".0.1.0"] > 0 || s.fleet.runsOf(id, "0.1.0", "0.1.1", "0.1.2", "0.1.3") > 0
	})
	state := s.state("/batch/" + id)
	s.fleet.locked(func() {
		busy := 0
		for _, w := range s.fleet.workers {
			busy += len(w.runs)
		}
		s.rec.say("state of %s: %s; %d runs on all workers", id, state, busy)
		if idle && busy == 0 {
			s.fleet.breakRule("LOST", "%s has nothing running for 3 s, 14 s after the end of the traffic, on workers that run nothing", id)
		}
	})
	return nil
}

const (
	// recurringTimes is the number of times of the work that recurs; with TROUBLE=0 it is quietTimes.
	recurringTimes = 72000
	quietTimes     = 20000
	// recurringWait bounds the wait until nearly all of them are over.
	recurringWait = 95 * time.Second
	// stuckAfter is the time without a stored change of its progress after which the store holds no more of it.
	stuckAfter = 3 * time.Second
	// ackTime is the bound AckMs of the site.
	ackTime = 5 * time.Second
)

// runRecurring submits work that recurs, waits until most of its times are over, and then cancels other work.
func runRecurring(s *site, trouble bool) error {
	s.fleet.quiet = true
	if _, err := s.addWorkers(8, "lju-a", "a", "r1", full); err != nil {
		return err
	}
	if err := s.begin(usual("quick", "/quick/", 0, 2), usual("batch", "/batch/", 2, 4)); err != nil {
		return err
	}
	time.Sleep(time.Second)
	const id = "00000000000000f1"
	times := &schedule{Times: quietTimes, StartAtMs: time.Now().UnixMilli(), IntervalMs: 1}
	if trouble {
		times.Times = recurringTimes
	}
	steps := []stepBody{{Count: 1, Cpu: 100, MemMb: 100, EstimateMs: 20, workMs: 20}}
	if !s.submit("/batch/"+id, submission(steps, times)) {
		return fmt.Errorf("the submission was not accepted")
	}
	if err := s.awaitTimes(id, int(times.Times)); err != nil {
		return err
	}
	return s.cancelOthers()
}

// awaitTimes waits until all times of a submission are over, or until its progress is not stored any more.
func (s *site) awaitTimes(id string, times int) error {
	deadline := time.Now().Add(recurringWait)
	size, changedAt, nextReport := 0, time.Now(), time.Now()
	for {
		done := 0
		s.fleet.locked(func() { done = len(s.fleet.done) })
		if now := s.store.valueSize("progress/" + id); now != size {
			size, changedAt = now, time.Now()
		}
		if time.Now().After(nextReport) {
			nextReport = time.Now().Add(10 * time.Second)
			s.rec.say("%d tasks have ended done; %d bytes of progress are stored", done, size)
		}
		if done >= times || done > times/2 && time.Since(changedAt) > stuckAfter {
			s.rec.say("%d of %d tasks have ended done; %d bytes of progress are stored, unchanged for %v", done, times, size, time.Since(changedAt).Round(time.Millisecond))
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d tasks have ended done within %v", done, times, recurringWait)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// cancelOthers submits and cancels four other submissions, and checks that the cancellations are confirmed in time.
func (s *site) cancelOthers() error {
	const others = 4
	path := func(i int) string { return fmt.Sprintf("/quick/00000000000010%02x", i) }
	for i := range others {
		steps := []stepBody{{Count: 2, Cpu: 2300, MemMb: 4600, EstimateMs: 1600, workMs: 8000}}
		if !s.submit(path(i), submission(steps, nil)) {
			return fmt.Errorf("a submission was not accepted")
		}
	}
	time.Sleep(time.Second)
	s.rec.say("requesters cancel %d submissions", others)
	var wait sync.WaitGroup
	var mu sync.Mutex
	confirmed := 0
	deadline := time.Now().Add(ackTime)
	for i := range others {
		wait.Go(func() {
			for attempt := 0; time.Now().Before(deadline); attempt++ {
				status, _ := s.send(s.entries[(i+attempt)%len(s.entries)], http.MethodDelete, path(i), nil)
				if status/100 == 2 || status == http.StatusGone {
					mu.Lock()
					confirmed++
					mu.Unlock()
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	s.rec.say("%d of %d cancellations were confirmed", confirmed, others)
	s.fleet.locked(func() {
		if (others-confirmed)*10 > others {
			s.fleet.breakRule("Acks", "%d of %d cancellations of accepted submissions have no 2xx or 410 after %v, though the store was well all the time", others-confirmed, others, ackTime)
		}
	})
	return nil
}
