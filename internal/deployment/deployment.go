// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package deployment runs a small system in one process on loopback: emulated
// platform and upstreams, and hosts. Tests and experiments use it.
//
// # Usage
//
//	d, err := deployment.Start(ctx, deployment.Options{Hosts: 3, Engines: 2, Services: 1})
//	defer d.Close()
//	resp, err := http.Post("http://"+d.Callers(0)+"/v1/completions", ...)
package deployment

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/connector"
	"amaranthgate.example/amaranthgate/emulator"
	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/freeport"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/runner"
)

// Names, secrets and defaults of a deployment.
const (
	Model              = "gate-small"
	Version            = "v1"
	Service            = "Booking"
	Workspace          = "demo"
	Token              = "demo-token"
	Operator           = "demo-operator"
	WeightStore        = "weights"
	PeerSecret         = "demo-peer-secret-0123456789"
	BlockSecret        = "demo-block-secret-0123456789"
	zones              = 3
	readyTimeout       = 15 * time.Second
	defaultPrefillRate = 20000 // defaultPrefillRate is in tokens per second.
	bytesPerToken      = 131072
)

// Options configures a deployment. The zero value starts three hosts without upstreams.
type Options struct {
	Hosts      int // Hosts defaults to 3.
	Engines    int
	Services   int
	Engine     emulator.EngineOptions // Engine configures all engines.
	LogLatency time.Duration
	Retention  time.Duration
	Logs       io.Writer                   // Logs receives the hosts' logs; nil discards them.
	Settings   func(*loader.Settings)      // Settings modifies the settings of each host.
	Document   func(*configurer.Document)  // Document modifies the configuration before it is published.
	Wrap       func(address string) string // Wrap returns the address to use for an upstream.
}

// Deployment is a running system.
type Deployment struct {
	Platform string // Platform is the URL of the log and the host list.
	Log      *emulator.Log
	List     *emulator.HostList
	Engines  []*emulator.Engine
	Services []*emulator.Service
	Hosts    []*runner.Host
	Document *configurer.Document

	listeners []net.Listener
}

// Start starts a system and waits until all hosts are serving.
func Start(ctx context.Context, opts Options) (*Deployment, error) {
	if opts.Hosts == 0 {
		opts.Hosts = 3
	}
	if opts.Logs == nil {
		opts.Logs = io.Discard
	}
	d, err := StartUpstreams(opts)
	if err != nil {
		return nil, err
	}
	for i := range opts.Hosts {
		if _, err := d.StartHost(i, opts); err != nil {
			d.Close()
			return nil, err
		}
	}
	if err := d.publishInitial(ctx, opts.Hosts); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// StartUpstreams starts only the platform and the upstreams, and sets Document.
func StartUpstreams(opts Options) (*Deployment, error) {
	d := &Deployment{
		Log:  emulator.NewLog(emulator.LogOptions{Latency: opts.LogLatency, Retention: opts.Retention}),
		List: emulator.NewHostList(100 * time.Millisecond),
	}
	platform, err := d.serve(emulator.PlatformHandler(d.Log, d.List))
	if err != nil {
		return nil, err
	}
	d.Platform = "http://" + platform
	d.Document = baseDocument()
	if err := d.addUpstreams(opts); err != nil {
		d.Close()
		return nil, err
	}
	if opts.Document != nil {
		opts.Document(d.Document)
	}
	return d, nil
}

func (d *Deployment) addUpstreams(opts Options) error {
	if opts.Wrap == nil {
		opts.Wrap = func(a string) string { return a }
	}
	for i := range opts.Engines {
		eng := newEngine(opts.Engine, i)
		address, err := d.serve(eng.Handler())
		if err != nil {
			return err
		}
		d.Engines = append(d.Engines, eng)
		d.Document.Upstreams = append(d.Document.Upstreams, engineUpstream(opts.Engine, i, opts.Wrap(address)))
	}
	for i := range opts.Services {
		svc := emulator.NewService()
		address, err := d.serve(svc.Handler())
		if err != nil {
			return err
		}
		d.Services = append(d.Services, svc)
		d.Document.Upstreams = append(d.Document.Upstreams, configurer.Upstream{
			Name: fmt.Sprintf("booking-%d", i+1), Kind: configurer.KindService, Service: Service,
			Address: opts.Wrap(address), AvailabilityZone: Zone(i), Slots: 256,
		})
	}
	return nil
}

func newEngine(opts emulator.EngineOptions, i int) *emulator.Engine {
	opts.Name = engineName(i)
	opts.ChecksFencing = i%2 == 0
	if opts.Models == nil {
		opts.Models = []wire.LoadedModel{{Name: Model, Version: Version}}
	}
	return emulator.NewEngine(opts)
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

// Zone returns the availability zone of the i-th host or upstream.
func Zone(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%zones) }

func engineUpstream(opts emulator.EngineOptions, i int, address string) configurer.Upstream {
	rate := opts.PrefillRate
	if rate == 0 {
		rate = defaultPrefillRate
	}
	slots := opts.Slots
	if slots == 0 {
		slots = 8
	}
	return configurer.Upstream{
		Name: engineName(i), Kind: configurer.KindEngine, Address: address, AvailabilityZone: Zone(i),
		Models: []string{Model}, WeightStore: WeightStore, Slots: slots, ChecksFencing: i%2 == 0,
		PrefillRate: rate, LinkRate: 1e11, BytesPerToken: bytesPerToken, StoreBlocks: 20000,
	}
}

// baseDocument returns a configuration without upstreams.
func baseDocument() *configurer.Document {
	d := func(v time.Duration) duration.Duration { return duration.Duration(v) }
	return &configurer.Document{
		Classes: []configurer.Class{
			{Name: "Interactive", Rank: 0, Weight: 4, Reserved: 0.2, Deadline: d(30 * time.Second)},
			{Name: "Batch", Rank: 1, Weight: 1, Deadline: d(10 * time.Minute)},
		},
		Workspaces: []configurer.Workspace{{
			Name: Workspace, TokenDigests: []string{configurer.TokenDigest(Token)}, Classes: []string{"Interactive", "Batch"},
			Weight: 1, RequestsPerSecond: 1000, Burst: 1000, Concurrency: 1000,
		}},
		Models:   []configurer.Model{{Name: Model, Version: Version}},
		Services: []configurer.Service{{Name: Service, Repeatable: false}},
		Routing:  configurer.RoutingWeights{Time: 1, Recompute: 0.5, Link: 0.5, FarZone: d(2 * time.Millisecond)},
		Retry:    configurer.RetryPolicy{BudgetShare: 0.1, Attempts: 3},
		Claims:   configurer.ClaimPolicy{Window: d(time.Hour), Timeout: d(time.Minute), KeptBytes: 4096},
		Loads:    configurer.LoadPolicy{AtOnce: 3},
	}
}

// HostSettings returns the settings of the i-th host.
func (d *Deployment) HostSettings(i int, opts Options) loader.Settings {
	s := loader.Default()
	s.Host = fmt.Sprintf("host-%d", i+1)
	s.AvailabilityZone = Zone(i)
	s.PeerSecret, s.BlockSecret = PeerSecret, BlockSecret
	s.OperatorDigests = []string{configurer.TokenDigest(Operator)}
	s.Log, s.HostList = d.Platform, d.Platform
	s.Timing.AddressTTL = duration.Duration(500 * time.Millisecond)
	if opts.Settings != nil {
		opts.Settings(&s)
	}
	return s
}

// StartHost starts the i-th host and adds it to the host list.
func (d *Deployment) StartHost(i int, opts Options) (*runner.Host, error) {
	s := d.HostSettings(i, opts)
	logs := opts.Logs
	if logs == nil {
		logs = io.Discard
	}
	h := runner.New(s, zerolog.New(logs).With().Timestamp().Logger())
	if err := h.Start(); err != nil {
		return nil, err
	}
	d.List.PutHost(connector.ListedHost{Host: s.Host, Address: h.Addresses().Peers, AvailabilityZone: s.AvailabilityZone, State: connector.ListedLive})
	d.Hosts = append(d.Hosts, h)
	return h, nil
}

// serve serves a handler on a port that nobody else gets while this process is running.
func (d *Deployment) serve(h http.Handler) (string, error) {
	l, err := freeport.Listen()
	if err != nil {
		return "", err
	}
	d.listeners = append(d.listeners, l)
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}).Serve(l) }()
	return l.Addr().String(), nil
}

// publishInitial publishes the document and waits until all hosts are serving.
func (d *Deployment) publishInitial(ctx context.Context, hosts int) error {
	delta, err := configurer.NewDelta("first", "deployment", 0, nil, d.Document)
	if err != nil {
		return err
	}
	return d.publish(ctx, delta, func(h *runner.Host, _ uint64) bool { return h.Serving(hosts) })
}

// Publish publishes a change of the document and waits until all hosts have applied it.
func (d *Deployment) Publish(ctx context.Context, change func(*configurer.Document)) error {
	cur := d.Hosts[0].Current()
	next := *cur.Document
	change(&next)
	delta, err := configurer.NewDelta(fmt.Sprintf("change-%d", cur.Revision), "deployment", cur.Revision, cur.Document, &next)
	if err != nil {
		return err
	}
	return d.publish(ctx, delta, func(h *runner.Host, revision uint64) bool { return h.Revision() >= revision })
}

// publish publishes a change and waits until ready is true for all hosts.
func (d *Deployment) publish(ctx context.Context, delta configurer.Delta, ready func(h *runner.Host, revision uint64) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	res, ok := d.Hosts[0].Publish(ctx, delta)
	if !ok || res.Fate != configurer.FateAccepted {
		return errors.Errorf("deployment: the configuration change was not accepted: %+v", res)
	}
	return d.wait(ctx, func() bool {
		for _, h := range d.Hosts {
			if !ready(h, res.Revision) {
				return false
			}
		}
		return true
	})
}

func (d *Deployment) wait(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return errors.New("deployment: timed out waiting for the hosts")
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

// Callers returns the i-th host's address for callers.
func (d *Deployment) Callers(i int) string { return d.Hosts[i].Addresses().Callers }

// Close drains all hosts concurrently and stops the platform and the upstreams.
func (d *Deployment) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range d.Hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.Drain(ctx)
		}()
	}
	wg.Wait()
	for _, l := range d.listeners {
		_ = l.Close()
	}
}
