// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/explainer"
)

func (e *env) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain how requests ended, from log files",
		ArgsUsage: "LOG...",
		Description: "Reads the logs of one or more hosts and prints how the request ended, which upstreams\n" +
			"were tried and why they were chosen, and what the host logged shortly before.\n" +
			"Without --request, counts all failed and late requests by cause.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "`ID` of the request"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			lines, err := readLogs(c.Args().Slice())
			if err != nil {
				return err
			}
			if c.String("request") == "" {
				fmt.Fprint(e.out, explainer.Summarize(lines))
				return nil
			}
			explanation, ok := explainer.Explain(lines, c.String("request"))
			if !ok {
				return errors.New("the request does not occur in these logs")
			}
			fmt.Fprint(e.out, explanation)
			return nil
		},
	}
}

func (e *env) accountCommand() *cli.Command {
	return &cli.Command{
		Name:      "account",
		Usage:     "count late, failed and refused requests by time and cause, from log files",
		ArgsUsage: "LOG...",
		Description: "Reads the logs of one or more hosts. For each route and time span, counts requests by\n" +
			"outcome, and late, failed and refused requests by cause. Ends with a summary of the\n" +
			"estimates for cached context. Omits spans without late, failed or refused requests.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "span", Value: 2 * time.Second, Usage: "`TIME` per span"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Duration("span") <= 0 {
				return withExitCode(ExitUsage, errors.New("--span must be more than 0"))
			}
			lines, err := readLogs(c.Args().Slice())
			if err != nil {
				return err
			}
			fmt.Fprint(e.out, explainer.Tally(lines, c.Duration("span")))
			return nil
		},
	}
}

func readLogs(paths []string) ([]explainer.Line, error) {
	var lines []explainer.Line
	for _, path := range paths {
		got, err := readLog(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, got...)
	}
	return lines, nil
}

func readLog(path string) ([]explainer.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	defer func() { _ = f.Close() }() // the file was only read
	return explainer.Read(f, path)
}
