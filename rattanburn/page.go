package rattanburn

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"math"
	"time"

	"github.com/juju/errors"
)

// Size of a plot and its margins, in SVG units.
const (
	plotWidth  = 560
	plotHeight = 150
	plotLeft   = 40
	plotBottom = 22
	plotTop    = 8
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// pageData holds the values that the template page.html displays.
type pageData struct {
	At         string
	Revision   uint64
	Instances  int
	Windows    []string
	Objectives []pageObjective
}

type pageObjective struct {
	Name         string
	Description  string
	Severity     Severity
	Remaining    string
	RemainingBar float64
	Bad          uint64
	Total        uint64
	Since        string
	Rates        []string
	Contributors []Contributor
	Plots        []plot
}

// plot is a bar chart of burn rates, in SVG coordinates.
type plot struct {
	Title         string
	Width, Height int
	Left, Right   int
	Bottom        float64
	Bars          []bar
	Lines         []gridLine
	FirstTime     string
	LastTime      string
	LabelY        int
}

type bar struct {
	X, Y, Width, Height float64
	// Over is set for a burn rate above 1.
	Over  bool
	Label string
}

type gridLine struct {
	Y     float64
	Label string
	// Allowed is set for the line at a burn rate of 1.
	Allowed bool
}

// Page returns the report as an HTML page with plots. The page loads no
// external resources, so that it can be viewed offline.
func (s Snapshot) Page() ([]byte, error) {
	data := pageData{At: s.At.UTC().Format(time.RFC3339), Revision: s.Revision, Instances: s.Instances}
	for _, window := range Windows {
		data.Windows = append(data.Windows, formatSpan(window))
	}
	for _, name := range s.ObjectiveNames() {
		data.Objectives = append(data.Objectives, s.Objectives[name].page(name))
	}
	var page bytes.Buffer
	if err := pageTemplate.Execute(&page, data); err != nil {
		return nil, errors.Trace(err)
	}
	return page.Bytes(), nil
}

func (o ObjectiveCounts) page(name string) pageObjective {
	page := pageObjective{
		Name:         name,
		Description:  o.describe(),
		Severity:     o.Severity(),
		Remaining:    fmt.Sprintf("%.1f%%", 100*o.RemainingBudget()),
		RemainingBar: 100 * min(max(o.RemainingBudget(), 0), 1),
		Bad:          o.Budget.Bad(),
		Total:        o.Budget.Total,
		Since:        o.Since.UTC().Format(time.RFC3339),
		Contributors: o.Contributors[:min(len(o.Contributors), maxShownContributors)],
	}
	for i := range Windows {
		page.Rates = append(page.Rates, fmt.Sprintf("%.2f", o.BurnRate(i)))
	}
	page.Plots = []plot{
		o.plot("Burn rate in the last hour, by minute", o.LastHour),
		o.plot("Burn rate in the last 3 days, by hour", o.LastDays),
	}
	return page
}

// plot returns the bar chart of the burn rates in a series.
func (o ObjectiveCounts) plot(title string, series Series) plot {
	maxRate := 2.0
	for _, counts := range series.Counts {
		maxRate = max(maxRate, o.burnRate(counts))
	}
	maxRate = niceCeiling(maxRate)
	height := float64(plotHeight - plotTop - plotBottom)
	barHeight := func(rate float64) float64 { return height * rate / maxRate }
	chart := plot{
		Title: title, Width: plotWidth, Height: plotHeight, Left: plotLeft, Right: plotWidth,
		Bottom: plotTop + height, LabelY: plotHeight - 6,
		FirstTime: series.formatStart(0), LastTime: series.formatStart(len(series.Counts)),
	}
	for _, rate := range []float64{0, maxRate / 2, maxRate} {
		chart.Lines = append(chart.Lines, gridLine{Y: chart.Bottom - barHeight(rate), Label: fmt.Sprintf("%.4g", rate)})
	}
	// The line at a burn rate of 1 has no label, which could overlap the
	// others. The dashed style is explained at the top of the page.
	chart.Lines = append(chart.Lines, gridLine{Y: chart.Bottom - barHeight(1), Allowed: true})
	barSpacing := float64(plotWidth-plotLeft) / float64(max(len(series.Counts), 1))
	for i, counts := range series.Counts {
		if counts.Bad() == 0 {
			continue
		}
		rate := o.burnRate(counts)
		chart.Bars = append(chart.Bars, bar{
			X: plotLeft + float64(i)*barSpacing, Y: chart.Bottom - barHeight(rate), Width: barSpacing * 0.85, Height: barHeight(rate),
			Over:  rate > 1,
			Label: fmt.Sprintf("%s: burn rate %.2f, %d of %d bad", series.formatStart(i), rate, counts.Bad(), counts.Total),
		})
	}
	return chart
}

// formatStart returns the start time of a period in UTC.
func (s Series) formatStart(period int) string {
	return time.Unix(0, (s.First+int64(period))*int64(s.Width)).UTC().Format("2 Jan 15:04")
}

// niceCeiling returns the smallest number that is 1, 2, 4 or 10 times a power
// of ten and not less than the value.
func niceCeiling(value float64) float64 {
	power := math.Pow(10, math.Floor(math.Log10(value)))
	for _, factor := range []float64{1, 2, 4} {
		if value <= factor*power {
			return factor * power
		}
	}
	return 10 * power
}
