// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package lender

import (
	"slices"
	"time"
)

// Dump is the state of one upstream's slots for inspection.
type Dump struct {
	Hosts    int            // Hosts is the number of hosts that slots are dealt out to.
	Parts    map[string]int // Parts are the numbers of slots dealt out to their owners.
	Part     int            // Part is the number of slots that this host may use or lend now.
	Held     int            // Held is the number of slots that stay unused after refusals.
	Lent     []string       // Lent has the borrower of each slot that this host has lent.
	Borrowed []string       // Borrowed has the owner of each slot that this host has borrowed.
	Asked    []string       // Asked are the owners that this host asks.
	Askers   []string       // Askers are the hosts that ask this one.
}

// Dump returns the state of an upstream's slots; nil if they are not divided.
func (l *Lender) Dump(now time.Time, instance string) *Dump {
	a := l.accounts[instance]
	if a == nil {
		return nil
	}
	d := &Dump{Hosts: len(l.hosts), Parts: a.parts, Held: a.held(now)}
	d.Part, _ = l.Part(now, instance)
	for _, n := range a.loans {
		d.Lent = append(d.Lent, n.host)
	}
	for _, le := range a.leases {
		d.Borrowed = append(d.Borrowed, le.owner)
	}
	for host := range a.asked {
		d.Asked = append(d.Asked, host)
	}
	for host, k := range a.asks {
		if k.waits(now) {
			d.Askers = append(d.Askers, host)
		}
	}
	for _, names := range [][]string{d.Lent, d.Borrowed, d.Asked, d.Askers} {
		slices.Sort(names)
	}
	return d
}
