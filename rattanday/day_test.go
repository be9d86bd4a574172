package rattanday

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

const validDay = `{"Length": "2s",
"Zones": [{"Name": "a", "Targets": 1, "MilliCPU": [1000], "Speeds": [1], "JobsPerSecond": 10}],
"Kinds": [{"Name": "k", "Share": 1, "MinTasks": 1, "MaxTasks": 2, "MilliCPU": 500, "RunTime": "10ms", "DeclaredFactor": 1,
"Latency": "10ms", "Slack": 2, "Timeout": "1s", "Worth": 1}]`

// TestRead guards against days that are played although a key is missing or wrong,
// and against errors that do not name the key.
func TestRead(t *testing.T) {
	tests := map[string]struct {
		content string
		err     string
	}{
		"valid":         {dayWith(""), ""},
		"burst":         {dayWith(`, "Bursts": [{"At": "1s", "For": "1s", "Factor": 2, "Zone": "a", "Kind": "k"}]`), ""},
		"unknown zone":  {dayWith(`, "Bursts": [{"For": "1s", "Factor": 2, "Zone": "b"}]`), `.*day.json: Bursts\[0\]: Zone: no such zone`},
		"evacuation":    {dayWith(`, "Evacuations": [{"Zone": "a", "At": "1s"}]`), ""},
		"no such zone":  {dayWith(`, "Evacuations": [{"Zone": "b", "At": "1s"}]`), `.*day.json: Evacuations\[0\]: Zone: no such zone`},
		"evacuated at":  {dayWith(`, "Evacuations": [{"Zone": "a", "At": "-1s"}]`), `.*day.json: .*At.*`},
		"unknown key":   {dayWith(`, "Weather": 1`), `.*day.json: .*Weather.*`},
		"empty":         {"{}", `.*day.json: Length: must be positive`},
		"no zone":       {`{"Length": "1s"}`, `.*day.json: Zones: must not be empty`},
		"zone unnamed":  {`{"Length": "1s", "Zones": [{}], "Kinds": [{}]}`, `.*day.json: Zones\[0\]: Name: must not be empty`},
		"not JSON":      {"{", `.*day.json: line 1, column 2: .*`},
		"swing, no end": {`{"Length": "1s", "Zones": [{"Name": "a", "Targets": 1, "MilliCPU": [1], "Speeds": [1], "Swing": 0.5}], "Kinds": [{}]}`, `.*day.json: Zones\[0\]: Period: .*`},
		"kind":          {`{"Length": "1s", "Zones": [{"Name": "a", "Targets": 1, "MilliCPU": [1], "Speeds": [1]}], "Kinds": [{"Name": "k", "Share": 1}]}`, `.*day.json: Kinds\[0\]: MinTasks: .*`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			path := filepath.Join(t.TempDir(), "day.json")
			c.Assert(os.WriteFile(path, []byte(test.content), 0o600), qt.IsNil)
			_, err := Read(path)
			if test.err == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, test.err)
		})
	}
}

// dayWith returns a valid day with further keys.
func dayWith(keys string) string {
	return validDay + keys + "}"
}
