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
	// MaxBodySize is the maximum size of the request body in bytes.
	MaxBodySize = 4 << 20
)

// ErrInvalidSubmission is returned for a submission that violates the format.
const ErrInvalidSubmission = errors.ConstError("invalid submission")

// Task is a unit of work of a job.
type Task struct {
	// Payload is passed to the target unchanged.
	Payload json.RawMessage
	// RunTime is the declared run time, used as an initial estimate; 0 means
	// unknown.
	RunTime rattanjson.Duration `json:",omitempty"`
}

// Submission is a job as submitted by its caller.
type Submission struct {
	Key Key
	// Kind is the name of a job kind of the configuration.
	Kind string
	// Deadline is the time from the submission to the answer; 0 means the
	// deadline of the job kind.
	Deadline rattanjson.Duration `json:",omitempty"`
	// Tasks has 1 to MaxTasks elements.
	Tasks []Task
	// ReceivedDigest is the digest of the body as sent by the caller; 0 means
	// that Digest computes it. Encoding a submission again may change the white
	// space and escape sequences of payloads, and thereby the computed digest.
	ReceivedDigest uint64 `json:"-"`
}

// Check validates the submission. It returns ErrInvalidSubmission with the name
// of the invalid key.
func (s *Submission) Check() error {
	if len(s.Key.Epoch.Home.Instance) == 0 {
		return invalidSubmission("Key: required, get one from POST /v1/keys")
	}
	return s.CheckBody()
}

// CheckBody validates everything except the submission key.
func (s *Submission) CheckBody() error {
	switch {
	case s.Kind == "":
		return invalidSubmission("Kind: required")
	case s.Deadline < 0 || s.Deadline.Std() > MaxDeadline:
		return invalidSubmission("Deadline: %v, want 0s to %v", s.Deadline, MaxDeadline)
	case len(s.Tasks) == 0 || len(s.Tasks) > MaxTasks:
		return invalidSubmission("Tasks: %d tasks, want 1 to %d", len(s.Tasks), MaxTasks)
	}
	for i, task := range s.Tasks {
		if task.RunTime < 0 || task.RunTime.Std() > MaxDeadline {
			return invalidSubmission("Tasks[%d].RunTime: %v, want 0s to %v", i, task.RunTime, MaxDeadline)
		}
	}
	return nil
}

// Digest returns a hash of the whole submission except the key. Two submissions
// with the same key but different digests conflict.
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

func invalidSubmission(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrInvalidSubmission)
}
