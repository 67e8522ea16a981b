// Package operatorapi defines the paths and JSON types of the HTTP API for operators. It makes no decisions: those are
// in the coordination packages, so that another front end can use them.
package operatorapi

import (
	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Paths of the operator API.
const (
	PathPlans   = "/v1/plans"
	PathStatus  = "/v1/status"
	PathWorkers = "/v1/workers"
	PathTasks   = "/v1/tasks"
	PathConfig  = "/v1/config"
	PathAudit   = "/v1/audit"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
)

// HeaderOperator is the request header that names the operator.
const HeaderOperator = "Jujubearch-Operator"

type (
	// Plan is the response to the submission of an intent file.
	Plan = model.Plan
	// Confirmation is the response to the confirmation of a plan.
	Confirmation = controller.Confirmation
	// Status is the response to a status request.
	Status = controller.Status
	// AuditEntry is an entry of the audit trail.
	AuditEntry = model.AuditEntry
)

// Workers is the response to a request for the workers of all entries.
type Workers struct {
	Workers []controller.WorkerStatus
	// Unreachable lists the entries that did not respond; their workers are missing from Workers.
	Unreachable []model.EntryID
}

// Tasks is the response to a request for the tasks of all entries.
type Tasks struct {
	Tasks []controller.TaskStatus
	// Unreachable lists the entries that did not respond; their tasks are missing from Tasks.
	Unreachable []model.EntryID
}
