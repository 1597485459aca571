// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package quarantiner

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is a host's whole record of one identity, as sent to other hosts.
type Entry struct {
	Identity Identity      `cbor:"1,keyasint"`
	Ends     []string      `cbor:"2,keyasint,omitempty"` // Ends are the upstream instances that ended under it.
	Cleared  []string      `cbor:"3,keyasint,omitempty"` // Cleared are ends that no longer count.
	Age      time.Duration `cbor:"4,keyasint,omitempty"` // Age is the time since the record last changed.
	// Requests has, for a part of prompts, the key of a request with it for each of Ends; it is empty for a request.
	Requests []uint64      `cbor:"5,keyasint,omitempty"`
	Span     time.Duration `cbor:"6,keyasint,omitempty"` // Span is the time from the first end to the last one.
	Trials   int           `cbor:"7,keyasint,omitempty"` // Trials is the number of times that a bar was suspended for one request.
}

// OfPart reports whether the entry is about a part of prompts.
func (w *Entry) OfPart() bool { return len(w.Requests) > 0 }

// request returns the key of the request of an end; 0 if the entry is about a request.
func (w *Entry) request(i int) uint64 {
	if i < len(w.Requests) {
		return w.Requests[i]
	}
	return 0
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

// end is the end of an upstream instance under an identity.
type end struct {
	instance string
	request  uint64 // request is the key of a request with the part that was in progress; 0 in records of requests.
}

// record is the local record of one identity.
type record struct {
	part         bool  // part reports that it is about a part of prompts.
	ends         []end // ends are in the order in which they became known.
	cleared      []string
	firstAt      time.Time // firstAt is when the first end became known, lastAt when the last one did.
	lastAt       time.Time
	changedAt    time.Time // changedAt is when the record last changed.
	lastLocalEnd time.Time // lastLocalEnd is when this host last observed an end itself.
	trials       int       // trials counts the requests for which the bar was suspended.
}

// barred reports whether no request may be sent. A part is barred only if upstreams have ended under different requests
// with it, and not all at once.
func (r *record) barred() bool {
	if !r.part {
		return len(r.ends) >= BarThreshold
	}
	return len(r.ends) >= PartBarThreshold && r.requests() >= minPartRequests && r.lastAt.Sub(r.firstAt) >= minPartSpan
}

// requests returns the number of different requests of the ends.
func (r *record) requests() int {
	seen := make(map[uint64]bool, len(r.ends))
	for _, e := range r.ends {
		seen[e.request] = true
	}
	return len(seen)
}

// hasRequest reports whether a request is known to have the part.
func (r *record) hasRequest(key uint64) bool {
	return slices.ContainsFunc(r.ends, func(e end) bool { return e.request == key })
}

// endsBeside returns the number of ends that another record lacks.
func (r *record) endsBeside(other *record) int {
	n := 0
	for _, e := range r.ends {
		if other.index(e.instance) < 0 {
			n++
		}
	}
	return n
}

// index returns the index of the end of an instance, or -1.
func (r *record) index(instance string) int {
	return slices.IndexFunc(r.ends, func(e end) bool { return e.instance == instance })
}

// instances returns the instances that have ended.
func (r *record) instances() []string {
	var out []string
	for _, e := range r.ends {
		out = append(out, e.instance)
	}
	return out
}

func (r *record) empty() bool { return len(r.ends) == 0 && len(r.cleared) == 0 }

// multipleEnds reports whether more than one end is known, cleared or not. Only such records are
// reconciled by Digest: most requests with a single end never come back, and a lost report costs at most
// one more upstream.
func (r *record) multipleEnds() bool { return len(r.ends)+len(r.cleared) > 1 }

// ttl is how long the record is kept after its last change.
func (r *record) ttl() time.Duration { return recordTTL(len(r.ends)) }

func (w *Entry) ttl() time.Duration { return recordTTL(len(w.Ends)) }

func recordTTL(ends int) time.Duration {
	if ends >= BarThreshold {
		return barTTL
	}
	return suspectTTL
}

// add records an end and reports whether it is new. Hosts that know different requests for one end agree on the one with
// the smallest key.
func (r *record) add(e end) bool {
	if i := r.index(e.instance); i >= 0 {
		if e.request == 0 || e.request >= r.ends[i].request {
			return false
		}
		r.ends[i].request = e.request
		return true
	}
	if slices.Contains(r.cleared, e.instance) || len(r.ends) >= maxEnds {
		return false
	}
	r.ends = append(r.ends, e)
	return true
}

// extend records when ends became known.
func (r *record) extend(first, last time.Time) {
	if r.firstAt.IsZero() || first.Before(r.firstAt) {
		r.firstAt = first
	}
	if last.After(r.lastAt) {
		r.lastAt = last
	}
}

// clear marks an end as cleared and reports whether it was not yet.
func (r *record) clear(instance string) bool {
	if slices.Contains(r.cleared, instance) {
		return false
	}
	r.ends = slices.DeleteFunc(r.ends, func(e end) bool { return e.instance == instance })
	if len(r.ends) == 0 {
		r.firstAt, r.lastAt = time.Time{}, time.Time{}
	}
	r.cleared = append(r.cleared, instance)
	if over := len(r.cleared) - maxEnds; over > 0 {
		r.cleared = r.cleared[over:]
	}
	return true
}

// clearAll clears all ends and reports whether there were any.
func (r *record) clearAll() bool {
	counted := r.instances()
	for _, instance := range counted {
		r.clear(instance)
	}
	return len(counted) > 0
}

// merge adds the record of another host and reports whether this one changed.
func (r *record) merge(w Entry) bool {
	changed := false
	r.part = r.part || w.OfPart()
	for _, instance := range w.Cleared {
		changed = r.clear(instance) || changed
	}
	for i, instance := range w.Ends {
		changed = r.add(end{instance: instance, request: w.request(i)}) || changed
	}
	if w.Trials > r.trials {
		r.trials, changed = w.Trials, true
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
		for _, e := range r.ends {
			sum ^= xxhash.Sum64String(string(id[:]) + "+" + e.instance)
			if e.request != 0 {
				sum ^= xxhash.Sum64String(string(id[:]) + "+" + e.instance + "/" + strconv.FormatUint(e.request, 16))
			}
		}
	}
	for _, instance := range r.cleared {
		sum ^= xxhash.Sum64String(string(id[:]) + "-" + instance)
	}
	return sum
}

func (r *record) snapshot(now time.Time, id Identity) Entry {
	w := Entry{Identity: id, Ends: r.instances(), Cleared: slices.Clone(r.cleared), Age: max(0, now.Sub(r.changedAt)), Trials: r.trials}
	if r.part {
		w.Span = max(0, r.lastAt.Sub(r.firstAt))
		for _, e := range r.ends {
			w.Requests = append(w.Requests, e.request)
		}
	}
	return w
}
