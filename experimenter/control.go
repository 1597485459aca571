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

// ControlOptions configure the measurement of control plane overhead. It runs
// for all combinations of Hosts and Engines.
type ControlOptions struct {
	Hosts   []int
	Engines []int
	For     time.Duration // measured time of each combination
}

// ControlPoint is the control plane overhead at one size of the system.
type ControlPoint struct {
	Hosts              int
	Engines            int
	CoreUse            float64 // CPU seconds per second and host
	SentBytesPerSecond float64 // per host, without framing
	MemoryBytes        int64   // heap and stacks per host
	AppendsPerSecond   float64 // of all hosts
}

// Control measures hosts that carry no traffic. All hosts run in one process,
// so that the results include the cost of the emulated platform and engines.
func Control(ctx context.Context, opts ControlOptions) ([]ControlPoint, error) {
	var out []ControlPoint
	for _, engines := range opts.Engines {
		for _, hosts := range opts.Hosts {
			p, err := measureControl(ctx, hosts, engines, opts.For)
			if err != nil {
				return out, err
			}
			out = append(out, p)
		}
	}
	return out, nil
}

func measureControl(ctx context.Context, hosts, engines int, d time.Duration) (ControlPoint, error) {
	before := usedMemory()
	dep, err := deployment.Start(ctx, deployment.Options{
		Hosts: hosts, Engines: engines, LogLatency: 2 * time.Millisecond,
	})
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
	bytes, cpu, appends, start := sent(), cpuTime(), dep.Log.Appends(), time.Now()
	time.Sleep(d)
	took := time.Since(start).Seconds()
	n := float64(hosts)
	return ControlPoint{
		Hosts:              hosts,
		Engines:            engines,
		CoreUse:            (cpuTime() - cpu).Seconds() / took / n,
		SentBytesPerSecond: float64(sent()-bytes) / took / n,
		AppendsPerSecond:   float64(dep.Log.Appends()-appends) / took,
		MemoryBytes:        (usedMemory() - before) / int64(hosts),
	}, nil
}

// PrintControl writes points as a table.
func PrintControl(w io.Writer, points []ControlPoint) {
	fmt.Fprintf(w, "%6s %8s %12s %14s %12s %10s\n",
		"hosts", "engines", "core/host", "bytes/s/host", "memory/host", "appends/s")
	for _, p := range points {
		fmt.Fprintf(w, "%6d %8d %11.2f%% %14.0f %9.1f MB %10.1f\n",
			p.Hosts, p.Engines, 100*p.CoreUse, p.SentBytesPerSecond, float64(p.MemoryBytes)/1e6, p.AppendsPerSecond)
	}
}
