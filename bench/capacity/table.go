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
	// by names what was varied; unit is that of y.
	by, unit string
	x, y     []float64
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
	list []*series
}

func (r *results) add(name, by, unit string, target, x, y float64) {
	for _, one := range r.list {
		if one.name == name && one.by == by {
			one.add(x, y)
			return
		}
	}
	one := &series{name: name, by: by, unit: unit, target: target}
	one.add(x, y)
	r.list = append(r.list, one)
}

// write prints the measured values and the line fitted to them.
func (r *results) write(out io.Writer) {
	fmt.Fprintln(out, "| quantity | by | measured (size: value) | slope | at size 0 | R² | at target, extrapolated |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, one := range r.list {
		offset, slope := stat.LinearRegression(one.x, one.y, nil, false)
		fit := stat.RSquared(one.x, one.y, nil, offset, slope)
		var measured []string
		for i := range one.x {
			measured = append(measured, fmt.Sprintf("%g: %.4g", one.x[i], one.y[i]))
		}
		atTarget := ""
		if one.target > 0 {
			atTarget = fmt.Sprintf("%.4g %s at %g", offset+slope*one.target, one.unit, one.target)
		}
		fmt.Fprintf(out, "| %s, %s | %s | %s | %.4g | %.4g | %.3f | %s |\n", one.name, one.unit, one.by,
			strings.Join(measured, ", "), slope, offset, fit, atTarget)
	}
}
