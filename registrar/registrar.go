// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package registrar

import (
	"context"
	"maps"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/timer"
)

const (
	// ResumeTime is how long after its deadline a caller may take a stream up again.
	ResumeTime = 15 * time.Second
	// MaxLife bounds the time for which a record is kept, as another host states it, and with it the time for which a
	// stream may be taken up after its last event.
	MaxLife = 2 * time.Minute
	// maxRecords bounds the memory of records, at about 150 bytes each.
	maxRecords = 1 << 16
	// expireInterval is the least time between two searches for expired records.
	expireInterval = time.Second
	// maxNameBytes bounds the names in an entry of another host.
	maxNameBytes = 256

	// firstPause is the time after which hosts are asked again; it doubles with each time.
	firstPause = 10 * time.Millisecond
	// transitTime is the time in which a record arrives at its keepers.
	transitTime = 100 * time.Millisecond
	// findTimeout bounds the time for which hosts that do not answer are asked.
	findTimeout = 300 * time.Millisecond
)

// Options configures a Registrar.
type Options struct {
	Host  string // Host is this host's name.
	Timer timer.Service
	Due   func() // Due is called, if set, when there are messages to send. It must not block.
}

// Registrar knows where streams began. It is safe for concurrent use.
type Registrar struct {
	opts Options

	mu        sync.Mutex
	records   map[Key]record
	keepers   keepers
	former    keepers           // former are hosts with Host.Kept.
	addresses map[string]string // addresses has the address of each known host.
	outbox    outbox
	searches  map[Key]map[*search]struct{}
	expiredAt time.Time // expiredAt is when expired records were last deleted.
	counts    Counts
}

// record is what is known of a stream.
type record struct {
	origin    Origin
	source    Source
	at        time.Time // at is when this host learned of it.
	until     time.Time
	ambiguous bool
}

// Counts holds the counters of a Registrar.
type Counts struct {
	Recorded  uint64 // Recorded counts the streams that began at this host, or went on there.
	Received  uint64 // Received counts entries of other hosts, those of answers among them.
	Asked     uint64 // Asked counts questions to other hosts.
	Found     uint64 // Found counts searches in which a host knew the stream.
	Unknown   uint64 // Unknown counts searches in which none did.
	Conflicts uint64 // Conflicts counts entries that contradicted a record.
	Rejected  uint64 // Rejected counts entries of other hosts that are invalid.
	Dropped   uint64 // Dropped counts streams that were not recorded for want of memory.
}

// New returns a Registrar that knows no stream and no other host.
func New(opts Options) *Registrar {
	return &Registrar{
		opts: opts, records: make(map[Key]record), addresses: make(map[string]string),
		outbox: make(outbox), searches: make(map[Key]map[*search]struct{}),
	}
}

// SetHosts sets the known hosts, in any order; this host may be among them.
func (r *Registrar) SetHosts(hosts []Host) {
	k := newKeepers(r.opts.Host, hosts, func(h *Host) bool { return h.Keeps })
	former := newKeepers(r.opts.Host, hosts, func(h *Host) bool { return h.Kept && !h.Keeps })
	addresses := make(map[string]string, len(hosts))
	for _, h := range hosts {
		addresses[h.Name] = h.Address
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keepers, r.former, r.addresses = k, former, addresses
}

// Record records where a stream with a deadline began, and tells its keepers. A stream that goes on is
// recorded again with its new deadline.
func (r *Registrar) Record(key Key, o Origin, deadline time.Time) {
	now := r.opts.Timer.Now()
	life := min(max(deadline.Sub(now), 0)+ResumeTime, MaxLife)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Recorded++
	rec := r.put(now, key, record{origin: o, source: SourceOwn, until: now.Add(life)})
	for _, host := range r.keepers.of(key) {
		r.outbox.tell(host, entryOf(now, key, rec))
	}
	r.signalDue()
}

func entryOf(now time.Time, key Key, rec record) Entry {
	return Entry{Key: key, Service: rec.origin.Service, Software: rec.origin.Software, For: rec.until.Sub(now), Ambiguous: rec.ambiguous}
}

// put merges a record with what is known, and returns the result; r.mu is held.
func (r *Registrar) put(now time.Time, key Key, rec record) record {
	rec.at = now
	if known, ok := r.records[key]; ok && now.Before(known.until) {
		if known.origin != rec.origin && !known.ambiguous {
			r.counts.Conflicts++
		}
		rec.ambiguous = rec.ambiguous || known.ambiguous || known.origin != rec.origin
		rec.source, rec.at = known.source, known.at
		if known.until.After(rec.until) {
			rec.until = known.until
		}
	} else if !r.hasRoom(now) {
		r.counts.Dropped++
		return rec
	}
	r.records[key] = rec
	for s := range r.searches[key] {
		s.signal()
	}
	return rec
}

// hasRoom reports whether another record can be kept; r.mu is held.
func (r *Registrar) hasRoom(now time.Time) bool {
	if now.Sub(r.expiredAt) >= expireInterval {
		r.expiredAt = now
		maps.DeleteFunc(r.records, func(_ Key, rec record) bool { return !now.Before(rec.until) })
	}
	return len(r.records) < maxRecords
}

// lookup returns what this host knows of a stream; r.mu is held.
func (r *Registrar) lookup(now time.Time, key Key) (Finding, bool) {
	rec, ok := r.records[key]
	if !ok || !now.Before(rec.until) {
		return Finding{}, false
	}
	f := Finding{Source: rec.source, Age: now.Sub(rec.at), Ambiguous: rec.ambiguous}
	if !rec.ambiguous {
		f.Origin = rec.origin
	}
	return f, true
}

// search is a search for a stream that this host does not know.
type search struct {
	changed  chan struct{}   // changed signals that an answer has arrived.
	asked    map[string]bool // asked says of each host that was asked whether it does not know the stream.
	answered int             // answered is the number of hosts that do not.
}

func (s *search) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Find returns where a stream began. If this host does not know, it asks others, for findTimeout at most and
// until ctx is done.
func (r *Registrar) Find(ctx context.Context, key Key) Finding {
	start := r.opts.Timer.Now()
	r.mu.Lock()
	f, ok := r.lookup(start, key)
	if ok {
		r.mu.Unlock()
		return f
	}
	s := &search{changed: make(chan struct{}, 1), asked: make(map[string]bool)}
	if r.searches[key] == nil {
		r.searches[key] = make(map[*search]struct{})
	}
	r.searches[key][s] = struct{}{}
	r.mu.Unlock()
	defer r.endSearch(key, s)

	ctx, cancel := timer.WithDeadline(ctx, r.opts.Timer, start.Add(findTimeout))
	defer cancel()
	for pause := firstPause; ; pause *= 2 {
		r.ask(key, s)
		if f, done := r.await(ctx, key, s, start, pause); done {
			return f
		}
	}
}

// await waits for answers until hosts are to be asked again. It returns true when the search is over.
func (r *Registrar) await(ctx context.Context, key Key, s *search, start time.Time, pause time.Duration) (Finding, bool) {
	again := make(chan struct{})
	defer r.opts.Timer.After(pause, func(time.Time) { close(again) })()
	for {
		select {
		case <-s.changed:
			if f, over := r.result(key, s, start); over {
				return f, true
			}
			continue
		case <-again:
			return r.result(key, s, start)
		case <-ctx.Done():
			f, _ := r.result(key, s, start)
			return f, true
		}
	}
}

// result returns what is known in a search, and whether it is over: the stream is known, or all hosts have
// answered after the time in which its record would have arrived.
func (r *Registrar) result(key Key, s *search, start time.Time) (Finding, bool) {
	now := r.opts.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.lookup(now, key)
	f.Asked, f.Answered = len(s.asked), s.answered
	return f, ok || now.Sub(start) >= transitTime && s.answered == len(s.asked) && len(s.asked) > 0
}

// ask sends a question to the hosts that may know a stream.
func (r *Registrar) ask(key Key, s *search) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(s.asked)
	s.answered = 0
	for _, host := range r.keepers.sources(key) {
		s.asked[host] = false
		r.counts.Asked++
		r.outbox.ask(host, key)
	}
	for _, host := range r.former.sources(key) { // the search does not wait for these
		r.counts.Asked++
		r.outbox.ask(host, key)
	}
	r.signalDue()
}

func (r *Registrar) endSearch(key Key, s *search) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.searches[key], s)
	if len(r.searches[key]) == 0 {
		delete(r.searches, key)
	}
	if _, ok := r.lookup(r.opts.Timer.Now(), key); ok {
		r.counts.Found++
	} else {
		r.counts.Unknown++
	}
}

// Receive applies a message of another host.
func (r *Registrar) Receive(from string, m *Message) {
	now := r.opts.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range m.Entries {
		e := &m.Entries[i]
		if !e.valid() {
			r.counts.Rejected++
			continue
		}
		r.counts.Received++
		r.put(now, e.Key, record{
			origin: Origin{Service: e.Service, Software: e.Software}, source: SourceHost, until: now.Add(e.For), ambiguous: e.Ambiguous,
		})
	}
	for _, key := range m.Unknown {
		for s := range r.searches[key] {
			if unknown, ok := s.asked[from]; ok && !unknown {
				s.asked[from] = true
				s.answered++
				s.signal()
			}
		}
	}
	r.answer(now, from, m.Questions)
}

// valid reports whether an entry of another host can be recorded.
func (e *Entry) valid() bool {
	return e.Service != "" && len(e.Service) <= maxNameBytes && len(e.Software) <= maxNameBytes && e.For > 0 && e.For <= MaxLife
}

// answer answers the questions of another host; r.mu is held.
func (r *Registrar) answer(now time.Time, to string, questions []Key) {
	for _, key := range questions[:min(len(questions), maxParts)] {
		if _, ok := r.lookup(now, key); ok {
			r.outbox.tell(to, entryOf(now, key, r.records[key]))
		} else {
			r.outbox.deny(to, key)
		}
	}
	if len(questions) > 0 {
		r.signalDue()
	}
}

// signalDue calls Options.Due if there are messages; r.mu is held.
func (r *Registrar) signalDue() {
	if len(r.outbox) > 0 && r.opts.Due != nil {
		r.opts.Due()
	}
}

// Take returns the messages to send.
func (r *Registrar) Take() []Outgoing {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Outgoing
	for to, m := range r.outbox {
		if address := r.addresses[to]; address != "" {
			out = append(out, Outgoing{To: to, Address: address, Message: *m})
		}
	}
	clear(r.outbox)
	return out
}

// Dump is the state of a Registrar for inspection.
type Dump struct {
	Counts
	Records  int
	Searches int // Searches is the number of streams that are being searched for.
	Keepers  int // Keepers is the number of other hosts that keep records.
}

// Dump returns the current state.
func (r *Registrar) Dump() Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Dump{Counts: r.counts, Records: len(r.records), Searches: len(r.searches), Keepers: len(r.keepers)}
}
