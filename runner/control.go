// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package runner

import (
	"context"
	"time"

	"amaranthgate.example/amaranthgate/administrator"
	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/controller"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/reporter"
	"amaranthgate.example/amaranthgate/tracker"
)

// control implements administrator.Control by calls on the control goroutine.
type control struct {
	host *Host
}

// Current implements administrator.Control.
func (c *control) Current() administrator.Configuration {
	var cur administrator.Configuration
	c.host.loop.do(func(_ time.Time, n *controller.Node) {
		s := n.Configuration()
		cur = administrator.Configuration{
			Revision: s.Revision(),
			Document: s.Document(),
			Results:  append([]configurer.Result(nil), s.Results()...),
		}
	})
	return cur
}

// Publish implements administrator.Control.
func (c *control) Publish(ctx context.Context, d configurer.Delta) (configurer.Result, bool) {
	return c.host.loop.Publish(ctx, d)
}

// Hosts implements administrator.Control.
func (c *control) Hosts() []tracker.HostRecord {
	var out []tracker.HostRecord
	c.host.loop.do(func(_ time.Time, n *controller.Node) { out = n.Hosts() })
	return out
}

// Report implements administrator.Control.
func (c *control) Report() (reporter.Report, bool) {
	var rep reporter.Report
	var complete bool
	c.host.loop.do(func(now time.Time, n *controller.Node) {
		rep, complete = n.Report(now)
	})
	return rep, complete
}

// Dump is the state of a process.
type Dump struct {
	Settings loader.Settings // Settings are without secrets.
	Control  controller.Dump
	Traffic  TrafficDump
	Peers    messenger.Traffic
}

// TrafficDump is the state of the request path.
type TrafficDump struct {
	Open     int // Open is the number of open requests.
	Crossed  uint64
	Revision uint64
	Pools    []PoolDump
	Hot      int // Hot is the number of index entries for accelerator memory.
	Kept     int // Kept is the number of index entries for segments in stores.
}

// PoolDump is the state of one pool.
type PoolDump struct {
	Pool    string
	Waiting int
}

// Dump implements administrator.Control.
func (c *control) Dump() any { return c.dump() }

func (c *control) dump() Dump {
	h := c.host
	d := Dump{Settings: h.settings.Redacted(), Peers: h.messenger.Traffic()}
	h.loop.do(func(now time.Time, n *controller.Node) { d.Control = n.Dump(now) })
	d.Traffic = TrafficDump{Open: h.server.Open(), Crossed: h.forwarder.Crossed.Load(), Revision: h.publisher.Load().Revision}
	d.Traffic.Hot, d.Traffic.Kept = h.cacheIndex.size()
	for name, waiting := range h.server.Waiting() {
		d.Traffic.Pools = append(d.Traffic.Pools, PoolDump{Pool: name, Waiting: waiting})
	}
	return d
}
