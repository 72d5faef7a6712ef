package ctl

import (
	"bytes"
	"html/template"
	"image/color"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"plantainrelay/internal/burn"
	"plantainrelay/internal/failure"
)

const (
	plotWidth  = 11 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 16
	lineWidth  = 1.5
	// headroom is the share of a plot's height that is kept free for the
	// legend.
	headroom = 0.4
	// labelRotation is the rotation of long labels, in radians.
	labelRotation = 0.4
	// minMillis is the lower bound of the time axis, in milliseconds. Its
	// logarithmic scale cannot show 0.
	minMillis = 0.1
)

// palette holds colours that readers with red-green colour blindness can tell
// apart.
var palette = []color.RGBA{
	{R: 0, G: 114, B: 178, A: 255}, {R: 230, G: 159, B: 0, A: 255}, {R: 0, G: 158, B: 115, A: 255},
	{R: 204, G: 121, B: 167, A: 255}, {R: 86, G: 180, B: 233, A: 255}, {R: 213, G: 94, B: 0, A: 255},
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	sans := font.Font{Typeface: "Liberation", Variant: "Sans"}
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	for _, style := range []*draw.TextStyle{&p.Title.TextStyle, &p.X.Label.TextStyle, &p.Y.Label.TextStyle, &p.X.Tick.Label, &p.Y.Tick.Label, &p.Legend.TextStyle} {
		style.Font = font.From(sans, style.Font.Size)
	}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// renderSVG renders the plot as an inline SVG element.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", failure.Wrap(err, failure.Internal, "report this", "a plot cannot be rendered")
	}
	text := out.String()
	// An XML declaration is not allowed inside an HTML page. Marking the text
	// as HTML is safe, because the library escapes the labels.
	return template.HTML(text[max(strings.Index(text, "<svg"), 0):]), nil
}

// burnRatePlot shows the highest burn rate of each objective in each window.
func burnRatePlot(report *burn.Report) (*plot.Plot, error) {
	p := newPlot("Highest burn rate by objective", "window", "burn rate")
	highest := map[burn.Objective]plotter.Values{}
	var objectives []burn.Objective
	for i := range report.Lines {
		line := &report.Lines[i]
		if highest[line.Objective] == nil {
			highest[line.Objective] = make(plotter.Values, len(burn.Windows))
			objectives = append(objectives, line.Objective)
		}
		for window := range line.Windows {
			highest[line.Objective][window] = max(highest[line.Objective][window], line.BurnRate(window))
		}
	}
	for i, objective := range objectives {
		offset := vg.Length(float64(i)-float64(len(objectives)-1)/2) * barWidth
		if err := addBars(p, string(objective), highest[objective], offset, palette[i%len(palette)]); err != nil {
			return nil, err
		}
	}
	names := make([]string, len(burn.Windows))
	for i, window := range burn.Windows {
		names[i] = window.Name
	}
	p.NominalX(names...)
	return p, addAlertThresholds(p, len(names))
}

// addAlertThresholds draws the alert thresholds and leaves room for the legend.
func addAlertThresholds(p *plot.Plot, names int) error {
	if err := addHorizontalLine(p, "budget", burn.TicketRate, float64(names), color.Black); err != nil {
		return err
	}
	if err := addHorizontalLine(p, "page", burn.PageRate, float64(names), palette[len(palette)-1]); err != nil {
		return err
	}
	p.Y.Min, p.Y.Max = 0, p.Y.Max*(1+headroom)
	return nil
}

// customerPlot shows the burn rate of each customer's availability budget.
func customerPlot(report *burn.Report, window int) (*plot.Plot, error) {
	p := newPlot("Availability by customer, window "+burn.Windows[window].Name, "customer", "burn rate")
	rates := map[string]float64{}
	var names []string
	for i := range report.Lines {
		line := &report.Lines[i]
		if line.Objective != burn.Availability {
			continue
		}
		if _, known := rates[line.Customer]; !known {
			names = append(names, line.Customer)
		}
		rates[line.Customer] = max(rates[line.Customer], line.BurnRate(window))
	}
	values := make(plotter.Values, len(names))
	for i, name := range names {
		values[i] = rates[name]
	}
	if len(values) == 0 {
		return p, nil
	}
	if err := addBars(p, "highest rate of all routes", values, 0, palette[0]); err != nil {
		return nil, err
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = labelRotation
	p.X.Tick.Label.XAlign = draw.XRight
	return p, addAlertThresholds(p, len(names))
}

func addBars(p *plot.Plot, name string, values plotter.Values, offset vg.Length, fill color.Color) error {
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "report this", "the bars of %s cannot be plotted", name)
	}
	bars.Offset, bars.Color = offset, fill
	bars.LineStyle.Width = 0
	p.Add(bars)
	p.Legend.Add(name, bars)
	return nil
}

// percentiles are the points on the curves of durationPlot.
var percentiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9, 100}

// durationPlot shows the distribution of an objective's durations by customer
// and route.
func durationPlot(report *burn.Report, objective burn.Objective, title string) (*plot.Plot, error) {
	p := newPlot(title, "percentile", "milliseconds")
	var bound float64
	drawn := 0
	for i := range report.Lines {
		line := &report.Lines[i]
		if line.Objective != objective {
			continue
		}
		points, err := percentilePoints(line)
		if err != nil {
			return nil, err
		}
		if len(points) == 0 {
			continue
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return nil, failure.Wrap(err, failure.Internal, "report this", "the durations cannot be plotted")
		}
		curve.Color = palette[drawn%len(palette)]
		curve.Width = vg.Points(lineWidth)
		curve.Dashes = dashPattern(drawn / len(palette))
		p.Add(curve)
		p.Legend.Add(line.Customer+" "+line.Route, curve)
		bound = float64(line.Target.Bound.Microseconds()) / 1000
		drawn++
	}
	p.Legend.Left = true
	p.X.Min, p.X.Max = 0, 100
	if drawn == 0 {
		return p, nil
	}
	if err := addHorizontalLine(p, "objective", bound, 100, color.Black); err != nil {
		return nil, err
	}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min = minMillis
	p.Y.Max = max(p.Y.Max, 10*minMillis) * math.Pow(p.Y.Max/minMillis, headroom)
	return p, nil
}

// dashPattern returns a dash pattern that tells curves of the same colour apart.
// style is how often the palette was used up before the curve.
func dashPattern(style int) []vg.Length {
	if style == 0 {
		return nil
	}
	return []vg.Length{vg.Points(float64(2 + 3*style)), vg.Points(2)}
}

func percentilePoints(line *burn.Line) (plotter.XYs, error) {
	histogram, err := line.DecodeHistogram()
	if err != nil || histogram == nil {
		return nil, err
	}
	points := make(plotter.XYs, len(percentiles))
	for i, percentile := range percentiles {
		points[i] = plotter.XY{X: percentile, Y: max(minMillis, float64(burn.DurationAtPercentile(histogram, percentile).Microseconds())/1000)}
	}
	return points, nil
}

// addHorizontalLine draws a dashed line at height y, up to width on the
// horizontal axis, and lists it in the legend.
func addHorizontalLine(p *plot.Plot, name string, y, width float64, stroke color.Color) error {
	level, err := plotter.NewLine(plotter.XYs{{X: -0.5, Y: y}, {X: width, Y: y}})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "report this", "the line of %s cannot be plotted", name)
	}
	level.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	level.Width, level.Color = vg.Points(lineWidth), stroke
	p.Add(level)
	p.Legend.Add(name, level)
	return nil
}
