package rattannode

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/rattanfront"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanzone"
)

// Journal writes one structured line for each decision that touches a request
// or changes what the instance believes, and counts it.
type Journal struct {
	logger   *logrus.Logger
	registry *rattanmetric.Registry
	elapsed  *metrics.Histogram
	wait     *metrics.Histogram
}

// NewJournal returns a journal that writes to the logger and counts in the
// registry.
func NewJournal(logger *logrus.Logger, registry *rattanmetric.Registry) *Journal {
	return &Journal{
		logger:   logger,
		registry: registry,
		elapsed:  registry.Histogram(rattanmetric.RequestSeconds),
		wait:     registry.Histogram(rattanmetric.JobStartWaitSeconds),
	}
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}

// Answered records how a caller's request ended.
func (j *Journal) Answered(answer rattanfront.Answer) {
	j.elapsed.Update(answer.Elapsed.Seconds())
	j.registry.Counter(rattanmetric.With(rattanmetric.RequestsTotal, "status", statusName(answer.Status))).Inc()
	j.logger.WithFields(logrus.Fields{
		"Job":       answer.JobID,
		"Route":     answer.Route,
		"Status":    answer.Status,
		"Reason":    answer.Reason,
		"Home":      answer.Home,
		"Zone":      answer.Zone,
		"Presented": answer.Presented,
		"ElapsedMS": milliseconds(answer.Elapsed),
		"Desired":   answer.Version,
	}).Info("request answered")
}

func statusName(status int) string {
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

// JobEnded records how a job of the own home ended.
func (j *Journal) JobEnded(ended rattanscheduler.JobResult) {
	j.wait.Update(ended.FirstStart.Seconds())
	j.registry.Counter(rattanmetric.With(rattanmetric.JobOutcomesTotal, "outcome", ended.Outcome.String())).Inc()
	fields := logrus.Fields{
		"Job":          ended.JobID,
		"Outcome":      ended.Outcome.String(),
		"Reason":       ended.Reason,
		"Tasks":        ended.Tasks,
		"EstimateMS":   milliseconds(ended.Estimate),
		"Runs":         ended.Runs,
		"Failures":     ended.Failures,
		"FirstStartMS": milliseconds(ended.FirstStart),
		"ElapsedMS":    milliseconds(ended.Elapsed),
	}
	if len(ended.History) > 0 {
		fields["History"] = historyText(ended.History)
	}
	j.logger.WithFields(fields).Info("job ended")
}

// historyLimit bounds how many runs of a job one line tells of.
const historyLimit = 24

func historyText(history []rattanscheduler.RunRecord) []string {
	lines := make([]string, 0, min(len(history), historyLimit))
	for _, run := range history[max(0, len(history)-historyLimit):] {
		how := run.Result
		if how == "" {
			how = "not ended"
		}
		lines = append(lines, fmt.Sprintf("%s attempt %d on %s: ordered at %s, %s at %s", run.Task, run.Attempt, run.Target,
			run.RequestedAfter.Round(time.Millisecond), how, run.Ended.Round(time.Millisecond)))
	}
	return lines
}

// TargetChanged records what the own home came to believe of a target.
func (j *Journal) TargetChanged(event rattanscheduler.TargetEvent) {
	j.registry.Counter(rattanmetric.With(rattanmetric.TargetChangesTotal, "change", event.Change.String())).Inc()
	fields := logrus.Fields{"Target": event.Target, "Change": event.Change.String(), "Runs": event.Runs}
	if event.Change == rattanscheduler.TargetSuspended {
		fields["Reason"] = event.Reason
		fields["PauseMS"] = milliseconds(event.Suspension)
	}
	j.logger.WithFields(fields).Info("target changed")
}

// TargetSilent records that a target does not answer.
func (j *Journal) TargetSilent(target string, err error) {
	j.registry.Counter(rattanmetric.TargetsSilentTotal).Inc()
	j.logger.WithFields(logrus.Fields{"Target": target, "Error": err.Error()}).Warn("target silent")
}

// TargetBack records that a target answers again.
func (j *Journal) TargetBack(target string, silence time.Duration) {
	j.logger.WithFields(logrus.Fields{"Target": target, "SilenceMS": milliseconds(silence)}).Info("target answers again")
}

// Deposed records that the own home has lost its authority.
func (j *Journal) Deposed(target string) {
	j.registry.Counter(rattanmetric.HomesDeposedTotal).Inc()
	j.logger.WithField("Target", target).Warn("home deposed")
}

// HomeChanged records that the zone has another home.
func (j *Journal) HomeChanged(claim rattanzone.Claim, reason string) {
	j.registry.Counter(rattanmetric.HomeChangesTotal).Inc()
	j.logger.WithFields(logrus.Fields{"Home": claim.Name, "Fence": claim.Fence, "AgeMS": milliseconds(claim.Age), "Reason": reason}).Info("home changed")
}

// HomeSuspected records that the zone's home does not answer.
func (j *Journal) HomeSuspected(claim rattanzone.Claim, reason string) {
	j.logger.WithFields(logrus.Fields{"Home": claim.Name, "Fence": claim.Fence, "Reason": reason}).Warn("home suspected")
}

// DirectoryLost records that the directory of instances cannot be reached.
func (j *Journal) DirectoryLost(err error) {
	j.logger.WithField("Error", err.Error()).Warn("directory lost")
}

// DirectoryBack records that the directory can be reached again.
func (j *Journal) DirectoryBack() {
	j.logger.Info("directory regained")
}

// DesiredAccepted records that a desired state is in force.
func (j *Journal) DesiredAccepted(version int64, source string) {
	j.logger.WithFields(logrus.Fields{"Version": version, "Source": source}).Info("desired state in force")
}

// DesiredInvalid records a desired state that cannot be read.
func (j *Journal) DesiredInvalid(source string, err error) {
	j.logger.WithFields(logrus.Fields{"Source": source, "Error": err.Error()}).Error("desired state invalid")
}

// StoreLost records that the store does not answer.
func (j *Journal) StoreLost(err error) {
	j.logger.WithField("Error", err.Error()).Warn("store lost")
}

// StoreBack records that the store answers again.
func (j *Journal) StoreBack(outage time.Duration) {
	j.logger.WithField("OutageMS", milliseconds(outage)).Info("store regained")
}
