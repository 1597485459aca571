// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package runner

import (
	"encoding/hex"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/controller"
	"amaranthgate.example/amaranthgate/replayer"
	"amaranthgate.example/amaranthgate/reporter"
	"amaranthgate.example/amaranthgate/server"
)

// outcomeRecorder records the outcomes of requests for reports and metrics.
type outcomeRecorder struct {
	set *metrics.Set

	mu       sync.Mutex
	gatherer *reporter.Gatherer
}

func newOutcomeRecorder(now time.Time) *outcomeRecorder {
	return &outcomeRecorder{set: metrics.NewSet(), gatherer: reporter.NewGatherer(now)}
}

// Record implements server.Recorder.
func (o *outcomeRecorder) Record(x *server.Exchange, out server.Outcome, took time.Duration) {
	workspace, class := "", ""
	if x.Workspace != nil {
		workspace, class = x.Workspace.Name, x.Class.Name
	}
	o.countMetrics(workspace, class, out)
	if x.Workspace == nil {
		return // reports are by workspace
	}
	r := reporter.Outcome{
		Workspace:  workspace,
		Class:      class,
		Reason:     string(out.Reason),
		Ran:        string(out.Ran),
		OnTime:     !x.Start.Add(took).After(x.Deadline),
		FirstToken: out.FirstToken,
		Took:       took,
		Prompt:     out.Prompt,
		Cached:     out.Cached,
		Tokens:     out.Tokens,
	}
	if !x.Repeatable && x.Key != "" {
		key := claimer.NewKey(workspace, x.Key)
		r.Once = &reporter.OnceLine{
			RequestID: x.ID,
			Workspace: workspace,
			Key:       hex.EncodeToString(key[:]),
			Reason:    r.Reason,
			Ran:       r.Ran,
			At:        x.Start,
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gatherer.Record(r)
}

// countMetrics updates the metrics. The label sets are bounded: workspaces and
// classes come from the configuration, reasons from a closed list.
func (o *outcomeRecorder) countMetrics(workspace, class string, out server.Outcome) {
	reason := string(out.Reason)
	if reason == "" {
		reason = "Answered"
	}
	o.set.GetOrCreateCounter(fmt.Sprintf(`amaranthgate_requests_total{workspace=%q,class=%q,outcome=%q}`, workspace, class, reason)).Inc()
	if out.Attempts > 1 {
		o.set.GetOrCreateCounter(fmt.Sprintf(`amaranthgate_retries_total{class=%q}`, class)).Add(out.Attempts - 1)
	}
	if out.FirstToken > 0 {
		o.set.GetOrCreateHistogram(fmt.Sprintf(`amaranthgate_first_token_seconds{class=%q}`, class)).Update(out.FirstToken.Seconds())
	}
	o.set.GetOrCreateCounter(fmt.Sprintf(`amaranthgate_tokens_total{class=%q}`, class)).Add(out.Tokens)
	o.set.GetOrCreateCounter(fmt.Sprintf(`amaranthgate_prompt_tokens_total{class=%q}`, class)).Add(out.Prompt)
	o.set.GetOrCreateCounter(fmt.Sprintf(`amaranthgate_cached_tokens_total{class=%q}`, class)).Add(out.Cached)
}

func (o *outcomeRecorder) flush(now time.Time) (replayer.Entry, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gatherer.Flush(now)
}

// flushOutcomes appends the recorded outcomes to the log.
func (h *Host) flushOutcomes(now time.Time) {
	if e, ok := h.outcomes.flush(now); ok {
		h.loop.post(controller.EntriesReported{Entries: []replayer.Entry{e}})
	}
}

// writeMetrics writes all metrics in the Prometheus text format.
func (h *Host) writeMetrics(w io.Writer) {
	t := h.messenger.Traffic()
	snap := h.publisher.Load()
	for _, g := range []struct {
		name  string
		value float64
	}{
		{"amaranthgate_open_requests", float64(h.server.Open())},
		{"amaranthgate_configuration_revision", float64(snap.Revision)},
		{"amaranthgate_ready", boolToFloat(snap.Ready)},
		{"amaranthgate_peer_sent_bytes_total", float64(t.SentBytes)},
		{"amaranthgate_peer_received_bytes_total", float64(t.ReceivedBytes)},
		{"amaranthgate_peer_dropped_messages_total", float64(t.Dropped)},
		{"amaranthgate_crossed_answers_total", float64(h.forwarder.Crossed.Load())},
	} {
		fmt.Fprintf(w, "%s %g\n", g.name, g.value)
	}
	h.outcomes.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
