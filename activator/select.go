// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package activator

import (
	"cmp"
	"slices"

	"amaranthgate.example/amaranthgate/tracker"
)

// AllServe is the number of hosts up to which all serve: reports ten times a second
// between 16 hosts are 2,400 messages a second.
const AllServe = 16

const (
	// leastActive is the least number of active hosts of an availability zone: when one
	// is lost, two remain until its successor is named to callers.
	leastActive = 3
	// mostUsed is the part of its processor time up to which an active host is to be
	// used. It leaves room for callers that come at 1.7 times the usual rate, and for
	// the loss of a third of the active hosts, one at a time.
	mostUsed = 0.4
	// startUse is the part of an availability zone's cores that is assumed to be used
	// while nobody has measured it.
	startUse = 1.0 / 16
	// unknownCores is assumed of a host that has not told its cores.
	unknownCores = 1
)

// Selection is which hosts serve callers.
type Selection struct {
	All    bool                // All tells that every live host serves.
	Zones  map[string][]string // Zones has the active hosts by availability zone, in the order in which they are called.
	Active map[string]bool     // Active has the same hosts; nil if all serve.
}

// Hosts returns the active hosts of all availability zones, sorted.
func (s Selection) Hosts() []string {
	var out []string
	for _, names := range s.Zones {
		out = append(out, names...)
	}
	slices.Sort(out)
	return out
}

// Select returns which of the live hosts serve callers. In a small fleet all do. Else
// as few of each availability zone as carry what is used there, those with the most
// cores and the widest links first. Use has the cores that the hosts of an availability
// zone use together; an availability zone without an entry has not been measured.
//
// Callers connect to any active host of their zone alike, so that the smallest must
// carry an even part.
func Select(hosts []tracker.HostRecord, use map[string]float64) Selection {
	zones := make(map[string][]tracker.HostRecord)
	live := 0
	for _, r := range hosts {
		if r.State == tracker.HostLive {
			zones[r.AvailabilityZone] = append(zones[r.AvailabilityZone], r)
			live++
		}
	}
	out := Selection{All: live <= AllServe, Zones: make(map[string][]string, len(zones))}
	if !out.All {
		out.Active = make(map[string]bool)
	}
	for zone, members := range zones {
		slices.SortFunc(members, Larger)
		n := len(members)
		if !out.All {
			n = enough(members, use[zone])
		}
		for _, r := range members[:n] {
			out.Zones[zone] = append(out.Zones[zone], r.Host)
			if !out.All {
				out.Active[r.Host] = true
			}
		}
	}
	return out
}

// Larger orders hosts by their cores, then by their links, those with more first, and
// alike ones by rank.
func Larger(a, b tracker.HostRecord) int {
	return cmp.Or(
		cmp.Compare(cores(b), cores(a)),
		cmp.Compare(b.LinkMbps, a.LinkMbps),
		cmp.Compare(tracker.Rank(b.Host, "active"), tracker.Rank(a.Host, "active")),
	)
}

// enough returns how many of the hosts of an availability zone carry what is used
// there, each an even part.
func enough(members []tracker.HostRecord, use float64) int {
	if use <= 0 {
		for _, r := range members {
			use += startUse * cores(r)
		}
	}
	for n := min(leastActive, len(members)); n < len(members); n++ {
		if use/float64(n) <= mostUsed*cores(members[n-1]) {
			return n
		}
	}
	return len(members)
}

func cores(r tracker.HostRecord) float64 {
	if r.Cores <= 0 {
		return unknownCores
	}
	return r.Cores
}
