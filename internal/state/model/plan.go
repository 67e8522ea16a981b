package model

import "time"

// IntentKind is the kind of an operator's intent.
type IntentKind string

// Kinds of intents.
const (
	IntentService         IntentKind = "service"
	IntentRoute           IntentKind = "route"
	IntentTeam            IntentKind = "team"
	IntentBatch           IntentKind = "batch"
	IntentPauseWorker     IntentKind = "pause-worker"
	IntentResumeWorker    IntentKind = "resume-worker"
	IntentCancel          IntentKind = "cancel"
	IntentResume          IntentKind = "resume"
	IntentDeclareStopped  IntentKind = "declare-stopped"
	IntentWeights         IntentKind = "weights"
	IntentRemoveService   IntentKind = "remove-service"
	IntentRemoveRoute     IntentKind = "remove-route"
	IntentRemoveTeam      IntentKind = "remove-team"
	IntentSetShardNumbers IntentKind = "shards"
)

// Intent is one change that an operator requests. Only the fields that belong to Kind are set.
type Intent struct {
	Kind    IntentKind
	Name    string
	Service *Service
	Route   *Route
	Team    *Team
	Job     *Job
	Weights *Weights
	// ShardsPerDataCentre and ClaimShards are set for IntentSetShardNumbers.
	ShardsPerDataCentre uint32
	ClaimShards         uint32
}

// StepKind is the kind of a step of a plan.
type StepKind string

// Kinds of steps.
const (
	StepStart     StepKind = "start"
	StepStop      StepKind = "stop"
	StepMove      StepKind = "move"
	StepThrottle  StepKind = "throttle"
	StepConfigure StepKind = "configure"
)

// PlanStep is one change that the plan would make.
type PlanStep struct {
	Kind   StepKind
	Target string
	Detail string
}

// Effect is one expected effect of a plan. Note describes an effect whose size is unknown.
type Effect struct {
	Measure string
	Subject string
	Before  string
	After   string
	Note    string
}

// Unmet is an intent, a job or a route that can't be put into effect, and the reason.
type Unmet struct {
	Subject string
	Reason  string
}

// Plan describes how a set of intents would be carried out. It can be applied only while the configuration still has
// BaseVersion, the version that the plan was made from.
type Plan struct {
	ID          PlanID
	Operator    string
	CreatedAt   time.Time
	BaseVersion Version
	// BaseRevision is the store revision of the head that the plan was made from. It is informative only.
	BaseRevision Revision
	Intents      []Intent
	// IntentDigest is a digest of the text of the intents.
	IntentDigest string
	Steps        []PlanStep
	Effects      []Effect
	Unmet        []Unmet
	// Blocked means that the plan contradicts the configuration and can't be confirmed; Unmet gives the reasons.
	Blocked     bool
	Delegations []Delegation
	Status      PlanStatus
}

// PlanStatus is the status of a plan.
type PlanStatus string

// Statuses of plans.
const (
	PlanOpen     PlanStatus = "open"
	PlanApplied  PlanStatus = "applied"
	PlanRejected PlanStatus = "rejected"
	PlanStale    PlanStatus = "stale"
	PlanExpired  PlanStatus = "expired"
)

// AuditEntry records one accepted change.
type AuditEntry struct {
	Sequence     uint64
	At           time.Time
	Operator     string
	Plan         PlanID
	IntentDigest string
	Summary      string
	// RevisionBefore is the revision of the head that was replaced. The new revision is not recorded, since the store
	// assigns it on the write that contains this entry.
	RevisionBefore Revision
	VersionBefore  Version
	VersionAfter   Version
	Outcome        string
}

// AuditSegment is a group of older audit entries that was moved out of the head; it no longer changes.
type AuditSegment struct {
	Entries []AuditEntry
}

// Head is the stored record that holds the configuration and everything that must change atomically with it.
type Head struct {
	Config Config
	// Audit holds the newest entries, oldest first.
	Audit []AuditEntry
	// Delegations, Cancels and Resumes hold the changes that the shards' journals have not all recorded yet.
	Delegations []Delegation
	Cancels     []JobID
	Resumes     []JobID
	// Settled lists the shards that have applied all Cancels and Resumes of the current configuration version.
	Settled []ShardVersion
}
