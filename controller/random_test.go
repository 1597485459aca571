// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/seeder"
	"amaranthgate.example/amaranthgate/leaser"
)

// TestRandomSchedules searches for a schedule of faults that violates an invariant.
// On failure rapid prints the seed and a minimal schedule; add it to testdata as a
// script.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 4).Draw(t, "hosts")
		s := newSimulation(rapid.Uint64Range(0, 1000).Draw(t, "seed"), hosts)
		s.flaky = true
		s.advance(time.Second)
		s.publish("host-1", "first", "v1")
		s.advance(5 * time.Second)
		steps := rapid.SliceOfN(stepGenerator(hosts), 20, 60).Draw(t, "steps")
		keys := make(map[string]int)
		for i, st := range steps {
			s.advance(st.After.Std())
			s.randomStep(st, i, keys)
			s.checkLeases()
			if len(s.violations) > 0 {
				break
			}
		}
		s.recoverAll()
		s.checkAgreement()
		if faults := s.check(); len(faults) > 0 {
			t.Fatalf("violated invariants: %q", faults)
		}
	})
}

// randomActions are the steps of random schedules, repeated in proportion to their
// probability.
var randomActions = []string{
	"Claims", "Claims", "Claims", "Claims", "Claims", "Claims",
	"Publish", "Publish", "Kill", "Start", "Pause", "Resume", "Cut", "Mend", "Mend",
	"LogDown", "LogLoses", "LogSlow", "Expire", "Deaf", "Deaf", "Mute", "Hold", "Wait", "Wait",
}

var randomWaits = []time.Duration{0, 3 * time.Millisecond, 40 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 6 * time.Second}

func stepGenerator(hosts int) *rapid.Generator[step] {
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			After: duration.Duration(rapid.SampledFrom(randomWaits).Draw(t, "after")),
			Do:    rapid.SampledFrom(randomActions).Draw(t, "do"),
			Host:  fmt.Sprintf("host-%d", rapid.IntRange(1, hosts).Draw(t, "host")),
			Key:   fmt.Sprintf("key-%d", rapid.IntRange(1, 3).Draw(t, "key")),
		}
	})
}

// randomStep executes one step of a random schedule.
func (s *simulation) randomStep(st step, i int, keys map[string]int) {
	h := s.hosts[st.Host]
	switch st.Do {
	case "Claims": // the same key at all hosts, at short intervals
		for _, n := range s.names {
			keys[st.Key]++
			s.claim(n, st.Key, keys[st.Key] == 1, 3*time.Second)
			s.advance(time.Duration(s.rng.IntN(4)) * 4 * time.Millisecond)
		}
	case "Publish": // concurrent changes at two hosts
		s.publish(st.Host, fmt.Sprintf("change-%d", i), fmt.Sprintf("v%d", i))
		s.publish(s.names[i%len(s.names)], fmt.Sprintf("rival-%d", i), fmt.Sprintf("w%d", i))
	case "Kill":
		s.kill(st.Host)
	case "Start":
		if !h.alive {
			s.start(st.Host)
		}
	case "Pause":
		if h.alive {
			s.pause(st.Host)
		}
	case "Resume":
		s.resume(st.Host)
	case "Cut":
		s.isolated[st.Host] = true
	case "Deaf":
		s.cannotRead[st.Host] = true
	case "Mute":
		s.cannotAppend[st.Host] = true
	case "Hold":
		s.lateAppends[st.Host] = true
	case "Mend":
		s.clearFaults()
	case "LogDown":
		s.logDown = true
	case "LogLoses":
		s.ackLoss = 0.4
	case "LogSlow":
		s.logSlow = 300 * time.Millisecond
	case "Expire":
		s.expire(leaser.StreamName, 500)
	case "Wait":
		s.advance(4 * time.Second)
	}
}

// recoverAll ends all faults and gives the hosts time to converge.
func (s *simulation) recoverAll() {
	s.clearFaults()
	for _, n := range s.names {
		s.resume(n)
		if !s.hosts[n].alive {
			s.start(n)
		}
	}
	s.advance(40 * time.Second)
}

// checkLeases checks that at most one host may act on each lease.
func (s *simulation) checkLeases() {
	holders := make(map[string]string)
	for _, n := range s.names {
		h := s.hosts[n]
		if !h.alive {
			continue
		}
		for _, name := range roleLeases {
			if _, ok := h.node.holder.Valid(s.now, name); !ok {
				continue
			}
			if other := holders[name]; other != "" {
				s.violation("%s and %s may both act on lease %s", other, n, name)
			}
			holders[name] = n
		}
	}
}

// checkAgreement checks that all hosts have the same configuration and that no
// accepted change is lost.
func (s *simulation) checkAgreement() {
	var revision uint64
	var digest string
	for i, n := range s.names {
		cfg := s.hosts[n].node.Configuration()
		if cfg.Document() == nil {
			s.violation("%s has no configuration", n)
			continue
		}
		if i == 0 {
			revision, digest = cfg.Revision(), cfg.Document().Digest()
		}
		if cfg.Revision() != revision || cfg.Document().Digest() != digest {
			s.violation("%s has revision %d or its document differs, the first host has %d", n, cfg.Revision(), revision)
		}
		for id, r := range s.results {
			if got, ok := cfg.Result(id); !ok || got != r {
				s.violation("%s has result of change %s %+v, its author got %+v", n, id, got, r)
			}
		}
	}
	accepted := 0
	for _, r := range s.hosts[s.names[0]].node.Configuration().Results() {
		if r.Fate == configurer.FateAccepted {
			accepted++
		}
	}
	if uint64(accepted) != revision {
		s.violation("%d changes were accepted, the revision is %d", accepted, revision)
	}
}

// TestSimulationDetectsDoubleExecution checks that the simulation reports a key that
// runs twice because it was dispatched without a claim.
func TestSimulationDetectsDoubleExecution(t *testing.T) {
	s := newSimulation(1, 3)
	s.advance(time.Second)
	s.publish("host-1", "first", "v1")
	s.advance(5 * time.Second)
	a, b := s.claim("host-1", "k", true, time.Second), s.claim("host-2", "k", true, time.Second)
	s.recordRun(a)
	s.recordRun(b)
	s.advance(time.Second)
	assert.Assert(t, len(s.check()) > 0)
}

// defaultChecks is the number of schedules unless set by -rapid.checks.
const defaultChecks = "40"

func init() {
	seeder.Fix()
	seeder.Checks(defaultChecks)
}
