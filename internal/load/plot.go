package load

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// WritePlot plots the latency of each lane by percentile to an image file. The extension of the file
// name determines the image format.
func (r *Report) WritePlot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("latency from the intended start, %.0f requests/s offered", r.Offered)
	p.X.Label.Text = "nines of the percentile"
	p.Y.Label.Text = "milliseconds"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	var lines []any
	for _, lane := range r.Lanes {
		if points := lane.points(); len(points) > 1 {
			lines = append(lines, lane.Name, points)
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("load: no lane has enough completed requests to plot")
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("load: plot: %w", err)
	}
	p.Legend.Top, p.Legend.Left = true, true
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("load: plot: %w", err)
	}
	return nil
}

// points returns the latency in milliseconds at 0, 0.1, 0.2, ... nines: 1 nine is 90 %,
// 2 nines are 99 %. It ends at the percentile that the number of recorded latencies resolves.
func (l *Lane) points() plotter.XYs {
	var points plotter.XYs
	maxNines := math.Log10(float64(l.latencies.TotalCount()))
	for nines := 0.0; nines <= maxNines; nines += 0.1 {
		quantile := 100 * (1 - math.Pow(10, -nines))
		micros := l.latencies.ValueAtQuantile(quantile)
		points = append(points, plotter.XY{X: nines, Y: float64(max(micros, 1)) / 1000})
	}
	return points
}
