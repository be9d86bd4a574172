package rattanjob

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// Limits of a submission.
const (
	MaxTasks    = 250
	MaxDeadline = 10 * time.Minute
	MaxBodySize = 4 << 20
)

// ErrSubmission reports a submission that breaks a rule of the format.
const ErrSubmission = errors.ConstError("invalid submission")

// Task is one unit of work of a job.
type Task struct {
	// Payload is handed to the target as it is.
	Payload json.RawMessage
	// RunTime is the declared run time, a first guess only; 0 means none.
	RunTime rattanjson.Duration `json:",omitempty"`
}

// Submission is a job as its caller submits it.
type Submission struct {
	Key Key
	// Kind names a job kind of the configuration.
	Kind string
	// Deadline is the time from submission to answer; 0 takes the job kind's.
	Deadline rattanjson.Duration `json:",omitempty"`
	// Tasks has 1 to MaxTasks elements.
	Tasks []Task
	// ReceivedDigest is the digest of the body as its caller sent it; 0 means
	// that Digest computes it. Encoding a submission again may change the
	// spaces and escapes of payloads, and with them the computed digest.
	ReceivedDigest uint64 `json:"-"`
}

// Check returns ErrSubmission with the key at fault, or nil.
func (s *Submission) Check() error {
	if len(s.Key.Epoch.Home.Instance) == 0 {
		return invalid("Key: required, get one from POST /v1/keys")
	}
	return s.CheckBody()
}

// CheckBody checks everything but the submission key.
func (s *Submission) CheckBody() error {
	switch {
	case s.Kind == "":
		return invalid("Kind: required")
	case s.Deadline < 0 || s.Deadline.Std() > MaxDeadline:
		return invalid("Deadline: %v, want 0s to %v", s.Deadline, MaxDeadline)
	case len(s.Tasks) == 0 || len(s.Tasks) > MaxTasks:
		return invalid("Tasks: %d tasks, want 1 to %d", len(s.Tasks), MaxTasks)
	}
	for i, task := range s.Tasks {
		if task.RunTime < 0 || task.RunTime.Std() > MaxDeadline {
			return invalid("Tasks[%d].RunTime: %v, want 0s to %v", i, task.RunTime, MaxDeadline)
		}
	}
	return nil
}

// Digest returns a hash of everything in the submission but the key. Two
// submissions with one key and different digests are in conflict.
func (s *Submission) Digest() uint64 {
	if s.ReceivedDigest != 0 {
		return s.ReceivedDigest
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(s.Kind)
	_, _ = digest.WriteString("\x00" + s.Deadline.String())
	for _, task := range s.Tasks {
		_, _ = digest.WriteString("\x00" + task.RunTime.String() + "\x00")
		_, _ = digest.Write(task.Payload)
	}
	return digest.Sum64()
}

func invalid(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrSubmission)
}
