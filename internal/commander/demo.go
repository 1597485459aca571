// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/emulator"
	"amaranthgate.example/amaranthgate/internal/deployment"
)

// Sizes of the demonstration.
const (
	demoHosts   = 3
	demoEngines = 2
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

func (e *env) demo(ctx context.Context, logs io.Writer) error {
	d, err := startDemo(ctx, logs)
	if err != nil {
		return err
	}
	e.printDemo(d)
	<-ctx.Done()
	fprintln(e.out, "ending: the hosts drain")
	d.Close()
	return nil
}

func startDemo(ctx context.Context, logs io.Writer) (*deployment.Deployment, error) {
	return deployment.Start(ctx, deployment.Options{
		Hosts:      demoHosts,
		Engines:    demoEngines,
		Services:   1,
		LogLatency: 2 * time.Millisecond,
		Engine:     emulator.EngineOptions{PrefillRate: 20000, TokenInterval: 25 * time.Millisecond, LoadTime: time.Second},
		Logs:       logs,
	})
}

func (e *env) printDemo(d *deployment.Deployment) {
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
`, demoHosts, demoEngines, a.Callers, deployment.Token, deployment.Model, a.Operators, deployment.Operator)
}
