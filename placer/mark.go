// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// mark is what an upstream instance has said of itself in answers to this host. It outlives the
// upstream's entry, which may lapse and come back while the store is away.
type mark struct {
	leaving   bool
	restUntil time.Time // restUntil is until when it wants no requests from this host.
	inRest    bool      // inRest reports that the end of the rest has not been reported yet.
	brittle   brittleStatement
	goneSince time.Time // goneSince is since when the instance has no entry; zero if it has one.
}

// markTTL is how long the mark of an instance without an entry is kept.
const markTTL = 10 * time.Minute

// markOf returns the mark of an upstream and creates it if needed; p.mu is held.
func (p *Placer) markOf(m *member) *mark {
	if m.mark == nil {
		m.mark = &mark{}
		p.marks[m.instance] = m.mark
	}
	return m.mark
}

// leaving reports whether the upstream has said that it is leaving.
func (m *member) leaving() bool { return m.mark != nil && m.mark.leaving }

// resting reports whether the upstream wants no requests from this host now.
func (m *member) resting(now time.Time) bool { return m.mark != nil && now.Before(m.mark.restUntil) }

// restUntil returns until when the upstream wants no requests from this host; zero if it never said so.
func (m *member) restUntil() time.Time {
	if m.mark == nil {
		return time.Time{}
	}
	return m.mark.restUntil
}

// dropMarks drops the marks of instances that have had no entry for markTTL; p.mu is held.
func (p *Placer) dropMarks(now time.Time) {
	for instance, k := range p.marks {
		switch {
		case p.memberOf(instance) != nil:
			k.goneSince = time.Time{}
		case k.goneSince.IsZero():
			k.goneSince = now
		case now.Sub(k.goneSince) > markTTL:
			delete(p.marks, instance)
		}
	}
}
