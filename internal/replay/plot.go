package replay

import (
	"fmt"

	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Size of the image.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 20 * vg.Centimeter
)

// Plot draws the load imbalance and the moved keys of the first divided service over time, and
// writes them to a PNG file.
func (r Report) Plot(path string) error {
	if len(r.Services) == 0 {
		return fmt.Errorf("replay: plot: report has no divided service")
	}
	load, moved := plot.New(), plot.New()
	load.Title.Text = fmt.Sprintf("%s, %s, seed %d", r.Deployment, r.Recipe, r.Seed)
	load.Y.Label.Text, load.X.Label.Text = "load, max over mean", "minutes"
	moved.Y.Label.Text, moved.X.Label.Text = "keys moved", "minutes"
	moved.Legend.Top, moved.Legend.Left = true, true
	service := r.Services[0]
	for j, m := range service.Methods {
		var loads, counts plotter.XYs
		for _, s := range r.Samples {
			if s.Service != service.Service {
				continue
			}
			minutes := float64(s.At) / 60_000
			loads = append(loads, plotter.XY{X: minutes, Y: s.LoadMaxOverMean[j]})
			counts = append(counts, plotter.XY{X: minutes, Y: float64(s.KeysMoved[j])})
		}
		if err := addLine(load, j, "", loads); err != nil {
			return err
		}
		if err := addLine(moved, j, m.Method, counts); err != nil {
			return err
		}
	}
	return save(path, load, moved)
}

// addLine adds a line in the color of the method with the given index. A line without a name is
// not in the legend.
func addLine(p *plot.Plot, method int, name string, points plotter.XYs) error {
	l, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("replay: plot: %w", err)
	}
	l.Color = plotutil.Color(method)
	p.Add(l)
	if name != "" {
		p.Legend.Add(name, l)
	}
	return nil
}

// save draws the plots one below the other and writes them to a PNG file.
func save(path string, plots ...*plot.Plot) error {
	rows := make([][]*plot.Plot, len(plots))
	for i, p := range plots {
		rows[i] = []*plot.Plot{p}
	}
	img := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1}
	for i, row := range plot.Align(rows, tiles, draw.New(img)) {
		plots[i].Draw(row[0])
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("replay: plot: %w", err)
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(file); err != nil {
		_ = file.Close()
		return fmt.Errorf("replay: plot: %w", err)
	}
	return file.Close()
}
