// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import "time"

// Timing holds the intervals and timeouts of the control plane.
type Timing struct {
	Tick         time.Duration // Tick is the interval of the control loop.
	Heartbeat    time.Duration // Heartbeat is the interval between heartbeats.
	Report       time.Duration // Report is the interval between load reports.
	SuspectAfter time.Duration // SuspectAfter is the silence after which a host is suspected.

	// HeartbeatStandby and SuspectStandbyAfter are the same to and from standby hosts of a large fleet.
	HeartbeatStandby    time.Duration
	SuspectStandbyAfter time.Duration

	ForgetAfter time.Duration // ForgetAfter is how long hosts that are gone are remembered.

	Admit time.Duration // Admit is the interval between checks of waiting requests' deadlines.

	LongPoll     time.Duration // LongPoll is how long the store waits for the next record.
	TakeoverAge  time.Duration // TakeoverAge is the age of a feed from which the second host in rank reads it.
	TakeoverStep time.Duration // TakeoverStep is added to TakeoverAge for each further rank.
	ReadInterval time.Duration // ReadInterval is the least time between two reads, so that records accumulate.
	// ReadIntervalLarge is ReadInterval in a large fleet, where each page goes to all hosts.
	ReadIntervalLarge   time.Duration
	RetryDelay          time.Duration // RetryDelay is the delay after a failed call to the store.
	MaxLag              time.Duration // MaxLag is how long another host may know more before it is asked.
	PageRequestInterval time.Duration // PageRequestInterval is the least time between requests to peers for a page.
	ListingInterval     time.Duration // ListingInterval is the same for a whole listing in a large fleet.

	Unread time.Duration // Unread is how long a part of an answer may stay unread by its caller.

	// LeaseTerm is how long the updater's lease lasts without renewal. After its holder dies, the
	// next order follows LeaseTerm, the handover gap and LeaseMargin later. These times and the
	// loads must fit into the time in which engines are to be updated.
	LeaseTerm   time.Duration
	LeaseMargin time.Duration // LeaseMargin is subtracted from the term by the holder and added by others.
}

// DefaultTiming returns timings with which a change reaches all hosts within 1.1 s even if the host that reads the feeds
// is cut off at that moment. The others hear from it every 0.55 s, or 0.7 s in a large fleet, and read 0.8 to 1.05 s
// after it was last heard, by their ranks.
func DefaultTiming() Timing {
	return Timing{
		Tick:         50 * time.Millisecond,
		Heartbeat:    200 * time.Millisecond,
		Report:       100 * time.Millisecond,
		SuspectAfter: 800 * time.Millisecond,

		HeartbeatStandby:    time.Second,
		SuspectStandbyAfter: 3500 * time.Millisecond,

		ForgetAfter:  30 * time.Second,
		Admit:        20 * time.Millisecond,
		LongPoll:     450 * time.Millisecond,
		TakeoverAge:  750 * time.Millisecond,
		TakeoverStep: 50 * time.Millisecond,
		ReadInterval: 100 * time.Millisecond,

		ReadIntervalLarge: 250 * time.Millisecond,

		RetryDelay:          250 * time.Millisecond,
		MaxLag:              150 * time.Millisecond,
		PageRequestInterval: 300 * time.Millisecond,
		ListingInterval:     1200 * time.Millisecond,
		Unread:              time.Minute,
		LeaseTerm:           time.Second,
		LeaseMargin:         200 * time.Millisecond,
	}
}
