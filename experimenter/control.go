// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"context"
	"fmt"
	"io"
	"time"

	"amaranthgate.example/amaranthgate/internal/deployment"
)

// ControlOptions set up the measurement of what control costs.
type ControlOptions struct {
	Hosts   []int // Hosts are the sizes to measure.
	Engines []int // Engines are the numbers of engines to measure.
	For     time.Duration
}

// ControlPoint is what control costs a host at one size.
type ControlPoint struct {
	Hosts     int
	Engines   int
	Processor float64 // Processor is the share of a core for each host.
	Sent      float64 // Sent is in bytes per second for each host, without framing.
	Memory    int64   // Memory is heap and stacks for each host, in bytes.
	Appends   float64 // Appends is of all hosts, per second.
}

// Control measures hosts that carry no traffic. All hosts run in one process;
// what stand-ins cost is in the figures.
func Control(ctx context.Context, opts ControlOptions) ([]ControlPoint, error) {
	var out []ControlPoint
	for _, engines := range opts.Engines {
		for _, hosts := range opts.Hosts {
			p, err := controlPoint(ctx, hosts, engines, opts.For)
			if err != nil {
				return out, err
			}
			out = append(out, p)
		}
	}
	return out, nil
}

func controlPoint(ctx context.Context, hosts, engines int, d time.Duration) (ControlPoint, error) {
	before := memory()
	dep, err := deployment.Start(ctx, deployment.Options{Hosts: hosts, Engines: engines, LogLatency: 2 * time.Millisecond})
	if err != nil {
		return ControlPoint{}, err
	}
	defer dep.Close()
	time.Sleep(4 * time.Second)
	sent := func() (total uint64) {
		for _, h := range dep.Hosts {
			total += h.Dump().Peers.SentBytes
		}
		return total
	}
	bytes, cpu, appends, start := sent(), processorTime(), dep.Log.Appends(), time.Now()
	time.Sleep(d)
	took := time.Since(start).Seconds()
	n := float64(hosts)
	return ControlPoint{
		Hosts:     hosts,
		Engines:   engines,
		Processor: (processorTime() - cpu).Seconds() / took / n,
		Sent:      float64(sent()-bytes) / took / n,
		Appends:   float64(dep.Log.Appends()-appends) / took,
		Memory:    (memory() - before) / int64(hosts),
	}, nil
}

// PrintControl writes points as a table.
func PrintControl(w io.Writer, points []ControlPoint) {
	fmt.Fprintf(w, "%6s %8s %12s %14s %12s %10s\n", "hosts", "engines", "core/host", "bytes/s/host", "memory/host", "appends/s")
	for _, p := range points {
		fmt.Fprintf(w, "%6d %8d %11.2f%% %14.0f %9.1f MB %10.1f\n", p.Hosts, p.Engines, 100*p.Processor, p.Sent, float64(p.Memory)/1e6, p.Appends)
	}
}
