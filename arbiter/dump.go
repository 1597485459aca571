// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package arbiter

import (
	"cmp"
	"slices"
	"time"
)

// Dump is the state of an Arbiter for inspection.
type Dump struct {
	Waiting []Backlog // Waiting has the classes that wait at this host.
	Usage   []Usage   // Usage is the work that this host has started for workspaces lately.
	Hosts   []HostDump
	Stats   Stats
}

// HostDump is what is known of another host.
type HostDump struct {
	Host     string
	Age      time.Duration // Age is the time since the last message.
	Silent   bool          // Silent reports that the host counts as having nothing waiting.
	Sequence uint64
	Backlogs []Backlog // Backlogs are as of the last message.
	Usage    []Usage
}

// Dump returns the current state.
func (a *Arbiter) Dump(now time.Time) Dump {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := Dump{Stats: a.stats, Waiting: plain(a.local.backlogs), Usage: slices.Clone(a.local.usage)}
	for host, p := range a.peers {
		d.Hosts = append(d.Hosts, HostDump{
			Host: host, Age: now.Sub(p.at), Silent: !p.heard(now), Sequence: p.sequence,
			Backlogs: plain(p.backlogs), Usage: slices.Clone(p.usage),
		})
	}
	slices.SortFunc(d.Hosts, func(x, y HostDump) int { return cmp.Compare(x.Host, y.Host) })
	return d
}

func plain(backlogs []peerBacklog) []Backlog {
	var out []Backlog
	for _, b := range backlogs {
		out = append(out, b.Backlog)
	}
	return out
}

// Competing returns the number of other hosts at which requests wait, for any service.
func (a *Arbiter) Competing(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waitingPeers(now)
}
