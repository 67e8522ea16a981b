package convert

import (
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/state/job"
)

// PhaseToProto converts the phase of a job. The values of jobspb.Phase are higher by one, since its 0 is unspecified.
func PhaseToProto(p job.Phase) jobspb.Phase { return jobspb.Phase(p) + 1 }

// PhaseFromProto converts the phase of a job. An unknown phase becomes job.Active, which tells nothing about the
// outcome.
func PhaseFromProto(p jobspb.Phase) job.Phase {
	if p < jobspb.Phase_PHASE_QUEUED || p > jobspb.Phase_PHASE_CANCELLED {
		return job.Active
	}
	return job.Phase(p - 1)
}
