package rattanmetric

import (
	"slices"
	"strings"
)

// The names of all metrics, in the order of their definitions. Names of
// counters end with _total, names of gauges and histograms with their unit or
// the measured quantity.
const (
	KeysIssuedTotal           = "rattanlever_keys_issued_total"
	JobsForwardedTotal        = "rattanlever_jobs_forwarded_total"
	JobsSubmittedTotal        = "rattanlever_jobs_submitted_total"
	JobsJoinedTotal           = "rattanlever_jobs_joined_total"
	JobsAdmittedTotal         = "rattanlever_jobs_admitted_total"
	JobsAnsweredTotal         = "rattanlever_jobs_answered_total"
	JobsRefusedTotal          = "rattanlever_jobs_refused_total"
	JobsCancelledTotal        = "rattanlever_jobs_cancelled_total"
	JobsFencedTotal           = "rattanlever_jobs_fenced_total"
	JobsInProgress            = "rattanlever_jobs_in_progress"
	JobResponseSeconds        = "rattanlever_job_response_seconds"
	TasksStartedTotal         = "rattanlever_tasks_started_total"
	TasksEndedTotal           = "rattanlever_tasks_ended_total"
	TasksSettledTotal         = "rattanlever_tasks_settled_total"
	TaskWaitSeconds           = "rattanlever_task_wait_seconds"
	PoolSlots                 = "rattanlever_pool_slots"
	PoolBusySlots             = "rattanlever_pool_busy_slots"
	PoolBacklogSeconds        = "rattanlever_pool_backlog_seconds"
	SlotLoansTotal            = "rattanlever_slot_loans_total"
	LedgerRecords             = "rattanlever_ledger_records"
	LedgerAnswerBytes         = "rattanlever_ledger_answer_bytes"
	EpochsOpenedTotal         = "rattanlever_epochs_opened_total"
	EpochsFencedTotal         = "rattanlever_epochs_fenced_total"
	MembersAlive              = "rattanlever_members_alive"
	MessagesSentTotal         = "rattanlever_messages_sent_total"
	MessagesReceivedTotal     = "rattanlever_messages_received_total"
	MessageSentBytesTotal     = "rattanlever_message_sent_bytes_total"
	PingsTotal                = "rattanlever_pings_total"
	LateRepliesTotal          = "rattanlever_late_replies_total"
	LinksSilentTotal          = "rattanlever_links_silent_total"
	PlatformCallsTotal        = "rattanlever_platform_calls_total"
	PlatformErrorsTotal       = "rattanlever_platform_errors_total"
	ConfigurationRevision     = "rattanlever_configuration_revision"
	CertificateLifeSeconds    = "rattanlever_certificate_life_seconds"
	InvariantBreachesTotal    = "rattanlever_invariant_breaches_total"
	RequestsTotal             = "rattanlever_requests_total"
	RequestSeconds            = "rattanlever_request_seconds"
	JobOutcomesTotal          = "rattanlever_job_outcomes_total"
	JobsWithoutRoomTotal      = "rattanlever_jobs_without_room_total"
	JobStartWaitSeconds       = "rattanlever_job_start_wait_seconds"
	TargetsSilentTotal        = "rattanlever_targets_silent_total"
	TargetChangesTotal        = "rattanlever_target_changes_total"
	RunsLostTotal             = "rattanlever_runs_lost_total"
	UnansweredStartsTotal     = "rattanlever_unanswered_starts_total"
	LearnedStartsTotal        = "rattanlever_learned_starts_total"
	StartListsTotal           = "rattanlever_start_lists_total"
	StartListBytesTotal       = "rattanlever_start_list_bytes_total"
	HomeChangesTotal          = "rattanlever_home_changes_total"
	HomesDeposedTotal         = "rattanlever_homes_deposed_total"
	HomeLagSeconds            = "rattanlever_home_lag_seconds"
	SlowTargets               = "rattanlever_slow_targets"
	CancellationsTotal        = "rattanlever_cancellations_total"
	CancelledSubmissionsTotal = "rattanlever_cancelled_submissions_total"
	RememberedCancellations   = "rattanlever_remembered_cancellations"
	EvacuatedZones            = "rattanlever_evacuated_zones"
	EvacuatedJobsTotal        = "rattanlever_evacuated_jobs_total"
	HeldBytes                 = "rattanlever_held_bytes"
	CallerConnections         = "rattanlever_caller_connections"
	CallersLimitedTotal       = "rattanlever_callers_limited_total"
	StoreCallsTotal           = "rattanlever_store_calls_total"
	LogLinesTotal             = "rattanlever_log_lines_total"
	LogLinesDroppedTotal      = "rattanlever_log_lines_dropped_total"
)

// Kind is the kind of a metric, as written in the documentation.
type Kind string

// The kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Definition describes one metric. The documentation page and Undocumented are
// based on the definitions.
type Definition struct {
	Name string
	Kind Kind
	// Labels holds the label names. Each label has few possible values.
	Labels      []string
	Description string
}

// instanceMetrics holds the metrics of an entry instance.
var instanceMetrics = []Definition{
	{KeysIssuedTotal, KindCounter, nil, "Submission keys issued by the front."},
	{JobsForwardedTotal, KindCounter, nil, "Deliveries of requests about jobs to homes on other instances."},
	{JobsSubmittedTotal, KindCounter, nil, "Submissions that reached the home, with resubmissions."},
	{JobsJoinedTotal, KindCounter, nil, "Resubmissions that joined a job in progress."},
	{JobsAdmittedTotal, KindCounter, nil, "Jobs that the home admitted."},
	{JobsAnsweredTotal, KindCounter, []string{"state", "reason"}, "Admitted jobs that ended, by final state and reason."},
	{JobsRefusedTotal, KindCounter, []string{"reason"}, "Submissions refused as not run, by reason."},
	{JobsCancelledTotal, KindCounter, nil, "Cancellations by callers that had an effect."},
	{JobsFencedTotal, KindCounter, nil, "Jobs that ended because their epoch lost its validity."},
	{JobsInProgress, KindGauge, nil, "Jobs admitted and not yet ended."},
	{JobResponseSeconds, KindHistogram, []string{"kind"}, "Time from submission to the complete answer, by job kind."},
	{TasksStartedTotal, KindCounter, nil, "Dispatches of tasks to targets."},
	{TasksEndedTotal, KindCounter, []string{"outcome"}, "Dispatches that ended, by outcome."},
	{TasksSettledTotal, KindCounter, nil, "Dispatches on silent connections that were settled on another connection."},
	{TaskWaitSeconds, KindHistogram, []string{"kind"}, "Time from admission, or from the refusal of the attempt before, to the start of a task, by job kind."},
	{PoolSlots, KindGauge, nil, "Slots of the pool's targets in use."},
	{PoolBusySlots, KindGauge, nil, "Slots that hold a task."},
	{PoolBacklogSeconds, KindGauge, nil, "Expected slot time of all waiting tasks."},
	{SlotLoansTotal, KindCounter, nil, "Loans of slots taken from the homes of other pools."},
	{LedgerRecords, KindGauge, nil, "Records of submissions in the ledger."},
	{LedgerAnswerBytes, KindGauge, nil, "Bytes of results in the ledger."},
	{EpochsOpenedTotal, KindCounter, nil, "Epochs that the home opened."},
	{EpochsFencedTotal, KindCounter, nil, "Epochs that ended because their validity lapsed."},
	{MembersAlive, KindGauge, nil, "Instances that are believed to be alive, with the own one."},
	{MessagesSentTotal, KindCounter, nil, "Requests and pings sent to other instances."},
	{MessagesReceivedTotal, KindCounter, nil, "Replies received from other instances."},
	{MessageSentBytesTotal, KindCounter, nil, "Bytes of the bodies of requests sent to other instances."},
	{PingsTotal, KindCounter, nil, "Pings on links that had calls outstanding and were silent."},
	{LateRepliesTotal, KindCounter, nil, "Replies that arrived after their call had been given up."},
	{LinksSilentTotal, KindCounter, nil, "Links closed because nothing arrived in time."},
	{PlatformCallsTotal, KindCounter, []string{"operation"}, "Calls to the platform, by operation; a waiting watch counts as one."},
	{PlatformErrorsTotal, KindCounter, []string{"error"}, "Calls to the platform that failed: Conflict, Unavailable, or Uncertain for a write that may have taken effect."},
	{ConfigurationRevision, KindGauge, nil, "Revision of the configuration in force."},
	{CertificateLifeSeconds, KindGauge, nil, "Time to the end of the own certificate; only with TLS."},
	{InvariantBreachesTotal, KindCounter, nil, "Breaches of invariants found by the program's own checks; 0 in a correct system."},
}

// serveMetrics holds the metrics of the serve command.
var serveMetrics = []Definition{
	{RequestsTotal, KindCounter, []string{"status"}, "Submissions of callers on the users' platform by status class of the answer; none if the caller left."},
	{RequestSeconds, KindHistogram, nil, "Time from a submission's arrival to its answer, on the users' platform."},
	{JobOutcomesTotal, KindCounter, []string{"outcome"}, "Jobs of the own home that ended, by outcome."},
	{JobsWithoutRoomTotal, KindCounter, []string{"outcome", "reason"}, "Jobs of the own home that were refused or redirected, or expired, by outcome and reason."},
	{JobStartWaitSeconds, KindHistogram, nil, "Time from a job's arrival at its home to the order of its first run."},
	{TargetsSilentTotal, KindCounter, nil, "Times that a target stopped answering its home."},
	{TargetChangesTotal, KindCounter, []string{"change"}, "Changes in what the own home believes of targets, by kind of change."},
	{RunsLostTotal, KindCounter, []string{"proof"}, "Runs lost with their target, by what the home knows of its end."},
	{UnansweredStartsTotal, KindCounter, []string{"change"}, "Start requests without an answer, by what became known of them."},
	{LearnedStartsTotal, KindCounter, nil, "Start requests of other homes that the own home was told of because they may still be carried out."},
	{StartListsTotal, KindCounter, []string{"result"}, "Lists of start requests without an answer that the own home has sent to other instances, by result: sent, late if starts did not wait until it was written, or failed."},
	{StartListBytesTotal, KindCounter, nil, "Bytes of the lists of start requests that were sent to other instances."},
	{HomeChangesTotal, KindCounter, nil, "Changes of the zone's home that this instance has seen."},
	{HomesDeposedTotal, KindCounter, nil, "Times that the own home lost its authority to another instance."},
	{HomeLagSeconds, KindGauge, nil, "How late the own home handles events because it lacks processor time, 0 if it is not the home."},
	{SlowTargets, KindGauge, []string{"cause"}, "Targets of the own home that get work only if faster ones have no room, by cause: Cold after their start, Learned from their runs. 0 if this instance is not the home."},
	{CancellationsTotal, KindCounter, []string{"outcome"}, "Callers' requests to cancel a job, by outcome."},
	{CancelledSubmissionsTotal, KindCounter, nil, "Submissions of jobs that their callers have cancelled, before or after."},
	{RememberedCancellations, KindGauge, nil, "Cancelled jobs that this instance remembers."},
	{EvacuatedZones, KindGauge, nil, "Zones that are evacuated as far as this instance knows."},
	{EvacuatedJobsTotal, KindCounter, []string{"outcome"}, "Jobs of the own home that were redirected, refused or ended because its zone is evacuated, by outcome."},
	{HeldBytes, KindGauge, []string{"source"}, "Bytes held for requests: of callers (bodies, large headers, decoded jobs), and of jobs of other instances at the home."},
	{CallerConnections, KindGauge, nil, "Open connections of callers."},
	{CallersLimitedTotal, KindCounter, []string{"cause"}, "Requests refused and connections closed to bound memory and descriptors, by cause. They are not part of rattanlever_requests_total."},
	{StoreCallsTotal, KindCounter, nil, "Calls to the platform's metadata store."},
	{LogLinesTotal, KindCounter, nil, "Log lines taken in for writing."},
	{LogLinesDroppedTotal, KindCounter, nil, "Log lines dropped because the output was too slow."},
}

const pageHeader = `# Metrics

Metrics of one entry instance, in the Prometheus text format at ` + "`GET /metrics`" + `. Histograms have buckets with a relative error of at most 14% in the label ` + "`vmrange`" + `. The metrics ` + "`go_*`" + ` and ` + "`process_*`" + ` describe the process. This page is generated from the table in ` + "`rattanmetric/table.go`" + ` by ` + "`go test ./rattanmetric -update`" + `.

| name | kind | labels | description |
|---|---|---|---|
`

const serveHeader = `
## Metrics of the command serve

One instance on the users' platform serves these at port 7735.

| name | kind | labels | description |
|---|---|---|---|
`

// InstanceMetrics returns the definitions of the metrics of an entry instance.
func InstanceMetrics() []Definition {
	return slices.Clone(instanceMetrics)
}

// ServeMetrics returns the definitions of the metrics of the serve command.
func ServeMetrics() []Definition {
	return slices.Clone(serveMetrics)
}

// Page returns the documentation of all metrics in Markdown.
func Page() string {
	var page strings.Builder
	page.WriteString(pageHeader)
	writeRows(&page, instanceMetrics)
	page.WriteString(serveHeader)
	writeRows(&page, serveMetrics)
	return page.String()
}

// writeRows writes the table rows of the definitions in Markdown.
func writeRows(page *strings.Builder, definitions []Definition) {
	for _, definition := range definitions {
		page.WriteString("| `" + definition.Name + "` | " + string(definition.Kind) + " | " + strings.Join(definition.Labels, ", ") + " | " + definition.Description + " |\n")
	}
}
