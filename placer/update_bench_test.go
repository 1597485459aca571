// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"fmt"
	"testing"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/matcher"
)

// manyUpstreams returns a state with n engines.
func manyUpstreams(n int) *follower.State {
	s := follower.New()
	table := matcher.New(matcher.Parts{Version: 1, Services: []matcher.Service{
		{Name: "engines", MaxConnections: 800, Engine: &matcher.Engine{Slots: 64, CapacityTokens: 60000, BytesPerToken: 18432, LinkMbps: 370000}},
	}})
	s.Apply(start, follower.Change{Table: table}, follower.Position{})
	for i := range n {
		s.Apply(start, follower.Change{Upstream: upstreamOf(i)}, follower.Position{Offset: int64(i)})
	}
	return s
}

func upstreamOf(i int) *follower.Upstream {
	return &follower.Upstream{
		ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Born: int64(i + 1), Service: "engines", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
		AvailabilityZone: fmt.Sprint("zone", i%3), Slots: 64, Standing: follower.StandingReady, Weights: map[string]uint64{"m": 1},
	}
}

// BenchmarkChange measures the update of one upstream.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{3000, 10000} {
		b.Run(fmt.Sprintf("Upstreams%d", n), func(b *testing.B) { benchmarkChange(b, n) })
	}
}

func benchmarkChange(b *testing.B, n int) {
	s := manyUpstreams(n)
	p := New(Options{AvailabilityZone: "zone1"})
	p.Update(s.View())
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		u := upstreamOf(i % n)
		if i/n%2 == 0 {
			u.Standing = follower.StandingLeaving
		}
		s.Apply(start, follower.Change{Upstream: u}, follower.Position{Offset: int64(10000 + i)})
		p.Update(s.View())
		i++
	}
}
