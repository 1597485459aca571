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

// FleetScenario is a scenario that a simulated fleet goes through.
type FleetScenario string

// The scenarios, in the order in which they run.
const (
	FleetStart   FleetScenario = "Start"   // all hosts start for the first time
	FleetIdle    FleetScenario = "Idle"    // nothing changes
	FleetChange  FleetScenario = "Change"  // a new configuration is written
	FleetStorm   FleetScenario = "Storm"   // the entries of a fortieth of the upstreams change
	FleetSeries  FleetScenario = "Series"  // hosts restart one after the other
	FleetZone    FleetScenario = "Zone"    // all hosts of an availability zone stop and don't return
	FleetKillAll FleetScenario = "KillAll" // all hosts stop and restart
	FleetLoss    FleetScenario = "Loss"    // the store loses records, and a new configuration is written
)

// FleetScenarios are all scenarios, in the order in which they run.
var FleetScenarios = []FleetScenario{
	FleetStart, FleetIdle, FleetChange, FleetStorm, FleetSeries, FleetZone, FleetKillAll, FleetLoss,
}

// FleetOptions configure the simulation of a fleet.
type FleetOptions struct {
	Hosts     int
	Upstreams int
	Zones     int
	Large     int     // number of large hosts in each availability zone
	LinkMbps  float64 // bandwidth of the other hosts' links
	Series    int     // number of hosts that FleetSeries restarts
	Seed      uint64
	Progress  func(scenario FleetScenario, virtual time.Duration) // called periodically, if not nil
}

// FleetResult is the outcome and the cost of one scenario.
type FleetResult struct {
	Scenario          FleetScenario
	ConvergedAfter    time.Duration // time until all hosts had the same state; 0 if they did not converge
	Duration          time.Duration // simulated time
	StoreCalls        int
	StoreBytes        int
	Messages          int // messages between hosts
	BytesWithinZones  int
	BytesBetweenZones int
	Standby           RoleTraffic
	Active            RoleTraffic
}

// RoleTraffic is the traffic, sent and received, of the hosts of one role.
type RoleTraffic struct {
	MessagesPerSecond float64 // mean over the hosts
	BytesPerSecond    float64 // mean over the hosts
	MaxBytes          int     // total of the host with the most traffic
}

// Fleet runs all scenarios one after the other on the same fleet.
func Fleet(o FleetOptions) []FleetResult {
	m := newFleetModel(o)
	var out []FleetResult
	for _, scenario := range FleetScenarios {
		out = append(out, m.runScenario(scenario))
	}
	return out
}

const (
	kilo = 1e3
	mega = 1e6
)

// PrintFleet writes results as a table.
func PrintFleet(w io.Writer, results []FleetResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scene\tagreed after s\tof s\tstore calls\tstore MB\tmessages\tMB within zones\tMB between\tstandby msg/s\tkB/s\tmost MB\tactive msg/s\tkB/s\tmost MB")
	for _, r := range results {
		converged := "-"
		if r.ConvergedAfter > 0 {
			converged = fmt.Sprintf("%.2f", r.ConvergedAfter.Seconds())
		}
		fmt.Fprintf(t, "%s\t%s\t%.0f\t%d\t%.2f\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\t%.2f\n",
			r.Scenario, converged, r.Duration.Seconds(), r.StoreCalls, float64(r.StoreBytes)/mega,
			r.Messages, float64(r.BytesWithinZones)/mega, float64(r.BytesBetweenZones)/mega,
			r.Standby.MessagesPerSecond, r.Standby.BytesPerSecond/kilo, float64(r.Standby.MaxBytes)/mega,
			r.Active.MessagesPerSecond, r.Active.BytesPerSecond/kilo, float64(r.Active.MaxBytes)/mega)
	}
	_ = t.Flush() // errors of the underlying writer are the caller's concern
}

// FleetPoint holds the results for one number of hosts.
type FleetPoint struct {
	Hosts   int
	Results []FleetResult
}

// WriteFleetPlot plots the messages of each scenario by the number of hosts.
// The extension of path selects the format: svg, png or pdf.
func WriteFleetPlot(path string, points []FleetPoint) error {
	p := plot.New()
	p.Title.Text = "Messages between hosts"
	p.X.Label.Text = "hosts (logarithmic)"
	p.Y.Label.Text = "messages of each host (logarithmic)"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	for i, scenario := range FleetScenarios {
		var xys plotter.XYs
		for _, pt := range points {
			xys = append(xys, plotter.XY{
				X: float64(pt.Hosts), Y: max(float64(pt.Results[i].Messages)/float64(pt.Hosts), 1),
			})
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return err
		}
		line.Color = plotColors[i%len(plotColors)]
		p.Add(line)
		p.Legend.Add(string(scenario), line)
	}
	return p.Save(plotWidth, plotHeight, path)
}
