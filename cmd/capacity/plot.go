package main

import (
	"image/color"
	"math"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// plottedHostCounts are the fleet sizes for which the plot shows the cost.
var plottedHostCounts = []float64{9, 30, 90, 300, 900, 2000, targetHosts}

const limitName = "limits: 2 KB/s and 2.3% of a core"

// drawPlot plots the cost of a host's control traffic, relative to the limits, against the number of hosts. The extension
// of file determines the image format.
func drawPlot(r benchmarkResults, file string) (err error) {
	defer func() { err = errors.Wrapf(err, "draw %s", file) }()
	p := plot.New()
	p.Title.Text = "Control cost of a host: messages as parts of their limits"
	p.X.Label.Text, p.Y.Label.Text = "hosts", "times the limit"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 9, Label: "9"}, {Value: 90, Label: "90"}, {Value: 900, Label: "900"}, {Value: targetHosts, Label: "4500"}}
	p.Y.Tick.Marker = plot.ConstantTicks{{Value: 0.01, Label: "0.01"}, {Value: 0.1, Label: "0.1"}, {Value: 1, Label: "1"}, {Value: 10, Label: "10"}, {Value: 100, Label: "100"}}
	p.Y.Min, p.Y.Max = 0.002, 500
	p.Legend.Top, p.Legend.Left, p.Legend.Padding = true, true, vg.Points(3)
	p.Add(plotter.NewGrid())
	bytesShare := func(parts []trafficComponent) func(float64) (float64, error) {
		return func(n float64) (float64, error) { l, err := sumCosts(parts, n, r); return l.bytes / limitBytes, err }
	}
	cpuShare := func(parts []trafficComponent) func(float64) (float64, error) {
		return func(n float64) (float64, error) { l, err := sumCosts(parts, n, r); return l.cpu / limitCPU, err }
	}
	for _, series := range []struct {
		name  string
		color color.RGBA
		value func(n float64) (float64, error)
	}{
		{"bytes, as designed", color.RGBA{R: 200, G: 60, B: 20, A: 255}, bytesShare(designedTraffic)},
		{"bytes, with the proposed changes (projection)", color.RGBA{R: 20, G: 90, B: 180, A: 255}, bytesShare(proposedTraffic)},
		{"CPU, as designed", color.RGBA{R: 220, G: 150, B: 0, A: 255}, cpuShare(designedTraffic)},
		{"CPU, with the proposed changes (projection)", color.RGBA{R: 30, G: 140, B: 60, A: 255}, cpuShare(proposedTraffic)},
		{limitName, color.RGBA{A: 255}, func(float64) (float64, error) { return 1, nil }},
	} {
		var points plotter.XYs
		for _, n := range plottedHostCounts {
			y, err := series.value(n)
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
