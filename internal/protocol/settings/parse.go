package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"gopkg.in/ini.v1"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Fault is one error in a settings file. Section and Key are "-" where the fault concerns no particular one.
type Fault struct {
	File    string
	Section string
	Key     string
	Problem string
}

// String returns the fault on one line, even if the file contains line breaks or control characters.
func (f Fault) String() string {
	return sanitiseLine(fmt.Sprintf("%s: [%s] %s: %s", f.File, f.Section, f.Key, f.Problem))
}

// sanitiseLine replaces characters that are not printable, so that the contents of a file cannot forge log lines or
// send control sequences to a terminal.
func sanitiseLine(text string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return unicode.ReplacementChar
		}
		return r
	}, strings.TrimSpace(text))
}

// Error lists all faults of a settings file.
type Error struct{ Faults []Fault }

// Error returns the faults, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Sections whose keys are not fixed but name peers and data centres.
const (
	sectionPeers       = "peers"
	sectionDataCentres = "data_centres"
)

// reader reads the values of one file and records its faults.
type reader struct {
	file      string
	source    *ini.File
	faults    []Fault
	knownKeys map[string][]string
}

// Load parses and validates settings. The faults name the file as given. A non-nil error is an *Error.
func Load(file string, text []byte) (*Settings, error) {
	r, err := newReader(file, text)
	if err != nil {
		return nil, err
	}
	s := r.settings()
	r.checkUnknown()
	r.checkConstraints(s)
	if len(r.faults) > 0 {
		return nil, &Error{Faults: r.faults}
	}
	return s, nil
}

func newReader(file string, text []byte) (*reader, error) {
	options := ini.LoadOptions{
		AllowShadows: true, Insensitive: false, IgnoreInlineComment: true, SpaceBeforeInlineComment: true,
	}
	source, err := ini.LoadSources(options, text)
	if err != nil {
		return nil, &Error{Faults: []Fault{{File: file, Section: "-", Key: "-", Problem: err.Error()}}}
	}
	return &reader{file: file, source: source, knownKeys: make(map[string][]string)}, nil
}

func (r *reader) settings() *Settings {
	s := &Settings{
		Entry:                model.EntryID(r.text("entry", "id", "")),
		DataCentre:           model.DataCentre(r.text("entry", "data_centre", "")),
		Seat:                 uint32(r.integer("entry", "seat", 0, 0, 15)),
		Seats:                uint32(r.integer("entry", "seats", 1, 1, 16)),
		CallerListen:         r.address("caller", "listen", ""),
		PeerListen:           r.address("peer", "listen", ""),
		OperatorListen:       r.address("operator", "listen", ""),
		PeerPlain:            r.boolean("peer", "plain", false),
		OperatorTokenFile:    r.text("operator", "token_file", "-"),
		OperatorPlain:        r.boolean("operator", "plain", false),
		StoreURL:             r.url("platform", "store_url"),
		VMListURL:            r.url("platform", "vm_list_url"),
		StoreTimeout:         r.duration("platform", "store_timeout", 2*time.Second, 10*time.Millisecond, time.Minute),
		StoreRegion:          model.Region(r.text("platform", "store_region", "")),
		RequestTimeout:       r.duration("caller", "request_timeout", 10*time.Second, 10*time.Millisecond, 10*time.Minute),
		QueuePerSlot:         r.integer("caller", "queue_per_slot", 100, 0, 10_000),
		DrainLag:             r.duration("drain", "lag", 5*time.Second, 0, 5*time.Minute),
		DrainDeadline:        r.duration("drain", "deadline", time.Minute, time.Second, time.Hour),
		MaxHeaderBytes:       r.integer("limit", "header_bytes", 64<<10, 1<<10, 1<<20),
		MaxOperatorBodyBytes: int64(r.integer("limit", "operator_body_bytes", 1<<20, 1<<10, 16<<20)),
		MaxKeyedBodyBytes:    int64(r.integer("limit", "keyed_body_bytes", 1<<20, 1<<10, 16<<20)),
		LogLevel:             r.logChoice("level", "info", "debug", "info", "warn", "error"),
		LogFormat:            r.logChoice("format", "json", "json", "text"),
	}
	s.Advertise = r.address("peer", "advertise", s.PeerListen)
	s.PeerTLS = TLS{
		CertificateFile: r.text("peer", "certificate_file", "-"),
		KeyFile:         r.text("peer", "key_file", "-"),
		AuthorityFile:   r.text("peer", "authority_file", "-"),
	}
	s.Regions = r.regions()
	s.Peers = r.peers()
	return s
}

func (r *reader) addFault(section, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{File: r.file, Section: section, Key: key, Problem: fmt.Sprintf(format, args...)})
}

// value returns the value of a key. It returns false when the key is absent or set more than once.
func (r *reader) value(section, key string) (string, bool) {
	r.knownKeys[section] = append(r.knownKeys[section], key)
	sec, err := r.source.GetSection(section)
	if err != nil || !sec.HasKey(key) {
		return "", false
	}
	values := sec.Key(key).ValueWithShadows()
	if len(values) > 1 {
		r.addFault(section, key, "is set %d times", len(values))
		return "", false
	}
	return strings.TrimSpace(sec.Key(key).Value()), true
}

// text reads a string. An empty fallback means that the key is required, and the fallback "-" that it is optional and
// has no default.
func (r *reader) text(section, key, fallback string) string {
	value, ok := r.value(section, key)
	switch {
	case ok && value != "":
		return value
	case ok:
		r.addFault(section, key, "is empty")
	case fallback == "":
		// A key that is set more than once has a fault already.
		if !r.source.Section(section).HasKey(key) {
			r.addFault(section, key, "is required")
		}
	case fallback != "-":
		return fallback
	}
	return ""
}

func (r *reader) integer(section, key string, fallback, low, high int) int {
	value, ok := r.value(section, key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < low || n > high {
		r.addFault(section, key, "%q is not a whole number from %d to %d", value, low, high)
		return fallback
	}
	return n
}

func (r *reader) decimal(section, key string, fallback, low, high float64) float64 {
	value, ok := r.value(section, key)
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= low && n <= high) {
		r.addFault(section, key, "%q is not a number from %v to %v", value, low, high)
		return fallback
	}
	return n
}

func (r *reader) duration(section, key string, fallback, low, high time.Duration) time.Duration {
	value, ok := r.value(section, key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		r.addFault(section, key, "%q is not a duration with a unit, such as 250ms, from %v to %v", value, low, high)
		return fallback
	}
	return d
}

func (r *reader) boolean(section, key string, fallback bool) bool {
	value, ok := r.value(section, key)
	if !ok {
		return fallback
	}
	b, err := strconv.ParseBool(value)
	if err != nil {
		r.addFault(section, key, "%q is not true or false", value)
	}
	return b
}

func (r *reader) logChoice(key, fallback string, allowed ...string) string {
	const section = "log"
	value, ok := r.value(section, key)
	if !ok {
		return fallback
	}
	if !slices.Contains(allowed, value) {
		r.addFault(section, key, "%q is not one of %s", value, strings.Join(allowed, ", "))
	}
	return value
}

func (r *reader) address(section, key, fallback string) string {
	value := r.text(section, key, fallback)
	if value == "" {
		return ""
	}
	if problem := checkAddress(value); problem != "" {
		r.addFault(section, key, "%s", problem)
	}
	return value
}

func checkAddress(value string) string {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return fmt.Sprintf("%q is not IP:port", value)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q has no IP address", value)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Sprintf("%q has no port from 0 to 65535", value)
	}
	return ""
}

func (r *reader) url(section, key string) string {
	value := r.text(section, key, "")
	if value == "" {
		return ""
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		r.addFault(section, key, "%q is not an http or https URL", value)
	}
	return value
}

func (r *reader) regions() map[model.DataCentre]model.Region {
	regions := make(map[model.DataCentre]model.Region)
	for _, key := range r.keys(sectionDataCentres) {
		regions[model.DataCentre(key)] = model.Region(r.text(sectionDataCentres, key, ""))
	}
	if len(regions) == 0 {
		r.addFault(sectionDataCentres, "-", "at least one data centre with its region is required")
	}
	return regions
}

// peers reads lines of the form "id = IP:port data-centre".
func (r *reader) peers() []Peer {
	var peers []Peer
	for _, key := range r.keys(sectionPeers) {
		value, ok := r.value(sectionPeers, key)
		if !ok {
			continue
		}
		fields := strings.Fields(value)
		if len(fields) != 2 {
			r.addFault(sectionPeers, key, "%q is not \"IP:port data-centre\"", value)
			continue
		}
		if problem := checkAddress(fields[0]); problem != "" {
			r.addFault(sectionPeers, key, "%s", problem)
		}
		peers = append(peers, Peer{ID: model.EntryID(key), Address: fields[0], DataCentre: model.DataCentre(fields[1])})
	}
	return peers
}

func (r *reader) keys(section string) []string {
	sec, err := r.source.GetSection(section)
	if err != nil {
		return nil
	}
	return sec.KeyStrings()
}

func (r *reader) checkUnknown() {
	for _, sec := range r.source.Sections() {
		known, ok := r.knownKeys[sec.Name()]
		if !ok && sec.Name() != ini.DefaultSection && sec.Name() != sectionPeers {
			r.addFault(sec.Name(), "-", "unknown section")
			continue
		}
		for _, key := range sec.KeyStrings() {
			if !slices.Contains(known, key) && sec.Name() != sectionPeers {
				r.addFault(sec.Name(), key, "unknown key")
			}
		}
	}
}

// checkConstraints checks the constraints between keys.
func (r *reader) checkConstraints(s *Settings) {
	if s.Seat >= s.Seats {
		r.addFault("entry", "seat", "%d is not below seats (%d)", s.Seat, s.Seats)
	}
	if _, ok := s.Regions[s.DataCentre]; !ok && s.DataCentre != "" {
		r.addFault("entry", "data_centre", "%q is not in [%s]", s.DataCentre, sectionDataCentres)
	}
	for _, p := range s.Peers {
		if _, ok := s.Regions[p.DataCentre]; !ok {
			r.addFault(sectionPeers, string(p.ID), "data centre %q is not in [%s]", p.DataCentre, sectionDataCentres)
		}
		if p.ID == s.Entry {
			r.addFault(sectionPeers, string(p.ID), "names this entry itself")
		}
	}
	r.checkSecurity(s)
}

func (r *reader) checkSecurity(s *Settings) {
	tls := s.PeerTLS
	complete := tls.CertificateFile != "" && tls.KeyFile != "" && tls.AuthorityFile != ""
	partial := tls.CertificateFile != "" || tls.KeyFile != "" || tls.AuthorityFile != ""
	if partial && !complete {
		r.addFault("peer", "certificate_file", "certificate_file, key_file and authority_file must be set together")
	}
	if !complete && !s.PeerPlain && !isLoopback(s.PeerListen) {
		r.addFault("peer", "listen", "%q is not a loopback address: set the TLS files or plain = true", s.PeerListen)
	}
	if s.OperatorTokenFile == "" && !s.OperatorPlain && !isLoopback(s.OperatorListen) {
		r.addFault("operator", "listen", "%q is not a loopback address: set token_file or plain = true", s.OperatorListen)
	}
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
