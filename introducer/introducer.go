// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package introducer

import (
	"math/rand/v2"
	"time"

	"amaranthgate.example/amaranthgate/tracker"
)

const (
	// Introducers is the number of announced hosts from which on others need not announce
	// themselves. Each host that starts greets four of those that it reads of: of 2,000 that
	// start together, 170 greet each introducer.
	Introducers = 48
	// FirstSpread is the time over which hosts that all start for the first time read the
	// announcements. Those that read before the first Introducers announcements are there
	// announce themselves as well: of 2,000 hosts 162 in all (TestHerdMeets), 0.65 s of appends
	// where the store lets 2 s wait.
	FirstSpread = time.Second
	// answerTime is how long hosts that were read of have to speak, before more are read of.
	answerTime = 1500 * time.Millisecond
	// longestAppend and longestRead bound the pause after a failed call. Reads are no herd: 2,000
	// hosts make 5,300 a second, a third of what a store takes that serves 985; and the longer the
	// pause, the later callers are served once the store is back: with 4 s a day on which eight
	// hosts and the store were lost together, twice, was worth 0.28 instead of 0.31, with 1 s 0.29.
	longestAppend = 4 * time.Second
	longestRead   = 500 * time.Millisecond
)

// Call is what a host is to ask of the store.
type Call string

const (
	CallNone     Call = "None"
	CallFind     Call = "Find"     // CallFind asks for a page of announcements.
	CallAnnounce Call = "Announce" // CallAnnounce writes this host's own announcement.
)

// Page is a page of announcements.
type Page struct {
	Hosts []tracker.HostRecord
	Next  string // Next is where the next page begins; empty if none follows.
}

// Options set up an Introducer.
type Options struct {
	Host  string // Host is this host's name.
	Peers string // Peers is its address for other hosts.
	// FirstStart tells that all hosts start for the first time, so that nobody is announced.
	FirstStart bool
	Again      time.Duration // Again is the pause after the first failed call; default 250 ms.
	Seed       uint64        // Seed must differ between hosts.
}

// Introducer is one host's way into the fleet. It is not safe for concurrent use.
type Introducer struct {
	opts    Options
	rng     *rand.Rand
	due     time.Time // due is when the next call is due; zero before the first look at the clock.
	calling bool
	pause   time.Duration // pause is the least that the next pause after a failure may last.

	after     string // after is the name behind which the next page begins.
	read      bool   // read tells that announcements were read.
	current   bool   // current tells that they were read since this host last tried to announce itself.
	others    bool   // others tells that the last page named other hosts.
	last      bool   // last tells that no page follows it.
	needed    bool   // needed tells that few others are announced.
	failed    bool   // failed tells that a call has failed since the last draw of a time to announce itself.
	announced bool
	met       bool // met tells that another host has spoken.
	over      bool
}

// New returns the introducer of a host that starts.
func New(opts Options) *Introducer {
	if opts.Again == 0 {
		opts.Again = 250 * time.Millisecond
	}
	return &Introducer{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1))}
}

// Read tells that the announcements were read, at least the first page of them.
func (i *Introducer) Read() bool { return i.read }

// Over tells that nothing is left to do: another host has spoken, or all announcements were
// read and nobody did.
func (i *Introducer) Over() bool { return i.over }

// After returns the name behind which the next page begins; empty for the first.
func (i *Introducer) After() string { return i.after }

// Met tells that another host has spoken. It tells the others of this one.
func (i *Introducer) Met() { i.met = true }

// Next returns the call that is due. Its end must be told by Found or Announced.
func (i *Introducer) Next(now time.Time) Call {
	if i.due.IsZero() {
		i.due = now
		if i.opts.FirstStart {
			i.due = now.Add(i.draw(FirstSpread))
		}
	}
	if i.over || i.calling || now.Before(i.due) {
		return CallNone
	}
	call := i.step()
	i.over, i.calling = call == CallNone, call != CallNone
	return call
}

func (i *Introducer) step() Call {
	switch {
	case i.met && !i.needed:
		return CallNone
	case !i.current:
		return CallFind
	case i.needed && !i.announced:
		return CallAnnounce
	case i.met:
		return CallNone
	case i.others && !i.announced:
		return CallAnnounce // nobody has answered: those that are announced may be gone
	case i.last:
		return CallNone
	}
	return CallFind
}

// Found takes in a page of announcements.
func (i *Introducer) Found(now time.Time, p Page, err error) {
	i.calling = false
	if err != nil {
		i.fail(now, longestRead)
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
	i.needed = p.Next == "" && (others == 0 || i.after == "" && others < Introducers)
	i.read, i.current, i.pause = true, true, 0
	i.others, i.last, i.after = others > 0, p.Next == "", p.Next
	i.due = now
	switch {
	case i.needed && !i.announced && i.failed:
		// The store is back, and all hosts that it had turned away read it now.
		i.failed, i.current, i.due = false, false, now.Add(i.draw(FirstSpread))
	case i.others && (i.announced || !i.needed):
		i.due = now.Add(answerTime)
	}
}

// Announced takes in how the call ended that announced this host. One that failed may have
// been carried out: the announcements are read before it is made again.
func (i *Introducer) Announced(now time.Time, err error) {
	i.calling, i.current, i.after = false, false, ""
	if err != nil {
		i.fail(now, longestAppend)
		return
	}
	i.announced, i.pause = true, 0
}

// fail draws the time of the next call after one that failed.
func (i *Introducer) fail(now time.Time, longest time.Duration) {
	i.failed = true
	i.pause = min(max(2*i.pause, i.opts.Again), longest/2)
	i.due = now.Add(i.pause + i.draw(i.pause))
}

func (i *Introducer) draw(d time.Duration) time.Duration {
	return time.Duration(i.rng.Int64N(int64(d)))
}
