// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// TestNothingIsFetchedWhenFreed: what was made with replaced weights is freed when no
// host can be fetching it any more: neither one that heard at once, nor one that heard
// late, nor one that has not heard, nor one that has just started.
func TestNothingIsFetchedWhenFreed(t *testing.T) {
	const step = 50 * time.Millisecond
	old := PartName{Salt: saltOf("")(1), ID: "x"}
	for _, c := range []struct {
		name    string
		known   time.Duration // known is up to when the host knew the feed, from the naming on.
		hears   time.Duration // hears is when it hears of the new version.
		started bool          // started tells that the host knows the new version from its first listing.
		serves  bool          // serves tells that it fetches after the naming.
	}{
		{name: "heard at once", known: -step, hears: 0},
		{name: "heard late", known: -step, hears: 5 * time.Second, serves: true},
		{name: "was cut off for long", known: -9 * time.Second, hears: time.Second},
		{name: "never hears", known: 0, hears: time.Hour, serves: true},
		{name: "has just started", hears: 0, started: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := follower.New()
			name := func(at time.Time, version uint64) {
				state.Apply(at, follower.Change{Weights: &follower.Weights{Model: "m", Version: version}}, 0)
			}
			if !c.started {
				name(start.Add(-time.Hour), 1)
			}
			served := false
			for at := time.Duration(0); at < 2*FreeAfter; at += step {
				now := start.Add(at)
				v := testView(1, 2, 1)
				if at >= c.hears {
					name(now, 2)
				}
				v.Named = state.View().Named
				p := testPlacer(v)
				p.StoreHeard(now, "s1:1", StoreNews{Epoch: 1, Clock: 1, Changes: []StoreChange{{Part: old, Tokens: 12800}}})
				p.Trust(start.Add(c.known))
				if at >= c.hears {
					p.Trust(now)
				}
				got, verdict := p.Choose(now, askFor("x", "own"))
				assert.Equal(t, verdict, Chosen)
				if got.Fetch != nil {
					served = true
					assert.Assert(t, at+fetchTime <= FreeAfter, "fetched %v after the naming", at)
				}
			}
			assert.Equal(t, served, c.serves)
		})
	}
}
