package rattanbench

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"

	"github.com/juju/errors"
)

// pageText is the template of a page without references to other files.
const pageText = `<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>rattanlever bench</title>
<style>
body { font: 14px sans-serif; margin: 24px; color: #222; }
table { border-collapse: collapse; margin: 8px 0 16px; }
td, th { border: 1px solid #ccc; padding: 2px 8px; text-align: right; }
td:first-child, th:first-child { text-align: left; }
.missed { background: #fadbd8; }
.title { font-size: 13px; font-weight: bold; }
.label { font-size: 10px; fill: #555; }
.frame { fill: none; stroke: #999; }
.grid { stroke: #eee; }
.marker { stroke: #222; stroke-dasharray: 4 3; }
</style></head><body>
<h1>rattanlever bench</h1>
<p>{{.Mode}}. Figures that miss their target are shaded. Response times are measured from the scheduled arrival. {{.Warning}}</p>
{{range .Groups}}<h2>{{.Title}}</h2>
<table><tr>{{range .Header}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Target}}</td>{{range .Cells}}<td{{if .Missed}} class="missed"{{end}}>{{.Text}}</td>{{end}}</tr>
{{end}}</table>
<p>{{range .Legend}}<span style="color:{{.Colour}}">&#9632; {{.Name}}</span> {{end}}</p>
{{range .Charts}}{{.}}{{end}}
{{end}}</body></html>
`

var pageTemplate = template.Must(template.New("page").Parse(pageText))

type page struct {
	Mode    string
	Warning string
	Groups  []pageGroup
}

type pageGroup struct {
	Title  string
	Header []string
	Rows   []pageRow
	Legend []pageLegendEntry
	Charts []template.HTML
}

type pageRow struct {
	Name, Target string
	Cells        []pageCell
}

type pageCell struct {
	Text   string
	Missed bool
}

type pageLegendEntry struct{ Name, Colour string }

// WritePage writes an HTML page with the figures and charts. The page loads
// nothing from the network.
func (r Report) WritePage(w io.Writer) error {
	content := page{Mode: r.mode, Warning: r.warning()}
	for _, group := range r.groups() {
		content.Groups = append(content.Groups, newPageGroup(group))
	}
	return errors.Annotate(pageTemplate.Execute(w, content), "write the report as an HTML page")
}

func newPageGroup(runs []Row) pageGroup {
	group := pageGroup{
		Title:  fmt.Sprintf("%s, seed %d", runs[0].Name, runs[0].Seed),
		Header: []string{"measure", "target"},
	}
	for i, run := range runs {
		group.Header = append(group.Header, run.Policy)
		group.Legend = append(group.Legend, pageLegendEntry{Name: run.Policy, Colour: chartColours[i%len(chartColours)]})
	}
	for _, m := range measures() {
		row := pageRow{Name: m.name, Target: m.formatTarget()}
		for _, run := range runs {
			figure := m.figure(run)
			missed := !math.IsNaN(float64(figure)) && !m.met(figure)
			row.Cells = append(row.Cells, pageCell{Text: figure.String(), Missed: missed})
		}
		group.Rows = append(group.Rows, row)
	}
	for _, info := range infoRows() {
		row := pageRow{Name: info.name}
		for _, run := range runs {
			row.Cells = append(row.Cells, pageCell{Text: strings.TrimSpace(info.value(run.details))})
		}
		group.Rows = append(group.Rows, row)
	}
	for _, c := range charts(runs) {
		group.Charts = append(group.Charts, c.svg())
	}
	return group
}

func charts(runs []Row) []chart {
	slowdownChart := chart{title: "Job response time relative to the ideal scheduler (distribution)", xLabel: "slowdown", logX: true, yMax: 1}
	peakChart := chart{title: "Goodput around the load peak, relative to capacity", xLabel: "seconds", yMax: 1.1, horizontalMarkers: []float64{1}}
	shortAloneChart := chart{title: "Wait of short tasks, without long tasks (distribution)", xLabel: "seconds", logX: true, yMax: 1}
	shortWithLongChart := chart{title: "Wait of short tasks, with long tasks (distribution)", xLabel: "seconds", logX: true, yMax: 1}
	othersAloneChart := chart{title: "Response time of the other callers, without a greedy caller (distribution)", xLabel: "seconds", logX: true, yMax: 1}
	othersWithGreedyChart := chart{title: "Response time of the other callers, with a greedy caller (distribution)", xLabel: "seconds", logX: true, yMax: 1}
	floor := waitFloor.Seconds()
	for _, run := range runs {
		d := run.details
		slowdownChart.series = append(slowdownChart.series, distribution(run.Policy, d.slowdown.ratios, 0.5))
		peakChart.series = append(peakChart.series, timelineSeries(run.Policy, d.peak))
		shortAloneChart.series = append(shortAloneChart.series, distribution(run.Policy, toSeconds(d.shortAlone), floor))
		shortWithLongChart.series = append(shortWithLongChart.series, distribution(run.Policy, toSeconds(d.shortWithLong), floor))
		othersAloneChart.series = append(othersAloneChart.series, distribution(run.Policy, toSeconds(d.othersAlone), floor))
		othersWithGreedyChart.series = append(othersWithGreedyChart.series, distribution(run.Policy, toSeconds(d.othersWithGreedy), floor))
	}
	return []chart{slowdownChart, peakChart, shortAloneChart, shortWithLongChart, othersAloneChart, othersWithGreedyChart}
}

func timelineSeries(name string, peak peakMeasures) series {
	line := series{name: name}
	for i, goodput := range peak.timeline {
		line.points = append(line.points, point{x: (float64(i) + 0.5) * timelineBin.Seconds(), y: goodput})
	}
	return line
}
