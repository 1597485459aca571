// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/experimenter"
)

func (e *env) experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure the system on this machine",
		Commands: []*cli.Command{
			e.decisionsCommand(),
			e.claimsCommand(),
			e.changesCommand(),
			e.controlCommand(),
			e.leavingCommand(),
			e.limitCommand(), e.brittleCommand(), e.drainCommand(),
			e.fetchCommand(),
			e.retriesCommand(),
			e.overloadCommand(),
			e.endsCommand(),
			e.loadsCommand(),
			e.fleetCommand(),
			{
				Name:  "forward",
				Usage: "measure the overhead of a host over direct calls to the same engine",
				Flags: []cli.Flag{
					&cli.FloatFlag{Name: "rate", Value: 1000, Usage: "`REQUESTS` per second, half of them direct"},
					&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "`TIME` to measure"},
					&cli.IntFlag{Name: "tokens", Value: 8, Usage: "`TOKENS` per response"},
					&cli.IntFlag{Name: "prompt", Value: 2000, Usage: "`BYTES` per prompt"},
					&cli.DurationFlag{Name: "spacing", Usage: "`TIME` between tokens"},
					&cli.IntFlag{Name: "streams", Value: 500, Usage: "concurrent `STREAMS` for measuring memory per stream"},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					r, err := experimenter.Forward(ctx, experimenter.ForwardOptions{
						Rate: c.Float("rate"), For: c.Duration("for"), Tokens: c.Int("tokens"), Prompt: c.Int("prompt"), Streams: c.Int("streams"), TokenInterval: c.Duration("spacing"),
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

func (e *env) decisionsCommand() *cli.Command {
	return &cli.Command{
		Name:  "decisions",
		Usage: "compare routing policies on a seeded workload, in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "Association", Usage: "`NAME` of the workload: Association or Nilewater"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the workload"},
			&cli.FloatFlag{Name: "scale", Value: 1, Usage: "scale `FACTOR` of the simulated time"},
			&cli.DurationFlag{Name: "lag", Value: experimenter.Healthy.Lag, Usage: "`AGE` of load reports and cache events on arrival"},
			&cli.FloatFlag{Name: "event-loss", Usage: "`SHARE` of cache events lost, from 0 to 1"},
			&cli.BoolFlag{Name: "no-burst", Usage: "omit bursts of load"},
			&cli.BoolFlag{Name: "zone-down", Usage: "fail an availability zone halfway through the measurement"},
			&cli.FloatFlag{Name: "links", Value: 1, Usage: "scale `FACTOR` of the link bandwidth"},
			&cli.StringFlag{Name: "plot", Usage: "output `FILE` for a plot of the most urgent class's time to first token, svg or png"},
			&cli.IntFlag{Name: "policies", Usage: "compare only the first `NUMBER` policies"},
			&cli.IntFlag{Name: "workers", Value: 6, Usage: "`NUMBER` of policies to simulate in parallel"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			spec, err := experimenter.SpecByName(c.String("deployment"))
			if err != nil {
				return withExitCode(ExitUsage, err)
			}
			spec.For = time.Duration(float64(spec.For) * c.Float("scale"))
			spec.WarmUp = time.Duration(float64(spec.WarmUp) * c.Float("scale"))
			if c.Bool("no-burst") {
				for i := range spec.Classes {
					spec.Classes[i].Burst.Factor = 0
				}
			}
			for i := range spec.Classes {
				spec.Classes[i].Burst.From = time.Duration(float64(spec.Classes[i].Burst.From) * c.Float("scale"))
				spec.Classes[i].Burst.For = time.Duration(float64(spec.Classes[i].Burst.For) * c.Float("scale"))
			}
			cond := experimenter.Conditions{Lag: c.Duration("lag"), EventLoss: c.Float("event-loss"), LinkFactor: c.Float("links")}
			if c.Bool("zone-down") {
				cond.ZoneDown = spec.WarmUp + (spec.For-spec.WarmUp)/2
			}
			policies := experimenter.Policies()
			if n := c.Int("policies"); n > 0 {
				policies = policies[:min(n, len(policies))]
			}
			results := experimenter.Compare(spec, policies, cond, c.Uint64("seed"), c.Int("workers"))
			experimenter.PrintDecisions(e.out, results)
			if path := c.String("plot"); path != "" {
				return experimenter.WritePlot(path, results, 0)
			}
			return nil
		},
	}
}

func (e *env) claimsCommand() *cli.Command {
	return &cli.Command{
		Name:  "claims",
		Usage: "measure the cost of at-most-once requests, and the failover time after an owner stops",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "hosts", Value: 8, Usage: "`NUMBER` of hosts"},
			&cli.FloatFlag{Name: "rate", Value: 4000, Usage: "`REQUESTS` per second, half of them with a claim"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "`TIME` to measure"},
			&cli.DurationFlag{Name: "latency", Value: 5 * time.Millisecond, Usage: "`TIME` per append to the log"},
			&cli.BoolFlag{Name: "faults", Usage: "inject faults of the log, and stop the owner of a range halfway"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := experimenter.Claims(ctx, experimenter.ClaimsOptions{
				Faults: c.Bool("faults"), Hosts: c.Int("hosts"), Rate: c.Float("rate"), For: c.Duration("for"), LogLatency: c.Duration("latency"),
			})
			if err == nil {
				r.Print(e.out)
			}
			return err
		},
	}
}

func (e *env) changesCommand() *cli.Command {
	return &cli.Command{
		Name:  "changes",
		Usage: "measure the time until a configuration change is in force on all hosts",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "hosts", Value: 8, Usage: "`NUMBER` of hosts"},
			&cli.IntFlag{Name: "changes", Value: 200, Usage: "`NUMBER` of changes"},
			&cli.IntFlag{Name: "workspaces", Value: 10, Usage: "`NUMBER` of workspaces in the document"},
			&cli.DurationFlag{Name: "latency", Value: 5 * time.Millisecond, Usage: "`TIME` per append to the log"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := experimenter.Changes(ctx, experimenter.ChangesOptions{
				Hosts: c.Int("hosts"), Changes: c.Int("changes"), Workspaces: c.Int("workspaces"), LogLatency: c.Duration("latency"),
			})
			if err == nil {
				r.Print(e.out)
			}
			return err
		},
	}
}

func (e *env) controlCommand() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "measure the cost of the control plane on idle hosts",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Value: []int{8, 16, 32}, Usage: "`NUMBERS` of hosts"},
			&cli.IntSliceFlag{Name: "engines", Value: []int{22}, Usage: "`NUMBERS` of engines"},
			&cli.DurationFlag{Name: "for", Value: 8 * time.Second, Usage: "`TIME` of each measurement"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			points, err := experimenter.Control(ctx, experimenter.ControlOptions{Hosts: c.IntSlice("hosts"), Engines: c.IntSlice("engines"), For: c.Duration("for")})
			experimenter.PrintControl(e.out, points)
			return err
		},
	}
}

func (e *env) endsCommand() *cli.Command {
	return &cli.Command{
		Name:  "ends",
		Usage: "compare policies for requests that crash engines, in virtual time",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "hosts", Value: 8, Usage: "`NUMBER` of hosts"},
			&cli.IntFlag{Name: "engines", Value: 18, Usage: "`NUMBER` of engines"},
			&cli.FloatFlag{Name: "rate", Value: 180, Usage: "harmless `REQUESTS` per second"},
			&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "simulated `TIME`"},
			&cli.IntFlag{Name: "bad", Value: 1, Usage: "`NUMBER` of distinct requests that crash their engine"},
			&cli.IntFlag{Name: "callers", Value: 1, Usage: "`NUMBER` of concurrent callers that repeat each of these requests"},
			&cli.FloatFlag{Name: "crashes", Usage: "`ENGINES` per second that crash for other reasons"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the workload"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			experimenter.PrintEnds(e.out, experimenter.Ends(experimenter.EndsOptions{
				Hosts: c.Int("hosts"), Engines: c.Int("engines"), Rate: c.Float("rate"), For: c.Duration("for"),
				Bad: c.Int("bad"), Callers: c.Int("callers"), Crashes: c.Float("crashes"), Seed: c.Uint64("seed"),
			}))
			return nil
		},
	}
}

func (e *env) loadsCommand() *cli.Command {
	return &cli.Command{
		Name:  "loads",
		Usage: "compare what hosts do with the load that engines state, in virtual time",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "hosts", Value: 12, Usage: "`NUMBER` of hosts"},
			&cli.IntFlag{Name: "engines", Value: 24, Usage: "`NUMBER` of engines"},
			&cli.FloatFlag{Name: "rate", Value: 320, Usage: "`REQUESTS` per second"},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "simulated `TIME` of each seed"},
			&cli.FloatFlag{Name: "slow", Value: 0.15, Usage: "`SHARE` of periods in which an engine is slow"},
			&cli.FloatFlag{Name: "slowdown", Value: 2.5, Usage: "`FACTOR` of the time that work takes then"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED` of the workload"},
			&cli.IntFlag{Name: "seeds", Value: 8, Usage: "`NUMBER` of seeds"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			experimenter.PrintLoads(e.out, experimenter.Loads(experimenter.LoadsOptions{
				Hosts: c.Int("hosts"), Engines: c.Int("engines"), Rate: c.Float("rate"), For: c.Duration("for"),
				Slow: c.Float("slow"), Slowdown: c.Float("slowdown"), Seed: c.Uint64("seed"), Seeds: c.Int("seeds"),
			}))
			return nil
		},
	}
}

func (e *env) fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "measure the cost and convergence time of the control plane of many hosts, in virtual time",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Value: []int{100, 300}, Usage: "`NUMBERS` of hosts"},
			&cli.IntFlag{Name: "upstreams", Value: 10, Usage: "`NUMBER` of upstreams per host"},
			&cli.IntFlag{Name: "zones", Value: 5, Usage: "`NUMBER` of availability zones"},
			&cli.IntFlag{Name: "large", Value: 3, Usage: "`NUMBER` of large hosts per availability zone"},
			&cli.FloatFlag{Name: "link", Value: 20, Usage: "bandwidth of the other hosts' links, in `MBPS`"},
			&cli.IntFlag{Name: "series", Value: 10, Usage: "`NUMBER` of hosts to restart one after the other"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the simulation"},
			&cli.StringFlag{Name: "plot", Usage: "output `FILE` for a plot of messages per host, svg or png"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var points []experimenter.FleetPoint
			for _, hosts := range c.IntSlice("hosts") {
				lastPrint := time.Time{}
				results := experimenter.Fleet(experimenter.FleetOptions{
					Hosts: hosts, Upstreams: hosts * c.Int("upstreams"), Zones: c.Int("zones"), Large: c.Int("large"),
					LinkMbps: c.Float("link"), Series: c.Int("series"), Seed: c.Uint64("seed"),
					Progress: func(scene experimenter.FleetScenario, virtual time.Duration) {
						if time.Since(lastPrint) > time.Second {
							lastPrint = time.Now()
							fmt.Fprintf(e.err, "\r%d hosts, %s: %.1f s   ", hosts, scene, virtual.Seconds())
						}
					},
				})
				fmt.Fprintf(e.err, "\r%40s\r", "")
				fmt.Fprintf(e.out, "%d hosts, %d upstreams\n", hosts, hosts*c.Int("upstreams"))
				experimenter.PrintFleet(e.out, results)
				points = append(points, experimenter.FleetPoint{Hosts: hosts, Results: results})
			}
			if path := c.String("plot"); path != "" {
				return experimenter.WriteFleetPlot(path, points)
			}
			return nil
		},
	}
}

func (e *env) limitCommand() *cli.Command {
	return &cli.Command{
		Name:  "limit",
		Usage: "measure how hosts share and use the rate limit that an upstream declares, in virtual time",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Value: []int{8, 300, 985}, Usage: "`NUMBERS` of hosts"},
			&cli.FloatSliceFlag{Name: "limit", Value: []float64{2.7}, Usage: "limits in `REQUESTS` per second"},
			&cli.FloatFlag{Name: "overload", Value: 10, Usage: "requests of all callers, as a `FACTOR` of the limit"},
			&cli.DurationFlag{Name: "deadline", Value: 3 * time.Second, Usage: "`TIME` that a request waits at most"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "simulated `TIME`"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the simulation"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var results []experimenter.RateResult
			for _, hosts := range c.IntSlice("hosts") {
				for _, limit := range c.FloatSlice("limit") {
					for _, scenario := range experimenter.RateScenarios {
						results = append(results, experimenter.Rate(experimenter.RateOptions{
							Scenario: scenario, Hosts: hosts, Limit: limit, Demand: c.Float("overload") * limit,
							Deadline: c.Duration("deadline"), For: c.Duration("for"), Seed: c.Uint64("seed"),
						}))
					}
				}
			}
			experimenter.PrintRate(e.out, results)
			return nil
		},
	}
}

func (e *env) brittleCommand() *cli.Command {
	return &cli.Command{
		Name:  "brittle",
		Usage: "measure how hosts share and use brittle upstreams, in virtual time",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Value: []int{8, 16, 30, 62, 300, 985}, Usage: "`NUMBERS` of hosts that serve callers"},
			&cli.IntSliceFlag{Name: "limit", Value: []int{1, 4, 20}, Usage: "`REFUSALS` per second that an upstream bears"},
			&cli.IntFlag{Name: "upstreams", Value: 4, Usage: "`NUMBER` of upstreams"},
			&cli.IntFlag{Name: "slots", Value: 6, Usage: "`REQUESTS` that an upstream runs at once"},
			&cli.FloatFlag{Name: "calm", Value: 0.3, Usage: "requests until 5 s, as a `SHARE` of those that the upstreams can run"},
			&cli.FloatFlag{Name: "load", Value: 0.9, Usage: "the same from then on"},
			&cli.BoolFlag{Name: "sound", Usage: "let the upstreams stay sound"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the simulation"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var results []experimenter.BrittleResult
			for _, hosts := range c.IntSlice("hosts") {
				for _, limit := range c.IntSlice("limit") {
					for _, scenario := range experimenter.BrittleScenarios {
						results = append(results, experimenter.Brittle(experimenter.BrittleOptions{
							Scenario: scenario, Hosts: hosts, Upstreams: c.Int("upstreams"), Slots: c.Int("slots"), Queue: 4 * c.Int("slots"),
							Limit: limit, Service: 30 * time.Millisecond, Deadline: time.Second,
							Calm: c.Float("calm"), Load: c.Float("load"), Sound: c.Bool("sound"), Seed: c.Uint64("seed"),
						}))
					}
				}
			}
			experimenter.PrintBrittle(e.out, results)
			return nil
		},
	}
}

func (e *env) drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "compare what hosts that drain do with requests, in virtual time",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Value: []int{1, 2, 3, 8, 62}, Usage: "`NUMBERS` of hosts"},
			&cli.StringSliceFlag{Name: "scenes", Value: names(experimenter.DrainScenarios), Usage: "`NAMES` of scenarios"},
			&cli.StringSliceFlag{Name: "durations", Value: names(experimenter.DrainAllDurations), Usage: "`NAMES` of distributions of durations, whose results are added"},
			&cli.FloatFlag{Name: "rate", Value: 4, Usage: "`REQUESTS` per second for each host"},
			&cli.DurationFlag{Name: "grace", Value: 8 * time.Second, Usage: "`TIME` in which a host must have ended"},
			&cli.DurationFlag{Name: "ttl", Value: time.Second, Usage: "`TIME` for which callers may keep addresses"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED` of the simulations"},
			&cli.Uint64Flag{Name: "seeds", Value: 3, Usage: "`NUMBER` of seeds, whose results are added"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var results []experimenter.DrainResult
			for _, hosts := range c.IntSlice("hosts") {
				for _, scenario := range c.StringSlice("scenes") {
					o := experimenter.DrainOptions{
						Scenario: experimenter.DrainScenario(scenario), Hosts: hosts, Rate: c.Float("rate"), Grace: c.Duration("grace"), TimeToLive: c.Duration("ttl"),
					}
					sums := make([]experimenter.DrainResult, len(experimenter.DrainDesigns))
					for i, design := range experimenter.DrainDesigns {
						sums[i].DrainOptions = o
						sums[i].Design = design
					}
					for _, durations := range c.StringSlice("durations") {
						o.Durations = experimenter.DrainDurations(durations)
						for o.Seed = c.Uint64("seed"); o.Seed < c.Uint64("seed")+c.Uint64("seeds"); o.Seed++ {
							o.Design = experimenter.DrainByEstimate
							estimate := experimenter.Drain(o)
							for i, design := range experimenter.DrainDesigns {
								o.Design = design
								r := estimate
								if design != estimate.Design {
									r = experimenter.Drain(o)
									r.Compare(estimate)
								}
								sums[i].Add(r)
							}
						}
					}
					results = append(results, sums...)
				}
			}
			experimenter.PrintDrain(e.out, results)
			return nil
		},
	}
}

// names returns strings of another type as strings.
func names[T ~string](values []T) []string {
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = string(v)
	}
	return out
}

func (e *env) fetchCommand() *cli.Command {
	return &cli.Command{
		Name:  "fetch",
		Usage: "measure what engines fetch over busy links instead of prefilling it, in virtual time",
		Flags: []cli.Flag{
			&cli.FloatSliceFlag{Name: "slow", Value: []float64{1, 3}, Usage: "`FACTORS` by which one store's link is slower"},
			&cli.Uint64Flag{Name: "seeds", Value: 3, Usage: "`NUMBER` of seeds"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var results []experimenter.FetchResult
			for _, slow := range c.FloatSlice("slow") {
				for seed := range c.Uint64("seeds") {
					for _, pricing := range []bool{false, true} {
						results = append(results, experimenter.Fetch(experimenter.FetchOptions{Pricing: pricing, SlowStore: slow, Seed: seed}))
					}
				}
			}
			experimenter.PrintFetch(e.out, results)
			return nil
		},
	}
}

func (e *env) retriesCommand() *cli.Command {
	return &cli.Command{
		Name:  "retries",
		Usage: "measure how hosts share and use a retry budget, in equal parts and with lending, in virtual time",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Value: []int{24, 62}, Usage: "`NUMBERS` of hosts"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the simulation"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var results []experimenter.RetryResult
			for _, hosts := range c.IntSlice("hosts") {
				for _, scenario := range experimenter.RetryScenarios {
					for _, lending := range []bool{false, true} {
						results = append(results, experimenter.Retries(experimenter.RetryOptions{Scenario: scenario, Hosts: hosts, Lending: lending, Seed: c.Uint64("seed")}))
					}
				}
			}
			experimenter.PrintRetries(e.out, results)
			return nil
		},
	}
}

func (e *env) leavingCommand() *cli.Command {
	return &cli.Command{
		Name:  "leaving",
		Usage: "measure the time until no host routes requests to an engine that reports it is leaving",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "hosts", Value: 8, Usage: "`NUMBER` of hosts"},
			&cli.IntFlag{Name: "times", Value: 20, Usage: "`NUMBER` of engines that leave"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			t, err := experimenter.Leaving(ctx, c.Int("hosts"), c.Int("times"))
			if err == nil {
				fmt.Fprintf(e.out, "no new work from any host after  %s  (%d engines)\n", t, t.Count())
			}
			return err
		},
	}
}
