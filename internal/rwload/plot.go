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
	p := plot.New()
	p.Title.Text = "Latencies"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "share of events"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	err := plotutil.AddLines(p,
		"first token", distribution(l.tally.first),
		"between events", distribution(l.tally.gap),
		"longest gap", distribution(l.tally.stall))
	if err != nil {
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
