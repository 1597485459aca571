// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

// HostState is the state of a host.
type HostState string

// The states of a host.
const (
	HostJoining HostState = "Joining" // HostJoining is in the host list, but no record of it was received.
	HostLive    HostState = "Live"
	HostSuspect HostState = "Suspect" // HostSuspect sent a neighbour no heartbeat in time.
	HostLeaving HostState = "Leaving" // HostLeaving is draining.
	HostGone    HostState = "Gone"
)

// hostSeverity orders states of the same version; the higher one wins.
var hostSeverity = map[HostState]int{HostJoining: 0, HostLive: 1, HostLeaving: 2, HostSuspect: 3, HostGone: 4}

// HostRecord describes a host. Hosts gossip these records.
type HostRecord struct {
	Host             string    `cbor:"1,keyasint"`
	Incarnation      uint64    `cbor:"2,keyasint,omitempty"` // Incarnation increases with each start of the process.
	Version          uint64    `cbor:"3,keyasint,omitempty"` // Version increases when the host changes this record.
	State            HostState `cbor:"4,keyasint,omitempty"`
	AvailabilityZone string    `cbor:"5,keyasint,omitempty"`
	Peers            string    `cbor:"6,keyasint,omitempty"`  // Peers is the address for other hosts.
	Callers          string    `cbor:"7,keyasint,omitempty"`  // Callers is the address for callers.
	Operators        string    `cbor:"8,keyasint,omitempty"`  // Operators is the address of the console and the state dump.
	Revision         uint64    `cbor:"9,keyasint,omitempty"`  // Revision is that of the configuration in force.
	LinkMbps         float64   `cbor:"10,keyasint,omitempty"` // LinkMbps is the link's bandwidth; 0 if unknown.
	Cores            float64   `cbor:"11,keyasint,omitempty"` // Cores is the number of available cores; 0 if unknown.
	ZoneUse          float64   `cbor:"12,keyasint,omitempty"` // ZoneUse is the number of cores in use in its zone, set by one host.
	Ready            bool      `cbor:"14,keyasint,omitempty"` // Ready reports whether the host can serve callers.
	Spare            float64   `cbor:"13,keyasint,omitempty"` // Spare is the free fraction of its capacity.
	CutOff           bool      `cbor:"15,keyasint,omitempty"` // CutOff reports whether the host reaches no upstream.
}

// supersedes reports whether r is newer than o.
func (r HostRecord) supersedes(o HostRecord) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Version != o.Version {
		return r.Version > o.Version
	}
	return hostSeverity[r.State] > hostSeverity[o.State]
}
