package rattannode

import (
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/rattanfront"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

// Journal writes a structured log line for each decision about a request and
// for each change of the state of the zone, the targets or the store, and
// updates the metrics.
type Journal struct {
	logger          *logrus.Logger
	registry        *rattanmetric.Registry
	requestDuration *metrics.Histogram
	startWait       *metrics.Histogram
	startLists      [rattanzone.StartListFailed + 1]*metrics.Counter
	startListBytes  *metrics.Counter
}

// NewJournal returns a journal that writes to the logger and updates the
// metrics of the registry.
func NewJournal(logger *logrus.Logger, registry *rattanmetric.Registry) *Journal {
	// Rare events are shown before the first one.
	registry.Counter(rattanmetric.CancelledSubmissionsTotal)
	registry.Counter(rattanmetric.LearnedStartsTotal)
	for _, outcome := range []rattanscheduler.Outcome{rattanscheduler.Redirected, rattanscheduler.Refused, rattanscheduler.Expired} {
		registry.Counter(evacuatedJobsCounter(outcome))
	}
	registry.Counter(withoutRoomCounter(rattanscheduler.Refused, rattanscheduler.ReasonNoRoomInTime))
	for change := rattanscheduler.StartUnanswered; change <= rattanscheduler.StartExpired; change++ {
		registry.Counter(startsCounter(change))
	}
	for outcome := rattanfront.JobCancelled; outcome <= rattanfront.InvalidID; outcome++ {
		registry.Counter(cancellationsCounter(outcome))
	}
	journal := &Journal{
		logger:          logger,
		registry:        registry,
		requestDuration: registry.Histogram(rattanmetric.RequestSeconds),
		startWait:       registry.Histogram(rattanmetric.JobStartWaitSeconds),
		startListBytes:  registry.Counter(rattanmetric.StartListBytesTotal),
	}
	for result := range journal.startLists {
		journal.startLists[result] = registry.Counter(startListsCounter(rattanzone.StartListResult(result)))
	}
	return journal
}

// withoutRoomCounter returns the name of the counter of the jobs that ended for lack of
// room by outcome and reason.
func withoutRoomCounter(outcome rattanscheduler.Outcome, reason string) string {
	return rattanmetric.WithLabels(rattanmetric.JobsWithoutRoomTotal, "outcome", outcome.String(), "reason", reason)
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}

// Answered records how a caller's request ended.
func (j *Journal) Answered(record rattanfront.AnswerRecord) {
	j.requestDuration.Update(record.Elapsed.Seconds())
	j.registry.Counter(rattanmetric.WithLabels(rattanmetric.RequestsTotal, "status", statusClass(record.Status))).Inc()
	j.logger.WithFields(logrus.Fields{
		"Job":       record.JobID,
		"Route":     record.Route,
		"Status":    record.Status,
		"Reason":    record.Reason,
		"Home":      record.Home,
		"Fence":     record.HomeToken,
		"Zone":      record.Zone,
		"Presented": record.Submissions,
		"Conflicts": record.Conflicts,
		"Unsettled": record.Unsettled,
		"ElapsedMS": milliseconds(record.Elapsed),
		"Desired":   record.Version,
	}).Info("request answered")
}

func statusClass(status int) string {
	switch {
	case status == 0:
		return "none"
	case status < 300:
		return "2xx"
	case status < 500:
		return "4xx"
	default:
		return "5xx"
	}
}

// evacuatedJobsCounter returns the name of the counter of the jobs that ended so
// because their zone is evacuated.
func evacuatedJobsCounter(outcome rattanscheduler.Outcome) string {
	return rattanmetric.WithLabels(rattanmetric.EvacuatedJobsTotal, "outcome", outcome.String())
}

// JobEnded records how a job of the local home ended.
func (j *Journal) JobEnded(result rattanscheduler.JobResult) {
	j.startWait.Update(result.FirstStart.Seconds())
	j.registry.Counter(rattanmetric.WithLabels(rattanmetric.JobOutcomesTotal, "outcome", result.Outcome.String())).Inc()
	if result.Reason == rattanscheduler.ReasonEvacuated {
		j.registry.Counter(evacuatedJobsCounter(result.Outcome)).Inc()
	}
	if result.Room != nil {
		j.registry.Counter(withoutRoomCounter(result.Outcome, result.Reason)).Inc()
	}
	fields := logrus.Fields{
		"Job":          result.JobID,
		"Outcome":      result.Outcome.String(),
		"Reason":       result.Reason,
		"Tasks":        result.Tasks,
		"EstimateMS":   milliseconds(result.Estimate),
		"Runs":         result.Runs,
		"Failures":     result.Failures,
		"FirstStartMS": milliseconds(result.FirstStart),
		"ElapsedMS":    milliseconds(result.Elapsed),
	}
	if len(result.History) > 0 {
		fields["History"] = formatHistory(result.History)
	}
	if room := result.Room; room != nil {
		fields["ExpectedWaitMS"] = milliseconds(room.ExpectedWait)
		fields["SlackMS"] = milliseconds(room.Slack)
		fields["NeedMilliCPU"] = room.NeedMilliCPU
		fields["FreeMilliCPU"] = room.FreeMilliCPU
		fields["LargestMilliCPU"] = room.LargestMilliCPU
		fields["RemoteMilliCPU"] = room.RemoteMilliCPU
		fields["WithheldMilliCPU"] = room.WithheldMilliCPU
		fields["WaitingTasks"] = room.WaitingTasks
	}
	j.logger.WithFields(fields).Info("job ended")
}

// JobWithdrawn records that an instance no longer counts as waiting for a job.
func (j *Journal) JobWithdrawn(jobID, submitter, reason string) {
	j.logger.WithFields(logrus.Fields{"Job": jobID, "Submitter": submitter, "Reason": reason}).Info("job withdrawn")
}

// cancellationsCounter returns the name of the counter of an outcome.
func cancellationsCounter(outcome rattanfront.CancelOutcome) string {
	return rattanmetric.WithLabels(rattanmetric.CancellationsTotal, "outcome", outcome.String())
}

// CancelAnswered records how a caller's request to cancel a job was answered.
func (j *Journal) CancelAnswered(record rattanfront.CancelRecord) {
	j.registry.Counter(cancellationsCounter(record.Outcome)).Inc()
	fields := logrus.Fields{
		"Job":       record.JobID[:min(len(record.JobID), maxLoggedID)],
		"Outcome":   record.Outcome.String(),
		"ElapsedMS": milliseconds(record.Elapsed),
		"Saved":     record.Saved,
	}
	if record.Zone != "" {
		fields["Zone"] = record.Zone
	}
	if len(record.Unconfirmed) > 0 {
		fields["Unconfirmed"] = record.Unconfirmed
	}
	if len(record.Owed) > 0 {
		fields["Owed"] = record.Owed
	}
	j.logger.WithFields(fields).Info("cancellation answered")
}

// maxLoggedID bounds the bytes of an ID that no job can have.
const maxLoggedID = 40

// CancelledForCaller records that the local home was asked to cancel a job.
func (j *Journal) CancelledForCaller(jobID string, reply rattanhome.CancellationReply) {
	j.logger.WithFields(logrus.Fields{
		"Job":        jobID,
		"Known":      reply.Known,
		"Ended":      reply.Ended,
		"Confirmed":  reply.Confirmed,
		"Remembered": reply.Remembered,
	}).Info("cancellation received")
}

// CancelledJobSubmitted records that a job that its caller has cancelled was
// submitted, before or after that.
func (j *Journal) CancelledJobSubmitted(jobID, submitter string, age time.Duration) {
	j.registry.Counter(rattanmetric.CancelledSubmissionsTotal).Inc()
	j.logger.WithFields(logrus.Fields{"Job": jobID, "Submitter": submitter, "AgeMS": milliseconds(age)}).Info("submission of a cancelled job")
}

// VersionsDiffer records a job that was submitted by another version of the
// desired state than the one in force here.
func (j *Journal) VersionsDiffer(difference rattanhome.VersionDifference) {
	j.logger.WithFields(logrus.Fields{
		"Job":            difference.JobID,
		"Submitter":      difference.Submitter,
		"Submitted":      difference.Submitted,
		"Own":            difference.Own,
		"Accepted":       difference.Accepted,
		"MayHaveStarted": difference.MayHaveStarted,
		"NeverAccepted":  difference.NeverAccepted,
		"Resumed":        difference.Resumed,
		"Fence":          difference.HomeToken,
	}).Info("desired states differ")
}

// WithdrawalFailed records that no home has confirmed that a caller has left.
func (j *Journal) WithdrawalFailed(jobID, zone string, attempts int, err error) {
	j.logger.WithFields(logrus.Fields{"Job": jobID, "Zone": zone, "Attempts": attempts, "Error": err.Error()}).Warn("withdrawal not confirmed")
}

// maxHistoryRuns limits the number of runs that one log line lists.
const maxHistoryRuns = 24

func formatHistory(history []rattanscheduler.RunRecord) []string {
	lines := make([]string, 0, min(len(history), maxHistoryRuns))
	for _, run := range history[max(0, len(history)-maxHistoryRuns):] {
		result := run.Result
		if result == "" {
			result = "not ended"
		}
		lines = append(lines, fmt.Sprintf("%s attempt %d on %s: ordered at %s, %s at %s", run.Task, run.Attempt, run.Target,
			run.RequestedAfter.Round(time.Millisecond), result, run.Ended.Round(time.Millisecond)))
	}
	return lines
}

// TargetChanged records that the local home's view of a target changed.
func (j *Journal) TargetChanged(event rattanscheduler.TargetEvent) {
	j.registry.Counter(rattanmetric.WithLabels(rattanmetric.TargetChangesTotal, "change", event.Change.String())).Inc()
	fields := logrus.Fields{"Target": event.Target, "Change": event.Change.String(), "Runs": event.Runs}
	if event.Change == rattanscheduler.TargetSuspended {
		fields["Reason"] = event.Reason
		fields["PauseMS"] = milliseconds(event.Suspension)
	}
	if event.Change == rattanscheduler.TargetCold {
		fields["ColdLeftMS"] = milliseconds(event.ColdLeft)
	}
	if event.Change == rattanscheduler.TargetSlow {
		fields["RunTimeFactor"] = math.Round(10*event.RunTimeFactor) / 10
	}
	j.logger.WithFields(fields).Info("target changed")
}

// RunLost records that a run was lost with its target.
func (j *Journal) RunLost(loss rattanscheduler.RunLoss) {
	j.registry.Counter(rattanmetric.WithLabels(rattanmetric.RunsLostTotal, "proof", loss.Proof.String())).Inc()
	j.logger.WithFields(logrus.Fields{
		"Job":         loss.JobID,
		"Task":        loss.Task,
		"Target":      loss.Target,
		"Attempt":     loss.Attempt,
		"Proof":       loss.Proof.String(),
		"Refused":     loss.Refused,
		"Unreachable": loss.Unreachable,
		"Unanswered":  loss.Unanswered,
		"Silent":      loss.Losses.Silent,
		"Crashed":     loss.Losses.Crashed,
		"Unproven":    loss.Losses.Unproven,
	}).Warn("run lost")
}

// startsCounter returns the name of the counter of a change.
func startsCounter(change rattanscheduler.StartChange) string {
	return rattanmetric.WithLabels(rattanmetric.UnansweredStartsTotal, "change", change.String())
}

// StartChanged records what became known of a start request without an answer.
func (j *Journal) StartChanged(event rattanscheduler.StartEvent) {
	j.registry.Counter(startsCounter(event.Change)).Inc()
	j.logger.WithFields(logrus.Fields{"Task": event.Task, "Target": event.Target, "Attempt": event.Attempt, "Change": event.Change.String()}).Info("start without answer")
}

// StartsLearned records that the local home was told of start requests that may still
// be carried out.
func (j *Journal) StartsLearned(zone, source string, starts []rattanscheduler.OutstandingStart) {
	j.registry.Counter(rattanmetric.LearnedStartsTotal).Add(len(starts))
	lines := make([]string, 0, min(len(starts), maxHistoryRuns))
	for _, start := range starts[:min(len(starts), maxHistoryRuns)] {
		lines = append(lines, fmt.Sprintf("%s attempt %d on %s, for %s", start.Task, start.Attempt, start.Target, start.Remaining.Round(time.Millisecond)))
	}
	j.logger.WithFields(logrus.Fields{"Zone": zone, "Source": source, "Count": len(starts), "Starts": lines}).Info("starts of another home")
}

// startListsCounter returns the name of the counter of a result.
func startListsCounter(result rattanzone.StartListResult) string {
	return rattanmetric.WithLabels(rattanmetric.StartListsTotal, "result", result.String())
}

// StartListTold records what became of sending a start list to another instance.
func (j *Journal) StartListTold(result rattanzone.StartListResult, bytes int) {
	j.startLists[result].Inc()
	j.startListBytes.Add(bytes)
}

// TargetUnresponsive records that a target does not answer.
func (j *Journal) TargetUnresponsive(target string, err error) {
	j.registry.Counter(rattanmetric.TargetsSilentTotal).Inc()
	j.logger.WithFields(logrus.Fields{"Target": target, "Error": err.Error()}).Warn("target silent")
}

// TargetRecovered records that a target answers again.
func (j *Journal) TargetRecovered(target string, silence time.Duration) {
	j.logger.WithFields(logrus.Fields{"Target": target, "SilenceMS": milliseconds(silence)}).Info("target answers again")
}

// OverloadChanged records that the local home has begun, or ceased, to refuse
// jobs because it lacks processor time.
func (j *Journal) OverloadChanged(overloaded bool, lag time.Duration, jobs int) {
	j.logger.WithFields(logrus.Fields{"Overloaded": overloaded, "LagMS": milliseconds(lag), "Jobs": jobs}).Warn("home overload changed")
}

// Deposed records that the local home lost its authority, because a target
// follows a higher fencing token.
func (j *Journal) Deposed(target string) {
	j.registry.Counter(rattanmetric.HomesDeposedTotal).Inc()
	j.logger.WithField("Target", target).Warn("home deposed")
}

// HandlerPanicked records that a request of another instance has caused a
// panic.
func (j *Journal) HandlerPanicked(method string, value any, stack []byte) {
	j.logger.WithFields(logrus.Fields{"Method": method, "Error": fmt.Sprint(value), "Stack": string(stack)}).Error("handler panicked")
}

// HomeChanged records that the zone has a new home.
func (j *Journal) HomeChanged(claim rattanzone.Claim, reason string) {
	j.registry.Counter(rattanmetric.HomeChangesTotal).Inc()
	j.logger.WithFields(logrus.Fields{"Home": claim.Name, "Fence": claim.FencingToken, "AgeMS": milliseconds(claim.Age), "Reason": reason}).Info("home changed")
}

// HomeSuspected records that the zone's home does not answer.
func (j *Journal) HomeSuspected(claim rattanzone.Claim, reason string) {
	j.logger.WithFields(logrus.Fields{"Home": claim.Name, "Fence": claim.FencingToken, "Reason": reason}).Warn("home suspected")
}

// SpeedChanged records that this machine has become slow or normal.
func (j *Journal) SpeedChanged(slow bool, factor float64) {
	j.logger.WithFields(logrus.Fields{"Slow": slow, "Factor": factor}).Warn("machine speed changed")
}

// DirectoryLost records that the directory of instances cannot be reached.
func (j *Journal) DirectoryLost(err error) {
	j.logger.WithField("Error", err.Error()).Warn("directory lost")
}

// DirectoryRegained records that the directory can be reached again.
func (j *Journal) DirectoryRegained() {
	j.logger.Info("directory regained")
}

// CrashStoreFailed records that the crash history could not be loaded from the
// store or saved there.
func (j *Journal) CrashStoreFailed(err error) {
	j.logger.WithField("Error", err.Error()).Warn("crash history not stored")
}

// CancellationsNotSaved records that cancellations could not be saved in the store.
func (j *Journal) CancellationsNotSaved(err error) {
	j.logger.WithField("Error", err.Error()).Warn("cancellations not saved")
}

// CancellationsNotLoaded records that the saved cancellations could not be loaded.
func (j *Journal) CancellationsNotLoaded(err error) {
	j.logger.WithField("Error", err.Error()).Warn("cancellations not loaded")
}

// DesiredStateAccepted records that a desired state is in force.
func (j *Journal) DesiredStateAccepted(version int64, source string) {
	j.logger.WithFields(logrus.Fields{"Version": version, "Source": source}).Info("desired state in force")
}

// DesiredStateInvalid records a desired state that cannot be parsed.
func (j *Journal) DesiredStateInvalid(source string, err error) {
	j.logger.WithFields(logrus.Fields{"Source": source, "Error": err.Error()}).Error("desired state invalid")
}

// DesiredStateNotReceived records that a transfer of the desired state from another
// instance failed.
func (j *Journal) DesiredStateNotReceived(source string, err error) {
	j.logger.WithFields(logrus.Fields{"Source": source, "Error": err.Error()}).Warn("desired state not received")
}

// EvacuationBegan records that nothing more may start in a zone.
func (j *Journal) EvacuationBegan(evacuation rattanwork.Evacuation, revision int64, source string) {
	j.logger.WithFields(logrus.Fields{"Zone": evacuation.Zone, "Since": evacuation.Since, "Revision": revision, "Source": source}).Warn("zone evacuation begun")
}

// EvacuationEnded records that the request to evacuate a zone was withdrawn.
func (j *Journal) EvacuationEnded(zone string, revision int64, source string) {
	j.logger.WithFields(logrus.Fields{"Zone": zone, "Revision": revision, "Source": source}).Info("zone evacuation ended")
}

// EvacuationsNotKnown records that work may start although it is not known, or was not
// confirmed since a pause, which zones are evacuated.
func (j *Journal) EvacuationsNotKnown(revision int64) {
	j.logger.WithField("Revision", revision).Warn("zone evacuations not known")
}

// maxErrorLength bounds the bytes of an error that may contain what another
// program has written.
const maxErrorLength = 300

// EntryInvalid records an entry of the inventory that names no target.
func (j *Journal) EntryInvalid(id string, err error) {
	text := err.Error()
	j.logger.WithFields(logrus.Fields{"Target": id, "Error": text[:min(len(text), maxErrorLength)]}).Warn("inventory entry invalid")
}

// StoreLost records that the store does not answer.
func (j *Journal) StoreLost(err error) {
	j.logger.WithField("Error", err.Error()).Warn("store lost")
}

// StoreRegained records that the store answers again.
func (j *Journal) StoreRegained(outage time.Duration) {
	j.logger.WithField("OutageMS", milliseconds(outage)).Info("store regained")
}
