// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package follower

import (
	"maps"
	"slices"
	"time"
	"unique"

	"amaranthgate.example/amaranthgate/matcher"
)

// lapseGrace is how long after the store's return a lapsed entry still counts:
// upstreams that live have renewed theirs within two seconds.
const lapseGrace = 2 * time.Second

// State is what one host believes. It is not safe for concurrent use.
type State struct {
	table     *matcher.Table
	named     map[string]Named
	recalled  map[string][]Named // recalled are namings that other hosts remember, by model.
	current   time.Time          // current is up to when the operators' feed is known.
	emptied   evacuations
	upstreams map[string]*entry
	list      Upstreams            // list has those of upstreams whose service the table knows, as last published.
	dirty     map[string]*Upstream // dirty are changes of list that were not published yet.
	weights   sharedWeights
	lapsed    int       // lapsed is how many of them have lapsed.
	listed    bool      // listed tells that a whole listing of the upstreams was taken in.
	away      bool      // away tells that the store's last answer was a failure.
	returned  time.Time // returned is when the store answered again after a failure.
}

// entry is an upstream with what is known of its end.
type entry struct {
	upstream *Upstream // upstream is never changed: views have it.
	offset   int64
	lapsed   time.Time // lapsed is when its removal was read while that may not count yet.
}

// New returns a state that knows nothing.
func New() *State {
	return &State{
		named:     make(map[string]Named),
		recalled:  make(map[string][]Named),
		emptied:   make(evacuations),
		upstreams: make(map[string]*entry),
		dirty:     make(map[string]*Upstream),
	}
}

// Answered tells that the store has answered this host or another.
func (s *State) Answered(now time.Time) {
	if s.away {
		s.away, s.returned = false, now
	}
}

// Failed tells that the store has not answered, or turned this host away.
func (s *State) Failed() { s.away = true }

// Away tells that the last call to the store failed.
func (s *State) Away() bool { return s.away }

// Apply takes in what a record says and reports whether anything changed.
func (s *State) Apply(now time.Time, c Change, offset int64) bool {
	switch {
	case c.Table != nil:
		if s.table != nil && c.Table.Version() <= s.table.Version() {
			return false
		}
		s.replaceTable(c.Table)
		return true
	case c.Weights != nil:
		if s.named[c.Weights.Model].Version >= c.Weights.Version {
			return false
		}
		next := s.named[c.Weights.Model].then(Named{Version: c.Weights.Version, Since: now, Earliest: s.current})
		s.named[c.Weights.Model] = next.recalling(s.recalled[c.Weights.Model])
		return true
	case c.Evacuation != nil:
		return s.emptied.put(now, *c.Evacuation, offset)
	case c.Upstream != nil:
		return s.put(now, *c.Upstream, offset)
	case c.Removed != "":
		return s.remove(now, c.Removed, offset)
	}
	return false
}

// replaceTable takes over another configuration. Upstreams whose service it knows otherwise
// than the one before are looked at again.
func (s *State) replaceTable(t *matcher.Table) {
	before := s.table
	s.table = t
	for id, e := range s.upstreams {
		if before == nil || known(before, e.upstream) != known(t, e.upstream) {
			s.show(id, e.upstream)
		}
	}
}

func known(t *matcher.Table, u *Upstream) bool {
	_, ok := t.Service(u.Service)
	return ok
}

// show has the next view take an upstream as it is now.
func (s *State) show(id string, u *Upstream) {
	if !s.serves(u) {
		u = nil
	}
	s.dirty[id] = u
}

func (s *State) put(now time.Time, u Upstream, offset int64) bool {
	if u.Cold > 0 {
		u.ColdUntil = now.Add(u.Cold) // the entry was written before: it is warm a little earlier
	}
	u.start = u.Start()
	u.Service, u.AvailabilityZone = unique.Make(u.Service).Value(), unique.Make(u.AvailabilityZone).Value()
	e := s.upstreams[u.ID]
	if e == nil {
		u.Weights = s.weights.share(u.Weights)
		s.upstreams[u.ID] = &entry{upstream: &u, offset: offset}
		s.show(u.ID, &u)
		return true
	}
	if offset < e.offset {
		return false
	}
	e.offset = offset
	if u.Born == e.upstream.Born {
		// One start of an upstream never goes back; an entry may be older than what is known.
		for model, has := range e.upstream.Weights {
			u.Weights[model] = max(u.Weights[model], has)
		}
	}
	same := equal(e.upstream, &u) && !turnedCold(e.upstream, &u)
	changed := !same || !e.lapsed.IsZero()
	s.revive(e)
	if !same {
		u.Weights = s.weights.share(u.Weights)
		e.upstream = &u
		s.show(u.ID, &u)
	}
	return changed
}

// forget removes an upstream.
func (s *State) forget(id string) {
	s.revive(s.upstreams[id])
	delete(s.upstreams, id)
	s.dirty[id] = nil
}

// revive takes back that an entry has lapsed.
func (s *State) revive(e *entry) {
	if !e.lapsed.IsZero() {
		e.lapsed = time.Time{}
		s.lapsed--
	}
}

// Namings returns what this host remembers of namings, the earlier ones too.
func (s *State) Namings(now time.Time) []Naming {
	return namings(now, s.named)
}

func namings(now time.Time, named map[string]Named) []Naming {
	var out []Naming
	for model, n := range named {
		for _, b := range append(slices.Clone(n.before), n) {
			out = append(out, Naming{Model: model, Version: b.Version, Age: now.Sub(b.Since)})
		}
	}
	return out
}

// Namings returns what this host remembers of namings, the earlier ones too.
func (v *View) Namings(now time.Time) []Naming { return namings(now, v.Named) }

// Recall takes in what another host remembers of namings. A host that has just started
// would else take an engine for freshly replaced whose weights were replaced long before.
// It reports whether that changes the view.
func (s *State) Recall(now time.Time, told []Naming) bool {
	for _, t := range told {
		s.recalled[t.Model] = append(s.recalled[t.Model], Named{Version: t.Version, Since: now.Add(-t.Age)})
	}
	changed := false
	for _, t := range told {
		if n, ok := s.named[t.Model]; ok {
			next := n.recalling(s.recalled[t.Model])
			changed = changed || !next.same(n)
			s.named[t.Model] = next
		}
	}
	for model, n := range s.named {
		if n.Version > 0 {
			delete(s.recalled, model) // it is part of what is known now
		}
	}
	return changed
}

// Current tells up to when the operators' feed is known. It never goes back.
func (s *State) Current(at time.Time) {
	if at.After(s.current) {
		s.current = at
	}
}

// Renewed tells that a start of an upstream has a weight version, before its entry says so.
func (s *State) Renewed(id string, born int64, model string, version uint64) bool {
	e := s.upstreams[id]
	if e == nil || e.upstream.Born != born || e.upstream.Weights[model] >= version {
		return false
	}
	next := *e.upstream
	next.Weights = maps.Clone(next.Weights)
	next.Weights[model] = version
	next.Weights = s.weights.share(next.Weights)
	e.upstream = &next
	s.show(id, &next)
	return true
}

// coldSlip is how far two words on the end of the same coldness lie apart at most.
const coldSlip = 700 * time.Millisecond

// turnedCold tells that an upstream has become cold, or warm, since it wrote last.
func turnedCold(before, u *Upstream) bool {
	return before.Cold > 0 != (u.Cold > 0) || u.ColdUntil.Sub(before.ColdUntil) > coldSlip
}

func equal(a, b *Upstream) bool {
	return a.Born == b.Born && a.Service == b.Service && a.Address == b.Address && a.Standing == b.Standing &&
		a.Slots == b.Slots && maps.Equal(a.Weights, b.Weights)
}

func (s *State) remove(now time.Time, id string, offset int64) bool {
	e := s.upstreams[id]
	if e == nil || offset < e.offset {
		return false
	}
	e.offset = offset
	if s.inGrace(now) && e.upstream.Standing == StandingReady {
		if e.lapsed.IsZero() {
			e.lapsed = now
			s.lapsed++
		}
		return false
	}
	s.forget(id)
	return true
}

// Drop forgets an upstream whose entry cannot be read any more: it names none to use.
func (s *State) Drop(id string, offset int64) bool {
	e := s.upstreams[id]
	if e == nil || offset < e.offset {
		return false
	}
	s.forget(id)
	return true
}

// inGrace tells that removals may come from entries that could not be renewed.
func (s *State) inGrace(now time.Time) bool {
	return s.away || !s.returned.IsZero() && now.Sub(s.returned) < lapseGrace
}

// Replace takes in a whole listing of the upstreams' feed, read when it ended at
// the given offset. Upstreams that are not listed and were not heard of since
// are removed.
func (s *State) Replace(now time.Time, listed map[string]bool, end int64) bool {
	changed := !s.listed
	s.listed = true
	for id, e := range s.upstreams {
		if !listed[id] && e.offset < end {
			changed = s.remove(now, id, end) || changed
		}
	}
	return changed
}

// Expire removes entries whose grace is over and reports whether there were any.
func (s *State) Expire(now time.Time) bool {
	if s.lapsed == 0 || s.inGrace(now) {
		return false
	}
	for id, e := range s.upstreams {
		if !e.lapsed.IsZero() {
			s.forget(id)
		}
	}
	return true
}

// Table returns the configuration in force, or nil.
func (s *State) Table() *matcher.Table { return s.table }

// View is what traffic sees. It is immutable.
type View struct {
	Table     *matcher.Table // Table is nil while no configuration is known.
	Named     map[string]Named
	Listed    bool // Listed tells that Upstreams has been read; without it their absence says nothing.
	Upstreams Upstreams
	// Evacuated are the availability zones whose upstreams are sent nothing new, Returned
	// is when those that were evacuated earlier were taken back.
	Evacuated map[string]bool
	Returned  map[string]time.Time
}

// Takes tells that an upstream takes new work.
func (v *View) Takes(u *Upstream) bool {
	return u.Standing == StandingReady && !v.Evacuated[u.AvailabilityZone]
}

// Taking returns the IDs of a service's upstreams that take new work.
func (v *View) Taking(service string) []string {
	var out []string
	for u := range v.Upstreams.All() {
		if u.Service == service && v.Takes(u) {
			out = append(out, u.ID)
		}
	}
	return out
}

// Ready tells that requests can be served: configuration and upstreams are known.
func (v *View) Ready() bool { return v.Table != nil && v.Listed }

// serves tells that the configuration knows an upstream's service. An entry of another
// writer may name any: its upstream is sent nothing, no orders for weights either.
func (s *State) serves(u *Upstream) bool {
	if s.table == nil {
		return true
	}
	_, ok := s.table.Service(u.Service)
	return ok
}

// View returns what is believed now.
func (s *State) View() *View {
	s.list = s.list.With(s.dirty)
	clear(s.dirty)
	return &View{
		Table:     s.table,
		Listed:    s.listed,
		Named:     maps.Clone(s.named),
		Upstreams: s.list,
		Evacuated: s.emptied.evacuated(),
		Returned:  s.emptied.returned(),
	}
}
