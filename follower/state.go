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
	unsettled        map[string]struct{} // unsettled are the upstreams whose entries answers outweigh.
	reverts          []Revert            // reverts are those not taken yet.
	removed          map[string]removal  // removed holds the last removals of upstreams, by ID.
	lapsedCount      int                 // lapsedCount is the number of upstreams whose entry has lapsed.
	listed           bool                // listed reports whether a complete listing of the upstreams was applied.
	storeFailing     bool                // storeFailing reports whether the last call to the store failed.
	storeRecoveredAt time.Time           // storeRecoveredAt is when the store last answered after a failure.
}

// entry is an upstream with the state of its entry in the feed.
type entry struct {
	leavingLost bool      // leavingLost reports that the store has lost the entry that says that it is leaving.
	upstream    *Upstream // upstream is shared with views and must not be changed.
	position    Position
	sequence    int64     // sequence is that of the newest entry, which may have changed nothing else.
	lapsedAt    time.Time // lapsedAt is when a removal was read within the grace period; zero if there was none.
	// loads are the weight versions that this start has reported in answers, by model.
	loads  map[string]load
	stated map[string]uint64 // stated is what the newest entry states, if answers outweigh it.
}

// removal is the removal of an upstream with what was last known of it. If the store loses the record of
// the removal, the entry before it is back.
type removal struct {
	position Position
	born     int64
	sequence int64
}

// maxRemovals bounds the number of removals that are kept.
const maxRemovals = 4096

// Effect is what a record does to the state.
type Effect string

const (
	EffectNone     Effect = "None" // EffectNone means that the record says nothing new.
	EffectChanged  Effect = "Changed"
	EffectOutdated Effect = "Outdated" // EffectOutdated means that something newer is known.
)

// New returns an empty state.
func New() *State {
	return &State{
		named:        make(map[string]VersionHistory),
		peerVersions: make(map[string][]VersionHistory),
		evacuations:  make(evacuations),
		upstreams:    make(map[string]*entry),
		removed:      make(map[string]removal),
		unsettled:    make(map[string]struct{}),
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

// StoreRestored records that the store went back to a copy. Upstreams whose entries are lost are kept as
// if the entries had lapsed.
func (s *State) StoreRestored(now time.Time) { s.storeRecoveredAt = now }

// Apply applies a decoded record. Configurations and weights are ordered by their versions: a version that
// was in force stays so if the store loses it.
func (s *State) Apply(now time.Time, c Change, at Position) Effect {
	switch {
	case c.Table != nil:
		if s.table != nil && c.Table.Version() <= s.table.Version() {
			return unchangedBy(c.Table.Version(), s.table.Version())
		}
		s.replaceTable(c.Table)
		return EffectChanged
	case c.Weights != nil:
		if known := s.named[c.Weights.Model].Version; known >= c.Weights.Version {
			return unchangedBy(c.Weights.Version, known)
		}
		next := s.named[c.Weights.Model].succeededBy(VersionHistory{Version: c.Weights.Version, Since: now, Earliest: s.currentUntil})
		s.named[c.Weights.Model] = next.merge(s.peerVersions[c.Weights.Model])
		return EffectChanged
	case c.Evacuation != nil:
		return s.evacuations.apply(now, *c.Evacuation, at)
	case c.Upstream != nil:
		return s.put(now, *c.Upstream, at)
	case c.Removed != "":
		return s.remove(now, c.Removed, at)
	}
	return EffectNone
}

// unchangedBy returns the effect of a version that is not newer than the known one.
func unchangedBy(version, known uint64) Effect {
	if version < known {
		return EffectOutdated
	}
	return EffectNone
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

func (s *State) put(now time.Time, u Upstream, at Position) Effect {
	if s.outdated(&u, at) {
		return EffectOutdated
	}
	if u.Cold > 0 {
		u.ColdUntil = now.Add(u.Cold) // an upper bound, as the entry was written earlier
	}
	u.instanceID = u.InstanceID()
	u.Service, u.AvailabilityZone, u.Software = unique.Make(u.Service).Value(), unique.Make(u.AvailabilityZone).Value(), unique.Make(u.Software).Value()
	e := s.upstreams[u.ID]
	if e == nil {
		u.Weights = s.weights.intern(u.Weights)
		s.upstreams[u.ID] = &entry{upstream: &u, position: at, sequence: u.Sequence}
		delete(s.removed, u.ID)
		s.markDirty(u.ID, &u)
		return EffectChanged
	}
	restored := at.Era > e.position.Era
	e.position, e.sequence = at, u.Sequence
	sameStart := u.Born == e.upstream.Born
	e.leavingLost = sameStart && e.upstream.Standing == StandingLeaving && (restored || e.leavingLost) && u.Standing != StandingLeaving
	if e.leavingLost {
		u.Standing = StandingLeaving
	}
	if sameStart {
		keepUnstated(&u, e.upstream)
	} else {
		e.loads = nil
	}
	unsettled := e.addLoads(now, &u, at)
	if unsettled {
		s.unsettled[u.ID] = struct{}{}
	} else {
		delete(s.unsettled, u.ID)
	}
	if sameStart {
		s.noteReverts(e.upstream, &u)
	}
	same := sameEntry(e.upstream, &u) && !coldChanged(e.upstream, &u)
	changed := !same || !e.lapsedAt.IsZero() || unsettled // other hosts must know an entry that will outweigh an answer
	s.clearLapse(e)
	if !same {
		u.Weights = s.weights.intern(u.Weights)
		e.upstream = &u
		s.markDirty(u.ID, &u)
	}
	if !changed {
		return EffectNone
	}
	return EffectChanged
}

// outdated reports whether something newer than an entry is known of its upstream. Within an era the
// position decides. An entry of a later era may be one that the store had before it lost newer ones.
func (s *State) outdated(u *Upstream, at Position) bool {
	if e := s.upstreams[u.ID]; e != nil {
		return at.Before(e.position) || at.Era > e.position.Era && u.writtenBefore(e.upstream.Born, e.sequence)
	}
	r, ok := s.removed[u.ID]
	return ok && (at.Before(r.position) || at.Era > r.position.Era && !r.precedes(u))
}

// precedes reports whether an entry was written after all that were known when its upstream was removed.
func (r removal) precedes(u *Upstream) bool {
	return u.Born > r.born || u.Born == r.born && u.Sequence > r.sequence
}

func (s *State) removeUpstream(id string) {
	e := s.upstreams[id]
	if len(s.removed) >= maxRemovals {
		clear(s.removed)
	}
	s.removed[id] = removal{position: e.position, born: e.upstream.Born, sequence: e.sequence}
	s.clearLapse(e)
	delete(s.upstreams, id)
	delete(s.unsettled, id)
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

// coldUntilTolerance bounds the difference between two estimates of the end of one cold start.
const coldUntilTolerance = 700 * time.Millisecond

// coldChanged reports whether a cold start has begun or ended since the last entry.
func coldChanged(before, u *Upstream) bool {
	return before.Cold > 0 != (u.Cold > 0) || u.ColdUntil.Sub(before.ColdUntil) > coldUntilTolerance
}

func sameEntry(a, b *Upstream) bool {
	return a.Born == b.Born && a.Service == b.Service && a.Address == b.Address && a.Standing == b.Standing &&
		a.Software == b.Software && a.Slots == b.Slots && maps.Equal(a.Weights, b.Weights)
}

func (s *State) remove(now time.Time, id string, at Position) Effect {
	e := s.upstreams[id]
	switch {
	case e == nil:
		return EffectNone
	case at.Before(e.position):
		return EffectOutdated
	}
	e.position = at
	if s.inGracePeriod(now) && e.upstream.Standing == StandingReady {
		if e.lapsedAt.IsZero() {
			e.lapsedAt = now
			s.lapsedCount++
		}
		return EffectNone
	}
	s.removeUpstream(id)
	return EffectChanged
}

// Drop removes an upstream whose entry cannot be decoded and reports whether it did.
func (s *State) Drop(id string, at Position) bool {
	e := s.upstreams[id]
	if e == nil || at.Before(e.position) {
		return false
	}
	e.position = at
	s.removeUpstream(id)
	return true
}

// inGracePeriod reports whether removals may be of entries that could not be renewed.
func (s *State) inGracePeriod(now time.Time) bool {
	return s.storeFailing || !s.storeRecoveredAt.IsZero() && now.Sub(s.storeRecoveredAt) < lapseGracePeriod
}

// Replace applies a complete listing of the upstreams' feed that ends at the given position, and
// reports whether anything changed. Upstreams that are neither listed nor have a record from that
// position on are removed.
func (s *State) Replace(now time.Time, listed map[string]bool, end Position) bool {
	changed := !s.listed
	s.listed = true
	for id, e := range s.upstreams {
		if !listed[id] && e.position.Before(end) {
			changed = s.remove(now, id, end) == EffectChanged || changed
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

// Upstream returns what is known of an upstream, which must not be changed; nil if it is not known.
func (s *State) Upstream(id string) *Upstream {
	if e := s.upstreams[id]; e != nil {
		return e.upstream
	}
	return nil
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
