// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"amaranthgate.example/amaranthgate/conductor"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/renewer"
	"amaranthgate.example/amaranthgate/tracker"
)

// Figures of the model of a fleet, from the users' sheets.
const (
	fleetStartSpread = 300 * time.Millisecond
	fleetInZone      = 200 * time.Microsecond
	fleetAcross      = 900 * time.Microsecond
	fleetAnswer      = 4 * time.Millisecond // fleetAnswer is how long the store takes for a call.
	fleetAppend      = 4 * time.Millisecond // fleetAppend is how long a partition takes for one append.
	fleetQueue       = 2 * time.Second      // fleetQueue is the wait from which on appends are turned away.
	fleetPage        = 200                  // fleetPage is the number of records of a page of a listing.
	fleetEntry       = 340                  // fleetEntry is the length of an upstream's entry in bytes.
	fleetReport      = 400 * time.Millisecond
	fleetWideMbps    = 1000
	fleetLargeCores  = 1.6
	fleetSmallCores  = 0.192
	fleetUse         = 0.02 // fleetUse is how many cores an active host uses.
	fleetLook        = 50 * time.Millisecond
	fleetBack        = time.Second
	fleetGap         = 500 * time.Millisecond // fleetGap is the pause between two hosts of a series.
)

// fleetLengths are the simulated times of the scenes.
var fleetLengths = map[FleetScene]time.Duration{
	FleetStart: 12 * time.Second, FleetIdle: 5 * time.Second, FleetChange: 3 * time.Second, FleetStorm: 5 * time.Second,
	FleetSeries: 10 * time.Second, FleetZone: 10 * time.Second, FleetKillAll: 12 * time.Second,
}

// fleetModel is hosts, links and a store. Upstreams write their entries when they change, and not
// again and again: what a reader gets of entries that say nothing new is left out.
type fleetModel struct {
	opts  FleetOptions
	rng   *rand.Rand
	now   time.Time
	queue fleetEvents
	count int
	hosts []*fleetHost
	named map[string]*fleetHost
	logs  map[follower.Feed][]follower.Record
	reads map[follower.Feed][]func() // reads are questions that wait for a record.
	cards map[string]tracker.HostRecord
	order []string  // order has the names of the announcements, sorted.
	free  time.Time // free is when the partition of announcements has nothing to do.
	sizes map[*messenger.Message]int
	sum   FleetResult
}

type fleetHost struct {
	name     string
	zone     string
	cores    float64
	mbps     float64
	node     *conductor.Node
	life     int // life counts starts and ends.
	gone     bool
	version  uint64
	count    int // count is the number of upstreams that the host knows.
	live     int
	active   string
	out, in  time.Time // out and in are until when the link is taken.
	linked   map[string]int
	messages int
	bytes    int
}

// fleetDecoder reads records of the model: a number as a configuration, and an upstream's entry,
// of which only the last byte says something.
type fleetDecoder struct{}

func (fleetDecoder) Decode(f follower.Feed, r follower.Record) (follower.Change, error) {
	if f == follower.FeedUpstreams {
		if len(r.Value) == 0 {
			return follower.Change{Removed: r.Key}, nil
		}
		slots := int(r.Value[len(r.Value)-1])
		return follower.Change{Upstream: &follower.Upstream{ID: r.Key, Service: "engines", Slots: slots, Standing: follower.StandingReady, Weights: map[string]uint64{"m": 1}}}, nil
	}
	n, err := strconv.ParseUint(string(r.Value), 10, 64)
	if err != nil {
		return follower.Change{}, err
	}
	return follower.Change{Table: matcher.New(matcher.Parts{Version: n, Services: []matcher.Service{{Name: "engines"}}})}, nil
}

func newFleetModel(o FleetOptions) *fleetModel {
	m := &fleetModel{
		opts: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), now: time.Unix(1_700_000_000, 0),
		named: make(map[string]*fleetHost), logs: make(map[follower.Feed][]follower.Record), reads: make(map[follower.Feed][]func()),
		cards: make(map[string]tracker.HostRecord), sizes: make(map[*messenger.Message]int),
	}
	for i := range o.Hosts {
		h := &fleetHost{name: fmt.Sprintf("host-%05d", i), zone: fmt.Sprint("zone-", i%o.Zones), cores: fleetSmallCores, mbps: o.LinkMbps}
		if i/o.Zones < o.Large {
			h.cores, h.mbps = fleetLargeCores, fleetWideMbps
		}
		m.hosts, m.named[h.name] = append(m.hosts, h), h
	}
	for i := range o.Upstreams {
		m.write(follower.FeedUpstreams, fmt.Sprintf("i-%08x", i), m.entry(1))
	}
	m.configure(1)
	return m
}

// entry is an upstream's entry. Most of it differs between upstreams, as their names do.
func (m *fleetModel) entry(slots byte) []byte {
	b := make([]byte, fleetEntry)
	for i := range fleetEntry / 10 {
		b[i] = byte(m.rng.Uint32())
	}
	b[len(b)-1] = slots
	return b
}

func (m *fleetModel) configure(version int) {
	m.write(follower.FeedOperator, "configuration", []byte(strconv.Itoa(version)))
}

func (m *fleetModel) write(f follower.Feed, key string, value []byte) {
	m.logs[f] = append(m.logs[f], follower.Record{Key: key, Value: value, Offset: int64(len(m.logs[f]))})
	waiting := m.reads[f]
	m.reads[f] = nil
	for _, answer := range waiting {
		answer()
	}
}

// play plays one scene and returns what it cost.
func (m *fleetModel) play(scene FleetScene) FleetResult {
	m.sum = FleetResult{Scene: scene, For: fleetLengths[scene]}
	for _, h := range m.hosts {
		h.messages, h.bytes = 0, 0
	}
	m.begin(scene)
	began, agreed := m.now, time.Time{}
	for end := began.Add(m.sum.For); m.now.Before(end); {
		m.until(m.now.Add(fleetLook))
		if m.opts.Progress != nil {
			m.opts.Progress(scene, m.now.Sub(began))
		}
		switch ok := m.agree(); {
		case !ok:
			agreed = time.Time{}
		case agreed.IsZero():
			agreed = m.now
		}
	}
	if !agreed.IsZero() {
		m.sum.Took = agreed.Sub(began)
	}
	m.roles()
	return m.sum
}

func (m *fleetModel) begin(scene FleetScene) {
	switch scene {
	case FleetStart:
		for _, h := range m.hosts {
			m.after(m.spread(), func() { m.start(h, true) })
		}
	case FleetChange:
		m.configure(len(m.logs[follower.FeedOperator]) + 1)
	case FleetStorm:
		for i := range m.opts.Upstreams / 40 {
			key := fmt.Sprintf("i-%08x", m.rng.IntN(m.opts.Upstreams))
			m.after(time.Duration(i)*10*time.Millisecond, func() { m.write(follower.FeedUpstreams, key, m.entry(byte(2+i%100))) })
		}
	case FleetSeries:
		for i := range m.opts.Series {
			h := m.hosts[m.rng.IntN(len(m.hosts))]
			m.after(time.Duration(i)*fleetGap, func() { m.kill(h) })
			m.after(time.Duration(i)*fleetGap+fleetBack, func() { m.start(h, false) })
		}
	case FleetZone:
		for _, h := range m.hosts {
			if h.zone == "zone-0" {
				m.kill(h)
				h.gone = true
			}
		}
	case FleetKillAll:
		for _, h := range m.hosts {
			m.kill(h)
			m.after(fleetBack+m.spread(), func() { m.start(h, false) })
		}
	}
}

func (m *fleetModel) spread() time.Duration {
	return time.Duration(m.rng.Int64N(int64(fleetStartSpread)))
}

// agree tells that all hosts know all that are there, which of them are active, the newest
// configuration and all upstreams.
func (m *fleetModel) agree() bool {
	there, active := 0, ""
	for _, h := range m.hosts {
		if !h.gone {
			there++
		}
	}
	for _, h := range m.hosts {
		if h.gone {
			continue
		}
		if active == "" {
			active = h.active
		}
		if h.node == nil || h.live != there || h.active != active || h.count != m.opts.Upstreams || h.version != uint64(len(m.logs[follower.FeedOperator])) {
			return false
		}
	}
	return true
}

// roles sums up what hosts have received and sent.
func (m *fleetModel) roles() {
	counts := make(map[*FleetRole]float64)
	for _, h := range m.hosts {
		if h.node == nil {
			continue
		}
		role := &m.sum.Standby
		if h.node.Serves() {
			role = &m.sum.Active
		}
		counts[role]++
		role.Messages += float64(h.messages)
		role.Bytes += float64(h.bytes)
		role.Most = max(role.Most, h.bytes)
	}
	for role, n := range counts {
		role.Messages /= n * m.sum.For.Seconds()
		role.Bytes /= n * m.sum.For.Seconds()
	}
}

func (m *fleetModel) kill(h *fleetHost) {
	h.node = nil
	h.life++
}

func (m *fleetModel) start(h *fleetHost, first bool) {
	if h.node != nil || h.gone {
		return
	}
	h.life++
	h.version, h.count, h.live, h.active, h.linked = 0, 0, 0, "", make(map[string]int)
	h.node = conductor.NewNode(conductor.NodeOptions{
		Self: tracker.HostRecord{
			Host: h.name, AvailabilityZone: h.zone, Incarnation: uint64(m.now.UnixNano()), State: tracker.HostLive,
			Peers: h.name, Callers: h.name, Cores: h.cores, LinkMbps: h.mbps,
		},
		Decoder: fleetDecoder{}, Timing: conductor.DefaultTiming(), FirstStart: first,
		Renewer: renewer.Options{Host: h.name, Term: time.Second, Turn: 3 * time.Second, Margin: 200 * time.Millisecond, AtOnce: 3, Seed: m.rng.Uint64()},
		Busy:    func(string) int { return 0 },
		Kept:    func() []placer.Placement { return nil },
		Stores:  func() []placer.StoreReport { return nil },
	})
	m.every(h, conductor.DefaultTiming().Tick, func() conductor.Event { return conductor.Tick{} })
	m.every(h, fleetReport, func() conductor.Event {
		return conductor.WorkReported{Report: placer.Report{Work: map[string]placer.Work{}}, Use: fleetUse}
	})
}

func (m *fleetModel) handle(h *fleetHost, ev conductor.Event) {
	for _, a := range h.node.Handle(m.now, ev) {
		m.carry(h, a)
	}
}

func (m *fleetModel) carry(h *fleetHost, a conductor.Action) {
	switch a := a.(type) {
	case conductor.Send:
		m.send(h, a.To, a.Message)
	case conductor.Spread:
		for _, to := range a.To {
			m.send(h, to.Host, a.Message)
		}
	case conductor.Read:
		m.read(h, a)
	case conductor.Find:
		m.answer(h, 1, func() conductor.Event { return m.find(a.After) })
	case conductor.Seek:
		m.answer(h, 1+len(m.cards)/fleetPage, func() conductor.Event {
			return conductor.HostsSought{Hosts: m.find("").Hosts, Whole: true, End: int64(len(m.cards))}
		})
	case conductor.Announce:
		m.announce(h)
	case conductor.Renew:
		m.sum.Calls++
		m.later(h, m.now.Add(fleetAnswer), func() conductor.Event {
			return conductor.RenewalEnd{Command: a.Command}
		})
	case conductor.PublishView:
		h.count = a.View.Upstreams.Len()
		if a.View.Table != nil {
			h.version = a.View.Table.Version()
		}
	case conductor.PublishHosts:
		h.live, h.active = 0, fmt.Sprint(a.Serving.Hosts())
		for _, r := range a.Hosts {
			if r.State == tracker.HostLive {
				h.live++
			}
		}
	}
}
