// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"amaranthgate.example/amaranthgate/assessor"
	"amaranthgate.example/amaranthgate/exchanger"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/pricer"
	"amaranthgate.example/amaranthgate/registrar"
	"amaranthgate.example/amaranthgate/reserver"
	"amaranthgate.example/amaranthgate/tracker"
	"amaranthgate.example/amaranthgate/updater"
)

// counters holds the metrics of one host. Label values come from closed sets.
type counters struct {
	set            *metrics.Set
	malformedLoads atomic.Uint64 // malformedLoads counts answers with a load that cannot be decoded.
}

func newCounters(h *Host) *counters {
	c := &counters{set: metrics.NewSet()}
	c.set.NewGauge("amaranthgate_requests_open", func() float64 { return float64(h.open.Load()) })
	c.set.NewGauge("amaranthgate_requests_waiting", func() float64 { return float64(h.exchanger.Waiting()) })
	c.set.NewGauge("amaranthgate_ready", func() float64 { return gaugeValue(h.Ready()) })
	c.set.NewGauge("amaranthgate_cut_off", func() float64 { return gaugeValue(h.reach.CutOff()) })
	c.set.NewGauge("amaranthgate_cut_offs_total", func() float64 { return float64(h.reach.countCuts()) })
	c.set.NewGauge("amaranthgate_hosts_live", func() float64 { return float64(countLive(*h.hosts.Load())) })
	c.set.NewGauge("amaranthgate_hosts_serving", func() float64 { return float64(len(h.serving.Load().Hosts())) })
	c.set.NewGauge("amaranthgate_configuration_version", func() float64 {
		if t := h.view.Load().Table; t != nil {
			return float64(t.Version())
		}
		return 0
	})
	c.set.NewGauge("amaranthgate_store_era", func() float64 { return float64(h.opts.Store.Era()) })
	c.set.NewGauge("amaranthgate_upstreams_known", func() float64 { return float64(h.view.Load().Upstreams.Len()) })
	c.set.NewGauge("amaranthgate_suspects_known", func() float64 { return float64(h.quarantine.Len()) })
	c.set.NewGauge("amaranthgate_suspect_parts_known", func() float64 { return float64(h.quarantine.Parts()) })
	c.set.NewGauge("amaranthgate_upstreams_leaving", func() float64 { return float64(h.placer.Leaving()) })
	c.set.NewGauge("amaranthgate_upstreams_resting", func() float64 { return float64(h.placer.Resting()) })
	c.set.NewGauge("amaranthgate_upstreams_brittle", func() float64 { return float64(h.placer.Brittle()) })
	c.set.NewGauge("amaranthgate_brittle_slots_lent_total", func() float64 { return float64(h.placer.LendingStats().Lent) })
	c.set.NewGauge("amaranthgate_brittle_slots_borrowed_total", func() float64 { return float64(h.placer.LendingStats().Borrowed) })
	c.set.NewGauge("amaranthgate_brittle_slots_late_total", func() float64 { return float64(h.placer.LendingStats().Late) })
	c.set.NewGauge("amaranthgate_brittle_messages_total", func() float64 { return float64(h.placer.LendingStats().Messages) })
	c.set.NewGauge("amaranthgate_brittle_refusals_total", func() float64 { return float64(h.placer.BrittleRefusals()) })
	c.set.NewGauge("amaranthgate_upstreams_suspected_total", func() float64 { return float64(h.placer.Suspicions()) })
	c.set.NewGauge("amaranthgate_retry_budget_used", h.budget.Used)
	c.set.NewGauge("amaranthgate_upstreams_rate_limited", func() float64 { return float64(h.throttler.Limited()) })
	c.set.NewGauge("amaranthgate_rate_permits_granted_total", func() float64 { return float64(h.throttler.Stats().Granted) })
	c.set.NewGauge("amaranthgate_rate_permits_received_total", func() float64 { return float64(h.throttler.Stats().Received) })
	c.set.NewGauge("amaranthgate_rate_permits_expired_total", func() float64 { return float64(h.throttler.Stats().Expired) })
	c.set.NewGauge("amaranthgate_requests_rate_limited_upstream_total", func() float64 { return float64(h.throttler.Stats().Taken) })
	c.set.NewGauge("amaranthgate_upstreams_stated_slow", func() float64 {
		slow, _ := h.placer.StatedLoads(h.opts.Timer.Now())
		return float64(slow)
	})
	for result, count := range map[string]func(assessor.Counts) uint64{
		"used":    func(n assessor.Counts) uint64 { return n.Used },
		"stale":   func(n assessor.Counts) uint64 { return n.Stale },
		"foreign": func(n assessor.Counts) uint64 { return n.Foreign },
		"malformed": func(n assessor.Counts) uint64 {
			return n.Malformed + c.malformedLoads.Load()
		},
	} {
		c.set.NewGauge(fmt.Sprintf("amaranthgate_stated_loads_total{result=%q}", result), func() float64 {
			_, n := h.placer.StatedLoads(h.opts.Timer.Now())
			return float64(count(n))
		})
	}
	if a := h.contention.arbiter; a != nil {
		c.set.NewGauge("amaranthgate_contention_messages_sent_total", func() float64 { return float64(a.Stats().Sent) })
		c.set.NewGauge("amaranthgate_contention_messages_received_total", func() float64 { return float64(a.Stats().Received) })
		c.set.NewGauge("amaranthgate_contention_messages_rejected_total", func() float64 { return float64(a.Stats().Rejected) })
		c.set.NewGauge("amaranthgate_hosts_contending", func() float64 { return float64(a.Competing(h.opts.Timer.Now())) })
	}
	for result, count := range map[string]func(n registrar.Counts) uint64{
		"recorded":  func(n registrar.Counts) uint64 { return n.Recorded },
		"received":  func(n registrar.Counts) uint64 { return n.Received },
		"rejected":  func(n registrar.Counts) uint64 { return n.Rejected },
		"conflict":  func(n registrar.Counts) uint64 { return n.Conflicts },
		"dropped":   func(n registrar.Counts) uint64 { return n.Dropped },
		"asked":     func(n registrar.Counts) uint64 { return n.Asked },
		"found":     func(n registrar.Counts) uint64 { return n.Found },
		"not_found": func(n registrar.Counts) uint64 { return n.Unknown },
	} {
		c.set.NewGauge(fmt.Sprintf("amaranthgate_stream_records_total{result=%q}", result), func() float64 { return float64(count(h.registrar.Dump().Counts)) })
	}
	c.set.NewGauge("amaranthgate_stream_records_known", func() float64 { return float64(h.registrar.Dump().Records) })
	c.set.NewGauge("amaranthgate_turns_yielded_total", func() float64 { return float64(h.placer.TurnsYielded()) })
	c.set.NewGauge("amaranthgate_connections_opened_total", func() float64 { return float64(h.opts.Pool.Opened.Load()) })
	c.set.NewGauge("amaranthgate_answers_crossed_total", func() float64 { return float64(h.opts.Pool.Crossed.Load()) })
	c.set.NewGauge("amaranthgate_answers_exceeded_total", func() float64 { return float64(h.opts.Pool.Exceeded.Load()) })
	c.set.NewGauge("amaranthgate_log_lines_left_out_total", func() float64 { return float64(h.log.Omitted()) })
	c.set.NewGauge("amaranthgate_log_lines_dropped_total", func() float64 { return float64(h.opts.Dropped()) })
	c.set.NewGauge("amaranthgate_peer_bytes_sent_total", func() float64 { return float64(h.messenger.Traffic().SentBytes) })
	c.addLanes(h.exchanger)
	for name, b := range h.budgets {
		c.addBudget(name, b)
	}
	return c
}

// addBudget adds what the connections of a listener hold together.
func (c *counters) addBudget(name listener, b *reserver.Budget) {
	for _, p := range reserver.Phases {
		labels := fmt.Sprintf("{listener=%q,phase=%q}", string(name), strings.ToLower(string(p)))
		c.set.NewGauge("amaranthgate_connections"+labels, func() float64 { return float64(b.Stats().Connections[p]) })
		c.set.NewGauge("amaranthgate_connection_bytes"+labels, func() float64 { return float64(b.Stats().Bytes[p]) })
	}
	for _, e := range reserver.Evictions {
		labels := fmt.Sprintf("{listener=%q,reason=%q}", string(name), strings.ToLower(string(e)))
		c.set.NewGauge("amaranthgate_connections_evicted_total"+labels, func() float64 { return float64(b.Stats().Evicted[e]) })
	}
	for _, r := range reserver.Refusals {
		labels := fmt.Sprintf("{listener=%q,reason=%q}", string(name), strings.ToLower(string(r)))
		c.set.NewGauge("amaranthgate_connections_refused_total"+labels, func() float64 { return float64(b.Stats().Refused[r]) })
	}
}

func gaugeValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// request counts a finished request and records its latencies. A request that was passed on counts as a request at
// the host that passed it on, and with its waits and forecasts at the other one.
func (c *counters) request(r *exchanger.Request, o exchanger.Outcome) {
	if r.PassedBy != "" {
		c.set.GetOrCreateCounter("amaranthgate_requests_received_total").Inc()
		c.attempts(&o)
		return
	}
	if o.PassedTo != "" {
		c.set.GetOrCreateCounter("amaranthgate_requests_passed_on_total").Inc()
		o.Readmitted = false
	}
	reason := o.Reason
	if reason == exchanger.ReasonNone {
		reason = "Answered"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(`amaranthgate_requests_total{reason=%q,class="%dxx"}`, string(reason), o.Status/100)).Inc()
	if o.Unshared {
		c.set.GetOrCreateCounter("amaranthgate_requests_unshared_total").Inc()
	}
	c.set.GetOrCreateCounter("amaranthgate_instructions_withheld_total").Add(o.Withheld)
	if o.Late {
		c.set.GetOrCreateCounter("amaranthgate_requests_late_total").Inc()
	}
	if o.First > 0 {
		c.set.GetOrCreateHistogram("amaranthgate_first_byte_seconds").Update(o.First.Seconds())
	}
	if o.Resumed {
		c.resumed(&o)
	}
	c.attempts(&o)
}

// refusedUnread counts a request that was refused before its body was read.
func (c *counters) refusedUnread(r exchanger.Refusal) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`amaranthgate_requests_total{reason=%q,class="%dxx"}`, string(r.Reason), r.Status/100)).Inc()
}

// resumed counts a stream that its caller took up, by how its origin was known, and why it was refused if it was.
func (c *counters) resumed(o *exchanger.Outcome) {
	source := cmp.Or(string(o.Finding.Source), "None")
	c.set.GetOrCreateCounter(fmt.Sprintf("amaranthgate_streams_resumed_total{source=%q,reason=%q}", source, cmp.Or(string(o.Reason), "Answered"))).Inc()
	c.set.GetOrCreateHistogram("amaranthgate_stream_origin_seconds").Update(o.Finding.Took.Seconds())
}

// attempts counts what this host did for a finished request.
func (c *counters) attempts(o *exchanger.Outcome) {
	if o.Waited > 0 {
		c.set.GetOrCreateHistogram("amaranthgate_waited_seconds").Update(o.Waited.Seconds())
	}
	c.forecast(o)
	if o.HeldFull > 0 {
		c.set.GetOrCreateCounter("amaranthgate_requests_held_full_total").Inc()
	}
	if o.RetrySkipped != exchanger.SkipNone {
		c.set.GetOrCreateCounter(fmt.Sprintf("amaranthgate_retries_skipped_total{reason=%q}", string(o.RetrySkipped))).Inc()
	}
	if o.Attempts > 1 {
		c.set.GetOrCreateCounter("amaranthgate_attempts_repeated_total").Add(o.Attempts - 1)
	}
}

// skippedBytes counts the bytes of answers to other requests.
func (c *counters) skippedBytes(n int64) {
	c.set.GetOrCreateCounter("amaranthgate_answers_crossed_bytes_total").Add(int(n))
}

// answerEnded counts the end of an answer.
func (c *counters) answerEnded(e *exchanger.AnswerEnd) {
	c.set.GetOrCreateCounter(fmt.Sprintf("amaranthgate_answers_ended_total{framing=%q,ending=%q}", string(e.Framing), string(e.Ending))).Inc()
}

// upstreamEnded counts a request whose upstream ended while serving it.
func (c *counters) upstreamEnded() {
	c.set.GetOrCreateCounter("amaranthgate_requests_upstream_ended_total").Inc()
}

// barred counts a request that is barred from all upstreams.
func (c *counters) barred() { c.set.GetOrCreateCounter("amaranthgate_bars_total").Inc() }

// partBarred counts a part of prompts that is barred from all upstreams.
func (c *counters) partBarred() { c.set.GetOrCreateCounter("amaranthgate_part_bars_total").Inc() }

// upstreamLeaving counts an upstream that said in an answer that it is leaving.
func (c *counters) upstreamLeaving() {
	c.set.GetOrCreateCounter("amaranthgate_upstreams_leaving_told_total").Inc()
}

// restBegun counts an upstream that asked this host for rest.
func (c *counters) restBegun() { c.set.GetOrCreateCounter("amaranthgate_upstream_rests_total").Inc() }

// upstreamBrittle counts a statement of an upstream that it is brittle, unless it repeats the last one.
func (c *counters) upstreamBrittle() {
	c.set.GetOrCreateCounter("amaranthgate_upstreams_brittle_total").Inc()
}

// malformedBrittle counts an answer whose number of refusals cannot be decoded.
func (c *counters) malformedBrittle() {
	c.set.GetOrCreateCounter("amaranthgate_brittle_malformed_total").Inc()
}

// malformedRateLimit counts an answer with a rate limit that cannot be decoded.
func (c *counters) malformedRateLimit() {
	c.set.GetOrCreateCounter("amaranthgate_rate_limits_malformed_total").Inc()
}

// malformedLoad counts an answer with a load that cannot be decoded.
func (c *counters) malformedLoad() { c.malformedLoads.Add(1) }

// firstToken records the time to the first token of a request in relation to its estimate.
func (c *counters) firstToken(took, estimate time.Duration) {
	c.set.GetOrCreateHistogram("amaranthgate_first_token_estimate_ratio").Update(float64(took) / float64(estimate))
}

// fetchDecisions counts the parts of a prompt by why they are fetched or prefilled.
func (c *counters) fetchDecisions(t *pricer.Tally) {
	for i, n := range t {
		if n > 0 {
			c.set.GetOrCreateCounter(fmt.Sprintf("amaranthgate_fetch_decisions_total{reason=%q}", string(pricer.Reasons[i]))).Add(int(n))
		}
	}
}

// statements counts choices by what the statements of stores allowed.
func (c *counters) statements(b *placer.Basis) {
	if b.Statement.Store != "" {
		c.set.GetOrCreateCounter("amaranthgate_store_fetches_total").Inc()
		c.set.GetOrCreateHistogram("amaranthgate_store_statement_age_seconds").Update(b.Statement.Age.Seconds())
	}
	if b.StaleStatement {
		c.set.GetOrCreateCounter("amaranthgate_store_statements_stale_total").Inc()
	}
	if b.DelayedSaves > 0 {
		c.set.GetOrCreateCounter("amaranthgate_store_saves_delayed_total").Add(b.DelayedSaves)
	}
}

// linksInvalid counts impossible figures of links in reports of other hosts.
func (c *counters) linksInvalid(figures int) {
	c.set.GetOrCreateCounter("amaranthgate_link_reports_invalid_total").Add(figures)
}

// passedOver counts a request that was sent to another upstream because of a rate limit.
func (c *counters) passedOver() {
	c.set.GetOrCreateCounter("amaranthgate_rate_limits_avoided_total").Inc()
}

// storeCall counts and times a call to the platform's store.
func (c *counters) storeCall(call string, started time.Time, now time.Time, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("amaranthgate_store_calls_total{call=%q,result=%q}", call, result)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf("amaranthgate_store_call_seconds{call=%q}", call)).Update(now.Sub(started).Seconds())
}

// feedCurrent records when a feed was last known to be current.
func (c *counters) feedCurrent(f follower.Feed, at time.Time) {
	c.set.GetOrCreateGauge(fmt.Sprintf("amaranthgate_feed_current_timestamp_seconds{feed=%q}", string(f)), nil).Set(float64(at.UnixMilli()) / 1000)
}

// storeRestored counts a loss of records by the store.
func (c *counters) storeRestored() {
	c.set.GetOrCreateCounter("amaranthgate_store_losses_total").Inc()
}

// feedReadRefused counts a feed of which the store no longer had the offset to read from.
func (c *counters) feedReadRefused(f follower.Feed) {
	c.set.GetOrCreateCounter(fmt.Sprintf("amaranthgate_feed_reads_refused_total{feed=%q}", string(f))).Inc()
}

// feedCounters are the counters of lines about feeds.
var feedCounters = map[LogKind]string{
	LogPageDropped:    "amaranthgate_feed_pages_dropped_total",
	LogPageIncomplete: "amaranthgate_feed_pages_incomplete_total",
	LogFeedDiffers:    "amaranthgate_feed_differences_total",
	LogRecordMissed:   "amaranthgate_feed_records_missed_total",
}

// noted counts a line about a feed.
func (c *counters) noted(kind LogKind, f follower.Feed) {
	c.set.GetOrCreateCounter(fmt.Sprintf("%s{feed=%q}", feedCounters[kind], string(f))).Inc()
}

func (c *counters) order(r updater.OrderResult) {
	c.set.GetOrCreateCounter(fmt.Sprintf("amaranthgate_orders_total{result=%q}", string(r))).Inc()
}

// weightsReverted counts engines that have gone back to an older weight version.
func (c *counters) weightsReverted() {
	c.set.GetOrCreateCounter("amaranthgate_weights_reverted_total").Inc()
}

// write writes all metrics in the Prometheus text format.
func (c *counters) write(w io.Writer) {
	c.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// countLive counts the live hosts.
func countLive(hosts []tracker.HostRecord) int {
	n := 0
	for _, r := range hosts {
		if r.State == tracker.HostLive {
			n++
		}
	}
	return n
}
