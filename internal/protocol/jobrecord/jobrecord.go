// Package jobrecord encodes and decodes the records that the job scheduler keeps in the store, as JSON with short
// names. Decode validates its input: a record that it returns can be used without further checks. A record above
// MaxBytes is never written.
package jobrecord

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// MaxBytes is the greatest size of an encoded record. The store accepts values of up to one megabyte.
const MaxBytes = 900 << 10

// ErrUnknownKind means that no kind of record belongs to a key, or to the type of a value.
const ErrUnknownKind = errors.ConstError("unknown kind of record")

// ErrTooLarge means that a record is larger than MaxBytes.
const ErrTooLarge = errors.ConstError("record is too large")

// leadershipJSON is the stored form of job.Leadership.
type leadershipJSON struct {
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
}

// commitJSON is the stored form of job.CommitRecord.
type commitJSON struct {
	Incarnation uint64 `json:"incarnation"`
	Commit      uint64 `json:"commit"`
	Resigned    bool   `json:"resigned,omitempty"`
	// PredecessorGrace is in milliseconds, rounded up; it is missing in the records of earlier releases.
	PredecessorGrace *int64 `json:"predecessor_grace,omitempty"`
	// These are in milliseconds, rounded up, and missing in the records of releases that did not bound leases.
	LeaseHorizon    int64 `json:"lease_horizon,omitempty"`
	MajorityHorizon int64 `json:"majority_horizon,omitempty"`
	EarlierLeases   int64 `json:"earlier_leases,omitempty"`
	EarlierMajority int64 `json:"earlier_majority,omitempty"`
}

func encodeCommit(r *job.CommitRecord) commitJSON {
	stored := commitJSON{
		Incarnation: uint64(r.Incarnation), Commit: r.Commit, Resigned: r.Resigned, LeaseHorizon: millisUp(r.LeaseHorizon),
		MajorityHorizon: millisUp(r.MajorityHorizon), EarlierLeases: millisUp(r.EarlierLeases),
		EarlierMajority: millisUp(r.EarlierMajority),
	}
	if r.GraceKnown {
		grace := millisUp(r.PredecessorGrace)
		stored.PredecessorGrace = &grace
	}
	return stored
}

// millisUp returns a duration in milliseconds, rounded up.
func millisUp(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

func decodeCommit(text []byte) (*job.CommitRecord, error) {
	var v commitJSON
	if err := json.Unmarshal(text, &v); err != nil {
		return nil, errors.Trace(err)
	}
	r := &job.CommitRecord{Incarnation: model.Incarnation(v.Incarnation), Commit: v.Commit, Resigned: v.Resigned}
	if min(v.LeaseHorizon, v.MajorityHorizon, v.EarlierLeases, v.EarlierMajority) < 0 {
		return nil, errors.Annotatef(ErrInvalid, "lease_horizon %d, majority_horizon %d, earlier_leases %d, earlier_majority %d",
			v.LeaseHorizon, v.MajorityHorizon, v.EarlierLeases, v.EarlierMajority)
	}
	r.LeaseHorizon = time.Duration(v.LeaseHorizon) * time.Millisecond
	r.MajorityHorizon = time.Duration(v.MajorityHorizon) * time.Millisecond
	r.EarlierLeases = time.Duration(v.EarlierLeases) * time.Millisecond
	r.EarlierMajority = time.Duration(v.EarlierMajority) * time.Millisecond
	if v.PredecessorGrace != nil {
		if *v.PredecessorGrace < 0 {
			return nil, errors.Annotatef(ErrInvalid, "predecessor_grace %d", *v.PredecessorGrace)
		}
		r.PredecessorGrace, r.GraceKnown = time.Duration(*v.PredecessorGrace)*time.Millisecond, true
	}
	return r, nil
}

// registryJSON is the stored form of job.Registry.
type registryJSON struct {
	// Workers maps the id of each worker to its address. Closed maps the id of each worker that gets no more tasks to
	// the tasks that may still run there.
	Workers map[string]string   `json:"workers"`
	Closed  map[string][]string `json:"closed,omitempty"`
	// Boots maps the id of each worker to its newest boot.
	Boots map[string]int64 `json:"boots,omitempty"`
}

// interferencePairJSON is the stored form of job.InterferencePair. Its numbers are rounded, since they are estimates.
type interferencePairJSON struct {
	Serving    string  `json:"serving"`
	BestEffort string  `json:"filling"`
	Slope      float64 `json:"slope"`
	StdError   float64 `json:"deviation"`
}

// Encode returns the stored form of a record.
func Encode(value any) ([]byte, error) {
	var stored any
	switch v := value.(type) {
	case *job.Leadership:
		stored = leadershipJSON{string(v.Entry), uint64(v.Incarnation), v.Address}
	case *job.CommitRecord:
		stored = encodeCommit(v)
	case *job.Registry:
		r := registryJSON{Workers: make(map[string]string, len(v.Workers)), Boots: make(map[string]int64, len(v.Workers))}
		for _, w := range v.Workers {
			r.Workers[string(w.ID)] = w.Address
			if w.Boot != 0 {
				r.Boots[string(w.ID)] = int64(w.Boot)
			}
			if w.NoMoreStarts {
				r.addClosed(w)
			}
		}
		stored = r
	case *job.Interference:
		stored = encodeInterference(v)
	case *job.Job:
		stored = encodeJob(v)
	case *job.Tombstone:
		stored = jobJSON{Tombstone: true}
	case *job.Progress:
		stored = encodeProgress(v)
	default:
		return nil, errors.Annotatef(ErrUnknownKind, "%T", value)
	}
	text, err := json.Marshal(stored)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(text) > MaxBytes {
		return nil, errors.Annotatef(ErrTooLarge, "%d bytes", len(text))
	}
	return text, nil
}

// Decode parses the stored form of the record of a key. The error names the key.
func Decode(key string, text []byte) (any, error) {
	value, err := decodeRecord(key, text)
	if err != nil {
		return nil, errors.Annotate(err, key)
	}
	return value, nil
}

func decodeRecord(key string, text []byte) (any, error) {
	switch {
	case key == job.KeyLeader:
		var v leadershipJSON
		if err := json.Unmarshal(text, &v); err != nil {
			return nil, errors.Trace(err)
		}
		return &job.Leadership{
			Entry: model.EntryID(v.Entry), Incarnation: model.Incarnation(v.Incarnation), Address: v.Address,
		}, nil
	case key == job.KeyCommit:
		return decodeCommit(text)
	case key == job.KeyRegistry:
		return decodeRegistry(text)
	case key == job.KeyInterference:
		return decodeInterference(text)
	case strings.HasPrefix(key, job.PrefixJob):
		return decodeJob(job.IDOf(key), text)
	case strings.HasPrefix(key, job.PrefixProgress):
		return decodeProgress(job.IDOf(key), text)
	default:
		return nil, ErrUnknownKind
	}
}

// interferenceScale makes Encode round the numbers of a pair to 1/100.
const interferenceScale = 100

func encodeInterference(interference *job.Interference) []interferencePairJSON {
	pairs := make([]interferencePairJSON, 0, len(interference.Pairs))
	round := func(x float64) float64 { return math.Round(x*interferenceScale) / interferenceScale }
	for _, p := range interference.Pairs {
		pairs = append(pairs, interferencePairJSON{p.Serving, p.BestEffort, round(p.Slope), round(p.StdError)})
	}
	return pairs
}

func decodeInterference(text []byte) (*job.Interference, error) {
	var pairs []interferencePairJSON
	if err := json.Unmarshal(text, &pairs); err != nil {
		return nil, errors.Trace(err)
	}
	interference := &job.Interference{}
	for _, p := range pairs {
		if p.Serving == "" || p.BestEffort == "" || p.StdError < 0 {
			return nil, errors.Annotatef(ErrInvalid, "invalid pair of images %q and %q", p.Serving, p.BestEffort)
		}
		interference.Pairs = append(interference.Pairs, job.InterferencePair(p))
	}
	return interference, nil
}

func (r *registryJSON) addClosed(w job.RegisteredWorker) {
	if r.Closed == nil {
		r.Closed = make(map[string][]string)
	}
	names := make([]string, 0, len(w.Runs))
	for _, t := range w.Runs {
		names = append(names, t.String())
	}
	r.Closed[string(w.ID)] = names
}

func decodeRegistry(text []byte) (*job.Registry, error) {
	var v registryJSON
	if err := json.Unmarshal(text, &v); err != nil {
		return nil, errors.Trace(err)
	}
	r := &job.Registry{}
	for _, id := range slices.Sorted(maps.Keys(v.Workers)) {
		w := job.RegisteredWorker{ID: model.WorkerID(id), Address: v.Workers[id], Boot: job.BootID(v.Boots[id])}
		names, closed := v.Closed[id]
		w.NoMoreStarts = closed
		for _, name := range names {
			t, ok := job.ParseTask(name)
			if !ok {
				return nil, errors.Annotatef(ErrInvalid, "malformed task name %q", name)
			}
			w.Runs = append(w.Runs, t)
		}
		r.Workers = append(r.Workers, w)
	}
	return r, nil
}
