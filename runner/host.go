// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"amaranthgate.example/amaranthgate/administrator"
	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/connector"
	"amaranthgate.example/amaranthgate/controller"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/limiter"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/server"
	"amaranthgate.example/amaranthgate/timer"
	"amaranthgate.example/amaranthgate/tracker"
)

// Host is the process of one host.
type Host struct {
	settings loader.Settings
	logger   zerolog.Logger
	timer    timer.Service

	log        *connector.Log
	hostList   *connector.HostList
	limiter    *limiter.Limiter
	publisher  *publisher.Publisher
	registry   *publisher.Registry
	budget     *retrier.Budget
	forwarder  *forwarder.Forwarder
	messenger  *messenger.Messenger
	server     *server.Server
	loop       *loop
	outcomes   *outcomeRecorder
	cacheIndex *cacheIndex
	shares     *shareRequester

	callers, peers, operators net.Listener
	peerServer, adminServer   *http.Server

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Addresses are the advertised addresses of a started host.
type Addresses struct {
	Callers   string
	Peers     string
	Operators string
}

// New returns a host that is not started.
func New(s loader.Settings, logger zerolog.Logger) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	return &Host{
		settings:  s,
		logger:    logger.With().Str("Host", s.Host).Logger(),
		timer:     timer.NewSystem(),
		log:       connector.NewLog(s.Log, s.Timing.LogTimeout.Std()),
		hostList:  connector.NewHostList(s.HostList, s.Timing.LogTimeout.Std()),
		limiter:   limiter.New(),
		publisher: &publisher.Publisher{},
		registry:  &publisher.Registry{},
		budget:    retrier.NewBudget(0),
		forwarder: forwarder.New(forwarder.Options{}),
		ctx:       ctx,
		cancel:    cancel,
	}
}

// Start opens the listeners and starts the servers and the control plane.
func (h *Host) Start() error {
	if err := h.listen(); err != nil {
		return err
	}
	addr := h.Addresses()
	self := tracker.HostRecord{
		Host:             h.settings.Host,
		Incarnation:      uint64(h.timer.Now().UnixMilli()),
		AvailabilityZone: h.settings.AvailabilityZone,
		Peers:            addr.Peers,
		Callers:          addr.Callers,
		Operators:        addr.Operators,
		Spare:            1,
	}
	node := controller.NewNode(h.nodeOptions(self))
	h.loop = newLoop(h.ctx, h, node)
	h.outcomes = newOutcomeRecorder(h.timer.Now())
	h.cacheIndex = newCacheIndex(h.loop.post)
	h.shares = newShareRequester(h)
	h.messenger = messenger.New(messenger.Options{
		Self:      messenger.Hello{Host: self.Host, Incarnation: self.Incarnation},
		Secret:    []byte(h.settings.PeerSecret),
		Receive:   func(from string, m *messenger.Message) { h.loop.post(controller.PeerMessage{From: from, Message: m}) },
		OnConnect: func(host, _ string) { h.loop.post(controller.PeerUp{Host: host}) },
		Log:       h.logger,
	})
	h.server = server.New(h.serverOptions(self))
	h.startServers()
	h.spawn(h.loop.run)
	h.spawn(h.pollHostList)
	h.spawn(h.pollLoads)
	h.spawn(h.pollCaches)
	h.startTimers()
	h.logger.Info().Str("Callers", addr.Callers).Str("Peers", addr.Peers).Str("Operators", addr.Operators).Msg(logger.Listening)
	return nil
}

func (h *Host) nodeOptions(self tracker.HostRecord) controller.Options {
	t := h.settings.Timing
	return controller.Options{
		Self:         self,
		Registry:     h.registry,
		GroupCommit:  t.GroupCommit.Std(),
		Heartbeat:    t.Heartbeat.Std(),
		SuspectAfter: t.Suspect.Std(),
		Lease:        t.Lease.Std(),
		LeaseMargin:  t.LeaseMargin.Std(),
		LogRetention: t.LogRetention.Std(),
	}
}

func (h *Host) serverOptions(self tracker.HostRecord) server.Options {
	s := h.settings
	return server.Options{
		Publisher:   h.publisher,
		Forwarder:   h.forwarder,
		Limiter:     h.limiter,
		Budget:      h.budget,
		Claims:      h.loop,
		Shares:      h.shares,
		CacheIndex:  h.cacheIndex,
		Recorder:    h.outcomes,
		Timer:       h.timer,
		Log:         h.logger,
		BlockSecret: []byte(s.BlockSecret),
		BodyBytes:   s.Limits.BodyBytes,
		HeaderBytes: s.Limits.HeaderBytes,
		OpenStreams: s.Limits.OpenStreams,
		ReadTimeout: s.Limits.ReadTimeout.Std(),
		FirstToken:  s.Timing.FirstToken.Std(),
		Interval:    s.Timing.TokenInterval.Std(),
		AddressTTL:  s.Timing.AddressTTL.Std(),
		Seed:        self.Incarnation,
	}
}

func (h *Host) listen() error {
	for _, l := range []struct {
		to       *net.Listener
		endpoint loader.Endpoint
		name     string
	}{
		{&h.callers, h.settings.Callers, "callers"},
		{&h.peers, h.settings.Peers, "peers"},
		{&h.operators, h.settings.Operators, "operators"},
	} {
		listener, err := net.Listen("tcp", l.endpoint.Listen)
		if err != nil {
			h.closeListeners()
			return errors.Wrapf(err, "runner: listen for %s", l.name)
		}
		*l.to = listener
	}
	return nil
}

func (h *Host) closeListeners() {
	for _, l := range []net.Listener{h.callers, h.peers, h.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Addresses returns the advertised addresses. The host must be started.
func (h *Host) Addresses() Addresses {
	return Addresses{
		Callers:   advertised(h.settings.Callers, h.callers),
		Peers:     advertised(h.settings.Peers, h.peers),
		Operators: advertised(h.settings.Operators, h.operators),
	}
}

func advertised(e loader.Endpoint, l net.Listener) string {
	if e.Advertise != "" {
		return e.Advertise
	}
	return l.Addr().String()
}

func (h *Host) startServers() {
	h.peerServer = &http.Server{Handler: h.messenger.Handler(), ReadHeaderTimeout: h.settings.Limits.ReadTimeout.Std()}
	admin := administrator.New(administrator.Options{
		Control: &control{host: h},
		Digests: h.settings.OperatorDigests,
		Log:     h.logger,
		Metrics: h.writeMetrics,
	})
	h.adminServer = &http.Server{Handler: admin.Handler(), ReadHeaderTimeout: h.settings.Limits.ReadTimeout.Std()}
	h.spawn(func() { _ = h.server.Serve(h.callers) })
	h.spawn(func() { _ = h.peerServer.Serve(h.peers) })
	h.spawn(func() { _ = h.adminServer.Serve(h.operators) })
}

func (h *Host) spawn(f func()) {
	h.goroutines.Add(1)
	go func() {
		defer h.goroutines.Done()
		f()
	}()
}

// publishView publishes a snapshot to the request path.
func (h *Host) publishView(v *publisher.Snapshot) {
	old := h.publisher.Load()
	h.publisher.Store(v)
	if v.Document != old.Document {
		h.applyDocument(v)
	}
	h.server.Wake(h.timer.Now())
}

// applyDocument applies a new document to the state that is kept across snapshots.
func (h *Host) applyDocument(v *publisher.Snapshot) {
	h.budget.SetShare(v.Document.Retry.BudgetShare)
	names := make(map[string]bool)
	addresses := make(map[string]bool)
	for _, u := range v.Document.Upstreams {
		names[u.Name] = true
		addresses[u.Address] = true
	}
	workspaces := make(map[string]bool)
	for _, w := range v.Document.Workspaces {
		workspaces[w.Name] = true
	}
	h.registry.Retain(func(n string) bool { return names[n] })
	h.forwarder.Retain(func(a string) bool { return addresses[a] })
	h.limiter.Retain(func(w string) bool { return workspaces[w] })
	h.logger.Info().Uint64("Revision", v.Revision).Msg(logger.ConfigurationInForce)
}

// Drain shuts the host down without interrupting requests: the host releases its
// leases, is no longer advertised to callers, serves requests that still arrive and
// stops when it is idle. It returns the number of requests interrupted because ctx
// was about to end or has ended.
func (h *Host) Drain(ctx context.Context) int {
	ctx, cancel := withReserve(ctx)
	defer cancel()
	h.logger.Info().Int("Open", h.server.Open()).Msg(logger.Draining)
	h.loop.post(controller.Leave{})
	cut := h.server.Drain(ctx)
	h.flushOutcomes(h.timer.Now())
	h.awaitIdle(ctx)
	h.shutdown()
	h.logger.Info().Int("Cut", cut).Msg(logger.Stopped)
	return cut
}

const (
	// endReserve is the part of a drain after the end of the requests in progress, in which the process ends.
	endReserve = 900 * time.Millisecond
	// maxReserveShare is the largest share of a drain that is reserved, as 1 / maxReserveShare.
	maxReserveShare = 4
)

// withReserve returns a context that ends before the deadline of ctx, so that the process has exited by then.
func withReserve(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-min(endReserve, time.Until(deadline)/maxReserveShare)))
}

// idleTimeout bounds the wait for pending claim outcomes and reports in Drain.
const idleTimeout = 3 * time.Second

// awaitIdle waits until all pending entries of this host are in the log.
func (h *Host) awaitIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		sleep(ctx, 20*time.Millisecond) // let the loop handle events posted before
		idle := true
		if !h.loop.do(func(_ time.Time, n *controller.Node) { idle = n.Idle() }) || idle {
			return
		}
	}
}

// Close stops the host at once and returns the number of interrupted requests.
func (h *Host) Close() int {
	cut := h.server.Close()
	h.shutdown()
	return cut
}

func (h *Host) shutdown() {
	_ = h.peerServer.Close()
	_ = h.adminServer.Close()
	h.messenger.Close()
	h.cancel()
	h.closeListeners()
	h.goroutines.Wait()
}

// Publish publishes a change of the configuration; see administrator.Control.
func (h *Host) Publish(ctx context.Context, d configurer.Delta) (configurer.Result, bool) {
	return h.loop.Publish(ctx, d)
}

// Serving reports whether the host serves callers and advertises at least a number
// of hosts to them.
func (h *Host) Serving(hosts int) bool {
	snap := h.publisher.Load()
	return snap.Ready && len(snap.Addresses) >= hosts
}

// Current returns this host's current configuration.
func (h *Host) Current() administrator.Configuration { return (&control{host: h}).Current() }

// Revision returns the configuration revision that requests at this host use.
func (h *Host) Revision() uint64 { return h.publisher.Load().Revision }

// Dump returns the state of the host; see administrator.Control.
func (h *Host) Dump() Dump { return (&control{host: h}).dump() }

// Routable reports whether this host would send new requests for a model to an
// engine.
func (h *Host) Routable(model, upstream string) bool {
	pool := h.publisher.Load().Engines[model]
	if pool == nil {
		return false
	}
	for i := range pool.Targets {
		if pool.Targets[i].Name == upstream {
			return pool.Targets[i].Usable
		}
	}
	return false
}

// Reload only logs that settings cannot change while a host runs. The configuration
// can; it is read from the log.
func (h *Host) Reload(loader.Settings) {
	h.logger.Info().Str("Reason", "settings are read at the start only").Msg(logger.ReloadRefused)
}
