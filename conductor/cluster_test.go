// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/tracker"
	"amaranthgate.example/amaranthgate/updater"
)

// simDecoder decodes "version N" as a configuration, the key "evacuate/ZONE" as an evacuation, and
// "ready" or "leaving" as an upstream's entry.
type simDecoder struct{}

func (simDecoder) Decode(f follower.Feed, r follower.Record) (follower.Change, error) {
	text := string(r.Value)
	if f == follower.FeedUpstreams {
		if text == "" {
			return follower.Change{Removed: r.Key}, nil
		}
		if text == "rubbish" {
			return follower.Change{}, errors.New("unreadable")
		}
		up := &follower.Upstream{ID: r.Key, Service: "s", AvailabilityZone: zoneOf(r.Key), Standing: follower.StandingReady}
		if text == "leaving" {
			up.Standing = follower.StandingLeaving
		}
		return follower.Change{Upstream: up}, nil
	}
	if zone, ok := strings.CutPrefix(r.Key, "evacuate/"); ok {
		return follower.Change{Evacuation: &follower.Evacuation{AvailabilityZone: zone, Ended: text == ""}}, nil
	}
	number, ok := strings.CutPrefix(text, "version ")
	n, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil {
		return follower.Change{}, errors.New("unreadable")
	}
	return follower.Change{Table: matcher.New(matcher.Parts{Version: n, Services: []matcher.Service{{Name: "s"}}})}, nil
}

// zoneOf returns the availability zone of an upstream named "a@zone", else "".
func zoneOf(key string) string {
	_, zone, _ := strings.Cut(key, "@")
	return zone
}

// access is how the store responds to a host.
type access string

const (
	accessOK     access = "OK"
	accessRefuse access = "Refuse"
	accessSilent access = "Silent"
)

type simNode struct {
	name       string
	zone       string
	node       *Node
	access     access
	changed    time.Time // changed is when access or the process last changed.
	down       bool
	paused     bool
	waiting    []*simRead
	inbox      []Event
	starts     uint64
	unreadable int                      // unreadable counts log events about unreadable records.
	suspected  []string                 // suspected are hosts that were taken for silent or gone.
	applied    LogEvent                 // applied is the last log event of a record that changed the state.
	version    uint64                   // version is the last published version.
	reports    map[string]placer.Report // reports are the newest reports, by sender.
}

type simRead struct {
	read     Read
	start    time.Time
	deadline time.Time // deadline is when the store stops waiting for a record.
	silent   bool
}

// cluster simulates several nodes and a store in simulated time.
type cluster struct {
	now              time.Time
	nodes            []*simNode
	byName           map[string]*simNode
	logs             map[follower.Feed][]follower.Record
	oldest           map[follower.Feed]int64 // oldest is the first offset that the store still has.
	era              uint64                  // era counts the losses of records.
	violations       []string
	calls            int     // calls counts reads from the store.
	listingReads     int     // listingReads counts reads of whole feeds.
	use              float64 // use is the number of cores in use by each host.
	firstStart       bool    // firstStart is set in the options of each node.
	isolated         bool    // isolated makes starting hosts find only themselves.
	searches         int     // searches counts reads of all announcements.
	announcements    map[string]tracker.HostRecord
	announcementsEnd int64               // announcementsEnd counts changes of announcements.
	partition        map[string]bool     // partition are the hosts on one side of a network partition.
	idle             bool                // idle makes all hosts report no work.
	onMessage        func(PeerMessage)   // onMessage, if set, is called with each message that arrives.
	recipient        *simNode            // recipient is the host that onMessage's message has reached.
	sent             map[string]int      // sent counts messages by sender.
	mute             map[string]bool     // mute are hosts whose messages are lost.
	betweenPages     func(follower.Feed) // betweenPages, if set, is called between the calls of a listing.
}

const (
	clusterTick  = 10 * time.Millisecond
	reportMillis = 100
)

func newCluster(n int) *cluster { return startCluster(n, false) }

// startCluster starts n hosts, for the first time or after earlier runs.
func startCluster(n int, firstStart bool) *cluster {
	c := &cluster{firstStart: firstStart, now: time.Unix(5000, 0), byName: make(map[string]*simNode),
		announcements: make(map[string]tracker.HostRecord), logs: make(map[follower.Feed][]follower.Record),
		oldest: make(map[follower.Feed]int64), sent: make(map[string]int)}
	for i := range n {
		s := &simNode{name: fmt.Sprintf("host-%d", i+1), zone: fmt.Sprintf("zone-%d", i%3), access: accessOK}
		c.nodes = append(c.nodes, s)
		c.byName[s.name] = s
		c.start(s)
	}
	return c
}

func (c *cluster) start(s *simNode) {
	s.starts++
	s.down, s.paused, s.waiting, s.inbox, s.version = false, false, nil, nil, 0
	s.changed, s.reports = c.now, make(map[string]placer.Report)
	self := tracker.HostRecord{Host: s.name, AvailabilityZone: s.zone, Incarnation: s.starts, State: tracker.HostLive, Peers: s.name}
	c.announce(self)
	s.node = NewNode(NodeOptions{
		Self: self, Decoder: simDecoder{}, Timing: DefaultTiming(), FirstStart: c.firstStart,
		Updater:      updater.Options{Host: s.name, Term: 2 * time.Second, HandoverGap: 3 * time.Second, Margin: 250 * time.Millisecond, AtOnce: 3},
		Busy:         func(string) int { return 0 },
		Placements:   func() []placer.Placement { return nil },
		StoreReports: func() []placer.StoreReport { return nil },
	})
	if c.isolated {
		s.inbox = append(s.inbox, AnnouncementsRead{Hosts: []tracker.HostRecord{self}})
		return
	}
	s.inbox = append(s.inbox, AnnouncementsRead{Hosts: c.announced()})
	for _, o := range c.nodes {
		if o != s && o.node != nil {
			o.inbox = append(o.inbox, AnnouncementsRead{Hosts: []tracker.HostRecord{self}})
		}
	}
}

// found returns what a starting host reads of the announcements.
func (c *cluster) found(s *simNode) AnnouncementsRead {
	switch {
	case s.access != accessOK:
		return AnnouncementsRead{Err: errors.New("refused")}
	case c.isolated:
		return AnnouncementsRead{Hosts: []tracker.HostRecord{s.node.opts.Self}}
	}
	return AnnouncementsRead{Hosts: c.announced()}
}

// announced returns all announcements, including those of hosts that are down.
func (c *cluster) announced() []tracker.HostRecord {
	var all []tracker.HostRecord
	for _, name := range slices.Sorted(maps.Keys(c.announcements)) {
		all = append(all, c.announcements[name])
	}
	return all
}

func (c *cluster) announce(r tracker.HostRecord) {
	c.announcements[r.Host] = r
	c.announcementsEnd++
}

func (c *cluster) write(f follower.Feed, key, value string) {
	log := c.logs[f]
	c.logs[f] = append(log, follower.Record{Key: key, Value: []byte(value), Offset: int64(len(log))})
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(clusterTick) {
		for _, s := range c.nodes {
			if s.down {
				continue
			}
			c.answerReads(s)
			if s.paused {
				continue
			}
			inbox := append(s.inbox, Tick{})
			if c.now.UnixMilli()%reportMillis == 0 {
				inbox = append(inbox, c.workReport(s))
			}
			s.inbox = nil
			for _, ev := range inbox {
				if m, ok := ev.(PeerMessage); ok && c.onMessage != nil {
					c.recipient = s
					c.onMessage(m)
				}
				c.execute(s, s.node.Handle(c.now, ev))
			}
		}
	}
}

func (c *cluster) workReport(s *simNode) WorkReported {
	r := placer.Report{Work: map[string]placer.Work{}}
	if !c.idle {
		r.Work["engine"] = placer.Work{Requests: 1}
	}
	return WorkReported{Report: r, CoresInUse: c.use}
}

// answerReads completes the node's pending reads that are due.
func (c *cluster) answerReads(s *simNode) {
	var pending []*simRead
	for _, w := range s.waiting {
		ev := FeedRead{Page: follower.FeedPage{Feed: w.read.Feed, Era: c.era, FromEra: w.read.From.Era}, RequestedAt: w.start, Wait: w.read.Wait}
		log := c.logs[w.read.Feed]
		silent := w.silent || s.access == accessSilent
		w.silent = silent
		switch {
		case s.access == accessRefuse:
			ev.Err = errors.New("refused")
		case silent && c.now.Sub(w.start) < w.read.Wait+time.Second:
			pending = append(pending, w)
			continue
		case silent:
			ev.Err = errors.New("no answer")
		case w.read.Full:
			ev.Page = c.listing(w.read.Feed)
		case w.read.From.Offset < c.oldest[w.read.Feed] || w.read.From.Era != c.era || w.read.From.Offset > int64(len(log)):
			ev.Err = follower.ErrCompacted
		case int64(len(log)) <= w.read.From.Offset && c.now.Before(w.deadline):
			pending = append(pending, w)
			continue
		default:
			ev.Page.From, ev.Page.Next = w.read.From.Offset, int64(len(log))
			ev.Page.Records = inEra(c.era, log[w.read.From.Offset:])
		}
		s.inbox = append(s.inbox, ev)
	}
	s.waiting = pending
}

func (c *cluster) listing(f follower.Feed) follower.FeedPage {
	page := follower.FeedPage{Feed: f, Full: true, Next: int64(len(c.logs[f])), Era: c.era, FromEra: c.era}
	keys, newest := c.newest(f)
	first := keys[:len(keys)/2]
	for _, key := range first {
		page.Records = append(page.Records, newest[key])
	}
	if c.betweenPages != nil {
		c.betweenPages(f)
	}
	keys, newest = c.newest(f)
	for _, key := range keys {
		if len(first) == 0 || key > first[len(first)-1] {
			page.Records = append(page.Records, newest[key])
		}
	}
	if f == follower.FeedOperator {
		page.History = inEra(c.era, c.logs[f][c.oldest[f]:])
	}
	return page
}

// newest returns the newest record of each key of a feed that was not removed, and their keys in order.
func (c *cluster) newest(f follower.Feed) ([]string, map[string]follower.Record) {
	newest := make(map[string]follower.Record)
	for _, r := range inEra(c.era, c.logs[f]) {
		newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	return slices.Sorted(maps.Keys(newest)), newest
}

// lose makes the store lose the last records of each feed, up to n, and returns those of operators.
func (c *cluster) lose(n int) []follower.Record {
	c.era++
	var lost []follower.Record
	for f, log := range c.logs {
		kept := max(0, len(log)-n)
		if f == follower.FeedOperator {
			lost = log[kept:]
		}
		c.logs[f], c.oldest[f] = slices.Clone(log[:kept]), min(c.oldest[f], int64(kept))
	}
	return lost
}

// inEra returns a copy of records with their era.
func inEra(era uint64, records []follower.Record) []follower.Record {
	out := slices.Clone(records)
	for i := range out {
		out[i].Era = era
	}
	return out
}

func (c *cluster) execute(s *simNode, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			c.sent[s.name]++
			to := c.byName[a.To]
			if c.reaches(s, to) {
				to.inbox = append(to.inbox, PeerMessage{From: s.name, Message: a.Message})
			}
		case SendAll:
			c.sent[s.name] += len(a.To)
			for _, t := range a.To {
				if to := c.byName[t.Host]; c.reaches(s, to) {
					to.inbox = append(to.inbox, PeerMessage{From: s.name, Message: a.Message})
				}
			}
		case Read:
			c.calls++
			if a.Full {
				c.listingReads++
			}
			s.waiting = append(s.waiting, &simRead{read: a, start: c.now, deadline: c.now.Add(a.Wait), silent: s.access == accessSilent})
		case ReadAnnouncements:
			s.inbox = append(s.inbox, c.found(s))
		case ReadAllAnnouncements:
			c.searches++
			s.inbox = append(s.inbox, AllAnnouncementsRead{Hosts: c.announced(), Complete: true, End: follower.Position{Era: c.era, Offset: c.announcementsEnd}})
		case Announce:
			c.announce(s.node.opts.Self)
			s.inbox = append(s.inbox, Announced{})
		case Retract:
			if a.End == (follower.Position{Era: c.era, Offset: c.announcementsEnd}) {
				for _, r := range a.Hosts {
					delete(c.announcements, r.Host)
					c.announcementsEnd++
				}
			}
		case PublishView:
			if t := a.View.Table; t != nil {
				if t.Version() < s.version {
					c.violations = append(c.violations, fmt.Sprintf("%s went from version %d back to %d", s.name, s.version, t.Version()))
				}
				s.version = t.Version()
			}
		case LogEvent:
			if a.Kind == LogUnreadable {
				s.unreadable++
			}
			if a.Kind == LogHostChanged && (a.Key == string(tracker.HostSuspect) || a.Key == string(tracker.HostGone)) {
				s.suspected = append(s.suspected, a.Host)
			}
			if a.Kind == LogRecordApplied {
				s.applied = a
			}
		case ApplyReport:
			if a.Report.Work != nil {
				s.reports[a.From] = a.Report
			}
		case Renew:
			s.inbox = append(s.inbox, RenewalEnd{Command: a.Command, Err: errors.New("not simulated")})
		}
	}
}

func (c *cluster) reaches(from, to *simNode) bool {
	return !to.down && !c.mute[from.name] && c.partition[from.name] == c.partition[to.name]
}

// healPartition ends the partition; connections across it open again.
func (c *cluster) healPartition() {
	for _, s := range c.nodes {
		for _, o := range c.nodes {
			if !c.reaches(s, o) {
				s.inbox = append(s.inbox, PeerConnected{Host: o.name, Address: o.name})
			}
		}
	}
	c.partition = nil
}

func (c *cluster) set(s *simNode, a access) { s.access, s.changed = a, c.now }
