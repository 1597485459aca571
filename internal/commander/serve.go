// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/internal/reloader"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/runner"
)

func (e *env) serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one host",
		Description: "Runs until SIGTERM or SIGINT, then drains: the host is no longer advertised to callers,\n" +
			"serves requests that still arrive and exits when idle. A second signal aborts open\n" +
			"requests and reports their number (exit code 3).",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE`, JSON with comments"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := e.readSettings(c.String("settings"))
			if err != nil {
				return err
			}
			var h host = runner.New(s, logger.New(e.err, s.LogLevel).Logger)
			if s.Platform != nil {
				h = newPlatformHost(s, e.out)
			}
			if err := h.Start(); err != nil {
				return err
			}
			return runUntilSignal(ctx, h, s, func() { e.reload(c.String("settings"), h) })
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

// runUntilSignal waits for SIGTERM, SIGINT or the end of ctx, then drains the host.
// A second signal ends the drain.
func runUntilSignal(ctx context.Context, h host, s loader.Settings, reload func()) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	for running := true; running; {
		select {
		case <-reloader.Requests():
			reload()
		case <-signals:
			running = false
		case <-ctx.Done():
			running = false
		}
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Timing.DrainTimeout.Std())
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-drainCtx.Done():
		}
	}()
	if cut := h.Drain(drainCtx); cut > 0 {
		return withExitCode(ExitCut, errors.Errorf("%d requests were cut", cut))
	}
	return nil
}
