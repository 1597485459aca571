// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/introducer"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/renewer"
	"amaranthgate.example/amaranthgate/tracker"
)

// Decoder reads what a record says.
type Decoder interface {
	Decode(feed follower.Feed, r follower.Record) (follower.Change, error)
}

// NodeOptions set up a Node.
type NodeOptions struct {
	Self    tracker.HostRecord
	Decoder Decoder
	Timing  Timing
	// FirstStart tells that all hosts start for the first time.
	FirstStart bool
	Renewer    renewer.Options
	Busy       func(upstream string) int   // Busy is the work under way at an upstream.
	Kept       func() []placer.Placement   // Kept is what engines are believed to keep, for hosts that start.
	Stores     func() []placer.StoreReport // Stores is what is known of stores, for hosts that start.
	// Quarantine remembers under which requests upstreams have ended; traffic uses it as well.
	Quarantine *quarantiner.Ledger
}

// Node is the control plane of one host. It is not safe for concurrent use.
type Node struct {
	opts    NodeOptions
	state   *follower.State
	hosts   *tracker.Hosts
	feeds   map[follower.Feed]*feed
	actions []Action

	renewer    *renewer.Renewer
	view       *follower.View           // view is the one published last.
	phases     map[string]renewer.Phase // phases are those published last.
	viewDirty  bool
	hostsDirty bool
	now        time.Time // now is the time of the event that is handled.
	lastTick   time.Time
	lastBeat   time.Time
	lastSlow   time.Time            // lastSlow is when hosts that stand by were beaten last.
	lastTold   time.Time            // lastTold is when the active hosts were last told of work.
	lastStatus time.Time            // lastStatus is when all hosts were last told of orders.
	lastPaged  time.Time            // lastPaged is when this host last told its zone something as its relay.
	lastHosts  time.Time            // lastHosts is when the hosts were published last.
	serves     bool                 // serves tells that this host was last among the active ones of a large fleet.
	quiet      bool                 // quiet tells that this host's last report had no work.
	found      time.Time            // found is when other hosts were found first.
	first      time.Time            // first is the time of the first event.
	lastFull   map[string]time.Time // lastFull is when a host was last told of hosts, or asked.
	differs    map[string]time.Time // differs is since when a host sees other hosts than this one.
	delays     delays
	tree       *tree // tree is nil when it must be worked out anew.
	zone       map[string]zoneReport
	zones      map[string]zoneReport // zones has the newest sums of the other zones' relays.
	others     *placer.Report        // others gathers what other zones told once, for this zone.
	sums       *placer.Report        // sums gathers what this zone's hosts told once, for the others.
	lastSum    time.Time
	began      time.Time // began is when this host first reported work to others.
	uses       map[string]hostUse
	gauge      activator.Gauge
	introducer *introducer.Introducer
	endsDiffer endsDiffer
	seeks      seeks
	lastLacked time.Time // lastLacked is when a greeting last asked for the hosts that this one lacks.
	lastStores time.Time // lastStores is when another host was asked for what it knows of stores.
}

// NewNode returns a node that knows nothing but itself.
func NewNode(opts NodeOptions) *Node {
	if opts.Quarantine == nil {
		opts.Quarantine = quarantiner.New(quarantiner.Options{})
	}
	return &Node{
		opts:  opts,
		state: follower.New(),
		hosts: tracker.NewHosts(opts.Self, tracker.HostOptions{
			Suspect:        opts.Timing.Suspect,
			SuspectStandby: opts.Timing.SuspectStandby,
			Forget:         opts.Timing.Forget,
			FullMesh:       activator.AllServe,
		}),
		feeds: map[follower.Feed]*feed{
			follower.FeedOperator:  newFeed(),
			follower.FeedUpstreams: newFeed(),
		},
		renewer:  renewer.New(opts.Renewer),
		view:     &follower.View{},
		lastFull: make(map[string]time.Time),
		differs:  make(map[string]time.Time),
		delays:   make(delays),
		zone:     make(map[string]zoneReport),
		zones:    make(map[string]zoneReport),
		others:   &placer.Report{},
		sums:     &placer.Report{},
		uses:     make(map[string]hostUse),
		introducer: introducer.New(introducer.Options{
			Host: opts.Self.Host, Peers: opts.Self.Peers, FirstStart: opts.FirstStart, Again: opts.Timing.Again,
			Seed: tracker.Rank(opts.Self.Host, "introducer") + opts.Self.Incarnation,
		}),

		endsDiffer: make(endsDiffer),
	}
}

// Serves tells that callers are sent to this host.
func (n *Node) Serves() bool { return n.paths().ours }

// Handle takes an event in and returns what is to be done.
func (n *Node) Handle(now time.Time, ev Event) []Action {
	n.actions = nil
	n.now = now
	if n.first.IsZero() {
		n.first = now
	}
	switch ev := ev.(type) {
	case Tick:
		n.tick(now)
	case FeedRead:
		n.feedRead(now, ev)
	case PeerMessage:
		n.peerMessage(now, ev)
	case PeerUp:
		n.hostsDirty = n.hosts.Heard(now, ev.Host) || n.hostsDirty
		n.greet(now, ev.Host, ev.Address)
	case HostsFound:
		n.hostsFound(now, ev)
	case Announced:
		n.introducer.Announced(now, ev.Err)
	case HostsSought:
		n.sought(now, ev)
	case WorkReported:
		n.reportWork(now, ev)
	case StoreHeard:
		n.tellActive(&messenger.Message{Stores: []placer.StoreReport{ev.Report}})
	case RenewalEnd:
		n.renewalEnd(now, ev)
	case StoreGap:
		n.askStores(now, ev.From)
	case NamingsRecalled:
		n.viewDirty = n.state.Recall(now, ev.Namings) || n.viewDirty
		n.broadcast(&messenger.Message{Namings: ev.Namings})
	case EndsFound:
		n.tellEnds()
	case EndsRecalled:
		n.opts.Quarantine.Hear(now, ev.Words)
		n.broadcast(&messenger.Message{Ended: ev.Words})
	case DrainBegun:
		n.leave()
	}
	n.publish()
	return n.actions
}

func (n *Node) do(a Action) { n.actions = append(n.actions, a) }

func (n *Node) tick(now time.Time) {
	n.wake(now)
	n.beat(now)
	n.meet(now)
	n.seek(now)
	if n.state.Expire(now) {
		n.do(Note{What: NoteLapsesCounted, Feed: follower.FeedUpstreams})
		n.viewDirty = true
	}
	for name, f := range n.feeds {
		n.readFeed(now, name, f)
	}
	n.renew(now)
}

// wake notices that the process has stood still: the silence of others in that
// time says nothing of them.
func (n *Node) wake(now time.Time) {
	if !n.lastTick.IsZero() && now.Sub(n.lastTick) > n.opts.Timing.Suspect/2 {
		for _, r := range n.hosts.All() {
			n.hosts.Heard(now, r.Host)
		}
	}
	n.lastTick = now
}

// publish gives out what has changed.
func (n *Node) publish() {
	if n.viewDirty {
		n.viewDirty = false
		n.view = n.state.View()
		n.do(PublishView{View: n.view})
	}
	n.sayReady()
	if n.hostsDirty && n.hostsDue() {
		n.hostsDirty = false
		n.lastHosts = n.now
		n.tree = nil
		t := n.paths()
		n.calledIn(t)
		n.do(PublishHosts{Hosts: n.hosts.All(), Unheard: n.hosts.Unheard(), Serving: t.serving})
	}
}

// sayReady tells all hosts once that this one can serve callers, when they are to be sent
// here. Told by each of 299 hosts after each start, it was a fifth of what the middle one
// moves.
func (n *Node) sayReady() {
	if !n.view.Ready() || n.hosts.Self().Ready || !n.paths().ours {
		return
	}
	self, changed := n.hosts.Say(func(r *tracker.HostRecord) { r.Ready = true })
	if changed {
		n.noteHosts([]tracker.HostRecord{self})
		n.spreadHosts("", []tracker.HostRecord{self})
	}
}

// hostsPause is the least time between two lists of hosts in a large fleet. 295 hosts
// that start tell each other of some hundreds of changes within a second, and each list
// takes 0.2 ms.
const hostsPause = 40 * time.Millisecond

func (n *Node) hostsDue() bool {
	return n.tree == nil || n.tree.small || n.now.Sub(n.lastHosts) >= hostsPause
}

// calledIn asks another host for what it knows of kept context when this one, which
// stood by, is to serve.
func (n *Node) calledIn(t *tree) {
	was := n.serves
	n.serves = t.ours && !t.small
	if was || !n.serves {
		return
	}
	for _, h := range t.active {
		if h != n.opts.Self.Host {
			n.send(h, &messenger.Message{Wants: []string{wantKept}})
			return
		}
	}
}
