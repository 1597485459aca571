// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"amaranthgate.example/amaranthgate/introducer"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/tracker"
)

// A host that starts reads one page of announcements that holds another host, and is told
// of the rest. Hosts that start together may so end up in groups that know nothing of each
// other: the first reads only itself, and the others a page on which it is not. With three
// hosts and pages of two that was 7 of 400 starts beside load. Each group then counts upstreams'
// work, shares limits and remembers bad requests by itself, for as long as it runs.
//
// So the first in rank of each group reads the announcements again and greets those it does
// not know. Each group has such a host, whatever it consists of. It also drops announcements of
// hosts that are gone for good.

const (
	// seekFirst is how long after its start a host first looks for others that it does not
	// know: as long as hosts that found one are given to tell it of the rest.
	seekFirst = 1500 * time.Millisecond
	// seekLongest bounds the time between two looks; it doubles from look to look. Groups
	// arise when hosts start, so that a look later on seldom finds any.
	seekLongest = 30 * time.Second
	// mostSought bounds how many hosts one look greets: one that answers tells of all others.
	mostSought = 16
	// announcedLife is how long a host must have been unknown before its announcement is
	// dropped. Without that, where machines are replaced by others of new names, hosts that
	// start would read ever more pages, 1.5 s each, before they find one that is there. A host
	// that was only cut off announces itself again, as the first in rank of its side.
	announcedLife = 10 * time.Minute
)

// seeks remembers when this host looks for others that it does not know.
type seeks struct {
	pause time.Duration // pause is the time until the next look is due after this one.
	due   time.Time
	count int
	// absent is since when announced hosts are unknown, and by which start.
	absent map[string]absence
}

type absence struct {
	incarnation uint64
	since       time.Time
}

// seek asks for all announcements when that is due and up to this host.
func (n *Node) seek(now time.Time) {
	if n.seeks.due.IsZero() {
		n.seeks = seeks{pause: seekFirst, due: now.Add(seekFirst), absent: make(map[string]absence)}
	}
	if now.Before(n.seeks.due) || tracker.Place(n.paths().serving.Hosts(), n.opts.Self.Host, "seeker") != 0 {
		return
	}
	n.seeks.pause = min(2*n.seeks.pause, seekLongest)
	n.seeks.due = now.Add(n.seeks.pause)
	n.seeks.count++
	n.do(Seek{})
}

// sought takes in all announcements.
func (n *Node) sought(now time.Time, ev HostsSought) {
	var strangers []tracker.HostRecord
	announced := false
	for _, r := range ev.Hosts {
		_, known := n.hosts.Lookup(r.Host)
		announced = announced || r.Host == n.opts.Self.Host
		if !known && r.Peers != "" {
			strangers = append(strangers, r)
		}
	}
	if ev.Whole && !announced {
		n.do(Announce{})
	}
	if ev.Whole {
		n.replenish(ev.Hosts)
	}
	n.knock(now, strangers)
	if gone := n.goneForGood(now, strangers); ev.Whole && len(gone) > 0 {
		n.do(Retract{Hosts: gone, End: ev.End})
	}
}

// replenish has hosts announce themselves when few of those that are announced are left: hosts
// that start read of these, and announce themselves only while they are few.
func (n *Node) replenish(announced []tracker.HostRecord) {
	named := make(map[string]bool, len(announced))
	for _, r := range announced {
		named[r.Host] = true
	}
	live := n.hosts.Live()
	missing := min(introducer.Introducers, len(live))
	var others []string
	for _, h := range live {
		if named[h] || h == n.opts.Self.Host {
			missing-- // this host announces itself if it is not named
		} else {
			others = append(others, h)
		}
	}
	for _, h := range others[:max(0, min(missing, len(others)))] {
		n.send(h, &messenger.Message{Wants: []string{wantAnnounce}})
	}
}

// goneForGood returns the hosts among unknown ones that have been unknown for long.
func (n *Node) goneForGood(now time.Time, strangers []tracker.HostRecord) []tracker.HostRecord {
	absent := make(map[string]absence, len(strangers))
	var gone []tracker.HostRecord
	for _, r := range strangers {
		a, ok := n.seeks.absent[r.Host]
		if !ok || a.incarnation != r.Incarnation {
			a = absence{incarnation: r.Incarnation, since: now}
		}
		absent[r.Host] = a
		if now.Sub(a.since) >= announcedLife {
			gone = append(gone, r)
		}
	}
	n.seeks.absent = absent
	return gone
}

// knock greets unknown hosts. Only those that answer are told on to others: the rest may be
// gone for long.
func (n *Node) knock(now time.Time, strangers []tracker.HostRecord) {
	if len(strangers) == 0 {
		return
	}
	look := n.opts.Self.Host + "/" + strconv.Itoa(n.seeks.count)
	slices.SortFunc(strangers, func(a, b tracker.HostRecord) int {
		return cmp.Compare(tracker.Rank(a.Host, look), tracker.Rank(b.Host, look))
	})
	m := n.greeting(now)
	for _, r := range strangers[:min(mostSought, len(strangers))] {
		n.do(Send{To: r.Host, Address: r.Peers, Message: m})
	}
}

// lackPause is the least time between two greetings that ask for what this host lacks. Hosts that
// start together greet four others at once, and each would tell all that it knows.
const lackPause = 500 * time.Millisecond

// greeting is what a host may lack that has not heard of this one, or not for long. It asks for what
// this one lacks: a host that starts knows few others, and takes the fleet for a small one.
func (n *Node) greeting(now time.Time) *messenger.Message {
	m := &messenger.Message{Full: true, Digest: n.hosts.Digest(), Namings: n.state.Namings(now), Offsets: n.offsets(),
		Ended: n.opts.Quarantine.Words(now), EndedDigest: n.opts.Quarantine.Digest(),
		Hosts: []tracker.HostRecord{n.hosts.Self()}}
	if now.Sub(n.lastLacked) >= lackPause {
		n.lastLacked = now
		m.Buckets = n.hosts.Buckets()
	}
	if n.paths().small {
		m.Hosts = n.hosts.All()
	}
	return m
}
