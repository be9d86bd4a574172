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

func quietLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// losingStore is a platform that loses the answer to the next write of the
// document, and makes followers of it before the writer reads again.
type losingStore struct {
	c       *qt.C
	entries map[string]rattanplatform.Entry
	// loses and takesEffect say what happens to the next write.
	loses, takesEffect bool
	followers          int
}

func (s *losingStore) Get(_ context.Context, key string) (rattanplatform.Entry, error) {
	entry, ok := s.entries[key]
	if !ok {
		return entry, rattanplatform.ErrNotFound
	}
	return entry, nil
}

func (s *losingStore) Put(_ context.Context, key string, value []byte, ifRevision, _ int64) (int64, error) {
	entry := s.entries[key]
	lose := s.loses && key == rattanconfig.PlatformKey
	if entry.Revision != ifRevision {
		return 0, rattanplatform.ErrConflict
	}
	if !lose || s.takesEffect {
		s.set(key, value)
	}
	if !lose {
		return s.entries[key].Revision, nil
	}
	s.loses = false
	for range s.followers {
		document, err := rattanconfig.Parse(s.entries[key].Value)
		s.c.Assert(err, qt.IsNil)
		document.Revision++
		document.RequestID = "other"
		s.setDocument(document)
	}
	return 0, rattanplatform.ErrUncertain
}

func (s *losingStore) set(key string, value []byte) {
	s.entries[key] = rattanplatform.Entry{Value: value, Revision: s.entries[key].Revision + 1}
}

func (s *losingStore) setDocument(document rattanconfig.Document) {
	value, err := rattanconfig.Encode(document)
	s.c.Assert(err, qt.IsNil)
	s.set(rattanconfig.PlatformKey, value)
}

// Guards operators against a false conflict: a plan that took effect, whose
// answer was lost and that another change followed, must not be reported as one
// that did not take effect. A conflict that is certain is reported as one.
func TestConfirmWithLostAnswer(t *testing.T) {
	for _, test := range []struct {
		name        string
		takesEffect bool
		followers   int
		want        error
		status      int
	}{
		{"took effect", true, 0, nil, 0},
		{"took effect, then another change", true, 1, rattanplatform.ErrUncertain, http.StatusServiceUnavailable},
		{"no effect", false, 0, nil, 0},
		{"no effect, another change won", false, 1, rattanplan.ErrStale, http.StatusConflict},
		{"no effect, two other changes", false, 2, rattanplatform.ErrUncertain, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			store := &losingStore{c: c, entries: map[string]rattanplatform.Entry{}, takesEffect: test.takesEffect, followers: test.followers}
			store.setDocument(*fakeDocuments{}.Document())
			plans := NewPlans(PlansConfig{
				Store:         store,
				Configuration: NewConfiguration(ConfigurationConfig{Logger: quietLogger(), Installed: func(*rattanconfig.Document) {}}),
				Facts:         func(context.Context, time.Time) rattanplan.ClusterStatus { return rattanplan.ClusterStatus{} },
				Logger:        quietLogger(),
			})
			ctx := context.Background()
			plan, err := plans.Make(ctx, time.Now(), []byte(`{"Kind":"SetShare","Name":"app","Share":{"Weight":5}}`))
			c.Assert(err, qt.IsNil)
			store.loses = true
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
