// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"math"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/tracker"
)

// largeFleetReportTicks is the number of report ticks per load report in a large fleet.
const largeFleetReportTicks = 4

// report sends the other hosts this one's load.
func (h *Host) report(now time.Time) {
	h.placer.Watch(now)
	h.endRests(now)
	h.endBrittle(now)
	h.logBrittleRefusals()
	h.logFull(now)
	h.logSuspicions()
	h.setBudgetHosts(now)
	if now.Sub(h.started) > startupTime {
		h.placer.SetColdHosts(h.senders.update(now, *h.hosts.Load(), *h.serving.Load()))
		h.updateThrottler(now)
	}
	h.reportTicks++
	if !h.serving.Load().All && h.reportTicks%largeFleetReportTicks != 0 {
		return
	}
	h.placer.ExpireReports(now)
	h.reportMu.Lock()
	defer h.reportMu.Unlock()
	r := h.placer.Report()
	r.Loads = h.placer.TakeLoads(now)
	h.post(WorkReported{Report: r, CoresInUse: h.cpu.cores(now)})
}

// signalCapacity signals that upstreams may have room for waiting requests.
func (h *Host) signalCapacity() {
	if h.exchanger.Waiting() == 0 {
		return
	}
	select {
	case h.capacityFreed <- struct{}{}:
	default:
	}
}

// admitWaiting resumes waiting requests when upstreams have room. At each tick it checks their
// deadlines, and exchanges allowances under rate limits and what waits with other hosts.
func (h *Host) admitWaiting() {
	tick := time.NewTicker(h.opts.Timing.Admit)
	defer tick.Stop()
	for {
		select {
		case <-h.capacityFreed:
		case <-tick.C:
			h.throttle(h.opts.Timer.Now())
			h.contend(h.opts.Timer.Now())
			if h.exchanger.Waiting() == 0 {
				continue
			}
		case <-h.ctx.Done():
			return
		}
		h.exchanger.Wake(h.opts.Timer.Now())
	}
}

// requestReport requests a load report at once.
func (h *Host) requestReport() {
	select {
	case h.reportRequested <- struct{}{}:
	default:
	}
}

// urgentReportInterval is the least time between two urgent reports.
const urgentReportInterval = 4 * time.Millisecond

// sendUrgentReports sends the requested reports.
func (h *Host) sendUrgentReports() {
	for {
		select {
		case <-h.reportRequested:
			h.reportWorkChanges()
			pause(h.ctx, urgentReportInterval)
		case <-h.ctx.Done():
			return
		}
	}
}

// signalQuarantineChange signals that the quarantine has changes for the other hosts.
func (h *Host) signalQuarantineChange() {
	select {
	case h.quarantineChanged <- struct{}{}:
	default:
	}
}

// reportQuarantine posts quarantine changes to the control loop. A short delay batches the requests
// that were in flight at one upstream.
func (h *Host) reportQuarantine() {
	for {
		select {
		case <-h.quarantineChanged:
			pause(h.ctx, urgentReportInterval)
			h.post(QuarantineChanged{})
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *Host) reportWorkChanges() {
	h.reportMu.Lock()
	defer h.reportMu.Unlock()
	r := h.placer.Changes()
	r.Loads = h.placer.TakeLoads(h.opts.Timer.Now())
	h.post(WorkReported{Report: r, Urgent: true})
}

// loop runs the control plane.
func (h *Host) loop() {
	for {
		select {
		case ev := <-h.events:
			for _, a := range h.node.Handle(h.opts.Timer.Now(), ev) {
				h.execute(a)
			}
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *Host) execute(a Action) {
	switch a := a.(type) {
	case Send:
		h.messenger.Send(a.To, a.Address, a.Message)
	case SendAll:
		h.messenger.SendAll(a.To, a.Message)
	case ApplyStoreReport:
		if !h.placer.ApplyStoreReport(h.opts.Timer.Now(), a.Report) {
			h.spawn(func() { h.post(StoreGap{From: a.From}) })
		}
	case Read:
		h.spawn(func() { h.read(a) })
	case ReadAnnouncements:
		h.spawn(func() { h.find(a.After) })
	case ReadAllAnnouncements:
		h.spawn(h.seek)
	case Announce:
		h.spawn(h.announce)
	case Retract:
		h.spawn(func() { h.retract(a) })
	case PublishView:
		h.noteSalts(a.View)
		closeGone(h.opts.Pool, h.view.Swap(a.View), a.View)
		h.placer.Update(a.View)
		h.watchStores(a.View)
	case FeedCurrent:
		h.placer.SetFeedCurrent(a.At)
		h.counters.feedCurrent(follower.FeedOperator, a.At)
		h.confirmed.note(a.At)
	case Confirmed:
		h.confirmed.note(a.At)
	case PublishFeeds:
		h.feeds.Store(&a.Feeds)
	case PublishHosts:
		keepers := reaching(a.Hosts, a.Active.Hosts())
		h.evictsStores.Store(tracker.RankIndex(keepers, h.opts.Settings.Host, "keeper") == 0)
		h.hosts.Store(&a.Hosts)
		h.uncontacted.Store(&a.Uncontacted)
		h.serving.Store(&a.Active)
		h.setBudgetHosts(h.opts.Timer.Now())
		h.watchStores(h.view.Load())
		h.opts.Pool.SetHosts(h.shareCount())
		h.closeToGoneHosts(a.Hosts)
		h.registrar.SetHosts(h.originHosts())
		h.tuneGC(a.Active)
	case ApplyReport:
		h.placer.ApplyReport(h.opts.Timer.Now(), a.From, a.Report)
	case MergeReturns:
		h.mergeReturns(h.opts.Timer.Now(), a.Returns)
	case Renew:
		h.spawn(func() { h.renew(a.Command) })
	case SaveAgain:
		h.saveAgain.Store(true)
	case PublishPhases:
		h.placer.SetPhases(a.Engines)
	case PublishCell:
		h.placer.SetCell(a.Own, a.Cells, a.Direct)
	case LogEvent:
		h.logEvent(a)
	}
}

func (h *Host) read(a Read) {
	start := h.opts.Timer.Now()
	ev := FeedRead{RequestedAt: start, Wait: a.Wait}
	if a.Full {
		ev.Page, ev.Err = h.opts.Store.Newest(h.ctx, a.Feed)
	} else {
		ev.Page, ev.Err = h.opts.Store.Read(h.ctx, a.Feed, a.From, a.Wait)
	}
	ev.Page.Feed = a.Feed
	h.counters.storeCall("read", start, h.opts.Timer.Now(), ev.Err)
	h.post(ev)
}

// activeShare is the fraction of shared limits that active hosts divide in a large fleet. The rest
// is for standby hosts, which may become active before all others know.
const activeShare = 0.75

func hostNames(hosts []tracker.HostRecord) []string {
	names := make([]string, len(hosts))
	for i, r := range hosts {
		names[i] = r.Host
	}
	return names
}

// setBudgetHosts sets into how many parts the retry budget is divided. The budget keeps the number for a long
// time, so that the share of hosts on standby must not be part of it.
func (h *Host) setBudgetHosts(now time.Time) {
	serving, hosts := h.serving.Load(), max(len(*h.hosts.Load()), 1)
	switch {
	case serving.All:
		h.budget.SetHosts(now, hosts, 1)
	case serving.Active[h.opts.Settings.Host]:
		h.budget.SetHosts(now, len(serving.Active), activeShare)
	default:
		h.budget.SetHosts(now, hosts, 1-activeShare)
	}
}

// shareCount returns into how many equal parts connections are divided; this host may
// use one. Hosts that are cut off use none while others do.
func (h *Host) shareCount() int {
	serving, known := h.serving.Load(), *h.hosts.Load()
	hosts := max(len(known), 1)
	if serving.All {
		return len(reaching(known, hostNames(known)))
	}
	if serving.Active[h.opts.Settings.Host] {
		return int(math.Ceil(float64(len(reaching(known, serving.Hosts()))) / activeShare))
	}
	return int(math.Ceil(float64(hosts) / (1 - activeShare)))
}

// limitedLines are the kinds of lines of which there may be thousands at once. Those of the operators' feed are few.
var limitedLines = map[LogKind]bool{LogRecordApplied: true, LogHostChanged: true, LogContentionRejected: true,
	LogPageDropped: true, LogPageIncomplete: true, LogRecordMissed: true, LogFeedDiffers: true}

func (h *Host) logEvent(e LogEvent) {
	ev := h.log.Info()
	if limitedLines[e.Kind] && e.Feed != follower.FeedOperator {
		ev = h.log.StateChange()
	}
	if e.Err != nil {
		ev = h.log.Warn().Err(e.Err)
	}
	if e.Feed != "" {
		ev = ev.Str("Feed", string(e.Feed)).Int64("Offset", e.Offset).Dur("Age", e.Age)
	}
	if e.Era > 0 {
		ev = ev.Uint64("Era", e.Era)
	}
	switch e.Kind {
	case LogFeedReadRefused:
		h.counters.feedReadRefused(e.Feed)
	case LogStoreRestored:
		h.counters.storeRestored()
		ev = ev.Uint64("Before", e.Before.Era)
	case LogFeedRecovered:
		ev = ev.Stringer("Before", e.Before).Int("Records", e.Records)
	case LogListingApplied:
		ev = ev.Int64("Newest", e.Newest)
	case LogFeedDiffers, LogRecordMissed:
		h.counters.noted(e.Kind, e.Feed)
	case LogPageDropped, LogPageIncomplete:
		h.counters.noted(e.Kind, e.Feed)
		ev = ev.Int64("From", e.From).Stringer("Before", e.Before).Int("Records", e.Records)
	case LogWeightsReverted:
		h.counters.weightsReverted()
		ev = ev.Str("Model", e.Revert.Model).Uint64("Version", e.Revert.After).Uint64("Before", e.Revert.Before)
	case LogConfigurationTaken:
		ev = ev.Uint64("Version", e.Version).Dur("Age", e.Age)
	}
	if e.Host != "" {
		ev = ev.Str("Peer", e.Host)
	}
	if e.Key != "" {
		ev = ev.Str("Key", e.Key)
	}
	if e.Way != "" {
		ev = ev.Str("Way", string(e.Way))
	}
	if e.Reason != "" {
		ev = ev.Str("Reason", e.Reason)
	}
	ev.Msg(string(e.Kind))
}
