package rattanfront

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSubmissionIsSettledByItsOwnAnswerOnly guards against an answer to one submission that is taken for one to another.
func TestSubmissionIsSettledByItsOwnAnswerOnly(t *testing.T) {
	const settled, unsettled = true, false
	type submitted struct {
		token   int64
		settled bool
	}
	tests := map[string]struct {
		submissions []submitted
		unsettled   int
		// first is the first of these, others the number of homes other than the one
		// with token 9.
		first  int64
		others int
	}{
		"none":                         {nil, 0, 0, 0},
		"settled":                      {[]submitted{{9, settled}, {9, settled}, {7, settled}}, 0, 3, 0},
		"unsettled before settled":     {[]submitted{{9, unsettled}, {9, settled}, {9, settled}}, 1, 1, 0},
		"settled between unsettled":    {[]submitted{{7, unsettled}, {8, settled}, {7, unsettled}}, 2, 1, 1},
		"home again after another one": {[]submitted{{7, unsettled}, {8, unsettled}, {7, unsettled}, {9, unsettled}}, 4, 1, 2},
		"unsettled after settled":      {[]submitted{{9, settled}, {9, unsettled}}, 1, 2, 0},
		"settled at another home":      {[]submitted{{9, unsettled}, {7, settled}}, 1, 1, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var history submissionHistory
			for i, submission := range test.submissions {
				history.begin(submission.token, int64(i+1))
				if submission.settled {
					history.settleLast()
				}
			}
			c.Check(history.total, qt.Equals, len(test.submissions))
			c.Check(history.unsettledCount(), qt.Equals, test.unsettled)
			c.Check(history.first, qt.Equals, test.first)
			c.Check(history.otherHomes(9), qt.Equals, test.others)
			history.settleAll()
			c.Check(history.unsettledCount(), qt.Equals, 0)
		})
	}
}
