// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package server

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/limiter"
	"amaranthgate.example/amaranthgate/scheduler"
	"amaranthgate.example/amaranthgate/timer"
)

// identify sets the workspace, the class and the deadline.
func (s *Server) identify(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) Outcome {
		if !x.Snapshot.Ready {
			o := refuse(http.StatusServiceUnavailable, ReasonNotReady, "")
			o.RetryAfter = time.Second
			return o
		}
		token, ok := strings.CutPrefix(x.request.Header.Get("Authorization"), "Bearer ")
		if !ok {
			return refuse(http.StatusUnauthorized, ReasonUnauthenticated, "want the header Authorization: Bearer")
		}
		x.Workspace, ok = x.Snapshot.WorkspaceOf(token)
		if !ok {
			return refuse(http.StatusUnauthorized, ReasonUnauthenticated, "the token is not known")
		}
		if o := x.classify(); o.Reason != ReasonNone {
			return o
		}
		ctx, cancel := timer.WithDeadline(ctx, s.opts.Timer, x.Deadline)
		defer cancel()
		return next(ctx, x)
	}
}

// classify sets the class and the deadline from the headers.
func (x *Exchange) classify() Outcome {
	name := x.request.Header.Get(HeaderClass)
	if name == "" {
		name = x.Workspace.Classes[0]
	}
	if !slices.Contains(x.Workspace.Classes, name) {
		return refuse(http.StatusForbidden, ReasonNotAllowed, "the workspace may not use this class")
	}
	x.Class, _ = x.Snapshot.Document.Class(name)
	wait := x.Class.Deadline.Std()
	if text := x.request.Header.Get(HeaderDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return refuse(http.StatusBadRequest, ReasonBadRequest, HeaderDeadline+" is not a duration")
		}
		wait = min(wait, d)
	}
	x.Deadline = x.Start.Add(wait)
	return Outcome{}
}

// limit enforces this host's share of the workspace's limits.
func (s *Server) limit(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) Outcome {
		r := s.opts.Limiter.Admit(s.opts.Timer.Now(), x.Workspace.Name)
		if !r.Admitted && s.opts.Shares != nil && s.opts.Shares.RequestShare(ctx, x.Workspace.Name) {
			r = s.opts.Limiter.Admit(s.opts.Timer.Now(), x.Workspace.Name)
		}
		if !r.Admitted {
			reason := ReasonRateLimited
			if r.Refusal == limiter.RefusedConcurrency {
				reason = ReasonConcurrency
			}
			o := refuse(http.StatusTooManyRequests, reason, "")
			o.RetryAfter = r.RetryAfter
			return o
		}
		defer s.opts.Limiter.Done(x.Workspace.Name)
		return next(ctx, x)
	}
}

// claim ensures that a request with an idempotency key that may not be repeated
// runs at most once.
func (s *Server) claim(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) Outcome {
		if x.Repeatable || x.Key == "" {
			return next(ctx, x)
		}
		req := claimer.Request{
			Key:    claimer.NewKey(x.Workspace.Name, x.Key),
			Digest: claimer.NewDigest(x.Call.Method, x.Call.Path, x.Call.Body),
			Nonce:  x.ID,
		}
		settled := s.opts.Claims.Claim(ctx, req, x.Deadline)
		if settled.Verdict != claimer.VerdictWon {
			return s.claimNotWon(x, settled)
		}
		x.claimExpiry = settled.DispatchBefore
		rec := &answerCapture{ResponseWriter: x.writer, limit: x.Snapshot.Document.Claims.KeptBytes}
		x.writer = rec
		// A claimed request runs to completion even if the caller disconnects.
		ctx, cancel := timer.WithDeadline(context.WithoutCancel(ctx), s.opts.Timer, x.Deadline)
		defer cancel()
		o := next(ctx, x)
		s.opts.Claims.Finish(claimer.Outcome{Key: req.Key, Nonce: req.Nonce, State: claimState(o), Answer: rec.answer(o)})
		return o
	}
}

// claimState returns the state to record for a claimed request.
func claimState(o Outcome) claimer.State {
	switch {
	case o.Ran == forwarder.RanNo:
		return claimer.StateNotRun
	case o.complete:
		return claimer.StateDone
	}
	return claimer.StateUnknown
}

// claimNotWon returns the outcome of a request whose claim was not won.
func (s *Server) claimNotWon(x *Exchange, settled claimer.Settlement) Outcome {
	switch settled.Verdict {
	case claimer.VerdictDone:
		return replay(x, settled.Answer)
	case claimer.VerdictMismatch:
		return refuse(http.StatusUnprocessableEntity, ReasonKeyMismatch, "")
	case claimer.VerdictUnknown:
		return Outcome{Status: http.StatusConflict, Reason: ReasonMayHaveRun, Ran: forwarder.RanUnknown}
	}
	o := refuse(http.StatusServiceUnavailable, ReasonNoAgreement, "this attempt was not run; earlier ones with the key may have been")
	o.Ran = forwarder.RanUnknown
	if x.FirstAttempt {
		o.Ran, o.Detail = forwarder.RanNo, ""
	}
	o.RetryAfter = time.Second
	return o
}

// replay writes the stored response of an earlier request with the same key.
func replay(x *Exchange, a *claimer.Answer) Outcome {
	if a == nil {
		return Outcome{Status: http.StatusConflict, Reason: ReasonAnswered, Ran: forwarder.RanYes}
	}
	x.writer.Header().Set("Content-Type", a.ContentType)
	x.writer.Header().Set(HeaderReplayed, "true")
	x.writer.WriteHeader(a.Status)
	_, err := x.writer.Write(a.Body)
	if err != nil {
		return Outcome{Status: a.Status, Reason: ReasonCallerGone, Ran: forwarder.RanYes, written: true}
	}
	return Outcome{Status: a.Status, Ran: forwarder.RanYes, written: true}
}

// awaitCapacity queues the request until an upstream has capacity for its class, or
// refuses it once its deadline cannot be met.
func (s *Server) awaitCapacity(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) Outcome {
		x.pool = s.pools.get(poolName(x))
		item := &scheduler.Item{
			Class:           x.Class.Name,
			ClassWeight:     x.Class.Weight,
			Rank:            x.Class.Rank,
			Workspace:       x.Workspace.Name,
			WorkspaceWeight: x.Workspace.Weight,
			Cost:            x.costTokens(),
			Latest:          x.Deadline.Add(-s.minServiceTime(x)),
		}
		switch x.pool.gate.Enter(ctx, item) {
		case scheduler.TooLate:
			o := refuse(http.StatusServiceUnavailable, ReasonOverloaded, "")
			o.RetryAfter = s.retryAfter(x)
			return o
		case scheduler.Canceled:
			if s.opts.Timer.Now().Before(x.Deadline) {
				return refuse(statusCallerGone, ReasonCallerGone, "")
			}
			o := refuse(http.StatusServiceUnavailable, ReasonDeadline, "")
			o.RetryAfter = s.retryAfter(x)
			return o
		}
		held := true
		x.release = func() {
			if held {
				held = false
				x.pool.gate.Started()
			}
		}
		defer x.release()
		return next(ctx, x)
	}
}

// statusCallerGone is recorded for callers that disconnected; it is never sent.
const statusCallerGone = 499

// costTokens returns the cost of a request for scheduling, in tokens.
func (x *Exchange) costTokens() float64 {
	if x.Call.Prompt == nil {
		return 1
	}
	return float64(x.Routing.Tokens + x.Call.Prompt.MaxTokens)
}
