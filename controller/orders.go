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
	"amaranthgate.example/amaranthgate/orderer"
	"amaranthgate.example/amaranthgate/tracker"
)

// upstreamGroups is the number of groups of upstreams. Each group has one
// issuer of orders.
const upstreamGroups = 4

// longestDelivery bounds the way of an order to an upstream; the adapter gives
// a call up sooner.
const longestDelivery = 2 * time.Second

func groupLease(g int) string { return groupLeases[g] }

var groupLeases = groupNames()

func groupNames() (names [upstreamGroups]string) {
	for g := range names {
		names[g] = fmt.Sprintf("Upstreams-%d", g)
	}
	return names
}

// groupOf returns the group of an upstream.
func groupOf(upstream string) int { return int(xxhash.Sum64String(upstream) % upstreamGroups) }

// group is this host's part as issuer of one group.
type group struct {
	issuer *orderer.Issuer
	stores map[string]*issuedStore
}

// tickOrders gives the orders that are due in the groups held here.
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
		n.groups[g] = &group{
			issuer: orderer.NewIssuer(orderer.Options{
				Lease:           n.opts.Lease,
				DeliveryTimeout: longestDelivery,
				UnloadDelay:     longestRun(doc),
			}),
			stores: make(map[string]*issuedStore),
		}
	}
	gr := n.groups[g]
	gr.issuer.SetEpoch(now, epoch)
	gr.issuer.SetUnloadDelay(longestRun(doc))
	for _, is := range gr.issuer.Tick(now, n.wants(doc, g), slotCounter{n, now}) {
		n.issue(now, g, is)
	}
	n.tickStores(now, doc, g)
}

// longestRun returns the longest time that a request may run.
func longestRun(doc *configurer.Document) time.Duration {
	var longest time.Duration
	for _, c := range doc.Classes {
		longest = max(longest, c.Deadline.Std())
	}
	return longest
}

// issue gives an order under the lease of a group.
func (n *Node) issue(now time.Time, g int, is orderer.AddressedOrder) {
	doc := n.config.Document()
	for i := range doc.Upstreams {
		if doc.Upstreams[i].Name == is.Upstream {
			n.do(Issue{Upstream: is.Upstream, Address: doc.Upstreams[i].Address, Order: is.Order, Until: n.holder.Until(groupLease(g))})
			return
		}
	}
}

// wants returns what the engines of a group must be and were seen to be.
func (n *Node) wants(doc *configurer.Document, g int) []orderer.UpstreamState {
	var out []orderer.UpstreamState
	for i := range doc.Upstreams {
		u := &doc.Upstreams[i]
		if u.Kind != configurer.KindEngine || groupOf(u.Name) != g {
			continue
		}
		record, digest, at := n.upstreams.Lookup(u.Name)
		if record.State != tracker.UpstreamLive || at.IsZero() {
			continue
		}
		out = append(out, orderer.UpstreamState{
			Upstream:      u.Name,
			WeightStore:   u.WeightStore,
			ChecksFencing: u.ChecksFencing,
			WantModels:    wantedModels(doc, u),
			WantRole:      u.Role,
			ObservedAt:    at,
			Loaded:        digest.Models,
			Role:          digest.Role,
		})
	}
	return out
}

// wantedModels returns the versions and adapters that an engine must have.
func wantedModels(doc *configurer.Document, u *configurer.Upstream) []wire.LoadedModel {
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
		return // given again later
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

// missing returns, for each weight store, how many servers that this host
// issues to lack something.
func (n *Node) missing(now time.Time) map[string]int {
	out := make(map[string]int)
	doc := n.config.Document()
	if doc == nil {
		return out
	}
	for g, gr := range n.groups {
		if gr == nil {
			continue
		}
		for _, w := range n.wants(doc, g) {
			if gr.issuer.MayOrder(now, w.ChecksFencing) && lacks(w) {
				out[w.WeightStore]++
			}
		}
	}
	return out
}

func lacks(w orderer.UpstreamState) bool {
	have := make(map[wire.LoadedModel]bool, len(w.Loaded))
	for _, m := range w.Loaded {
		have[m] = true // a version that is loading has another value
	}
	for _, m := range w.WantModels {
		if !have[m] {
			return true
		}
	}
	return false
}

// slotsWanted returns the leases of the slots that this host needs now.
func (n *Node) slotsWanted(now time.Time) []string {
	doc := n.config.Document()
	var out []string
	for store, count := range n.missing(now) {
		held := n.slotsHeld(store)
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

func (n *Node) slotsHeld(store string) int {
	held := 0
	for _, name := range n.holder.Held() {
		if isSlot(name) && slotStore(name) == store {
			held++
		}
	}
	return held
}

// slotsDone returns the leases of slots that are no longer needed.
func (n *Node) slotsDone(now time.Time) []string {
	missing := n.missing(now)
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

// slotCounter counts the loads that may begin now. It implements
// orderer.Slots.
type slotCounter struct {
	node *Node
	now  time.Time
}

// Free implements orderer.Slots: the slots held and valid, less this host's
// loads under way, and never more than what all servers that are seen to load
// leave free.
func (c slotCounter) Free(store string) int {
	n := c.node
	doc := n.config.Document()
	valid := 0
	for _, name := range n.holder.Held() {
		if _, ok := n.holder.Valid(c.now, name); ok && isSlot(name) && slotStore(name) == store {
			valid++
		}
	}
	mine, all := n.loading(c.now, doc, store)
	return min(valid-mine, doc.Loads.AtOnce-all)
}

// loading returns how many servers of a weight store load now by this host's
// orders, and how many in all.
func (n *Node) loading(now time.Time, doc *configurer.Document, store string) (mine, all int) {
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
			pending := gr.issuer.PendingLoads(now, store, n.wants(doc, g))
			mine += pending
			all += pending
		}
	}
	return mine, all
}

// promote puts the next version of a model into force when every upstream that
// can be used has loaded it. The change is made on the revision in force, so
// that two holders of the lease cannot make it twice.
func (n *Node) promote(now time.Time, doc *configurer.Document) {
	if _, ok := n.holder.Valid(now, leaseRollout); !ok {
		return
	}
	for _, m := range doc.Models {
		if m.Next == "" || !n.everywhere(doc, m) {
			continue
		}
		id := fmt.Sprintf("rollout-%s-%s-%d", m.Name, m.Next, n.config.Revision())
		if n.awaited[id] {
			continue
		}
		d, err := configurer.NewDelta(id, "rollout", n.config.Revision(), doc, doc.WithPromoted(m.Name))
		if err == nil {
			n.publish(d)
		}
		return
	}
}

// everywhere reports whether all live upstreams of a model have its next
// version.
func (n *Node) everywhere(doc *configurer.Document, m configurer.Model) bool {
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
