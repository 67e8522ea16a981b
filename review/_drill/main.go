package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// limit is the time after which a case is given up.
const limit = 112 * time.Second

// caseOf is a case with the rule that it is about.
type caseOf struct {
	rule string
	run  func(s *site, trouble bool) error
}

var cases = map[string]caseOf{
	"recurring": {"Acks", runRecurring}, "ends": {"TWICE", runEnds}, "isolated": {"TWICE", runIsolated}, "resigned": {"TWICE", runResigned},
	"hopeless": {"LOST", runHopeless}, "dropped": {"LOST", runDropped},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case in the root of the repository and returns its exit code. The record goes into the folder.
func play(name, dir string) int {
	rec, err := newRecord(filepath.Clean(dir))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s, err := newSite(rec, "matcher", true)
	if err != nil {
		rec.say("can't run: %v", err)
		return failed
	}
	defer s.close()
	s.fleet.rule = cases[name].rule
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %t", name, trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan error, 1)
	go func() { result <- cases[name].run(s, trouble) }()
	select {
	case err = <-result:
	case <-stop:
		err = fmt.Errorf("stopped by a signal")
	case <-time.After(limit):
		err = fmt.Errorf("not done after %v", limit)
	}
	if err != nil {
		rec.say("can't run: %v", err)
		return failed
	}
	code, n := held, 0
	s.fleet.locked(func() { n = len(s.fleet.broken) })
	if n > 0 {
		code = broken
		s.fleet.locked(func() { rec.say("the rule is broken %d times; first: %s", n, s.fleet.broken[0]) })
	} else {
		rec.say("the rule held")
	}
	return code
}

// stepBody is a step of a submission, as requesters send it.
type stepBody struct {
	Count, Cpu, MemMb, Gpu, EstimateMs int64  `json:",omitempty"`
	After                              []int  `json:",omitempty"`
	Checkpointing, LongRunning, Fills  bool   `json:",omitempty"`
	Requirements, Affinity, Image      string `json:",omitempty"`

	// workMs is the work of a task, which the workers learn from the text of the submission.
	workMs int64
}

type schedule struct{ Times, StartAtMs, IntervalMs int64 }

// submission returns the body of a submission.
func submission(steps []stepBody, times *schedule) []byte {
	var text spec
	for _, s := range steps {
		text.WorkMs = append(text.WorkMs, s.workMs)
		text.Steps = append(text.Steps, taskShape{Cpu: s.Cpu, MemMb: s.MemMb, Gpu: s.Gpu, Fills: s.Fills, LongRunning: s.LongRunning, Checkpointing: s.Checkpointing})
	}
	encoded, _ := json.Marshal(text)
	body := map[string]any{"Spec": string(encoded), "Steps": steps}
	if times != nil {
		body["Times"], body["StartAtMs"], body["IntervalMs"] = times.Times, times.StartAtMs, times.IntervalMs
	}
	data, _ := json.Marshal(body)
	return data
}

// addWorkers starts n workers in a zone, with the labels of their kind and rack.
func (s *site) addWorkers(n int, zone, kind, rack string, size capacity) ([]*worker, error) {
	var added []*worker
	for i := range n {
		w, err := s.fleet.add(fmt.Sprintf("i-%s-%s-%d", zone, rack, i), zone, []string{kind, rack}, size)
		if err != nil {
			return nil, err
		}
		added = append(added, w)
	}
	return added, nil
}

// eventually waits until a condition of the fleet holds, and reports whether it has.
func (f *fleet) eventually(wait time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(wait)
	for {
		ok := false
		f.locked(func() { ok = condition() })
		if ok || time.Now().After(deadline) {
			return ok
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// doneOf counts which of the given tasks of a submission have ended done.
func (f *fleet) doneOf(id string, tasks ...string) int {
	n := 0
	for _, t := range tasks {
		n += min(f.done[id+"."+t], 1)
	}
	return n
}

// runsOf counts the runs of tasks of a submission.
func (f *fleet) runsOf(id string, tasks ...string) int {
	n := 0
	for _, t := range tasks {
		n += f.lives[id+"."+t]
	}
	return n
}
