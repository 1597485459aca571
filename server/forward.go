// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package server

import (
	"context"
	"net/http"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/indexer"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/router"
)

// delivery is the state of a request over its attempts. It implements
// dispatcher.Attempter.
type delivery struct {
	server       *Server
	x            *Exchange
	outcome      Outcome
	tried        []int
	claimExpired bool   // claimExpired reports whether the request's claim expired before it could be sent.
	sentText     []byte // sentText is the text that the caller has, escaped as in JSON.
	version      string // version is the weight version of the first attempt whose text the caller has.
}

// choice is an upstream of the pool with the routing decision that chose it.
type choice struct {
	upstream *publisher.Upstream
	decision router.Decision
}

// forward sends the request to an upstream and the response to the caller, with
// retries within the budget.
func (s *Server) forward(ctx context.Context, x *Exchange) Outcome {
	if len(x.Pool.Targets) == 0 {
		return refuse(http.StatusServiceUnavailable, ReasonNoUpstream, "")
	}
	d := &delivery{server: s, x: x}
	s.opts.Budget.Request()
	attempts := x.Snapshot.Document.Retry.Attempts
	tries := dispatcher.Run(ctx, dispatcher.Policy{Repeatable: x.Repeatable, Runs: attempts, Attempts: attempts}, d)
	if tries.Done() {
		return d.outcome
	}
	return d.failureOutcome(ctx, &tries)
}

// Withdraw implements dispatcher.Attempter.
func (d *delivery) Withdraw() bool { return d.server.opts.Budget.Withdraw() }

// Continues implements dispatcher.Attempter: a partly sent response can be continued by
// another upstream if it is a stream and tokens are missing.
func (d *delivery) Continues() bool {
	prompt := d.x.Call.Prompt
	return !d.outcome.written || prompt != nil && prompt.Stream && d.outcome.Tokens < prompt.MaxTokens
}

// claimValid reports whether a claimed request may still be sent. A claim may have
// expired while the host was paused.
func (d *delivery) claimValid() bool {
	return d.x.claimExpiry.IsZero() || d.server.opts.Timer.Now().Before(d.x.claimExpiry)
}

// Choose implements dispatcher.Attempter.
func (d *delivery) Choose(context.Context) (choice, bool) {
	i, decision, ok := d.choose()
	if !ok {
		return choice{}, false
	}
	if !d.claimValid() {
		d.claimExpired = true
		return choice{}, false
	}
	d.tried = append(d.tried, i)
	return choice{upstream: &d.x.Pool.Upstreams[i], decision: decision}, true
}

// Try implements dispatcher.Attempter.
func (d *delivery) Try(ctx context.Context, c choice) dispatcher.Result {
	s, x, up := d.server, d.x, c.upstream
	d.outcome.Attempts++
	d.outcome.Upstream = up.Name
	start := s.opts.Timer.Now()
	tokens := x.Routing.Tokens - c.decision.Reused
	up.Instruments.Meter.Start(tokens)
	x.release()
	gotFirst := false
	first := func() {
		if !gotFirst {
			gotFirst = true
			up.Instruments.Meter.FirstToken(tokens)
		}
	}
	defer func() {
		first()
		up.Instruments.Meter.Finish(s.opts.Timer.Now().Sub(start))
		x.pool.gate.Wake(s.opts.Timer.Now())
	}()
	fail := d.send(ctx, up, c.decision, first)
	if gotFirst {
		d.recordPlacement(up, c.decision, fail == nil)
	}
	if fail == nil || fail.Cause != forwarder.CauseCallerGone {
		up.Instruments.Breaker.Record(s.opts.Timer.Now(), fail == nil || !indicatesFault(fail))
	}
	if fail == nil {
		return dispatcher.Result{Verdict: dispatcher.Done, Reached: true}
	}
	return dispatcher.Failed(fail)
}

// recordPlacement records in the cache index what the upstream has computed: the
// prompt and, if complete, the response, which is part of the next turn's prompt.
func (d *delivery) recordPlacement(up *publisher.Upstream, decision router.Decision, complete bool) {
	x := d.x
	chain := x.chain
	if text, ok := forwarder.UnescapeText(string(d.sentText)); ok && complete && len(text) > 0 {
		prompt := x.Call.Prompt.PromptText()
		m, _ := x.Snapshot.Document.Model(x.Call.Prompt.Model)
		salt := d.server.salt(x.Workspace.Name, m.Name, m.Version)
		chain = chain.Extend(salt, prompt[chain.Len()*indexer.BlockBytes:]+text)
	}
	if d.server.opts.CacheIndex == nil || x.Call.Prompt == nil {
		return
	}
	d.server.opts.CacheIndex.RecordPlacement(d.server.opts.Timer.Now(), Placement{
		Upstream:     up.Name,
		Workspace:    x.Workspace.Name,
		Chain:        chain,
		NotPreferred: !decision.First,
	})
}

// indicatesFault reports whether a failure counts against the upstream's health.
func indicatesFault(f *forwarder.Failure) bool {
	switch f.Cause {
	case forwarder.CauseConnect, forwarder.CauseLost, forwarder.CauseTimeout,
		forwarder.CauseCrossed, forwarder.CauseCut, forwarder.CauseMalformed:
		return true
	}
	return false
}

// choose routes the request to one of the targets that may still be tried.
func (d *delivery) choose() (int, router.Decision, bool) {
	x := d.x
	now := d.server.opts.Timer.Now()
	x.Routing.Exclude = d.excluded(now)
	x.pool.mu.Lock()
	decision, ok := x.pool.router.Route(x.Pool.Targets, &x.Routing)
	x.pool.mu.Unlock()
	if !ok {
		return 0, decision, false
	}
	if !x.Pool.Upstreams[decision.Target].Instruments.Breaker.Allow(now) {
		d.tried = append(d.tried, decision.Target)
		return d.choose()
	}
	return decision.Target, decision, true
}

// excluded marks the targets that may not be chosen: those reserved for more urgent
// classes, tried before, without the right version, or with an open breaker.
func (d *delivery) excluded(now time.Time) []bool {
	pool := d.x.Pool
	marks := make([]bool, len(pool.Targets))
	copy(marks, pool.ReservedAbove(d.x.Class.Rank))
	for _, i := range d.tried {
		marks[i] = true
	}
	for i := range pool.Upstreams {
		up := &pool.Upstreams[i]
		if !d.hasVersion(up) || up.Instruments.Breaker.Open(now) {
			marks[i] = true
		}
	}
	return marks
}

// hasVersion reports whether an upstream has the weight version that a continued
// response needs.
func (d *delivery) hasVersion(up *publisher.Upstream) bool {
	return d.version == "" || len(up.Versions) == 0 || slices.Contains(up.Versions, d.version)
}

func (d *delivery) send(ctx context.Context, up *publisher.Upstream, decision router.Decision, first func()) *forwarder.Failure {
	x := d.x
	a := &forwarder.Attempt{
		Upstream:   up.Name,
		Address:    up.Address,
		Method:     x.Call.Method,
		Path:       x.Call.Path,
		Header:     selectRequestHeaders(x.request.Header),
		Body:       x.Call.Body,
		Nonce:      nonce(x.ID, d.outcome.Attempts),
		FirstToken: d.server.opts.FirstToken,
		Interval:   d.server.opts.Interval,
		OnlyOnce:   !x.Repeatable,
	}
	a.Header.Set(headerWorkspace, x.Workspace.Name)
	if x.Call.Prompt == nil {
		return d.forwardServiceCall(ctx, a, first)
	}
	a.Body = d.requestBody(up, decision)
	resp, fail := d.server.opts.Forwarder.Open(ctx, a)
	if fail != nil {
		return fail
	}
	defer resp.Close()
	if resp.Status() != http.StatusOK {
		return d.relayResponse(resp)
	}
	if x.Call.Prompt.Stream {
		return d.forwardStream(resp, a.Nonce, first)
	}
	return d.forwardJSON(resp, a.Nonce, first)
}

// headerWorkspace names the workspace of a request to an upstream.
const headerWorkspace = "Amaranthgate-Workspace"

// requestBody returns the body of a prompt for an upstream.
func (d *delivery) requestBody(up *publisher.Upstream, decision router.Decision) []byte {
	x := d.x
	req := *x.Call.Prompt
	req.Priority = x.Class.Rank
	req.Version = d.version
	if req.Version == "" {
		m, _ := x.Snapshot.Document.Model(req.Model)
		req.Version = m.Version
	}
	req.CacheSalt = d.server.salt(x.Workspace.Name, req.Model, req.Version)
	if req.Stream {
		req.StreamOptions = &wire.StreamOptions{IncludeUsage: true}
	}
	if decision.Restore > 0 {
		req.Restore = d.server.opts.CacheIndex.Segments(d.server.opts.Timer.Now(), up.Name, x.chain, decision.Restore)
		req.RestoreWithin = int(indexer.MaxImportWait.Milliseconds())
	}
	if len(d.sentText) > 0 {
		d.continueFrom(&req)
	}
	return x.body.merge(req)
}

// continueFrom changes a prompt so that the response continues the text that the
// caller has.
func (d *delivery) continueFrom(req *wire.CompletionRequest) {
	text, ok := forwarder.UnescapeText(string(d.sentText))
	if !ok {
		return
	}
	req.MaxTokens -= d.outcome.Tokens
	if !d.x.Call.Chat {
		req.Prompt += text
		return
	}
	req.Messages = append(slices.Clone(req.Messages), wire.Message{Role: "assistant", Content: text})
	req.Continue = true
}

// failureOutcome returns the outcome of a request whose attempts all failed.
func (d *delivery) failureOutcome(ctx context.Context, tries *dispatcher.Summary) Outcome {
	o := d.outcome
	o.Ran = tries.Ran()
	if fail := tries.Last.Failure; fail != nil {
		o.Detail, o.RetryAfter = fail.Detail, fail.RetryAfter
	}
	switch tries.Ending(ctx) {
	case dispatcher.CallerGone:
		o.Status, o.Reason = statusCallerGone, ReasonCallerGone
	case dispatcher.Deadline:
		o.Status, o.Reason = http.StatusGatewayTimeout, ReasonDeadline
	case dispatcher.NoUpstream:
		o.Status, o.Reason = http.StatusServiceUnavailable, ReasonNoUpstream
		if d.claimExpired {
			o.Detail = "the claim went stale"
		}
	case dispatcher.Unreached, dispatcher.Refused:
		o.Status, o.Reason = http.StatusServiceUnavailable, ReasonUpstream
	default:
		o.Status, o.Reason = http.StatusBadGateway, ReasonUpstream
	}
	if o.Status == http.StatusServiceUnavailable && o.RetryAfter == 0 {
		o.RetryAfter = time.Second
	}
	if o.written {
		o.Reason = ReasonInterrupted
	}
	return o
}
