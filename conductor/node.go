// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/arbiter"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/introducer"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/throttler"
	"amaranthgate.example/amaranthgate/tracker"
	"amaranthgate.example/amaranthgate/updater"
)

// Decoder decodes the records of feeds.
type Decoder interface {
	Decode(feed follower.Feed, r follower.Record) (follower.Change, error)
}

// NodeOptions configures a Node.
type NodeOptions struct {
	Self    tracker.HostRecord
	Decoder Decoder
	Timing  Timing
	// FirstStart reports whether the whole fleet starts for the first time.
	FirstStart   bool
	Updater      updater.Options
	Busy         func(upstream string) int   // Busy returns the work in flight at an upstream.
	Placements   func() []placer.Placement   // Placements returns what engines may cache, for hosts that start.
	StoreReports func() []placer.StoreReport // StoreReports returns what is known of KV cache stores.
	// Quarantine tracks the requests under which upstreams have ended; it is shared with the
	// request path.
	Quarantine *quarantiner.Ledger
	// Throttler holds the rate limits that upstreams declare; it is shared with the request path.
	Throttler *throttler.Throttler
	// Brittle has the statements of brittle upstreams.
	Brittle BrittleStatements
	// Arbiter orders the waiting requests of all hosts; it is shared with the request path. It is nil if
	// the mechanism is disabled.
	Arbiter *arbiter.Arbiter
}

// Node is the control plane of one host. It is not safe for concurrent use.
type Node struct {
	opts    NodeOptions
	state   *follower.State
	hosts   *tracker.Hosts
	feeds   map[follower.Feed]*feed
	actions []Action

	updater              *updater.Updater
	view                 *follower.View           // view is the last published view.
	phases               map[string]updater.Phase // phases are the last published phases.
	viewDirty            bool
	hostsDirty           bool
	now                  time.Time  // now is the time of the current event.
	source               pageSource // source is that of the page that is applied.
	era                  uint64     // era is the newest known era of the store.
	eraSince             time.Time  // eraSince is when this host learned of it.
	lastTick             time.Time
	stalledAt            time.Time // stalledAt is when a tick last found that this process had stalled.
	heardAt              time.Time // heardAt is when a message of another host was last handled.
	silenceEndedAt       time.Time // silenceEndedAt is when a message last ended a silence of all other hosts.
	currentAt            time.Time // currentAt is up to when the operators' feed is known.
	publishedCurrentAt   time.Time // publishedCurrentAt is the currentAt that was last emitted.
	lastHeartbeat        time.Time
	lastStandbyHeartbeat time.Time            // lastStandbyHeartbeat is when all neighbours got a heartbeat.
	lastReport           time.Time            // lastReport is when all active hosts got a load report.
	lastStatus           time.Time            // lastStatus is when the updater's status was last broadcast.
	lastRelayed          time.Time            // lastRelayed is when this host last sent its zone a message.
	lastHosts            time.Time            // lastHosts is when the hosts were last published.
	wasActive            bool                 // wasActive is whether this host was active in a large fleet.
	met                  bool                 // met reports whether another host ever sent a message.
	wasIdle              bool                 // wasIdle is whether this host's last report was empty.
	foundAt              time.Time            // foundAt is when announcements were last read.
	firstEvent           time.Time            // firstEvent is the time of the first event.
	lastGreeted          map[string]time.Time // lastGreeted is when a host last got records or digests.
	differsSince         map[string]time.Time // differsSince is since when each host's digest has differed.
	arrivals             peerArrivals
	topo                 *topology // topo is nil when it must be computed again.
	zoneReports          map[string]zoneReport
	remoteReports        map[string]zoneReport // remoteReports are the newest sums of the other zones' relays.
	remoteDeltas         *placer.Report        // remoteDeltas collects other zones' one-time changes.
	zoneDeltas           *placer.Report        // zoneDeltas collects this zone's one-time changes.
	lastSum              time.Time
	firstReport          time.Time // firstReport is when this host first reported its load.
	uses                 map[string]hostUse
	gauge                activator.Gauge
	introducer           *introducer.Introducer
	quarantineDiffs      quarantineDiffs
	search               peerSearch
	lastBucketsSent      time.Time // lastBucketsSent is when a greeting last included this host's buckets.
	lastStores           time.Time // lastStores is when another host was last asked for store reports.
}

// NewNode returns a node that knows only itself.
func NewNode(opts NodeOptions) *Node {
	if opts.Quarantine == nil {
		opts.Quarantine = quarantiner.New(quarantiner.Options{})
	}
	if opts.Throttler == nil {
		opts.Throttler = throttler.New(throttler.Options{Host: opts.Self.Host})
	}
	if opts.Brittle == nil {
		opts.Brittle = placer.New(placer.Options{Host: opts.Self.Host})
	}
	return &Node{
		opts:  opts,
		state: follower.New(),
		hosts: tracker.NewHosts(opts.Self, tracker.HostOptions{
			SuspectAfter:        opts.Timing.SuspectAfter,
			SuspectStandbyAfter: opts.Timing.SuspectStandbyAfter,
			ForgetAfter:         opts.Timing.ForgetAfter,
			FullMesh:            activator.MaxAllActive,
		}),
		feeds: map[follower.Feed]*feed{
			follower.FeedOperator:  newFeed(),
			follower.FeedUpstreams: newFeed(),
		},
		updater:       updater.New(opts.Updater),
		view:          &follower.View{},
		lastGreeted:   make(map[string]time.Time),
		differsSince:  make(map[string]time.Time),
		arrivals:      make(peerArrivals),
		zoneReports:   make(map[string]zoneReport),
		remoteReports: make(map[string]zoneReport),
		remoteDeltas:  &placer.Report{},
		zoneDeltas:    &placer.Report{},
		uses:          make(map[string]hostUse),
		introducer: introducer.New(introducer.Options{
			Host: opts.Self.Host, Peers: opts.Self.Peers, FirstStart: opts.FirstStart, InitialBackoff: opts.Timing.RetryDelay,
			Seed: tracker.Rank(opts.Self.Host, "introducer") + opts.Self.Incarnation,
		}),

		quarantineDiffs: make(quarantineDiffs),
	}
}

// Active reports whether callers are sent to this host.
func (n *Node) Active() bool { return n.topology().selfActive }

// Handle applies an event and returns the actions to execute.
func (n *Node) Handle(now time.Time, ev Event) []Action {
	n.actions = nil
	n.now = now
	if n.firstEvent.IsZero() {
		n.firstEvent = now
	}
	switch ev := ev.(type) {
	case Tick:
		n.observeEra(now, ev.Era)
		n.tick(now)
	case FeedRead:
		n.handleFeedRead(now, ev)
	case PeerMessage:
		n.handlePeerMessage(now, ev)
	case PeerConnected:
		n.recordContact(now, ev.Host)
		n.greet(now, ev.Host, ev.Address)
	case AnnouncementsRead:
		n.handleAnnouncementsRead(now, ev)
	case Announced:
		n.introducer.AnnounceDone(now, ev.Err)
	case AllAnnouncementsRead:
		n.handleAllAnnouncementsRead(now, ev)
	case WorkReported:
		n.reportWork(now, ev)
	case StoreReported:
		n.sendToActive(&messenger.Message{Stores: []placer.StoreReport{ev.Report}})
	case RenewalEnd:
		n.handleRenewalEnd(now, ev)
	case StoreGap:
		n.requestStores(now, ev.From)
	case VersionAgesRestored:
		n.viewDirty = n.state.MergeVersionAges(now, ev.VersionAges) || n.viewDirty
		n.broadcast(&messenger.Message{VersionAges: ev.VersionAges})
	case QuarantineChanged:
		n.broadcastQuarantine()
	case QuarantineRestored:
		n.opts.Quarantine.Merge(now, ev.Entries)
		n.broadcast(&messenger.Message{Ended: ev.Entries})
	case RateLimitsStepped:
		n.stepRateLimits(ev)
	case BrittleLearned:
		n.broadcast(&messenger.Message{Brittle: ev.News})
	case ContentionStepped:
		n.sendContention(ev.Outgoing)
	case ReachChanged:
		n.handleReachChanged(ev)
	case DrainStarted:
		n.markLeaving()
	}
	n.publish()
	return n.actions
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) tick(now time.Time) {
	n.detectStall(now)
	n.heartbeat(now)
	n.discover(now)
	n.searchHosts(now)
	if n.state.Expire(now) {
		n.emit(LogEvent{Kind: LogLapsedRemoved, Feed: follower.FeedUpstreams})
		n.viewDirty = true
	}
	n.viewDirty = n.state.Settle(now) || n.viewDirty
	n.confirmConfiguration(now)
	for name, f := range n.feeds {
		n.endUnwritten(now, name, f)
		n.readFeed(now, name, f)
	}
	n.renew(now)
}

// detectStall detects that the process was stalled. The silence of other hosts in that time does
// not count.
func (n *Node) detectStall(now time.Time) {
	if n.stalled(now) {
		n.stalledAt = now
		for _, r := range n.hosts.All() {
			n.recordContact(now, r.Host)
		}
	}
	n.lastTick = now
}

// stalled reports whether this process has stalled since the last tick.
func (n *Node) stalled(now time.Time) bool {
	return !n.lastTick.IsZero() && now.Sub(n.lastTick) > n.opts.Timing.SuspectAfter/2
}

// publish emits the changes of the view and of the hosts.
func (n *Node) publish() {
	for _, r := range n.state.TakeReverts() {
		n.emit(LogEvent{Kind: LogWeightsReverted, Host: n.source.host, Way: n.source.way, Key: r.ID, Revert: r})
	}
	if n.viewDirty {
		n.viewDirty = false
		before := n.view.Table
		n.view = n.state.View()
		n.emit(PublishView{View: n.view})
		n.noteConfiguration(before)
	}
	n.publishCurrent()
	n.markReady()
	if n.hostsDirty && n.hostsPublishDue() {
		n.hostsDirty = false
		n.lastHosts = n.now
		n.topo = nil
		t := n.topology()
		n.requestCacheIfActivated(t)
		n.emit(PublishHosts{Hosts: n.hosts.All(), Uncontacted: n.hosts.Uncontacted(), Active: t.serving})
	}
}

// noteConfiguration logs the configuration of a published view if it is another one than before.
func (n *Node) noteConfiguration(before *matcher.Table) {
	if t := n.view.Table; t != before {
		n.emit(LogEvent{Kind: LogConfigurationTaken, Version: t.Version(), Way: n.source.way, Host: n.source.host, Age: n.source.age})
	}
}

// markReady marks this host as ready in its record, once it can serve callers and is active.
// Standby hosts don't, to save messages. Sent by each of 299 hosts after each start, such records
// were a fifth of the traffic of the median host.
func (n *Node) markReady() {
	if !n.view.Ready() || n.hosts.Self().Ready || !n.topology().selfActive {
		return
	}
	self, changed := n.hosts.UpdateSelf(func(r *tracker.HostRecord) { r.Ready = true })
	if changed {
		n.recordHostChanges([]tracker.HostRecord{self})
		n.sendHostsToNeighbours("", []tracker.HostRecord{self})
	}
}

// hostsPublishInterval is the least time between two published host lists in a large fleet. 295
// hosts that start report some hundreds of changes within a second, and each list takes 0.2 ms.
const hostsPublishInterval = 40 * time.Millisecond

func (n *Node) hostsPublishDue() bool {
	return n.topo == nil || n.topo.small || n.now.Sub(n.lastHosts) >= hostsPublishInterval
}

// requestCacheIfActivated requests the state of KV caches from another active host when this one
// changes from standby to active.
func (n *Node) requestCacheIfActivated(t *topology) {
	wasActive := n.wasActive
	n.wasActive = t.selfActive && !t.small
	if wasActive || !n.wasActive {
		return
	}
	for _, h := range t.active {
		if h != n.opts.Self.Host {
			n.send(h, &messenger.Message{SnapshotRequests: []string{cacheStateRequest}})
			return
		}
	}
}
