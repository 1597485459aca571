// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"sort"
	"time"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/leaser"
	"amaranthgate.example/amaranthgate/tracker"
)

// DumpVersion is the version of the format of Dump.
const DumpVersion = 1

// Dump is the state of a node for debugging.
type Dump struct {
	Version   int
	Writer    string
	Ready     bool
	Leaving   bool
	Revision  uint64
	Streams   []StreamDump
	Leases    map[string]leaser.Lease
	Held      []string
	Ranges    []RangeDump
	Claims    ClaimDump
	Hosts     []tracker.HostRecord
	Peers     []string
	Upstreams []UpstreamDump
	Limits    LimitDump
}

// StreamDump is the state of one followed stream.
type StreamDump struct {
	Stream  string
	Next    uint64
	Ready   bool
	Failing bool
	Queued  int // Queued is the number of entries not yet read back.
	Appends uint64
}

// RangeDump is the state of one range of claims that this host owns.
type RangeDump struct {
	Range   int
	Serving bool
	Keys    int
	Pending int
	Waiting int
}

// ClaimDump is the state of this host's claims as claimant.
type ClaimDump struct {
	Open     int
	Outcomes int // Outcomes is the number of unacknowledged outcomes.
}

// UpstreamDump is the state of one upstream.
type UpstreamDump struct {
	tracker.UpstreamRecord
	Load     tracker.LoadDigest
	LoadAge  time.Duration
	InFlight int
	Open     bool // Open reports whether the circuit breaker is open.
}

// LimitDump is the state of limits that are shared by hosts.
type LimitDump struct {
	Hosts   int
	Divider uint64 // Divider is the epoch in which this host divides limits; 0 if it does not.
}

// Dump returns the state of the node.
func (n *Node) Dump(now time.Time) Dump {
	d := Dump{
		Version:  DumpVersion,
		Writer:   n.writer,
		Ready:    n.Ready(),
		Leaving:  n.leaving,
		Revision: n.config.Revision(),
		Leases:   n.leases.All(),
		Held:     n.holder.Held(),
		Hosts:    n.hosts.All(),
		Peers:    n.hosts.Neighbours(),
		Limits:   LimitDump{Hosts: n.hostCount()},
	}
	d.Claims.Open, d.Claims.Outcomes = n.claimant.Open()
	if n.divider != nil {
		d.Limits.Divider = n.divider.Epoch()
	}
	for name, s := range n.streams {
		d.Streams = append(d.Streams, StreamDump{
			Stream: name, Next: s.fold.Next(), Ready: s.fold.Ready(), Failing: s.failing,
			Queued: s.queue.Len(), Appends: s.queue.Appends(),
		})
	}
	sort.Slice(d.Streams, func(i, j int) bool { return d.Streams[i].Stream < d.Streams[j].Stream })
	for r := range claimer.Ranges {
		if c := n.ranges[r]; c != nil {
			pending, waiting := c.owner.Waiting()
			d.Ranges = append(d.Ranges, RangeDump{Range: r, Serving: c.owner.Serving(), Keys: c.table.Len(), Pending: pending, Waiting: waiting})
		}
	}
	d.Upstreams = n.dumpUpstreams(now)
	return d
}

func (n *Node) dumpUpstreams(now time.Time) []UpstreamDump {
	doc := n.config.Document()
	if doc == nil {
		return nil
	}
	var out []UpstreamDump
	for _, u := range doc.Upstreams {
		record, digest, at := n.upstreams.Lookup(u.Name)
		in := n.opts.Registry.Get(u.Name)
		ud := UpstreamDump{UpstreamRecord: record, Load: digest, InFlight: in.Meter.InFlight(), Open: in.Breaker.Open(now)}
		if !at.IsZero() {
			ud.LoadAge = now.Sub(at)
		}
		out = append(out, ud)
	}
	return out
}
