// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package assessor

import (
	"math"
	"slices"
	"time"
)

const (
	// PaceTTL is the age at which a stated slowdown has no weight left. The figure changes every 600 ms.
	PaceTTL = 600 * time.Millisecond
	// HiddenTTL is the age at which hidden requests have no weight left: the median age of the oldest
	// report of another host, 0.94 s.
	HiddenTTL = time.Second
	// MaxStatements bounds the statements in a message.
	MaxStatements = 64
	// MaxFigure bounds the numbers of requests and slots, MaxSlowdown the slowdown.
	MaxFigure   = 1 << 20
	MaxSlowdown = 100

	// Slow is the slowdown from which a statement is sent to other hosts, urgentSlowdown that from which
	// it is sent at once.
	Slow           = 1.3
	urgentSlowdown = 1.5
	// minPace and maxPace bound the effect of a wrong figure.
	minPace, maxPace = 0.5, 10
	// sharedFor and sharedWithin are the age and the relative difference up to which a statement that hosts
	// have told each other is not sent again.
	sharedFor    = 200 * time.Millisecond
	sharedWithin = 0.2
	// maxHiddenRounds bounds the hidden requests as a multiple of the slots. Beyond it the decay to less than the
	// slots would take longer than half of HiddenTTL, however wrong the figures are.
	maxHiddenRounds = 2
	// recordTTL is how long an instance is kept without a statement.
	recordTTL = 10 * time.Second
	// maxRecords bounds the instances; it is several times the upstreams of the design size.
	maxRecords = 8192
)

// Options configure an Assessor.
type Options struct {
	// Lists reports whether an instance is listed; nil counts all as listed.
	Lists func(instance string) bool
}

// Known is the work that this host knew of when a statement was made.
type Known struct {
	Requests int // Requests are those of all hosts.
	Slots    int // Slots is the configured number of slots; 0 if there is none.
}

// Counts counts statements by what became of them.
type Counts struct {
	Used, Stale, Malformed, Foreign uint64
}

// Assessor keeps the last statements of upstreams. It is not safe for concurrent use. Times are passed in
// and must come from one monotonic clock.
type Assessor struct {
	opts    Options
	records map[string]*Record
	counts  Counts
}

// Record is the last statement of one instance. A nil Record has none.
type Record struct {
	slowdown float64 // slowdown is 0 if none was stated.
	paceAt   time.Time
	load     Load // load is the last one stated to this host.
	loadAt   time.Time
	hidden   int // hidden are the requests of load that this host did not know of.

	unsent   bool    // unsent marks a statement for the next message.
	told     float64 // told is the slowdown that hosts last told each other.
	toldAt   time.Time
	lastSeen time.Time
}

// New returns an Assessor without statements.
func New(opts Options) *Assessor {
	return &Assessor{opts: opts, records: make(map[string]*Record)}
}

// Valid reports whether all figures are within their bounds.
func (l Load) Valid() bool {
	for _, n := range []int{l.Running, l.Waiting, l.Slots} {
		if n < 0 || n > MaxFigure {
			return false
		}
	}
	s := float64(l.Slowdown)
	return s == 0 || s > 0 && s <= MaxSlowdown // false for NaN
}

// Observe keeps what an upstream has stated to this host at a time, and reports whether other hosts should
// learn of it at once.
func (a *Assessor) Observe(now time.Time, instance string, load Load, madeAt time.Time, known Known) (urgent bool) {
	if !a.accepts(now, instance, load, madeAt) {
		return false
	}
	r := a.record(now, instance)
	if r == nil || madeAt.Before(r.loadAt) {
		a.counts.Stale++
		return false
	}
	a.counts.Used++
	r.load, r.loadAt, r.hidden = load, madeAt, max(load.Running+load.Waiting-max(known.Requests, 0), 0)
	if known.Slots > 0 {
		r.hidden = min(r.hidden, maxHiddenRounds*max(known.Slots, load.Slots))
	}
	wasSlow := r.Pace(now) >= Slow
	if !r.setPace(load, madeAt) {
		return false
	}
	s := r.slowdown
	toldSlow := r.told >= Slow && now.Sub(r.toldAt) < PaceTTL
	othersKnow := now.Sub(r.toldAt) < sharedFor && math.Abs(s-r.told) <= sharedWithin*r.told
	r.unsent = (s >= Slow || toldSlow) && !othersKnow
	return r.unsent && s >= urgentSlowdown && !wasSlow && !toldSlow
}

// Merge keeps what another host has sent, and reports whether it told of a slowdown that this host did not
// know and that matters at once.
func (a *Assessor) Merge(now time.Time, statements []Statement) (urgent bool) {
	for i, s := range statements {
		if i >= MaxStatements || s.Age < 0 {
			a.counts.Malformed++
			continue
		}
		madeAt := now.Add(-min(s.Age, time.Hour))
		if !a.accepts(now, s.Instance, s.Load, madeAt) {
			continue
		}
		r := a.record(now, s.Instance)
		if r == nil {
			a.counts.Stale++
			continue
		}
		wasSlow := r.Pace(now) >= Slow
		if !r.setPace(s.Load, madeAt) {
			a.counts.Stale++
			continue
		}
		a.counts.Used++
		r.told, r.toldAt, r.unsent = r.slowdown, madeAt, false
		urgent = urgent || r.slowdown >= urgentSlowdown && !wasSlow
	}
	return urgent
}

// accepts reports whether a statement may be used, and counts it if not.
func (a *Assessor) accepts(now time.Time, instance string, load Load, madeAt time.Time) bool {
	switch {
	case !load.Valid() || madeAt.After(now):
		a.counts.Malformed++
	case a.opts.Lists != nil && !a.opts.Lists(instance):
		a.counts.Foreign++
	case now.Sub(madeAt) >= HiddenTTL:
		a.counts.Stale++
	default:
		return true
	}
	return false
}

// record returns the record of an instance and creates it if needed; nil if there are too many.
func (a *Assessor) record(now time.Time, instance string) *Record {
	r := a.records[instance]
	if r == nil {
		if len(a.records) >= maxRecords {
			return nil
		}
		r = &Record{}
		a.records[instance] = r
	}
	r.lastSeen = now
	return r
}

// setPace keeps a stated slowdown unless a newer one is known.
func (r *Record) setPace(load Load, madeAt time.Time) bool {
	if load.Slowdown == 0 || !madeAt.After(r.paceAt) {
		return false
	}
	r.slowdown, r.paceAt = float64(load.Slowdown), madeAt
	return true
}

// Record returns the record of an instance; nil if there is none. It remains valid, and changes with later
// statements until the instance is dropped.
func (a *Assessor) Record(instance string) *Record { return a.records[instance] }

// Stated returns the last load that was stated to this host, and when it was; zero if none was.
func (r *Record) Stated() (Load, time.Time) {
	if r == nil {
		return Load{}, time.Time{}
	}
	return r.load, r.loadAt
}

// Pace returns the factor by which work at an instance takes longer than usual.
func (a *Assessor) Pace(now time.Time, instance string) float64 { return a.records[instance].Pace(now) }

// Hidden returns the requests at an instance that this host has not learned of otherwise. All other hosts
// have reported at reported or later.
func (a *Assessor) Hidden(now time.Time, instance string, reported time.Time) int {
	return a.records[instance].Hidden(now, reported)
}

// Slots returns the slots that the upstream stated last; 0 if it stated none.
func (r *Record) Slots() int {
	if r == nil {
		return 0
	}
	return r.load.Slots
}

// Pace is Assessor.Pace for the record's instance.
func (r *Record) Pace(now time.Time) float64 {
	if r == nil || r.slowdown == 0 || r.slowdown == 1 {
		return 1
	}
	weight := decay(now.Sub(r.paceAt), PaceTTL)
	return min(max(1+(r.slowdown-1)*weight, minPace), maxPace)
}

// MaybeHidden reports whether Hidden can be above 0.
func (r *Record) MaybeHidden() bool { return r != nil && r.hidden > 0 }

// Hidden is Assessor.Hidden for the record's instance.
func (r *Record) Hidden(now, reported time.Time) int {
	if !r.MaybeHidden() || reported.After(r.loadAt) {
		return 0
	}
	return int(float64(r.hidden)*decay(now.Sub(r.loadAt), HiddenTTL) + 0.5)
}

// Reported records that other hosts have reported n more requests than before, which are no longer hidden. n
// must be above 0.
func (r *Record) Reported(n int) {
	r.hidden = max(r.hidden-n, 0)
}

// decay returns a weight that falls from 1 to 0 at ttl.
func decay(age, ttl time.Duration) float64 {
	switch {
	case age <= 0:
		return 1
	case age >= ttl:
		return 0
	}
	return float64(ttl-age) / float64(ttl)
}

// Statements returns what this host has heard since the last call and other hosts should know, newest first.
func (a *Assessor) Statements(now time.Time) []Statement {
	var out []Statement
	for instance, r := range a.records {
		if !r.unsent {
			continue
		}
		if age := max(now.Sub(r.paceAt), 0); age < PaceTTL {
			load := r.load
			load.Slowdown = float32(r.slowdown)
			out = append(out, Statement{Instance: instance, Load: load, Age: age})
		} else {
			r.unsent = false
		}
	}
	slices.SortFunc(out, Newer)
	out = out[:min(len(out), MaxStatements)]
	for _, s := range out {
		r := a.records[s.Instance]
		r.unsent, r.told, r.toldAt = false, r.slowdown, r.paceAt
	}
	return out
}

// Newer orders statements by age, and those of one age by instance.
func Newer(a, b Statement) int {
	switch {
	case a.Age != b.Age && a.Age < b.Age:
		return -1
	case a.Age != b.Age:
		return 1
	case a.Instance < b.Instance:
		return -1
	case a.Instance > b.Instance:
		return 1
	}
	return 0
}

// Expire drops instances without a statement for a time. Those that are no longer listed get none.
func (a *Assessor) Expire(now time.Time) {
	for instance, r := range a.records {
		if now.Sub(r.lastSeen) > recordTTL {
			delete(a.records, instance)
		}
	}
}

// Slowed returns the number of instances whose stated pace is slow.
func (a *Assessor) Slowed(now time.Time) int {
	n := 0
	for _, r := range a.records {
		if r.Pace(now) >= Slow {
			n++
		}
	}
	return n
}

// Discard counts statements that arrived at an unknown time.
func (a *Assessor) Discard(n int) { a.counts.Stale += uint64(n) }

// Counts returns the numbers of statements since the start.
func (a *Assessor) Counts() Counts { return a.counts }
