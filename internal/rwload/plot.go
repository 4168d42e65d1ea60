package rwload

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 6.4 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot draws the distributions of the load that was run into a file, whose ending
// (.png or .svg) says the form.
func (l *Load) Plot(file string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Draw(file, "Latencies", "events",
		Curve{"first token", l.tally.first}, Curve{"between events", l.tally.gap}, Curve{"longest gap", l.tally.stall})
}

// Curve is a distribution of times in microseconds.
type Curve struct {
	Name  string
	Times *hdrhistogram.Histogram
}

// Draw draws distributions of something into a file, whose ending (.png or .svg)
// says the form.
func Draw(file, title, of string, curves ...Curve) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "share of " + of
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	var lines []any
	for _, c := range curves {
		lines = append(lines, c.Name, distribution(c.Times))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.Save(plotWidth, plotHeight, file))
}

// distribution returns the points of a cumulative distribution.
func distribution(h *hdrhistogram.Histogram) plotter.XYs {
	const (
		perSecond = 1e6
		percent   = 100
	)
	var points plotter.XYs
	for _, b := range h.CumulativeDistribution() {
		if b.ValueAt > 0 {
			points = append(points, plotter.XY{X: float64(b.ValueAt) / perSecond, Y: b.Quantile / percent})
		}
	}
	if len(points) == 0 {
		points = plotter.XYs{{X: 1 / perSecond, Y: 0}}
	}
	return points
}
