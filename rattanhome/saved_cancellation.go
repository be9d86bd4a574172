package rattanhome

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattancancel"
)

// MethodSaveCancellation is the method by which an instance has a cancellation saved
// for the case that all instances are lost.
const MethodSaveCancellation = "SaveCancellation"

// CancellationSaver saves cancellations. It returns once one is saved.
type CancellationSaver interface {
	Save(ctx context.Context, cancellation rattancancel.Cancellation, now time.Time) error
}

// SaveCancellation saves a cancellation. Only homes do so, which keeps the number of
// writes independent of that of the instances.
func (s *Service) SaveCancellation(ctx context.Context, cancellation CallerCancellation) error {
	if s.config.Saver == nil {
		return rattancancel.ErrNotSaved
	}
	if !s.isHome() {
		return errNotHome
	}
	now, id := s.config.Clock(), cancellation.JobID
	if s.config.Cancellations.Saved(id, now) {
		return nil
	}
	known, _ := s.config.Cancellations.Known(id, now)
	if err := s.config.Saver.Save(ctx, rattancancel.Cancellation{JobID: id, Known: known || cancellation.Known}, now); err != nil {
		return err
	}
	s.config.Cancellations.SetSaved(id, now)
	return nil
}

func (s *Service) onSaveCancellation(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var cancellation CallerCancellation
	if err := json.Unmarshal(body, &cancellation); err != nil {
		return nil, errors.Annotate(err, "cancellation to save")
	}
	return []byte("{}"), s.SaveCancellation(ctx, cancellation)
}
