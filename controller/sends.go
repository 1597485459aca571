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

// Hosts tell each other what they have under way at the upstreams, so that they
// do not all choose the one that the last load report showed idle. In a system
// too large for a full mesh they do not, and go by load reports.
const (
	sendsInterval = 50 * time.Millisecond
	sendsFresh    = 3 * time.Second // sendsFresh is how long a statement holds that is not replaced.
	sendsAgain    = time.Second     // sendsAgain is when a statement that says nothing new is repeated.
)

// peerSends is what another host has under way.
type peerSends struct {
	at     time.Time
	counts map[string]messenger.SendCount
}

// fullMesh reports whether this host has a connection to every other.
func (n *Node) fullMesh() bool { return len(n.hosts.Neighbours()) < relayFrom }

// tickSends tells the other hosts what this one has under way.
func (n *Node) tickSends(now time.Time) {
	doc := n.config.Document()
	if doc == nil || now.Sub(n.lastSends) < sendsInterval || !n.fullMesh() {
		return
	}
	s := &messenger.Sends{}
	for i := range doc.Upstreams {
		m := &n.opts.Registry.Get(doc.Upstreams[i].Name).Meter
		if requests := m.InFlight(); requests > 0 {
			s.Upstreams = append(s.Upstreams, messenger.SendCount{Upstream: doc.Upstreams[i].Name, Requests: requests, Tokens: m.Pending()})
		}
	}
	if slices.Equal(s.Upstreams, n.said) && now.Sub(n.lastSends) < sendsAgain {
		return
	}
	n.said = s.Upstreams
	n.lastSends = now
	n.spread("", &messenger.Message{Sends: s})
}

func (n *Node) peerSends(now time.Time, from string, s *messenger.Sends) {
	p := peerSends{at: now, counts: make(map[string]messenger.SendCount, len(s.Upstreams))}
	for _, c := range s.Upstreams {
		p.counts[c.Upstream] = c
	}
	old := n.sends[from]
	n.sends[from] = p
	if !maps.Equal(old.counts, p.counts) || now.Sub(old.at) > sendsFresh {
		n.viewDirty = true
	}
}

// livePeers returns what each other live host has said, and false unless all
// have spoken a moment ago.
func (n *Node) livePeers(now time.Time) ([]peerSends, bool) {
	if !n.fullMesh() {
		return nil, false
	}
	var out []peerSends
	for _, r := range n.hosts.All() {
		if r.Host == n.opts.Self.Host || r.State != tracker.HostLive && r.State != tracker.HostLeaving {
			continue
		}
		p := n.sends[r.Host]
		if now.Sub(p.at) > sendsFresh {
			return nil, false
		}
		out = append(out, p)
	}
	return out, true
}

// peerLoad adds up what other hosts have under way at an upstream.
func peerLoad(peers []peerSends, fresh bool, upstream string) router.PeerLoad {
	load := router.PeerLoad{Fresh: fresh}
	for _, p := range peers {
		c := p.counts[upstream]
		load.Requests += c.Requests
		load.Tokens += c.Tokens
	}
	return load
}
