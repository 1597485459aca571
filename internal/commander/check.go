// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/internal/strictjson"
)

func (e *env) checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check settings and configuration documents",
		Description: "Prints each fault with its line number and exits with 2 if there are any.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "settings", Usage: "`FILE` with host settings"},
			&cli.StringSliceFlag{Name: "configuration", Usage: "`FILE` with a configuration document"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var lastErr error
			files := 0
			for _, path := range c.StringSlice("settings") {
				files++
				if _, err := e.readSettings(path); err != nil {
					lastErr = err
				}
			}
			for _, path := range c.StringSlice("configuration") {
				files++
				if _, err := e.readDocument(path); err != nil {
					lastErr = err
				}
			}
			if files == 0 {
				return withExitCode(ExitUsage, errors.New("nothing to check: give --settings or --configuration"))
			}
			if lastErr == nil {
				fmt.Fprintf(e.out, "%d files are valid\n", files)
			}
			return lastErr
		},
	}
}

// readDocument reads a configuration document and prints all faults.
func (e *env) readDocument(path string) (*configurer.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	doc, faults := configurer.Parse(text)
	if len(faults) > 0 {
		return nil, withExitCode(ExitUsage, e.printFaults(path, faults))
	}
	return doc, nil
}

func (e *env) printFaults(path string, faults []strictjson.Fault) error {
	for _, f := range faults {
		fmt.Fprintf(e.err, "%s: %s\n", path, f)
	}
	return errors.Errorf("%s has %d faults", path, len(faults))
}
