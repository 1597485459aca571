// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"amaranthgate.example/amaranthgate/internal/wire"
)

// Ran says whether an attempt ran at the upstream.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "No"
	RanUnknown Ran = "Unknown"
	RanYes     Ran = "Yes"
)

// Cause says why an attempt failed.
type Cause string

// Values of Cause.
const (
	CauseConnect    Cause = "Connect"   // CauseConnect means that no connection was available.
	CauseLost       Cause = "Lost"      // CauseLost means that the connection broke before the answer.
	CauseTimeout    Cause = "Timeout"   // CauseTimeout means that the answer did not arrive in time.
	CauseRefused    Cause = "Refused"   // CauseRefused means that the upstream refused the request.
	CauseCrossed    Cause = "Crossed"   // CauseCrossed means that the answer belongs to another attempt.
	CauseCut        Cause = "Cut"       // CauseCut means that the answer is incomplete.
	CauseMalformed  Cause = "Malformed" // CauseMalformed means that the answer cannot be decoded.
	CauseCallerGone Cause = "Caller"    // CauseCallerGone means that the caller left.
)

// Failure describes a failed attempt.
type Failure struct {
	Cause      Cause
	Ran        Ran
	Status     int           // Status is the upstream's status, if it answered.
	RetryAfter time.Duration // RetryAfter is from the upstream's Retry-After header; 0 if there is none.
	Detail     string
	NoListener bool // NoListener reports whether the upstream's address refused the connection.
	NoRoom     bool // NoRoom reports that no connection was attempted, as all that are allowed are in use.
	Trace      Trace
}

// Attempt is one attempt of a request.
type Attempt struct {
	Upstream   string
	Address    string // Address is IP:port.
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Nonce      string
	FirstToken time.Duration // FirstToken limits the wait for the answer's headers.
	Interval   time.Duration // Interval limits the time between reads of an answer.
	OnlyOnce   bool          // OnlyOnce marks a request that must run at most once; see Call.Once.
}

// Options configure a Forwarder.
type Options struct {
	ConnsPerUpstream int           // ConnsPerUpstream limits connections to one upstream; default 256.
	DialTimeout      time.Duration // DialTimeout defaults to 1 s.
}

// Forwarder sends attempts. It is safe for concurrent use.
type Forwarder struct {
	pool *Pool

	Crossed atomic.Uint64 // Crossed counts answers with the nonce of another attempt.
}

const (
	defaultConns       = 256
	defaultDialTimeout = time.Second
	maxHeaderBytes     = 64 << 10
)

// New returns a Forwarder without connections.
func New(opts Options) *Forwarder {
	if opts.ConnsPerUpstream == 0 {
		opts.ConnsPerUpstream = defaultConns
	}
	return &Forwarder{pool: NewPool(PoolOptions{DialTimeout: opts.DialTimeout, ConnsPerUpstream: opts.ConnsPerUpstream})}
}

// Retain closes idle connections to addresses for which keep returns false.
func (f *Forwarder) Retain(keep func(address string) bool) { f.pool.Retain(keep) }

// Open sends an attempt and waits for the header of its answer. Exactly one of the
// results is not nil. The caller must close the Response.
func (f *Forwarder) Open(ctx context.Context, a *Attempt) (*Response, *Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	header := a.Header
	if header == nil {
		header = make(http.Header)
	}
	header.Set(wire.HeaderNonce, a.Nonce)
	watchdog := newWatchdog(a.FirstToken, cancel)
	reply, fail := f.pool.Do(ctx, &Call{
		Address: a.Address, Method: a.Method, Target: a.Path, Host: a.Address, Header: header, Body: a.Body, Once: a.OnlyOnce,
	})
	if fail != nil {
		watchdog.stop()
		fail = asTimeout(ctx, fail) // before cancel, which ends ctx
		cancel(nil)
		return nil, fail
	}
	r := &Response{forwarder: f, attempt: a, ctx: ctx, cancel: cancel, watchdog: watchdog, reply: reply}
	if fail := r.checkHeader(); fail != nil {
		r.Close()
		return nil, fail
	}
	return r, nil
}

// asTimeout changes the cause from CauseCallerGone to CauseTimeout if a watchdog
// canceled the attempt.
func asTimeout(ctx context.Context, f *Failure) *Failure {
	if _, stalled := context.Cause(ctx).(errStalled); stalled && f.Cause == CauseCallerGone {
		f.Cause = CauseTimeout
	}
	return f
}

// errStalled is the cause with which a watchdog cancels an attempt.
type errStalled struct{}

func (errStalled) Error() string { return "forwarder: upstream sent nothing within the timeout" }

// watchdog cancels an attempt unless it is reset in time.
type watchdog struct {
	timer *time.Timer
}

func newWatchdog(d time.Duration, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{timer: time.AfterFunc(d, func() { cancel(errStalled{}) })}
}

func (w *watchdog) reset(d time.Duration) { w.timer.Reset(d) }
func (w *watchdog) stop()                 { w.timer.Stop() }

// Response is the answer to an attempt, of which the body has not been read.
type Response struct {
	forwarder *Forwarder
	attempt   *Attempt
	ctx       context.Context
	cancel    context.CancelCauseFunc
	watchdog  *watchdog
	reply     *Reply
}

// Status returns the status of the answer.
func (r *Response) Status() int { return r.reply.Status }

// Header returns the header of the answer.
func (r *Response) Header() http.Header { return r.reply.Header }

// Version returns the version of the model weights that the upstream used.
func (r *Response) Version() string { return r.reply.Header.Get(wire.HeaderVersion) }

// Close ends the attempt and cancels it at the upstream if it is still running.
func (r *Response) Close() {
	r.watchdog.stop()
	r.reply.Close() // before cancel, which would close a reusable connection
	r.cancel(nil)
}

// checkHeader checks the nonce of the answer and whether the upstream refused.
func (r *Response) checkHeader() *Failure {
	if ran := r.reply.Header.Get(wire.HeaderRan); ran == "no" {
		return &Failure{Cause: CauseRefused, Ran: RanNo, Status: r.reply.Status, RetryAfter: retryAfter(r.reply.Header), Detail: r.errorText()}
	}
	failed := r.reply.Status >= http.StatusBadRequest // a proxy that does not set the nonce may have answered
	if got := r.reply.Header.Get(wire.HeaderNonce); got != r.attempt.Nonce && (got != "" || !failed) {
		r.forwarder.Crossed.Add(1)
		return &Failure{Cause: CauseCrossed, Ran: RanUnknown, Status: r.reply.Status, Detail: "the answer names another attempt"}
	}
	if r.reply.Status >= http.StatusInternalServerError || r.reply.Status == http.StatusTooManyRequests {
		return &Failure{Cause: CauseRefused, Ran: RanUnknown, Status: r.reply.Status, RetryAfter: retryAfter(r.reply.Header), Detail: r.errorText()}
	}
	r.watchdog.reset(r.attempt.Interval)
	return nil
}

// maxDetailBytes limits the part of an upstream's error text that is kept.
const maxDetailBytes = 256

func (r *Response) errorText() string {
	b, _ := io.ReadAll(io.LimitReader(r.reply, maxDetailBytes))
	return string(bytes.TrimSpace(b))
}

func retryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}

// readFailure returns the Failure for an error while reading the body.
func (r *Response) readFailure(err error) *Failure {
	f := &Failure{Cause: CauseCut, Ran: RanYes, Status: r.reply.Status, Detail: err.Error()}
	if r.ctx.Err() == nil {
		return f
	}
	f.Cause = CauseCallerGone
	return asTimeout(r.ctx, f)
}

// ReadAll reads the whole body. It fails if that is larger than limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, *Failure) {
	body, err := io.ReadAll(io.LimitReader(r.reply, limit+1))
	if err != nil {
		return nil, r.readFailure(err)
	}
	if int64(len(body)) > limit {
		return nil, &Failure{Cause: CauseMalformed, Ran: RanYes, Detail: "the answer is too large"}
	}
	return body, nil
}
