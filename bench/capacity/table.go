package main

import (
	"fmt"
	"io"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// series is one quantity measured at several sizes.
type series struct {
	name string
	// variedBy names what was varied; unit is that of y.
	variedBy, unit string
	x, y           []float64
	// target is the size that the project is designed for, to which y is
	// extrapolated; 0 when only the cost per unit matters.
	target float64
}

func (s *series) add(x, y float64) {
	s.x = append(s.x, x)
	s.y = append(s.y, y)
}

// results holds all series in the order of their first values.
type results struct {
	series []*series
}

func (r *results) add(name, by, unit string, target, x, y float64) {
	for _, s := range r.series {
		if s.name == name && s.variedBy == by {
			s.add(x, y)
			return
		}
	}
	s := &series{name: name, variedBy: by, unit: unit, target: target}
	s.add(x, y)
	r.series = append(r.series, s)
}

// write prints the measured values and the line fitted to them.
func (r *results) write(out io.Writer) {
	fmt.Fprintln(out, "| quantity | by | measured (size: value) | slope | at size 0 | R² | at target, extrapolated |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range r.series {
		offset, slope := stat.LinearRegression(s.x, s.y, nil, false)
		fit := stat.RSquared(s.x, s.y, nil, offset, slope)
		var measured []string
		for i := range s.x {
			measured = append(measured, fmt.Sprintf("%g: %.4g", s.x[i], s.y[i]))
		}
		atTarget := ""
		if s.target > 0 {
			atTarget = fmt.Sprintf("%.4g %s at %g", offset+slope*s.target, s.unit, s.target)
		}
		fmt.Fprintf(out, "| %s, %s | %s | %s | %.4g | %.4g | %.3f | %s |\n", s.name, s.unit, s.variedBy,
			strings.Join(measured, ", "), slope, offset, fit, atTarget)
	}
}
