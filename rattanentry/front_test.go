package rattanentry

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// FuzzParseSubmission guards against a body that crashes a front, that is
// accepted although it breaks a rule, that loses its key on the way to the
// home, or that is refused without a reason.
func FuzzParseSubmission(f *testing.F) {
	key := rattanjob.Key{Epoch: rattanjob.EpochID{Home: rattanjob.Incarnation{Instance: "buda-1", Number: 1}, Number: 1}}.String()
	for _, body := range []string{
		``, `{`, `null`, `[]`, `{"Key":""}`, `{"Key":"x","Kind":"list","Tasks":[{}]}`,
		`{"Key":"` + key + `","Kind":"list","Tasks":[{"Payload":{"a": "<>"}}]}`,
		`{"Key":"` + key + `","Kind":"list","Tasks":[{"Payload":1,"RunTime":"-1s"}]}`,
		`{"Key":"` + key + `","Kind":"list","Kind":"other","Tasks":[]}`,
		`{"Key":"` + key + `","Kind":"list","Tasks":[{}],"More":1}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c := qt.New(t)
		request, refusal := parseSubmission(body)
		if refusal != nil {
			c.Assert(request, qt.IsNil)
			c.Assert(refusal.Reason, qt.Equals, rattanjob.ReasonInvalid)
			c.Assert(refusal.Detail, qt.Not(qt.Equals), "")
			return
		}
		if request.Fault != nil {
			c.Assert(request.Fault.Detail, qt.Not(qt.Equals), "")
		} else {
			c.Assert(request.Submission.Check(), qt.IsNil)
		}
		// The home must read what the front sends, with the same digest.
		data, err := json.Marshal(request)
		c.Assert(err, qt.IsNil)
		received := &forwarded{}
		c.Assert(json.Unmarshal(data, received), qt.IsNil)
		c.Assert(received.Key, qt.DeepEquals, request.Key)
		c.Assert(received.Digest, qt.Equals, request.Digest)
		c.Assert(received.Submission.Tasks, qt.HasLen, len(request.Submission.Tasks))
	})
}
