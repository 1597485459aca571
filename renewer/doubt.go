// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package renewer

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/follower"
)

// A weight version may end each engine that loads it. Such an engine comes back with the
// version of before, is behind again, and would be ordered again: all engines would end in
// turns, as long as the version is named. So a version under which engines have ended, and that
// none has taken, is tried with one engine at a time, and ever more seldom. One engine that has
// it clears the version: engines end during renewals of good versions too.

const (
	// doubted is the number of ends from which a version is doubted: as many engines load at
	// once in small fleets.
	doubted = 3
	// firstDoubt is how long no engine is ordered after the first try of a doubted version has
	// ended its engine; it doubles from try to try. The first try itself follows at once: where
	// three engines have ended by chance, the renewal loses the time of one load.
	firstDoubt = 10 * time.Second
	// longestDoubt bounds it, so that a version ends some 32 engines a day.
	longestDoubt = time.Hour
	// longestTry is how long an engine may take to load; they take 2 s.
	longestTry = 30 * time.Second
	// mostLost bounds how many ends are remembered of a version.
	mostLost = 64
)

// Doubt is a weight version under which engines have ended.
type Doubt struct {
	Model   string        `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	Starts  []string      `cbor:"3,keyasint"`           // Starts are the starts of engines that ended as they loaded it.
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // Age is how long ago the last end was seen.
}

// doubt is what is remembered of the version of a model that is named.
type doubt struct {
	version uint64
	starts  []string
	last    time.Time
}

func (d *doubt) note(start string) bool {
	if len(d.starts) >= mostLost || slices.Contains(d.starts, start) {
		return false
	}
	d.starts = append(d.starts, start)
	return true
}

// pause is how long after the last end no engine is ordered.
func (d *doubt) pause() time.Duration {
	tries := len(d.starts) - doubted
	if tries <= 0 {
		return 0
	}
	return min(firstDoubt<<min(tries-1, 16), longestDoubt)
}

// lost takes in that an engine has ended that was told to load a version.
func (r *Renewer) lost(now time.Time, id string, j *job) {
	if !j.taken {
		return
	}
	d := r.doubts[j.model]
	if d == nil || d.version < j.version {
		d = &doubt{version: j.version}
		r.doubts[j.model] = d
	}
	start := (&follower.Upstream{ID: id, Born: j.born}).Start()
	if d.version != j.version || !d.note(start) {
		return
	}
	d.last = now
	if len(d.starts) >= doubted {
		r.alerts = append(r.alerts, Doubted{Model: j.model, Version: j.version, Starts: slices.Clone(d.starts), Pause: d.pause()})
	}
}

// proved takes in that an engine has a version.
func (r *Renewer) proved(model string, version uint64) {
	if d := r.doubts[model]; d != nil && d.version <= version {
		delete(r.doubts, model)
	}
}

// mayLoad tells whether one more engine may be ordered to load a version, beside others that
// may be loading it.
func (r *Renewer) mayLoad(now time.Time, model string, version uint64, others int) bool {
	d := r.doubts[model]
	if d == nil || d.version != version || len(d.starts) < doubted {
		return true
	}
	return others == 0 && now.Sub(d.last) >= d.pause()
}

// trying tells that the engine may be loading the version. One that has shown nothing for long
// holds up no other.
func (j *job) trying(now time.Time) bool { return j.taken && now.Sub(j.since) < longestTry }

// doubtsNow returns what other hosts should know of doubted versions.
func (r *Renewer) doubtsNow(now time.Time) []Doubt {
	var out []Doubt
	for model, d := range r.doubts {
		out = append(out, Doubt{Model: model, Version: d.version, Starts: d.starts, Age: now.Sub(d.last)})
	}
	return out
}

// heardDoubts takes in what another host knows of doubted versions.
func (r *Renewer) heardDoubts(now time.Time, doubts []Doubt) {
	for _, t := range doubts {
		d := r.doubts[t.Model]
		if d == nil || d.version < t.Version {
			d = &doubt{version: t.Version}
			r.doubts[t.Model] = d
		}
		if d.version > t.Version {
			continue
		}
		for _, start := range t.Starts {
			d.note(start)
		}
		if at := now.Add(-max(0, t.Age)); at.After(d.last) {
			d.last = at
		}
	}
}
