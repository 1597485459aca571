// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// FleetScene is what befalls a fleet.
type FleetScene string

// The scenes, in the order in which they are played.
const (
	FleetStart   FleetScene = "Start"   // FleetStart starts all hosts for the first time, within 0.3 s.
	FleetIdle    FleetScene = "Idle"    // FleetIdle lets time pass.
	FleetChange  FleetScene = "Change"  // FleetChange writes a configuration.
	FleetStorm   FleetScene = "Storm"   // FleetStorm changes a fortieth of the upstreams' entries.
	FleetSeries  FleetScene = "Series"  // FleetSeries stops hosts and starts them again, one after the other.
	FleetZone    FleetScene = "Zone"    // FleetZone kills all hosts of an availability zone for good.
	FleetKillAll FleetScene = "KillAll" // FleetKillAll kills all hosts; they are back after a second.
)

// FleetScenes are all of them.
var FleetScenes = []FleetScene{FleetStart, FleetIdle, FleetChange, FleetStorm, FleetSeries, FleetZone, FleetKillAll}

// FleetOptions describe a fleet in virtual time.
type FleetOptions struct {
	Hosts     int
	Upstreams int
	Zones     int
	Large     int     // Large is how many hosts of each availability zone are larger than the others.
	LinkMbps  float64 // LinkMbps is the width of the other hosts' links; larger ones have 1,000.
	Series    int     // Series is how many hosts FleetSeries starts again.
	Seed      uint64
	Progress  func(scene FleetScene, virtual time.Duration) // Progress, if set, is called now and then.
}

// FleetResult is what a scene cost.
type FleetResult struct {
	Scene      FleetScene
	Took       time.Duration // Took is the time until all hosts agreed again; 0 if they did not.
	For        time.Duration // For is the simulated time of the scene.
	Calls      int           // Calls counts calls to the store.
	StoreBytes int
	Messages   int // Messages counts those between hosts.
	Within     int // Within and Between are bytes of messages within and between availability zones.
	Between    int
	Standby    FleetRole
	Active     FleetRole
}

// FleetRole is what hosts of a role received and sent.
type FleetRole struct {
	Messages float64 // Messages is the mean of a host's, a second.
	Bytes    float64 // Bytes is the mean of a host's, a second.
	Most     int     // Most is the number of bytes of the busiest one, in all.
}

// Fleet plays all scenes one after the other.
func Fleet(o FleetOptions) []FleetResult {
	m := newFleetModel(o)
	var out []FleetResult
	for _, scene := range FleetScenes {
		out = append(out, m.play(scene))
	}
	return out
}

const (
	kilo = 1e3
	mega = 1e6
)

// PrintFleet writes a table.
func PrintFleet(w io.Writer, results []FleetResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scene\tagreed after s\tof s\tstore calls\tstore MB\tmessages\tMB within zones\tMB between\tstandby msg/s\tkB/s\tmost MB\tactive msg/s\tkB/s\tmost MB")
	for _, r := range results {
		agreed := "-"
		if r.Took > 0 {
			agreed = fmt.Sprintf("%.2f", r.Took.Seconds())
		}
		fmt.Fprintf(t, "%s\t%s\t%.0f\t%d\t%.2f\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\t%.2f\n", r.Scene, agreed, r.For.Seconds(), r.Calls, float64(r.StoreBytes)/mega,
			r.Messages, float64(r.Within)/mega, float64(r.Between)/mega,
			r.Standby.Messages, r.Standby.Bytes/kilo, float64(r.Standby.Most)/mega, r.Active.Messages, r.Active.Bytes/kilo, float64(r.Active.Most)/mega)
	}
	_ = t.Flush() // the writer below tells of its own failures
}

// FleetPoint is the scenes of one size of fleet.
type FleetPoint struct {
	Hosts   int
	Results []FleetResult
}

// WriteFleetPlot draws the messages of each scene by the number of hosts. The ending of the path
// decides the format: svg, png or pdf.
func WriteFleetPlot(path string, points []FleetPoint) error {
	p := plot.New()
	p.Title.Text = "Messages between hosts"
	p.X.Label.Text = "hosts (logarithmic)"
	p.Y.Label.Text = "messages of each host (logarithmic)"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	for i, scene := range FleetScenes {
		var xys plotter.XYs
		for _, pt := range points {
			xys = append(xys, plotter.XY{X: float64(pt.Hosts), Y: max(float64(pt.Results[i].Messages)/float64(pt.Hosts), 1)})
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return err
		}
		line.Color = plotColors[i%len(plotColors)]
		p.Add(line)
		p.Legend.Add(string(scene), line)
	}
	return p.Save(plotWidth, plotHeight, path)
}
