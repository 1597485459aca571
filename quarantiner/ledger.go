// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package quarantiner

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// BarThreshold is the number of ends from which a request is barred. Of 107 to 141 requests that had an
	// engine end under them in some 30 unrelated crashes, 3 to 7 had two ends and none three.
	BarThreshold = 3
	// sameEventWindow is the time after an end within which the end of a retry's upstream is attributed
	// to the same event, such as a loss of power. A retry follows within 4 ms of an end, and a bad request
	// runs for 40 ms or more before its upstream ends.
	sameEventWindow = 20 * time.Millisecond
	// maxEnds bounds the ends recorded per identity. So many copies of a request may be running at once.
	maxEnds = 64
	// suspectTTL is how long the ends of a suspect count. Callers retry within seconds, or
	// after minutes with a prompt.
	suspectTTL = 10 * time.Minute
	// barTTL is how long a request stays barred after its last end, unless an operator lifts the bar. A
	// request that is repeated all day thus ends three upstreams a day.
	barTTL = 24 * time.Hour
	// maxRecords bounds the identities recorded. A loss of 60 upstreams with 64 requests each leaves 3,840
	// suspects; a record takes some 300 bytes.
	maxRecords = 8192
	// abandonedTTL is how long the end of an upstream counts for a request abandoned there. The end may
	// be noticed only when the next request is sent to the upstream. A bad request ends its upstream within
	// 0.4 s.
	abandonedTTL = time.Second
	// maxAbandoned bounds the abandoned requests remembered.
	maxAbandoned = 1024
	// minServedKept is the number of most recently served identities that are always remembered; up to
	// twice as many may be.
	minServedKept = 4096
)

// Standing is the status of a request.
type Standing string

const (
	Free    Standing = "Free"    // Free means that no ends count against it.
	Suspect Standing = "Suspect" // Suspect means that upstreams have ended under it, but fewer than BarThreshold.
	Barred  Standing = "Barred"  // Barred means that it is sent to no upstream.
)

// Verdict is a Standing with its evidence.
type Verdict struct {
	Standing Standing
	Ends     []string // Ends are the upstream instances that ended under the request.
}

// Options configure a Ledger.
type Options struct {
	// Changed is called, if set, when TakeChanges has new entries. It must not block or call the Ledger.
	Changed func()
	// Barred is called, if set, when a request or a part becomes barred. It must not block or call the Ledger.
	Barred func(w Entry)
	// Tries reports whether this host is the one that suspends the bar of a part for a request; nil means that none
	// does. It must not block or call the Ledger.
	Tries func(part Identity) bool
}

// Ledger records the upstream ends of each request. It is safe for concurrent use.
type Ledger struct {
	opts Options
	size atomic.Int64 // size is len(records), readable without the lock.
	// parts is the number of records of parts, readable without the lock.
	parts atomic.Int64

	mu      sync.Mutex
	records map[Identity]*record
	unsent  map[Identity]struct{} // unsent are identities whose changes TakeChanges has not returned yet.
	digest  uint64                // digest is the XOR of the digests of all records.
	served  recentSet
	begun   recentTimes // begun are the parts with which upstreams have lately begun answers.
	// barredParts and barredRequests are the parts and requests that are barred.
	barredParts    map[Identity]struct{}
	barredRequests map[Identity]struct{}
	abandoned      []abandonment // abandoned are recently abandoned requests, oldest first.
}

// abandonment is a request that was abandoned while it was running at an upstream instance.
type abandonment struct {
	evidence Evidence
	instance string
	at       time.Time
}

// New returns an empty ledger.
func New(opts Options) *Ledger {
	return &Ledger{opts: opts, records: make(map[Identity]*record), unsent: make(map[Identity]struct{}), barredParts: make(map[Identity]struct{}), barredRequests: make(map[Identity]struct{})}
}

// Standing returns the status of a request.
func (l *Ledger) Standing(now time.Time, id Identity) Verdict {
	if l.size.Load() == 0 {
		return Verdict{Standing: Free}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[id]
	switch {
	case r == nil || len(r.ends) == 0 || now.Sub(r.changedAt) >= r.ttl():
		return Verdict{Standing: Free}
	case r.barred():
		return Verdict{Standing: Barred, Ends: r.instances()}
	}
	return Verdict{Standing: Suspect, Ends: r.instances()}
}

// Ended records that an upstream instance ended while running a request that was sent at the given time.
// A request sent after the previous end was a retry, and its upstream may have ended by the same event;
// copies that were sent concurrently count separately. The end counts for the parts of its prompt as well.
func (l *Ledger) Ended(now time.Time, ev Evidence, instance string, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countAbandoned(now, map[string]bool{instance: true})
	if r := l.records[ev.Request]; r != nil && now.Sub(r.lastLocalEnd) < sameEventWindow && !sent.Before(r.lastLocalEnd) {
		return
	}
	l.recordEnds(now, &ev, instance)
}

// recordEnds records an end for a request and its parts; l.mu is held.
func (l *Ledger) recordEnds(now time.Time, ev *Evidence, instance string) {
	l.recordEnd(now, ev.Request, instance)
	for _, part := range ev.Parts {
		l.recordPartEnd(now, part, ev.Request, instance)
	}
}

// Abandoned records that a request was abandoned, by its caller or at its deadline, while it may have been
// running at an upstream instance. Otherwise callers that disconnect and retry could end one upstream
// after another unnoticed.
func (l *Ledger) Abandoned(now time.Time, ev Evidence, instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if over := len(l.abandoned) - maxAbandoned + 1; over > 0 {
		l.abandoned = l.abandoned[over:]
	}
	l.abandoned = append(l.abandoned, abandonment{evidence: ev, instance: instance, at: now})
}

// InstanceEnded records that an upstream instance ended without a running request of this host.
func (l *Ledger) InstanceEnded(now time.Time, instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countAbandoned(now, map[string]bool{instance: true})
}

// countAbandoned records the ends of upstream instances for the requests recently abandoned there;
// l.mu is held.
func (l *Ledger) countAbandoned(now time.Time, ended map[string]bool) {
	fresh := slices.IndexFunc(l.abandoned, func(d abandonment) bool { return now.Sub(d.at) < abandonedTTL })
	if fresh < 0 {
		l.abandoned = nil
		return
	}
	l.abandoned = l.abandoned[fresh:]
	for _, d := range l.abandoned {
		if ended[d.instance] {
			l.recordEnds(now, &d.evidence, d.instance)
		}
	}
}

// recordEnd records an end that this host has observed; l.mu is held.
func (l *Ledger) recordEnd(now time.Time, id Identity, instance string) {
	if l.served.has(id) {
		return // a request that crashes upstreams is never served
	}
	if l.update(now, id, func(r *record) bool { return r.add(end{instance: instance}) }) {
		l.records[id].lastLocalEnd = now
		l.announce(id)
	}
}

// Served records that a request was answered in full, which clears its ends.
func (l *Ledger) Served(now time.Time, id Identity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served.add(id)
	l.clear(now, id)
}

// Lift clears the ends of a request for an operator. It reports whether there were any.
func (l *Ledger) Lift(now time.Time, id Identity) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clear(now, id)
}

// clear clears the ends of a request; l.mu is held.
func (l *Ledger) clear(now time.Time, id Identity) bool {
	r := l.records[id]
	if r == nil || len(r.ends) == 0 || !l.update(now, id, (*record).clearAll) {
		return false
	}
	if r.multipleEnds() {
		l.announce(id)
	}
	return true
}

// announce queues an identity for TakeChanges; l.mu is held.
func (l *Ledger) announce(id Identity) {
	l.unsent[id] = struct{}{}
	if l.opts.Changed != nil {
		l.opts.Changed()
	}
}

// Merge merges the records of another host, and returns those that became barred by it, for forwarding.
// Other differences are found by comparing Digest.
func (l *Ledger) Merge(now time.Time, entries []Entry) (barred []Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.abandoned) > 0 {
		l.countAbandoned(now, endedStarts(entries))
	}
	for _, w := range entries {
		if w.Age < w.ttl() {
			free := !l.barred(w.Identity)
			l.mergeEntry(now, w)
			if free && l.barred(w.Identity) {
				barred = append(barred, l.records[w.Identity].snapshot(now, w.Identity))
			}
		}
		if l.served.has(w.Identity) || l.begun.has(now, w.Identity) {
			l.clear(now, w.Identity)
		}
	}
	return barred
}

// mergeEntry merges the record of another host; l.mu is held.
func (l *Ledger) mergeEntry(now time.Time, w Entry) {
	at := now.Add(-w.Age)
	l.updateEnds(at, at.Add(-w.Span), w.Identity, func(r *record) bool { return r.merge(w) })
}

// barred reports whether a request is barred; l.mu is held.
func (l *Ledger) barred(id Identity) bool {
	r := l.records[id]
	return r != nil && r.barred()
}

// update applies do to a record, of which an entry arrived at the given time, and reports whether it changed;
// l.mu is held.
func (l *Ledger) update(at time.Time, id Identity, do func(r *record) bool) bool {
	return l.updateEnds(at, time.Time{}, id, do)
}

// updateEnds is update with ends of which the first was at an earlier time, zero for no ends; l.mu is held.
func (l *Ledger) updateEnds(at, first time.Time, id Identity, do func(r *record) bool) bool {
	r := l.records[id]
	if r == nil {
		l.evict()
		r = &record{}
		l.records[id] = r
	}
	before, free, part := r.digest(id), !r.barred(), r.part
	changed := do(r)
	if !part && r.part {
		l.parts.Add(1)
	}
	if changed && at.After(r.changedAt) {
		r.changedAt = at
	}
	if !first.IsZero() && len(r.ends) > 0 {
		r.extend(first, at)
	}
	l.digest ^= before ^ r.digest(id)
	if free && r.barred() && l.opts.Barred != nil {
		l.opts.Barred(r.snapshot(at, id))
	}
	l.noteBar(id, r)
	if r.empty() {
		l.remove(id)
	}
	l.size.Store(int64(len(l.records)))
	return changed
}

// noteBar keeps barredParts and barredRequests up to date; l.mu is held.
func (l *Ledger) noteBar(id Identity, r *record) {
	bars := l.barredRequests
	if r.part {
		bars = l.barredParts
	}
	if r.barred() {
		bars[id] = struct{}{}
	} else {
		delete(bars, id)
	}
}

// Expire removes expired records. It must be called periodically.
func (l *Ledger) Expire(now time.Time) {
	if l.size.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.records {
		if now.Sub(r.changedAt) >= r.ttl() {
			l.remove(id)
		}
	}
}

func (l *Ledger) remove(id Identity) {
	l.digest ^= l.records[id].digest(id)
	if l.records[id].part {
		l.parts.Add(-1)
	}
	delete(l.records, id)
	delete(l.unsent, id)
	delete(l.barredParts, id)
	delete(l.barredRequests, id)
	l.size.Store(int64(len(l.records)))
}

// evict removes the oldest quarter of the records if there are too many, barred ones last.
func (l *Ledger) evict() {
	if len(l.records) < maxRecords {
		return
	}
	ids := make([]Identity, 0, len(l.records))
	for id := range l.records {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b Identity) int {
		x, y := l.records[a], l.records[b]
		if x.barred() != y.barred() {
			if y.barred() {
				return -1
			}
			return 1
		}
		return x.changedAt.Compare(y.changedAt)
	})
	for _, id := range ids[:max(0, len(ids)-maxRecords*3/4)] {
		l.remove(id)
	}
}

// TakeChanges returns the records to send to the other hosts, and clears the queue.
func (l *Ledger) TakeChanges(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Entry
	for id := range l.unsent {
		out = append(out, l.records[id].snapshot(now, id))
	}
	clear(l.unsent)
	return out
}

// Entries returns all records that Digest covers, for hosts that have missed some.
func (l *Ledger) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.snapshots(now, (*record).multipleEnds)
}

// Bars returns the records of barred requests.
func (l *Ledger) Bars(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.snapshots(now, (*record).barred)
}

func (l *Ledger) snapshots(now time.Time, which func(r *record) bool) []Entry {
	var out []Entry
	for id, r := range l.records {
		if now.Sub(r.changedAt) < r.ttl() && which(r) {
			out = append(out, r.snapshot(now, id))
		}
	}
	return out
}

// Digest returns a digest of the records with more than one end. Ledgers with the same such records have
// the same digest; it is 0 without any.
func (l *Ledger) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// Len returns the number of requests recorded.
func (l *Ledger) Len() int { return int(l.size.Load() - l.parts.Load()) }

// Parts returns the number of parts of prompts recorded.
func (l *Ledger) Parts() int { return int(l.parts.Load()) }
