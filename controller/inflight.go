// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"maps"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/router"
	"amaranthgate.example/amaranthgate/tracker"
)

// Hosts exchange the numbers of their requests in flight at each upstream, so that
// they do not all choose the one that was idle in the last load report. Without a
// full mesh they use load reports only.
const (
	inFlightInterval        = 50 * time.Millisecond
	inFlightMaxAge          = 3 * time.Second // validity of received counts
	inFlightRefreshInterval = time.Second     // until unchanged counts are sent again
)

// inFlightCounts is what another host has in flight, by upstream.
type inFlightCounts struct {
	at     time.Time
	counts map[string]messenger.InFlightCount
}

// fullMesh reports whether this host has a connection to every other.
func (n *Node) fullMesh() bool { return len(n.hosts.Neighbours()) < minRelayNeighbours }

// tickInFlight sends this host's counts to the other hosts.
func (n *Node) tickInFlight(now time.Time) {
	doc := n.config.Document()
	if doc == nil || now.Sub(n.lastInFlightSent) < inFlightInterval || !n.fullMesh() {
		return
	}
	s := &messenger.InFlight{}
	for i := range doc.Upstreams {
		m := &n.opts.Registry.Get(doc.Upstreams[i].Name).Meter
		if requests := m.InFlight(); requests > 0 {
			s.Upstreams = append(s.Upstreams, messenger.InFlightCount{Upstream: doc.Upstreams[i].Name, Requests: requests, Tokens: m.Pending()})
		}
	}
	if slices.Equal(s.Upstreams, n.sentInFlight) && now.Sub(n.lastInFlightSent) < inFlightRefreshInterval {
		return
	}
	n.sentInFlight = s.Upstreams
	n.lastInFlightSent = now
	n.sendNeighbours("", &messenger.Message{InFlight: s})
}

func (n *Node) inFlightReceived(now time.Time, from string, s *messenger.InFlight) {
	p := inFlightCounts{at: now, counts: make(map[string]messenger.InFlightCount, len(s.Upstreams))}
	for _, c := range s.Upstreams {
		p.counts[c.Upstream] = c
	}
	old := n.peerInFlight[from]
	n.peerInFlight[from] = p
	if !maps.Equal(old.counts, p.counts) || now.Sub(old.at) > inFlightMaxAge {
		n.viewDirty = true
	}
}

// peerCounts returns the counts of all other live or leaving hosts, or false unless
// all are recent.
func (n *Node) peerCounts(now time.Time) ([]inFlightCounts, bool) {
	if !n.fullMesh() {
		return nil, false
	}
	var out []inFlightCounts
	for _, r := range n.hosts.All() {
		if r.Host == n.opts.Self.Host || r.State != tracker.HostLive && r.State != tracker.HostLeaving {
			continue
		}
		p := n.peerInFlight[r.Host]
		if now.Sub(p.at) > inFlightMaxAge {
			return nil, false
		}
		out = append(out, p)
	}
	return out, true
}

// peerLoad adds up what other hosts have in flight at an upstream.
func peerLoad(peers []inFlightCounts, fresh bool, upstream string) router.PeerLoad {
	load := router.PeerLoad{Fresh: fresh}
	for _, p := range peers {
		c := p.counts[upstream]
		load.Requests += c.Requests
		load.Tokens += c.Tokens
	}
	return load
}
