// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// softwareView returns a view in which every fifth engine runs "old" and the others "new".
func softwareView(engines int) *follower.View {
	v := testView(engines, 0)
	changes := make(map[string]*follower.Upstream)
	i := 0
	for u := range v.Upstreams.All() {
		next := *u
		next.Software = "new"
		if i%5 == 0 {
			next.Software = "old"
		}
		changes[u.ID] = &next
		i++
	}
	v.Upstreams = v.Upstreams.With(changes)
	return v
}

// TestSoftware checks that a request goes only to upstreams with the software it needs, in pools of any size, and that
// one without such an upstream is not kept waiting.
func TestSoftware(t *testing.T) {
	for _, engines := range []int{5, 40, 400} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			p := testPlacer(softwareView(engines))
			seen := make(map[string]bool)
			for _, version := range []string{"old", "new", "none"} {
				for i := range 40 {
					req := askFor(fmt.Sprint("x", i), "own")
					req.Software = &version
					got, verdict := p.Choose(start, req)
					assert.Equal(t, verdict == Chosen, version != "none", "%s", verdict)
					if verdict == None {
						continue
					}
					assert.Equal(t, got.Upstream.Software, version)
					seen[got.Upstream.ID] = true
					serve(p, start.Add(firstTokenTime+got.Basis.PrefillTime), got)
				}
				serves, mayReturn := p.Serves(start, "engines", version)
				assert.Assert(t, serves == (version != "none") && !mayReturn)
			}
			assert.Assert(t, len(seen) >= 2)
		})
	}
}

// TestSoftwareThatEnded checks how long an upstream with the software of one that was removed may be expected.
func TestSoftwareThatEnded(t *testing.T) {
	v := softwareView(5)
	p := testPlacer(v)
	p.Watch(start)
	next := *v
	next.Upstreams = v.Upstreams.With(map[string]*follower.Upstream{"e0": nil})
	p.Update(&next)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {returnTime - time.Second, true}, {returnTime, false}} {
		serves, mayReturn := p.Serves(start.Add(c.after), "engines", "old")
		assert.Assert(t, !serves && mayReturn == c.want, "%v", c.after)
	}
}

// TestSoleSoftware checks from when on and until when a service is known to have had one version only.
func TestSoleSoftware(t *testing.T) {
	const span = 20 * time.Second
	v := softwareView(5) // e0 is old, e1 to e4 are new
	p := testPlacer(v)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	sole := func(seconds int) string {
		p.Watch(at(seconds))
		version, _ := p.SoleSoftware(at(seconds), "engines", span)
		return version
	}
	assert.Equal(t, sole(0), "")
	assert.Equal(t, sole(30), "") // the view is no complete listing
	listed := *v
	listed.Listed = true
	p.Update(&listed)
	assert.Equal(t, sole(31), "")
	assert.Equal(t, sole(60), "") // two versions
	next := listed
	next.Upstreams = listed.Upstreams.With(map[string]*follower.Upstream{"e0": nil})
	p.Update(&next)
	assert.Equal(t, sole(61), "")
	assert.Equal(t, sole(79), "")
	assert.Equal(t, sole(81), "new")
	leaving := next
	e1 := follower.Upstream{ID: "e1", Service: "engines", Software: "old", Standing: follower.StandingLeaving}
	leaving.Upstreams = next.Upstreams.With(map[string]*follower.Upstream{"e1": &e1}) // under the same ID
	p.Update(&leaving)
	assert.Equal(t, sole(82), "")
	version, ok := p.SoleSoftware(at(82), "engines", maxSoftwareLife+1)
	assert.Assert(t, !ok && version == "")
}
