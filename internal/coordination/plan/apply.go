// Package plan makes plans from operators' intents and applies confirmed plans to the head, the stored record of the
// configuration and the newest audit entries.
//
// Guarantees: Make has no side effects; Apply refuses a plan that was made from another configuration version; each
// accepted change is stored in the same record as its audit entry; configuration versions only increase.
package plan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

const (
	// MaxHeadAuditEntries is the number of audit entries in the head at which the oldest are moved into a segment.
	MaxHeadAuditEntries = 64
	// SegmentEntries is the number of audit entries in one segment, which is a separate record in the store.
	SegmentEntries = 32
	// MaxSegments is the maximum number of segments in the store; beyond it the oldest is removed.
	MaxSegments = 1000
)

// StaleError lists the changes that were accepted since a plan was made.
type StaleError struct {
	Changes []model.AuditEntry
}

// Error implements error.
func (e *StaleError) Error() string {
	text := fmt.Sprintf("%d changes were accepted since the plan was made", len(e.Changes))
	for _, change := range e.Changes {
		text += fmt.Sprintf("; version %d by %s: %s", change.VersionAfter, change.Operator, change.Summary)
	}
	return text
}

// Outcomes of audit entries.
const (
	OutcomeAccepted = "accepted"
	OutcomeRejected = "rejected"
)

// FindAccepted returns the audit entry of a plan's acceptance, if entries contain it.
func FindAccepted(entries []model.AuditEntry, id model.PlanID) (model.AuditEntry, bool) {
	return findEntry(entries, id, OutcomeAccepted)
}

// IsRejected reports whether entries contain the rejection of a plan.
func IsRejected(entries []model.AuditEntry, id model.PlanID) bool {
	_, found := findEntry(entries, id, OutcomeRejected)
	return found
}

func findEntry(entries []model.AuditEntry, id model.PlanID, outcome string) (model.AuditEntry, bool) {
	for _, e := range entries {
		if e.Plan == id && e.Outcome == outcome {
			return e, true
		}
	}
	return model.AuditEntry{}, false
}

// Reject returns the head with an audit entry for the rejection of a plan. The configuration version does not change.
// Rejections and confirmations update the same record, so that if two operators race, the second one learns that the
// first has already decided.
func Reject(now time.Time, head model.Head, revision model.Revision, p model.Plan, operator string) model.Head {
	next := head
	next.Audit = append(slices.Clone(head.Audit), model.AuditEntry{
		Sequence: nextSequence(head), At: now, Operator: operator, Plan: p.ID, IntentDigest: p.IntentDigest,
		Summary: Summary(p), RevisionBefore: revision, VersionBefore: head.Config.Version,
		VersionAfter: head.Config.Version, Outcome: OutcomeRejected,
	})
	return next
}

// NextSegment returns the oldest audit entries if they have to be moved out of the head. They must be stored before
// TrimAudit removes them from the head.
func NextSegment(head model.Head) (model.AuditSegment, bool) {
	if len(head.Audit) < MaxHeadAuditEntries {
		return model.AuditSegment{}, false
	}
	return model.AuditSegment{Entries: slices.Clone(head.Audit[:SegmentEntries])}, true
}

// TrimAudit returns the head without the entries of a stored segment.
func TrimAudit(head model.Head, segment model.AuditSegment) model.Head {
	last := segment.Entries[len(segment.Entries)-1].Sequence
	head.Audit = slices.DeleteFunc(slices.Clone(head.Audit), func(e model.AuditEntry) bool { return e.Sequence <= last })
	return head
}

// Apply returns the head that results from a confirmed plan. Its errors have the verdict NotRun.
func Apply(now time.Time, head model.Head, revision model.Revision, p model.Plan, operator string) (model.Head, error) {
	if !hasAllContent(p.Intents) {
		return model.Head{}, verdict.NotRunError("the stored plan is incomplete: an intent has no content", nil)
	}
	if p.Blocked {
		return model.Head{}, verdict.NotRunError("the plan conflicts with the configuration", nil)
	}
	if head.Config.Version != p.BaseVersion {
		stale := &StaleError{Changes: changesSince(head, p.BaseVersion)}
		return model.Head{}, verdict.NotRunError("plan is stale", stale)
	}
	next := model.Head{
		Config:      cloneConfig(head.Config),
		Audit:       slices.Clone(head.Audit),
		Delegations: slices.Concat(head.Delegations, p.Delegations),
		Cancels:     slices.Clone(head.Cancels),
		Resumes:     slices.Clone(head.Resumes),
	}
	for _, intent := range p.Intents {
		applyIntent(&next, intent)
	}
	next.Config.Version++
	next.Audit = append(next.Audit, model.AuditEntry{
		Sequence: nextSequence(head), At: now, Operator: operator, Plan: p.ID, IntentDigest: p.IntentDigest,
		Summary: Summary(p), RevisionBefore: revision, VersionBefore: head.Config.Version,
		VersionAfter: next.Config.Version, Outcome: OutcomeAccepted,
	})
	return next, nil
}

func changesSince(head model.Head, version model.Version) []model.AuditEntry {
	var changes []model.AuditEntry
	for _, e := range head.Audit {
		if e.VersionAfter > version {
			changes = append(changes, e)
		}
	}
	return changes
}

func nextSequence(head model.Head) uint64 {
	if len(head.Audit) == 0 {
		return 1
	}
	return head.Audit[len(head.Audit)-1].Sequence + 1
}

// Summary returns a one-line description of a plan's intents.
func Summary(p model.Plan) string {
	if len(p.Intents) == 0 {
		return "no intents"
	}
	first := fmt.Sprintf("%s %s", p.Intents[0].Kind, p.Intents[0].Name)
	if len(p.Intents) == 1 {
		return first
	}
	return fmt.Sprintf("%s and %d more", first, len(p.Intents)-1)
}

func cloneConfig(c model.Config) model.Config {
	c.Services = slices.Clone(c.Services)
	c.Routes = slices.Clone(c.Routes)
	c.Teams = slices.Clone(c.Teams)
	c.PausedWorkers = slices.Clone(c.PausedWorkers)
	c.DeclaredStopped = slices.Clone(c.DeclaredStopped)
	return c
}

func applyIntent(head *model.Head, intent model.Intent) {
	c := &head.Config
	switch intent.Kind {
	case model.IntentService:
		c.Services = insertOrReplace(c.Services, *intent.Service, serviceName)
	case model.IntentRemoveService:
		if service, _ := c.Service(model.ServiceName(intent.Name)); service.Job != "" {
			head.Cancels = insertOrReplace(head.Cancels, service.Job, identity)
		}
		c.Services = remove(c.Services, model.ServiceName(intent.Name), serviceName)
	case model.IntentRoute:
		c.Routes = insertOrReplace(c.Routes, *intent.Route, routeName)
	case model.IntentRemoveRoute:
		c.Routes = remove(c.Routes, intent.Name, routeName)
	case model.IntentTeam:
		c.Teams = insertOrReplace(c.Teams, *intent.Team, teamName)
	case model.IntentRemoveTeam:
		c.Teams = remove(c.Teams, model.TeamName(intent.Name), teamName)
	case model.IntentWeights:
		c.Weights = *intent.Weights
	case model.IntentPauseWorker:
		c.PausedWorkers = insertOrReplace(c.PausedWorkers, model.WorkerID(intent.Name), identity)
	case model.IntentResumeWorker:
		c.PausedWorkers = remove(c.PausedWorkers, model.WorkerID(intent.Name), identity)
	case model.IntentDeclareStopped:
		c.DeclaredStopped = insertOrReplace(c.DeclaredStopped, model.VMID(intent.Name), identity)
	case model.IntentCancel:
		head.Cancels = insertOrReplace(head.Cancels, model.JobID(intent.Name), identity)
	case model.IntentResume:
		head.Resumes = insertOrReplace(head.Resumes, model.JobID(intent.Name), identity)
	case model.IntentSetShardNumbers:
		c.ShardsPerDataCentre = intent.ShardsPerDataCentre
		c.ClaimShards = intent.ClaimShards
	case model.IntentBatch:
		// The job is in the plan's delegations.
	}
}

// hasAllContent reports whether each intent has the content that its kind requires. A plan read from the store may lack
// it.
func hasAllContent(intents []model.Intent) bool {
	for _, i := range intents {
		missing := (i.Kind == model.IntentService && i.Service == nil) || (i.Kind == model.IntentRoute && i.Route == nil) ||
			(i.Kind == model.IntentTeam && i.Team == nil) || (i.Kind == model.IntentWeights && i.Weights == nil)
		if missing {
			return false
		}
	}
	return true
}

func serviceName(s model.Service) model.ServiceName { return s.Name }
func routeName(r model.Route) string                { return r.Name }
func teamName(t model.Team) model.TeamName          { return t.Name }
func identity[T any](v T) T                         { return v }

// insertOrReplace inserts or replaces an element of a slice that is sorted by key. It may modify the slice.
func insertOrReplace[T any, K cmp.Ordered](sorted []T, v T, key func(T) K) []T {
	i, found := slices.BinarySearchFunc(sorted, key(v), func(e T, k K) int { return cmp.Compare(key(e), k) })
	if found {
		sorted[i] = v
		return sorted
	}
	return slices.Insert(sorted, i, v)
}

func remove[T any, K cmp.Ordered](list []T, k K, key func(T) K) []T {
	return slices.DeleteFunc(list, func(e T) bool { return key(e) == k })
}
