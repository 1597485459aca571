// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"slices"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/lender"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/tracker"
)

// maxOwners is the number of hosts among which slots of brittle upstreams are dealt out in a large fleet.
const maxOwners = activator.MaxAllActive

// slotsTTL is how long no other host owns slots in place of one that is not heard.
const slotsTTL = 5 * time.Second

// SlotOwners returns the hosts among which slots of brittle upstreams are dealt out: all of a small fleet, else the
// first of each availability zone in the order in which they begin to serve, whether they serve or not. Who serves
// changes with the load, and slots that change hands are unused for a time.
func SlotOwners(hosts []tracker.HostRecord) []string {
	zones := make(map[string][]tracker.HostRecord)
	for _, r := range hosts {
		zones[r.AvailabilityZone] = append(zones[r.AvailabilityZone], r)
	}
	each := (maxOwners + len(zones) - 1) / max(len(zones), 1)
	var owners []string
	for _, members := range zones {
		slices.SortFunc(members, activator.CompareCapacity)
		for _, r := range members[:min(each, len(members))] {
			owners = append(owners, r.Host)
		}
	}
	slices.Sort(owners)
	return owners
}

// BrittleStatements are what upstreams have said of whether refusals end them. It is shared with the request path.
type BrittleStatements interface {
	// BrittleNews returns the current statements, for hosts that may not know them.
	BrittleNews(now time.Time) []placer.BrittleNews
	// MergeBrittle applies statements of another host, and returns those that were news.
	MergeBrittle(now time.Time, news []placer.BrittleNews) []placer.BrittleNews
}

// receiveBrittle applies what another host says of brittle upstreams.
func (n *Node) receiveBrittle(now time.Time, from string, news []placer.BrittleNews) {
	if len(news) == 0 {
		return
	}
	adopted := n.opts.Brittle.MergeBrittle(now, news)
	if len(adopted) > 0 && !n.topology().small {
		n.sendAll(n.hosts.Neighbours(), from, &messenger.Message{Brittle: adopted})
	}
}

// lendingInterval is the least time between two steps of lending that are not answers to messages.
const lendingInterval = time.Millisecond

// signalLending signals that slots of brittle upstreams are to be lent or returned.
func (h *Host) signalLending() {
	select {
	case h.lending.due <- struct{}{}:
	default:
	}
}

// lending sends messages in the order in which they were written.
type lending struct {
	mu  sync.Mutex
	due chan struct{} // due signals that slots are to be lent or returned.
}

// sendLending lends and borrows slots of brittle upstreams. It does not pass through the control loop, as requests wait
// for it and last some milliseconds only.
func (h *Host) sendLending() {
	for {
		select {
		case <-h.lending.due:
			h.lending.mu.Lock()
			h.queueLending(h.placer.StepLending(h.opts.Timer.Now()))
			h.lending.mu.Unlock()
			if news := h.placer.TakeBrittleNews(h.opts.Timer.Now()); len(news) > 0 {
				h.post(BrittleLearned{News: news})
			}
			pause(h.ctx, lendingInterval)
		case <-h.ctx.Done():
			return
		}
	}
}

// receiveLending applies a message of another host.
func (h *Host) receiveLending(from string, m *lender.Message) {
	h.lending.mu.Lock()
	defer h.lending.mu.Unlock()
	h.queueLending(h.placer.ReceiveLending(h.opts.Timer.Now(), from, m))
}

// queueLending queues messages about slots for the hosts that they are for; lending.mu is held.
func (h *Host) queueLending(messages []lender.Message) {
	if len(messages) == 0 {
		return
	}
	addresses := make(map[string]string)
	for _, r := range *h.hosts.Load() {
		addresses[r.Host] = r.Peers
	}
	for _, l := range messages {
		if address := addresses[l.To]; address != "" {
			h.messenger.Send(l.To, address, &messenger.Message{Lending: &l})
		}
	}
}
