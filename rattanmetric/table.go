package rattanmetric

import "strings"

// The names of all metrics, in the order of the table. Names end with their
// unit; counters without a unit end with _total.
const (
	KeysIssuedTotal            = "rattanlever_keys_issued_total"
	JobsSubmittedTotal         = "rattanlever_jobs_submitted_total"
	JobsForwardedTotal         = "rattanlever_jobs_forwarded_total"
	JobsAnsweredTotal          = "rattanlever_jobs_answered_total"
	JobsRefusedTotal           = "rattanlever_jobs_refused_total"
	JobsInProgress             = "rattanlever_jobs_in_progress"
	JobResponseSeconds         = "rattanlever_job_response_seconds"
	RefusalSeconds             = "rattanlever_refusal_seconds"
	TasksStartedTotal          = "rattanlever_tasks_started_total"
	TasksEndedTotal            = "rattanlever_tasks_ended_total"
	TasksRetriedTotal          = "rattanlever_tasks_retried_total"
	TasksUnresolvedTotal       = "rattanlever_tasks_unresolved_total"
	TaskWaitSeconds            = "rattanlever_task_wait_seconds"
	TaskRunSeconds             = "rattanlever_task_run_seconds"
	PlacementSeconds           = "rattanlever_placement_seconds"
	PoolSlots                  = "rattanlever_pool_slots"
	PoolBusySlots              = "rattanlever_pool_busy_slots"
	PoolBacklogSeconds         = "rattanlever_pool_backlog_seconds"
	TargetsEjected             = "rattanlever_targets_ejected"
	TargetsEjectedTotal        = "rattanlever_targets_ejected_total"
	CallerSlots                = "rattanlever_caller_slots"
	LedgerRecords              = "rattanlever_ledger_records"
	LedgerAnswerBytes          = "rattanlever_ledger_answer_bytes"
	EpochsOpenedTotal          = "rattanlever_epochs_opened_total"
	EpochsFencedTotal          = "rattanlever_epochs_fenced_total"
	VotesTotal                 = "rattanlever_votes_total"
	MembersAlive               = "rattanlever_members_alive"
	MessagesSentTotal          = "rattanlever_messages_sent_total"
	MessagesWastedTotal        = "rattanlever_messages_wasted_total"
	MessageSentBytesTotal      = "rattanlever_message_sent_bytes_total"
	LinksSilentTotal           = "rattanlever_links_silent_total"
	PlatformCallsTotal         = "rattanlever_platform_calls_total"
	PlatformErrorsTotal        = "rattanlever_platform_errors_total"
	PlatformCallSeconds        = "rattanlever_platform_call_seconds"
	ConfigurationRevision      = "rattanlever_configuration_revision"
	ConfigurationInstallsTotal = "rattanlever_configuration_installs_total"
	PlansTotal                 = "rattanlever_plans_total"
	KeyReloadsTotal            = "rattanlever_key_reloads_total"
	CertificateLifeSeconds     = "rattanlever_certificate_life_seconds"
	InvariantBreachesTotal     = "rattanlever_invariant_breaches_total"
)

// Kind is the kind of a metric, as the documentation names it.
type Kind string

// The kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Row describes one metric. The table of rows is the source of the
// documentation and of Undocumented.
type Row struct {
	Name string
	Kind Kind
	// Labels are the names of the labels; their values come from small sets.
	Labels      []string
	Description string
}

var table = []Row{
	{KeysIssuedTotal, KindCounter, nil, "Submission keys issued by the front."},
	{JobsSubmittedTotal, KindCounter, nil, "Submissions that reached the home, with resubmissions."},
	{JobsForwardedTotal, KindCounter, nil, "Submissions that the front forwarded to another instance."},
	{JobsAnsweredTotal, KindCounter, []string{"state"}, "Jobs that ended, by final state."},
	{JobsRefusedTotal, KindCounter, []string{"reason"}, "Submissions refused as not run, by reason."},
	{JobsInProgress, KindGauge, nil, "Jobs admitted and not yet ended."},
	{JobResponseSeconds, KindHistogram, []string{"kind"}, "Time from submission to the complete answer, by job kind."},
	{RefusalSeconds, KindHistogram, nil, "Time from submission to a refusal."},
	{TasksStartedTotal, KindCounter, nil, "Dispatches of tasks to targets."},
	{TasksEndedTotal, KindCounter, []string{"outcome"}, "Dispatches that ended, by outcome."},
	{TasksRetriedTotal, KindCounter, nil, "Dispatches after a proof that the task had not started."},
	{TasksUnresolvedTotal, KindCounter, nil, "Tasks that may have run when their job failed."},
	{TaskWaitSeconds, KindHistogram, []string{"kind"}, "Time from admission to the start of a task, by job kind."},
	{TaskRunSeconds, KindHistogram, []string{"kind"}, "Time that a task held its slot, by job kind."},
	{PlacementSeconds, KindHistogram, nil, "Time of one placement decision."},
	{PoolSlots, KindGauge, nil, "Slots of the pool's targets in use."},
	{PoolBusySlots, KindGauge, nil, "Slots that hold a task."},
	{PoolBacklogSeconds, KindGauge, nil, "Expected slot time of all waiting tasks."},
	{TargetsEjected, KindGauge, nil, "Targets that are ejected at present."},
	{TargetsEjectedTotal, KindCounter, nil, "Ejections of targets."},
	{CallerSlots, KindGauge, []string{"caller"}, "Slots that a caller holds in the pool."},
	{LedgerRecords, KindGauge, nil, "Records of submissions in the ledger."},
	{LedgerAnswerBytes, KindGauge, nil, "Bytes of results in the ledger."},
	{EpochsOpenedTotal, KindCounter, nil, "Epochs that the home opened."},
	{EpochsFencedTotal, KindCounter, nil, "Epochs that ended because their validity lapsed."},
	{VotesTotal, KindCounter, nil, "Votes that an epoch has ended."},
	{MembersAlive, KindGauge, nil, "Instances that are believed to be alive, with the own one."},
	{MessagesSentTotal, KindCounter, []string{"method"}, "Messages sent to other instances, by method."},
	{MessagesWastedTotal, KindCounter, nil, "Messages that are no submission, dispatch or used answer."},
	{MessageSentBytesTotal, KindCounter, nil, "Bytes of messages sent to other instances."},
	{LinksSilentTotal, KindCounter, nil, "Links closed because nothing arrived in time."},
	{PlatformCallsTotal, KindCounter, []string{"operation"}, "Calls to the platform, by operation; a waiting watch counts as one."},
	{PlatformErrorsTotal, KindCounter, []string{"operation"}, "Calls to the platform that failed or whose effect is uncertain."},
	{PlatformCallSeconds, KindHistogram, []string{"operation"}, "Time of a call to the platform other than a watch."},
	{ConfigurationRevision, KindGauge, nil, "Revision of the configuration in force."},
	{ConfigurationInstallsTotal, KindCounter, nil, "Revisions put into force."},
	{PlansTotal, KindCounter, []string{"state"}, "Plans made, confirmed and abandoned."},
	{KeyReloadsTotal, KindCounter, []string{"result"}, "Replacements of the TLS files, with result ok or error."},
	{CertificateLifeSeconds, KindGauge, nil, "Time to the end of the own certificate."},
	{InvariantBreachesTotal, KindCounter, []string{"invariant"}, "Breaches of the invariants I1 to I8 found by the program's own checks; 0 in a correct system."},
}

const pageHead = `# Metrics

Metrics of one entry instance, in the Prometheus text format at ` + "`GET /metrics`" + `. Histograms have buckets with a relative error of at most 14% in the label ` + "`vmrange`" + `. The metrics ` + "`go_*`" + ` and ` + "`process_*`" + ` describe the process. This page is generated from the table in ` + "`rattanmetric/table.go`" + ` by ` + "`go test ./rattanmetric -update`" + `.

| name | kind | labels | description |
|---|---|---|---|
`

// Page returns the documentation of all metrics in Markdown.
func Page() string {
	var page strings.Builder
	page.WriteString(pageHead)
	for _, row := range table {
		page.WriteString("| `" + row.Name + "` | " + string(row.Kind) + " | " + strings.Join(row.Labels, ", ") + " | " + row.Description + " |\n")
	}
	return page.String()
}
