// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"fmt"
	"time"

	"amaranthgate.example/amaranthgate/appender"
	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/indexer"
	"amaranthgate.example/amaranthgate/leaser"
	"amaranthgate.example/amaranthgate/limiter"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/replayer"
	"amaranthgate.example/amaranthgate/reporter"
	"amaranthgate.example/amaranthgate/tracker"
)

// Options configure a node.
type Options struct {
	Self         tracker.HostRecord // Self has this host's name, incarnation, zone and addresses.
	Registry     *publisher.Registry
	GroupCommit  time.Duration // GroupCommit is the minimum interval of appends to a stream of claims.
	Heartbeat    time.Duration
	SuspectAfter time.Duration
	Lease        time.Duration
	LeaseMargin  time.Duration
	LogRetention time.Duration
}

// Times that are not configurable.
const (
	defaultCommitInterval = 20 * time.Millisecond  // minimum interval of appends to streams other than claims
	claimRetryInterval    = 250 * time.Millisecond // until an unanswered message to an owner is repeated
	leaseStagger          = 300 * time.Millisecond // delay of acquiring a lease per rank of the candidate
	loadFlushInterval     = 50 * time.Millisecond  // minimum interval of batches of load digests
	viewInterval          = 20 * time.Millisecond  // minimum interval of views
	fullSyncInterval      = 5 * time.Second        // minimum interval of full syncs with a peer
	snapshotRetryInterval = time.Second            // until a request for snapshots is repeated
	grantTTL              = 10 * time.Second       // validity of a granted share of a limit
)

// streamState is the state of a stream that this host reads.
type streamState struct {
	fold           *replayer.Stream
	queue          *appender.Queue
	onApplied      func(now time.Time, rec replayer.Applied)
	failing        bool      // failing reports whether the last read failed.
	lastCheckpoint time.Time // lastCheckpoint is when a checkpoint was last read or appended.
}

// Node is the control plane of one host. It is not safe for concurrent use.
type Node struct {
	opts    Options
	writer  string
	streams map[string]*streamState
	actions []Action

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
	groups    [upstreamGroups]*issuerGroup
	caches    cacheViews

	pendingChanges      map[string]bool // IDs of changes published here and not yet read back
	sentLoads           map[string]sentLoad
	loadMarks           map[string]loadMark
	incarnations        map[string]uint64 // by upstream
	pendingLoads        []tracker.LoadDigest
	pendingPlacements   []messenger.Placement
	pendingTurns        map[string][]indexer.Turn // by host to send them to
	lastHeartbeat       time.Time
	lastLoadFlush       time.Time
	lastSlowTick        time.Time
	lastSnapshotRequest time.Time
	lastFullSync        map[string]time.Time
	lastSuspectNotice   map[string]time.Time      // by suspected host
	peerInFlight        map[string]inFlightCounts // by host
	sentInFlight        []messenger.InFlightCount // counts last sent to the other hosts
	lastInFlightSent    time.Time
	leaving             bool
	readyAt             time.Time            // when the node was first ready
	outrankedSince      map[string]time.Time // by lease held here for which another host ranks higher

	view      *publisher.Snapshot
	viewDirty bool
	viewAt    time.Time
}

// NewNode returns a node without state.
func NewNode(opts Options) *Node {
	n := &Node{
		opts:              opts,
		writer:            fmt.Sprintf("%s#%d", opts.Self.Host, opts.Self.Incarnation),
		streams:           make(map[string]*streamState),
		config:            &configurer.State{},
		leases:            leaser.NewTable(),
		upstreams:         tracker.NewUpstreams(tracker.UpstreamOptions{}),
		shares:            limiter.NewShares(grantTTL),
		peerInFlight:      make(map[string]inFlightCounts),
		pendingChanges:    make(map[string]bool),
		sentLoads:         make(map[string]sentLoad),
		loadMarks:         make(map[string]loadMark),
		incarnations:      make(map[string]uint64),
		lastFullSync:      make(map[string]time.Time),
		pendingTurns:      make(map[string][]indexer.Turn),
		caches:            newCacheViews(),
		lastSuspectNotice: make(map[string]time.Time),
		outrankedSince:    make(map[string]time.Time),
	}
	opts.Self.State = tracker.HostLive
	n.hosts = tracker.NewHosts(opts.Self, tracker.HostOptions{SuspectAfter: opts.SuspectAfter})
	n.holder = leaser.NewHolder(n.writer, n.leases, leaser.Options{
		Duration: opts.Lease,
		Margin:   opts.LeaseMargin,
		Stagger:  leaseStagger,
	})
	n.claimant = claimer.NewClaimant(n.claimPolicy(), claimRetryInterval)
	return n
}

// Start returns the first actions of a node.
func (n *Node) Start(now time.Time) []Action {
	n.follow(now, configurer.StreamName, n.config, defaultCommitInterval, n.configurationApplied)
	n.follow(now, leaser.StreamName, n.leases, defaultCommitInterval, n.holder.Applied)
	n.viewDirty = true
	return n.flush(now)
}

// Writer returns the name under which this host writes to the log.
func (n *Node) Writer() string { return n.writer }

// Handle handles an event and returns the actions to execute.
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
		n.applyClaimantEffects(now, n.claimant.Start(now, ev.Request, ev.Deadline))
	case ClaimAbandoned:
		n.applyClaimantEffects(now, n.claimant.Abandon(now, ev.Nonce))
	case ClaimFinished:
		n.applyClaimantEffects(now, n.claimant.Finish(now, ev.Outcome))
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
		n.pendingPlacements = append(n.pendingPlacements, ev.Placement)
	case Leave:
		n.leave(now)
	default:
		panic(fmt.Sprintf("controller: unknown event %T", ev))
	}
	return n.flush(now)
}

// emit adds an action to the result of the current call.
func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// flush emits the appends that are due and returns all actions.
func (n *Node) flush(now time.Time) []Action {
	for name, s := range n.streams {
		if rec, ok := s.queue.Next(now); ok {
			n.emit(Append{Stream: name, Record: rec})
		}
	}
	n.refreshView(now)
	out := n.actions
	n.actions = nil
	return out
}

// Due returns the time until the next Tick must be handled.
func (n *Node) Due(now time.Time) time.Duration {
	due := n.opts.Heartbeat / 4
	for _, s := range n.streams {
		if d, ok := s.queue.Due(now); ok {
			due = min(due, d)
		}
	}
	if n.fullMesh() {
		due = min(due, inFlightInterval)
	}
	if n.viewDirty {
		due = min(due, viewInterval-now.Sub(n.viewAt))
	}
	if len(n.pendingLoads)+len(n.pendingPlacements)+len(n.pendingTurns) > 0 {
		due = min(due, loadFlushInterval-now.Sub(n.lastLoadFlush))
	}
	return max(due, time.Millisecond)
}

// follow starts reading a stream and folding it into state.
func (n *Node) follow(now time.Time, name string, state replayer.State, interval time.Duration, applied func(time.Time, replayer.Applied)) {
	if n.streams[name] != nil {
		return
	}
	n.streams[name] = &streamState{
		fold:           replayer.NewStream(name, state),
		queue:          appender.NewQueue(n.writer, interval),
		onApplied:      applied,
		lastCheckpoint: now,
	}
	n.emit(Follow{Stream: name})
}

func (n *Node) logRead(now time.Time, ev LogRead) {
	s := n.streams[ev.Stream]
	if s == nil {
		return
	}
	s.failing = false
	wasReady := s.fold.Ready()
	applied := n.applyPage(now, s, ev.Stream, ev.Page)
	s.queue.StreamRead(ev.Began, s.fold.Next() >= ev.Page.Next, applied)
	if !wasReady && s.fold.Ready() {
		n.viewDirty = true
	}
}

// applyPage folds a page. Records of the configuration are relayed to the
// neighbours, so that a change takes effect on all hosts once one has read it.
func (n *Node) applyPage(now time.Time, s *streamState, stream string, p replayer.Page) []replayer.Applied {
	wasReady := s.fold.Ready()
	applied := s.fold.Feed(p)
	for _, rec := range applied {
		if hasCheckpoint(rec) {
			s.lastCheckpoint = now
		}
		s.onApplied(now, rec)
	}
	if wasReady && stream == configurer.StreamName && len(applied) > 0 {
		n.relayRecords(stream, p.Records, applied[0].Offset)
	}
	return applied
}

// maxRelayedRecords bounds the number of records in a message.
const maxRelayedRecords = 16

func (n *Node) relayRecords(stream string, records []replayer.RawRecord, from uint64) {
	m := &messenger.Message{}
	for _, r := range records {
		if r.Offset >= from && len(m.Records) < maxRelayedRecords {
			m.Records = append(m.Records, messenger.StreamRecord{Stream: stream, Record: r})
		}
	}
	n.sendNeighbours("", m)
}

func (n *Node) logFailed(now time.Time, stream string) {
	if s := n.streams[stream]; s != nil {
		s.failing = true
		n.requestSnapshots(now)
	}
}

func (n *Node) appendDone(now time.Time, ev AppendDone) {
	if s := n.streams[ev.Stream]; s != nil {
		s.queue.AppendAnswered(now, ev.Sequence, ev.Err)
	}
}

// slowTickInterval is the interval of the tasks that are not run on each Tick.
const slowTickInterval = 100 * time.Millisecond

func (n *Node) tick(now time.Time) {
	n.tickInFlight(now)
	n.flushLoads(now)
	if now.Sub(n.lastSlowTick) < slowTickInterval {
		return
	}
	n.lastSlowTick = now
	n.heartbeat(now)
	n.tickLeases(now)
	n.tickClaims(now)
	n.tickCheckpoints(now)
	n.tickLimits(now)
	n.tickOrders(now)
	n.queryCaches(now)
	n.requestSnapshots(now)
}

// Ready reports whether this host has a configuration and has read the streams of
// the configuration and of the leases.
func (n *Node) Ready() bool {
	return n.config.Document() != nil && n.streams[configurer.StreamName].fold.Ready() && n.streams[leaser.StreamName].fold.Ready()
}

// leave releases this host's leases and announces that it is leaving.
func (n *Node) leave(now time.Time) {
	if n.leaving {
		return
	}
	n.leaving = true
	n.streams[leaser.StreamName].queue.Add(n.holder.Release()...)
	if r, changed := n.hosts.UpdateSelf(func(r *tracker.HostRecord) { r.State = tracker.HostLeaving }); changed {
		n.sendHosts("", []tracker.HostRecord{r})
	}
	n.viewDirty = true
}

// Idle reports whether all entries and claim outcomes of this host are in the log.
func (n *Node) Idle() bool {
	for _, s := range n.streams {
		if s.queue.Len() > 0 {
			return false
		}
	}
	_, outcomes := n.claimant.Open()
	return outcomes == 0
}
