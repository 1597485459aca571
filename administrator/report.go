// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package administrator

import (
	"bytes"
	"net/http"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/reporter"
)

func (a *Administrator) report(w http.ResponseWriter, r *http.Request) {
	rep, complete := a.opts.Control.Report()
	a.render(w, r, http.StatusOK, "report.html", "Service delivered", ReportAnswer{Complete: complete, Report: rep})
}

// plot draws the time to first token of each workspace and class.
func (a *Administrator) plot(w http.ResponseWriter, _ *http.Request) {
	rep, _ := a.opts.Control.Report()
	svg, err := drawReport(rep)
	if err != nil {
		a.opts.Log.Error().Err(err).Msg(logger.PageFailed)
		http.Error(w, "plot not drawn", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "image/svg+xml")
	_, _ = w.Write(svg)
}

// Size of the plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// drawReport draws the cumulative distribution of the time to first token for each workspace and
// class.
func drawReport(rep reporter.Report) ([]byte, error) {
	p := plot.New()
	p.Title.Text = "Time to first token"
	p.X.Label.Text = "seconds (logarithmic)"
	p.Y.Label.Text = "share of answers"
	p.Y.Min, p.Y.Max = 0, 1
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.X.Min = reporter.Bounds[0].Seconds()
	p.X.Max = reporter.Bounds[len(reporter.Bounds)-1].Seconds()
	for i := range rep.Rows {
		line, err := plotter.NewLine(cumulative(&rep.Rows[i].Counts))
		if err != nil {
			return nil, err
		}
		line.Color = palette[i%len(palette)]
		p.Add(line)
		p.Legend.Add(rep.Rows[i].Workspace+" "+rep.Rows[i].Class, line)
	}
	p.Legend.Left = false
	p.Legend.Top = false
	wt, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	_, err = wt.WriteTo(&buf)
	return buf.Bytes(), err
}

// cumulative returns the cumulative distribution of the time to first token.
func cumulative(c *reporter.Counts) plotter.XYs {
	var total, sum uint64
	for _, v := range c.FirstToken {
		total += v
	}
	xys := make(plotter.XYs, len(reporter.Bounds))
	for i, b := range reporter.Bounds {
		if i < len(c.FirstToken) {
			sum += c.FirstToken[i]
		}
		xys[i].X = b.Seconds()
		if total > 0 {
			xys[i].Y = float64(sum) / float64(total)
		}
	}
	return xys
}
