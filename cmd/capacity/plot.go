package main

import (
	"image/color"
	"math"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// fleetSizes are the sizes at which the plot shows the cost.
var fleetSizes = []float64{9, 30, 90, 300, 900, 2000, targetNodes}

// draw plots the bytes per second of a host against the number of hosts, with the limit, to a file whose ending says
// its format.
func draw(r record, file string) (err error) {
	defer func() { err = errors.Wrapf(err, "draw %s", file) }()
	p := plot.New()
	p.Title.Text = "Control traffic of a host, in plus out"
	p.X.Label.Text, p.Y.Label.Text = "hosts", "bytes per second"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 9, Label: "9"}, {Value: 90, Label: "90"}, {Value: 900, Label: "900"}, {Value: targetNodes, Label: "4500"}}
	p.Y.Tick.Marker = plot.ConstantTicks{{Value: 500, Label: "500"}, {Value: 1000, Label: "1 KB"}, {Value: 2000, Label: "2 KB"}, {Value: 5000, Label: "5 KB"}, {Value: 10000, Label: "10 KB"}, {Value: 20000, Label: "20 KB"}, {Value: 50000, Label: "50 KB"}}
	p.Y.Min, p.Y.Max = 500, 50000
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	limit := func(float64) (float64, error) { return limitBytes, nil }
	for _, series := range []struct {
		name  string
		color color.RGBA
		at    func(n float64) (float64, error)
	}{
		{"as designed", color.RGBA{R: 200, G: 60, B: 20, A: 255}, func(n float64) (float64, error) { l, err := sum(designed, n, r); return l.bytes, err }},
		{"with the proposed changes (projection)", color.RGBA{R: 20, G: 90, B: 180, A: 255}, func(n float64) (float64, error) { l, err := sum(changed, n, r); return l.bytes, err }},
		{"limit: 2 KB/s", color.RGBA{A: 255}, limit},
	} {
		var points plotter.XYs
		for _, n := range fleetSizes {
			y, err := series.at(n)
			if err != nil {
				return err
			}
			points = append(points, plotter.XY{X: n, Y: math.Max(y, p.Y.Min)})
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		l.Color, l.Width = series.color, vg.Points(2)
		if series.name == "limit: 2 KB/s" {
			l.Dashes = []vg.Length{vg.Points(6), vg.Points(4)}
		}
		p.Add(l)
		p.Legend.Add(series.name, l)
	}
	return p.Save(8*vg.Inch, 5*vg.Inch, file)
}
