// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"math"
	"time"
)

// Paces of engines. They differ in speed, some turn slow for a while, and nobody says so.
// Each first token tells how much longer than estimated an engine took; hosts tell each
// other what stands out, since one host sees each engine less than once a second.
const (
	// slowWeight follows an engine that turns four times slower within some five long
	// prompts, or ten short ones.
	slowWeight = 0.3
	// slowScale is the estimate from which a sample has more than half of its weight.
	// Short ones meet a chunk of another prompt, 21 ms, by chance.
	slowScale = 100 * time.Millisecond
	// slowForget is the time in which half of what was learned is forgotten: an engine
	// that looks slow gets little, and would look slow for ever.
	slowForget = 20 * time.Second
	// mostSlow and mostFast bound one sample, as factors: an engine that a long prompt of
	// another host has reached just before is not ten times slower, and one that kept more
	// than was believed is not faster.
	mostSlow = 6
	mostFast = 1.5
	// slowTold is how far a short request's sample must lie off to be told to others, as a
	// logarithm: by half.
	slowTold = 0.4
	// mostFetching is the part of an estimate that may be transfers for the rest to be
	// timed.
	mostFetching = 0.3
)

// slowness is how much longer than the common estimate an engine takes.
type slowness struct {
	learned float64 // learned is a logarithm.
	at      time.Time
}

// factor returns how many times longer the engine takes.
func (s *slowness) factor(now time.Time) float64 {
	if s.learned == 0 {
		return 1
	}
	age := now.Sub(s.at).Seconds() / slowForget.Seconds()
	return math.Exp(s.learned * math.Pow(0.5, age))
}

// learn takes in a sample.
func (s *slowness) learn(now time.Time, r PaceSample) {
	had := math.Log(s.factor(now))
	s.learned = had + float64(r.Weight)*(float64(r.Slower)-had)
	s.at = now
}

// PaceSample is one timed request at an engine.
type PaceSample struct {
	Upstream string  `cbor:"1,keyasint"` // Upstream is what Start names the engine.
	Slower   float32 `cbor:"2,keyasint"` // Slower is the logarithm of how many times longer than estimated it took.
	Weight   float32 `cbor:"3,keyasint"`
}

// takes returns how long an engine takes for what a common one does in a time.
func (t *target) takes(now time.Time, d time.Duration) time.Duration {
	return time.Duration(t.slow.factor(now) * float64(d))
}

// paced learns from a request whose first token has come.
func (p *Placer) paced(now time.Time, tk *Ticket) {
	if tk.common == 0 || float64(tk.fetchTime) > mostFetching*float64(tk.common) {
		return
	}
	took := max(now.Sub(tk.start)-tk.fetchTime, time.Millisecond)
	slower := math.Log(float64(took) / float64(tk.common))
	slower = min(max(slower, -math.Log(mostFast)), math.Log(mostSlow))
	weight := slowWeight * float64(tk.common) / float64(tk.common+slowScale)
	r := PaceSample{Upstream: tk.target.key, Slower: float32(slower), Weight: float32(weight)}
	tk.target.slow.learn(now, r)
	if (tk.common > slowScale || math.Abs(slower) > slowTold) && len(p.samples) < maxPlaced {
		p.samples = append(p.samples, r)
	}
}
