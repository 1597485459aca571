// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"math"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/tracker"
)

// manyPause is how many times longer hosts wait between two reports when they are
// many: a report goes to each host of the zone then, and long prompts are told at
// once anyway.
const manyPause = 4

// report tells other hosts what this one has under way.
func (h *Host) report(now time.Time) {
	h.placer.Watch(now)
	if now.Sub(h.started) > acquaintance {
		h.placer.SetSharers(h.senders.update(now, *h.hosts.Load(), *h.serving.Load()))
	}
	h.reports++
	if !h.serving.Load().All && h.reports%manyPause != 0 {
		return
	}
	h.placer.Forget(now)
	h.reporting.Lock()
	defer h.reporting.Unlock()
	h.post(WorkReported{Report: h.placer.Report(), Use: h.use.cores(now)})
}

// ease asks to look whether upstreams can begin requests that wait here.
func (h *Host) ease() {
	if h.exchanger.Waiting() == 0 {
		return
	}
	select {
	case h.eased <- struct{}{}:
	default:
	}
}

// admit lets requests that wait go on when upstreams have room. Every tick it looks at
// their times as well.
func (h *Host) admit() {
	tick := time.NewTicker(h.opts.Timing.Admit)
	defer tick.Stop()
	for {
		select {
		case <-h.eased:
		case <-tick.C:
			if h.exchanger.Waiting() == 0 {
				continue
			}
		case <-h.ctx.Done():
			return
		}
		h.exchanger.Wake(h.opts.Timer.Now())
	}
}

// hurry asks for a report before its time.
func (h *Host) hurry() {
	select {
	case h.urgent <- struct{}{}:
	default:
	}
}

// hurryPause is the least time between two reports out of turn.
const hurryPause = 4 * time.Millisecond

// reportUrgently sends reports that were asked for.
func (h *Host) reportUrgently() {
	for {
		select {
		case <-h.urgent:
			h.reportChanges()
			pause(h.ctx, hurryPause)
		case <-h.ctx.Done():
			return
		}
	}
}

// endsFound asks to tell the other hosts what the quarantine has new.
func (h *Host) endsFound() {
	select {
	case h.ends <- struct{}{}:
	default:
	}
}

// reportEnds has the control loop tell the other hosts under which requests upstreams have
// ended. All that was under way at one upstream is told together.
func (h *Host) reportEnds() {
	for {
		select {
		case <-h.ends:
			pause(h.ctx, hurryPause)
			h.post(EndsFound{})
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *Host) reportChanges() {
	h.reporting.Lock()
	defer h.reporting.Unlock()
	h.post(WorkReported{Report: h.placer.Changes(), Urgent: true})
}

// loop is the control goroutine.
func (h *Host) loop() {
	for {
		select {
		case ev := <-h.events:
			for _, a := range h.node.Handle(h.opts.Timer.Now(), ev) {
				h.carryOut(a)
			}
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *Host) carryOut(a Action) {
	switch a := a.(type) {
	case Send:
		h.messenger.Send(a.To, a.Address, a.Message)
	case Spread:
		h.messenger.SendAll(a.To, a.Message)
	case TakeStore:
		if !h.placer.StoreTold(h.opts.Timer.Now(), a.Report) {
			h.goDo(func() { h.post(StoreGap{From: a.From}) })
		}
	case Read:
		h.goDo(func() { h.read(a) })
	case Find:
		h.goDo(func() { h.find(a.After) })
	case Seek:
		h.goDo(h.seek)
	case Announce:
		h.goDo(h.announce)
	case Retract:
		h.goDo(func() { h.retract(a) })
	case PublishView:
		closeGone(h.opts.Pool, h.view.Swap(a.View), a.View)
		h.placer.Update(a.View)
		h.watchStores(a.View)
	case Current:
		h.placer.Trust(a.At)
		h.counters.feed(follower.FeedOperator, a.At)
	case PublishHosts:
		h.keeper.Store(tracker.Place(a.Serving.Hosts(), h.opts.Settings.Host, "keeper") == 0)
		h.hosts.Store(&a.Hosts)
		h.unheard.Store(&a.Unheard)
		h.serving.Store(&a.Serving)
		h.budget.SetHosts(h.sharers())
		h.watchStores(h.view.Load())
		h.opts.Pool.Divide(h.sharers())
		h.collect(a.Serving)
	case TakeReport:
		h.placer.Heard(h.opts.Timer.Now(), a.From, a.Report)
	case Renew:
		h.goDo(func() { h.renew(a.Command) })
	case PublishPhases:
		h.placer.Renewing(a.Engines)
	case PublishCell:
		h.placer.SetCell(a.Own, a.Cells, a.Direct)
	case Note:
		h.note(a)
	}
}

func (h *Host) read(a Read) {
	asked := h.opts.Timer.Now()
	ev := FeedRead{Asked: asked, Wait: a.Wait}
	if a.Full {
		ev.News, ev.Err = h.opts.Store.Newest(h.ctx, a.Feed)
	} else {
		ev.News, ev.Err = h.opts.Store.Read(h.ctx, a.Feed, a.From, a.Wait)
	}
	ev.News.Feed = a.Feed
	h.counters.store("read", asked, h.opts.Timer.Now(), ev.Err)
	h.post(ev)
}

// activePart is the part of what hosts share that is for those that serve callers, in a
// large fleet. The rest is for hosts that stand by: they may be called in before all
// others know.
const activePart = 0.75

// sharers returns the number of equal parts of which this host may take one, of the
// connections of upstreams and of retries.
func (h *Host) sharers() int {
	serving, hosts := h.serving.Load(), max(len(*h.hosts.Load()), 1)
	if serving.All {
		return hosts
	}
	if serving.Active[h.opts.Settings.Host] {
		return int(math.Ceil(float64(len(serving.Active)) / activePart))
	}
	return int(math.Ceil(float64(hosts) / (1 - activePart)))
}

func (h *Host) note(n Note) {
	ev := h.log.Info()
	if n.What == NoteRecord || n.What == NoteHostChanged {
		ev = h.log.Belief()
	}
	if n.Err != nil {
		ev = h.log.Warn().Err(n.Err)
	}
	if n.Feed != "" {
		ev = ev.Str("Feed", string(n.Feed)).Int64("Offset", n.Offset).Dur("Age", n.Age)
	}
	if n.Host != "" {
		ev = ev.Str("Peer", n.Host)
	}
	if n.Key != "" {
		ev = ev.Str("Key", n.Key)
	}
	ev.Msg(string(n.What))
}
