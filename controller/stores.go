// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"sort"
	"time"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/keeper"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/orderer"
)

// askKept is the interval between two questions for what stores hold.
const askKept = time.Second

// issuedStore is an issuer's plan for one upstream's store.
type issuedStore struct {
	plan        *keeper.Store
	incarnation uint64
	next        uint64 // next is the sequence number of the next cache event.
	settled     bool   // settled tells that nobody else can change the store any more.
	fenced      bool   // fenced tells that the upstream has seen this issuer's fencing number.
	read        bool   // read tells that all segments were read since.
}

// tickStores carries on the plans of a group's stores.
func (n *Node) tickStores(now time.Time, doc *configurer.Document, g int) {
	gr := n.groups[g]
	for i := range doc.Upstreams {
		u := &doc.Upstreams[i]
		if u.Kind != configurer.KindEngine || u.StoreBlocks == 0 || groupOf(u.Name) != g {
			continue
		}
		st := gr.stores[u.Name]
		if st == nil {
			st = newIssuedStore(u)
			gr.stores[u.Name] = st
		}
		n.tickStore(now, gr, u, st)
	}
}

func newIssuedStore(u *configurer.Upstream) *issuedStore {
	return &issuedStore{
		plan: keeper.NewStore(keeper.StoreOptions{
			Capacity:   u.StoreBlocks,
			BlockBytes: u.BytesPerToken * keeper.TokensPerBlock,
			LinkRate:   u.LinkRate,
		}),
	}
}

func (n *Node) tickStore(now time.Time, gr *group, u *configurer.Upstream, st *issuedStore) {
	if !gr.issuer.MayOrder(now, u.ChecksFencing) {
		return
	}
	if u.ChecksFencing && !st.fenced {
		// An empty order makes the upstream refuse the issuer before this one.
		n.issue(now, groupOf(u.Name), orderer.AddressedOrder{Upstream: u.Name, Order: wire.Order{Fencing: gr.issuer.Epoch(), Kind: wire.OrderFree}})
		return
	}
	st.settled = true
	if !st.read {
		return
	}
	plan := st.plan.Tick(now)
	for _, blocks := range plan.Export {
		n.export(now, gr, u, st, blocks)
	}
	if len(plan.Free) > 0 {
		o := wire.Order{Fencing: gr.issuer.Epoch(), Kind: wire.OrderFree}
		for _, r := range plan.Free {
			o.Segments = append(o.Segments, wire.SegmentRef{Name: keeper.WireName(r.Wire), Generation: r.Generation})
		}
		n.issue(now, groupOf(u.Name), orderer.AddressedOrder{Upstream: u.Name, Order: o})
	}
}

func (n *Node) export(now time.Time, gr *group, u *configurer.Upstream, st *issuedStore, e keeper.Export) {
	o := wire.Order{Fencing: gr.issuer.Epoch(), Kind: wire.OrderExport, From: e.From}
	if e.From > 0 {
		o.Parent = keeper.WireName(e.Parent)
	}
	for _, b := range e.Blocks {
		o.Blocks = append(o.Blocks, keeper.WireName(b))
	}
	n.issue(now, groupOf(u.Name), orderer.AddressedOrder{Upstream: u.Name, Order: o})
}

// storeOrderDone notes that an upstream has accepted this issuer's number.
func (n *Node) storeOrderDone(_ time.Time, gr *group, ev OrderDone) {
	if st := gr.stores[ev.Upstream]; st != nil && ev.Order.Fencing == gr.issuer.Epoch() {
		st.fenced = true
	}
}

// CacheQuestion is what to ask an upstream about its cache.
type CacheQuestion struct {
	Upstream string
	Address  string
	All      bool   // All asks for all segments.
	From     uint64 // From is the sequence number of the first event wanted.
}

// CacheQuestions returns what to ask upstreams about their caches.
func (n *Node) CacheQuestions() []CacheQuestion {
	doc := n.config.Document()
	if doc == nil {
		return nil
	}
	var out []CacheQuestion
	for i := range doc.Upstreams {
		u := &doc.Upstreams[i]
		gr := n.groups[groupOf(u.Name)]
		if gr == nil || gr.stores[u.Name] == nil || !gr.stores[u.Name].settled {
			continue
		}
		st := gr.stores[u.Name]
		out = append(out, CacheQuestion{Upstream: u.Name, Address: u.Address, All: !st.read, From: st.next})
	}
	return out
}

func (n *Node) cacheRead(now time.Time, ev CacheRead) {
	gr := n.groups[groupOf(ev.Upstream)]
	if gr == nil || gr.stores[ev.Upstream] == nil {
		return
	}
	st := gr.stores[ev.Upstream]
	switch {
	case ev.Segments != nil:
		n.allRead(now, ev.Upstream, st, ev.Segments)
	case ev.Events != nil && ev.Events.Incarnation != st.incarnation:
		st.read = false // started anew: ask for all
	case ev.Events != nil && len(ev.Events.Events) > 0 && ev.Events.Events[0].Sequence > st.next:
		st.read = false // events were lost: ask for all
	case ev.Events != nil:
		for _, e := range ev.Events.Events {
			st.event(now, e)
		}
		st.next = ev.Events.Next
	}
}

// allRead begins the plan of a store anew with what the upstream says.
func (n *Node) allRead(now time.Time, upstream string, st *issuedStore, all *wire.KeptSegments) {
	if doc := n.config.Document(); doc != nil && (st.incarnation != all.Incarnation || !st.read) {
		for i := range doc.Upstreams {
			if doc.Upstreams[i].Name == upstream {
				fresh := newIssuedStore(&doc.Upstreams[i])
				st.plan.Replace(fresh.plan)
			}
		}
	}
	st.incarnation, st.next, st.read = all.Incarnation, all.Next, true
	sort.Slice(all.Segments, func(i, j int) bool { return all.Segments[i].From < all.Segments[j].From })
	for _, e := range all.Segments {
		st.event(now, e)
	}
}

func (st *issuedStore) event(now time.Time, e wire.CacheEvent) {
	raw, ok := keeper.ParseWire(e.Block)
	if !ok {
		return
	}
	switch e.Kind {
	case wire.SegmentSealed:
		parent, _ := keeper.ParseWire(e.Parent)
		st.plan.Sealed(now, raw, e.Generation, e.Blocks, e.From, parent)
	case wire.SegmentFreed:
		st.plan.Gone(raw, e.Generation)
	}
}

// turnEnded passes the end of a turn to the issuer of its upstream.
func (n *Node) turnEnded(now time.Time, from string, t keeper.Turn) {
	g := groupOf(t.Upstream)
	holder := n.holderOf(groupLease(g))
	switch {
	case holder == n.opts.Self.Host:
		if gr := n.groups[g]; gr != nil && gr.stores[t.Upstream] != nil {
			gr.stores[t.Upstream].plan.Turn(now, t)
		}
	case holder != "" && from == n.opts.Self.Host:
		n.turns[holder] = append(n.turns[holder], t)
	}
}

// keptView is how far this host knows the stores.
type keptView struct {
	asked    time.Time
	sequence uint64
	pending  map[uint64]time.Time // pending is when each question was asked.
	epochs   [upstreamGroups]uint64
	versions map[string]uint64
}

func newKeptView() keptView {
	return keptView{pending: make(map[uint64]time.Time), versions: make(map[string]uint64)}
}

// tickKept asks the issuers for what the stores hold.
func (n *Node) tickKept(now time.Time) {
	doc := n.config.Document()
	if doc == nil || now.Sub(n.kept.asked) < askKept {
		return
	}
	n.kept.asked = now
	for seq, at := range n.kept.pending {
		if now.Sub(at) > keeper.KeptLease {
			delete(n.kept.pending, seq)
		}
	}
	for g := range upstreamGroups {
		ask := messenger.KeptAsk{Group: g, Epoch: n.kept.epochs[g]}
		for i := range doc.Upstreams {
			u := &doc.Upstreams[i]
			if u.StoreBlocks > 0 && groupOf(u.Name) == g {
				ask.Upstreams = append(ask.Upstreams, messenger.KeptVersion{Upstream: u.Name, Version: n.kept.versions[u.Name]})
			}
		}
		if len(ask.Upstreams) > 0 {
			n.ask(now, ask)
		}
	}
}

func (n *Node) ask(now time.Time, ask messenger.KeptAsk) {
	n.kept.sequence++
	ask.Sequence = n.kept.sequence
	n.kept.pending[ask.Sequence] = now
	switch to := n.holderOf(groupLease(ask.Group)); to {
	case "":
	case n.opts.Self.Host:
		n.keptAsked(now, to, ask)
	default:
		n.do(Send{To: to, Message: &messenger.Message{KeptAsk: &ask}})
	}
}

// keptAsked answers a host's question as issuer.
func (n *Node) keptAsked(now time.Time, from string, ask messenger.KeptAsk) {
	if ask.Group < 0 || ask.Group >= upstreamGroups {
		return
	}
	gr := n.groups[ask.Group]
	epoch, ok := n.holder.Valid(now, groupLease(ask.Group))
	if gr == nil || !ok || gr.issuer.Epoch() != epoch {
		return
	}
	tell := messenger.KeptTell{Sequence: ask.Sequence, Group: ask.Group, Epoch: epoch}
	for _, u := range ask.Upstreams {
		st := gr.stores[u.Upstream]
		if st == nil || !st.settled || !st.read {
			continue
		}
		version := u.Version
		if ask.Epoch != epoch {
			version = st.plan.Version() + 1 // of another issuer: tell all
		}
		changes, full := st.plan.Since(version)
		tell.Stores = append(tell.Stores, messenger.KeptStore{
			Upstream: u.Upstream,
			Version:  st.plan.Version(),
			Full:     full,
			Changes:  changes,
		})
	}
	if from == n.opts.Self.Host {
		n.keptTold(now, tell)
		return
	}
	n.do(Send{To: from, Message: &messenger.Message{KeptTell: &tell}})
}

// keptTold takes an issuer's answer. What it tells may be offered for as long
// as the lease on it, counted from the question.
func (n *Node) keptTold(_ time.Time, tell messenger.KeptTell) {
	asked, ok := n.kept.pending[tell.Sequence]
	if !ok || tell.Group < 0 || tell.Group >= upstreamGroups || tell.Epoch < n.kept.epochs[tell.Group] {
		return
	}
	delete(n.kept.pending, tell.Sequence)
	n.kept.epochs[tell.Group] = tell.Epoch
	for _, s := range tell.Stores {
		n.kept.versions[s.Upstream] = s.Version
		n.do(KeptChanged{
			Upstream: s.Upstream,
			Full:     s.Full,
			Changes:  s.Changes,
			Until:    asked.Add(keeper.KeptLease),
		})
	}
}
