// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package registrar

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthgate.example/amaranthgate/internal/codec"
	"amaranthgate.example/amaranthgate/internal/seeder"
	"amaranthgate.example/amaranthgate/internal/strictjson"
	"amaranthgate.example/amaranthgate/timer"
)

func init() { seeder.Fix() }

var start = time.Unix(1_800_000_000, 0)

const streamTime = 5 * time.Second

// fleet is hosts in virtual time. It must be used in a bubble of package synctest.
type fleet struct {
	t       assert.TestingT
	timer   *timer.Manual
	hosts   map[string]*Registrar
	lost    map[string]bool // lost are hosts that neither send nor receive.
	held    []delivery
	holding bool
}

type delivery struct {
	from string
	Outgoing
}

func newFleet(t assert.TestingT, names, standby []string) *fleet {
	f := &fleet{t: t, timer: timer.NewManual(start), hosts: make(map[string]*Registrar), lost: make(map[string]bool)}
	for _, name := range names {
		f.hosts[name] = New(Options{Host: name, Timer: f.timer})
	}
	f.introduce(names, standby)
	return f
}

// introduce tells all hosts of each other. Those in former are suspected or about to end.
func (f *fleet) introduce(names, standby []string, former ...string) {
	var all []Host
	for _, name := range names {
		kept := slices.Contains(former, name)
		all = append(all, Host{Name: name, Address: name + ":1", AvailabilityZone: name[:1], Keeps: !kept && !slices.Contains(standby, name), Kept: kept})
	}
	for _, r := range f.hosts {
		r.SetHosts(all)
	}
}

// deliver delivers all messages, and those that these lead to.
func (f *fleet) deliver() {
	for sent := true; sent; {
		sent = false
		for name, r := range f.hosts {
			for _, m := range r.Take() {
				sent = true
				f.held = append(f.held, delivery{from: name, Outgoing: m})
			}
		}
		if f.holding {
			return
		}
		for _, d := range f.held {
			if to := f.hosts[d.To]; to != nil && !f.lost[d.To] && !f.lost[d.from] {
				b, err := codec.Marshal(&d.Message)
				assert.NilError(f.t, err)
				var m Message
				assert.NilError(f.t, codec.Unmarshal(b, &m))
				to.Receive(d.from, &m)
			}
		}
		f.held = nil
	}
}

// find makes a host search for a stream, and returns what it found and when.
func (f *fleet) find(at string, key Key, release time.Duration) (got Finding, took time.Duration) {
	began, done := f.timer.Now(), false
	go func() {
		got = f.hosts[at].Find(context.Background(), key)
		done = true
	}()
	for {
		synctest.Wait()
		if done {
			return got, f.timer.Now().Sub(began)
		}
		if f.holding && release > 0 && f.timer.Now().Sub(began) >= release {
			f.holding = false
		}
		f.deliver()
		synctest.Wait()
		if !done {
			f.timer.Advance(5 * time.Millisecond)
		}
	}
}

type searchStep struct {
	Do, At, Software string
	Hosts            []string // Hosts are all hosts, of which those in At are suspected.
	Hold             bool
	Want             string
	Source           Source
	Ambiguous        bool
	Asked, Answered  int
	Release          int // Release is when held messages are delivered, in milliseconds after the search has begun.
	Within           int // Within bounds the search, in milliseconds; 80 ms after Release by default.
	For              int // For is in milliseconds.
}

// TestSearches plays the searches in testdata/searches.jsonc.
func TestSearches(t *testing.T) {
	text, err := os.ReadFile("testdata/searches.jsonc")
	assert.NilError(t, err)
	var cases []struct {
		Name           string
		Hosts, Standby []string
		Steps          []searchStep
	}
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			for i := range 20 { // the keepers differ between streams
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, c.Hosts, c.Standby)
					for _, step := range c.Steps {
						f.do(t, &step, KeyOf("workspace", fmt.Sprint("r", i)))
					}
				})
			}
		})
	}
}

func (f *fleet) do(t *testing.T, step *searchStep, key Key) {
	switch step.Do {
	case "Record":
		f.holding = step.Hold
		f.hosts[step.At].Record(key, Origin{Service: "s", Software: step.Software}, f.timer.Now().Add(streamTime))
	case "End":
		delete(f.hosts, step.At)
	case "Lose":
		f.lost[step.At] = true
	case "Suspect":
		f.introduce(step.Hosts, nil, strings.Fields(step.At)...)
	case "Wait":
		f.timer.Advance(time.Duration(step.For) * time.Millisecond)
	case "Find":
		got, took := f.find(step.At, key, time.Duration(step.Release)*time.Millisecond)
		assert.Equal(t, got.Software, step.Want)
		assert.Equal(t, got.Known(), step.Want != "")
		assert.Equal(t, got.Ambiguous, step.Ambiguous)
		assert.Equal(t, got.Source, step.Source, "%+v", got)
		if step.Want == "" && !step.Ambiguous {
			assert.DeepEqual(t, [2]int{got.Asked, got.Answered}, [2]int{step.Asked, step.Answered})
		}
		bound := time.Duration(step.Release+80) * time.Millisecond
		if step.Within > 0 {
			bound = time.Duration(step.Within) * time.Millisecond
		}
		assert.Assert(t, took <= bound, "%v", took)
	default:
		t.Fatalf("unknown step %q", step.Do)
	}
	f.deliver()
}

// TestRandomFleets checks for random fleets, views, losses and ends that no host ever finds another origin than the
// recorded one, and that it is found while the host that recorded it and all others are in touch.
func TestRandomFleets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			var names []string
			for _, zone := range []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(rt, "zones")] {
				for i := range rapid.IntRange(1, 6).Draw(rt, "hosts") {
					names = append(names, fmt.Sprint(zone, i))
				}
			}
			f := newFleet(rt, names, nil)
			recorded := make(map[Key]Origin)
			calm := true
			for i := range rapid.IntRange(1, 12).Draw(rt, "steps") {
				at := rapid.SampledFrom(names).Draw(rt, "at")
				key := KeyOf("w", fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "stream")))
				switch rapid.IntRange(0, 5).Draw(rt, "do") {
				case 0, 1:
					if _, ok := recorded[key]; !ok {
						recorded[key] = Origin{Service: "s", Software: fmt.Sprint("v", i)}
						f.hosts[at].Record(key, recorded[key], f.timer.Now().Add(streamTime))
					}
				case 2:
					f.lost[at] = !f.lost[at]
					calm = false
				case 3:
					f.hosts[at] = New(Options{Host: at, Timer: f.timer})
					f.introduce(names, nil)
					calm = false
				default:
					got, _ := f.find(at, key, 0)
					want := recorded[key]
					assert.Assert(rt, got.Origin == want || !got.Known() && !calm, "%+v, not %+v", got, want)
				}
				f.deliver()
			}
		})
	})
}

// TestInvalidEntries checks that entries of other hosts that are out of range change nothing.
func TestInvalidEntries(t *testing.T) {
	r := New(Options{Host: "a1", Timer: timer.NewManual(start)})
	long := string(make([]byte, maxNameBytes+1))
	r.Receive("b1", &Message{Entries: []Entry{
		{Software: "v1", For: time.Second},
		{Service: "s", Software: "v1"},
		{Service: "s", Software: "v1", For: MaxLife + 1},
		{Service: long, For: time.Second},
		{Service: "s", Software: long, For: time.Second},
	}})
	assert.Equal(t, r.Dump().Records, 0)
	assert.Equal(t, r.Dump().Rejected, uint64(5))
}

// TestWorkspacesAreApart checks that the same request ID names different streams in different workspaces.
func TestWorkspacesAreApart(t *testing.T) {
	assert.Assert(t, KeyOf("w", "r") != KeyOf("v", "r"))
	assert.Assert(t, KeyOf("w", "ar") != KeyOf("wa", "r"))
}
