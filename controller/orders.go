// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/issuer"
	"amaranthgate.example/amaranthgate/tracker"
)

// upstreamGroups is the number of groups of upstreams. Each group has one issuer.
const upstreamGroups = 4

// orderDeliveryTimeout bounds the delivery of an order to an upstream. The timeout
// of package runner must be less.
const orderDeliveryTimeout = 2 * time.Second

func groupLease(g int) string { return groupLeases[g] }

var groupLeases = groupLeaseNames()

func groupLeaseNames() (names [upstreamGroups]string) {
	for g := range names {
		names[g] = fmt.Sprintf("Upstreams-%d", g)
	}
	return names
}

// groupOf returns the group of an upstream.
func groupOf(upstream string) int { return int(xxhash.Sum64String(upstream) % upstreamGroups) }

// issuerGroup is the state of a group of upstreams that this host issues orders to.
type issuerGroup struct {
	issuer *issuer.Issuer
	stores map[string]*cacheStore
}

// tickOrders issues the orders that are due in the groups whose leases are held
// here.
func (n *Node) tickOrders(now time.Time) {
	doc := n.config.Document()
	if doc == nil {
		return
	}
	for g := range n.groups {
		n.tickGroup(now, doc, g)
	}
	n.promote(now, doc)
}

func (n *Node) tickGroup(now time.Time, doc *configurer.Document, g int) {
	epoch, ok := n.holder.Valid(now, groupLease(g))
	if !ok {
		n.groups[g] = nil
		return
	}
	if n.groups[g] == nil {
		n.groups[g] = &issuerGroup{
			issuer: issuer.NewIssuer(issuer.Options{
				Lease:           n.opts.Lease,
				DeliveryTimeout: orderDeliveryTimeout,
				UnloadDelay:     maxRunTime(doc),
			}),
			stores: make(map[string]*cacheStore),
		}
	}
	gr := n.groups[g]
	gr.issuer.SetEpoch(now, epoch)
	gr.issuer.SetUnloadDelay(maxRunTime(doc))
	for _, o := range gr.issuer.Tick(now, n.upstreamStates(doc, g), loadSlots{n, now}) {
		n.emitOrder(now, g, o)
	}
	n.tickStores(now, doc, g)
}

// maxRunTime returns the longest deadline of all classes.
func maxRunTime(doc *configurer.Document) time.Duration {
	var longest time.Duration
	for _, c := range doc.Classes {
		longest = max(longest, c.Deadline.Std())
	}
	return longest
}

// emitOrder emits an order that is valid until the lease of the group expires.
func (n *Node) emitOrder(now time.Time, g int, o issuer.AddressedOrder) {
	doc := n.config.Document()
	for i := range doc.Upstreams {
		if doc.Upstreams[i].Name == o.Upstream {
			n.emit(SendOrder{Upstream: o.Upstream, Address: doc.Upstreams[i].Address, Order: o.Order, Until: n.holder.ValidUntil(groupLease(g))})
			return
		}
	}
}

// upstreamStates returns the desired and observed states of the live engines of a
// group.
func (n *Node) upstreamStates(doc *configurer.Document, g int) []issuer.UpstreamState {
	var out []issuer.UpstreamState
	for i := range doc.Upstreams {
		u := &doc.Upstreams[i]
		if u.Kind != configurer.KindEngine || groupOf(u.Name) != g {
			continue
		}
		record, digest, at := n.upstreams.Lookup(u.Name)
		if record.State != tracker.UpstreamLive || at.IsZero() {
			continue
		}
		out = append(out, issuer.UpstreamState{
			Upstream:      u.Name,
			WeightStore:   u.WeightStore,
			ChecksFencing: u.ChecksFencing,
			WantModels:    wantModels(doc, u),
			WantRole:      u.Role,
			ObservedAt:    at,
			Loaded:        digest.Models,
			Role:          digest.Role,
		})
	}
	return out
}

// wantModels returns the versions and adapters that an engine must load.
func wantModels(doc *configurer.Document, u *configurer.Upstream) []wire.LoadedModel {
	var out []wire.LoadedModel
	for _, name := range u.Models {
		m, _ := doc.Model(name)
		for _, version := range []string{m.Version, m.Next} {
			if version == "" {
				continue
			}
			out = append(out, wire.LoadedModel{Name: name, Version: version})
			for _, a := range m.Adapters {
				out = append(out, wire.LoadedModel{Name: name, Version: version, Adapter: a})
			}
		}
	}
	return out
}

func (n *Node) orderDone(now time.Time, ev OrderDone) {
	if ev.Answer == nil {
		return // the issuer repeats the order
	}
	if g := n.groups[groupOf(ev.Upstream)]; g != nil && ev.Answer.Accepted {
		n.storeOrderDone(now, g, ev)
	}
}

// Slots of weight stores.

const slotPrefix = "Weights/"

func slotLease(store string, slot int) string { return fmt.Sprintf("%s%s/%d", slotPrefix, store, slot) }

func isSlot(lease string) bool { return strings.HasPrefix(lease, slotPrefix) }

// slotStore returns the weight store of a slot's lease.
func slotStore(lease string) string {
	rest := strings.TrimPrefix(lease, slotPrefix)
	return rest[:strings.LastIndexByte(rest, '/')]
}

// incompleteUpstreams returns, for each weight store, the number of upstreams of this
// host's groups that lack a wanted version or adapter.
func (n *Node) incompleteUpstreams(now time.Time) map[string]int {
	out := make(map[string]int)
	doc := n.config.Document()
	if doc == nil {
		return out
	}
	for g, gr := range n.groups {
		if gr == nil {
			continue
		}
		for _, s := range n.upstreamStates(doc, g) {
			if gr.issuer.MayOrder(now, s.ChecksFencing) && lacksModel(s) {
				out[s.WeightStore]++
			}
		}
	}
	return out
}

func lacksModel(s issuer.UpstreamState) bool {
	have := make(map[wire.LoadedModel]bool, len(s.Loaded))
	for _, m := range s.Loaded {
		have[m] = true // differs from the wanted value while loading
	}
	for _, m := range s.WantModels {
		if !have[m] {
			return true
		}
	}
	return false
}

// neededSlots returns the leases of the slots that this host should acquire.
func (n *Node) neededSlots(now time.Time) []string {
	doc := n.config.Document()
	var out []string
	for store, count := range n.incompleteUpstreams(now) {
		held := n.heldSlots(store)
		for slot := range doc.Loads.AtOnce {
			l := n.leases.Lookup(slotLease(store, slot))
			if held < count && l.Holder != n.writer {
				out = append(out, slotLease(store, slot))
				held++
			}
		}
	}
	return out
}

func (n *Node) heldSlots(store string) int {
	held := 0
	for _, name := range n.holder.Held() {
		if isSlot(name) && slotStore(name) == store {
			held++
		}
	}
	return held
}

// unneededSlots returns the held leases of slots that are no longer needed.
func (n *Node) unneededSlots(now time.Time) []string {
	missing := n.incompleteUpstreams(now)
	var out []string
	for _, name := range n.holder.Held() {
		if !isSlot(name) {
			continue
		}
		if store := slotStore(name); missing[store] > 0 {
			missing[store]--
		} else {
			out = append(out, name)
		}
	}
	return out
}

// loadSlots counts the free slots of weight stores. It implements issuer.Slots.
type loadSlots struct {
	node *Node
	now  time.Time
}

// Free implements issuer.Slots. It returns the number of valid slots held by this
// host minus its running loads, but at most the limit minus all running loads.
func (c loadSlots) Free(store string) int {
	n := c.node
	doc := n.config.Document()
	valid := 0
	for _, name := range n.holder.Held() {
		if _, ok := n.holder.Valid(c.now, name); ok && isSlot(name) && slotStore(name) == store {
			valid++
		}
	}
	mine, all := n.countLoading(c.now, doc, store)
	return min(valid-mine, doc.Loads.AtOnce-all)
}

// countLoading returns the number of upstreams of a weight store that are loading:
// those in this host's groups, and all.
func (n *Node) countLoading(now time.Time, doc *configurer.Document, store string) (mine, all int) {
	for i := range doc.Upstreams {
		u := &doc.Upstreams[i]
		if u.WeightStore != store {
			continue
		}
		_, digest, _ := n.upstreams.Lookup(u.Name)
		for _, m := range digest.Models {
			if !m.Loading {
				continue
			}
			all++
			if n.groups[groupOf(u.Name)] != nil {
				mine++
			}
			break
		}
	}
	for g, gr := range n.groups {
		if gr != nil {
			pending := gr.issuer.PendingLoads(now, store, n.upstreamStates(doc, g))
			mine += pending
			all += pending
		}
	}
	return mine, all
}

// promote puts the next version of a model into force once all its live upstreams
// have loaded it. The change is based on the revision in force, so that two holders
// of the lease cannot apply it twice.
func (n *Node) promote(now time.Time, doc *configurer.Document) {
	if _, ok := n.holder.Valid(now, leaseRollout); !ok {
		return
	}
	for _, m := range doc.Models {
		if m.Next == "" || !n.nextLoadedEverywhere(doc, m) {
			continue
		}
		id := fmt.Sprintf("rollout-%s-%s-%d", m.Name, m.Next, n.config.Revision())
		if n.pendingChanges[id] {
			continue
		}
		d, err := configurer.NewDelta(id, "rollout", n.config.Revision(), doc, doc.WithPromoted(m.Name))
		if err == nil {
			n.publish(d)
		}
		return
	}
}

// nextLoadedEverywhere reports whether all live upstreams of a model, and at least
// one, have loaded its next version.
func (n *Node) nextLoadedEverywhere(doc *configurer.Document, m configurer.Model) bool {
	count := 0
	for i := range doc.Upstreams {
		u := &doc.Upstreams[i]
		if !slices.Contains(u.Models, m.Name) {
			continue
		}
		record, digest, _ := n.upstreams.Lookup(u.Name)
		if record.State != tracker.UpstreamLive {
			continue
		}
		if !slices.Contains(versions(digest, m.Name), m.Next) {
			return false
		}
		count++
	}
	return count > 0
}
