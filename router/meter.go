// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package router

import (
	"math"
	"sync/atomic"
	"time"
)

// Meter counts what this host has sent to one upstream. It outlives the
// snapshots that refer to it. The zero value is ready.
type Meter struct {
	started   atomic.Uint64
	finished  atomic.Uint64
	tokens    atomic.Uint64 // tokens are prompt tokens sent.
	prefilled atomic.Uint64 // prefilled are prompt tokens whose first token came back.
	linkBytes atomic.Int64  // linkBytes are ordered over the tier link and not yet moved.
	hold      atomic.Uint64 // hold is the mean time of a request in seconds, as float bits.
}

// holdGain is the weight of the newest request in the mean time.
const holdGain = 0.05

// Mark is a reading of a meter, taken when a load report was asked for.
type Mark struct {
	Started   uint64
	Finished  uint64
	Tokens    uint64
	Prefilled uint64
}

// Start notes that a request with a number of prompt tokens was sent.
func (m *Meter) Start(tokens int) {
	m.started.Add(1)
	m.tokens.Add(uint64(tokens))
}

// FirstToken notes that the prompt of a request has been computed.
func (m *Meter) FirstToken(tokens int) { m.prefilled.Add(uint64(tokens)) }

// Finish notes that a request ended after a time.
func (m *Meter) Finish(took time.Duration) {
	m.finished.Add(1)
	mean := math.Float64frombits(m.hold.Load())
	if mean == 0 {
		mean = took.Seconds()
	}
	mean += holdGain * (took.Seconds() - mean)
	m.hold.Store(math.Float64bits(mean))
}

// Hold returns the mean time of a request, in seconds.
func (m *Meter) Hold() float64 { return math.Float64frombits(m.hold.Load()) }

// InFlight returns the number of requests sent and not ended.
func (m *Meter) InFlight() int { return int(m.started.Load() - m.finished.Load()) }

// Pending returns the number of prompt tokens sent and not computed.
func (m *Meter) Pending() int { return int(m.tokens.Load() - m.prefilled.Load()) }

// AddLink notes bytes ordered over the tier link; negative when they moved.
func (m *Meter) AddLink(bytes int64) { m.linkBytes.Add(bytes) }

// Mark returns the present reading.
func (m *Meter) Mark() Mark {
	return Mark{Started: m.started.Load(), Finished: m.finished.Load(), Tokens: m.tokens.Load(), Prefilled: m.prefilled.Load()}
}
