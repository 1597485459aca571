// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package quarantiner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is a host's whole record of one identity, as sent to other hosts.
type Entry struct {
	Identity Identity      `cbor:"1,keyasint"`
	Ends     []string      `cbor:"2,keyasint,omitempty"` // Ends are the upstream instances that ended under it.
	Cleared  []string      `cbor:"3,keyasint,omitempty"` // Cleared are ends that no longer count.
	Age      time.Duration `cbor:"4,keyasint,omitempty"` // Age is the time since the record last changed.
}

// endedStarts returns all upstream instances that the words report as ended.
func endedStarts(entries []Entry) map[string]bool {
	ends := make(map[string]bool)
	for _, w := range entries {
		for _, instance := range w.Ends {
			ends[instance] = true
		}
	}
	return ends
}

// record is the local record of one identity.
type record struct {
	ends         []string // ends are in the order in which they became known.
	cleared      []string
	changedAt    time.Time // changedAt is when the record last changed.
	lastLocalEnd time.Time // lastLocalEnd is when this host last observed an end itself.
}

func (r *record) barred() bool { return len(r.ends) >= BarThreshold }

func (r *record) empty() bool { return len(r.ends) == 0 && len(r.cleared) == 0 }

// multipleEnds reports whether more than one end is known, cleared or not. Only such records are
// reconciled by Digest: most requests with a single end never come back, and a lost report costs at most
// one more upstream.
func (r *record) multipleEnds() bool { return len(r.ends)+len(r.cleared) > 1 }

// ttl is how long the record is kept after its last change.
func (r *record) ttl() time.Duration { return recordTTL(r.ends) }

func (w *Entry) ttl() time.Duration { return recordTTL(w.Ends) }

func recordTTL(ends []string) time.Duration {
	if len(ends) >= BarThreshold {
		return barTTL
	}
	return suspectTTL
}

// add records an end and reports whether it is new.
func (r *record) add(instance string) bool {
	if slices.Contains(r.ends, instance) || slices.Contains(r.cleared, instance) || len(r.ends) >= maxEnds {
		return false
	}
	r.ends = append(r.ends, instance)
	return true
}

// clear marks an end as cleared and reports whether it was not yet.
func (r *record) clear(instance string) bool {
	if slices.Contains(r.cleared, instance) {
		return false
	}
	r.ends = slices.DeleteFunc(r.ends, func(s string) bool { return s == instance })
	r.cleared = append(r.cleared, instance)
	if over := len(r.cleared) - maxEnds; over > 0 {
		r.cleared = r.cleared[over:]
	}
	return true
}

// clearAll clears all ends and reports whether there were any.
func (r *record) clearAll() bool {
	counted := slices.Clone(r.ends)
	for _, instance := range counted {
		r.clear(instance)
	}
	return len(counted) > 0
}

// merge adds the record of another host and reports whether this one changed.
func (r *record) merge(w Entry) bool {
	changed := false
	for _, instance := range w.Cleared {
		changed = r.clear(instance) || changed
	}
	for _, instance := range w.Ends {
		changed = r.add(instance) || changed
	}
	return changed
}

// digest is the same at all hosts with the same status of a request: it does not depend on the order of
// ends, nor on their number once the request is barred.
func (r *record) digest(id Identity) uint64 {
	sum := uint64(0)
	if !r.multipleEnds() {
		return sum
	}
	if r.barred() {
		sum = xxhash.Sum64String(string(id[:]))
	} else {
		for _, instance := range r.ends {
			sum ^= xxhash.Sum64String(string(id[:]) + "+" + instance)
		}
	}
	for _, instance := range r.cleared {
		sum ^= xxhash.Sum64String(string(id[:]) + "-" + instance)
	}
	return sum
}

func (r *record) snapshot(now time.Time, id Identity) Entry {
	return Entry{Identity: id, Ends: slices.Clone(r.ends), Cleared: slices.Clone(r.cleared), Age: max(0, now.Sub(r.changedAt))}
}
