// Package intent parses and validates operators' intent files. A file is in INI format. Each section is one intent; its
// title is the kind of the intent and, for most kinds, a name, for example [batch scoring-2026-12-04]. All faults of a
// file are reported at once.
package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// MaxBytes is the greatest size of an intent file.
	MaxBytes = 1 << 20
	// MaxTasks is the greatest number of tasks of one job.
	MaxTasks = 100_000
)

// Error lists all faults of an intent file, one per element.
type Error struct{ Faults []string }

// Error returns the faults, one per line.
func (e *Error) Error() string { return strings.Join(e.Faults, "\n") }

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	// jobIDPattern matches the id of a job: its name and the configuration version that created it.
	jobIDPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}@[1-9][0-9]{0,18}$`)
)

// Digest returns a short hash that identifies the text of an intent file.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

// reader reads the values of one section and records its faults.
type reader struct {
	section   *ini.Section
	knownKeys []string
	faults    *[]string
}

// Parse returns the intents of a file. A non-nil error is an *Error.
func Parse(text []byte) ([]model.Intent, error) {
	if len(text) > MaxBytes {
		return nil, &Error{
			Faults: []string{fmt.Sprintf("the file has %d bytes, more than the limit of %d", len(text), MaxBytes)},
		}
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows: true, AllowNonUniqueSections: true, IgnoreInlineComment: true,
	}, text)
	if err != nil {
		return nil, &Error{Faults: []string{err.Error()}}
	}
	var faults []string
	var intents []model.Intent
	seen := make(map[string]bool)
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if seen[section.Name()] {
			faults = append(faults, fmt.Sprintf("[%s]: the section appears more than once", section.Name()))
			continue
		}
		seen[section.Name()] = true
		r := &reader{section: section, faults: &faults}
		intents = append(intents, r.intent())
		r.checkUnknown()
	}
	if len(intents) == 0 && len(faults) == 0 {
		faults = append(faults, "the file contains no intent")
	}
	if len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	return intents, nil
}

func (r *reader) intent() model.Intent {
	kind, name, _ := strings.Cut(r.section.Name(), " ")
	name = strings.TrimSpace(name)
	intent := model.Intent{Kind: model.IntentKind(kind), Name: name}
	r.checkName(intent)
	switch intent.Kind {
	case model.IntentService:
		intent.Service = r.service(name)
	case model.IntentRoute:
		intent.Route = r.route(name)
	case model.IntentTeam:
		intent.Team = r.team(name)
	case model.IntentBatch:
		intent.Job = r.batch(name)
	case model.IntentWeights:
		intent.Weights = &model.Weights{
			Latency: r.weight("latency"), Throughput: r.weight("throughput"), Evictions: r.weight("evictions"),
		}
	case model.IntentSetShardNumbers:
		intent.ShardsPerDataCentre = uint32(r.integer("per_data_centre", 4, 1, 256))
		intent.ClaimShards = uint32(r.integer("claim", 16, 1, 256))
	case model.IntentPauseWorker, model.IntentResumeWorker, model.IntentCancel, model.IntentResume,
		model.IntentDeclareStopped, model.IntentRemoveService, model.IntentRemoveRoute, model.IntentRemoveTeam:
		// These have no keys.
	default:
		r.addFault("-", "unknown kind of intent %q", kind)
	}
	return intent
}

// checkName checks that the intent has a valid name if its kind needs one. Kinds that apply to a single object must
// have no name, since it would be ignored.
func (r *reader) checkName(intent model.Intent) {
	isSingleton := intent.Kind == model.IntentWeights || intent.Kind == model.IntentSetShardNumbers
	takesJobID := intent.Kind == model.IntentCancel || intent.Kind == model.IntentResume
	switch {
	case takesJobID && !jobIDPattern.MatchString(intent.Name):
		r.addFault("-", "%q is not a job id such as scoring@12; jujubearch tasks lists them", intent.Name)
	case takesJobID:
	case isSingleton && intent.Name != "":
		r.addFault("-", "[%s] takes no name", intent.Kind)
	case !isSingleton && !namePattern.MatchString(intent.Name):
		r.addFault("-", "the name %q must be lower-case letters, digits, '.', '_' and '-', at most 63", intent.Name)
	}
}

func (r *reader) service(name string) *model.Service {
	return &model.Service{
		Name: model.ServiceName(name), Team: model.TeamName(r.optional("team", "default")),
		LatencyTarget: r.duration("latency_target", 200*time.Millisecond, time.Millisecond, time.Minute),
		Percentile:    float64(r.integer("percentile", 99, 50, 100)),
		Instances:     uint32(r.integer("instances", 0, 0, 10_000)), Declared: r.resources(),
		Slots: uint32(r.integer("slots", 8, 1, 1024)), Connections: uint32(r.integer("connections", 64, 1, 4096)),
	}
}

func (r *reader) route(name string) *model.Route {
	route := &model.Route{
		Name: name, Host: r.optional("host", ""), PathPrefix: r.optional("path_prefix", "/"),
		Service: model.ServiceName(r.required("service")),
		Timeout: r.duration("timeout", 0, 10*time.Millisecond, 10*time.Minute), RequireKey: r.boolean("require_key"),
		Idempotent: r.boolean("idempotent"), Urgent: r.boolean("urgent"),
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		r.addFault("path_prefix", "%q does not begin with /", route.PathPrefix)
	}
	return route
}

func (r *reader) team(name string) *model.Team {
	return &model.Team{
		Name: model.TeamName(name), Quota: r.resources(), Weight: uint32(r.integer("weight", 1, 1, 1000)),
	}
}

func (r *reader) batch(name string) *model.Job {
	job := &model.Job{
		ID: model.JobID(name), Team: model.TeamName(r.optional("team", "default")), Class: model.ClassBatch,
		Kind: r.optional("kind", name), Tasks: uint32(r.integer("tasks", 1, 1, MaxTasks)), Declared: r.resources(),
		RunTime: r.duration("run_time", 0, time.Millisecond, 30*24*time.Hour), Exclusive: r.boolean("exclusive"),
		Urgent: r.boolean("urgent"),
	}
	if text := r.optional("finish_by", ""); text != "" {
		finish, err := time.Parse(time.RFC3339, text)
		if err != nil {
			r.addFault("finish_by", "%q is not a time such as 2026-12-05T06:00:00Z", text)
		}
		job.FinishBy = finish.UTC()
	}
	if job.Declared.IsZero() {
		r.addFault("cpu", "a batch needs cpu, memory or accelerators")
	}
	return job
}

func (r *reader) resources() model.Resources {
	return model.Resources{
		CPUMillis:    int64(1000 * r.decimal("cpu", 4096)),
		MemoryBytes:  r.bytes("memory"),
		Accelerators: int64(r.integer("accelerators", 0, 0, 64)),
	}
}

func (r *reader) addFault(key, format string, args ...any) {
	prefix := fmt.Sprintf("[%s] %s: ", r.section.Name(), key)
	*r.faults = append(*r.faults, prefix+fmt.Sprintf(format, args...))
}

func (r *reader) optional(key, fallback string) string {
	r.knownKeys = append(r.knownKeys, key)
	if !r.section.HasKey(key) {
		return fallback
	}
	if values := r.section.Key(key).ValueWithShadows(); len(values) > 1 {
		r.addFault(key, "is set %d times", len(values))
	}
	return strings.TrimSpace(r.section.Key(key).Value())
}

func (r *reader) required(key string) string {
	value := r.optional(key, "")
	if value == "" {
		r.addFault(key, "is required")
	}
	return value
}

func (r *reader) integer(key string, fallback, low, high int) int {
	text := r.optional(key, "")
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		r.addFault(key, "%q is not a whole number from %d to %d", text, low, high)
		return fallback
	}
	return n
}

// decimal reads a number from 0 to high. It returns 0 if the key is absent.
func (r *reader) decimal(key string, high float64) float64 {
	text := r.optional(key, "")
	if text == "" {
		return 0
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f >= 0) || f > high {
		r.addFault(key, "%q is not a number from 0 to %v", text, high)
		return 0
	}
	return f
}

// weight reads a weight from 0 to 100; the key is required.
func (r *reader) weight(key string) float64 {
	r.required(key)
	return r.decimal(key, 100)
}

func (r *reader) duration(key string, fallback, low, high time.Duration) time.Duration {
	text := r.optional(key, "")
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < low || d > high {
		r.addFault(key, "%q is not a duration with a unit, such as 250ms, from %v to %v", text, low, high)
		return fallback
	}
	return d
}

func (r *reader) boolean(key string) bool {
	text := r.optional(key, "false")
	b, err := strconv.ParseBool(text)
	if err != nil {
		r.addFault(key, "%q is not true or false", text)
	}
	return b
}

var byteUnits = []struct {
	suffix string
	bytes  int64
}{{"GB", 1_000_000_000}, {"MB", 1_000_000}, {"GiB", 1 << 30}, {"MiB", 1 << 20}}

// maxMemoryUnits bounds the number before a unit of memory, so that the size in bytes does not overflow.
const maxMemoryUnits = 1 << 20

func (r *reader) bytes(key string) int64 {
	text := r.optional(key, "")
	if text == "" {
		return 0
	}
	for _, unit := range byteUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err == nil && n >= 0 && n <= maxMemoryUnits {
			return n * unit.bytes
		}
	}
	r.addFault(key, "%q is not a whole number with a unit of MB, GB, MiB or GiB", text)
	return 0
}

func (r *reader) checkUnknown() {
	for _, key := range r.section.KeyStrings() {
		if !slices.Contains(r.knownKeys, key) {
			r.addFault(key, "unknown key")
		}
	}
}
