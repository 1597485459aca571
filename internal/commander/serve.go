// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/internal/receiver"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/runner"
	"amaranthgate.example/amaranthgate/timer"
)

func (e *env) serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one host",
		Description: "Runs until SIGTERM or SIGINT, then drains: the host is no longer advertised to callers,\n" +
			"serves requests that still arrive and exits when idle. Further signals do not shorten a\n" +
			"drain that SIGTERM began or that SIGTERM came to. At a terminal, a further SIGINT, 1 s or\n" +
			"more after the first, aborts open requests and reports their number (exit code 3). SIGHUP\n" +
			"reads the settings again; it is ignored during a drain.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE`, JSON with comments"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := e.readSettings(c.String("settings"))
			if err != nil {
				return err
			}
			log := logger.New(e.err, s.LogLevel)
			var h host = runner.New(s, log.Logger)
			if s.Platform != nil {
				p := newPlatformHost(s, e.out)
				h, log = p, p.log
			}
			signals := newSignalHandler(log) // before the listeners open
			if err := h.Start(); err != nil {
				return err
			}
			return runUntilSignal(ctx, h, s, signals, func() { e.reload(c.String("settings"), h) })
		},
	}
}

// host is a host on the users' platform or with the built-in log.
type host interface {
	Start() error
	// Reload applies the settings that may change while the host is running.
	Reload(s loader.Settings)
	// Drain shuts down gracefully and returns the number of aborted requests.
	Drain(ctx context.Context) int
}

// readSettings reads a settings file and prints all faults.
func (e *env) readSettings(path string) (loader.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return loader.Settings{}, withExitCode(ExitUsage, err)
	}
	s, faults := loader.Parse(text)
	if len(faults) > 0 {
		return s, withExitCode(ExitUsage, e.printFaults(path, faults))
	}
	return s, nil
}

// reload reads the settings again and applies them unless they have faults.
func (e *env) reload(path string, h host) {
	s, err := e.readSettings(path)
	if err != nil {
		return // the faults have been printed
	}
	h.Reload(s)
}

// runUntilSignal serves until SIGTERM, SIGINT or the end of ctx, then drains the host. Further signals have the effects
// that receiver.Policy gives them.
func runUntilSignal(ctx context.Context, h host, s loader.Settings, signals *signalHandler, reload func()) error {
	for signals.next(ctx) == receiver.Reload {
		reload()
	}
	ctx = context.WithoutCancel(ctx)
	drainCtx, cut := context.WithTimeout(ctx, s.Timing.DrainTimeout.Std())
	defer cut()
	signalCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for signalCtx.Err() == nil {
			if signals.next(signalCtx) == receiver.Cut {
				cut()
			}
		}
	}()
	if n := h.Drain(drainCtx); n > 0 {
		return withExitCode(ExitCut, errors.Errorf("%d requests were cut", n))
	}
	return nil
}

// signalHandler decides on the effects of signals and logs them. Only one goroutine at a time may wait for signals.
type signalHandler struct {
	signals *receiver.Receiver
	policy  receiver.Policy
	counts  map[receiver.Signal]int // counts has the number of signals of each kind.
	clock   timer.Service
	log     *logger.Logger

	mu     sync.Mutex
	uptime receiver.Uptime
}

// newSignalHandler returns a handler. From the call on, signals do not end the process.
func newSignalHandler(log *logger.Logger) *signalHandler {
	h := &signalHandler{signals: receiver.Received(), counts: make(map[receiver.Signal]int), clock: timer.NewSystem(), log: log}
	h.clock.Every(receiver.TickInterval, func(now time.Time) { h.ranUntil(now) }) // until the process exits
	return h
}

// ranUntil reads the uptime.
func (h *signalHandler) ranUntil(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.uptime = h.uptime.At(now)
	return h.uptime.Now()
}

// next waits for a signal and returns its effect. The end of ctx has the effect of SIGTERM.
func (h *signalHandler) next(ctx context.Context) (effect receiver.Effect) {
	sig := h.signals.Next(ctx)
	if sig == receiver.None {
		h.policy, effect = h.policy.Take(receiver.Terminate, h.ranUntil(h.clock.Now()))
		return effect
	}
	h.counts[sig]++
	h.policy, effect = h.policy.Take(sig, h.ranUntil(h.clock.Now()))
	h.log.Info().Str("Signal", string(sig)).Str("Effect", string(effect)).Int("Count", h.counts[sig]).Msg(logger.SignalReceived)
	return effect
}
