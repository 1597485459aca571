// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package activator

import (
	"cmp"
	"slices"

	"amaranthgate.example/amaranthgate/tracker"
)

// MaxAllActive is the number of live hosts up to which all are active, so that the rate of load
// reports between them stays low. Ten reports a second between 16 hosts are 2,400 messages a
// second.
const MaxAllActive = 16

const (
	// minActivePerZone is the least number of active hosts of an availability zone: when one
	// fails, two remain until callers are directed to its successor.
	minActivePerZone = 3
	// maxUtilization is the target fraction of an active host's cores in use. It leaves room for
	// requests at 1.7 times the usual rate and for the failure of a third of the active hosts.
	maxUtilization = 0.4
	// assumedUtilization is the fraction of an availability zone's cores that is assumed to be
	// in use while there is no measurement.
	assumedUtilization = 1.0 / 16
	// defaultCores is assumed for a host whose number of cores is unknown.
	defaultCores = 1
)

// Selection is the set of active hosts.
type Selection struct {
	All    bool                // All reports whether every live host is active.
	Zones  map[string][]string // Zones holds the active hosts by availability zone, in order of CompareCapacity.
	Active map[string]bool     // Active holds the same hosts as a set; nil if All is set.
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

// Select returns which of the live hosts are active. In a small fleet all are; else as few
// of each availability zone as can carry its use, those with the most cores and the highest
// bandwidth first. use is the number of cores in use by availability zone; there is no entry
// for a zone that has not been measured.
//
// Callers are spread evenly over the active hosts of their zone, so that the smallest one
// must be able to carry an equal share.
func Select(hosts []tracker.HostRecord, use map[string]float64) Selection {
	zones := make(map[string][]tracker.HostRecord)
	live := 0
	for _, r := range hosts {
		if r.State == tracker.HostLive {
			zones[r.AvailabilityZone] = append(zones[r.AvailabilityZone], r)
			live++
		}
	}
	out := Selection{All: live <= MaxAllActive, Zones: make(map[string][]string, len(zones))}
	if !out.All {
		out.Active = make(map[string]bool)
	}
	for zone, members := range zones {
		slices.SortFunc(members, CompareCapacity)
		n := len(members)
		if !out.All {
			n = requiredHosts(members, use[zone])
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

// CompareCapacity compares hosts by cores and bandwidth, in descending order, and equal ones by rank.
func CompareCapacity(a, b tracker.HostRecord) int {
	return cmp.Or(
		cmp.Compare(cores(b), cores(a)),
		cmp.Compare(b.LinkMbps, a.LinkMbps),
		cmp.Compare(tracker.Rank(b.Host, "active"), tracker.Rank(a.Host, "active")),
	)
}

// requiredHosts returns how many hosts of an availability zone can carry its use in equal
// shares. members are in order of CompareCapacity.
func requiredHosts(members []tracker.HostRecord, use float64) int {
	if use <= 0 {
		for _, r := range members {
			use += assumedUtilization * cores(r)
		}
	}
	for n := min(minActivePerZone, len(members)); n < len(members); n++ {
		if use/float64(n) <= maxUtilization*cores(members[n-1]) {
			return n
		}
	}
	return len(members)
}

func cores(r tracker.HostRecord) float64 {
	if r.Cores <= 0 {
		return defaultCores
	}
	return r.Cores
}
