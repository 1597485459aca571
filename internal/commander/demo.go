// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/platform/demonstrator"
)

func (e *env) demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small complete system in one process",
		Description: "Runs three hosts as deployed, with emulators of the users' store, of two engines with prompt\n" +
			"caches and of a plain service. Shows a caller that returns after a gap, the evacuation of an\n" +
			"availability zone and restarts of engines, then prints commands to try. Exits on SIGINT or\n" +
			"SIGTERM, or after the time given by --for.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "exit after `TIME`"},
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

func (e *env) demo(ctx context.Context, logs io.Writer) error {
	d, err := startDemo(ctx, logs)
	if err != nil {
		return err
	}
	defer d.Close()
	fprintln(e.out, "A small system runs in this process: three hosts, two engines, a plain service.")
	if err := d.Tour(ctx, e.out); err != nil && ctx.Err() == nil {
		return err
	}
	if err := d.WriteCommands(e.out); err != nil {
		return err
	}
	<-ctx.Done()
	fprintln(e.out, "ending: the hosts drain")
	return nil
}

func startDemo(ctx context.Context, logs io.Writer) (*demonstrator.Demonstration, error) {
	newHost := func(s loader.Settings, logs io.Writer) demonstrator.Host { return newPlatformHost(s, logs) }
	return demonstrator.Start(ctx, demonstrator.Options{NewHost: newHost, Logs: logs})
}
