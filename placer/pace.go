// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"math"
	"time"

	"amaranthgate.example/amaranthgate/assessor"
)

// Learning of engine speed. Engines differ in speed, and some turn slow for a while. Each time to
// first token is compared with the estimate; hosts exchange the samples that stand out, since each
// host alone sees few requests of an engine.
const (
	// engineSampleWeight is the smoothing weight of a sample of a long prefill. It follows an
	// engine that turns four times slower within some five long prompts, or ten short ones.
	engineSampleWeight = 0.3
	// engineSampleScale is the estimate at which a sample has half of that weight. Short prefills
	// may meet a chunk of another prompt, 21 ms, by chance.
	engineSampleScale = 100 * time.Millisecond
	// engineHalfLife is the time in which what was learned decays to half, so that an engine that
	// looked slow gets requests again.
	engineHalfLife = 20 * time.Second
	// maxSlowdown and maxSpeedup bound one sample, as factors: an unreported prompt ahead of the
	// request, or a part that was cached unexpectedly, says nothing of the engine's speed.
	maxSlowdown = 6
	maxSpeedup  = 1.5
	// minReportedSlowdown is the absolute value from which a short request's sample, a logarithm,
	// is reported to other hosts. It stands for a factor of 1.5.
	minReportedSlowdown = 0.4
	// maxTransferShare is the ratio of transfer to engine time up to which a request is sampled.
	maxTransferShare = 0.3
)

// slowness is the ratio of an engine's time to the common estimate.
type slowness struct {
	learned float64 // learned is the natural logarithm of the ratio.
	at      time.Time
}

// factor returns the ratio at a time, 1 if nothing was learned.
func (s *slowness) factor(now time.Time) float64 {
	if s.learned == 0 {
		return 1
	}
	age := now.Sub(s.at).Seconds() / engineHalfLife.Seconds()
	return math.Exp(s.learned * math.Pow(0.5, age))
}

// observe merges a sample.
func (s *slowness) observe(now time.Time, r PaceSample) {
	prev := math.Log(s.factor(now))
	s.learned = prev + float64(r.Weight)*(float64(r.LogSlowdown)-prev)
	s.at = now
}

// PaceSample is one timed request at an engine.
type PaceSample struct {
	// Upstream is the engine's instance, as returned by follower.Upstream.InstanceID.
	Upstream string `cbor:"1,keyasint"`
	// LogSlowdown is the natural logarithm of the ratio of the observed to the estimated time.
	LogSlowdown float32 `cbor:"2,keyasint"`
	Weight      float32 `cbor:"3,keyasint"`
}

// scaled returns the time that this engine takes now for what takes a common one d.
func (t *target) scaled(now time.Time, d time.Duration) time.Duration {
	return time.Duration(t.slowness.factor(now) * t.statedPace * float64(d))
}

// atMost is scaled for limits, which a wrong statement must not shorten. A stated slowdown delays by no longer than
// it lasts.
func (t *target) atMost(now time.Time, d time.Duration) time.Duration {
	usual := time.Duration(t.slowness.factor(now) * float64(d))
	return min(max(t.scaled(now, d), usual), usual+assessor.PaceTTL)
}

// observePace learns from the time to first token of a request.
func (p *Placer) observePace(now time.Time, tk *Ticket) {
	if tk.baseline == 0 || float64(tk.fetchTime) > maxTransferShare*float64(tk.baseline) {
		return
	}
	took := max(now.Sub(tk.start)-tk.fetchTime, time.Millisecond)
	slower := math.Log(float64(took) / float64(tk.baseline) / tk.target.stated.Pace(now))
	slower = min(max(slower, -math.Log(maxSpeedup)), math.Log(maxSlowdown))
	weight := engineSampleWeight * float64(tk.baseline) / float64(tk.baseline+engineSampleScale)
	r := PaceSample{Upstream: tk.target.instance, LogSlowdown: float32(slower), Weight: float32(weight)}
	tk.target.slowness.observe(now, r)
	if (tk.baseline > engineSampleScale || math.Abs(slower) > minReportedSlowdown) && len(p.samples) < maxQueuedReports {
		p.samples = append(p.samples, r)
	}
}
