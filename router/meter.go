// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package router

import (
	"math"
	"sync/atomic"
	"time"
)

// Meter counts what this host has sent to one upstream. It is shared by all
// snapshots that refer to the upstream, and safe for concurrent use. The zero
// value is ready to use.
type Meter struct {
	started     atomic.Uint64
	finished    atomic.Uint64
	tokens      atomic.Uint64 // tokens is the number of prompt tokens sent.
	prefilled   atomic.Uint64 // prefilled is the number of prompt tokens of requests that returned a first token.
	linkBytes   atomic.Int64  // linkBytes is the number of bytes requested over the tier link and not yet moved.
	meanSeconds atomic.Uint64 // meanSeconds is the mean duration of a request in seconds, as float bits.
}

// meanGain is the weight of the newest request in the moving average.
const meanGain = 0.05

// Mark is a reading of a meter, taken when a load report was requested.
type Mark struct {
	Started   uint64
	Finished  uint64
	Tokens    uint64
	Prefilled uint64
}

// Start records that a request with a number of prompt tokens was sent.
func (m *Meter) Start(tokens int) {
	m.started.Add(1)
	m.tokens.Add(uint64(tokens))
}

// FirstToken records that the prompt of a request has been prefilled.
func (m *Meter) FirstToken(tokens int) { m.prefilled.Add(uint64(tokens)) }

// Finish records the end of a request and its duration.
func (m *Meter) Finish(took time.Duration) {
	m.finished.Add(1)
	mean := math.Float64frombits(m.meanSeconds.Load())
	if mean == 0 {
		mean = took.Seconds()
	}
	mean += meanGain * (took.Seconds() - mean)
	m.meanSeconds.Store(math.Float64bits(mean))
}

// MeanSeconds returns the mean duration of a request, in seconds.
func (m *Meter) MeanSeconds() float64 { return math.Float64frombits(m.meanSeconds.Load()) }

// InFlight returns the number of requests sent and not finished.
func (m *Meter) InFlight() int { return int(m.started.Load() - m.finished.Load()) }

// Pending returns the number of prompt tokens sent and not prefilled.
func (m *Meter) Pending() int { return int(m.tokens.Load() - m.prefilled.Load()) }

// AddLink adds to the bytes pending on the tier link; negative once they moved.
func (m *Meter) AddLink(bytes int64) { m.linkBytes.Add(bytes) }

// Mark returns the current reading.
func (m *Meter) Mark() Mark {
	return Mark{Started: m.started.Load(), Finished: m.finished.Load(), Tokens: m.tokens.Load(), Prefilled: m.prefilled.Load()}
}
