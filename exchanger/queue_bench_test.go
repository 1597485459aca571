// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/scheduler"
)

// BenchmarkAdmission admits one of 1,000 waiting requests when one of 90 full engines gets
// room, and measures an attempt without room.
func BenchmarkAdmission(b *testing.B) {
	v := &follower.View{
		Table: matcher.New(matcher.Parts{Services: []matcher.Service{
			{Name: "s", Engine: &matcher.Engine{Slots: 64, CapacityTokens: 70000, BytesPerToken: 18432, LinkMbps: 740000}},
		}}),
		Versions: map[string]follower.VersionHistory{"m": {Version: 1}},
	}
	var upstreams []follower.Upstream
	for i := range 90 {
		upstreams = append(upstreams, follower.Upstream{
			ID: fmt.Sprint("e", i), Service: "s", Standing: follower.StandingReady, Slots: 64, Weights: map[string]uint64{"m": 1},
		})
	}
	v.Upstreams = follower.ListOf(upstreams...)
	p := placer.New(placer.Options{})
	p.Update(v)
	now := time.Unix(1000, 0)
	salt := func(uint64) string { return "1/m/" }
	var inProgress []*placer.Ticket
	var queue scheduler.Queue
	n := 0
	enqueue := func() {
		ask := &placer.PlacementRequest{Service: "s", SaltOf: salt, Prompt: &placer.Prompt{Model: "m", Output: 80, Parts: []placer.Part{
			{ID: fmt.Sprint("a", n%3), Tokens: 500}, {ID: fmt.Sprint("b", n%238), Tokens: 8600}, {ID: fmt.Sprint(n), Tokens: 2900},
		}}}
		n++
		queue.Push(&scheduler.Item{
			Class: "notes", ClassWeight: 1, Workspace: fmt.Sprint(n % 24), WorkspaceWeight: 1, Cost: 12000, Latest: now.Add(time.Hour),
			Begin: func() bool {
				c, verdict := p.Choose(now, ask)
				if verdict == placer.Chosen {
					c.Ticket.First(now)
					inProgress = append(inProgress, c.Ticket)
				}
				return verdict != placer.Busy
			},
		})
	}
	begin := func(it *scheduler.Item) bool { return it.Begin() }
	for queue.Len() < 1000 {
		enqueue()
		for queue.Pop(begin) != nil {
		}
	}
	b.Run("Room", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			b.StopTimer()
			inProgress[0].Done(now, placer.ResultServed)
			inProgress = inProgress[1:]
			enqueue()
			b.StartTimer()
			it := queue.Pop(begin)
			b.StopTimer()
			assert.Assert(b, it != nil)
			b.StartTimer()
		}
	})
	b.Run("NoRoom", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			queue.Pop(begin)
		}
	})
}
