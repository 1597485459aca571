// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package quarantiner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Word is all that a host knows of one identity, for other hosts.
type Word struct {
	Identity Identity      `cbor:"1,keyasint"`
	Ends     []string      `cbor:"2,keyasint,omitempty"` // Ends are the starts of upstreams that ended under it, and count.
	Cleared  []string      `cbor:"3,keyasint,omitempty"` // Cleared are those that do not count any more.
	Age      time.Duration `cbor:"4,keyasint,omitempty"` // Age is how long ago the last end was heard of.
}

// endsOf returns all starts of upstreams that words name as ended.
func endsOf(words []Word) map[string]bool {
	ends := make(map[string]bool)
	for _, w := range words {
		for _, start := range w.Ends {
			ends[start] = true
		}
	}
	return ends
}

// record is what is known of one identity.
type record struct {
	ends    []string // ends are in the order in which they were heard of.
	cleared []string
	at      time.Time // at is when the last end was heard of.
	seen    time.Time // seen is when this host last saw one itself; others' word may have come late.
}

func (r *record) barred() bool { return len(r.ends) >= Bar }

func (r *record) empty() bool { return len(r.ends) == 0 && len(r.cleared) == 0 }

// repeated tells that more than one end is known, counted or not. Of one alone hosts hear once
// and not again: most are of requests that never come back, and if word of it is lost, a bad
// request ends one upstream more.
func (r *record) repeated() bool { return len(r.ends)+len(r.cleared) > 1 }

// life is how long the record is kept after its last end.
func (r *record) life() time.Duration { return life(r.ends) }

func (w *Word) life() time.Duration { return life(w.Ends) }

func life(ends []string) time.Duration {
	if len(ends) >= Bar {
		return barLife
	}
	return suspectLife
}

// add counts an end. It reports whether that is news.
func (r *record) add(start string) bool {
	if slices.Contains(r.ends, start) || slices.Contains(r.cleared, start) || len(r.ends) >= mostEnds {
		return false
	}
	r.ends = append(r.ends, start)
	return true
}

// clear lets an end count no more. It reports whether that is news.
func (r *record) clear(start string) bool {
	if slices.Contains(r.cleared, start) {
		return false
	}
	r.ends = slices.DeleteFunc(r.ends, func(s string) bool { return s == start })
	r.cleared = append(r.cleared, start)
	if over := len(r.cleared) - mostEnds; over > 0 {
		r.cleared = r.cleared[over:]
	}
	return true
}

// clearAll lets no end count. It reports whether any did.
func (r *record) clearAll() bool {
	counted := slices.Clone(r.ends)
	for _, start := range counted {
		r.clear(start)
	}
	return len(counted) > 0
}

// merge takes in what another host knows. It reports whether that is news.
func (r *record) merge(w Word) bool {
	changed := false
	for _, start := range w.Cleared {
		changed = r.clear(start) || changed
	}
	for _, start := range w.Ends {
		changed = r.add(start) || changed
	}
	return changed
}

// digest is the same for hosts that think the same of a request: it does not depend on the
// order of ends, nor on how many there are beyond the bar.
func (r *record) digest(id Identity) uint64 {
	sum := uint64(0)
	if !r.repeated() {
		return sum
	}
	if r.barred() {
		sum = xxhash.Sum64String(string(id[:]))
	} else {
		for _, start := range r.ends {
			sum ^= xxhash.Sum64String(string(id[:]) + "+" + start)
		}
	}
	for _, start := range r.cleared {
		sum ^= xxhash.Sum64String(string(id[:]) + "-" + start)
	}
	return sum
}

func (r *record) word(now time.Time, id Identity) Word {
	return Word{Identity: id, Ends: slices.Clone(r.ends), Cleared: slices.Clone(r.cleared), Age: max(0, now.Sub(r.at))}
}
