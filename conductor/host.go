// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/exchanger"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/registrar"
	"amaranthgate.example/amaranthgate/reserver"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/throttler"
	"amaranthgate.example/amaranthgate/timer"
	"amaranthgate.example/amaranthgate/tracker"
	"amaranthgate.example/amaranthgate/updater"
)

// Store is the platform's store.
type Store interface {
	Decoder
	// Era returns the newest era that an answer of the store has stated; 0 if none has.
	Era() uint64
	// Newest returns the newest record of each key of a feed, and Read the records from a position on. A
	// page has the era of the store's answer, also with an error if there was an answer.
	Newest(ctx context.Context, f follower.Feed) (follower.FeedPage, error)
	Read(ctx context.Context, f follower.Feed, from follower.Position, wait time.Duration) (follower.FeedPage, error)
	// Announce writes this host's announcement, by which other hosts find it.
	Announce(ctx context.Context, host string, record []byte) error
	// Announced returns the page of announcements, ordered by name, that begins after a name.
	Announced(ctx context.Context, after string) (tracker.Announcements, error)
	// Retract removes an announcement if the newest of all announcements ends at a position.
	Retract(ctx context.Context, name string, at follower.Position) error
	// Save saves a value under a key, for hosts that start after the whole fleet was down. Saved
	// returns all saved values.
	Save(ctx context.Context, key string, value []byte) error
	Saved(ctx context.Context) (map[string][]byte, error)
	// Lease returns the newest record of a lease and the position after it; its offset is 0 if there is
	// none.
	Lease(ctx context.Context, name string) (record []byte, end follower.Position, err error)
	// WriteLease writes a lease's record if the newest one ends at a position, and reports a
	// conflict otherwise.
	WriteLease(ctx context.Context, name string, at follower.Position, record []byte) (conflict bool, err error)
}

// Engines sends orders to engines.
type Engines interface {
	Order(ctx context.Context, holder string, o updater.Order) updater.OrderResult
	// QueryVersion returns what an engine reports of itself, its version of a model among it.
	QueryVersion(ctx context.Context, q updater.QueryVersion) (updater.EngineReport, error)
}

// Edge serves callers in the platform's protocol.
type Edge interface {
	RequestHandler() http.Handler
	ReadyHandler() http.Handler
	DirectoryHandler() http.Handler
	// PassedHandler returns the handler of requests that other hosts pass on; next gets all others.
	PassedHandler(next http.Handler) http.Handler
}

// Options configures a Host.
type Options struct {
	Settings    loader.Settings
	Store       Store
	Sender      exchanger.Sender
	Engines     Engines
	CacheStores CacheStores
	Pool        *forwarder.Pool
	RelayHosts  RelayHosts  // RelayHosts selects the hosts to which requests are passed on; default Host.Reach.
	RelaySender RelaySender // RelaySender passes requests on; nil for none.
	Edge        func(h *Host) Edge
	Timing      Timing
	Timer       timer.Service
	Log         *logger.Logger
	Dropped     func() uint64 // Dropped returns the number of log lines lost to a slow writer.
}

// Host is one process of the system.
type Host struct {
	opts              Options
	log               *logger.Logger
	node              *Node
	placer            *placer.Placer
	budget            *retrier.SharedBudgets
	quarantine        *quarantiner.Ledger
	throttler         *throttler.Throttler
	malformedLoads    instanceLimit
	malformedBrittles instanceLimit
	contention        contention
	registrar         *registrar.Registrar
	exchanger         *exchanger.Exchanger
	messenger         *messenger.Messenger
	counters          *counters
	reach             *Reach
	events            chan Event
	ctx               context.Context
	cancel            context.CancelFunc
	work              sync.WaitGroup

	view        atomic.Pointer[follower.View]
	feeds       atomic.Pointer[map[follower.Feed]FeedState]
	confirmed   confirmation
	hosts       atomic.Pointer[[]tracker.HostRecord]
	serving     atomic.Pointer[activator.Selection] // serving is the selection of hosts that serve callers.
	cpu         meter
	uncontacted atomic.Pointer[map[string]bool] // uncontacted are hosts known only from their announcements.
	// reportMu keeps reports in order: an older report must not overwrite a newer one.
	reportMu          sync.Mutex
	gcPercent         int     // gcPercent is the garbage collector's target percentage.
	owners            senders // owners are the hosts that share rate limits or recently did.
	heard             senders // heard are the hosts that are live or recently were.
	senders           senders // senders are the hosts that send to upstreams or recently did.
	reportTicks       int
	quarantineChanged chan struct{} // quarantineChanged signals changes for the other hosts.
	reportRequested   chan struct{} // reportRequested signals that a report is due at once.
	originsDue        chan struct{} // originsDue signals that the registrar has messages for other hosts.
	lending           lending
	stalls            stallWatch
	capacityFreed     chan struct{} // capacityFreed signals that upstreams may have room.
	leaving           atomic.Bool
	drain             atomic.Pointer[exchanger.Drain] // drain is nil while this host does not drain.
	requests          requestCounter                  // requests counts those of callers and of other hosts.
	drainBegan        atomic.Pointer[time.Time]       // drainBegan is nil while this host does not drain.
	evictsStores      atomic.Bool                     // evictsStores is set on the host that evicts unused KV caches.
	saveAgain         atomic.Bool                     // saveAgain is set if the store may have lost saved state.
	open              atomic.Int64
	openBeforeEnd     atomic.Int64 // openBeforeEnd counts those of open that arrived before this host ended requests.
	ending            atomic.Bool  // ending reports that this host has ended requests.
	stopped           atomic.Int64 // stopped counts requests that the end of this host has ended.
	started           time.Time
	lastActive        atomic.Int64 // lastActive is when last a request arrived or ended, in ns after started.
	servers           []*http.Server
	budgets           map[listener]*reserver.Budget // budgets are what the connections of each listener may hold together.
	storeWatches      map[string]context.CancelFunc // storeWatches are by store address.
}

// eventQueue is the number of events that may wait for the control loop.
const eventQueue = 4096

// New returns a host that has not started.
func New(opts Options) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	s := opts.Settings
	h := &Host{
		opts:              opts,
		started:           opts.Timer.Now(),
		log:               opts.Log,
		budgets:           newBudgets(s.Limits),
		events:            make(chan Event, eventQueue),
		storeWatches:      make(map[string]context.CancelFunc),
		owners:            make(senders),
		heard:             make(senders),
		senders:           make(senders),
		ctx:               ctx,
		cancel:            cancel,
		reportRequested:   make(chan struct{}, 1),
		quarantineChanged: make(chan struct{}, 1),
		originsDue:        make(chan struct{}, 1),
		lending:           lending{due: make(chan struct{}, 1)},
		stalls:            stallWatch{limit: opts.Timing.SuspectAfter / 2},
		capacityFreed:     make(chan struct{}, 1),
		budget:            retrier.NewSharedBudgets(retrier.Allowance{Share: s.Platform.RetryShare, Slack: s.Platform.RetrySlack}),
	}
	h.budget.SetHost(s.Host)
	h.quarantine = quarantiner.New(quarantiner.Options{Changed: h.signalQuarantineChange, Barred: h.logBarred, Tries: h.triesPart})
	h.throttler = h.newThrottler()
	self := h.self()
	h.contention.arbiter = h.newArbiter(self)
	h.placer = h.newPlacer()
	h.node = h.newNode(self)
	h.view.Store(&follower.View{})
	h.feeds.Store(&map[follower.Feed]FeedState{})
	h.hosts.Store(&[]tracker.HostRecord{self})
	h.uncontacted.Store(&map[string]bool{})
	// Until the node has selected the serving hosts, this host is none of them. Otherwise each host
	// of a starting fleet would watch all KV cache stores: with 985 hosts, each store got 985
	// requests.
	h.serving.Store(&activator.Selection{})
	h.reach = newReach(h, self.Incarnation)
	h.registrar = registrar.New(registrar.Options{Host: s.Host, Timer: opts.Timer, Due: h.signalOrigins})
	h.exchanger = exchanger.New(exchanger.Options{
		Views:      &h.view,
		Placer:     h.placer,
		Sender:     opts.Sender,
		Budget:     h.budget,
		Timer:      opts.Timer,
		HoldFull:   s.Platform.Enabled(loader.MechanismPlainQueue),
		Chosen:     h.logChoice,
		Quarantine: soundQuarantine{h.quarantine, h.reach},
		Refuses:    func(address string) bool { return opts.Pool.Refuses(address) && h.reach.sound() },
		Terminated: func(address string) bool { return opts.Pool.Terminated(address) && h.reach.sound() },
		Ended:      h.logUpstreamEnded,

		AnswerEnded: h.logAnswerEnded,

		Noticed:    h.notice,
		Forecaster: h.newForecaster(self),
		Peers:      h.peers(),
		Relay:      h.relay(),
		Origins:    h.registrar,
		Draining:   h.draining,

		SoleSoftware: h.soleSoftware,
		Confirmed:    func() bool { return h.confirmed.valid(opts.Timer.Now()) },
	})
	h.contention.source = h.exchanger
	h.messenger = messenger.New(messenger.Options{
		Self:      messenger.Hello{Host: self.Host, Incarnation: self.Incarnation},
		Secret:    []byte(s.PeerSecret),
		Receive:   h.receive,
		OnConnect: func(host, address string) { h.post(PeerConnected{Host: host, Address: address}) },
		Log:       opts.Log.Logger,
	})
	h.counters = newCounters(h)
	return h
}

func (h *Host) receive(from string, m *messenger.Message) {
	if m.Origins != nil { // it carries nothing else, and requests wait for it
		h.registrar.Receive(from, m.Origins)
		return
	}
	if m.Lending != nil {
		h.receiveLending(from, m.Lending)
		return
	}
	h.post(PeerMessage{From: from, Message: m})
}

func (h *Host) post(ev Event) {
	select {
	case h.events <- ev:
	case <-h.ctx.Done():
	}
}

// Start opens the listeners and starts the control loop.
func (h *Host) Start() error {
	edge := h.opts.Edge(h)
	s := h.opts.Settings
	limitMemory(s.Limits)
	for _, e := range []struct {
		name     listener
		endpoint loader.Endpoint
		handler  http.Handler
	}{
		{listenerCallers, s.Callers, edge.RequestHandler()},
		{listenerReady, s.Platform.Ready, edge.ReadyHandler()},
		{listenerDirectory, s.Platform.Directory, edge.DirectoryHandler()},
		{listenerPeers, s.Peers, edge.PassedHandler(h.messenger.Handler())},
		{listenerOperators, s.Operators, h.operators()},
	} {
		if err := h.listen(e.name, e.endpoint.Listen, e.handler); err != nil {
			h.cancel()
			return err
		}
	}
	h.spawn(h.loop)
	h.spawn(h.evictUnused)
	h.spawn(h.sendUrgentReports)
	h.spawn(h.reportQuarantine)
	h.spawn(h.sendOrigins)
	h.spawn(h.sendLending)
	h.spawn(h.admitWaiting)
	h.spawn(h.reach.run)
	cancelTick := h.opts.Timer.Every(h.opts.Timing.Tick, func(now time.Time) {
		h.stalls.tick(now)
		h.post(Tick{Era: h.opts.Store.Era()})
	})
	cancelLending := h.opts.Timer.Every(h.opts.Timing.Admit, func(time.Time) { h.signalLending() })
	cancelReport := h.opts.Timer.Every(h.opts.Timing.Report, h.report)
	cancelAccount := h.opts.Timer.Every(time.Second, func(now time.Time) {
		h.log.ReportOmitted()
		h.logOverloads(now)
	})
	cancelSweep := h.opts.Timer.Every(reserver.SweepInterval, h.sweep)
	context.AfterFunc(h.ctx, cancelSweep)
	context.AfterFunc(h.ctx, cancelTick)
	context.AfterFunc(h.ctx, cancelAccount)
	context.AfterFunc(h.ctx, cancelLending)
	context.AfterFunc(h.ctx, cancelReport)
	h.log.Info().Str("Host", s.Host).Str("AvailabilityZone", s.AvailabilityZone).
		Str("Store", s.Platform.Store).Msg(logger.Started)
	return nil
}

func (h *Host) spawn(f func()) {
	h.work.Add(1)
	go func() {
		defer h.work.Done()
		f()
	}()
}

// headerTimeout and idleTimeout bound connections of callers. They exceed the limits of any route
// table, since a server's limits are fixed at its start.
const (
	headerTimeout = 15 * time.Second
	idleTimeout   = 2 * time.Minute
	// passageHeaderBytes bounds what passing a request on adds to its header.
	passageHeaderBytes = 1024
)

// listen serves an address. The requests of callers, and those that other hosts pass on, are counted for the end of a drain.
func (h *Host) listen(name listener, address string, handler http.Handler) error {
	l, err := (&net.ListenConfig{KeepAlive: 5 * time.Second}).Listen(h.ctx, "tcp4", address)
	if err != nil {
		return errors.Wrap(err, "conductor: listen")
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    h.opts.Settings.Limits.HeaderBytes,
	}
	requests := &requestCounter{}
	switch name {
	case listenerCallers:
		requests = &h.requests
	case listenerPeers:
		requests = &h.requests
		server.MaxHeaderBytes += passageHeaderBytes
	}
	requests.watch(server)
	l = countingListener{Listener: l, requests: requests, budget: h.budgets[name], unread: h.opts.Timing.Unread}
	h.servers = append(h.servers, server)
	h.spawn(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.log.Error().Err(err).Str("Address", address).Msg(logger.ListenerEnded)
		}
	})
	return nil
}

// Handle serves a caller's request.
func (h *Host) Handle(ctx context.Context, r *exchanger.Request, w exchanger.Responder) {
	h.open.Add(1)
	h.noteActive()
	defer func() {
		h.noteActive()
		h.open.Add(-1)
	}()
	if !h.ending.Load() {
		h.openBeforeEnd.Add(1)
		defer h.openBeforeEnd.Add(-1)
	}
	o := h.exchanger.Handle(ctx, r, w)
	if o.Reason == exchanger.ReasonStopped {
		h.stopped.Add(1)
	}
	h.counters.request(r, o)
	h.logSkipped(r, &o)
	h.logRequest(r, o)
}

// Judge returns the refusal of a request that need not be read to its end, if there is one.
func (h *Host) Judge(r *exchanger.Request) (exchanger.Refusal, bool) {
	refusal, refused := h.exchanger.Judge(r)
	if refused {
		h.counters.refusedUnread(refusal)
	}
	return refusal, refused
}

// noteActive notes that a request has arrived or ended.
func (h *Host) noteActive() { h.lastActive.Store(int64(h.opts.Timer.Now().Sub(h.started))) }

// Ready reports whether this host takes callers.
func (h *Host) Ready() bool { return h.view.Load().Ready() && !h.leaving.Load() }

// Reach returns what this host knows of which hosts reach upstreams.
func (h *Host) Reach() *Reach { return h.reach }

// Leaving reports whether this host is draining.
func (h *Host) Leaving() bool { return h.leaving.Load() }

// Closing reports whether this host refuses all requests, and closes its connections soon.
func (h *Host) Closing() bool { return h.requests.refusing.Load() }

// Stopped returns the context that ends as this host ends requests.
func (h *Host) Stopped() context.Context { return h.exchanger.Stopped() }

// BodyBytes returns the largest request body accepted. A larger one than finds room would be refused for ever as one that may
// come back.
func (h *Host) BodyBytes() int64 {
	limits := matcher.Limits{BodyBytes: h.opts.Settings.Limits.BodyBytes}
	if t := h.view.Load().Table; t != nil && t.Limits().BodyBytes > 0 {
		limits = t.Limits()
	}
	if largest := largestBody(h.budgets[listenerCallers]); largest > 0 {
		return min(limits.BodyBytes, largest)
	}
	return limits.BodyBytes
}

// Reload applies the retry allowance; all other settings are fixed at the start.
func (h *Host) Reload(s loader.Settings) {
	if s.Platform == nil {
		h.log.Error().Str("Reason", "the settings name no platform").Msg(logger.ReloadRefused)
		return
	}
	h.budget.SetAllowance(retrier.Allowance{Share: s.Platform.RetryShare, Slack: s.Platform.RetrySlack})
	h.log.Info().Float64("RetryShare", s.Platform.RetryShare).
		Float64("RetrySlack", s.Platform.RetrySlack).Msg(logger.SettingsReloaded)
}
