// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/renewer"
	"amaranthgate.example/amaranthgate/tracker"
)

// Event is something that happened to a host.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// FeedRead is the end of a Read.
type FeedRead struct {
	News  follower.News
	Asked time.Time     // Asked is when the question was sent.
	Wait  time.Duration // Wait is how long the store could wait for a record.
	Err   error
}

// PeerMessage is a message of another host.
type PeerMessage struct {
	From    string
	Message *messenger.Message
}

// PeerUp says that a connection to another host was opened.
type PeerUp struct{ Host string }

// HostsFound names hosts that may be there: from settings or from the store.
type HostsFound struct{ Hosts []tracker.HostRecord }

// WorkReported is what this host has under way, for the others.
type WorkReported struct {
	Report placer.Report
	Urgent bool    // Urgent tells that it was made out of turn, for a long prompt.
	Use    float64 // Use is how many processor cores this host uses.
}

// RenewalEnd is the end of a renewer's command.
type RenewalEnd struct {
	Command  renewer.Command
	Lease    renewer.Lease       // Lease is the answer to ReadLease.
	Conflict bool                // Conflict says that WriteLease found another record.
	Result   renewer.OrderResult // Result is the answer to Order.
	Busy     bool                // Busy and Version are the answer to Ask.
	Version  uint64
	Err      error
}

// StoreHeard is news of a store of kept context that this host has asked.
type StoreHeard struct{ Report placer.StoreReport }

// StoreGap says that a host has told changes of a store after others that this
// host lacks.
type StoreGap struct{ From string }

// DrainBegun says that this host is to end.
type DrainBegun struct{}

func (Tick) event()         {}
func (FeedRead) event()     {}
func (PeerMessage) event()  {}
func (PeerUp) event()       {}
func (HostsFound) event()   {}
func (WorkReported) event() {}
func (RenewalEnd) event()   {}
func (StoreHeard) event()   {}
func (StoreGap) event()     {}
func (DrainBegun) event()   {}

// Action is something that a host is to do.
type Action interface{ action() }

// Send sends a message to another host.
type Send struct {
	To      string
	Address string
	Message *messenger.Message
}

// Spread sends a message to several hosts.
type Spread struct {
	To      []messenger.Target
	Message *messenger.Message
}

// TakeStore hands another host's news of a store to placement.
type TakeStore struct {
	From   string
	Report placer.StoreReport
}

// Read asks the store for a page of a feed: the newest of each key if Full.
type Read struct {
	Feed follower.Feed
	Full bool
	From int64
	Wait time.Duration // Wait is how long the store may wait for a record.
}

// PublishView gives traffic a new view.
type PublishView struct{ View *follower.View }

// PublishHosts gives the directory a new list.
type PublishHosts struct {
	Hosts   []tracker.HostRecord
	Unheard map[string]bool // Unheard are those that may not be there: only their announcements are known.
	Serving activator.Selection
}

// TakeReport hands a report to placement, of another host or summed up.
type TakeReport struct {
	From   string
	Report placer.Report
}

// Renew carries out a command of the renewer.
type Renew struct{ Command renewer.Command }

// Current says up to when the operators' feed is known.
type Current struct{ At time.Time }

// PublishCell says which cell of its zone this host is in, how many there are, and
// whether it hears of the work of all hosts directly.
type PublishCell struct {
	Own, Cells int
	Direct     bool
}

// PublishPhases names engines that load weights or will soon.
type PublishPhases struct{ Engines map[string]renewer.Phase }

// Note asks for a log line about a belief.
type Note struct {
	What   NoteKind
	Feed   follower.Feed
	Host   string
	Key    string
	Offset int64
	Age    time.Duration
	Err    error
}

// NoteKind says what a Note is about.
type NoteKind string

const (
	NoteStoreLost      NoteKind = logger.StoreLost
	NoteStoreBack      NoteKind = logger.StoreBack
	NoteUnreadable     NoteKind = logger.RecordUnreadable
	NoteRecord         NoteKind = logger.RecordApplied
	NoteHostChanged    NoteKind = logger.HostChanged
	NoteLapsesCounted  NoteKind = logger.LapsedEntriesRemoved
	NoteListingApplied NoteKind = logger.ListingApplied
)

func (Send) action()          {}
func (Spread) action()        {}
func (TakeStore) action()     {}
func (Read) action()          {}
func (PublishView) action()   {}
func (PublishHosts) action()  {}
func (TakeReport) action()    {}
func (Renew) action()         {}
func (Current) action()       {}
func (PublishPhases) action() {}
func (PublishCell) action()   {}
func (Note) action()          {}

// Decoder reads what a record says.
type Decoder interface {
	Decode(feed follower.Feed, r follower.Record) (follower.Change, error)
}

// NodeOptions set up a Node.
type NodeOptions struct {
	Self    tracker.HostRecord
	Decoder Decoder
	Timing  Timing
	Renewer renewer.Options
	Busy    func(upstream string) int   // Busy is the work under way at an upstream.
	Kept    func() []placer.Placement   // Kept is what engines are believed to keep, for hosts that start.
	Stores  func() []placer.StoreReport // Stores is what is known of stores, for hosts that start.
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
	lastStores time.Time // lastStores is when another host was asked for what it knows of stores.
}

// NewNode returns a node that knows nothing but itself.
func NewNode(opts NodeOptions) *Node {
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
	}
}

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
		n.greet(now, ev.Host)
	case HostsFound:
		n.found = now
		n.mergeHosts(now, "", ev.Hosts)
	case WorkReported:
		n.reportWork(now, ev)
	case StoreHeard:
		n.tellActive(&messenger.Message{Stores: []placer.StoreReport{ev.Report}})
	case RenewalEnd:
		n.renewalEnd(now, ev)
	case StoreGap:
		n.askStores(now, ev.From)
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
	if n.hostsDirty && n.hostsDue() {
		n.hostsDirty = false
		n.lastHosts = n.now
		n.tree = nil
		t := n.paths()
		n.calledIn(t)
		n.do(PublishHosts{Hosts: n.hosts.All(), Unheard: n.hosts.Unheard(), Serving: t.serving})
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
