// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/experimenter"
)

func (e *env) overloadCommand() *cli.Command {
	o := experimenter.DefaultOverload()
	return &cli.Command{
		Name:  "overload",
		Usage: "measure what callers get and which requests hosts refuse under overload, in virtual time",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Value: []int{1, 6, 60}, Usage: "`NUMBERS` of hosts"},
			&cli.FloatSliceFlag{Name: "load", Value: []float64{o.Load}, Usage: "`REQUESTS` per second of all callers, without retries; only for Steady, Start, Partition and Loss"},
			&cli.StringSliceFlag{Name: "scenario", Value: []string{string(o.Scenario)}, Usage: fmt.Sprintf("`NAMES` out of %v, or All", experimenter.OverloadScenarios)},
			&cli.StringSliceFlag{Name: "variant", Value: []string{string(o.Variant)}, Usage: fmt.Sprintf("`NAMES` out of %v, or All", experimenter.OverloadVariants)},
			&cli.IntFlag{Name: "seeds", Value: 20, Usage: "`NUMBER` of seeds"},
			&cli.Uint64Flag{Name: "seed", Value: o.Seed, Usage: "first `SEED`"},
			&cli.IntFlag{Name: "engines", Value: o.Engines, Usage: "`NUMBER` of engines"},
			&cli.IntFlag{Name: "slots", Value: o.Slots, Usage: "`NUMBER` of slots of an engine"},
			&cli.DurationFlag{Name: "service-time", Value: o.ServiceTime, Usage: "`TIME` that an engine takes for a request"},
			&cli.DurationFlag{Name: "objective", Value: o.Objective, Usage: "`TIME` within which an answer is in time"},
			&cli.DurationFlag{Name: "deadline", Value: o.Deadline, Usage: "`TIME` after which callers want no answer"},
			&cli.IntFlag{Name: "ranks", Value: o.Ranks, Usage: "`NUMBER` of classes, with the same load"},
			&cli.IntFlag{Name: "workspaces", Value: o.Workspaces, Usage: "`NUMBER` of workspaces; the first has half of the load"},
			&cli.IntFlag{Name: "retries", Value: o.Retries, Usage: "`NUMBER` of retries of a refused request"},
			&cli.DurationFlag{Name: "for", Value: o.For, Usage: "`TIME` in which requests arrive"},
			&cli.IntFlag{Name: "workers", Value: 4, Usage: "`NUMBER` of seeds to simulate in parallel"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			scenarios, err := pickNames(experimenter.OverloadScenarios, c.StringSlice("scenario"))
			if err != nil {
				return err
			}
			variants, err := pickNames(experimenter.OverloadVariants, c.StringSlice("variant"))
			if err != nil {
				return err
			}
			var results []experimenter.OverloadResult
			for _, scenario := range scenarios {
				for _, hosts := range c.IntSlice("hosts") {
					for _, load := range c.FloatSlice("load") {
						for _, variant := range variants {
							results = append(results, experimenter.Overload(experimenter.OverloadOptions{
								Scenario: scenario, Variant: variant, Hosts: hosts, Load: load, Seed: c.Uint64("seed"),
								Engines: c.Int("engines"), Slots: c.Int("slots"), ServiceTime: c.Duration("service-time"),
								Objective: c.Duration("objective"), Deadline: c.Duration("deadline"), Ranks: max(c.Int("ranks"), 1),
								Workspaces: max(c.Int("workspaces"), 1), Retries: c.Int("retries"), For: c.Duration("for"),
							}, max(c.Int("seeds"), 1), max(c.Int("workers"), 1)))
						}
					}
				}
			}
			experimenter.PrintOverload(e.out, results)
			return nil
		},
	}
}

// pickNames returns the named values out of all, or all of them if one name is All.
func pickNames[T ~string](all []T, names []string) ([]T, error) {
	var out []T
	for _, name := range names {
		switch {
		case name == "All":
			return all, nil
		case !slices.Contains(all, T(name)):
			return nil, withExitCode(ExitUsage, fmt.Errorf("commander: %q is not one of %v", name, all))
		}
		out = append(out, T(name))
	}
	return out, nil
}
