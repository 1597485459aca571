// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/internal/strictjson"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/prober"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/tracker"
)

func TestReachable(t *testing.T) {
	text, err := os.ReadFile("testdata/reachable.jsonc")
	assert.NilError(t, err)
	var cases []struct {
		Name    string
		Hosts   map[string]string
		Exclude []string
		Want    []string
	}
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			r := reachable{
				self: "self", zone: "a", regions: map[string]string{"a": "r1", "b": "r1", "c": "r2"},
				uncontacted: make(map[string]bool), serving: activator.Selection{Active: make(map[string]bool)},
			}
			for _, name := range slices.Sorted(maps.Keys(c.Hosts)) {
				words := strings.Fields(c.Hosts[name])
				r.hosts = append(r.hosts, tracker.HostRecord{
					Host: name, Peers: name, AvailabilityZone: words[0], State: tracker.HostState(words[1]),
					Ready: slices.Contains(words, "ready"), CutOff: slices.Contains(words, "cut"),
				})
				r.uncontacted[name] = !slices.Contains(words, "heard")
				r.serving.Active[name] = slices.Contains(words, "active")
			}
			got := make(map[string]bool)
			for range 50 {
				if record, ok := r.pick(c.Exclude, rng.IntN); ok {
					got[record.Host] = true
				}
			}
			assert.DeepEqual(t, append([]string{}, slices.Sorted(maps.Keys(got))...), c.Want)
		})
	}
}

// reachHost returns a host that knows another host and upstreams, and whether probes of them are refused.
func reachHost(t *testing.T, disabled ...loader.Mechanism) (h *Host, refused *atomic.Bool) {
	h = newNotesHost(t, &notesStore{notes: make(map[string][]byte)})
	h.opts.Settings.Platform.Disabled = disabled
	h.reach = newReach(h, 1)
	refused = &atomic.Bool{}
	h.reach.probes = func(context.Context, string) error {
		if refused.Load() {
			return syscall.ECONNREFUSED
		}
		return nil
	}
	var upstreams []follower.Upstream
	for i := range 6 {
		upstreams = append(upstreams, follower.Upstream{
			ID: fmt.Sprint("u", i), Address: fmt.Sprint("u", i), Service: fmt.Sprint("s", i%2), Standing: follower.StandingReady,
		})
	}
	h.view.Store(&follower.View{Upstreams: follower.ListOf(upstreams...)})
	h.knowOther(tracker.HostRecord{Host: "host-2", Peers: "p2", State: tracker.HostLive, Ready: true})
	go func() { // the control loop
		for {
			select {
			case <-h.events:
			case <-h.ctx.Done():
				return
			}
		}
	}()
	h.spawn(h.reach.run)
	return h, refused
}

// knowOther sets the only other host.
func (h *Host) knowOther(r tracker.HostRecord) {
	h.hosts.Store(&[]tracker.HostRecord{h.self(), r})
	h.serving.Store(&activator.Selection{All: true})
}

// fail reports a failed connection of a request.
func (r *Reach) fail(address string) {
	r.observe(forwarder.Connection{Address: address, Started: r.host.opts.Timer.Now(), Err: syscall.ECONNREFUSED})
}

func awaitCutOff(t *testing.T, h *Host, want bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.reach.CutOff() == want {
			return poll.Success()
		}
		return poll.Continue("cut off: %v", !want)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestReach checks that a host notices a cut and its end, and what follows from them.
func TestReach(t *testing.T) {
	h, refused := reachHost(t)
	h.reach.fail("u1") // others accept connections
	assert.Assert(t, h.reach.sound())
	assert.Assert(t, !h.reach.CutOff())

	refused.Store(true)
	h.reach.fail("u1")
	assert.Assert(t, !h.reach.sound(), "waits for the decision")
	awaitCutOff(t, h, true)
	poll.WaitOn(t, func(poll.LogT) poll.Result { // the state is passed on after it is set
		if h.placer.Dump(h.opts.Timer.Now()).CutOff {
			return poll.Success()
		}
		return poll.Continue("the placer does not know")
	})
	name, address, _, ok := h.reach.Host(nil)
	assert.Assert(t, ok && name == "host-2" && address == "p2")
	_, _, _, ok = h.reach.Host([]string{"host-2"})
	assert.Assert(t, !ok)
	d := h.reach.dump(h.opts.Timer.Now())
	assert.Assert(t, d.CutOff && d.State == prober.CutOff && d.Cuts == 1 && len(d.Failed) >= 3, "%+v", d)
	assert.Equal(t, h.counters.set.GetOrCreateGauge("amaranthgate_cut_off", nil).Get(), 1.0)
	assert.Equal(t, h.counters.set.GetOrCreateGauge("amaranthgate_cut_offs_total", nil).Get(), 1.0)

	h.knowOther(tracker.HostRecord{Host: "host-2", Peers: "p2", State: tracker.HostLive, Ready: true, CutOff: true})
	awaitCutOff(t, h, false)
	assert.Assert(t, h.reach.sound(), "the state has no effect")
	h.knowOther(tracker.HostRecord{Host: "host-2", Peers: "p2", State: tracker.HostLive, Ready: true})
	awaitCutOff(t, h, true)

	refused.Store(false)
	awaitCutOff(t, h, false)
	assert.Equal(t, h.reach.dump(h.opts.Timer.Now()).State, prober.Reaching)
}

// TestReachDisabled checks that a host without the mechanism never counts as cut off.
func TestReachDisabled(t *testing.T) {
	h, _ := reachHost(t, loader.MechanismPassOn)
	assert.Assert(t, h.reach.prober == nil)
	assert.Assert(t, !h.reach.CutOff() && h.reach.sound())
	assert.Assert(t, h.reach.dump(h.opts.Timer.Now()) == nil)
}

// TestCutOffEndsNoUpstream checks that refused connections of a host that is cut off are no proof that upstreams ended,
// also those that began the doubt, and that others are.
func TestCutOffEndsNoUpstream(t *testing.T) {
	for _, cut := range []bool{true, false} {
		h, refused := reachHost(t)
		refused.Store(cut)
		id := quarantiner.Identify(quarantiner.Parts{Target: "/x"})
		q := soundQuarantine{h.quarantine, h.reach}
		q.Abandoned(h.opts.Timer.Now(), quarantiner.Evidence{Request: id}, "u1")
		h.reach.fail("u1")
		q.InstanceEnded(h.opts.Timer.Now(), "u1")
		if cut {
			awaitCutOff(t, h, true)
		}
		h.cancel()
		h.work.Wait()
		assert.Equal(t, len(h.quarantine.TakeChanges(h.opts.Timer.Now())) > 0, !cut)
	}
}

// TestCutOffIsGossiped checks that all hosts learn at once which hosts are cut off, and that the state has an effect only
// while another one is not.
func TestCutOffIsGossiped(t *testing.T) {
	c := newCluster(4)
	c.run(3 * time.Second)
	c.nodes[0].inbox = append(c.nodes[0].inbox, ReachChanged{CutOff: true})
	c.run(100 * time.Millisecond)
	for _, s := range c.nodes {
		r, ok := s.node.hosts.Lookup("host-1")
		assert.Assert(t, ok && r.CutOff, s.name)
		assert.Equal(t, s.node.cutOff(), s == c.nodes[0])
		assert.Equal(t, len(reaching(s.node.hosts.All(), s.node.topology().active)), 3)
	}
	for _, s := range c.nodes[1:] {
		s.inbox = append(s.inbox, ReachChanged{CutOff: true})
	}
	c.run(100 * time.Millisecond)
	for _, s := range c.nodes {
		assert.Assert(t, !s.node.cutOff())
	}
	for _, s := range c.nodes {
		s.inbox = append(s.inbox, ReachChanged{})
	}
	c.run(100 * time.Millisecond)
	for _, s := range c.nodes {
		for _, r := range s.node.hosts.All() {
			assert.Assert(t, !r.CutOff)
		}
	}
}

// blockedStores are KV cache stores that do not answer.
type blockedStores struct{ CacheStores }

func (blockedStores) Changes(ctx context.Context, _ string, _ int64, _ time.Duration) (c placer.StoreChanges, next int64, lost bool, err error) {
	<-ctx.Done()
	return c, 0, false, ctx.Err()
}

// TestCutOffGivesUpDuties checks that the duties at KV cache stores go to a host that is not cut off, whichever of two
// hosts is first in rank.
func TestCutOffGivesUpDuties(t *testing.T) {
	h := newNotesHost(t, &notesStore{notes: make(map[string][]byte)})
	h.opts.CacheStores = blockedStores{}
	store := matcher.Service{Name: "s", Store: &matcher.Store{Address: "127.0.0.1:9"}}
	h.view.Store(&follower.View{Table: matcher.New(matcher.Parts{Services: []matcher.Service{store}})})
	for _, cutOff := range []string{"host-1", "host-2", "host-1"} {
		var hosts []tracker.HostRecord
		for _, name := range []string{"host-1", "host-2"} {
			hosts = append(hosts, tracker.HostRecord{Host: name, State: tracker.HostLive, Ready: true, CutOff: name == cutOff})
		}
		h.execute(PublishHosts{Hosts: hosts, Active: activator.Select(hosts, nil)})
		assert.Equal(t, h.evictsStores.Load(), cutOff != "host-1")
		assert.Equal(t, len(h.storeWatches) == 1, cutOff != "host-1")
	}
	h.cancel()
	h.work.Wait()
}

// TestCutOffTakesNoLease checks that a host that is cut off leaves the lease of orders to engines to others.
func TestCutOffTakesNoLease(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		c := newCluster(2)
		c.run(2 * time.Second)
		n := c.nodes[0].node
		n.Handle(c.now, ReachChanged{CutOff: cutOff})
		n.view = &follower.View{
			Versions:  map[string]follower.VersionHistory{"m": {Version: 2}},
			Upstreams: follower.ListOf(follower.Upstream{ID: "e", Standing: follower.StandingReady, Weights: map[string]uint64{"m": 1}}),
		}
		asked := false
		for range 100 {
			n.actions = nil
			n.renew(c.now)
			for _, a := range n.actions {
				_, renews := a.(Renew)
				asked = asked || renews
			}
			c.now = c.now.Add(clusterTick)
		}
		assert.Equal(t, asked, !cutOff)
	}
}
