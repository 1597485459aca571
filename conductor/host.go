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
	"github.com/rs/zerolog"

	"amaranthgate.example/amaranthgate/exchanger"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/internal/codec"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/renewer"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/timer"
	"amaranthgate.example/amaranthgate/tracker"
)

// Store is the platform's store.
type Store interface {
	Decoder
	Newest(ctx context.Context, f follower.Feed) (follower.News, error)
	Read(ctx context.Context, f follower.Feed, from int64, wait time.Duration) (follower.News, error)
	// Announce writes what other hosts need to find this one.
	Announce(ctx context.Context, host string, card []byte) error
	// Announced returns what hosts have announced, by name.
	Announced(ctx context.Context) (map[string][]byte, error)
	// Lease returns the newest record of a lease and the offset after it, 0 if
	// there is none.
	Lease(ctx context.Context, name string) (record []byte, end int64, err error)
	// WriteLease writes a lease's record if the newest one ends at an offset. It
	// reports a conflict if it does not.
	WriteLease(ctx context.Context, name string, at int64, record []byte) (conflict bool, err error)
}

// Engines gives orders to engines.
type Engines interface {
	Order(ctx context.Context, holder string, o renewer.Order) renewer.OrderResult
	// Ask returns whether an engine carries out an order, and the version that it
	// has of a model.
	Ask(ctx context.Context, a renewer.Ask) (busy bool, version uint64, err error)
}

// Edge serves callers in the platform's protocol.
type Edge interface {
	Callers() http.Handler
	ReadyHandler() http.Handler
	Directory() http.Handler
}

// Options set up a Host.
type Options struct {
	Settings loader.Settings
	Store    Store
	Sender   exchanger.Sender
	Engines  Engines
	Stores   Stores
	Pool     *forwarder.Pool
	Edge     func(h *Host) Edge
	Timing   Timing
	Timer    timer.Service
	Log      zerolog.Logger
	Dropped  func() uint64 // Dropped is the number of log lines that were lost because nobody read them.
}

// Host is one process of the system.
type Host struct {
	opts      Options
	log       zerolog.Logger
	node      *Node
	placer    *placer.Placer
	budget    *retrier.Shared
	exchanger *exchanger.Exchanger
	messenger *messenger.Messenger
	counters  *counters
	events    chan Event
	ctx       context.Context
	cancel    context.CancelFunc
	work      sync.WaitGroup

	view    atomic.Pointer[follower.View]
	hosts   atomic.Pointer[[]tracker.HostRecord]
	urgent  chan struct{} // urgent asks for a report at once.
	leaving atomic.Bool
	keeper  atomic.Bool // keeper tells that this host is first in rank to free kept context.
	open    atomic.Int64
	asked   atomic.Int64 // asked is when the last request came, in Unix nanoseconds.
	servers []*http.Server
	watched map[string]context.CancelFunc // watched are the stores of kept context that are asked for news.
}

// eventQueue is the number of events that may wait for the control loop.
const eventQueue = 4096

// New returns a host that has not started.
func New(opts Options) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	s := opts.Settings
	h := &Host{
		opts:    opts,
		log:     opts.Log,
		events:  make(chan Event, eventQueue),
		watched: make(map[string]context.CancelFunc),
		ctx:     ctx,
		cancel:  cancel,
		urgent:  make(chan struct{}, 1),
		budget:  retrier.NewShared(retrier.Allowance{Share: s.Platform.RetryShare, Slack: s.Platform.RetrySlack}),
	}
	h.placer = placer.New(placer.Options{AvailabilityZone: s.AvailabilityZone, Seed: uint64(opts.Timer.Now().UnixNano()), Urgent: h.hurry})
	self := tracker.HostRecord{
		Host:             s.Host,
		Incarnation:      uint64(opts.Timer.Now().UnixNano()),
		State:            tracker.HostLive,
		AvailabilityZone: s.AvailabilityZone,
		LinkMbps:         s.Platform.LinkMbps,
		Peers:            advertised(s.Peers),
		Callers:          advertised(s.Callers),
	}
	h.node = NewNode(NodeOptions{
		Self:    self,
		Decoder: opts.Store,
		Timing:  opts.Timing,
		Busy:    h.placer.Busy,
		Kept:    h.placer.Kept,
		Stores:  h.placer.StoreReports,
		Renewer: renewer.Options{
			Host:   s.Host,
			Term:   opts.Timing.Term,
			Turn:   s.Platform.Lease.Std(),
			Margin: opts.Timing.Margin,
			AtOnce: s.Platform.LoadsAtOnce,
			Share:  s.Platform.LoadsShare,
			Seed:   self.Incarnation,
		},
	})
	h.view.Store(&follower.View{})
	h.hosts.Store(&[]tracker.HostRecord{self})
	h.exchanger = exchanger.New(exchanger.Options{
		Beliefs: &h.view,
		Placer:  h.placer,
		Sender:  opts.Sender,
		Budget:  h.budget,
		Timer:   opts.Timer,
	})
	h.messenger = messenger.New(messenger.Options{
		Self:    messenger.Hello{Host: self.Host, Incarnation: self.Incarnation},
		Secret:  []byte(s.PeerSecret),
		Receive: func(from string, m *messenger.Message) { h.post(PeerMessage{From: from, Message: m}) },
		Up:      func(host string) { h.post(PeerUp{Host: host}) },
		Log:     opts.Log,
	})
	h.counters = newCounters(h)
	return h
}

func advertised(e loader.Endpoint) string {
	if e.Advertise != "" {
		return e.Advertise
	}
	return e.Listen
}

func (h *Host) post(ev Event) {
	select {
	case h.events <- ev:
	case <-h.ctx.Done():
	}
}

// Start listens and begins to read the store.
func (h *Host) Start() error {
	edge := h.opts.Edge(h)
	s := h.opts.Settings
	for _, e := range []struct {
		endpoint loader.Endpoint
		handler  http.Handler
	}{
		{s.Callers, edge.Callers()},
		{s.Platform.Ready, edge.ReadyHandler()},
		{s.Platform.Directory, edge.Directory()},
		{s.Peers, h.messenger.Handler()},
		{s.Operators, h.operators()},
	} {
		if err := h.listen(e.endpoint.Listen, e.handler); err != nil {
			h.cancel()
			return err
		}
	}
	h.goDo(h.loop)
	h.goDo(h.meet)
	h.goDo(h.keepStores)
	h.goDo(h.reportUrgently)
	cancelTick := h.opts.Timer.Every(h.opts.Timing.Tick, func(time.Time) { h.post(Tick{}) })
	cancelReport := h.opts.Timer.Every(h.opts.Timing.Report, h.report)
	context.AfterFunc(h.ctx, cancelTick)
	context.AfterFunc(h.ctx, cancelReport)
	h.log.Info().Str("Host", s.Host).Str("AvailabilityZone", s.AvailabilityZone).Str("Store", s.Platform.Store).Msg("started")
	return nil
}

func (h *Host) goDo(f func()) {
	h.work.Add(1)
	go func() {
		defer h.work.Done()
		f()
	}()
}

// headerTimeout and idleTimeout bound connections of callers. They are above
// what operators set on any route table, since a server's limits are fixed when
// it starts.
const (
	headerTimeout = 15 * time.Second
	idleTimeout   = 2 * time.Minute
)

func (h *Host) listen(address string, handler http.Handler) error {
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
	h.servers = append(h.servers, server)
	h.goDo(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.log.Error().Err(err).Str("Address", address).Msg("no longer listening")
		}
	})
	return nil
}

// meet announces this host and finds the others.
func (h *Host) meet() {
	s := h.opts.Settings
	card, err := codec.Marshal(h.node.opts.Self)
	if err != nil {
		panic("conductor: host record cannot be encoded: " + err.Error())
	}
	announced := false
	for h.ctx.Err() == nil {
		if !announced {
			err = h.opts.Store.Announce(h.ctx, s.Host, card)
			announced = err == nil
		}
		var cards map[string][]byte
		if announced {
			cards, err = h.opts.Store.Announced(h.ctx)
		}
		if announced && err == nil {
			h.found(cards)
			return
		}
		h.log.Warn().Err(err).Msg("hosts not read")
		pause(h.ctx, h.opts.Timing.Again)
	}
}

func (h *Host) found(cards map[string][]byte) {
	ev := HostsFound{}
	for name, card := range cards {
		var r tracker.HostRecord
		if err := codec.Unmarshal(card, &r); err != nil {
			h.log.Warn().Err(err).Str("Host", name).Msg("host record unreadable")
			continue
		}
		ev.Hosts = append(ev.Hosts, r)
	}
	h.post(ev)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// report tells other hosts what this one has under way.
func (h *Host) report(now time.Time) {
	h.placer.Forget(now)
	h.post(WorkReported{Report: h.placer.Report()})
}

// hurry asks for a report before its time.
func (h *Host) hurry() {
	select {
	case h.urgent <- struct{}{}:
	default:
	}
}

// hurryPause is the least time between two reports out of turn.
const hurryPause = 4 * time.Millisecond

// reportUrgently sends reports that were asked for.
func (h *Host) reportUrgently() {
	for {
		select {
		case <-h.urgent:
			h.post(WorkReported{Report: h.placer.Report()})
			pause(h.ctx, hurryPause)
		case <-h.ctx.Done():
			return
		}
	}
}

// loop is the control goroutine.
func (h *Host) loop() {
	for {
		select {
		case ev := <-h.events:
			for _, a := range h.node.Handle(h.opts.Timer.Now(), ev) {
				h.carryOut(a)
			}
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *Host) carryOut(a Action) {
	switch a := a.(type) {
	case Send:
		h.messenger.Send(a.To, a.Address, a.Message)
	case Spread:
		h.messenger.SendAll(a.To, a.Message)
	case TakeStore:
		if !h.placer.StoreTold(h.opts.Timer.Now(), a.Report) {
			h.goDo(func() { h.post(StoreGap{From: a.From}) })
		}
	case Read:
		h.goDo(func() { h.read(a) })
	case PublishView:
		h.view.Store(a.View)
		h.placer.Update(a.View)
		h.bound(a.View)
		h.watchStores(a.View)
	case Current:
		h.placer.Trust(a.At)
		h.counters.feed(follower.FeedOperator, a.At)
	case PublishHosts:
		h.keeper.Store(tracker.Place(live(a.Hosts), h.opts.Settings.Host, "keeper") == 0)
		h.hosts.Store(&a.Hosts)
		h.budget.SetHosts(len(a.Hosts))
		h.watchStores(h.view.Load())
		h.bound(h.view.Load())
	case TakeReport:
		h.placer.Heard(h.opts.Timer.Now(), a.From, a.Report)
	case Renew:
		h.goDo(func() { h.renew(a.Command) })
	case PublishAvoid:
		h.placer.Avoid(a.IDs)
	case Note:
		h.note(a)
	}
}

func (h *Host) read(a Read) {
	asked := h.opts.Timer.Now()
	ev := FeedRead{Asked: asked, Wait: a.Wait}
	if a.Full {
		ev.News, ev.Err = h.opts.Store.Newest(h.ctx, a.Feed)
	} else {
		ev.News, ev.Err = h.opts.Store.Read(h.ctx, a.Feed, a.From, a.Wait)
	}
	ev.News.Feed = a.Feed
	h.counters.store("read", asked, h.opts.Timer.Now(), ev.Err)
	h.post(ev)
}

// connectionShare is the part of an upstream's connections that hosts use, so
// that a host that starts finds some free.
const connectionShare = 0.8

// bound divides each upstream's connections among the hosts.
func (h *Host) bound(view *follower.View) {
	if view.Table == nil {
		return
	}
	hosts := max(len(*h.hosts.Load()), 1)
	known := make(map[string]bool, len(view.Upstreams))
	for _, u := range view.Upstreams {
		known[u.Address] = true
		if s, ok := view.Table.Service(u.Service); ok && s.MaxConnections > 0 {
			h.opts.Pool.SetCap(u.Address, max(1, int(connectionShare*float64(s.MaxConnections))/hosts))
		}
	}
	for _, s := range view.Table.Services() {
		if s.Store != nil {
			known[s.Store.Address] = true
		}
	}
	h.opts.Pool.Retain(func(address string) bool { return known[address] })
}

func (h *Host) note(n Note) {
	ev := h.log.Info()
	if n.Err != nil {
		ev = h.log.Warn().Err(n.Err)
	}
	if n.Feed != "" {
		ev = ev.Str("Feed", string(n.Feed)).Int64("Offset", n.Offset).Dur("Age", n.Age)
	}
	if n.Host != "" {
		ev = ev.Str("Peer", n.Host)
	}
	if n.Key != "" {
		ev = ev.Str("Key", n.Key)
	}
	ev.Msg(string(n.What))
}

// Handle takes a caller's request to its answer.
func (h *Host) Handle(ctx context.Context, r *exchanger.Request, w exchanger.Responder) {
	h.open.Add(1)
	h.asked.Store(h.opts.Timer.Now().UnixNano())
	defer h.open.Add(-1)
	o := h.exchanger.Handle(ctx, r, w)
	h.counters.request(o)
	h.record(r, o)
}

// Ready tells that this host takes callers.
func (h *Host) Ready() bool { return h.view.Load().Table != nil && !h.leaving.Load() }

// Leaving tells that this host is ending.
func (h *Host) Leaving() bool { return h.leaving.Load() }

// BodyBytes is the largest body that is read.
func (h *Host) BodyBytes() int64 {
	limits := matcher.Limits{BodyBytes: h.opts.Settings.Limits.BodyBytes}
	if t := h.view.Load().Table; t != nil && t.Limits().BodyBytes > 0 {
		limits = t.Limits()
	}
	return limits.BodyBytes
}

// Reload takes over the retry allowance; all else is fixed when a host starts.
func (h *Host) Reload(s loader.Settings) {
	if s.Platform == nil {
		h.log.Error().Msg("reload refused: the settings name no platform")
		return
	}
	h.budget.SetAllowance(retrier.Allowance{Share: s.Platform.RetryShare, Slack: s.Platform.RetrySlack})
	h.log.Info().Float64("RetryShare", s.Platform.RetryShare).Float64("RetrySlack", s.Platform.RetrySlack).Msg("settings reloaded")
}
