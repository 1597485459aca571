// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/explainer"
)

func (e *env) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from logs what became of requests, and why",
		ArgsUsage: "LOG...",
		Description: "Reads the logs of one or more hosts and prints the end of the request, the upstreams\n" +
			"that were tried and why they were chosen, and what the host learned just before.\n" +
			"Without --request it counts all requests that failed or were late by their causes.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "`ID` of the request"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var lines []explainer.Line
			for _, path := range c.Args().Slice() {
				got, err := readLog(path)
				if err != nil {
					return err
				}
				lines = append(lines, got...)
			}
			if c.String("request") == "" {
				fmt.Fprint(e.out, explainer.Summarize(lines))
				return nil
			}
			story, ok := explainer.Explain(lines, c.String("request"))
			if !ok {
				return errors.New("no line of these logs names the request")
			}
			fmt.Fprint(e.out, story)
			return nil
		},
	}
}

func readLog(path string) ([]explainer.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, withCode(ExitUsage, err)
	}
	defer func() { _ = f.Close() }() // it was only read
	return explainer.Read(f, path)
}
