package rattanentry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanplan"
	"github.com/rattanlever/rattanlever/rattanplatform"
)

func discardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// lossyStore is a platform that loses the answer to the next write of the
// document, and applies laterChanges other changes before the writer reads
// again.
type lossyStore struct {
	c       *qt.C
	entries map[string]rattanplatform.Entry
	// loseNextAnswer says whether the answer to the next write of the document
	// is lost, and takesEffect whether a write with a lost answer is applied.
	loseNextAnswer, takesEffect bool
	laterChanges                int
}

func (s *lossyStore) Get(_ context.Context, key string) (rattanplatform.Entry, error) {
	entry, ok := s.entries[key]
	if !ok {
		return entry, rattanplatform.ErrNotFound
	}
	return entry, nil
}

func (s *lossyStore) Put(_ context.Context, key string, value []byte, ifRevision, _ int64) (int64, error) {
	entry := s.entries[key]
	lose := s.loseNextAnswer && key == rattanconfig.PlatformKey
	if entry.Revision != ifRevision {
		return 0, rattanplatform.ErrConflict
	}
	if !lose || s.takesEffect {
		s.set(key, value)
	}
	if !lose {
		return s.entries[key].Revision, nil
	}
	s.loseNextAnswer = false
	for range s.laterChanges {
		document, err := rattanconfig.Parse(s.entries[key].Value)
		s.c.Assert(err, qt.IsNil)
		document.Revision++
		document.RequestID = "other"
		s.setDocument(document)
	}
	return 0, rattanplatform.ErrUncertain
}

func (s *lossyStore) set(key string, value []byte) {
	s.entries[key] = rattanplatform.Entry{Value: value, Revision: s.entries[key].Revision + 1}
}

func (s *lossyStore) setDocument(document rattanconfig.Document) {
	value, err := rattanconfig.Encode(document)
	s.c.Assert(err, qt.IsNil)
	s.set(rattanconfig.PlatformKey, value)
}

// TestConfirmWithLostAnswer guards against a false conflict. A plan took
// effect, the answer to its write was lost, and another change followed: the
// operator must not be told that the plan had no effect. A certain conflict
// must still be reported as one.
func TestConfirmWithLostAnswer(t *testing.T) {
	for _, test := range []struct {
		name         string
		takesEffect  bool
		laterChanges int
		want         error
		status       int
	}{
		{"took effect", true, 0, nil, 0},
		{"took effect, then another change", true, 1, rattanplatform.ErrUncertain, http.StatusServiceUnavailable},
		{"no effect", false, 0, nil, 0},
		{"no effect, another change won", false, 1, rattanplan.ErrStale, http.StatusConflict},
		{"no effect, two other changes", false, 2, rattanplatform.ErrUncertain, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			store := &lossyStore{c: c, entries: map[string]rattanplatform.Entry{}, takesEffect: test.takesEffect, laterChanges: test.laterChanges}
			store.setDocument(*fakeDocuments{}.Document())
			plans := NewPlans(PlansConfig{
				Store:         store,
				Configuration: NewConfiguration(ConfigurationConfig{Logger: discardLogger(), OnInstalled: func(*rattanconfig.Document) {}}),
				CollectStatus: func(context.Context, time.Time) rattanplan.ClusterStatus { return rattanplan.ClusterStatus{} },
				Logger:        discardLogger(),
			})
			ctx := context.Background()
			plan, err := plans.Create(ctx, time.Now(), []byte(`{"Kind":"SetShare","Name":"app","Share":{"Weight":5}}`))
			c.Assert(err, qt.IsNil)
			store.loseNextAnswer = true
			_, err = plans.Confirm(ctx, time.Now(), plan.ID)
			if test.want == nil {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(planStatus(err), qt.Equals, test.status)
		})
	}
}
