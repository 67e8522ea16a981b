package settings

import (
	"fmt"
	"io"
	"time"

	"gopkg.in/ini.v1"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Site are the validated settings of an entry that schedules jobs on a platform. Entries find each other through the
// store, so the settings name none.
type Site struct {
	Entry      model.EntryID
	DataCentre model.DataCentre

	// CallerListen, HealthListen, PeerListen and OperatorListen are IP:port.
	CallerListen   string
	HealthListen   string
	PeerListen     string
	OperatorListen string

	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string

	// AdviceAddress is the IP:port of the service that permits workers to run steps; empty where there is none.
	AdviceAddress string

	// LeaseMax is the longest lease of a worker.
	LeaseMax time.Duration
	// StatusKeep is how long the final phase of a job stays known.
	StatusKeep time.Duration
	// LeaderTTL is the time after which a leader that does not renew is replaced.
	LeaderTTL time.Duration
	// LeaderBlind is how long a leader goes on without the store's word.
	LeaderBlind time.Duration

	// DrainLag is how long an entry that stops still serves new requests: the balancer needs some seconds.
	DrainLag time.Duration
	// DrainDeadline bounds the whole drain.
	DrainDeadline time.Duration

	// Cores and LinkMbps are what the VM gives the process: shares of a core, and the bandwidth of its link in megabits a
	// second; 0 means that it is not known. Entries on large VMs stand for election first.
	Cores    float64
	LinkMbps float64

	// MemoryMB is the memory that the process may use, in megabytes; 0 means no limit.
	MemoryMB int

	LogLevel  string
	LogFormat string
}

// LoadSite parses the settings in text; file names them in faults. The error is an *Error.
func LoadSite(file string, text []byte) (*Site, error) {
	r, err := newReader(file, text)
	if err != nil {
		return nil, err
	}
	s := r.site()
	r.checkUnknown()
	if s.DrainDeadline <= s.DrainLag {
		r.fault("drain", "deadline", "%v is not longer than lag (%v)", s.DrainDeadline, s.DrainLag)
	}
	if len(r.faults) > 0 {
		return nil, &Error{Faults: r.faults}
	}
	return s, nil
}

func (r *reader) site() *Site {
	return &Site{
		Entry:          model.EntryID(r.text("entry", "id", "")),
		DataCentre:     model.DataCentre(r.text("entry", "data_centre", "")),
		CallerListen:   r.address("caller", "listen", ""),
		HealthListen:   r.address("health", "listen", ""),
		PeerListen:     r.address("peer", "listen", ""),
		OperatorListen: r.address("operator", "listen", ""),
		StoreAddress:   r.address("platform", "store", ""),
		AdviceAddress:  r.address("platform", "advice", "-"),
		LeaseMax:       r.duration("worker", "lease_max", 6*time.Second, time.Second, time.Hour),
		StatusKeep:     r.duration("job", "status_keep", 2*time.Minute, time.Second, 24*time.Hour),
		LeaderTTL:      r.duration("leader", "ttl", 2*time.Second, time.Second, time.Minute),
		LeaderBlind:    r.duration("leader", "blind", 6*time.Second, time.Second, time.Hour),
		DrainLag:       r.duration("drain", "lag", 3*time.Second, 0, 5*time.Minute),
		DrainDeadline:  r.duration("drain", "deadline", 5*time.Second, time.Second, time.Hour),
		Cores:          r.decimal("limit", "cores", 0, 0, 1024),
		LinkMbps:       r.decimal("limit", "link_mbps", 0, 0, 1e6),
		MemoryMB:       r.integer("limit", "memory_mb", 0, 0, 1<<20),
		LogLevel:       r.logChoice("level", "info", "debug", "info", "warn", "error"),
		LogFormat:      r.logChoice("format", "json", "json", "text"),
	}
}

// Write prints the effective settings as INI that LoadSite accepts, defaults included.
func (s *Site) Write(w io.Writer) error {
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
	put("worker", "lease_max", s.LeaseMax)
	put("job", "status_keep", s.StatusKeep)
	put("leader", "ttl", s.LeaderTTL)
	put("leader", "blind", s.LeaderBlind)
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
