package rattancmd

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestExplain guards against an explanation that lacks the cause of an answer or
// includes lines about other requests.
func TestExplain(t *testing.T) {
	const other = `{"Job":"00000000000000bb","Message":"request answered","Reason":"complete","Status":200,"Presented":1,"Time":"2026-12-04T08:00:00Z"}` + "\n"
	tests := map[string]struct {
		log  string
		want []string
	}{
		"refused": {
			`  1.5 front-a {"Job":"00000000000000aa","Message":"request answered","Reason":"cannot start in time","Status":503,"Presented":1,"Home":"front-b","ElapsedMS":80,"Time":"2026-12-04T08:00:01Z"}` + "\n" +
				`{"Job":"00000000000000aa","Message":"job ended","Outcome":"Refused","Reason":"cannot start in time","Tasks":8,"Time":"2026-12-04T08:00:00Z"}` + "\n",
			[]string{"home: Refused", "status 503", "cause: cannot start in time; no task was started"},
		},
		"presented again": {
			`{"Job":"00000000000000aa","Message":"request answered","Reason":"complete","Status":200,"Presented":2,"Time":"2026-12-04T08:00:01Z"}` + "\n",
			[]string{"cause: complete; the job was presented 2 times"},
		},
		"failed runs": {
			`{"Job":"00000000000000aa","Message":"job ended","Outcome":"Failed","Reason":"a task failed too often","Tasks":1,"Runs":3,"Failures":3,"History":["a run"],"Time":"2026-12-04T08:00:00Z"}` + "\n" +
				`{"Job":"00000000000000aa","Message":"request answered","Reason":"a task failed too often","Status":200,"Presented":1,"Time":"2026-12-04T08:00:01Z"}` + "\n",
			[]string{"    a run", "cause: a task failed too often; 3 runs were needed for 1 tasks"},
		},
		"crashing task": {
			`{"Job":"00000000000000aa","Message":"run lost","Task":"00000000000000aa.0.0.1","Target":"t1","Attempt":2,"Proof":"Silent","Silent":1,"Crashed":1,"Time":"2026-12-04T08:00:00Z"}` + "\n" +
				`{"Job":"00000000000000aa","Message":"request answered","Reason":"targets crashed under a task","Status":200,"Presented":1,"Time":"2026-12-04T08:00:01Z"}` + "\n",
			[]string{"home: attempt 2 of 00000000000000aa.0.0.1 lost with target t1 (Silent); targets lost under the task: 1 silent, 1 crashed", "cause: targets crashed under a task"},
		},
		"versions differ": {
			`{"Job":"00000000000000aa","Message":"desired states differ","Submitter":"front-a","Submitted":8,"Own":6,"Accepted":false,"Time":"2026-12-04T08:00:00Z"}` + "\n" +
				`{"Job":"00000000000000aa","Message":"request answered","Reason":"no such queue","Status":404,"Presented":0,"Time":"2026-12-04T08:00:01Z"}` + "\n",
			[]string{"home: submitted by front-a with desired state 8, own 6; both went on with the newer one", "cause: no such queue"},
		},
		"odd lines": {
			`{"Job":"00000000000000aa","Message":"job ended","History":` + strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000) + "}\n" +
				`{"Job":"00000000000000aa","Message":"job ended","Runs":1e400}` + "\nnull 00000000000000aa\n" +
				`{"Job":"00000000000000aa","Message":"request answered","Reason":"complete","Status":200,"Presented":1,"Time":"2026-12-04T08:00:01Z"}` + "\n",
			[]string{"cause: complete"},
		},
		"front missing": {
			`{"Job":"00000000000000aa","Message":"job ended","Outcome":"Cancelled","Reason":"cancelled","Time":"2026-12-04T08:00:00Z"}` + "\n",
			[]string{"no front logged an answer"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			code, out, errOut := invoke(other+test.log, "explain", "00000000000000aa")
			c.Assert(code, qt.Equals, 0, qt.Commentf("%s", errOut))
			for _, want := range test.want {
				c.Check(out, qt.Contains, want)
			}
			c.Check(out, qt.Not(qt.Contains), "00000000000000bb")
		})
	}
	c := qt.New(t)
	code, _, errOut := invoke(other, "explain", "00000000000000aa")
	c.Assert(code, qt.Equals, 1)
	c.Assert(errOut, qt.Contains, "00000000000000aa")
}
