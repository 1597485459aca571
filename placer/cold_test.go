// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/internal/strictjson"
	"amaranthgate.example/amaranthgate/matcher"
)

// coldView returns a view of engines that accept 20 requests a second while they are cold.
func coldView(n int) *follower.View {
	v := testView(n, 1)
	engine := &matcher.Engine{Slots: 1000, CapacityTokens: 1 << 30, BytesPerToken: 18432, LinkMbps: 370000}
	v.Table = matcher.New(matcher.Parts{Services: []matcher.Service{{Name: "engines", ColdFor: 3 * time.Second, ColdPerSecond: 20, Engine: engine}}})
	i := -1
	return changeAll(v, func(u *follower.Upstream) {
		i++
		u.AvailabilityZone = fmt.Sprint("zone", i)
	})
}

func coldPlacer(host string, v *follower.View) *Placer {
	p := New(Options{Host: host, Cold: ColdLimit{Overage: 1.5, Slack: 5}})
	p.Update(v)
	return p
}

func shortRequest(n int) *PlacementRequest {
	return &PlacementRequest{Service: "engines", SaltOf: saltOf(""), Prompt: &Prompt{Model: "m", Parts: []Part{{fmt.Sprint("shared", n), 5}, {"own", 8}}}}
}

// hostNames returns the names of the hosts in [from, to), or of one host if only from is given.
func hostNames(interval []int) []string {
	var out []string
	switch len(interval) {
	case 1:
		out = append(out, fmt.Sprint("host", interval[0]))
	case 2:
		for i := interval[0]; i < interval[1]; i++ {
			out = append(out, fmt.Sprint("host", i))
		}
	}
	return out
}

// TestColdRateLimit checks that all hosts together stay below the limit of a cold engine, even if
// they know of different hosts, and use most of it.
func TestColdRateLimit(t *testing.T) {
	text, err := os.ReadFile("testdata/cold.jsonc")
	assert.NilError(t, err)
	var cases []struct {
		Name   string
		Groups []struct{ Hosts, Count []int }
		Least  int // Least and Most bound the requests a second of the engine.
		Most   int
	}
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			v := changeFirst(coldView(1), func(u *follower.Upstream) { u.ColdUntil = start.Add(time.Hour) })
			var placers []*Placer
			for _, g := range c.Groups {
				for _, name := range hostNames(g.Hosts) {
					p := coldPlacer(name, v)
					p.SetColdHosts(hostNames(g.Count))
					placers = append(placers, p)
				}
			}
			const length = 4 * time.Second
			var sent []time.Time
			for now := start; now.Before(start.Add(length)); now = now.Add(10 * time.Millisecond) {
				for i, p := range placers {
					if _, verdict := p.Choose(now, shortRequest(i)); verdict == Chosen {
						sent = append(sent, now)
					}
				}
			}
			assert.Assert(t, maxPerSecond(sent) <= c.Most, "%d in a second", maxPerSecond(sent))
			got := int(float64(len(sent)) / length.Seconds())
			assert.Assert(t, got >= c.Least, "%d a second", got)
		})
	}
}

// maxPerSecond returns the largest number of times within a second.
func maxPerSecond(times []time.Time) int {
	most := 0
	for i, from := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// countChosen returns how many requests a host may send at one moment, up to 100.
func countChosen(p *Placer, now time.Time) int {
	n := 0
	for n < 100 {
		if _, verdict := p.Choose(now, shortRequest(n)); verdict != Chosen {
			return n
		}
		n++
	}
	return n
}

// TestColdPeriods checks that an engine counts as cold until its ColdUntil, for a while after its
// zone takes traffic again, and after it is reachable again.
func TestColdPeriods(t *testing.T) {
	fresh := func() (*follower.View, *Placer) {
		v := coldView(1)
		p := coldPlacer("host0", v)
		p.SetColdHosts([]string{"host0"})
		return v, p
	}
	part := ColdLimit{Overage: 1.5, Slack: 5}.perSecond(20)

	_, p := fresh()
	assert.Equal(t, countChosen(p, start), 100, "a warm engine is not limited")

	v, p := fresh()
	p.Update(changeFirst(v, func(u *follower.Upstream) { u.ColdUntil = start.Add(time.Second) }))
	assert.Equal(t, countChosen(p, start), part)
	assert.Equal(t, countChosen(p, start.Add(time.Second)), 100)

	v, p = fresh()
	returned := *v
	returned.EvacuationsEnded = map[string]time.Time{"zone0": start}
	p.Update(&returned)
	assert.Equal(t, countChosen(p, start.Add(2*time.Second)), part)
	assert.Equal(t, countChosen(p, start.Add(3*time.Second)), 100)

	_, p = fresh()
	c, _ := p.Choose(start, askFor("x", "own"))
	c.Ticket.Done(start, ResultUnreachable)
	now := start.Add(initialBackoff)
	c, verdict := p.Choose(now, askFor("x", "own"))
	assert.Equal(t, verdict, Chosen)
	serve(p, now, c)
	assert.Equal(t, countChosen(p, now.Add(time.Millisecond))+2, part, "the two earlier requests count")
	assert.Equal(t, countChosen(p, now.Add(coldRecovery)), 100)
}

// TestWarmEnginesArePreferred checks that a cold engine is used only if the warm ones are loaded.
func TestWarmEnginesArePreferred(t *testing.T) {
	v := changeFirst(coldView(2), func(u *follower.Upstream) { u.ColdUntil = start.Add(time.Hour) })
	p := coldPlacer("host0", v)
	p.SetColdHosts([]string{"host0"})
	first, _ := p.Choose(start, askFor("x", "own"))
	assert.Equal(t, first.Upstream.ID, "e1")
	second, _ := p.Choose(start, askFor("y", "own"))
	assert.Equal(t, second.Upstream.ID, "e0")
}
