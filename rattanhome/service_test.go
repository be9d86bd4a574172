package rattanhome

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// soleMember is a Membership with a local home only.
type soleMember struct{ home *Home }

func (m soleMember) LastHeard(string) (time.Time, int64) { return time.Time{}, 0 }

func (m soleMember) LocalHome() *Home { return m.home }

// TestMalformedRequests guards against requests of other instances that the
// scheduler cannot cope with.
func TestMalformedRequests(t *testing.T) {
	c := qt.New(t)
	home := newTestHome(c, newFakeTargets(time.Millisecond))
	service := NewService("self", soleMember{home}, time.Now)
	tests := map[string]*rattanwork.Job{
		"no job":           nil,
		"no steps":         {ID: "00000000000000aa"},
		"no tasks":         {ID: "00000000000000aa", Steps: []rattanwork.Step{{Count: 0}}},
		"negative count":   {ID: "00000000000000aa", Steps: []rattanwork.Step{{Count: -1}}},
		"unknown step":     {ID: "00000000000000aa", Steps: []rattanwork.Step{{Count: 1, After: []int{3}}}},
		"depends on later": {ID: "00000000000000aa", Steps: []rattanwork.Step{{Count: 1, After: []int{1}}, {Count: 1}}},
	}
	for name, job := range tests {
		body, err := json.Marshal(Request{Submitter: "other", Job: job})
		c.Assert(err, qt.IsNil)
		_, err = service.onSubmit(context.Background(), "other", body)
		c.Check(err, qt.ErrorIs, rattanwork.ErrMalformedJob, qt.Commentf("%s", name))
	}
	for _, body := range []string{"", "{", "[]", `{"Job":7}`, "null"} {
		_, err := service.onSubmit(context.Background(), "other", []byte(body))
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", body))
	}
	for _, body := range []string{"", "{", "[]", `{"JobID":7}`} {
		_, err := service.onCancel(context.Background(), "other", []byte(body))
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", body))
	}
}
