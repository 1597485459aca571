// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package renewer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// loads is how long engines of these tests load weights.
const loads = 500 * time.Millisecond

// fleet is engines that load weights as they are told, and end if ends says so; they are back
// at once under another ID, with the weights of before.
type fleet struct {
	*stepper
	ends  func(load int) bool // ends tells whether the load of this number ends its engine.
	view  *follower.View
	due   map[string]time.Time // due is when an engine's load is over.
	loads int
	ended int
}

func newFleet(engines int, ends func(load int) bool) *fleet {
	f := &fleet{stepper: newStepper("a"), ends: ends, due: make(map[string]time.Time)}
	f.view = &follower.View{Named: map[string]follower.Named{"m": {Version: 2}}}
	var upstreams []follower.Upstream
	for i := range engines {
		upstreams = append(upstreams, follower.Upstream{ID: fmt.Sprint("e", i), Standing: follower.StandingReady, Weights: map[string]uint64{"m": 1}})
	}
	f.view.Upstreams = follower.ListOf(upstreams...)
	return f
}

// run lets time pass, and returns whether all engines have the new version then.
func (f *fleet) run(d time.Duration) bool {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simTick) {
		f.settle()
		for _, c := range f.r.Step(f.now, Input{View: f.view, Busy: func(string) int { return 0 }}) {
			f.answer(c)
		}
	}
	for u := range f.view.Upstreams.All() {
		if u.Weights["m"] < 2 {
			return false
		}
	}
	return true
}

func (f *fleet) answer(c Command) {
	switch c := c.(type) {
	case ReadLease:
		f.r.LeaseRead(f.now, f.r.lease.now, nil)
	case WriteLease:
		f.r.LeaseWritten(f.now, c, false, nil)
	case Order:
		if _, busy := f.due[c.Upstream.ID]; !busy {
			f.due[c.Upstream.ID] = f.now.Add(loads)
		}
		f.r.Ordered(f.now, c, OrderAccepted)
	case Ask:
		_, busy := f.due[c.Upstream.ID]
		f.r.Told(f.now, c, busy, c.Upstream.Weights["m"], nil)
	}
}

// settle ends the loads whose time has come.
func (f *fleet) settle() {
	var upstreams []follower.Upstream
	for u := range f.view.Upstreams.All() {
		u := *u
		if due, ok := f.due[u.ID]; ok && !f.now.Before(due) {
			delete(f.due, u.ID)
			f.loads++
			if f.ends(f.loads) {
				f.ended++
				u = follower.Upstream{ID: fmt.Sprint("back-", f.ended), Standing: u.Standing, Weights: u.Weights}
			} else {
				u.Weights = map[string]uint64{"m": 2}
			}
		}
		upstreams = append(upstreams, u)
	}
	f.view = &follower.View{Named: f.view.Named, Upstreams: follower.ListOf(upstreams...)}
}

// TestVersionThatEndsEngines: a version whose load ends each engine ends few of them, and is
// tried again seldom.
func TestVersionThatEndsEngines(t *testing.T) {
	f := newFleet(18, func(int) bool { return true })
	f.run(5 * time.Second)
	assert.Equal(t, f.ended, doubted+1)
	f.run(30 * time.Second) // tries after 10 and 20 s more
	assert.Equal(t, f.ended, doubted+3)
	f.run(time.Hour)
	const doublings = 10
	assert.Assert(t, f.ended < doubted+doublings, "%d engines have ended", f.ended)
}

// TestEndsByChance: engines that end by chance as they load do not keep a version from the
// others.
func TestEndsByChance(t *testing.T) {
	const inTime = 10 * time.Second // within which engines are to be renewed
	for _, c := range []struct {
		name string
		ends func(load int) bool
	}{
		{"none", func(int) bool { return false }},
		{"the first three", func(load int) bool { return load <= 3 }},
		{"each second", func(load int) bool { return load%2 == 0 }},
		{"three after one", func(load int) bool { return load > 1 && load <= 4 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(18, c.ends)
			assert.Assert(t, f.run(inTime), "%d loads, %d engines have ended", f.loads, f.ended)
		})
	}
}

// TestDoubtsAreHandedOver: a host that takes over knows what the one before has seen, and
// forgets it with the first engine that has the version.
func TestDoubtsAreHandedOver(t *testing.T) {
	a := newFleet(18, func(int) bool { return true })
	a.run(5 * time.Second)
	b := newStepper("b")
	b.now = a.now
	b.r.Heard(b.now, a.r.Status(a.now))
	assert.Assert(t, !b.r.mayLoad(b.now, "m", 2, 0))
	assert.Assert(t, b.r.mayLoad(b.now, "m", 3, 0))
	assert.Assert(t, b.r.mayLoad(b.now.Add(firstDoubt), "m", 2, 0))
	assert.Assert(t, !b.r.mayLoad(b.now.Add(firstDoubt), "m", 2, 1))
	b.r.outdated(b.now, oneEngine(2, 2))
	assert.Assert(t, b.r.mayLoad(b.now, "m", 2, 1))
}
