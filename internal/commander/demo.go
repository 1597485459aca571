// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/connector"
	"amaranthgate.example/amaranthgate/emulator"
	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/runner"
)

// Names and tokens of the demonstration.
const (
	demoModel    = "gate-small"
	demoVersion  = "v1"
	demoToken    = "demo-token"
	demoOperator = "demo-operator"
	demoHosts    = 3
	demoEngines  = 2
	demoZones    = 3
)

func (e *env) demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole small system in one process",
		Description: "A platform in memory, two engines and one plain service, all stand-ins, and three hosts on\n" +
			"loopback. Prints addresses and lines to try. Ends with SIGINT or SIGTERM, or after --for.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "end after this `TIME`"},
			&cli.BoolFlag{Name: "logs", Usage: "print the hosts' logs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			if d := c.Duration("for"); d > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, d)
				defer cancel()
			}
			logs := io.Discard
			if c.Bool("logs") {
				logs = e.err
			}
			return e.demo(ctx, logs)
		},
	}
}

// Demo is a running demonstration.
type Demo struct {
	Hosts     []*runner.Host
	Engines   []*emulator.Engine
	Service   *emulator.Service
	Log       *emulator.Log
	listeners []net.Listener
}

func (e *env) demo(ctx context.Context, logs io.Writer) error {
	d, err := StartDemo(ctx, logs)
	if err != nil {
		return err
	}
	e.printDemo(d)
	<-ctx.Done()
	fprintln(e.out, "ending: the hosts drain")
	d.Close()
	return nil
}

// StartDemo starts a demonstration and waits until it is ready.
func StartDemo(ctx context.Context, logs io.Writer) (*Demo, error) {
	d := &Demo{Service: emulator.NewService(), Log: emulator.NewLog(emulator.LogOptions{Latency: 2 * time.Millisecond})}
	list := emulator.NewHostList(100 * time.Millisecond)
	platform, err := d.serve(platformHandler(d.Log, list))
	if err != nil {
		return nil, err
	}
	doc, err := d.startUpstreams()
	if err != nil {
		return nil, err
	}
	for i := range demoHosts {
		s := demoSettings(i, "http://"+platform)
		h := runner.New(s, newLogger(logs, s.LogLevel))
		if err := h.Start(); err != nil {
			return nil, err
		}
		list.PutHost(connector.ListedHost{Host: s.Host, Address: h.Addresses().Peers, AvailabilityZone: s.AvailabilityZone, State: connector.ListedLive})
		d.Hosts = append(d.Hosts, h)
	}
	return d, d.publish(ctx, doc)
}

func demoSettings(i int, platform string) loader.Settings {
	s := loader.Default()
	s.Host = fmt.Sprintf("host-%d", i+1)
	s.AvailabilityZone = zoneName(i)
	s.PeerSecret = "demo-peer-secret-0123456789"
	s.BlockSecret = "demo-block-secret-0123456789"
	s.OperatorDigests = []string{configurer.TokenDigest(demoOperator)}
	s.Log, s.HostList = platform, platform
	s.Timing.AddressTTL = duration.Duration(time.Second)
	return s
}

func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%demoZones) }

// serve serves a handler on a port that the system picks.
func (d *Demo) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	d.listeners = append(d.listeners, l)
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}).Serve(l) }()
	return l.Addr().String(), nil
}

// startUpstreams starts the stand-ins and returns the document about them.
func (d *Demo) startUpstreams() (*configurer.Document, error) {
	doc := demoDocument()
	for i := range demoEngines {
		name := fmt.Sprintf("engine-%d", i+1)
		eng := emulator.NewEngine(emulator.EngineOptions{
			Name:          name,
			Models:        []wire.LoadedModel{{Name: demoModel, Version: demoVersion}},
			PrefillRate:   20000,
			TokenInterval: 25 * time.Millisecond,
			LoadTime:      time.Second,
			ChecksFencing: i == 0,
		})
		address, err := d.serve(eng.Handler())
		if err != nil {
			return nil, err
		}
		d.Engines = append(d.Engines, eng)
		doc.Upstreams = append(doc.Upstreams, configurer.Upstream{
			Name: name, Kind: configurer.KindEngine, Address: address, AvailabilityZone: zoneName(i),
			Models: []string{demoModel}, WeightStore: "weights", Slots: 8, ChecksFencing: i == 0,
			PrefillRate: 20000, LinkRate: 1e9, BytesPerToken: 131072,
		})
	}
	address, err := d.serve(d.Service.Handler())
	if err != nil {
		return nil, err
	}
	doc.Upstreams = append(doc.Upstreams, configurer.Upstream{
		Name: "booking-1", Kind: configurer.KindService, Service: "Booking", Address: address, AvailabilityZone: zoneName(0), Slots: 32,
	})
	return doc, nil
}

// demoDocument returns the configuration without upstreams.
func demoDocument() *configurer.Document {
	d := func(v time.Duration) duration.Duration { return duration.Duration(v) }
	return &configurer.Document{
		Classes: []configurer.Class{
			{Name: "Interactive", Rank: 0, Weight: 4, Reserved: 0.2, Deadline: d(30 * time.Second)},
			{Name: "Batch", Rank: 1, Weight: 1, Deadline: d(10 * time.Minute)},
		},
		Workspaces: []configurer.Workspace{{
			Name: "demo", TokenDigests: []string{configurer.TokenDigest(demoToken)}, Classes: []string{"Interactive", "Batch"},
			Weight: 1, RequestsPerSecond: 100, Burst: 200, Concurrency: 100,
		}},
		Models:   []configurer.Model{{Name: demoModel, Version: demoVersion}},
		Services: []configurer.Service{{Name: "Booking", Repeatable: false}},
		Routing:  configurer.RoutingWeights{Time: 1, Recompute: 0.5, Link: 0.5, FarZone: d(2 * time.Millisecond)},
		Retry:    configurer.RetryPolicy{BudgetShare: 0.1, Attempts: 3},
		Claims:   configurer.ClaimPolicy{Window: d(time.Hour), Timeout: d(time.Minute), KeptBytes: 4096},
	}
}

// publish puts the document into force on all hosts.
func (d *Demo) publish(ctx context.Context, doc *configurer.Document) error {
	delta, err := configurer.NewDelta("demo", "demo", 0, nil, doc)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	res, ok := d.Hosts[0].Publish(ctx, delta)
	if !ok || res.Fate != configurer.FateAccepted {
		return errors.Errorf("the configuration did not come into force: %+v", res)
	}
	for _, h := range d.Hosts {
		for !h.Serving(demoHosts) {
			select {
			case <-ctx.Done():
				return errors.New("the hosts did not find each other in time")
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// Close drains all hosts at once and ends the stand-ins.
func (d *Demo) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var all sync.WaitGroup
	for _, h := range d.Hosts {
		all.Add(1)
		go func() {
			defer all.Done()
			h.Drain(ctx)
		}()
	}
	all.Wait()
	for _, l := range d.listeners {
		_ = l.Close()
	}
}

func (e *env) printDemo(d *Demo) {
	a := d.Hosts[0].Addresses()
	fmt.Fprintf(e.out, `A small system runs in this process: %d hosts, %d engines, 1 plain service.

A streamed answer:
  curl -N http://%[3]s/v1/completions -H 'Authorization: Bearer %[4]s' \
    -d '{"model":"%[5]s","prompt":"Good morning","max_tokens":12,"stream":true}'
The same by a caller that asks for addresses and fails over:
  amaranthgate send --seed %[3]s --token %[4]s --model %[5]s --prompt 'Good morning'
A call of a plain service that runs only once, whoever repeats it:
  curl http://%[3]s/services/Booking/slots -H 'Authorization: Bearer %[4]s' \
    -H 'Idempotency-Key: slot-7' -d 'Tuesday 9:30'
A refusal that says whether the request ran:
  curl http://%[3]s/v1/completions -H 'Authorization: Bearer %[4]s' -d '{"model":"none","prompt":"x"}'
The hosts to use:
  curl http://%[3]s/v1/addresses
The state of a host:
  amaranthgate dump --operators %[6]s --token %[7]s
The console (any user name, password %[7]s):
  http://%[6]s/
`, demoHosts, demoEngines, a.Callers, demoToken, demoModel, a.Operators, demoOperator)
}
