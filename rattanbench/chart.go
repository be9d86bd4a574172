package rattanbench

import (
	"fmt"
	"html/template"
	"math"
	"slices"
	"strings"
	"time"
)

// Sizes of a chart in pixels.
const (
	chartWidth   = 560
	chartHeight  = 300
	marginLeft   = 50
	marginRight  = 12
	marginTop    = 24
	marginBottom = 36
	plotWidth    = chartWidth - marginLeft - marginRight
	plotHeight   = chartHeight - marginTop - marginBottom
)

// chartColours are the line colours by index of the series; the first one is
// that of the product's policy.
var chartColours = []string{"#c0392b", "#7f8c8d", "#2980b9", "#27ae60", "#8e44ad"}

// point is a data point in the units of the axes.
type point struct{ x, y float64 }

// series is one line of a chart.
type series struct {
	name   string
	points []point
}

// chart is a line chart.
type chart struct {
	title, xLabel string
	// logX makes the x axis logarithmic; all x values must then be above 0.
	logX   bool
	series []series
	// verticalMarkers are the x values of vertical marker lines.
	verticalMarkers []float64
	// horizontalMarkers are the y values of horizontal marker lines.
	horizontalMarkers []float64
	yMax              float64
}

// svg renders the chart as an SVG element.
func (c chart) svg() template.HTML {
	var b strings.Builder
	low, high := c.xRange()
	fmt.Fprintf(&b, `<svg width="%d" height="%d" role="img" aria-label="%s">`, chartWidth, chartHeight, template.HTMLEscapeString(c.title))
	fmt.Fprintf(&b, `<text x="%d" y="15" class="title">%s</text>`, marginLeft, template.HTMLEscapeString(c.title))
	fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%d" height="%d" class="frame"/>`, marginLeft, marginTop, plotWidth, plotHeight)
	fmt.Fprintf(&b, `<text x="%d" y="%d" class="label" text-anchor="middle">%s</text>`, marginLeft+plotWidth/2, chartHeight-4, template.HTMLEscapeString(c.xLabel))
	c.drawTicks(&b, low, high)
	for _, x := range c.verticalMarkers {
		pixel := c.xPixel(x, low, high)
		fmt.Fprintf(&b, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" class="marker"/>`, pixel, pixel, marginTop, marginTop+plotHeight)
	}
	for _, y := range c.horizontalMarkers {
		pixel := c.yPixel(y)
		fmt.Fprintf(&b, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" class="marker"/>`, marginLeft, marginLeft+plotWidth, pixel, pixel)
	}
	for i, line := range c.series {
		c.drawLine(&b, line, chartColours[i%len(chartColours)], low, high)
	}
	b.WriteString(`</svg>`)
	return template.HTML(b.String())
}

func (c chart) xRange() (low, high float64) {
	low, high = math.Inf(1), math.Inf(-1)
	for _, line := range c.series {
		for _, p := range line.points {
			low, high = min(low, p.x), max(high, p.x)
		}
	}
	for _, x := range c.verticalMarkers {
		low, high = min(low, x), max(high, x)
	}
	if math.IsInf(low, 1) {
		return 1, 2
	}
	if low >= high {
		high = low + 1
	}
	return low, high
}

func (c chart) xPixel(x, low, high float64) float64 {
	if c.logX {
		x, low, high = math.Log10(x), math.Log10(low), math.Log10(high)
	}
	return marginLeft + (x-low)/(high-low)*plotWidth
}

func (c chart) yPixel(y float64) float64 {
	return marginTop + plotHeight - min(y/c.yMax, 1)*plotHeight
}

func (c chart) drawTicks(b *strings.Builder, low, high float64) {
	const steps = 4
	for i := range steps + 1 {
		y := c.yMax * float64(i) / steps
		fmt.Fprintf(b, `<text x="%d" y="%.1f" class="label" text-anchor="end">%.3g</text>`, marginLeft-4, c.yPixel(y)+4, y)
	}
	for _, x := range c.xTicks(low, high) {
		pixel := c.xPixel(x, low, high)
		fmt.Fprintf(b, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" class="grid"/>`, pixel, pixel, marginTop, marginTop+plotHeight)
		fmt.Fprintf(b, `<text x="%.1f" y="%d" class="label" text-anchor="middle">%.4g</text>`, pixel, marginTop+plotHeight+14, x)
	}
}

func (c chart) xTicks(low, high float64) []float64 {
	var ticks []float64
	if c.logX {
		for exponent := math.Floor(math.Log10(low)); exponent <= math.Log10(high); exponent++ {
			for _, digit := range []float64{1, 2, 5} {
				x := digit * math.Pow(10, exponent)
				if x >= low && x <= high {
					ticks = append(ticks, x)
				}
			}
		}
		return ticks
	}
	step := math.Pow(10, math.Floor(math.Log10(high-low)))
	if (high-low)/step < 4 {
		step /= 2
	}
	for x := math.Ceil(low/step) * step; x <= high; x += step {
		ticks = append(ticks, x)
	}
	return ticks
}

func (c chart) drawLine(b *strings.Builder, line series, colour string, low, high float64) {
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="`, colour)
	for _, p := range line.points {
		fmt.Fprintf(b, "%.1f,%.1f ", c.xPixel(p.x, low, high), c.yPixel(p.y))
	}
	fmt.Fprintf(b, `"><title>%s</title></polyline>`, template.HTMLEscapeString(line.name))
}

// distribution returns the cumulative distribution of the values as a line with
// a fixed number of points. Values below floor count as floor.
func distribution(name string, values []float64, floor float64) series {
	const steps = 200
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	line := series{name: name}
	for i := range steps {
		if len(sorted) == 0 {
			break
		}
		position := (i + 1) * len(sorted) / steps
		value := sorted[max(position-1, 0)]
		line.points = append(line.points, point{x: max(value, floor), y: float64(i+1) / steps})
	}
	return line
}

// toSeconds converts durations for charts.
func toSeconds(values []time.Duration) []float64 {
	converted := make([]float64, len(values))
	for i, value := range values {
		converted[i] = value.Seconds()
	}
	return converted
}
