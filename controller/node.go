// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"fmt"
	"time"

	"amaranthgate.example/amaranthgate/appender"
	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/folder"
	"amaranthgate.example/amaranthgate/keeper"
	"amaranthgate.example/amaranthgate/leaser"
	"amaranthgate.example/amaranthgate/limiter"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/reporter"
	"amaranthgate.example/amaranthgate/tracker"
)

// Options set up a node.
type Options struct {
	Self         tracker.HostRecord // Self has name, incarnation, zone and addresses.
	Registry     *publisher.Registry
	GroupCommit  time.Duration // GroupCommit is the least time between appends to a stream of claims.
	Heartbeat    time.Duration
	Suspect      time.Duration
	Lease        time.Duration
	LeaseMargin  time.Duration
	LogRetention time.Duration
}

// Intervals that are no settings.
const (
	otherCommit   = 20 * time.Millisecond  // otherCommit is the least time between appends to other streams.
	claimAgain    = 250 * time.Millisecond // claimAgain is when an unanswered message to an owner is repeated.
	leaseStagger  = 300 * time.Millisecond // leaseStagger is the extra wait of each rank of a contender.
	loadFlush     = 50 * time.Millisecond  // loadFlush is the least time between two batches of load digests.
	viewInterval  = 20 * time.Millisecond  // viewInterval is the least time between two views.
	fullInterval  = 5 * time.Second        // fullInterval is the least time between two full exchanges with a peer.
	snapshotAgain = time.Second            // snapshotAgain is when an unanswered question for a snapshot is repeated.
	grantLife     = 10 * time.Second       // grantLife is how long a share of a limit holds.
)

// followed is a stream that this host reads.
type followed struct {
	fold    *folder.Stream
	queue   *appender.Queue
	applied func(now time.Time, rec folder.Applied)
	failing bool      // failing tells that the last read failed.
	marked  time.Time // marked is when a checkpoint was last seen or appended.
}

// Node is the control plane of one host. It is not safe for concurrent use.
type Node struct {
	opts    Options
	writer  string
	streams map[string]*followed
	out     []Action

	config    *configurer.State
	leases    *leaser.Table
	holder    *leaser.Holder
	claimant  *claimer.Claimant
	ranges    [claimer.Ranges]*claimRange
	hosts     *tracker.Hosts
	upstreams *tracker.Upstreams
	shares    *limiter.Shares
	divider   *limiter.Divider
	reports   *reporter.Table
	groups    [upstreamGroups]*group
	kept      keptView

	awaited      map[string]bool // awaited holds the IDs of changes that were published here.
	told         map[string]toldLoad
	marks        map[string]loadMark
	incarnations map[string]uint64 // incarnations are those of upstreams.
	loads        []tracker.LoadDigest
	placed       []messenger.Placement
	turns        map[string][]keeper.Turn // turns wait to be sent, by host.
	lastBeat     time.Time
	lastLoads    time.Time
	lastSlow     time.Time
	lastWants    time.Time
	lastFull     map[string]time.Time
	lastTold     map[string]time.Time  // lastTold is when a host was last told that it is suspected.
	sends        map[string]peerSends  // sends is what other hosts have under way, by host.
	said         []messenger.SendCount // said is what the other hosts were last told.
	lastSends    time.Time
	leaving      bool
	readyAt      time.Time            // readyAt is when the node was first ready.
	better       map[string]time.Time // better is since when another host is the better candidate for a lease held here.

	view      *publisher.Snapshot
	viewDirty bool
	viewAt    time.Time
}

// NewNode returns a node that knows nothing yet.
func NewNode(opts Options) *Node {
	n := &Node{
		opts:         opts,
		writer:       fmt.Sprintf("%s#%d", opts.Self.Host, opts.Self.Incarnation),
		streams:      make(map[string]*followed),
		config:       &configurer.State{},
		leases:       leaser.NewTable(),
		upstreams:    tracker.NewUpstreams(tracker.UpstreamOptions{}),
		shares:       limiter.NewShares(grantLife),
		sends:        make(map[string]peerSends),
		awaited:      make(map[string]bool),
		told:         make(map[string]toldLoad),
		marks:        make(map[string]loadMark),
		incarnations: make(map[string]uint64),
		lastFull:     make(map[string]time.Time),
		turns:        make(map[string][]keeper.Turn),
		kept:         newKeptView(),
		lastTold:     make(map[string]time.Time),
		better:       make(map[string]time.Time),
	}
	opts.Self.State = tracker.HostLive
	n.hosts = tracker.NewHosts(opts.Self, tracker.HostOptions{Suspect: opts.Suspect})
	n.holder = leaser.NewHolder(n.writer, n.leases, leaser.Options{
		Duration: opts.Lease,
		Margin:   opts.LeaseMargin,
		Stagger:  leaseStagger,
	})
	n.claimant = claimer.NewClaimant(n.claimPolicy(), claimAgain)
	return n
}

// Start returns the first actions of a node.
func (n *Node) Start(now time.Time) []Action {
	n.follow(now, configurer.StreamName, n.config, otherCommit, n.configurationApplied)
	n.follow(now, leaser.StreamName, n.leases, otherCommit, n.holder.Applied)
	n.viewDirty = true
	return n.flush(now)
}

// Writer returns the name of this host as a writer of the log.
func (n *Node) Writer() string { return n.writer }

// Handle takes an event and returns what is to be done.
func (n *Node) Handle(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Tick:
		n.tick(now)
	case LogRead:
		n.logRead(now, ev)
	case LogFailed:
		n.logFailed(now, ev.Stream)
	case AppendDone:
		n.appendDone(now, ev)
	case HostsListed:
		n.hostsListed(now, ev)
	case PeerMessage:
		n.peerMessage(now, ev)
	case PeerUp:
		n.peerUp(now, ev.Host)
	case LoadReported:
		n.loadReported(now, ev)
	case ClaimStarted:
		n.steps(now, n.claimant.Start(now, ev.Request, ev.Deadline))
	case ClaimAbandoned:
		n.steps(now, n.claimant.Abandon(now, ev.Nonce))
	case ClaimFinished:
		n.steps(now, n.claimant.Finish(now, ev.Outcome))
	case ChangePublished:
		n.publish(ev.Delta)
	case UsageRead:
		n.usageRead(now, ev)
	case EntriesReported:
		n.report(now, ev.Entries)
	case CacheRead:
		n.cacheRead(now, ev)
	case OrderDone:
		n.orderDone(now, ev)
	case TurnEnded:
		n.turnEnded(now, n.opts.Self.Host, ev.Turn)
	case PlacementMade:
		n.placed = append(n.placed, ev.Placement)
	case Leave:
		n.leave(now)
	default:
		panic(fmt.Sprintf("controller: unknown event %T", ev))
	}
	return n.flush(now)
}

// do adds an action.
func (n *Node) do(a Action) { n.out = append(n.out, a) }

// flush starts the appends that are due and returns all actions.
func (n *Node) flush(now time.Time) []Action {
	for name, s := range n.streams {
		if rec, ok := s.queue.Next(now); ok {
			n.do(Append{Stream: name, Record: rec})
		}
	}
	n.refreshView(now)
	out := n.out
	n.out = nil
	return out
}

// Due returns how long the node can be left without a Tick.
func (n *Node) Due(now time.Time) time.Duration {
	due := n.opts.Heartbeat / 4
	for _, s := range n.streams {
		if d, ok := s.queue.Due(now); ok {
			due = min(due, d)
		}
	}
	if n.fullMesh() {
		due = min(due, sendsInterval)
	}
	if n.viewDirty {
		due = min(due, viewInterval-now.Sub(n.viewAt))
	}
	if len(n.loads)+len(n.placed)+len(n.turns) > 0 {
		due = min(due, loadFlush-now.Sub(n.lastLoads))
	}
	return max(due, time.Millisecond)
}

// follow begins to fold a stream.
func (n *Node) follow(now time.Time, name string, state folder.State, interval time.Duration, applied func(time.Time, folder.Applied)) {
	if n.streams[name] != nil {
		return
	}
	n.streams[name] = &followed{
		fold:    folder.NewStream(name, state),
		queue:   appender.NewQueue(n.writer, interval),
		applied: applied,
		marked:  now,
	}
	n.do(Follow{Stream: name})
}

func (n *Node) logRead(now time.Time, ev LogRead) {
	s := n.streams[ev.Stream]
	if s == nil {
		return
	}
	s.failing = false
	was := s.fold.Ready()
	applied := n.feed(now, s, ev.Stream, ev.Page)
	s.queue.Read(ev.Began, s.fold.Next() >= ev.Page.Next, applied)
	if !was && s.fold.Ready() {
		n.viewDirty = true
	}
}

// feed folds a page. Records of the configuration are passed on to the
// neighbours, so that a change is in force everywhere as soon as any host has
// read it.
func (n *Node) feed(now time.Time, s *followed, stream string, p folder.Page) []folder.Applied {
	was := s.fold.Ready()
	applied := s.fold.Feed(p)
	for _, rec := range applied {
		if hasCheckpoint(rec) {
			s.marked = now
		}
		s.applied(now, rec)
	}
	if was && stream == configurer.StreamName && len(applied) > 0 {
		n.passOn(stream, p.Records, applied[0].Offset)
	}
	return applied
}

// maxPassedOn bounds the records that are passed on at once.
const maxPassedOn = 16

func (n *Node) passOn(stream string, records []folder.Raw, from uint64) {
	m := &messenger.Message{}
	for _, r := range records {
		if r.Offset >= from && len(m.Records) < maxPassedOn {
			m.Records = append(m.Records, messenger.StreamRecord{Stream: stream, Record: r})
		}
	}
	n.spread("", m)
}

func (n *Node) logFailed(now time.Time, stream string) {
	if s := n.streams[stream]; s != nil {
		s.failing = true
		n.askSnapshots(now)
	}
}

func (n *Node) appendDone(now time.Time, ev AppendDone) {
	if s := n.streams[ev.Stream]; s != nil {
		s.queue.Done(now, ev.Sequence, ev.Err)
	}
}

// slowTick is the time between two looks at what does not hurry.
const slowTick = 100 * time.Millisecond

func (n *Node) tick(now time.Time) {
	n.tickSends(now)
	n.flushLoads(now)
	if now.Sub(n.lastSlow) < slowTick {
		return
	}
	n.lastSlow = now
	n.beat(now)
	n.tickLeases(now)
	n.tickClaims(now)
	n.tickCheckpoints(now)
	n.tickLimits(now)
	n.tickOrders(now)
	n.tickKept(now)
	n.askSnapshots(now)
}

// Ready reports whether this host holds a configuration and the leases.
func (n *Node) Ready() bool {
	return n.config.Document() != nil && n.streams[configurer.StreamName].fold.Ready() && n.streams[leaser.StreamName].fold.Ready()
}

// leave gives up the duties of this host and tells everyone.
func (n *Node) leave(now time.Time) {
	if n.leaving {
		return
	}
	n.leaving = true
	n.streams[leaser.StreamName].queue.Add(n.holder.Release()...)
	if r, news := n.hosts.Say(func(r *tracker.HostRecord) { r.State = tracker.HostLeaving }); news {
		n.spreadHosts("", []tracker.HostRecord{r})
	}
	n.viewDirty = true
}

// Idle reports whether everything that this host has said is in the log.
func (n *Node) Idle() bool {
	for _, s := range n.streams {
		if s.queue.Len() > 0 {
			return false
		}
	}
	_, outcomes := n.claimant.Open()
	return outcomes == 0
}
