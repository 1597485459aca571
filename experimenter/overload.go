// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"sync"
	"time"
)

// OverloadScenario is what happens while hosts serve requests.
type OverloadScenario string

// The scenarios.
const (
	OverloadSteady    OverloadScenario = "Steady"    // requests arrive at OverloadOptions.Load
	OverloadHalf      OverloadScenario = "Half"      // half of what the engines can serve
	OverloadSlight    OverloadScenario = "Slight"    // a fifth more than the engines can serve
	OverloadBurst     OverloadScenario = "Burst"     // 0.8 of what the engines can serve, and for 3 s 1.7 times as much
	OverloadStart     OverloadScenario = "Start"     // a host starts in the middle
	OverloadPartition OverloadScenario = "Partition" // a host neither gets nor sends messages for 3 s
	OverloadLoss      OverloadScenario = "Loss"      // a tenth of the messages between hosts is lost
)

// OverloadScenarios are all scenarios.
var OverloadScenarios = []OverloadScenario{
	OverloadSteady, OverloadHalf, OverloadSlight, OverloadBurst, OverloadStart, OverloadPartition, OverloadLoss,
}

// OverloadVariant is a set of mechanisms.
type OverloadVariant string

// The variants.
const (
	OverloadBaseline OverloadVariant = "Baseline" // as before both mechanisms
	OverloadForecast OverloadVariant = "Forecast" // hosts forecast by what they know themselves
	OverloadOrder    OverloadVariant = "Order"    // hosts take turns in the order of urgency, without forecast
	OverloadBoth     OverloadVariant = "Both"     // hosts forecast by what all hosts know, and take turns
	// Alternatives to Both, for one class and one workspace. OverloadLanes is Both with the queue of the
	// alternatives, for comparison.
	OverloadLanes  OverloadVariant = "Lanes"
	OverloadSingle OverloadVariant = "Single" // a single queue by earliest latest start, without a late lane
	OverloadMean   OverloadVariant = "Mean"   // refusal by the mean rates instead of their bounds
)

// OverloadVariants are all variants.
var OverloadVariants = []OverloadVariant{
	OverloadBaseline, OverloadForecast, OverloadOrder, OverloadBoth, OverloadLanes, OverloadSingle, OverloadMean,
}

// forecasts reports whether hosts forecast.
func (v OverloadVariant) forecasts() bool { return v != OverloadBaseline && v != OverloadOrder }

// orders reports whether hosts exchange what waits.
func (v OverloadVariant) orders() bool { return v != OverloadBaseline && v != OverloadForecast }

// listed reports whether the variant has an overloadList.
func (v OverloadVariant) listed() bool {
	return v == OverloadLanes || v == OverloadSingle || v == OverloadMean
}

// OverloadOptions configure a simulation of overload.
type OverloadOptions struct {
	Scenario    OverloadScenario
	Variant     OverloadVariant
	Hosts       int
	Engines     int
	Slots       int           // Slots is the number of requests that an engine runs at a time.
	ServiceTime time.Duration // ServiceTime is the time that an engine takes for a request.
	Load        float64       // Load is in requests a second, without retries.
	Ranks       int           // Ranks is the number of classes, which get the same load.
	// Workspaces is the number of workspaces. The first has half of the requests, the others share the
	// rest.
	Workspaces int
	Objective  time.Duration
	Deadline   time.Duration
	Retries    int           // Retries is how often a caller repeats a refused request.
	For        time.Duration // For is the time in which requests arrive.
	Seed       uint64
}

// DefaultOverload returns the options of the load of finding 6 in docs/OVERLOAD.md.
func DefaultOverload() OverloadOptions {
	return OverloadOptions{
		Scenario: OverloadSteady, Variant: OverloadBoth, Hosts: 1, Engines: 2, Slots: 8,
		ServiceTime: 225 * time.Millisecond, Load: 200, Ranks: 1, Workspaces: 1, Objective: 500 * time.Millisecond,
		Deadline: 1500 * time.Millisecond, Retries: 1, For: 8 * time.Second, Seed: 1,
	}
}

// Loads of the scenarios, as shares of what the engines can serve.
const (
	overloadHalfLoad    = 0.5
	overloadSlightLoad  = 1.2
	overloadBurstBase   = 0.8
	overloadBurstFactor = 1.7
)

// perSecond returns the requests a second that the engines can serve.
func (o OverloadOptions) perSecond() float64 {
	return float64(o.Engines*o.Slots) / o.ServiceTime.Seconds()
}

// withScenario returns the options with the load of the scenario.
func (o OverloadOptions) withScenario() OverloadOptions {
	switch o.Scenario {
	case OverloadHalf:
		o.Load = overloadHalfLoad * o.perSecond()
	case OverloadSlight:
		o.Load = overloadSlightLoad * o.perSecond()
	case OverloadBurst:
		o.Load = overloadBurstBase * o.perSecond()
	}
	return o
}

// slots returns the slots of all engines.
func (o OverloadOptions) slots() int { return o.Engines * o.Slots }

// Overload simulates the seeds from o.Seed on, with the given number of goroutines.
func Overload(o OverloadOptions, seeds, workers int) OverloadResult {
	o = o.withScenario()
	total := NewOverloadResult(o)
	next := make(chan uint64)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range min(workers, seeds) {
		wg.Go(func() {
			for seed := range next {
				one := o
				one.Seed = seed
				r := newOverloadModel(one).run()
				mu.Lock()
				total.merge(r)
				mu.Unlock()
			}
		})
	}
	for i := range seeds {
		next <- o.Seed + uint64(i)
	}
	close(next)
	wg.Wait()
	return total
}
