// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

// HostState is the state of one of the system's hosts.
type HostState string

// The states of a host.
const (
	HostJoining HostState = "Joining" // HostJoining is listed but was never heard of.
	HostLive    HostState = "Live"
	HostSuspect HostState = "Suspect" // HostSuspect was silent towards a neighbour.
	HostLeaving HostState = "Leaving" // HostLeaving drains.
	HostGone    HostState = "Gone"
)

// severity orders states of the same version.
var severity = map[HostState]int{HostJoining: 0, HostLive: 1, HostLeaving: 2, HostSuspect: 3, HostGone: 4}

// HostRecord is what is said of a host.
type HostRecord struct {
	Host             string    `cbor:"1,keyasint"`
	Incarnation      uint64    `cbor:"2,keyasint,omitempty"` // Incarnation grows with each start of the process.
	Version          uint64    `cbor:"3,keyasint,omitempty"` // Version grows with each statement of the host about itself.
	State            HostState `cbor:"4,keyasint,omitempty"`
	AvailabilityZone string    `cbor:"5,keyasint,omitempty"`
	Peers            string    `cbor:"6,keyasint,omitempty"`  // Peers is the address for other hosts.
	Callers          string    `cbor:"7,keyasint,omitempty"`  // Callers is the address for callers.
	Operators        string    `cbor:"8,keyasint,omitempty"`  // Operators is the address of console and state dump.
	Revision         uint64    `cbor:"9,keyasint,omitempty"`  // Revision is the configuration revision in force there.
	LinkMbps         float64   `cbor:"10,keyasint,omitempty"` // LinkMbps is the width of the host's own link; 0 if it was not told.
	Cores            float64   `cbor:"11,keyasint,omitempty"` // Cores is how many processor cores the host may use; 0 if it was not told.
	ZoneUse          float64   `cbor:"12,keyasint,omitempty"` // ZoneUse is how many cores the hosts of its availability zone use together, told by one host of the zone; 0 elsewhere.
	Ready            bool      `cbor:"14,keyasint,omitempty"` // Ready tells that the host knows what it needs to serve callers.
	Spare            float64   `cbor:"13,keyasint,omitempty"` // Spare is the part of its room that is free.
}

// supersedes reports whether r is newer than o.
func (r HostRecord) supersedes(o HostRecord) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Version != o.Version {
		return r.Version > o.Version
	}
	return severity[r.State] > severity[o.State]
}
