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
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/keeper"
	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/router"
)

// delivery is the state of a request over its attempts. It is the
// dispatcher.Way of the completions API.
type delivery struct {
	server  *Server
	x       *Exchange
	outcome Outcome
	tried   []int
	stale   bool   // stale tells that the request's claim ran out before it could be sent.
	text    []byte // text is what the caller has, escaped as in JSON.
	version string // version is the weight version of the first attempt whose text the caller has.
}

// picked is an upstream of the pool with the decision that led to it.
type picked struct {
	upstream *publisher.Upstream
	decision router.Decision
}

// forward sends the request to an upstream and its answer back, with retries
// within the budget.
func (s *Server) forward(ctx context.Context, x *Exchange) Outcome {
	if len(x.Pool.Targets) == 0 {
		return refuse(http.StatusServiceUnavailable, ReasonNoUpstream, "")
	}
	d := &delivery{server: s, x: x}
	s.opts.Budget.Request()
	most := x.Snapshot.Document.Retry.Attempts
	tries := dispatcher.Run(ctx, dispatcher.Policy{Repeatable: x.Repeatable, Runs: most, Attempts: most}, d)
	if tries.Done() {
		return d.outcome
	}
	return d.failed(ctx, &tries)
}

// Withdraw implements dispatcher.Way.
func (d *delivery) Withdraw() bool { return d.server.opts.Budget.Withdraw() }

// Continues implements dispatcher.Way: an answer of which the caller has a part
// can be continued elsewhere if it is a stream that lacks tokens.
func (d *delivery) Continues() bool {
	prompt := d.x.Call.Prompt
	return !d.outcome.written || prompt != nil && prompt.Stream && d.outcome.Tokens < prompt.MaxTokens
}

// claimed reports whether a claimed request may still be sent. A host that was
// paused after it won finds its claim stale.
func (d *delivery) claimed() bool {
	return d.x.before.IsZero() || d.server.opts.Timer.Now().Before(d.x.before)
}

// Choose implements dispatcher.Way.
func (d *delivery) Choose(context.Context) (picked, bool) {
	i, decision, ok := d.choose()
	if !ok {
		return picked{}, false
	}
	if !d.claimed() {
		d.stale = true
		return picked{}, false
	}
	d.tried = append(d.tried, i)
	return picked{upstream: &d.x.Pool.Upstreams[i], decision: decision}, true
}

// Try implements dispatcher.Way.
func (d *delivery) Try(ctx context.Context, c picked) dispatcher.Result {
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
		d.placed(up, c.decision, fail == nil)
	}
	if fail == nil || fail.Cause != forwarder.CauseCaller {
		up.Instruments.Breaker.Record(s.opts.Timer.Now(), fail == nil || !blames(fail))
	}
	if fail == nil {
		return dispatcher.Result{Verdict: dispatcher.Done, Reached: true}
	}
	return dispatcher.Failed(fail)
}

// placed tells what the upstream has computed now: the prompt, and the answer
// too if it is whole, because the next turn repeats it.
func (d *delivery) placed(up *publisher.Upstream, decision router.Decision, whole bool) {
	x := d.x
	chain := x.chain
	if text, ok := forwarder.UnescapeText(string(d.text)); ok && whole && len(text) > 0 {
		prompt := x.Call.Prompt.PromptText()
		m, _ := x.Snapshot.Document.Model(x.Call.Prompt.Model)
		salt := d.server.salt(x.Workspace.Name, m.Name, m.Version)
		chain = chain.Extend(salt, prompt[chain.Len()*keeper.BlockBytes:]+text)
	}
	if d.server.opts.Keeper == nil || x.Call.Prompt == nil {
		return
	}
	d.server.opts.Keeper.Placed(d.server.opts.Timer.Now(), Placement{
		Upstream:  up.Name,
		Workspace: x.Workspace.Name,
		Chain:     chain,
		Displaced: !decision.First,
	})
}

// blames reports whether a failure speaks against the upstream's health.
func blames(f *forwarder.Failure) bool {
	switch f.Cause {
	case forwarder.CauseConnect, forwarder.CauseLost, forwarder.CauseTimeout,
		forwarder.CauseCrossed, forwarder.CauseCut, forwarder.CauseMalformed:
		return true
	}
	return false
}

// choose routes the request among the targets that may still be tried.
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

// excluded marks the targets that may not be chosen: those kept for more urgent
// classes, those tried already, and those that do not answer.
func (d *delivery) excluded(now time.Time) []bool {
	pool := d.x.Pool
	marks := make([]bool, len(pool.Targets))
	copy(marks, pool.ReservedFrom(d.x.Class.Rank))
	for _, i := range d.tried {
		marks[i] = true
	}
	for i := range pool.Upstreams {
		up := &pool.Upstreams[i]
		if !d.fits(up) || up.Instruments.Breaker.Open(now) {
			marks[i] = true
		}
	}
	return marks
}

// fits reports whether an upstream has the weight version that a continued
// answer needs.
func (d *delivery) fits(up *publisher.Upstream) bool {
	return d.version == "" || len(up.Versions) == 0 || slices.Contains(up.Versions, d.version)
}

func (d *delivery) send(ctx context.Context, up *publisher.Upstream, decision router.Decision, first func()) *forwarder.Failure {
	x := d.x
	a := &forwarder.Attempt{
		Upstream:   up.Name,
		Address:    up.Address,
		Method:     x.Call.Method,
		Path:       x.Call.Path,
		Header:     forwardedHeader(x.request.Header),
		Body:       x.Call.Body,
		Nonce:      nonce(x.ID, d.outcome.Attempts),
		FirstToken: d.server.opts.FirstToken,
		Interval:   d.server.opts.Interval,
		OnlyOnce:   !x.Repeatable,
	}
	a.Header.Set(headerWorkspace, x.Workspace.Name)
	if x.Call.Prompt == nil {
		return d.call(ctx, a, first)
	}
	a.Body = d.promptFor(up, decision)
	resp, fail := d.server.opts.Forwarder.Open(ctx, a)
	if fail != nil {
		return fail
	}
	defer resp.Close()
	if resp.Status() != http.StatusOK {
		return d.passOn(resp)
	}
	if x.Call.Prompt.Stream {
		return d.stream(resp, a.Nonce, first)
	}
	return d.whole(resp, a.Nonce, first)
}

// headerWorkspace tells upstreams whose request it is.
const headerWorkspace = "Amaranthgate-Workspace"

// promptFor returns the body for one upstream.
func (d *delivery) promptFor(up *publisher.Upstream, decision router.Decision) []byte {
	x := d.x
	set := *x.Call.Prompt
	set.Priority = x.Class.Rank
	set.Version = d.version
	if set.Version == "" {
		m, _ := x.Snapshot.Document.Model(set.Model)
		set.Version = m.Version
	}
	set.CacheSalt = d.server.salt(x.Workspace.Name, set.Model, set.Version)
	if set.Stream {
		set.StreamOptions = &wire.StreamOptions{IncludeUsage: true}
	}
	if decision.Restore > 0 {
		set.Restore = d.server.opts.Keeper.Segments(d.server.opts.Timer.Now(), up.Name, x.chain, decision.Restore)
		set.RestoreWithin = int(keeper.LongestWait.Milliseconds())
	}
	if len(d.text) > 0 {
		d.continueFrom(&set)
	}
	return x.body.with(set)
}

// continueFrom changes a prompt so that the answer goes on after the text that
// the caller has.
func (d *delivery) continueFrom(set *wire.CompletionRequest) {
	text, ok := forwarder.UnescapeText(string(d.text))
	if !ok {
		return
	}
	set.MaxTokens -= d.outcome.Tokens
	if !d.x.Call.Chat {
		set.Prompt += text
		return
	}
	set.Messages = append(slices.Clone(set.Messages), wire.Message{Role: "assistant", Content: text})
	set.Continue = true
}

// failed turns the attempts of a request without an answer into its outcome.
func (d *delivery) failed(ctx context.Context, tries *dispatcher.Tries) Outcome {
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
		if d.stale {
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
