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
	// Bar is the number of ends from which a request is barred: the least that the users
	// want, and the aim for what one bad request costs in all. Of 107 to 141 requests that
	// had an engine end under them on a day with some 30 crashes, 3 to 7 had two, none three.
	Bar = 3
	// oneEvent is the time within which an upstream to which a request was sent on after an end
	// is taken to have ended with the first one, as at a loss of power. A request is sent on
	// within 4 ms of an end, and a bad one ran for 40 ms at least before its upstream ended. Of
	// 4,422 requests that had an upstream end under them, on 36 days with some 30 crashes each,
	// one was barred without this, and two of its three ends were 2 ms apart.
	oneEvent = 20 * time.Millisecond
	// mostEnds bounds the ends that are remembered of one identity: as many as copies of it
	// may end that are under way at once.
	mostEnds = 64
	// suspectLife is how long ends count that are too few for a bar: callers come back
	// within seconds, prompts after minutes.
	suspectLife = 10 * time.Minute
	// barLife is how long a bar stands after the last end, so that a request that is
	// repeated all day ends three upstreams a day. An operator may lift it sooner.
	barLife = 24 * time.Hour
	// mostRecords bounds what is remembered: a loss of 60 upstreams with 64 requests each
	// leaves 3,840 suspects. Records take some 300 bytes each.
	mostRecords = 8192
	// leftLife is how long after a request was given up its upstream's end counts for it: one
	// that ends upstreams does so within 0.4 s, and the end shows when the next request is sent
	// there.
	leftLife = time.Second
	// mostLeft bounds how many requests are remembered that were given up in that time. A host
	// of the size to design for serves 18 a second.
	mostLeft = 1024
	// mostServed is how many identities of served requests are remembered at least, twice as
	// many at most. A host of the size to design for serves 18 a second: 230 s.
	mostServed = 4096
)

// Standing is what is thought of a request.
type Standing string

// The standings.
const (
	Free    Standing = "Free"
	Suspect Standing = "Suspect" // Suspect says that upstreams have ended under it, too few for a bar.
	Barred  Standing = "Barred"
)

// Verdict is a Standing with what it is based on.
type Verdict struct {
	Standing Standing
	Ends     []string // Ends are the starts of upstreams that ended under the request.
}

// Options set up a Ledger.
type Options struct {
	// Changed is called, if set, when News has something new. It must not block, nor call
	// the Ledger.
	Changed func()
	// Barred is called, if set, when a request is barred here. It must not block, nor call
	// the Ledger.
	Barred func(w Word)
}

// Ledger remembers under which requests upstreams have ended. It is safe for concurrent
// use.
type Ledger struct {
	opts  Options
	known atomic.Int64 // known is the number of records, for those who need not take the lock.

	mu      sync.Mutex
	records map[Identity]*record
	news    map[Identity]struct{} // news are identities of which the other hosts are to hear.
	digest  uint64
	served  recent
	left    []departure // left are requests that were given up lately, in order.
}

// departure is a request that was given up while it was under way at a start of an upstream.
type departure struct {
	id    Identity
	start string
	at    time.Time
}

// New returns a ledger that knows nothing.
func New(opts Options) *Ledger {
	return &Ledger{opts: opts, records: make(map[Identity]*record), news: make(map[Identity]struct{})}
}

// Standing returns what is thought of a request.
func (l *Ledger) Standing(now time.Time, id Identity) Verdict {
	if l.known.Load() == 0 {
		return Verdict{Standing: Free}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[id]
	switch {
	case r == nil || len(r.ends) == 0 || now.Sub(r.at) >= r.life():
		return Verdict{Standing: Free}
	case r.barred():
		return Verdict{Standing: Barred, Ends: slices.Clone(r.ends)}
	}
	return Verdict{Standing: Suspect, Ends: slices.Clone(r.ends)}
}

// Ended takes in that a start of an upstream has ended, as this host has seen, with a request
// under way that it was sent at a time. Copies of a bad request that are sent at once end their
// upstreams at once: only what was sent on after an end may have met the same event.
func (l *Ledger) Ended(now time.Time, id Identity, start string, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.departed(now, map[string]bool{start: true})
	if r := l.records[id]; r != nil && now.Sub(r.seen) < oneEvent && !sent.Before(r.seen) {
		return
	}
	l.count(now, id, start)
}

// Left takes in that a request was given up here, by its caller or for its time, while it may
// have been under way at a start of an upstream. If that ends soon, the request counts among
// those that were: callers that break off and come again would else end one upstream after the
// other unseen.
func (l *Ledger) Left(now time.Time, id Identity, start string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if over := len(l.left) - mostLeft + 1; over > 0 {
		l.left = l.left[over:]
	}
	l.left = append(l.left, departure{id: id, start: start, at: now})
}

// Gone takes in that a start of an upstream has ended, with no request of this host under way.
func (l *Ledger) Gone(now time.Time, start string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.departed(now, map[string]bool{start: true})
}

// departed counts the ends of starts of upstreams for requests that were given up there just
// before; l.mu is held.
func (l *Ledger) departed(now time.Time, ended map[string]bool) {
	fresh := slices.IndexFunc(l.left, func(d departure) bool { return now.Sub(d.at) < leftLife })
	if fresh < 0 {
		l.left = nil
		return
	}
	l.left = l.left[fresh:]
	for _, d := range l.left {
		if ended[d.start] {
			l.count(now, d.id, d.start)
		}
	}
}

// count counts an end that this host has seen; l.mu is held.
func (l *Ledger) count(now time.Time, id Identity, start string) {
	if l.served.has(id) {
		return // one that ends upstreams was never served
	}
	if l.change(now, id, func(r *record) bool { return r.add(start) }) {
		l.records[id].seen = now
		l.tell(id)
	}
}

// Served takes in that a request was answered whole and well: no end was its doing.
func (l *Ledger) Served(now time.Time, id Identity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served.add(id)
	l.clear(now, id)
}

// Lift clears a request on an operator's word. It reports whether any end counted.
func (l *Ledger) Lift(now time.Time, id Identity) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clear(now, id)
}

// clear lets no end of a request count any more; l.mu is held.
func (l *Ledger) clear(now time.Time, id Identity) bool {
	r := l.records[id]
	if r == nil || !l.change(now, id, (*record).clearAll) {
		return false
	}
	if r.repeated() {
		l.tell(id)
	}
	return true
}

// tell has the other hosts hear of an identity; l.mu is held.
func (l *Ledger) tell(id Identity) {
	l.news[id] = struct{}{}
	if l.opts.Changed != nil {
		l.opts.Changed()
	}
}

// Hear takes in what another host knows, and returns what is known of requests that are
// barred by it, to be told on. The rest need not be: hosts that differ find out by Digest.
func (l *Ledger) Hear(now time.Time, words []Word) (barred []Word) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.left) > 0 {
		l.departed(now, endsOf(words))
	}
	for _, w := range words {
		if w.Age < w.life() {
			free := !l.barred(w.Identity)
			l.change(now.Add(-w.Age), w.Identity, func(r *record) bool { return r.merge(w) })
			if free && l.barred(w.Identity) {
				barred = append(barred, l.records[w.Identity].word(now, w.Identity))
			}
		}
		if l.served.has(w.Identity) {
			l.clear(now, w.Identity)
		}
	}
	return barred
}

// barred tells whether a request is; l.mu is held.
func (l *Ledger) barred(id Identity) bool {
	r := l.records[id]
	return r != nil && r.barred()
}

// change changes a record of which something was heard of at a time, and reports whether it
// did; l.mu is held.
func (l *Ledger) change(at time.Time, id Identity, do func(r *record) bool) bool {
	r := l.records[id]
	if r == nil {
		l.makeRoom()
		r = &record{}
		l.records[id] = r
	}
	before, free := r.digest(id), !r.barred()
	changed := do(r)
	if changed && at.After(r.at) {
		r.at = at
	}
	l.digest ^= before ^ r.digest(id)
	if free && r.barred() && l.opts.Barred != nil {
		l.opts.Barred(r.word(at, id))
	}
	if r.empty() {
		delete(l.records, id)
	}
	l.known.Store(int64(len(l.records)))
	return changed
}

// Expire forgets what is too old. It is to be called from time to time.
func (l *Ledger) Expire(now time.Time) {
	if l.known.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.records {
		if now.Sub(r.at) >= r.life() {
			l.forget(id)
		}
	}
}

func (l *Ledger) forget(id Identity) {
	l.digest ^= l.records[id].digest(id)
	delete(l.records, id)
	delete(l.news, id)
	l.known.Store(int64(len(l.records)))
}

// makeRoom forgets the oldest quarter of the records when there are too many, and bars after
// all others.
func (l *Ledger) makeRoom() {
	if len(l.records) < mostRecords {
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
		return x.at.Compare(y.at)
	})
	for _, id := range ids[:max(0, len(ids)-mostRecords*3/4)] {
		l.forget(id)
	}
}

// News returns what the other hosts are to hear since it was last asked for.
func (l *Ledger) News(now time.Time) []Word {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Word
	for id := range l.news {
		out = append(out, l.records[id].word(now, id))
	}
	clear(l.news)
	return out
}

// Words returns what Digest is of, for hosts that know less.
func (l *Ledger) Words(now time.Time) []Word {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.words(now, (*record).repeated)
}

// Bars returns what is known of requests that are barred.
func (l *Ledger) Bars(now time.Time) []Word {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.words(now, (*record).barred)
}

func (l *Ledger) words(now time.Time, which func(r *record) bool) []Word {
	var out []Word
	for id, r := range l.records {
		if now.Sub(r.at) < r.life() && which(r) {
			out = append(out, r.word(now, id))
		}
	}
	return out
}

// Digest is the same for ledgers that know the same of requests with more than one end, and 0
// for one that knows of none.
func (l *Ledger) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// Len returns the number of identities of which ends are remembered.
func (l *Ledger) Len() int { return int(l.known.Load()) }
