package rattanlog

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// TestFormatterWritesJSON guards against lines that are not valid JSON because
// of the types or characters of their values.
func TestFormatterWritesJSON(t *testing.T) {
	c := qt.New(t)
	entry := &logrus.Entry{
		Time:    time.Date(2026, 7, 10, 16, 23, 14, 5e6, time.UTC),
		Level:   logrus.WarnLevel,
		Message: "job \"ended\"\n",
		Data: logrus.Fields{
			"Int": 7, "Int64": int64(1) << 52, "Float": 1.25, "Text": "a\\b\x01é\xff", "Error": errors.New("bad"),
			"List": []string{"x", "y"}, "Wait": 1500 * time.Millisecond, "Flag": true, "Nothing": nil,
		},
	}
	line, err := Formatter{}.Format(entry)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Count(string(line), "\n"), qt.Equals, 1)
	var fields map[string]any
	c.Assert(json.Unmarshal(line, &fields), qt.IsNil)
	c.Assert(fields, qt.DeepEquals, map[string]any{
		"Time": "2026-07-10T16:23:14.005Z", "Level": "warning", "Message": "job \"ended\"\n",
		"Int": 7.0, "Int64": float64(int64(1) << 52), "Float": 1.25, "Text": "a\\b\x01é\ufffd", "Error": "bad",
		"List": []any{"x", "y"}, "Wait": "1.5s", "Flag": true, "Nothing": nil,
	})
	_, err = Formatter{}.Format(&logrus.Entry{Data: logrus.Fields{"Channel": make(chan int)}})
	c.Assert(err, qt.ErrorMatches, "field Channel: .*")
}

// BenchmarkFormatter compares Formatter with the JSON formatter of logrus on
// the log line of a request.
func BenchmarkFormatter(b *testing.B) {
	for name, formatter := range map[string]logrus.Formatter{"Own": Formatter{}, "Logrus": &logrus.JSONFormatter{}} {
		b.Run(name, func(b *testing.B) {
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			logger.SetFormatter(formatter)
			b.ReportAllocs()
			for b.Loop() {
				logger.WithFields(logrus.Fields{
					"Job": "5c0e7a21d94b36f8", "Route": "r-1", "Status": 200, "Reason": "complete", "Home": "front-buda-1",
					"Zone": "buda", "Presented": 1, "ElapsedMS": 83.217, "Desired": int64(412),
				}).Info("request answered")
			}
		})
	}
}
