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

// lapseGracePeriod is how long lapsed entries are kept after the store has recovered: long enough
// for live upstreams to renew theirs.
const lapseGracePeriod = 2 * time.Second

// State is the mutable state of one host's view. It is not safe for concurrent use.
type State struct {
	table            *matcher.Table
	named            map[string]VersionHistory
	peerVersions     map[string][]VersionHistory // peerVersions holds versions reported by other hosts, by model.
	currentUntil     time.Time                   // currentUntil is the time up to which the operators' feed is known.
	evacuations      evacuations
	upstreams        map[string]*entry
	list             Upstreams            // list holds the upstreams of configured services, as last published.
	dirty            map[string]*Upstream // dirty holds unpublished changes of list; nil values are removals.
	weights          weightsInterner
	lapsedCount      int       // lapsedCount is the number of upstreams whose entry has lapsed.
	listed           bool      // listed reports whether a complete listing of the upstreams was applied.
	storeFailing     bool      // storeFailing reports whether the last call to the store failed.
	storeRecoveredAt time.Time // storeRecoveredAt is when the store last answered after a failure.
}

// entry is an upstream with the state of its entry in the feed.
type entry struct {
	upstream *Upstream // upstream is shared with views and must not be changed.
	offset   int64
	lapsedAt time.Time // lapsedAt is when a removal was read within the grace period; zero if there was none.
}

// New returns an empty state.
func New() *State {
	return &State{
		named:        make(map[string]VersionHistory),
		peerVersions: make(map[string][]VersionHistory),
		evacuations:  make(evacuations),
		upstreams:    make(map[string]*entry),
		dirty:        make(map[string]*Upstream),
	}
}

// StoreAnswered records that a call to the store, by this host or another, has succeeded.
func (s *State) StoreAnswered(now time.Time) {
	if s.storeFailing {
		s.storeFailing, s.storeRecoveredAt = false, now
	}
}

// StoreFailed records that a call to the store has failed or was rejected.
func (s *State) StoreFailed() { s.storeFailing = true }

// StoreFailing reports whether the last call to the store failed.
func (s *State) StoreFailing() bool { return s.storeFailing }

// Apply applies a decoded record and reports whether anything changed.
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
		next := s.named[c.Weights.Model].succeededBy(VersionHistory{Version: c.Weights.Version, Since: now, Earliest: s.currentUntil})
		s.named[c.Weights.Model] = next.merge(s.peerVersions[c.Weights.Model])
		return true
	case c.Evacuation != nil:
		return s.evacuations.apply(now, *c.Evacuation, offset)
	case c.Upstream != nil:
		return s.put(now, *c.Upstream, offset)
	case c.Removed != "":
		return s.remove(now, c.Removed, offset)
	}
	return false
}

// replaceTable replaces the configuration and marks upstreams whose service was added or removed
// as dirty.
func (s *State) replaceTable(t *matcher.Table) {
	before := s.table
	s.table = t
	for id, e := range s.upstreams {
		if before == nil || hasService(before, e.upstream) != hasService(t, e.upstream) {
			s.markDirty(id, e.upstream)
		}
	}
}

func hasService(t *matcher.Table, u *Upstream) bool {
	_, ok := t.Service(u.Service)
	return ok
}

// markDirty publishes the current state of an upstream with the next view.
func (s *State) markDirty(id string, u *Upstream) {
	if !s.serviceKnown(u) {
		u = nil
	}
	s.dirty[id] = u
}

func (s *State) put(now time.Time, u Upstream, offset int64) bool {
	if u.Cold > 0 {
		u.ColdUntil = now.Add(u.Cold) // an upper bound, as the entry was written earlier
	}
	u.instanceID = u.InstanceID()
	u.Service, u.AvailabilityZone = unique.Make(u.Service).Value(), unique.Make(u.AvailabilityZone).Value()
	e := s.upstreams[u.ID]
	if e == nil {
		u.Weights = s.weights.intern(u.Weights)
		s.upstreams[u.ID] = &entry{upstream: &u, offset: offset}
		s.markDirty(u.ID, &u)
		return true
	}
	if offset < e.offset {
		return false
	}
	e.offset = offset
	if u.Born == e.upstream.Born {
		// Versions are monotonic within one start; an entry may be older than what is known.
		for model, version := range e.upstream.Weights {
			u.Weights[model] = max(u.Weights[model], version)
		}
	}
	same := sameEntry(e.upstream, &u) && !coldChanged(e.upstream, &u)
	changed := !same || !e.lapsedAt.IsZero()
	s.clearLapse(e)
	if !same {
		u.Weights = s.weights.intern(u.Weights)
		e.upstream = &u
		s.markDirty(u.ID, &u)
	}
	return changed
}

func (s *State) removeUpstream(id string) {
	s.clearLapse(s.upstreams[id])
	delete(s.upstreams, id)
	s.dirty[id] = nil
}

// clearLapse marks an entry as not lapsed.
func (s *State) clearLapse(e *entry) {
	if !e.lapsedAt.IsZero() {
		e.lapsedAt = time.Time{}
		s.lapsedCount--
	}
}

// VersionAges returns the known weight versions of all models, including earlier ones.
func (s *State) VersionAges(now time.Time) []VersionAge {
	return versionAges(now, s.named)
}

func versionAges(now time.Time, named map[string]VersionHistory) []VersionAge {
	var out []VersionAge
	for model, n := range named {
		for _, b := range append(slices.Clone(n.previous), n) {
			out = append(out, VersionAge{Model: model, Version: b.Version, Age: now.Sub(b.Since)})
		}
	}
	return out
}

// VersionAges returns the known weight versions of all models, including earlier ones.
func (v *View) VersionAges(now time.Time) []VersionAge { return versionAges(now, v.Versions) }

// MergeVersionAges merges weight versions reported by another host and reports whether the view changes.
// Without them a host that has just started would treat versions replaced long ago as replaced
// recently.
func (s *State) MergeVersionAges(now time.Time, reported []VersionAge) bool {
	for _, t := range reported {
		s.peerVersions[t.Model] = append(s.peerVersions[t.Model], VersionHistory{Version: t.Version, Since: now.Add(-t.Age)})
	}
	changed := false
	for _, t := range reported {
		if n, ok := s.named[t.Model]; ok {
			next := n.merge(s.peerVersions[t.Model])
			changed = changed || !next.equal(n)
			s.named[t.Model] = next
		}
	}
	for model, n := range s.named {
		if n.Version > 0 {
			delete(s.peerVersions, model) // merged above or by Apply
		}
	}
	return changed
}

// SetCurrent records that the operators' feed is known up to a time. Earlier times are ignored.
func (s *State) SetCurrent(at time.Time) {
	if at.After(s.currentUntil) {
		s.currentUntil = at
	}
}

// WeightsLoaded records that a start of an upstream has loaded a weight version, ahead of its entry in
// the feed. It reports whether that is new.
func (s *State) WeightsLoaded(id string, born int64, model string, version uint64) bool {
	e := s.upstreams[id]
	if e == nil || e.upstream.Born != born || e.upstream.Weights[model] >= version {
		return false
	}
	next := *e.upstream
	next.Weights = maps.Clone(next.Weights)
	next.Weights[model] = version
	next.Weights = s.weights.intern(next.Weights)
	e.upstream = &next
	s.markDirty(id, &next)
	return true
}

// coldUntilTolerance bounds the difference between two estimates of the end of one cold start.
const coldUntilTolerance = 700 * time.Millisecond

// coldChanged reports whether a cold start has begun or ended since the last entry.
func coldChanged(before, u *Upstream) bool {
	return before.Cold > 0 != (u.Cold > 0) || u.ColdUntil.Sub(before.ColdUntil) > coldUntilTolerance
}

func sameEntry(a, b *Upstream) bool {
	return a.Born == b.Born && a.Service == b.Service && a.Address == b.Address && a.Standing == b.Standing &&
		a.Slots == b.Slots && maps.Equal(a.Weights, b.Weights)
}

func (s *State) remove(now time.Time, id string, offset int64) bool {
	e := s.upstreams[id]
	if e == nil || offset < e.offset {
		return false
	}
	e.offset = offset
	if s.inGracePeriod(now) && e.upstream.Standing == StandingReady {
		if e.lapsedAt.IsZero() {
			e.lapsedAt = now
			s.lapsedCount++
		}
		return false
	}
	s.removeUpstream(id)
	return true
}

// Drop removes an upstream whose entry cannot be decoded and reports whether it did.
func (s *State) Drop(id string, offset int64) bool {
	e := s.upstreams[id]
	if e == nil || offset < e.offset {
		return false
	}
	s.removeUpstream(id)
	return true
}

// inGracePeriod reports whether removals may be of entries that could not be renewed.
func (s *State) inGracePeriod(now time.Time) bool {
	return s.storeFailing || !s.storeRecoveredAt.IsZero() && now.Sub(s.storeRecoveredAt) < lapseGracePeriod
}

// Replace applies a complete listing of the upstreams' feed that ends at the given offset, and
// reports whether anything changed. Upstreams that are neither listed nor have a record from that
// offset on are removed.
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

// Expire removes lapsed entries once the grace period is over and reports whether there were any.
func (s *State) Expire(now time.Time) bool {
	if s.lapsedCount == 0 || s.inGracePeriod(now) {
		return false
	}
	for id, e := range s.upstreams {
		if !e.lapsedAt.IsZero() {
			s.removeUpstream(id)
		}
	}
	return true
}

// Table returns the configuration in force; nil if none is known.
func (s *State) Table() *matcher.Table { return s.table }

// View is an immutable snapshot of the state, for handling requests.
type View struct {
	Table     *matcher.Table // Table is nil while no configuration is known.
	Versions  map[string]VersionHistory
	Listed    bool // Listed reports whether a complete listing was applied; if not, Upstreams may lack some.
	Upstreams Upstreams
	// Evacuated holds the availability zones whose upstreams get no new requests, EvacuationsEnded the
	// times at which past evacuations ended.
	Evacuated        map[string]bool
	EvacuationsEnded map[string]time.Time
}

// Accepts reports whether an upstream accepts new requests.
func (v *View) Accepts(u *Upstream) bool {
	return u.Standing == StandingReady && !v.Evacuated[u.AvailabilityZone]
}

// Accepting returns the IDs of a service's upstreams that accept new requests.
func (v *View) Accepting(service string) []string {
	var out []string
	for u := range v.Upstreams.All() {
		if u.Service == service && v.Accepts(u) {
			out = append(out, u.ID)
		}
	}
	return out
}

// Ready reports whether requests can be served: configuration and upstreams are known.
func (v *View) Ready() bool { return v.Table != nil && v.Listed }

// serviceKnown reports whether an upstream's service is configured, or no configuration is known yet.
// An upstream of an unknown service gets neither requests nor orders.
func (s *State) serviceKnown(u *Upstream) bool {
	if s.table == nil {
		return true
	}
	_, ok := s.table.Service(u.Service)
	return ok
}

// View returns a snapshot of the current state.
func (s *State) View() *View {
	s.list = s.list.With(s.dirty)
	clear(s.dirty)
	return &View{
		Table:            s.table,
		Listed:           s.listed,
		Versions:         maps.Clone(s.named),
		Upstreams:        s.list,
		Evacuated:        s.evacuations.evacuated(),
		EvacuationsEnded: s.evacuations.endTimes(),
	}
}
