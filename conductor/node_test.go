// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/renewer"
	"amaranthgate.example/amaranthgate/tracker"
)

// simDecoder reads "version N" as a configuration, the key "evacuate/ZONE" as an
// evacuation, and "ready" or "leaving" as an upstream's entry.
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
		return follower.Change{Evacuation: &follower.Evacuation{AvailabilityZone: zone, Over: text == ""}}, nil
	}
	number, ok := strings.CutPrefix(text, "version ")
	n, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil {
		return follower.Change{}, errors.New("unreadable")
	}
	return follower.Change{Table: matcher.New(matcher.Parts{Version: n})}, nil
}

// zoneOf returns the availability zone of an upstream that is named "a@zone", else "".
func zoneOf(key string) string {
	_, zone, _ := strings.Cut(key, "@")
	return zone
}

// access is how the store treats a host.
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
	changed    time.Time // changed is when access or the process changed last.
	down       bool
	paused     bool
	waiting    []*simRead
	inbox      []Event
	starts     uint64
	unreadable int                      // unreadable counts the lines about records that cannot be read.
	version    uint64                   // version is what was published last.
	reports    map[string]placer.Report // reports has the newest work of others, by who told of it.
}

type simRead struct {
	read    Read
	asked   time.Time
	ends    time.Time // ends is when the store gives up waiting, or the host does.
	swallow bool
}

// cluster is several nodes and a store in simulated time.
type cluster struct {
	now        time.Time
	nodes      []*simNode
	byName     map[string]*simNode
	logs       map[follower.Feed][]follower.Record
	first      map[follower.Feed]int64 // first is the first offset that is still there.
	faults     []string
	calls      int               // calls counts questions to the store.
	use        float64           // use is how many cores each host uses.
	firstStart bool              // firstStart tells hosts so.
	idle       bool              // idle tells that no host has work.
	seen       func(PeerMessage) // seen, if set, is called with each message that arrives.
	sent       map[string]int    // sent counts messages by sender.
}

const (
	clusterTick = 10 * time.Millisecond
	reportMilli = 100
)

func newCluster(n int) *cluster { return startCluster(n, false) }

// startCluster starts hosts that have run before, or that start for the first time.
func startCluster(n int, firstStart bool) *cluster {
	c := &cluster{firstStart: firstStart, now: time.Unix(5000, 0), byName: make(map[string]*simNode), logs: make(map[follower.Feed][]follower.Record), first: make(map[follower.Feed]int64), sent: make(map[string]int)}
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
	s.node = NewNode(NodeOptions{
		Self: self, Decoder: simDecoder{}, Timing: DefaultTiming(), FirstStart: c.firstStart,
		Renewer: renewer.Options{Host: s.name, Term: 2 * time.Second, Turn: 3 * time.Second, Margin: 250 * time.Millisecond, AtOnce: 3},
		Busy:    func(string) int { return 0 },
		Kept:    func() []placer.Placement { return nil },
		Stores:  func() []placer.StoreReport { return nil },
	})
	var found []tracker.HostRecord
	for _, o := range c.nodes {
		found = append(found, tracker.HostRecord{Host: o.name, AvailabilityZone: o.zone, Incarnation: o.starts, State: tracker.HostLive, Peers: o.name})
	}
	s.inbox = append(s.inbox, HostsFound{Hosts: found})
	for _, o := range c.nodes {
		if o != s && o.node != nil {
			o.inbox = append(o.inbox, HostsFound{Hosts: []tracker.HostRecord{self}})
		}
	}
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
			c.answers(s)
			if s.paused {
				continue
			}
			inbox := append(s.inbox, Tick{})
			if c.now.UnixMilli()%reportMilli == 0 {
				inbox = append(inbox, c.workOf(s))
			}
			s.inbox = nil
			for _, ev := range inbox {
				if m, ok := ev.(PeerMessage); ok && c.seen != nil {
					c.seen(m)
				}
				c.carry(s, s.node.Handle(c.now, ev))
			}
		}
	}
}

func (c *cluster) workOf(s *simNode) WorkReported {
	r := placer.Report{Work: map[string]placer.Work{}}
	if !c.idle {
		r.Work["engine"] = placer.Work{Requests: 1}
	}
	return WorkReported{Report: r, Use: c.use}
}

// answers ends the questions of a node whose time has come.
func (c *cluster) answers(s *simNode) {
	var rest []*simRead
	for _, w := range s.waiting {
		ev := FeedRead{News: follower.News{Feed: w.read.Feed}, Asked: w.asked, Wait: w.read.Wait}
		log := c.logs[w.read.Feed]
		swallowed := w.swallow || s.access == accessSilent
		w.swallow = swallowed
		switch {
		case s.access == accessRefuse:
			ev.Err = errors.New("refused")
		case swallowed && c.now.Sub(w.asked) < w.read.Wait+time.Second:
			rest = append(rest, w)
			continue
		case swallowed:
			ev.Err = errors.New("no answer")
		case w.read.Full:
			ev.News = c.listing(w.read.Feed)
		case w.read.From < c.first[w.read.Feed]:
			ev.Err = follower.ErrForgotten
		case int64(len(log)) <= w.read.From && c.now.Before(w.ends):
			rest = append(rest, w)
			continue
		default:
			ev.News.From, ev.News.Next = w.read.From, int64(len(log))
			ev.News.Records = log[min(w.read.From, int64(len(log))):]
		}
		s.inbox = append(s.inbox, ev)
	}
	s.waiting = rest
}

func (c *cluster) listing(f follower.Feed) follower.News {
	news := follower.News{Feed: f, Full: true, Next: int64(len(c.logs[f]))}
	newest := make(map[string]follower.Record)
	for _, r := range c.logs[f] {
		newest[r.Key] = r
	}
	for _, r := range newest {
		if len(r.Value) > 0 {
			news.Records = append(news.Records, r)
		}
	}
	return news
}

func (c *cluster) carry(s *simNode, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			c.sent[s.name]++
			to := c.byName[a.To]
			if !to.down {
				to.inbox = append(to.inbox, PeerMessage{From: s.name, Message: a.Message})
			}
		case Spread:
			c.sent[s.name] += len(a.To)
			for _, t := range a.To {
				if to := c.byName[t.Host]; !to.down {
					to.inbox = append(to.inbox, PeerMessage{From: s.name, Message: a.Message})
				}
			}
		case Read:
			c.calls++
			s.waiting = append(s.waiting, &simRead{read: a, asked: c.now, ends: c.now.Add(a.Wait), swallow: s.access == accessSilent})
		case PublishView:
			if t := a.View.Table; t != nil {
				if t.Version() < s.version {
					c.faults = append(c.faults, fmt.Sprintf("%s went from version %d back to %d", s.name, s.version, t.Version()))
				}
				s.version = t.Version()
			}
		case Note:
			if a.What == NoteUnreadable {
				s.unreadable++
			}
		case TakeReport:
			if a.Report.Work != nil {
				s.reports[a.From] = a.Report
			}
		case Renew:
			s.inbox = append(s.inbox, RenewalEnd{Command: a.Command, Err: errors.New("not simulated")})
		}
	}
}

func (c *cluster) set(s *simNode, a access) { s.access, s.changed = a, c.now }

// TestChangeReachesAll: the host that reads for all is cut off silently at the
// moment of a change. All others must know it within 2 s, and so must those
// that the store refuses.
func TestChangeReachesAll(t *testing.T) {
	for _, a := range []access{accessOK, accessRefuse, accessSilent} {
		t.Run(string(a), func(t *testing.T) {
			for reader := range 5 {
				c := newCluster(5)
				c.write(follower.FeedOperator, "config", "version 1")
				c.run(3 * time.Second)
				c.set(c.nodes[reader], a)
				c.set(c.nodes[(reader+1)%5], accessRefuse)
				c.write(follower.FeedOperator, "config", "version 2")
				c.write(follower.FeedUpstreams, "u", "leaving")
				c.run(2 * time.Second)
				for _, s := range c.nodes {
					assert.Equal(t, s.version, uint64(2), "%s, with %s cut", s.name, c.nodes[reader].name)
				}
			}
		})
	}
}

// TestSubstituteGoesOn: the store turns away the host that reads for all. Whoever takes
// its place keeps reading, so that further changes are known within half a second, and
// the number of questions stays that of one reader or two.
func TestSubstituteGoesOn(t *testing.T) {
	for _, hosts := range []int{5, 40} {
		for reader := range 5 {
			c := newCluster(hosts)
			c.idle = true
			c.write(follower.FeedOperator, "config", "version 1")
			c.run(3 * time.Second)
			c.set(c.nodes[reader], accessRefuse)
			for _, s := range c.nodes {
				if hosts > 5 && tracker.Place(s.node.paths().active, s.name, "reader/"+string(follower.FeedOperator)) == 0 {
					c.set(s, accessRefuse)
				}
			}
			c.run(3 * time.Second)
			before := c.calls
			const changes = 6
			for i := range changes {
				version := uint64(i + 2)
				c.write(follower.FeedOperator, "config", fmt.Sprint("version ", version))
				c.run(500 * time.Millisecond)
				for _, s := range c.nodes {
					assert.Equal(t, s.version, version, "%s of %d, with %s turned away", s.name, hosts, c.nodes[reader].name)
				}
				c.run(200 * time.Millisecond)
			}
			assert.Assert(t, c.calls-before < 60, "%d questions in 4 s", c.calls-before)
		}
	}
}

// TestStoreReturns: the store swallows all questions for a while. Three seconds
// after it is back, a change reaches all hosts as ever.
func TestStoreReturns(t *testing.T) {
	c := newCluster(4)
	c.write(follower.FeedOperator, "config", "version 1")
	c.run(3 * time.Second)
	for _, s := range c.nodes {
		c.set(s, accessSilent)
	}
	c.run(5 * time.Second)
	for _, s := range c.nodes {
		c.set(s, accessOK)
	}
	c.run(3 * time.Second)
	c.write(follower.FeedOperator, "config", "version 2")
	c.run(2 * time.Second)
	for _, s := range c.nodes {
		assert.Equal(t, s.version, uint64(2), s.name)
	}
}

// TestRefusedHostLearnsFromOthers: a host that starts while the store turns it
// away gets what it lacks from the others.
func TestRefusedHostLearnsFromOthers(t *testing.T) {
	c := newCluster(3)
	c.write(follower.FeedOperator, "config", "version 3")
	c.write(follower.FeedUpstreams, "a", "ready")
	c.run(3 * time.Second)
	c.set(c.nodes[1], accessRefuse)
	c.start(c.nodes[1])
	c.run(time.Second)
	assert.Equal(t, c.nodes[1].version, uint64(3))
	assert.DeepEqual(t, c.nodes[1].node.view.ByService["s"], []string{"a"})
}

// TestRemovalAfterRefusal: after the store turned hosts away for a while, one of
// them reads for all again and the others only hear of it. They must not go on
// taking removed upstreams for ones whose entries lapsed.
func TestRemovalAfterRefusal(t *testing.T) {
	for first := range 3 {
		c := newCluster(3)
		c.write(follower.FeedOperator, "config", "version 1")
		c.write(follower.FeedUpstreams, "a", "ready")
		c.run(3 * time.Second)
		for _, s := range c.nodes {
			c.set(s, accessRefuse)
		}
		c.run(5 * time.Second)
		c.set(c.nodes[first], accessOK) // the others have no need to ask the store from here on
		c.run(3 * time.Second)
		for _, s := range c.nodes {
			c.set(s, accessOK)
		}
		c.run(4 * time.Second)
		c.write(follower.FeedUpstreams, "a", "")
		c.run(2 * time.Second)
		for _, s := range c.nodes {
			assert.Equal(t, len(s.node.view.ByService["s"]), 0, "%s, with %s back first", s.name, c.nodes[first].name)
		}
	}
}

// TestManyHosts: 40 hosts in three availability zones, which reach each other
// through relays. Nobody is taken for silent, and a change reaches all in 2 s also
// when all relays have just died.
func TestManyHosts(t *testing.T) {
	c := newCluster(40)
	c.write(follower.FeedOperator, "config", "version 1")
	c.run(8 * time.Second)
	for _, s := range c.nodes {
		assert.Equal(t, s.version, uint64(1), s.name)
		for _, r := range s.node.hosts.All() {
			assert.Equal(t, r.State, tracker.HostLive, "%s as %s sees it", r.Host, s.name)
		}
	}
	before := c.calls
	c.run(10 * time.Second)
	assert.Assert(t, c.calls-before < 80, "%d calls to the store in 10 s", c.calls-before)
	relays := append([]string{c.nodes[0].node.paths().relay}, c.nodes[0].node.paths().relays...)
	for _, name := range relays {
		c.act("kill", c.byName[name])
	}
	c.write(follower.FeedOperator, "config", "version 2")
	c.run(2 * time.Second)
	for _, s := range c.nodes {
		if !s.down {
			assert.Equal(t, s.version, uint64(2), s.name)
		}
	}
}

// TestForgottenHistory: the store drops old records; the newest of each key
// stays, and nothing that is in force may vanish.
func TestForgottenHistory(t *testing.T) {
	c := newCluster(3)
	c.write(follower.FeedOperator, "config", "version 1")
	c.write(follower.FeedUpstreams, "a", "ready")
	c.write(follower.FeedUpstreams, "b", "ready")
	c.run(2 * time.Second)
	c.write(follower.FeedUpstreams, "a", "")
	c.write(follower.FeedUpstreams, "c", "ready")
	for f, log := range c.logs {
		c.first[f] = int64(len(log))
	}
	c.run(2 * time.Second)
	for _, s := range c.nodes {
		assert.Equal(t, s.version, uint64(1))
		assert.DeepEqual(t, s.node.view.ByService["s"], []string{"b", "c"})
	}
}

// TestUnreadableRecord: a record that cannot be read is left out and changes
// nothing.
func TestUnreadableRecord(t *testing.T) {
	c := newCluster(2)
	c.write(follower.FeedOperator, "config", "version 4")
	c.write(follower.FeedOperator, "config", "rubbish")
	c.run(2 * time.Second)
	assert.Equal(t, c.nodes[0].version, uint64(0)) // the listing has only the newest, which says nothing
	c.write(follower.FeedOperator, "config", "version 5")
	c.write(follower.FeedOperator, "config", "rubbish")
	c.run(2 * time.Second)
	assert.Equal(t, c.nodes[0].version, uint64(5))
	assert.Equal(t, c.nodes[1].version, uint64(5))
}

// TestForeignEntries: entries of another writer, under names of their own or under that of
// an upstream, name nobody; the others hold, and so does the upstream once it has written
// again. They are no reason for a line each.
func TestForeignEntries(t *testing.T) {
	for _, hosts := range []int{1, 4, 20} {
		c := newCluster(hosts)
		c.write(follower.FeedOperator, "config", "version 1")
		c.write(follower.FeedUpstreams, "a", "ready")
		c.write(follower.FeedUpstreams, "b", "ready")
		c.run(3 * time.Second)
		for range 50 {
			c.write(follower.FeedUpstreams, "x", "rubbish")
			c.write(follower.FeedUpstreams, "b", "rubbish")
			c.run(50 * time.Millisecond)
		}
		c.run(time.Second)
		for _, s := range c.nodes {
			assert.DeepEqual(t, s.node.view.ByService["s"], []string{"a"})
			assert.Assert(t, s.unreadable > 0 && s.unreadable <= 4, "%s wrote %d lines", s.name, s.unreadable)
		}
		c.write(follower.FeedUpstreams, "b", "ready")
		c.run(2 * time.Second)
		for _, s := range c.nodes {
			assert.DeepEqual(t, s.node.view.ByService["s"], []string{"a", "b"})
		}
	}
}

var clusterActions = []string{"write", "write", "write", "silent", "refuse", "ok", "ok", "kill", "start", "pause", "resume", "forget", "upstream"}

// TestRandomFaults: whatever happens, versions never go back on a host, and two
// seconds after a change every host that has been in touch with the store for
// three seconds before it, and stays so, knows it.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 5).Draw(t, "hosts"))
		version := uint64(1)
		c.write(follower.FeedOperator, "config", "version 1")
		c.run(4 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s := rapid.SampledFrom(c.nodes).Draw(t, "host")
			do := rapid.SampledFrom(clusterActions).Draw(t, "do")
			c.act(do, s)
			if do == "write" {
				version++
				c.write(follower.FeedOperator, "config", fmt.Sprint("version ", version))
				c.checkSpread(version)
			}
			c.run(rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, time.Second, 3 * time.Second}).Draw(t, "after"))
			if len(c.faults) > 0 {
				t.Fatalf("broken: %q", c.faults)
			}
		}
	})
}

func (c *cluster) act(do string, s *simNode) {
	switch do {
	case "silent":
		c.set(s, accessSilent)
	case "refuse":
		c.set(s, accessRefuse)
	case "ok":
		c.set(s, accessOK)
	case "kill":
		s.down, s.changed = true, c.now
	case "start":
		if s.down {
			c.start(s)
		}
	case "pause":
		s.paused, s.changed = true, c.now
	case "resume":
		s.paused, s.changed = false, c.now
	case "forget":
		for f, log := range c.logs {
			c.first[f] = int64(len(log))
		}
	case "upstream":
		c.write(follower.FeedUpstreams, "u", "ready")
	}
}

// checkSpread lets two seconds pass after a change and looks who knows it.
func (c *cluster) checkSpread(version uint64) {
	var touch []*simNode
	for _, s := range c.nodes {
		if !s.down && !s.paused && s.access == accessOK && c.now.Sub(s.changed) >= 3*time.Second {
			touch = append(touch, s)
		}
	}
	c.run(2 * time.Second)
	for _, s := range touch {
		if s.version < version {
			c.faults = append(c.faults, fmt.Sprintf("%s has version %d, not %d, after 2 s", s.name, s.version, version))
		}
	}
}
