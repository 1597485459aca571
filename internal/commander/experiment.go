// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/experimenter"
)

func (e *env) experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure the system on this machine",
		Commands: []*cli.Command{
			{
				Name:  "forward",
				Usage: "what a host adds to a direct call of the same engine",
				Flags: []cli.Flag{
					&cli.FloatFlag{Name: "rate", Value: 1000, Usage: "`REQUESTS` per second"},
					&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "`TIME` to measure"},
					&cli.IntFlag{Name: "tokens", Value: 8, Usage: "`TOKENS` of each answer"},
					&cli.IntFlag{Name: "prompt", Value: 2000, Usage: "`BYTES` of each prompt"},
					&cli.DurationFlag{Name: "spacing", Usage: "`TIME` between tokens"},
					&cli.IntFlag{Name: "streams", Value: 500, Usage: "open `STREAMS` for the memory of each"},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					r, err := experimenter.Forward(ctx, experimenter.ForwardOptions{
						Rate: c.Float("rate"), For: c.Duration("for"), Tokens: c.Int("tokens"), Prompt: c.Int("prompt"), Streams: c.Int("streams"), Spacing: c.Duration("spacing"),
					})
					if err == nil {
						r.Print(e.out)
					}
					return err
				},
			},
		},
	}
}
