package rattanbench

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// TestJSONFields guards the field names that docs/design.md specifies for
// `rattanlever bench --json`, and the encoding of a figure that was not measured.
func TestJSONFields(t *testing.T) {
	report := Report{Runs: []Row{{Name: "Listaforge", Policy: ProductPolicy, Seed: 1, WastedPerTask: Figure(math.NaN())}}}
	var out bytes.Buffer
	qt.Assert(t, rattanjson.Write(&out, report), qt.IsNil)
	var decoded map[string][]map[string]any
	qt.Assert(t, json.Unmarshal(out.Bytes(), &decoded), qt.IsNil)
	qt.Assert(t, decoded, qt.HasLen, 1)
	var names []string
	for name := range decoded["Runs"][0] {
		names = append(names, name)
	}
	slices.Sort(names)
	qt.Assert(t, names, qt.DeepEquals, []string{
		"CrestDeadlineMet", "CrestGoodput", "DoubleStarts", "FairnessRatio", "FalseNotRun", "MedianSlowdown", "Name", "P99Slowdown",
		"PartialAnswers", "PlatformReadsPerSecond", "PlatformWritesPerSecond", "Policy", "Seed", "ShortWaitRatio", "WastedPerTask",
	})
	qt.Assert(t, decoded["Runs"][0]["WastedPerTask"], qt.IsNil)
}

// TestPageIsSelfContained guards against a page that loads resources from the
// network, includes unescaped names or contains NaN.
func TestPageIsSelfContained(t *testing.T) {
	row := Row{Name: "Listaforge", Policy: "<Product>", Seed: 1}
	row.details.slowdown.ratios = []float64{1, 2, 3}
	row.details.peak.timeline = []float64{0.5, 1}
	var out bytes.Buffer
	qt.Assert(t, Report{Runs: []Row{row}}.WritePage(&out), qt.IsNil)
	text := out.String()
	qt.Assert(t, strings.Count(text, "<svg"), qt.Equals, 6)
	for _, reference := range []string{"http://", "https://", "<script", "<link", "src=", "<Product>", "NaN"} {
		qt.Assert(t, strings.Contains(text, reference), qt.IsFalse, qt.Commentf("%s", reference))
	}
}
