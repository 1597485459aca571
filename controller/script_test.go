// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/strictjson"
)

func simDocument() *configurer.Document {
	d := func(v time.Duration) duration.Duration { return duration.Duration(v) }
	return &configurer.Document{
		Classes:    []configurer.Class{{Name: "c", Weight: 1, Deadline: d(10 * time.Second)}},
		Workspaces: []configurer.Workspace{{Name: "w", Classes: []string{"c"}, Weight: 1, RequestsPerSecond: 100, Burst: 100, Concurrency: 100}},
		Models:     []configurer.Model{{Name: "m", Version: "v1"}},
		Routing:    configurer.RoutingWeights{Time: 1},
		Retry:      configurer.RetryPolicy{BudgetShare: 0.1, Attempts: 3},
		Claims:     configurer.ClaimPolicy{Window: d(time.Hour), Timeout: d(20 * time.Second), KeptBytes: 1024},
		Loads:      configurer.LoadPolicy{AtOnce: 3},
	}
}

// script is a simulation of several hosts, read from a data file.
type script struct {
	Hosts   int
	Engines int // Engines is the number of engines in the first document.
	Seed    uint64
	Steps   []step
}

// step is an action or a check in a script.
type step struct {
	After duration.Duration // After is the time since the step before.
	Do    string
	Host  string
	Key   string
	ID    string
	Value string
	Wait  duration.Duration
	Want  string
	Keep  int
	Count int
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonc")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".jsonc"), func(t *testing.T) { runScript(t, f) })
	}
}

func runScript(t *testing.T, path string) {
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	var sc script
	_, faults := strictjson.Decode(text, &sc)
	assert.Equal(t, len(faults), 0, "%v", faults)
	sim := newSimulation(sc.Seed, sc.Hosts)
	sim.addEngines(sc.Engines)
	byKey := make(map[string]*simAttempt)
	for i, st := range sc.Steps {
		sim.advance(st.After.Std())
		if msg := sim.step(st, byKey); msg != "" {
			t.Fatalf("step %d (%s %s%s): %s", i+1, st.Do, st.Host, st.Key, msg)
		}
	}
	assert.DeepEqual(t, sim.check(), []string(nil))
}

// step executes one step and returns a message if a check fails.
func (s *simulation) step(st step, byKey map[string]*simAttempt) string {
	switch st.Do {
	case "Kill":
		s.kill(s.resolve(st.Host))
	case "Start":
		s.start(st.Host)
	case "Pause":
		s.pause(s.resolve(st.Host))
	case "Resume":
		for _, h := range s.hosts {
			if h.paused {
				s.resume(h.name)
			}
		}
	case "Cut":
		s.isolated[s.resolve(st.Host)] = true
	case "Mend":
		s.clearFaults()
	case "Deaf":
		s.cannotRead[s.resolve(st.Host)] = true
	case "Mute":
		s.cannotAppend[s.resolve(st.Host)] = true
	case "Hold":
		s.lateAppends[s.resolve(st.Host)] = true
	case "LogDown":
		s.logDown = true
	case "LogSlow":
		s.logSlow = st.Wait.Std()
	case "LogLoses":
		s.ackLoss = 0.5
	case "PublishNext":
		s.publishNext(st.Host, st.ID, st.Value)
	case "WantVersion":
		for _, n := range s.names {
			if h := s.hosts[n]; h.alive {
				if m, _ := h.node.Configuration().Document().Model("m"); m.Version != st.Want {
					return fmt.Sprintf("%s has version %s in force", n, m.Version)
				}
			}
		}
	case "WantNoSuspicion": // refuting a suspicion increments a host's version
		for _, n := range s.names {
			if v := s.hosts[n].node.hosts.Self().Version; v > 4 {
				return fmt.Sprintf("%s refuted a suspicion: version %d", n, v)
			}
		}
	case "WantPeak":
		if got := fmt.Sprint(s.peakLoads); got != st.Want {
			return fmt.Sprintf("%s engines loaded concurrently, want %s", got, st.Want)
		}
	case "Expire":
		s.expire(st.Value, st.Keep)
	case "Publish":
		s.publish(st.Host, st.ID, st.Value)
	case "Claim":
		byKey[st.ID] = s.claim(s.resolve(st.Host), st.Key, true, st.Wait.Std())
	case "Claims":
		for i := range st.Count {
			s.claim(s.names[i%len(s.names)], fmt.Sprintf("%s-%d", st.Key, i), true, st.Wait.Std())
		}
	case "WantVerdict":
		return wantVerdict(byKey[st.ID], st.Want)
	case "WantFate":
		if got := s.results[st.ID]; string(got.Fate) != st.Want {
			return fmt.Sprintf("fate %q, want %q", got.Fate, st.Want)
		}
	case "WantOneOf": // one of two concurrent changes is accepted, the other conflicts
		a, b := s.results[st.ID].Fate, s.results[st.Value].Fate
		if a == b || a != configurer.FateAccepted && b != configurer.FateAccepted || a != configurer.FateConflict && b != configurer.FateConflict {
			return fmt.Sprintf("fates %q and %q", a, b)
		}
	case "WantRevision":
		return s.wantRevision(st)
	case "WantReady":
		if got := fmt.Sprint(s.hosts[st.Host].node.Ready()); got != st.Want {
			return "ready " + got
		}
	case "WantHolder":
		return s.wantHolder(st)
	case "WantState":
		for _, n := range s.names {
			if h := s.hosts[n]; h.alive && n != st.Host {
				if r, _ := h.node.hosts.Lookup(st.Host); string(r.State) != st.Want {
					return fmt.Sprintf("%s has its state as %s, want %s", n, r.State, st.Want)
				}
			}
		}
	case "":
	default:
		return "unknown step"
	}
	return ""
}

// resolve returns the host that "owner of KEY", "not owner of KEY" or "holder of
// LEASE" stands for.
func (s *simulation) resolve(host string) string {
	if key, ok := strings.CutPrefix(host, "owner of "); ok {
		return s.owner(key)
	}
	if lease, ok := strings.CutPrefix(host, "holder of "); ok {
		for _, n := range s.names {
			if h := s.hosts[n]; h.alive {
				return h.node.holderOf(lease)
			}
		}
	}
	if key, ok := strings.CutPrefix(host, "not owner of "); ok {
		for _, n := range s.names {
			if n != s.owner(key) && s.hosts[n].alive {
				return n
			}
		}
	}
	return host
}

func (s *simulation) owner(key string) string {
	lease := claimer.LeaseName(claimer.NewKey("w", key).Range())
	for _, n := range s.names {
		if h := s.hosts[n]; h.alive {
			return h.node.holderOf(lease)
		}
	}
	return ""
}

func wantVerdict(a *simAttempt, want string) string {
	got := "Open"
	if a.settled != nil {
		got = string(a.settled.Verdict)
	}
	if got != want {
		return fmt.Sprintf("verdict %s, want %s", got, want)
	}
	return ""
}

func (s *simulation) wantRevision(st step) string {
	for _, n := range s.names {
		h := s.hosts[n]
		if !h.alive || st.Host != "" && st.Host != n {
			continue
		}
		if got := fmt.Sprint(h.node.View().Revision); got != st.Want {
			return fmt.Sprintf("%s has revision %s, want %s", n, got, st.Want)
		}
	}
	return ""
}

func (s *simulation) wantHolder(st step) string {
	holders := 0
	for _, n := range s.names {
		h := s.hosts[n]
		if _, ok := h.node.holder.Valid(s.now, st.Value); ok && h.alive {
			holders++
		}
	}
	if got := fmt.Sprint(holders); got != st.Want {
		return fmt.Sprintf("%s hosts may act on lease %s, want %s", got, st.Value, st.Want)
	}
	return ""
}
