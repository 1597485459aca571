// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package follower

import (
	"maps"
	"time"
)

// An engine's entry in the feed and its answers to queries both state its weight versions, which may go back: an order is
// carried out late. Entries are ordered by their positions. An answer has none, and entries that were written before it may
// arrive after it; so it outweighs entries up to the newest one that was known, and for entryLag later ones as well.

// entryLag bounds the time from the writing of an entry until hosts know it.
const entryLag = 2 * time.Second

// load is a weight version that an engine has reported in an answer.
type load struct {
	version  uint64
	at       time.Time
	position Position // position is that of the engine's newest entry then.
}

// outweighs reports whether the answer is newer than an entry, as far as can be told.
func (l load) outweighs(now time.Time, entry Position) bool {
	return !l.position.Before(entry) || now.Sub(l.at) < entryLag
}

// addLoads raises the versions that an entry states to those of newer answers, and reports whether there are any that it does
// not state.
func (e *entry) addLoads(now time.Time, u *Upstream, at Position) bool {
	e.stated = nil
	for model, l := range e.loads {
		stated := u.Weights[model]
		switch {
		case l.version <= stated || !l.outweighs(now, at):
			delete(e.loads, model) // the entry is newer
		default:
			if e.stated == nil {
				e.stated = maps.Clone(u.Weights)
			}
			u.Weights[model] = l.version
		}
	}
	return e.stated != nil
}

// keepUnstated keeps the versions of the models that an entry does not name.
func keepUnstated(u, known *Upstream) {
	for model, version := range known.Weights {
		if _, stated := u.Weights[model]; !stated {
			u.Weights[model] = version
		}
	}
}

// WeightsLoaded records that a start of an upstream has reported a weight version, ahead of its entry in the feed. It
// reports whether that is new.
func (s *State) WeightsLoaded(now time.Time, id string, born int64, model string, version uint64) bool {
	e := s.upstreams[id]
	if e == nil || e.upstream.Born != born || e.upstream.Weights[model] > version {
		return false
	}
	if e.loads == nil {
		e.loads = make(map[string]load)
	}
	e.loads[model] = load{version: version, at: now, position: e.position}
	if e.upstream.Weights[model] == version {
		return false
	}
	next := *e.upstream
	next.Weights = maps.Clone(next.Weights)
	next.Weights[model] = version
	s.replaceUpstream(e, next)
	return true
}

// Settle lets entries that still state other versions than earlier answers outweigh these. It reports whether the view
// changes.
func (s *State) Settle(now time.Time) bool {
	changed := false
	for id := range s.unsettled {
		e := s.upstreams[id]
		next := *e.upstream
		next.Weights = maps.Clone(e.stated)
		if e.addLoads(now, &next, e.position) {
			continue
		}
		delete(s.unsettled, id)
		s.noteReverts(e.upstream, &next)
		s.replaceUpstream(e, next)
		changed = true
	}
	return changed
}

// replaceUpstream replaces what is known of an upstream.
func (s *State) replaceUpstream(e *entry, next Upstream) {
	next.Weights = s.weights.intern(next.Weights)
	e.upstream = &next
	s.markDirty(next.ID, &next)
}

// Revert is an engine that has gone back to an older weight version.
type Revert struct {
	ID            string
	Model         string
	Before, After uint64
}

// noteReverts notes the weights of an upstream that have gone back.
func (s *State) noteReverts(before, after *Upstream) {
	for model, version := range before.Weights {
		if now := after.Weights[model]; now < version {
			s.reverts = append(s.reverts, Revert{ID: after.ID, Model: model, Before: version, After: now})
		}
	}
}

// TakeReverts returns the engines that have gone back since the last call.
func (s *State) TakeReverts() []Revert {
	out := s.reverts
	s.reverts = nil
	return out
}
