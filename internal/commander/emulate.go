// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/emulator"
)

func (e *env) emulateCommand() *cli.Command {
	return &cli.Command{
		Name:  "emulate",
		Usage: "run a stand-in for the platform: its log and host list, in memory",
		Description: "For trying out several processes on one machine. Hosts are put on the list by\n" +
			"PUT /v1/hosts/{name}; faults of the log are set by PUT /faults/log.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to listen on"},
			&cli.DurationFlag{Name: "latency", Value: 2 * time.Millisecond, Usage: "`TIME` of an append"},
			&cli.DurationFlag{Name: "retention", Value: 24 * time.Hour, Usage: "`TIME` for which records are kept"},
			&cli.DurationFlag{Name: "lag", Value: time.Second, Usage: "`TIME` by which the host list lags"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			l, err := net.Listen("tcp", c.String("listen"))
			if err != nil {
				return err
			}
			log := emulator.NewLog(emulator.LogOptions{Latency: c.Duration("latency"), Retention: c.Duration("retention")})
			fmt.Fprintf(e.out, "platform at http://%s\n", l.Addr())
			srv := &http.Server{Handler: emulator.PlatformHandler(log, emulator.NewHostList(c.Duration("lag"))), ReadHeaderTimeout: 10 * time.Second}
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			go func() {
				<-ctx.Done()
				_ = srv.Close()
			}()
			if err := srv.Serve(l); err != http.ErrServerClosed {
				return err
			}
			return nil
		},
	}
}
