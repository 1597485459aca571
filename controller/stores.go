// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"sort"
	"time"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/indexer"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/issuer"
	"amaranthgate.example/amaranthgate/messenger"
)

// cacheQueryInterval is the interval of queries to issuers for the contents of stores.
const cacheQueryInterval = time.Second

// cacheStore is an issuer's state of the KV cache store of one upstream.
type cacheStore struct {
	plan        *indexer.Store
	incarnation uint64
	next        uint64 // next is the sequence number of the next cache event.
	exclusive   bool   // exclusive reports whether other issuers can no longer change the store.
	fenced      bool   // fenced reports whether the upstream has accepted this issuer's fencing number.
	listed      bool   // listed reports whether all segments have been read since.
}

// tickStores issues the orders that are due for the stores of a group.
func (n *Node) tickStores(now time.Time, doc *configurer.Document, g int) {
	gr := n.groups[g]
	for i := range doc.Upstreams {
		u := &doc.Upstreams[i]
		if u.Kind != configurer.KindEngine || u.StoreBlocks == 0 || groupOf(u.Name) != g {
			continue
		}
		st := gr.stores[u.Name]
		if st == nil {
			st = newCacheStore(u)
			gr.stores[u.Name] = st
		}
		n.tickStore(now, gr, u, st)
	}
}

func newCacheStore(u *configurer.Upstream) *cacheStore {
	return &cacheStore{
		plan: indexer.NewStore(indexer.StoreOptions{
			Capacity:   u.StoreBlocks,
			BlockBytes: u.BytesPerToken * indexer.TokensPerBlock,
			LinkRate:   u.LinkRate,
		}),
	}
}

func (n *Node) tickStore(now time.Time, gr *issuerGroup, u *configurer.Upstream, st *cacheStore) {
	if !gr.issuer.MayOrder(now, u.ChecksFencing) {
		return
	}
	if u.ChecksFencing && !st.fenced {
		// An empty order makes the upstream reject orders of earlier issuers.
		n.emitOrder(now, groupOf(u.Name), issuer.AddressedOrder{Upstream: u.Name, Order: wire.Order{Fencing: gr.issuer.Epoch(), Kind: wire.OrderFree}})
		return
	}
	st.exclusive = true
	if !st.listed {
		return
	}
	plan := st.plan.Tick(now)
	for _, blocks := range plan.Export {
		n.export(now, gr, u, st, blocks)
	}
	if len(plan.Free) > 0 {
		o := wire.Order{Fencing: gr.issuer.Epoch(), Kind: wire.OrderFree}
		for _, r := range plan.Free {
			o.Segments = append(o.Segments, wire.SegmentRef{Name: indexer.WireName(r.Wire), Generation: r.Generation})
		}
		n.emitOrder(now, groupOf(u.Name), issuer.AddressedOrder{Upstream: u.Name, Order: o})
	}
}

func (n *Node) export(now time.Time, gr *issuerGroup, u *configurer.Upstream, st *cacheStore, e indexer.Export) {
	o := wire.Order{Fencing: gr.issuer.Epoch(), Kind: wire.OrderExport, From: e.From}
	if e.From > 0 {
		o.Parent = indexer.WireName(e.Parent)
	}
	for _, b := range e.Blocks {
		o.Blocks = append(o.Blocks, indexer.WireName(b))
	}
	n.emitOrder(now, groupOf(u.Name), issuer.AddressedOrder{Upstream: u.Name, Order: o})
}

// storeOrderDone records that an upstream has accepted this issuer's fencing number.
func (n *Node) storeOrderDone(_ time.Time, gr *issuerGroup, ev OrderDone) {
	if st := gr.stores[ev.Upstream]; st != nil && ev.Order.Fencing == gr.issuer.Epoch() {
		st.fenced = true
	}
}

// CacheRequest is a request to an upstream for its cache events or segments.
type CacheRequest struct {
	Upstream string
	Address  string
	All      bool   // All requests all segments instead of events.
	From     uint64 // From is the sequence number of the first event.
}

// CacheRequests returns the requests to send to the upstreams that this host issues
// orders to.
func (n *Node) CacheRequests() []CacheRequest {
	doc := n.config.Document()
	if doc == nil {
		return nil
	}
	var out []CacheRequest
	for i := range doc.Upstreams {
		u := &doc.Upstreams[i]
		gr := n.groups[groupOf(u.Name)]
		if gr == nil || gr.stores[u.Name] == nil || !gr.stores[u.Name].exclusive {
			continue
		}
		st := gr.stores[u.Name]
		out = append(out, CacheRequest{Upstream: u.Name, Address: u.Address, All: !st.listed, From: st.next})
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
		n.segmentsListed(now, ev.Upstream, st, ev.Segments)
	case ev.Events != nil && ev.Events.Incarnation != st.incarnation:
		st.listed = false // the upstream restarted: request all segments
	case ev.Events != nil && len(ev.Events.Events) > 0 && ev.Events.Events[0].Sequence > st.next:
		st.listed = false // events were lost: request all segments
	case ev.Events != nil:
		for _, e := range ev.Events.Events {
			st.applyEvent(now, e)
		}
		st.next = ev.Events.Next
	}
}

// segmentsListed applies the segments of a store. It starts a new plan if the
// upstream restarted or events were lost.
func (n *Node) segmentsListed(now time.Time, upstream string, st *cacheStore, all *wire.StoredSegments) {
	if doc := n.config.Document(); doc != nil && (st.incarnation != all.Incarnation || !st.listed) {
		for i := range doc.Upstreams {
			if doc.Upstreams[i].Name == upstream {
				fresh := newCacheStore(&doc.Upstreams[i])
				st.plan.Replace(fresh.plan)
			}
		}
	}
	st.incarnation, st.next, st.listed = all.Incarnation, all.Next, true
	sort.Slice(all.Segments, func(i, j int) bool { return all.Segments[i].From < all.Segments[j].From })
	for _, e := range all.Segments {
		st.applyEvent(now, e)
	}
}

func (st *cacheStore) applyEvent(now time.Time, e wire.CacheEvent) {
	raw, ok := indexer.ParseWire(e.Block)
	if !ok {
		return
	}
	switch e.Kind {
	case wire.SegmentSealed:
		parent, _ := indexer.ParseWire(e.Parent)
		st.plan.SegmentReported(now, raw, e.Generation, e.Blocks, e.From, parent)
	case wire.SegmentFreed:
		st.plan.SegmentRemoved(raw, e.Generation)
	}
}

// turnEnded passes a turn to the issuer of its upstream.
func (n *Node) turnEnded(now time.Time, from string, t indexer.Turn) {
	g := groupOf(t.Upstream)
	holder := n.holderOf(groupLease(g))
	switch {
	case holder == n.opts.Self.Host:
		if gr := n.groups[g]; gr != nil && gr.stores[t.Upstream] != nil {
			gr.stores[t.Upstream].plan.QueueTurn(now, t)
		}
	case holder != "" && from == n.opts.Self.Host:
		n.pendingTurns[holder] = append(n.pendingTurns[holder], t)
	}
}

// cacheViews is the state of this host's queries for the contents of stores.
type cacheViews struct {
	lastQuery time.Time
	sequence  uint64
	pending   map[uint64]time.Time // pending is when each unanswered query was sent, by sequence number.
	epochs    [upstreamGroups]uint64
	versions  map[string]uint64
}

func newCacheViews() cacheViews {
	return cacheViews{pending: make(map[uint64]time.Time), versions: make(map[string]uint64)}
}

// queryCaches queries the issuers for the contents of the stores.
func (n *Node) queryCaches(now time.Time) {
	doc := n.config.Document()
	if doc == nil || now.Sub(n.caches.lastQuery) < cacheQueryInterval {
		return
	}
	n.caches.lastQuery = now
	for seq, at := range n.caches.pending {
		if now.Sub(at) > indexer.KeptLease {
			delete(n.caches.pending, seq)
		}
	}
	for g := range upstreamGroups {
		query := messenger.CacheQuery{Group: g, Epoch: n.caches.epochs[g]}
		for i := range doc.Upstreams {
			u := &doc.Upstreams[i]
			if u.StoreBlocks > 0 && groupOf(u.Name) == g {
				query.Upstreams = append(query.Upstreams, messenger.CacheVersion{Upstream: u.Name, Version: n.caches.versions[u.Name]})
			}
		}
		if len(query.Upstreams) > 0 {
			n.sendCacheQuery(now, query)
		}
	}
}

func (n *Node) sendCacheQuery(now time.Time, query messenger.CacheQuery) {
	n.caches.sequence++
	query.Sequence = n.caches.sequence
	n.caches.pending[query.Sequence] = now
	switch to := n.holderOf(groupLease(query.Group)); to {
	case "":
	case n.opts.Self.Host:
		n.cacheQueried(now, to, query)
	default:
		n.emit(Send{To: to, Message: &messenger.Message{CacheQuery: &query}})
	}
}

// cacheQueried answers a host's query as the issuer of a group.
func (n *Node) cacheQueried(now time.Time, from string, query messenger.CacheQuery) {
	if query.Group < 0 || query.Group >= upstreamGroups {
		return
	}
	gr := n.groups[query.Group]
	epoch, ok := n.holder.Valid(now, groupLease(query.Group))
	if gr == nil || !ok || gr.issuer.Epoch() != epoch {
		return
	}
	reply := messenger.CacheReply{Sequence: query.Sequence, Group: query.Group, Epoch: epoch}
	for _, u := range query.Upstreams {
		st := gr.stores[u.Upstream]
		if st == nil || !st.exclusive || !st.listed {
			continue
		}
		version := u.Version
		if query.Epoch != epoch {
			version = st.plan.Version() + 1 // a version of another issuer: send all segments
		}
		changes, full := st.plan.Since(version)
		reply.Stores = append(reply.Stores, messenger.CacheContents{
			Upstream: u.Upstream,
			Version:  st.plan.Version(),
			Full:     full,
			Changes:  changes,
		})
	}
	if from == n.opts.Self.Host {
		n.cacheReplied(now, reply)
		return
	}
	n.emit(Send{To: from, Message: &messenger.Message{CacheReply: &reply}})
}

// cacheReplied handles an issuer's reply. Its segments may be used for
// indexer.KeptLease after the query was sent.
func (n *Node) cacheReplied(_ time.Time, reply messenger.CacheReply) {
	sentAt, ok := n.caches.pending[reply.Sequence]
	if !ok || reply.Group < 0 || reply.Group >= upstreamGroups || reply.Epoch < n.caches.epochs[reply.Group] {
		return
	}
	delete(n.caches.pending, reply.Sequence)
	n.caches.epochs[reply.Group] = reply.Epoch
	for _, s := range reply.Stores {
		n.caches.versions[s.Upstream] = s.Version
		n.emit(CacheChanged{
			Upstream: s.Upstream,
			Full:     s.Full,
			Changes:  s.Changes,
			Until:    sentAt.Add(indexer.KeptLease),
		})
	}
}
