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

// Plot draws the latency distributions of the finished load into a file. The
// file's extension, .png or .svg, selects the format.
func (l *Load) Plot(file string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Draw(file, "Latencies", "events",
		Curve{"first token", l.tally.firstToken}, Curve{"between events", l.tally.gap}, Curve{"longest gap", l.tally.longestGap})
}

// Curve is a named distribution of times in microseconds.
type Curve struct {
	Name  string
	Times *hdrhistogram.Histogram
}

// Draw plots cumulative distributions into a file; population names what was
// counted. The file's extension, .png or .svg, selects the format.
func Draw(file, title, population string, curves ...Curve) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "share of " + population
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	var lines []any
	for _, c := range curves {
		lines = append(lines, c.Name, cumulativePoints(c.Times))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.Save(plotWidth, plotHeight, file))
}

// cumulativePoints returns the cumulative distribution of h, with times in seconds.
func cumulativePoints(h *hdrhistogram.Histogram) plotter.XYs {
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
