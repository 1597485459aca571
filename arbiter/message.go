// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package arbiter

import "time"

// Lane is the sub-queue of a class in which a request waits.
type Lane string

const (
	LaneOnTime Lane = "OnTime" // LaneOnTime holds requests that can still meet their objective.
	LaneLate   Lane = "Late"   // LaneLate holds requests that can only meet their deadline.
)

// ClassKey identifies the waiting requests of one class of a service.
type ClassKey struct {
	Service string `cbor:"1,keyasint"`
	Class   string `cbor:"2,keyasint"` // Class is the rank and the route.
}

// Head is the request of a class that starts next at its host.
type Head struct {
	Lane      Lane   `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint,omitempty"` // Workspace is empty on public routes.
	// StartWithin is the time from the sending of the message to the latest start that meets the
	// objective, or the deadline in LaneLate. It is negative if that has passed.
	StartWithin time.Duration `cbor:"3,keyasint"`
	// Starved says that the class is below its minimum share, and Under that the workspace is below its
	// share, as measured by the sender. They are filled by Arbiter. What one host has measured counts at
	// all others, since hosts that use only their own measurements defer to each other.
	Starved bool `cbor:"4,keyasint,omitempty"`
	Under   bool `cbor:"5,keyasint,omitempty"`
}

// Backlog is what a host says of the requests of one class that wait there.
type Backlog struct {
	Key    ClassKey `cbor:"1,keyasint"`
	Rank   int      `cbor:"2,keyasint"`           // Rank is the urgency; 0 is the most urgent.
	OnTime int      `cbor:"3,keyasint,omitempty"` // OnTime and Late are the numbers of waiting requests by lane.
	Late   int      `cbor:"4,keyasint,omitempty"`
	// Entered and Started count the requests of the class that have arrived at the host, and that have
	// been sent to an upstream, since the host's start, so that a lost message loses no count.
	Entered uint64 `cbor:"5,keyasint,omitempty"`
	Started uint64 `cbor:"6,keyasint,omitempty"`
	Head    Head   `cbor:"7,keyasint"` // Head is meaningless if nothing waits.
	// Work is the work of the requests that Started counts, in tokens, or in requests for plain services.
	// It is filled by Arbiter.
	Work float64 `cbor:"8,keyasint,omitempty"`
}

// Usage is the work that a host has started for a workspace of a service lately, in tokens, or in requests
// for plain services.
type Usage struct {
	Service   string  `cbor:"1,keyasint"`
	Workspace string  `cbor:"2,keyasint"`
	Work      float64 `cbor:"3,keyasint"`
}

// Return is a refused request whose caller may come back to any host.
type Return struct {
	Identity  [16]byte      `cbor:"1,keyasint"` // Identity is the request's quarantiner.Identity.
	FirstAge  time.Duration `cbor:"2,keyasint"` // FirstAge is the time since its first attempt, at the sending of the message.
	Remaining time.Duration `cbor:"3,keyasint"` // Remaining is the time until its deadline, at the sending of the message.
}

// Message is what a host at which requests wait tells the others.
type Message struct {
	// Incarnation is that of the sender, and Sequence increases with each of its messages.
	Incarnation uint64    `cbor:"1,keyasint"`
	Sequence    uint64    `cbor:"2,keyasint"`
	Backlogs    []Backlog `cbor:"3,keyasint,omitempty"` // Backlogs has the classes that wait, the most urgent first.
	Usage       []Usage   `cbor:"4,keyasint,omitempty"` // Usage has workspaces with waiting requests.
	Returns     []Return  `cbor:"5,keyasint,omitempty"`
}

// Limits of a message.
const (
	MaxBacklogs = 8
	MaxUsage    = 16
	MaxReturns  = 64
)
