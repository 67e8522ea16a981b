package plan

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubearch/jujubearch/internal/state/fixedseed"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }

func drawIntent(t *rapid.T) model.Intent {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	kind := rapid.SampledFrom([]model.IntentKind{
		model.IntentTeam, model.IntentRemoveTeam, model.IntentPauseWorker, model.IntentResumeWorker, model.IntentCancel,
		model.IntentDeclareStopped,
	}).Draw(t, "kind")
	intent := model.Intent{Kind: kind, Name: name}
	if kind == model.IntentTeam {
		intent.Team = &model.Team{Name: model.TeamName(name), Weight: 1}
	}
	return intent
}

// Guards against a version that does not increase, a gap in the audit entries, a stale plan that is accepted, and a
// modification of the head that is passed to Apply.
func TestApplyKeepsVersionsAndAudit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var head model.Head
		var plans []model.Plan
		var trail []model.AuditEntry
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			if len(plans) == 0 || rapid.Bool().Draw(t, "make") {
				intents := []model.Intent{drawIntent(t)}
				id := model.PlanID(fmt.Sprintf("p%d", i))
				plans = append(plans, Make(time.Unix(0, 0), id, "op", "digest", intents, ClusterState{Head: head}))
				continue
			}
			p := rapid.SampledFrom(plans).Draw(t, "plan")
			before := fmt.Sprint(head)
			next, err := Apply(time.Unix(int64(i), 0), head, model.Revision(i), p, "op")
			if fmt.Sprint(head) != before {
				t.Fatal("Apply modified the head that was passed to it")
			}
			if isStale := p.BaseVersion != head.Config.Version; isStale || p.Blocked {
				var stale *StaleError
				if verdict.Of(err) != verdict.NotRun || (isStale && !p.Blocked && !errors.As(err, &stale)) {
					t.Fatalf("plan made from version %d was not refused at version %d: %v", p.BaseVersion, head.Config.Version, err)
				}
				continue
			}
			if err != nil || next.Config.Version != head.Config.Version+1 {
				t.Fatalf("got version %d after version %d: %v", next.Config.Version, head.Config.Version, err)
			}
			trail = append(trail, next.Audit[len(next.Audit)-1])
			head = next
			if segment, ok := NextSegment(head); ok {
				head = TrimAudit(head, segment)
			}
		}
		for i, e := range trail {
			if e.Sequence != uint64(i+1) || e.VersionAfter != e.VersionBefore+1 || e.VersionAfter != model.Version(i+1) {
				t.Fatalf("audit entry %d is %+v", i, e)
			}
		}
	})
}
