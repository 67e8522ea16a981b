// Package settings parses and validates the daemon's settings, which are in INI format, and writes them in the same
// format. Settings that Load and LoadJobSettings return are valid. All faults of a file are reported at once, each with
// the file, section and key.
package settings

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Peer is another entry.
type Peer struct {
	ID         model.EntryID
	Address    string
	DataCentre model.DataCentre
}

// TLS names the files for mutual TLS between entries. They are reloaded when they change.
type TLS struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Settings holds the validated settings of an entry that package daemon runs. JobSettings are those for package
// jobdaemon.
type Settings struct {
	Entry      model.EntryID
	DataCentre model.DataCentre
	// Seats is the number of entries among which the slots of the data centre's upstream instances are divided, and Seat,
	// from 0 to Seats-1, says which share belongs to this entry.
	Seat  uint32
	Seats uint32

	CallerListen   string
	PeerListen     string
	OperatorListen string
	// Advertise is the address under which peers reach PeerListen.
	Advertise string

	PeerTLS TLS
	// PeerPlain permits plain HTTP between entries on addresses other than loopback.
	PeerPlain bool
	// OperatorTokenFile names the file that contains the bearer token for operators.
	OperatorTokenFile string
	// OperatorPlain permits requests of operators without a token on addresses other than loopback.
	OperatorPlain bool

	StoreURL  string
	VMListURL string
	// StoreTimeout bounds one store call.
	StoreTimeout time.Duration

	// Regions maps each data centre to its region.
	Regions     map[model.DataCentre]model.Region
	StoreRegion model.Region
	Peers       []Peer

	// RequestTimeout is the timeout of requests on routes that set none.
	RequestTimeout time.Duration
	// QueuePerSlot bounds the requests that wait for each local slot.
	QueuePerSlot int
	// DrainLag is how long an entry that is stopping still serves new requests, until load balancers stop sending them.
	DrainLag time.Duration
	// DrainDeadline bounds the rest of the drain, after DrainLag.
	DrainDeadline time.Duration

	MaxHeaderBytes       int
	MaxOperatorBodyBytes int64
	// MaxKeyedBodyBytes bounds the body of a request with an idempotency key, which is held in memory.
	MaxKeyedBodyBytes int64

	LogLevel  string
	LogFormat string
}

// Region returns the region of this entry's data centre.
func (s *Settings) Region() model.Region { return s.Regions[s.DataCentre] }
