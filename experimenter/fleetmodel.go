// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"amaranthgate.example/amaranthgate/conductor"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/tracker"
	"amaranthgate.example/amaranthgate/updater"
)

// Parameters of the fleet simulation.
const (
	fleetMaxStartDelay    = 300 * time.Millisecond
	fleetZoneLatency      = 200 * time.Microsecond
	fleetCrossZoneLatency = 900 * time.Microsecond
	fleetStoreLatency     = 4 * time.Millisecond // time of a call to the store
	fleetAppendTime       = 4 * time.Millisecond // a partition's time for one append
	fleetMaxAppendWait    = 2 * time.Second      // appends that would wait longer are rejected
	fleetPageRecords      = 200                  // records in a page of a listing
	fleetEntryBytes       = 340                  // size of an upstream's entry
	fleetReportInterval   = 400 * time.Millisecond
	fleetLargeMbps        = 1000
	fleetLargeCores       = 1.6
	fleetSmallCores       = 0.192
	fleetCoresInUse       = 0.02
	fleetCheckInterval    = 50 * time.Millisecond
	fleetDowntime         = time.Second
	fleetRestartInterval  = 500 * time.Millisecond // interval between hosts in FleetSeries
)

// fleetDurations are the simulated times of the scenarios.
var fleetDurations = map[FleetScenario]time.Duration{
	FleetStart: 12 * time.Second, FleetIdle: 5 * time.Second, FleetChange: 3 * time.Second,
	FleetStorm: 5 * time.Second, FleetSeries: 10 * time.Second, FleetZone: 10 * time.Second,
	FleetKillAll: 12 * time.Second, FleetLoss: 10 * time.Second,
}

// fleetModel simulates hosts, their links and a store. It omits the periodic
// rewrites of unchanged upstream entries.
type fleetModel struct {
	opts          FleetOptions
	rng           *rand.Rand
	now           time.Time
	queue         fleetEvents
	seq           int
	hosts         []*fleetHost
	hostsByName   map[string]*fleetHost
	logs          map[follower.Feed][]follower.Record
	waitingReads  map[follower.Feed][]func() // pending reads, answered at the next record
	announcements map[string]tracker.HostRecord
	announced     []string  // sorted host names of the announcements
	version       int       // newest configuration
	era           uint64    // number of losses of records, plus one
	appendsFree   time.Time // time at which the announcements' partition is idle
	encodedSizes  map[*messenger.Message]int
	result        FleetResult
}

type fleetHost struct {
	name                  string
	zone                  string
	cores                 float64
	mbps                  float64
	node                  *conductor.Node
	incarnation           int // incremented at each start and stop
	removed               bool
	version               uint64
	upstreams             int // number of upstreams that the host knows
	liveHosts             int
	activeHosts           string
	sendFree, receiveFree time.Time // times at which the link is idle
	connected             map[string]int
	messages              int
	bytes                 int
}

// fleetDecoder decodes the simulation's records: a configuration is its version
// in decimal, and the last byte of an upstream's entry is its number of slots.
type fleetDecoder struct{}

func (fleetDecoder) Decode(f follower.Feed, r follower.Record) (follower.Change, error) {
	if f == follower.FeedUpstreams {
		if len(r.Value) == 0 {
			return follower.Change{Removed: r.Key}, nil
		}
		slots := int(r.Value[len(r.Value)-1])
		return follower.Change{Upstream: &follower.Upstream{
			ID: r.Key, Service: "engines", Slots: slots,
			Standing: follower.StandingReady, Weights: map[string]uint64{"m": 1},
		}}, nil
	}
	n, err := strconv.ParseUint(string(r.Value), 10, 64)
	if err != nil {
		return follower.Change{}, err
	}
	return follower.Change{
		Table: matcher.New(matcher.Parts{Version: n, Services: []matcher.Service{{Name: "engines"}}}),
	}, nil
}

func newFleetModel(o FleetOptions) *fleetModel {
	m := &fleetModel{
		era: 1, opts: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), now: time.Unix(1_700_000_000, 0),
		hostsByName: make(map[string]*fleetHost), logs: make(map[follower.Feed][]follower.Record),
		waitingReads:  make(map[follower.Feed][]func()),
		announcements: make(map[string]tracker.HostRecord), encodedSizes: make(map[*messenger.Message]int),
	}
	for i := range o.Hosts {
		h := &fleetHost{
			name: fmt.Sprintf("host-%05d", i), zone: fmt.Sprint("zone-", i%o.Zones),
			cores: fleetSmallCores, mbps: o.LinkMbps,
		}
		if i/o.Zones < o.Large {
			h.cores, h.mbps = fleetLargeCores, fleetLargeMbps
		}
		m.hosts, m.hostsByName[h.name] = append(m.hosts, h), h
	}
	for i := range o.Upstreams {
		m.appendRecord(follower.FeedUpstreams, fmt.Sprintf("i-%08x", i), m.newEntry(1))
	}
	m.configure()
	return m
}

// newEntry returns an upstream's entry: a random prefix that differs between
// upstreams, padding and the number of slots.
func (m *fleetModel) newEntry(slots byte) []byte {
	b := make([]byte, fleetEntryBytes)
	for i := range fleetEntryBytes / 10 {
		b[i] = byte(m.rng.Uint32())
	}
	b[len(b)-1] = slots
	return b
}

func (m *fleetModel) configure() {
	m.version++
	m.appendRecord(follower.FeedOperator, "configuration", []byte(strconv.Itoa(m.version)))
}

// loseRecords removes the newest records of each feed, as many as upstreams write in some seconds. Operators
// and upstreams write theirs again.
func (m *fleetModel) loseRecords() {
	m.era++
	entries := m.logs[follower.FeedUpstreams]
	for f, log := range m.logs {
		m.logs[f] = slices.Clone(log[:len(log)-max(1, len(log)/fleetLossDivisor)])
		m.answerReads(f)
	}
	m.after(fleetRewriteDelay, m.configure)
	newest := make(map[string][]byte)
	for _, r := range entries {
		newest[r.Key] = r.Value
	}
	keys := slices.Sorted(maps.Keys(newest))
	for i, key := range keys {
		delay := fleetRewriteDelay + fleetHeartbeat*time.Duration(i)/time.Duration(len(keys))
		m.after(delay, func() { m.appendRecord(follower.FeedUpstreams, key, newest[key]) })
	}
}

const (
	fleetLossDivisor  = 20
	fleetRewriteDelay = 100 * time.Millisecond
	fleetHeartbeat    = time.Second // time in which all upstreams write their entries
)

func (m *fleetModel) appendRecord(f follower.Feed, key string, value []byte) {
	m.logs[f] = append(m.logs[f], follower.Record{Key: key, Value: value, Offset: int64(len(m.logs[f]))})
	m.answerReads(f)
}

// answerReads answers the pending reads of a feed.
func (m *fleetModel) answerReads(f follower.Feed) {
	waiting := m.waitingReads[f]
	m.waitingReads[f] = nil
	for _, answer := range waiting {
		answer()
	}
}

// runScenario runs one scenario and returns its result.
func (m *fleetModel) runScenario(scenario FleetScenario) FleetResult {
	m.result = FleetResult{Scenario: scenario, Duration: fleetDurations[scenario]}
	for _, h := range m.hosts {
		h.messages, h.bytes = 0, 0
	}
	m.inject(scenario)
	began, convergedAt := m.now, time.Time{}
	for end := began.Add(m.result.Duration); m.now.Before(end); {
		m.runUntil(m.now.Add(fleetCheckInterval))
		if m.opts.Progress != nil {
			m.opts.Progress(scenario, m.now.Sub(began))
		}
		switch ok := m.converged(); {
		case !ok:
			convergedAt = time.Time{}
		case convergedAt.IsZero():
			convergedAt = m.now
		}
	}
	if !convergedAt.IsZero() {
		m.result.ConvergedAfter = convergedAt.Sub(began)
	}
	m.sumTraffic()
	return m.result
}

// inject schedules the changes of a scenario.
func (m *fleetModel) inject(scenario FleetScenario) {
	switch scenario {
	case FleetStart:
		for _, h := range m.hosts {
			m.after(m.startDelay(), func() { m.start(h, true) })
		}
	case FleetChange:
		m.configure()
	case FleetStorm:
		for i := range m.opts.Upstreams / 40 {
			key := fmt.Sprintf("i-%08x", m.rng.IntN(m.opts.Upstreams))
			m.after(time.Duration(i)*10*time.Millisecond, func() {
				m.appendRecord(follower.FeedUpstreams, key, m.newEntry(byte(2+i%100)))
			})
		}
	case FleetSeries:
		for i := range m.opts.Series {
			h := m.hosts[m.rng.IntN(len(m.hosts))]
			m.after(time.Duration(i)*fleetRestartInterval, func() { m.kill(h) })
			m.after(time.Duration(i)*fleetRestartInterval+fleetDowntime, func() { m.start(h, false) })
		}
	case FleetLoss:
		m.loseRecords()
	case FleetZone:
		for _, h := range m.hosts {
			if h.zone == "zone-0" {
				m.kill(h)
				h.removed = true
			}
		}
	case FleetKillAll:
		for _, h := range m.hosts {
			m.kill(h)
			m.after(fleetDowntime+m.startDelay(), func() { m.start(h, false) })
		}
	}
}

func (m *fleetModel) startDelay() time.Duration {
	return time.Duration(m.rng.Int64N(int64(fleetMaxStartDelay)))
}

// converged reports whether all hosts know all live hosts, the same active
// hosts, the newest configuration and all upstreams.
func (m *fleetModel) converged() bool {
	hosts, active := 0, ""
	for _, h := range m.hosts {
		if !h.removed {
			hosts++
		}
	}
	for _, h := range m.hosts {
		if h.removed {
			continue
		}
		if active == "" {
			active = h.activeHosts
		}
		if h.node == nil || h.liveHosts != hosts || h.activeHosts != active || h.upstreams != m.opts.Upstreams ||
			h.version != uint64(m.version) {
			return false
		}
	}
	return true
}

// sumTraffic computes the traffic of the hosts by role.
func (m *fleetModel) sumTraffic() {
	counts := make(map[*RoleTraffic]float64)
	for _, h := range m.hosts {
		if h.node == nil {
			continue
		}
		role := &m.result.Standby
		if h.node.Active() {
			role = &m.result.Active
		}
		counts[role]++
		role.MessagesPerSecond += float64(h.messages)
		role.BytesPerSecond += float64(h.bytes)
		role.MaxBytes = max(role.MaxBytes, h.bytes)
	}
	for role, n := range counts {
		role.MessagesPerSecond /= n * m.result.Duration.Seconds()
		role.BytesPerSecond /= n * m.result.Duration.Seconds()
	}
}

func (m *fleetModel) kill(h *fleetHost) {
	h.node = nil
	h.incarnation++
}

func (m *fleetModel) start(h *fleetHost, first bool) {
	if h.node != nil || h.removed {
		return
	}
	h.incarnation++
	h.version, h.upstreams, h.liveHosts, h.activeHosts, h.connected = 0, 0, 0, "", make(map[string]int)
	h.node = conductor.NewNode(conductor.NodeOptions{
		Self: tracker.HostRecord{
			Host: h.name, AvailabilityZone: h.zone, Incarnation: uint64(m.now.UnixNano()), State: tracker.HostLive,
			Peers: h.name, Callers: h.name, Cores: h.cores, LinkMbps: h.mbps,
		},
		Decoder: fleetDecoder{}, Timing: conductor.DefaultTiming(), FirstStart: first,
		Updater: updater.Options{
			Host: h.name, Term: time.Second, HandoverGap: 3 * time.Second, Margin: 200 * time.Millisecond, AtOnce: 3,
			Seed: m.rng.Uint64(),
		},
		Busy:         func(string) int { return 0 },
		Placements:   func() []placer.Placement { return nil },
		StoreReports: func() []placer.StoreReport { return nil },
	})
	m.handleEvery(h, conductor.DefaultTiming().Tick, func() conductor.Event { return conductor.Tick{} })
	m.handleEvery(h, fleetReportInterval, func() conductor.Event {
		return conductor.WorkReported{Report: placer.Report{Work: map[string]placer.Work{}}, CoresInUse: fleetCoresInUse}
	})
}

func (m *fleetModel) handle(h *fleetHost, ev conductor.Event) {
	for _, a := range h.node.Handle(m.now, ev) {
		m.execute(h, a)
	}
}

func (m *fleetModel) execute(h *fleetHost, a conductor.Action) {
	switch a := a.(type) {
	case conductor.Send:
		m.send(h, a.To, a.Message)
	case conductor.SendAll:
		for _, to := range a.To {
			m.send(h, to.Host, a.Message)
		}
	case conductor.Read:
		m.read(h, a)
	case conductor.ReadAnnouncements:
		m.reply(h, 1, func() conductor.Event { return m.announcementPage(a.After) })
	case conductor.ReadAllAnnouncements:
		m.reply(h, 1+len(m.announcements)/fleetPageRecords, func() conductor.Event {
			return conductor.AllAnnouncementsRead{
				Hosts: m.announcementPage("").Hosts, Complete: true, End: follower.Position{Era: m.era, Offset: int64(len(m.announcements))},
			}
		})
	case conductor.Announce:
		m.announce(h)
	case conductor.Renew:
		m.result.StoreCalls++
		m.handleAt(h, m.now.Add(fleetStoreLatency), func() conductor.Event {
			return conductor.RenewalEnd{Command: a.Command}
		})
	case conductor.PublishView:
		h.upstreams = a.View.Upstreams.Len()
		if a.View.Table != nil {
			h.version = a.View.Table.Version()
		}
	case conductor.PublishHosts:
		h.liveHosts, h.activeHosts = 0, fmt.Sprint(a.Active.Hosts())
		for _, r := range a.Hosts {
			if r.State == tracker.HostLive {
				h.liveHosts++
			}
		}
	}
}
