package rattanscheduler

import "strings"

// LossCause is why a run is taken for lost with its target.
type LossCause int

// Causes of the loss of a run.
const (
	// LossSilent means that the target has not answered until the leases of its
	// runs have expired. It may have crashed or may only be out of reach.
	LossSilent LossCause = iota
	// LossRestarted means that a new incarnation of the target answers.
	LossRestarted
)

// RunLoss reports a run that was lost with its target.
type RunLoss struct {
	JobID   string
	Task    string
	Target  string
	Attempt int
	Cause   LossCause
}

// recordLoss adds the loss of a run to the output.
func (s *Scheduler) recordLoss(r *run, cause LossCause) {
	jobID, _, _ := strings.Cut(r.taskName, ".")
	s.output.Losses = append(s.output.Losses, RunLoss{JobID: jobID, Task: r.taskName, Target: r.target.info.ID, Attempt: r.attempt, Cause: cause})
}
