// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"time"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/router"
	"amaranthgate.example/amaranthgate/tracker"
)

// View returns the latest snapshot for the request path.
func (n *Node) View() *publisher.Snapshot { return n.view }

// refreshView makes a new snapshot if something changed, at most once per
// viewInterval.
func (n *Node) refreshView(now time.Time) {
	if !n.viewDirty || now.Sub(n.viewAt) < viewInterval {
		return
	}
	n.viewDirty = false
	n.viewAt = now
	n.view = n.snapshot(now)
	n.emit(ViewChanged{})
}

func (n *Node) snapshot(now time.Time) *publisher.Snapshot {
	doc := n.config.Document()
	if doc == nil {
		doc = &configurer.Document{}
	}
	s := n.baseSnapshot(doc)
	s.Ready = n.Ready()
	s.Leaving = n.leaving
	s.Addresses = n.addresses()
	peers, fresh := n.peerCounts(now)
	for i := range doc.Upstreams {
		u := &doc.Upstreams[i]
		n.addUpstream(s, u, peerLoad(peers, fresh, u.Name))
	}
	for _, pools := range []map[string]*publisher.Pool{s.Engines, s.Services} {
		for _, p := range pools {
			p.Reserve(doc.Classes)
		}
	}
	return s
}

// baseSnapshot returns a snapshot without pools. It reuses the index of workspaces
// while the document is the same.
func (n *Node) baseSnapshot(doc *configurer.Document) *publisher.Snapshot {
	if n.view != nil && n.view.Document == doc {
		return n.view.WithoutPools()
	}
	return publisher.NewSnapshot(doc, n.config.Revision())
}

// addresses returns the addresses of the hosts that callers may use.
func (n *Node) addresses() []publisher.Address {
	var out []publisher.Address
	for _, r := range n.hosts.All() {
		if r.State == tracker.HostLive && r.Callers != "" && r.Revision > 0 {
			out = append(out, publisher.Address{
				Host:             r.Host,
				Address:          r.Callers,
				AvailabilityZone: r.AvailabilityZone,
				Weight:           max(r.Spare, 0.05),
			})
		}
	}
	return out
}

// addUpstream adds an upstream to its pools.
func (n *Node) addUpstream(s *publisher.Snapshot, u *configurer.Upstream, peers router.PeerLoad) {
	record, digest, _ := n.upstreams.Lookup(u.Name)
	in := n.opts.Registry.Get(u.Name)
	target := router.Target{
		Name:          u.Name,
		Hash:          router.NameHash(u.Name),
		Usable:        record.State == tracker.UpstreamLive,
		Near:          u.AvailabilityZone == n.opts.Self.AvailabilityZone,
		Slots:         float64(u.Slots),
		PrefillRate:   u.PrefillRate,
		LinkRate:      u.LinkRate,
		BytesPerToken: u.BytesPerToken,
		Load: router.Load{
			Running:       digest.Running,
			Waiting:       digest.Waiting,
			WaitingTokens: digest.WaitingTokens,
			Base:          n.loadMarks[u.Name].mark,
		},
		Peers: peers,
		Meter: &in.Meter,
	}
	if u.Kind == configurer.KindService {
		pool := poolOf(s.Services, u.Service)
		pool.Add(target, publisher.Upstream{Upstream: u, Instruments: in})
		return
	}
	for _, model := range u.Models {
		up := publisher.Upstream{Upstream: u, Instruments: in, Versions: versions(digest, model)}
		t := target
		t.Usable = t.Usable && serves(s.Document, digest, model, up.Versions)
		poolOf(s.Engines, model).Add(t, up)
	}
}

func poolOf(pools map[string]*publisher.Pool, name string) *publisher.Pool {
	p := pools[name]
	if p == nil {
		p = &publisher.Pool{}
		pools[name] = p
	}
	return p
}

// versions returns the loaded versions of a model.
func versions(d tracker.LoadDigest, model string) []string {
	var out []string
	for _, m := range d.Models {
		if m.Name == model && m.Adapter == "" && !m.Loading {
			out = append(out, m.Version)
		}
	}
	return out
}

// serves reports whether an upstream has loaded the version in force. This is assumed
// before its first load report.
func serves(doc *configurer.Document, d tracker.LoadDigest, model string, loaded []string) bool {
	if d.Stamp == 0 {
		return true
	}
	m, _ := doc.Model(model)
	for _, v := range loaded {
		if v == m.Version {
			return true
		}
	}
	return false
}
