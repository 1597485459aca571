// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"slices"
	"time"
)

// Apart asks for a place of its own for a request that may end the upstream that runs it.
type Apart struct {
	Key  uint64   // Key is the same for all copies of the request, at whichever host.
	Ends []string // Ends are starts of upstreams that ended under it.
}

// asked tells that a place apart is asked for.
func (a *Apart) asked() bool { return len(a.Ends) > 0 }

// apart chooses the first of the upstreams that can begin the request, in an order that is
// the same at all hosts and another one for each request. Copies of a bad request then meet
// at one upstream and end only that one; and of the requests that were beside it by chance,
// and are suspects too, each goes elsewhere. By the least cost most of them meet again.
func (p *Placer) apart(now time.Time, ask *Ask) (*target, time.Duration, Verdict) {
	var all shortlist
	var most uint64
	for _, t := range p.pools[ask.Service] {
		if slices.Contains(ask.Exclude, t.upstream.ID) || slices.Contains(ask.Apart.Ends, t.key) || !p.home(ask, t.upstream.AvailabilityZone) {
			continue
		}
		before := all.best
		all.best = nil // each one is looked at for itself
		p.consider(now, t, ask, &all)
		rank := rendezvous(PartKey(ask.Apart.Key), t.hash)
		switch {
		case all.best == nil || before != nil && rank < most:
			all.best = before
		default:
			most = rank
		}
	}
	if all.best != nil {
		all.least = p.cost(now, all.best, ask)
	}
	return p.settle(&all, ask)
}
