// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package introducer

import (
	"math/rand/v2"
	"time"

	"amaranthgate.example/amaranthgate/tracker"
)

const (
	// MinAnnouncements is the number of announced hosts from which others need not announce themselves:
	// enough to spread the first contacts of a large fleet over them.
	MinAnnouncements = 48
	// FirstReadJitter is the jitter of the first read of hosts that all start for the first time. Hosts that
	// read before there are MinAnnouncements announcements append their own as well, so that it bounds the
	// number of concurrent appends: of 2,000 hosts 162 do, 0.65 s of appends where the store queues 2 s.
	FirstReadJitter = time.Second
	// contactTimeout is how long to wait for contact with announced hosts before the next page is read.
	contactTimeout = 1500 * time.Millisecond
	// maxAppendBackoff and maxReadBackoff bound the backoff after a failed call. Reads are cheap for the
	// store, and a long backoff would delay serving after it has recovered. 2,000 hosts make 5,300 reads a
	// second.
	maxAppendBackoff = 4 * time.Second
	maxReadBackoff   = 500 * time.Millisecond
)

// Call is a call to the store.
type Call string

const (
	CallNone     Call = "None"
	CallRead     Call = "Find"     // CallRead reads a page of announcements.
	CallAnnounce Call = "Announce" // CallAnnounce writes this host's own announcement.
)

// Page is a page of announcements.
type Page struct {
	Hosts []tracker.HostRecord
	Next  string // Next is where the next page begins; empty if none follows.
}

// Options configures an Introducer.
type Options struct {
	Host  string // Host is this host's name.
	Peers string // Peers is its address for other hosts.
	// FirstStart reports whether all hosts start for the first time, so that none is announced yet.
	FirstStart     bool
	InitialBackoff time.Duration // InitialBackoff is the backoff after the first failed call; default 250 ms.
	Seed           uint64        // Seed is that of the jitter; it must differ between hosts.
}

// Introducer discovers the other hosts of the fleet for one host. It is not safe for concurrent use.
type Introducer struct {
	opts        Options
	rng         *rand.Rand
	dueAt       time.Time // dueAt is when the next call is due; zero before the first call of Next.
	callPending bool
	backoff     time.Duration // backoff is the last backoff without its jitter.

	pageStart      string // pageStart is the name after which the next page begins.
	hasRead        bool   // hasRead reports whether a page was ever read.
	readIsFresh    bool   // readIsFresh reports whether a page was read since the last attempt to announce.
	othersOnPage   bool   // othersOnPage reports whether the last page had other hosts.
	lastPage       bool   // lastPage reports whether no page follows it.
	announceNeeded bool   // announceNeeded reports whether too few others are announced.
	hasFailed      bool   // hasFailed reports whether a call failed since FirstReadJitter was last applied.
	announced      bool
	contacted      bool // contacted reports whether there was contact with another host.
	done           bool
}

// New returns an Introducer for a host that starts.
func New(opts Options) *Introducer {
	if opts.InitialBackoff == 0 {
		opts.InitialBackoff = 250 * time.Millisecond
	}
	return &Introducer{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1))}
}

// HasRead reports whether at least the first page of announcements was read.
func (i *Introducer) HasRead() bool { return i.hasRead }

// Done reports whether discovery has ended: another host was contacted, or all announcements were
// read without one.
func (i *Introducer) Done() bool { return i.done }

// After returns the name after which the next page begins; empty for the first page.
func (i *Introducer) After() string { return i.pageStart }

// Contacted records contact with another host, which makes this one known to the rest.
func (i *Introducer) Contacted() { i.contacted = true }

// Next returns the call that is due. Its result must be passed to ReadDone or AnnounceDone.
func (i *Introducer) Next(now time.Time) Call {
	if i.dueAt.IsZero() {
		i.dueAt = now
		if i.opts.FirstStart {
			i.dueAt = now.Add(i.randomBelow(FirstReadJitter))
		}
	}
	if i.done || i.callPending || now.Before(i.dueAt) {
		return CallNone
	}
	call := i.decide()
	i.done, i.callPending = call == CallNone, call != CallNone
	return call
}

func (i *Introducer) decide() Call {
	switch {
	case i.contacted && !i.announceNeeded:
		return CallNone
	case !i.readIsFresh:
		return CallRead
	case i.announceNeeded && !i.announced:
		return CallAnnounce
	case i.contacted:
		return CallNone
	case i.othersOnPage && !i.announced:
		return CallAnnounce // the announced hosts may be gone
	case i.lastPage:
		return CallNone
	}
	return CallRead
}

// ReadDone handles the result of CallRead.
func (i *Introducer) ReadDone(now time.Time, p Page, err error) {
	i.callPending = false
	if err != nil {
		i.backOff(now, maxReadBackoff)
		return
	}
	others := 0
	for _, r := range p.Hosts {
		switch {
		case r.Host != i.opts.Host:
			others++
		case r.Peers == i.opts.Peers:
			i.announced = true
		}
	}
	i.announceNeeded = p.Next == "" && (others == 0 || i.pageStart == "" && others < MinAnnouncements)
	i.hasRead, i.readIsFresh, i.backoff = true, true, 0
	i.othersOnPage, i.lastPage, i.pageStart = others > 0, p.Next == "", p.Next
	i.dueAt = now
	switch {
	case i.announceNeeded && !i.announced && i.hasFailed:
		// The store has recovered, and all hosts read it at the same time: read again with jitter.
		i.hasFailed, i.readIsFresh, i.dueAt = false, false, now.Add(i.randomBelow(FirstReadJitter))
	case i.othersOnPage && (i.announced || !i.announceNeeded):
		i.dueAt = now.Add(contactTimeout)
	}
}

// AnnounceDone handles the result of CallAnnounce. A failed append may have succeeded in the store: the
// announcements are read before it is repeated.
func (i *Introducer) AnnounceDone(now time.Time, err error) {
	i.callPending, i.readIsFresh, i.pageStart = false, false, ""
	if err != nil {
		i.backOff(now, maxAppendBackoff)
		return
	}
	i.announced, i.backoff = true, 0
}

// backOff schedules the next call after a failed one, with exponential backoff and jitter.
func (i *Introducer) backOff(now time.Time, maxBackoff time.Duration) {
	i.hasFailed = true
	i.backoff = min(max(2*i.backoff, i.opts.InitialBackoff), maxBackoff/2)
	i.dueAt = now.Add(i.backoff + i.randomBelow(i.backoff))
}

func (i *Introducer) randomBelow(d time.Duration) time.Duration {
	return time.Duration(i.rng.Int64N(int64(d)))
}
