// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package updater

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/follower"
)

// A faulty weight version may crash every engine that loads it. Each engine restarts with the old
// version and would be ordered again, so that the rollout would keep crashing engines. A version
// that has crashed several engines, and that none has loaded, is therefore tried on one engine at a
// time with exponential backoff. The first engine that loads it clears the doubt.

const (
	// doubtThreshold is the number of ended engines from which a version is doubted; it equals the
	// number of engines that load concurrently in a small fleet.
	doubtThreshold = 3
	// initialPause is the pause after the first failed try of a doubted version; it doubles with each
	// further one. The first try has no pause before it: where three engines have ended by chance,
	// the update loses the time of one load.
	initialPause = 10 * time.Second
	// maxPause bounds the pause, and so the number of engines that a faulty version ends per day,
	// to some 32.
	maxPause = time.Hour
	// maxLoadTime is how long an engine without a confirmed result counts as loading. A load takes
	// 2 s.
	maxLoadTime = 30 * time.Second
	// maxDoubtStarts bounds the ended engines remembered per version.
	maxDoubtStarts = 64
)

// Doubt is a weight version whose load has ended engines.
type Doubt struct {
	Model   string        `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	Starts  []string      `cbor:"3,keyasint"`           // Starts are the engine instances that ended while loading it.
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // Age is the time since the last of them ended.
}

// doubt is the local record of a doubted version of one model.
type doubt struct {
	version uint64
	starts  []string
	lastEnd time.Time
}

// add records an ended instance and reports whether it is new.
func (d *doubt) add(start string) bool {
	if len(d.starts) >= maxDoubtStarts || slices.Contains(d.starts, start) {
		return false
	}
	d.starts = append(d.starts, start)
	return true
}

// pause returns the minimum time between the last end and the next order.
func (d *doubt) pause() time.Duration {
	tries := len(d.starts) - doubtThreshold
	if tries <= 0 {
		return 0
	}
	return min(initialPause<<min(tries-1, 16), maxPause)
}

// engineEnded records that an engine ended with an unconfirmed order to load a version.
func (up *Updater) engineEnded(now time.Time, id string, j *job) {
	if !j.unconfirmed {
		return
	}
	d := up.doubts[j.model]
	if d == nil || d.version < j.version {
		d = &doubt{version: j.version}
		up.doubts[j.model] = d
	}
	start := (&follower.Upstream{ID: id, Born: j.born}).InstanceID()
	if d.version != j.version || !d.add(start) {
		return
	}
	d.lastEnd = now
	if len(d.starts) >= doubtThreshold {
		up.events = append(up.events, Doubted{Model: j.model, Version: j.version, Starts: slices.Clone(d.starts), Pause: d.pause()})
	}
}

// clearDoubt removes the doubt about a version that an engine has loaded.
func (up *Updater) clearDoubt(model string, version uint64) {
	if d := up.doubts[model]; d != nil && d.version <= version {
		delete(up.doubts, model)
	}
}

// loadAllowed reports whether one more engine may load the version while others may be loading it.
func (up *Updater) loadAllowed(now time.Time, model string, version uint64, others int) bool {
	d := up.doubts[model]
	if d == nil || d.version != version || len(d.starts) < doubtThreshold {
		return true
	}
	return others == 0 && now.Sub(d.lastEnd) >= d.pause()
}

// mayBeLoading reports whether the engine may be loading the version. It expires, so that an engine
// that does not answer does not block the others.
func (j *job) mayBeLoading(now time.Time) bool {
	return j.unconfirmed && now.Sub(j.unconfirmedSince) < maxLoadTime
}

// doubtList returns the doubted versions for the status.
func (up *Updater) doubtList(now time.Time) []Doubt {
	var out []Doubt
	for model, d := range up.doubts {
		out = append(out, Doubt{Model: model, Version: d.version, Starts: d.starts, Age: now.Sub(d.lastEnd)})
	}
	return out
}

// mergeDoubts merges the doubts of another host.
func (up *Updater) mergeDoubts(now time.Time, doubts []Doubt) {
	for _, t := range doubts {
		d := up.doubts[t.Model]
		if d == nil || d.version < t.Version {
			d = &doubt{version: t.Version}
			up.doubts[t.Model] = d
		}
		if d.version > t.Version {
			continue
		}
		for _, start := range t.Starts {
			d.add(start)
		}
		if at := now.Add(-max(0, t.Age)); at.After(d.lastEnd) {
			d.lastEnd = at
		}
	}
}
