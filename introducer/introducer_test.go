// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package introducer

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/tracker"
)

// The tests guard against hosts that start together and never find each other, because their appends
// and retries keep the store's partition overloaded.

const (
	appendTime   = 4 * time.Millisecond // appendTime is the time that the partition takes for one append.
	maxQueueTime = 2 * time.Second      // maxQueueTime is the queueing time above which appends are rejected.
	responseTime = 5 * time.Millisecond
	contactDelay = 50 * time.Millisecond // contactDelay is the time until two hosts have contact.
	tickInterval = 5 * time.Millisecond
)

var errRejected = errors.New("rejected by the store")

// fleet simulates hosts that start together, and the store's partition of announcements.
type fleet struct {
	now             time.Time
	hosts           []*host
	announcements   []announcement // announcements are sorted by name.
	partitionFreeAt time.Time
	pageSize        int
	appendTimeout   time.Duration // appendTimeout is the time after which a host gives an append up.
	storeDown       bool          // storeDown reports whether the store rejects all calls.
	appends         int
	reads           int
}

type announcement struct {
	name string
	at   time.Time // at is when the append ends.
}

type host struct {
	name        string
	introducer  *Introducer
	startAt     time.Time
	contactedAt time.Time
	gone        bool
	events      []event
}

// event is a scheduled function call.
type event struct {
	at time.Time
	do func()
}

func newFleet(n int, first bool) *fleet {
	f := &fleet{now: time.Unix(1000, 0), pageSize: 200, appendTimeout: 3 * time.Second}
	rng := rand.New(rand.NewPCG(uint64(n), 7))
	const startsWithin = 300 * time.Millisecond
	for i := range n {
		name := fmt.Sprintf("host-%04d", i)
		f.hosts = append(f.hosts, &host{
			name:       name,
			startAt:    f.now.Add(time.Duration(rng.Int64N(int64(startsWithin)))),
			introducer: New(Options{Host: name, Peers: name, FirstStart: first, Seed: uint64(i)}),
		})
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tickInterval) {
		for _, h := range f.hosts {
			if !h.gone && !f.now.Before(h.startAt) {
				f.tick(h)
			}
		}
	}
}

func (f *fleet) tick(h *host) {
	due := h.events
	h.events = nil
	for _, e := range due {
		if f.now.Before(e.at) {
			h.events = append(h.events, e)
			continue
		}
		e.do()
	}
	switch h.introducer.Next(f.now) {
	case CallRead:
		f.list(h)
	case CallAnnounce:
		f.announce(h)
	}
}

func (h *host) schedule(at time.Time, do func()) { h.events = append(h.events, event{at, do}) }

func (f *fleet) list(h *host) {
	f.reads++
	if f.storeDown {
		h.schedule(f.now.Add(responseTime), func() { h.introducer.ReadDone(f.now, Page{}, errRejected) })
		return
	}
	var p Page
	for _, c := range f.announcements {
		if c.at.After(f.now) || c.name <= h.introducer.After() {
			continue
		}
		if len(p.Hosts) == f.pageSize {
			p.Next = p.Hosts[f.pageSize-1].Host
			break
		}
		p.Hosts = append(p.Hosts, tracker.HostRecord{Host: c.name, Peers: c.name})
	}
	h.schedule(f.now.Add(responseTime), func() {
		h.introducer.ReadDone(f.now, p, nil)
		for _, r := range p.Hosts {
			if i, _ := slices.BinarySearchFunc(f.hosts, r.Host, func(o *host, name string) int { return cmp.Compare(o.name, name) }); i < len(f.hosts) && r.Host != h.name && !f.hosts[i].gone {
				f.contact(h, f.hosts[i])
				return
			}
		}
	})
}

// contact schedules the first contact of two hosts.
func (f *fleet) contact(a, b *host) {
	for _, h := range []*host{a, b} {
		h.schedule(f.now.Add(contactDelay), func() {
			h.introducer.Contacted()
			if h.contactedAt.IsZero() {
				h.contactedAt = f.now
			}
		})
	}
}

func (f *fleet) announce(h *host) {
	f.appends++
	free := f.partitionFreeAt
	if free.Before(f.now) {
		free = f.now
	}
	if f.storeDown || free.Sub(f.now) > maxQueueTime {
		h.schedule(f.now.Add(responseTime), func() { h.introducer.AnnounceDone(f.now, errRejected) })
		return
	}
	f.partitionFreeAt = free.Add(appendTime)
	f.put(h.name, f.partitionFreeAt)
	took := f.partitionFreeAt.Sub(f.now)
	if took > f.appendTimeout {
		h.schedule(f.now.Add(f.appendTimeout), func() { h.introducer.AnnounceDone(f.now, errors.New("no answer")) })
		return
	}
	h.schedule(f.partitionFreeAt, func() { h.introducer.AnnounceDone(f.now, nil) })
}

func (f *fleet) put(name string, at time.Time) {
	i, found := slices.BinarySearchFunc(f.announcements, name, func(c announcement, name string) int { return cmp.Compare(c.name, name) })
	if !found {
		f.announcements = slices.Insert(f.announcements, i, announcement{name: name, at: at})
	}
}

// countUncontacted returns the number of hosts without contact to another.
func (f *fleet) countUncontacted() int {
	n := 0
	for _, h := range f.hosts {
		if !h.gone && h.contactedAt.IsZero() {
			n++
		}
	}
	return n
}

// TestHerdMeets: hosts that all start for the first time must get into contact within 5 s, with a number
// of appends that is bounded by the partition's queue, not by the number of hosts.
func TestHerdMeets(t *testing.T) {
	const maxAppends = int(maxQueueTime / appendTime)
	for _, n := range []int{2, 8, 100, 985, 2000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(n, true)
			f.run(5 * time.Second)
			t.Logf("%d hosts: %d appends, %d reads", n, f.appends, f.reads)
			assert.Equal(t, f.countUncontacted(), 0)
			assert.Assert(t, f.appends <= min(n, maxAppends), "%d appends", f.appends)
			assert.Assert(t, f.reads <= 3*n, "%d reads", f.reads)
			assert.Assert(t, len(f.announcements) >= min(n, MinAnnouncements), "%d announced", len(f.announcements))
		})
	}
}

// TestHerdIsBack: hosts that all restart, when some are announced, must read once each at most and append
// nothing.
func TestHerdIsBack(t *testing.T) {
	const n = 985
	f := newFleet(n, false)
	for i := range MinAnnouncements {
		f.put(f.hosts[20*i].name, f.now)
	}
	f.run(time.Second)
	assert.Equal(t, f.countUncontacted(), 0)
	assert.Equal(t, f.appends, 0)
	assert.Assert(t, f.reads <= n, "%d reads", f.reads)
}

// TestHerdAfterStoreWasDown: hosts must retry at a bounded rate while the store rejects their calls, read
// within 0.5 s of its recovery and get into contact within 3 s.
func TestHerdAfterStoreWasDown(t *testing.T) {
	const n = 985
	f := newFleet(n, true)
	f.storeDown = true
	f.run(10 * time.Second)
	before := f.reads
	f.run(10 * time.Second)
	assert.Assert(t, f.reads-before <= 4*10*n, "%d reads in 10 s", f.reads-before)
	f.storeDown = false
	f.run(time.Second/2 + 2*responseTime)
	for _, h := range f.hosts {
		assert.Assert(t, h.introducer.HasRead(), h.name)
	}
	f.run(2500 * time.Millisecond)
	assert.Equal(t, f.countUncontacted(), 0)
	assert.Assert(t, f.appends <= int(maxQueueTime/appendTime), "%d appends", f.appends)
}

// TestAnsweredLate: hosts whose appends time out before the store completes them must read before they
// append again.
func TestAnsweredLate(t *testing.T) {
	f := newFleet(985, false)
	f.appendTimeout = 500 * time.Millisecond
	f.run(5 * time.Second)
	assert.Equal(t, f.countUncontacted(), 0)
	assert.Assert(t, f.appends <= 985, "%d appends", f.appends)
}

// TestIntroducersAreGone: hosts must announce themselves and get into contact if no announced host exists
// any more.
func TestIntroducersAreGone(t *testing.T) {
	for _, gone := range []int{1, MinAnnouncements, 450} {
		t.Run(fmt.Sprint(gone), func(t *testing.T) {
			f := newFleet(gone+30, false)
			for i := range gone {
				f.hosts[i].gone = true
				f.put(f.hosts[i].name, f.now)
			}
			f.run(10 * time.Second)
			assert.Equal(t, f.countUncontacted(), 0)
		})
	}
}

// TestAlone: the only host of a fleet must read, announce itself and finish.
func TestAlone(t *testing.T) {
	f := newFleet(1, false)
	f.run(time.Second)
	assert.Assert(t, f.hosts[0].introducer.Done())
	assert.Equal(t, f.appends, 1)
	assert.Equal(t, f.reads, 2)
}
