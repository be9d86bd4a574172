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

// The size of a plot and of the space for its labels, in SVG units.
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
	// Over marks a burn rate above 1.
	Over  bool
	Label string
}

type gridLine struct {
	Y     float64
	Label string
	// Allowed marks the burn rate of 1.
	Allowed bool
}

// Page returns the report as one HTML page with plots. The page loads nothing,
// so it opens without a network.
func (s Snapshot) Page() ([]byte, error) {
	data := pageData{At: s.At.UTC().Format(time.RFC3339), Revision: s.Revision, Instances: s.Instances}
	for _, window := range Windows {
		data.Windows = append(data.Windows, shortSpan(window))
	}
	for _, name := range s.Names() {
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
		Remaining:    fmt.Sprintf("%.1f%%", 100*o.Remaining()),
		RemainingBar: 100 * min(max(o.Remaining(), 0), 1),
		Bad:          o.Budget.Bad(),
		Total:        o.Budget.Total,
		Since:        o.Since.UTC().Format(time.RFC3339),
		Contributors: o.Contributors[:min(len(o.Contributors), maxShown)],
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

func (o ObjectiveCounts) plot(title string, series Series) plot {
	top := 2.0
	for _, counts := range series.Counts {
		top = max(top, o.rate(counts))
	}
	top = niceCeiling(top)
	height := float64(plotHeight - plotTop - plotBottom)
	scaled := func(rate float64) float64 { return height * rate / top }
	drawn := plot{
		Title: title, Width: plotWidth, Height: plotHeight, Left: plotLeft, Right: plotWidth,
		Bottom: plotTop + height, LabelY: plotHeight - 6,
		FirstTime: series.time(0), LastTime: series.time(len(series.Counts)),
	}
	for _, rate := range []float64{0, top / 2, top} {
		drawn.Lines = append(drawn.Lines, gridLine{Y: drawn.Bottom - scaled(rate), Label: fmt.Sprintf("%.4g", rate)})
	}
	// The line of the allowed rate has no label of its own, which could overlap
	// the others; its dashes are explained at the top of the page.
	drawn.Lines = append(drawn.Lines, gridLine{Y: drawn.Bottom - scaled(1), Allowed: true})
	step := float64(plotWidth-plotLeft) / float64(max(len(series.Counts), 1))
	for i, counts := range series.Counts {
		if counts.Bad() == 0 {
			continue
		}
		rate := o.rate(counts)
		drawn.Bars = append(drawn.Bars, bar{
			X: plotLeft + float64(i)*step, Y: drawn.Bottom - scaled(rate), Width: step * 0.85, Height: scaled(rate),
			Over:  rate > 1,
			Label: fmt.Sprintf("%s: burn rate %.2f, %d of %d bad", series.time(i), rate, counts.Bad(), counts.Total),
		})
	}
	return drawn
}

// time returns the start of a period, in UTC.
func (s Series) time(period int) string {
	return time.Unix(0, (s.First+int64(period))*int64(s.Width)).UTC().Format("2 Jan 15:04")
}

// niceCeiling returns the smallest of 2, 4 or 10 times a power of ten that is
// not below the value.
func niceCeiling(value float64) float64 {
	power := math.Pow(10, math.Floor(math.Log10(value)))
	for _, factor := range []float64{1, 2, 4} {
		if value <= factor*power {
			return factor * power
		}
	}
	return 10 * power
}
