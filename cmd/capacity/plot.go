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

const limitName = "limits: 2 KB/s and 2.3% of a core"

// draw plots the control cost of a host against the number of hosts, as parts of the limits, to a file whose ending
// says its format.
func draw(r record, file string) (err error) {
	defer func() { err = errors.Wrapf(err, "draw %s", file) }()
	p := plot.New()
	p.Title.Text = "Control cost of a host: messages as parts of their limits"
	p.X.Label.Text, p.Y.Label.Text = "hosts", "times the limit"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 9, Label: "9"}, {Value: 90, Label: "90"}, {Value: 900, Label: "900"}, {Value: targetNodes, Label: "4500"}}
	p.Y.Tick.Marker = plot.ConstantTicks{{Value: 0.01, Label: "0.01"}, {Value: 0.1, Label: "0.1"}, {Value: 1, Label: "1"}, {Value: 10, Label: "10"}, {Value: 100, Label: "100"}}
	p.Y.Min, p.Y.Max = 0.002, 500
	p.Legend.Top, p.Legend.Left, p.Legend.Padding = true, true, vg.Points(3)
	p.Add(plotter.NewGrid())
	bytesOf := func(parts []part) func(float64) (float64, error) {
		return func(n float64) (float64, error) { l, err := sum(parts, n, r); return l.bytes / limitBytes, err }
	}
	cpuOf := func(parts []part) func(float64) (float64, error) {
		return func(n float64) (float64, error) { l, err := sum(parts, n, r); return l.cpu / limitCPU, err }
	}
	for _, series := range []struct {
		name  string
		color color.RGBA
		at    func(n float64) (float64, error)
	}{
		{"bytes, as designed", color.RGBA{R: 200, G: 60, B: 20, A: 255}, bytesOf(designed)},
		{"bytes, with the proposed changes (projection)", color.RGBA{R: 20, G: 90, B: 180, A: 255}, bytesOf(changed)},
		{"CPU, as designed", color.RGBA{R: 220, G: 150, B: 0, A: 255}, cpuOf(designed)},
		{"CPU, with the proposed changes (projection)", color.RGBA{R: 30, G: 140, B: 60, A: 255}, cpuOf(changed)},
		{limitName, color.RGBA{A: 255}, func(float64) (float64, error) { return 1, nil }},
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
		if series.name == limitName {
			l.Dashes = []vg.Length{vg.Points(6), vg.Points(4)}
		}
		p.Add(l)
		p.Legend.Add(series.name, l)
	}
	return p.Save(8*vg.Inch, 5*vg.Inch, file)
}
