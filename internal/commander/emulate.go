// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/emulator"
	"amaranthgate.example/amaranthgate/internal/deployment"
)

func (e *env) emulateCommand() *cli.Command {
	return &cli.Command{
		Name:  "emulate",
		Usage: "emulate the platform and the upstreams for several hosts on one machine",
		Description: "Prints the URL for Log and HostList in the hosts' settings. With --configuration, writes a\n" +
			"configuration document for the upstreams. PUT /v1/hosts/{name} adds a host to the list;\n" +
			"PUT /faults/log injects faults into the log.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "latency", Value: 2 * time.Millisecond, Usage: "`TIME` per append to the log"},
			&cli.DurationFlag{Name: "retention", Value: 24 * time.Hour, Usage: "retention `TIME` of log records"},
			&cli.IntFlag{Name: "engines", Value: 2, Usage: "`NUMBER` of engines"},
			&cli.IntFlag{Name: "services", Value: 1, Usage: "`NUMBER` of plain services"},
			&cli.StringFlag{Name: "configuration", Usage: "output `FILE` for the configuration document"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			d, err := deployment.StartUpstreams(deployment.Options{
				Engines: c.Int("engines"), Services: c.Int("services"),
				LogLatency: c.Duration("latency"), Retention: c.Duration("retention"),
				Engine: emulator.EngineOptions{PrefillRate: 20000, TokenInterval: 25 * time.Millisecond, LoadTime: time.Second},
			})
			if err != nil {
				return err
			}
			defer d.Close()
			if path := c.String("configuration"); path != "" {
				if err := os.WriteFile(path, d.Document.Encode(), 0o644); err != nil {
					return err
				}
			}
			fmt.Fprintf(e.out, "platform at %s\n", d.Platform)
			<-ctx.Done()
			return nil
		},
	}
}
