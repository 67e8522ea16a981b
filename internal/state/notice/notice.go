// Package notice defines the events that operators see in the log: number, name, severity and text. docs/EVENTS.md
// lists them; a test checks that the two agree.
package notice

// Code is the number of an event. The number of a removed event is never reused.
type Code int

// Level is the severity of an event.
type Level uint8

// Levels of events.
const (
	Info Level = iota
	Warn
	Error
)

// Codes by area: 1xxx process, 2xxx membership, 3xxx configuration and plans, 4xxx shards and tasks, 5xxx requests,
// 6xxx platform, 7xxx jobs and the leader.
const (
	ProcessStarted       Code = 1001
	ProcessDraining      Code = 1002
	ProcessStopped       Code = 1003
	DrainAbortedRequests Code = 1004

	PeerReplaced Code = 2001

	ConfigApplied       Code = 3101
	ConfigRefused       Code = 3102
	ConfigFromPeer      Code = 3103
	PlanAccepted        Code = 3201
	PlanRefused         Code = 3202
	OutcomeUnknown      Code = 3203
	AuditSegmentRemoved Code = 3204

	ShardAcquired    Code = 4001
	ShardLost        Code = 4002
	ShardReleased    Code = 4003
	WorkerFenced     Code = 4101
	WorkerSilent     Code = 4102
	OrderRefused     Code = 4103
	TaskSetAside     Code = 4104
	StrayRunStopped  Code = 4105
	RecordUnusable   Code = 4106
	SnapshotTooLarge Code = 4107
	TaskMoved        Code = 4108

	WorkerQuarantined Code = 4201
	WorkerReturned    Code = 4202
	GuardActed        Code = 4203
	JobNeverRuns      Code = 4204

	RequestFailed Code = 5001

	StoreFailing   Code = 6001
	StoreRecovered Code = 6002
	VMListFailing  Code = 6003

	VMListRecovered Code = 6004

	JobAccepted         Code = 7001
	JobRefused          Code = 7002
	JobEnded            Code = 7003
	JobUndecided        Code = 7004
	CancelAnswered      Code = 7005
	QueueUnknown        Code = 7006
	JobOverdue          Code = 7007
	RouteRestored       Code = 7008
	LeaderElected       Code = 7101
	LeaderDeposed       Code = 7102
	LeaderFollowed      Code = 7103
	RecoveryBegan       Code = 7104
	RecoveryEnded       Code = 7105
	CommitDelayed       Code = 7106
	LeaseNotRevoked     Code = 7107
	StepPanicked        Code = 7108
	LeaderLoad          Code = 7109
	LeasesBounded       Code = 7110
	RunPlaced           Code = 7201
	RunEnded            Code = 7202
	StartRefused        Code = 7203
	RunStopped          Code = 7204
	RunVanished         Code = 7205
	PaceChanged         Code = 7206
	AdviceGiven         Code = 7207
	AdviceFailed        Code = 7208
	TaskWaits           Code = 7209
	RunLost             Code = 7210
	TaskGivenUp         Code = 7211
	RunReleased         Code = 7212
	RunRepeated         Code = 7213
	RunRetried          Code = 7214
	TargetMissed        Code = 7215
	WorkerFirstResponse Code = 7301
	WorkerDraining      Code = 7302
	WorkerRestarted     Code = 7303
	WorkerGone          Code = 7304
	WorkerUnreachable   Code = 7305
	WorkerReachable     Code = 7306
	WorkerLeasesExpired Code = 7307
	RelaysAssigned      Code = 7308
	RelayLost           Code = 7309
	RelayFollowing      Code = 7310
	RelayStopped        Code = 7311
	WorkerAccounted     Code = 7312
	FenceRaised         Code = 7314
	RestartSuspected    Code = 7315
	DependencyLost      Code = 7401
	DependencyRecovered Code = 7402
	SettingsReloaded    Code = 7403
	RecordRefused       Code = 7404
	LinesDropped        Code = 7405
	RecordUnstorable    Code = 7406
)

// Attr is an attribute of an event.
type Attr struct {
	Key   string
	Value any
}

// Definition describes an event. Name is stable for tools; Text is for people.
type Definition struct {
	Name  string
	Level Level
	Text  string
}

var definitions = map[Code]Definition{
	ProcessStarted:       {"process-started", Info, "the daemon listens on all its addresses"},
	ProcessDraining:      {"process-draining", Info, "the daemon accepts no new requests and completes those in flight"},
	ProcessStopped:       {"process-stopped", Info, "the daemon has shut down"},
	DrainAbortedRequests: {"drain-cut-requests", Error, "the drain deadline or a second signal cut requests in flight"},
	PeerReplaced:         {"peer-replaced", Info, "a peer restarted with a new incarnation"},
	ConfigApplied:        {"config-applied", Info, "this entry now uses a new configuration version"},
	ConfigRefused:        {"config-refused", Error, "the configuration record is invalid; the last valid one stays in use"},
	ConfigFromPeer:       {"config-from-peer", Warn, "the store does not respond; the configuration came from a peer"},
	PlanAccepted:         {"plan-accepted", Info, "a confirmed plan was accepted"},
	PlanRefused:          {"plan-refused", Warn, "a plan was refused; nothing was changed"},
	OutcomeUnknown:       {"outcome-unknown", Error, "the outcome of a confirmation is unknown"},
	AuditSegmentRemoved:  {"audit-segment-removed", Warn, "the oldest audit segment was removed to stay within the limit"},
	ShardAcquired:        {"shard-acquired", Info, "this entry acquired a shard"},
	ShardLost:            {"shard-lost", Warn, "another entry took over a shard"},
	ShardReleased:        {"shard-released", Info, "this entry released a shard"},
	WorkerFenced:         {"worker-fenced", Info, "a worker reported its inventory under the current epoch"},
	WorkerSilent:         {"worker-silent", Warn, "a worker does not respond"},
	OrderRefused:         {"order-refused", Warn, "a worker refused an order"},
	TaskSetAside:         {"task-set-aside", Warn, "a task failed too often and is not retried until an operator resumes it"},
	StrayRunStopped:      {"stray-run-stopped", Warn, "a worker runs an attempt that the journal does not assign to it"},
	RecordUnusable:       {"record-unusable", Error, "a record in the store can't be decoded"},
	SnapshotTooLarge:     {"snapshot-too-large", Error, "the state of a shard is too large; the shard accepts no more work"},
	TaskMoved:            {"task-moved", Warn, "a task on an unreachable worker is rescheduled"},

	WorkerQuarantined: {"worker-quarantined", Warn, "a worker fails tasks that succeed elsewhere; it gets only probes"},
	WorkerReturned:    {"worker-returned", Info, "a quarantined worker completed a probe task and gets work again"},
	GuardActed:        {"guard-acted", Info, "a task beside a slow service was throttled, unthrottled or evicted"},
	JobNeverRuns:      {"job-never-runs", Warn, "no worker can ever run a task of the job"},

	RequestFailed:       {"request-failed", Warn, "jujubearch answered a request itself, without an upstream response"},
	StoreFailing:        {"store-failing", Warn, "calls to the store are failing"},
	StoreRecovered:      {"store-recovered", Info, "the store responds again"},
	JobAccepted:         {"job-accepted", Info, "a job was accepted and stored"},
	JobRefused:          {"job-refused", Info, "a job was refused and will not run"},
	JobEnded:            {"job-ended", Info, "a job has reached its final phase"},
	JobUndecided:        {"job-undecided", Warn, "the store did not confirm in time whether a job was stored"},
	CancelAnswered:      {"cancel-answered", Info, "a cancellation request was answered"},
	QueueUnknown:        {"queue-unknown", Info, "a request names a queue that the configuration in force does not have"},
	JobOverdue:          {"job-overdue", Info, "a job was completed after its due time"},
	RouteRestored:       {"route-restored", Info, "jobs of a queue that is not configured go by the route stored with one of them"},
	LeaderElected:       {"leader-elected", Info, "this entry became the leader and schedules jobs"},
	LeaderDeposed:       {"leader-deposed", Warn, "this entry is no longer the leader"},
	LeaderFollowed:      {"leader-followed", Info, "another entry is the leader"},
	RecoveryBegan:       {"recovery-began", Info, "a new leader asks the workers which tasks they run"},
	RecoveryEnded:       {"recovery-ended", Info, "recovery is complete; the runs of every worker are known"},
	CommitDelayed:       {"commit-delayed", Warn, "the outcome of a progress commit is unknown; it is retried"},
	LeaseNotRevoked:     {"lease-kept", Warn, "a lease could not be revoked; it expires by itself"},
	StepPanicked:        {"step-panicked", Error, "an event could not be processed; a leader gives its leadership up"},
	LeaderLoad:          {"leader-load", Info, "what the leader had to do in the last second, and what waits"},
	LeasesBounded:       {"leases-bounded", Info, "half of the workers have answered a new leader, which bounds the leases of earlier ones"},
	RunPlaced:           {"run-placed", Info, "a task was placed on a worker"},
	RunEnded:            {"run-ended", Info, "a worker reported the end of a run"},
	StartRefused:        {"start-refused", Warn, "a worker refused to start a task; the task is rescheduled"},
	RunStopped:          {"run-stopped", Info, "a run is being stopped"},
	RunVanished:         {"run-vanished", Warn, "a worker reports neither a run nor its end; the task is rescheduled"},
	AdviceGiven:         {"advice-given", Info, "the advice service said which workers may run a step"},
	AdviceFailed:        {"advice-failed", Warn, "a query to the advice service failed"},
	TaskWaits:           {"task-waits", Info, "a task has waited for a worker for 3 s"},
	RunLost:             {"run-lost", Warn, "a run was lost with its worker, which crashed"},
	TaskGivenUp:         {"task-given-up", Warn, "a task has crashed too many workers; its job fails"},
	RunReleased:         {"run-released", Warn, "a run is proved gone though its worker did not report its end; the task is rescheduled"},
	RunRepeated:         {"run-repeated", Warn, "a task was placed again after a run whose end its worker did not report"},
	RunRetried:          {"run-retried", Info, "a task was placed again after a run whose end its worker reported"},
	PaceChanged:         {"pace-changed", Info, "the permitted speed of a best-effort task was changed"},
	TargetMissed:        {"target-missed", Info, "a serving task is above its latency target beside best-effort tasks"},
	WorkerFirstResponse: {"worker-held", Info, "a worker responded to the leader for the first time in this epoch"},
	WorkerDraining:      {"worker-draining", Info, "a worker is draining and gets no new tasks"},
	WorkerRestarted:     {"worker-reborn", Warn, "a worker restarted; its tasks are rescheduled"},
	RestartSuspected:    {"restart-suspected", Warn, "a worker carried a start out whose clock is not the one that it answered with last"},
	FenceRaised:         {"fence-raised", Info, "orders to a worker that restarted carry a higher number"},
	WorkerGone:          {"worker-gone", Info, "a worker is gone; no task can run on it any more"},
	WorkerUnreachable:   {"worker-unreachable", Warn, "a worker does not respond and gets no new tasks"},
	WorkerReachable:     {"worker-reachable", Info, "a worker responds again"},
	WorkerLeasesExpired: {"worker-lapsed", Warn, "the leases of an unreachable worker expired; its tasks are rescheduled"},
	RelaysAssigned:      {"relays-assigned", Info, "workers were assigned to the entries that carry orders to them"},
	RelayLost:           {"relay-lost", Warn, "an entry no longer carries orders; its workers are reached in another way"},
	RelayFollowing:      {"relay-following", Info, "this entry carries orders of the leader"},
	RelayStopped:        {"relay-stopped", Info, "this entry no longer carries orders of a leader"},
	WorkerAccounted:     {"worker-accounted", Warn, "a worker that has not answered a new leader can run nothing of an earlier one any more"},
	DependencyLost:      {"dependency-lost", Warn, "a dependency does not respond"},
	DependencyRecovered: {"dependency-back", Info, "a dependency responds again"},
	SettingsReloaded:    {"settings-reloaded", Info, "the settings were reloaded"},
	RecordRefused:       {"record-refused", Warn, "a record can't be decoded and is ignored"},
	RecordUnstorable:    {"record-unstorable", Error, "a record can't be stored as it is; the others are stored without it"},
	LinesDropped:        {"lines-dropped", Warn, "log lines were dropped: bulk lines beyond their budget, or any if the output was too slow"},

	VMListRecovered: {"vm-list-recovered", Info, "the VM list is available again"},
	VMListFailing:   {"vm-list-failing", Warn, "the VM list is unavailable; the last known list stays in use"},
}

// bulkEvents are the events of normal operation that are logged for each task or request. Their volume grows with the load,
// so under load only a part of them is kept. No event is among them that reports a fault or a change of what is believed.
var bulkEvents = map[Code]bool{
	JobAccepted: true, JobRefused: true, JobEnded: true, CancelAnswered: true, QueueUnknown: true, JobOverdue: true,
	RunPlaced: true, RunEnded: true, PaceChanged: true, RunRetried: true, AdviceGiven: true, TaskWaits: true,
	TargetMissed: true,
}

// IsBulk reports whether an event is one of those whose volume grows with the load.
func IsBulk(code Code) bool { return bulkEvents[code] }

// Define returns the definition of a code, and whether the code is defined.
func Define(code Code) (Definition, bool) {
	d, ok := definitions[code]
	return d, ok
}

// Codes returns all codes in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(definitions))
	for code := range definitions {
		codes = append(codes, code)
	}
	return codes
}
