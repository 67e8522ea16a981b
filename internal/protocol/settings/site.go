package settings

import (
	"fmt"
	"io"
	"time"

	"gopkg.in/ini.v1"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// JobSettings holds the validated settings of an entry that package jobdaemon runs, which schedules jobs on a platform.
// They do not list the other entries, since entries find each other through the store.
type JobSettings struct {
	Entry      model.EntryID
	DataCentre model.DataCentre

	// CallerListen, HealthListen, PeerListen and OperatorListen are of the form IP:port.
	CallerListen   string
	HealthListen   string
	PeerListen     string
	OperatorListen string

	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string

	// AdviceAddress is the IP:port of the advice service, which decides on which workers a step may run. It is empty if
	// there is none.
	AdviceAddress string

	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StatusRetention is how long the final phase of a job is retained.
	StatusRetention time.Duration
	// LeaderTTL is the time after which a leader that has not renewed its lease is replaced.
	LeaderTTL time.Duration
	// LeaderMaxUnconfirmed is how long a leader continues to act after the store last confirmed its leadership.
	LeaderMaxUnconfirmed time.Duration

	// ConfigMaxAge is how long a configuration counts as current after the store has confirmed it.
	ConfigMaxAge time.Duration

	// DrainLag is how long an entry that is stopping still serves new requests, since the load balancer needs some
	// seconds to stop sending them.
	DrainLag time.Duration
	// DrainDeadline bounds the duration of the whole drain, DrainLag included.
	DrainDeadline time.Duration

	// Cores is the number of processor cores, possibly a fraction, that the VM gives the process. LinkMbps is the
	// bandwidth of its network link in megabits per second. 0 means unknown. Entries on larger VMs stand for election
	// earlier.
	Cores    float64
	LinkMbps float64

	// MemoryMB is the memory that the process may use, in megabytes; 0 means no limit.
	MemoryMB int

	LogLevel  string
	LogFormat string
}

// LoadJobSettings parses and validates settings. The faults name the file as given. A non-nil error is an *Error.
func LoadJobSettings(file string, text []byte) (*JobSettings, error) {
	r, err := newReader(file, text)
	if err != nil {
		return nil, err
	}
	s := r.jobSettings()
	r.checkUnknown()
	if s.DrainDeadline <= s.DrainLag {
		r.addFault("drain", "deadline", "%v is not longer than lag (%v)", s.DrainDeadline, s.DrainLag)
	}
	if len(r.faults) > 0 {
		return nil, &Error{Faults: r.faults}
	}
	return s, nil
}

func (r *reader) jobSettings() *JobSettings {
	return &JobSettings{
		Entry:                model.EntryID(r.text("entry", "id", "")),
		DataCentre:           model.DataCentre(r.text("entry", "data_centre", "")),
		CallerListen:         r.address("caller", "listen", ""),
		HealthListen:         r.address("health", "listen", ""),
		PeerListen:           r.address("peer", "listen", ""),
		OperatorListen:       r.address("operator", "listen", ""),
		StoreAddress:         r.address("platform", "store", ""),
		AdviceAddress:        r.address("platform", "advice", "-"),
		MaxLease:             r.duration("worker", "lease_max", 6*time.Second, time.Second, time.Hour),
		StatusRetention:      r.duration("job", "status_keep", 2*time.Minute, time.Second, 24*time.Hour),
		LeaderTTL:            r.duration("leader", "ttl", 2*time.Second, time.Second, time.Minute),
		LeaderMaxUnconfirmed: r.duration("leader", "blind", 6*time.Second, time.Second, time.Hour),
		ConfigMaxAge:         r.duration("config", "max_age", 2500*time.Millisecond, 500*time.Millisecond, time.Hour),
		DrainLag:             r.duration("drain", "lag", 3*time.Second, 0, 5*time.Minute),
		DrainDeadline:        r.duration("drain", "deadline", 5*time.Second, time.Second, time.Hour),
		Cores:                r.decimal("limit", "cores", 0, 0, 1024),
		LinkMbps:             r.decimal("limit", "link_mbps", 0, 0, 1e6),
		MemoryMB:             r.integer("limit", "memory_mb", 0, 0, 1<<20),
		LogLevel:             r.logChoice("level", "info", "debug", "info", "warn", "error"),
		LogFormat:            r.logChoice("format", "json", "json", "text"),
	}
}

// Write writes the effective settings, including defaults, in the INI format that LoadJobSettings accepts.
func (s *JobSettings) Write(w io.Writer) error {
	file := ini.Empty()
	put := func(section, key string, value any) { file.Section(section).Key(key).SetValue(fmt.Sprint(value)) }
	put("entry", "id", s.Entry)
	put("entry", "data_centre", s.DataCentre)
	put("caller", "listen", s.CallerListen)
	put("health", "listen", s.HealthListen)
	put("peer", "listen", s.PeerListen)
	put("operator", "listen", s.OperatorListen)
	put("platform", "store", s.StoreAddress)
	if s.AdviceAddress != "" {
		put("platform", "advice", s.AdviceAddress)
	}
	put("worker", "lease_max", s.MaxLease)
	put("job", "status_keep", s.StatusRetention)
	put("leader", "ttl", s.LeaderTTL)
	put("leader", "blind", s.LeaderMaxUnconfirmed)
	put("config", "max_age", s.ConfigMaxAge)
	put("drain", "lag", s.DrainLag)
	put("drain", "deadline", s.DrainDeadline)
	put("limit", "memory_mb", s.MemoryMB)
	put("limit", "cores", s.Cores)
	put("limit", "link_mbps", s.LinkMbps)
	put("log", "level", s.LogLevel)
	put("log", "format", s.LogFormat)
	_, err := file.WriteTo(w)
	return err
}
