// Package crcapacity measures the cost of a call through nodes and the control overhead of nodes, with real control instances
// and nodes in one process. docs/CAPACITY.md extrapolates from its results.
package crcapacity

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// Summary is the median, minimum and maximum of a metric over its rounds.
type Summary struct{ Median, Low, High float64 }

// Summarize returns the Summary of values, the zero Summary if there are none.
func Summarize(values []float64) Summary {
	if len(values) == 0 {
		return Summary{}
	}
	v := slices.Sorted(slices.Values(values))
	return Summary{Median: v[len(v)/2], Low: v[0], High: v[len(v)-1]}
}

// String formats the summary as MEDIAN (LOW to HIGH).
func (s Summary) String() string {
	return fmt.Sprintf("%.3f (%.3f to %.3f)", s.Median, s.Low, s.High)
}

// Line is a straight line fitted by least squares.
type Line struct {
	Slope, Intercept float64
	// Residual is the largest vertical distance of a point from the line.
	Residual float64
}

// Fit returns the line fitted to the points (x, y). With fewer than two distinct x it is a horizontal line at the mean of y.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	if n == 0 {
		return Line{}
	}
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	l := Line{Intercept: sy / n}
	if d := n*sxx - sx*sx; d != 0 {
		l.Slope = (n*sxy - sx*sy) / d
		l.Intercept = (sy - l.Slope*sx) / n
	}
	for i := range x {
		l.Residual = max(l.Residual, math.Abs(y[i]-l.Intercept-l.Slope*x[i]))
	}
	return l
}

// String formats the line as INTERCEPT + SLOPE n, with the largest residual.
func (l Line) String() string {
	return fmt.Sprintf("%.4g + %.4g n (largest residual %.3g)", l.Intercept, l.Slope, l.Residual)
}

// quantile returns the q-quantile of sorted durations.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// writeTable prints rows in aligned columns; the first row is the header.
func writeTable(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		for i, cell := range r {
			if i > 0 {
				_, _ = io.WriteString(t, "\t")
			}
			_, _ = io.WriteString(t, cell)
		}
		_, _ = io.WriteString(t, "\n")
	}
	return t.Flush()
}
