package ctl

import (
	"html/template"
	"io"
	"time"

	"gonum.org/v1/plot"

	"plantainrelay/internal/burn"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/servicelevel"
)

// burnPageTemplate is the template of a self-contained HTML page: it refers to
// no other file.
var burnPageTemplate = template.Must(template.New("burn").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em auto; max-width: 75em; color: #222; }
table { border-collapse: collapse; font-size: 85%; }
th, td { padding: 0.25em 0.6em; border-bottom: 1px solid #ccc; text-align: left; }
td.n, th.n { text-align: right; font-variant-numeric: tabular-nums; }
.missing { background: #fde0dc; padding: 0.6em; font-weight: bold; }
tr.page td { background: #fde0dc; }
tr.ticket td { background: #fff4d6; }
figure { margin: 1.5em 0; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>{{.At}}; sum over {{len .Entries}} entries: {{range $i, $e := .Entries}}{{if $i}}, {{end}}{{$e}}{{end}}.</p>
{{if .Unreachable}}<p class="missing">Not reached, their counts are missing: {{range $i, $e := .Unreachable}}{{if $i}}, {{end}}{{$e}}{{end}}.</p>{{end}}
<p>A burn rate of 1 uses up the error budget exactly at the end of its period. An objective pages at a burn rate of {{.PageRate}} over both 1h and 5m, and opens a ticket at 1 over both 3d and 6h.</p>
{{range .Plots}}<figure>{{.}}</figure>
{{end}}
<table>
<thead><tr><th>objective</th><th>customer</th><th>route</th><th>target</th><th class="n">events</th><th class="n">bad</th><th class="n">budget left</th>
{{range .Windows}}<th class="n">burn {{.Name}}</th>{{end}}<th>alert</th><th class="n">p50</th><th class="n">p95</th><th class="n">p99</th></tr></thead>
<tbody>
{{range .Rows}}<tr class="{{.Alert}}"><td>{{.Objective}}</td><td>{{.Customer}}</td><td>{{.Route}}</td><td>{{.Target}}</td><td class="n">{{.Events}}</td><td class="n">{{.Bad}}</td><td class="n">{{.BudgetLeft}}</td>
{{range .Rates}}<td class="n">{{.}}</td>{{end}}<td>{{.Alert}}</td><td class="n">{{.P50}}</td><td class="n">{{.P95}}</td><td class="n">{{.P99}}</td></tr>
{{end}}</tbody>
</table>
</body>
</html>
`))

type burnPageData struct {
	At                   string
	Entries, Unreachable []string
	PageRate             float64
	Windows              []burn.Window
	Plots                []template.HTML
	Rows                 []burnRow
}

func writeBurnPage(out io.Writer, report *servicelevel.FleetReport, now time.Time) error {
	rows, err := burnRows(&report.Report)
	if err != nil {
		return err
	}
	plots, err := burnPlots(&report.Report)
	if err != nil {
		return err
	}
	err = burnPageTemplate.Execute(out, burnPageData{
		At:          now.UTC().Format(time.RFC3339),
		Entries:     report.Entries,
		Unreachable: report.Unreachable,
		PageRate:    burn.PageRate,
		Windows:     burn.Windows,
		Plots:       plots,
		Rows:        rows,
	})
	return failure.Wrap(err, failure.Internal, "report this", "the page cannot be written")
}

func burnPlots(report *burn.Report) ([]template.HTML, error) {
	var elements []template.HTML
	for _, create := range []func() (*plot.Plot, error){
		func() (*plot.Plot, error) { return burnRatePlot(report) },
		func() (*plot.Plot, error) { return customerPlot(report, 1) },
		func() (*plot.Plot, error) { return durationPlot(report, burn.FirstToken, "Time to the first token") },
		func() (*plot.Plot, error) { return durationPlot(report, burn.BetweenTokens, "Time between tokens") },
	} {
		p, err := create()
		if err != nil {
			return nil, err
		}
		element, err := renderSVG(p)
		if err != nil {
			return nil, err
		}
		elements = append(elements, element)
	}
	return elements, nil
}
