// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package prober

import "time"

// Options configure a Prober. The zero value is ready to use.
type Options struct {
	// MinFailed is the least number of upstreams whose connections failed that shows a cut; default 3.
	MinFailed int
	// MinDoubt is the least time from the beginning of a doubt to the decision; default 200 ms.
	MinDoubt time.Duration
	// MaxQuiet is the time without activity of any upstream, with requests in progress, after which a doubt
	// begins; default 300 ms.
	MaxQuiet time.Duration
	// QuietInterval is the least time between two doubts that begin without a failed connection; default 500 ms.
	QuietInterval time.Duration
	// DoubtProbes is the number of concurrent probes in a doubt; default 4.
	DoubtProbes int
	// Probes is the number of concurrent probes of a host that is cut off; default 2.
	Probes int
	// ProbeInterval is the least time between the probes of a host that is cut off; default 250 ms.
	ProbeInterval time.Duration
	// MinReturn is for how long connections must have succeeded for a return; default 500 ms. It doubles with each
	// cut that begins within RepeatInterval after a return, up to MaxReturn; default 4 s.
	MinReturn time.Duration
	MaxReturn time.Duration
	// RepeatInterval defaults to 10 s.
	RepeatInterval time.Duration
	// MaxSteps is the interval between two steps from which this process counts as stalled: connections that failed
	// in the meantime, and in StallGrace after it, are no evidence; defaults 400 ms and 200 ms.
	MaxSteps   time.Duration
	StallGrace time.Duration
	// Seed is the seed of random choices; it must differ between hosts.
	Seed uint64
}

// returnSpread is the largest random part by which a return is delayed, as a fraction of the time required for it.
const returnSpread = 0.5

func (o Options) withDefaults() Options {
	setInt := func(v *int, value int) {
		if *v == 0 {
			*v = value
		}
	}
	set := func(v *time.Duration, value time.Duration) {
		if *v == 0 {
			*v = value
		}
	}
	setInt(&o.MinFailed, 3)
	setInt(&o.DoubtProbes, 4)
	setInt(&o.Probes, 2)
	set(&o.MinDoubt, 200*time.Millisecond)
	set(&o.MaxQuiet, 300*time.Millisecond)
	set(&o.QuietInterval, 500*time.Millisecond)
	set(&o.ProbeInterval, 250*time.Millisecond)
	set(&o.MinReturn, 500*time.Millisecond)
	set(&o.MaxReturn, 4*time.Second)
	set(&o.RepeatInterval, 10*time.Second)
	set(&o.MaxSteps, 400*time.Millisecond)
	set(&o.StallGrace, 200*time.Millisecond)
	return o
}
