// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// plotColors are the line colors, used in turn.
var plotColors = []color.Color{
	color.RGBA{A: 0xff},
	color.RGBA{R: 0xb0, G: 0x3a, B: 0x2e, A: 0xff},
	color.RGBA{R: 0x1f, G: 0x4e, B: 0x79, A: 0xff},
	color.RGBA{R: 0x2e, G: 0x7d, B: 0x32, A: 0xff},
	color.RGBA{R: 0x8e, G: 0x44, B: 0xad, A: 0xff},
	color.RGBA{R: 0xc7, G: 0x7c, B: 0x02, A: 0xff},
	color.RGBA{R: 0x45, G: 0x5a, B: 0x64, A: 0xff},
}

// WritePlot plots the cumulative distribution of the time to first token of one
// class, with a line for each policy. The extension of path selects the format:
// svg, png or pdf.
func WritePlot(path string, results []Result, class int) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Time to first token, %s", results[0].Classes[class].Class)
	p.X.Label.Text = "seconds (logarithmic)"
	p.Y.Label.Text = "share of requests"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.YOffs = 10
	for i, r := range results {
		line, err := plotter.NewLine(quantilePoints(r.Classes[class].FirstToken))
		if err != nil {
			return err
		}
		line.Color = plotColors[i%len(plotColors)]
		line.Dashes = dashes(i / len(plotColors))
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

// dashes returns the dash pattern of the n-th round of colors.
func dashes(n int) []vg.Length {
	if n == 0 {
		return nil
	}
	return []vg.Length{vg.Points(float64(3 * n)), vg.Points(2)}
}

// quantileSteps is the number of points of a line.
const quantileSteps = 200

func quantilePoints(h *Histogram) plotter.XYs {
	xys := make(plotter.XYs, quantileSteps)
	for i := range xys {
		q := (float64(i) + 0.5) / quantileSteps
		xys[i].X = max(h.Quantile(q).Seconds(), 1e-4)
		xys[i].Y = q
	}
	return xys
}
