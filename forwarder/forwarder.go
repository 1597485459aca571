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

// Ran tells whether an attempt can have run at the upstream.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "No"
	RanUnknown Ran = "Unknown"
	RanYes     Ran = "Yes"
)

// Cause tells why an attempt failed.
type Cause string

// The causes.
const (
	CauseConnect   Cause = "Connect"   // CauseConnect says that no connection was made.
	CauseLost      Cause = "Lost"      // CauseLost says that the connection broke before an answer.
	CauseTimeout   Cause = "Timeout"   // CauseTimeout says that the answer did not come in time.
	CauseRefused   Cause = "Refused"   // CauseRefused says that the upstream refused.
	CauseCrossed   Cause = "Crossed"   // CauseCrossed says that the answer belongs to another attempt.
	CauseCut       Cause = "Cut"       // CauseCut says that the answer ended too early.
	CauseMalformed Cause = "Malformed" // CauseMalformed says that the answer cannot be read.
	CauseCaller    Cause = "Caller"    // CauseCaller says that the caller went away.
)

// Failure is how an attempt failed.
type Failure struct {
	Cause      Cause
	Ran        Ran
	Status     int           // Status is the upstream's status, if it answered.
	RetryAfter time.Duration // RetryAfter is the upstream's advice, if any.
	Detail     string
	NoListener bool // NoListener says that the upstream's address refuses connections: its process has ended.
}

// Attempt is one try to get a request answered.
type Attempt struct {
	Upstream   string
	Address    string // Address is IP:port.
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Nonce      string
	FirstToken time.Duration // FirstToken bounds the wait for the answer's headers.
	Interval   time.Duration // Interval bounds the silence within an answer.
	OnlyOnce   bool          // OnlyOnce forbids the transport to send the request again.
}

// Options set up a forwarder.
type Options struct {
	ConnsPerUpstream int           // ConnsPerUpstream bounds connections to one upstream; default 256.
	DialTimeout      time.Duration // DialTimeout bounds a connect; default 1 s.
}

// Forwarder sends attempts. It is safe for concurrent use.
type Forwarder struct {
	pool *Pool

	Crossed atomic.Uint64 // Crossed counts answers that named another attempt.
}

const (
	defaultConns = 256
	defaultDial  = time.Second
	maxHeader    = 64 << 10
)

// New returns a forwarder without connections.
func New(opts Options) *Forwarder {
	if opts.ConnsPerUpstream == 0 {
		opts.ConnsPerUpstream = defaultConns
	}
	return &Forwarder{pool: NewPool(PoolOptions{DialTimeout: opts.DialTimeout, ConnsPerUpstream: opts.ConnsPerUpstream})}
}

// Retain closes idle connections to addresses that keep does not want.
func (f *Forwarder) Retain(keep func(address string) bool) { f.pool.Retain(keep) }

// Open sends an attempt and waits for the head of its answer. Exactly one of
// the results is not nil. The caller must close the response.
func (f *Forwarder) Open(ctx context.Context, a *Attempt) (*Response, *Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	header := a.Header
	if header == nil {
		header = make(http.Header)
	}
	header.Set(wire.HeaderNonce, a.Nonce)
	watch := newWatch(a.FirstToken, cancel)
	reply, fail := f.pool.Do(ctx, &Call{
		Address: a.Address, Method: a.Method, Target: a.Path, Host: a.Address, Header: header, Body: a.Body, Once: a.OnlyOnce,
	})
	if fail != nil {
		watch.stop()
		fail = silenced(ctx, fail) // before cancel, which ends ctx
		cancel(nil)
		return nil, fail
	}
	r := &Response{forwarder: f, attempt: a, ctx: ctx, cancel: cancel, watch: watch, reply: reply}
	if fail := r.head(); fail != nil {
		r.Close()
		return nil, fail
	}
	return r, nil
}

// silenced tells a failure by the upstream's silence from one by the caller.
func silenced(ctx context.Context, f *Failure) *Failure {
	if _, silent := context.Cause(ctx).(errSilent); silent && f.Cause == CauseCaller {
		f.Cause = CauseTimeout
	}
	return f
}

// errSilent is the cause by which a watch cancels an attempt.
type errSilent struct{}

func (errSilent) Error() string { return "forwarder: upstream was silent for too long" }

// watch cancels an attempt that makes no progress.
type watch struct {
	timer *time.Timer
}

func newWatch(d time.Duration, cancel context.CancelCauseFunc) *watch {
	return &watch{timer: time.AfterFunc(d, func() { cancel(errSilent{}) })}
}

func (w *watch) reset(d time.Duration) { w.timer.Reset(d) }
func (w *watch) stop()                 { w.timer.Stop() }

// Response is the answer to an attempt whose head has arrived.
type Response struct {
	forwarder *Forwarder
	attempt   *Attempt
	ctx       context.Context
	cancel    context.CancelCauseFunc
	watch     *watch
	reply     *Reply
}

// Status returns the status of the answer.
func (r *Response) Status() int { return r.reply.Status }

// Header returns the header of the answer.
func (r *Response) Header() http.Header { return r.reply.Header }

// Version returns the weight version that answers.
func (r *Response) Version() string { return r.reply.Header.Get(wire.HeaderVersion) }

// Close ends the attempt; the upstream is cancelled if it still runs.
func (r *Response) Close() {
	r.watch.stop()
	r.reply.Close() // before cancel, which would close a connection that can be kept
	r.cancel(nil)
}

// head checks whose answer it is and whether the upstream refused.
func (r *Response) head() *Failure {
	if said := r.reply.Header.Get(wire.HeaderRan); said == "no" {
		return &Failure{Cause: CauseRefused, Ran: RanNo, Status: r.reply.Status, RetryAfter: retryAfter(r.reply.Header), Detail: r.text()}
	}
	failed := r.reply.Status >= http.StatusBadRequest // a server in front of the upstream may know no nonces
	if got := r.reply.Header.Get(wire.HeaderNonce); got != r.attempt.Nonce && (got != "" || !failed) {
		r.forwarder.Crossed.Add(1)
		return &Failure{Cause: CauseCrossed, Ran: RanUnknown, Status: r.reply.Status, Detail: "the answer names another attempt"}
	}
	if r.reply.Status >= http.StatusInternalServerError || r.reply.Status == http.StatusTooManyRequests {
		return &Failure{Cause: CauseRefused, Ran: RanUnknown, Status: r.reply.Status, RetryAfter: retryAfter(r.reply.Header), Detail: r.text()}
	}
	r.watch.reset(r.attempt.Interval)
	return nil
}

// maxDetail bounds what is kept of an upstream's error text.
const maxDetail = 256

func (r *Response) text() string {
	b, _ := io.ReadAll(io.LimitReader(r.reply, maxDetail))
	return string(bytes.TrimSpace(b))
}

func retryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}

// failure turns an error while reading the body into a failure.
func (r *Response) failure(err error) *Failure {
	f := &Failure{Cause: CauseCut, Ran: RanYes, Status: r.reply.Status, Detail: err.Error()}
	if r.ctx.Err() == nil {
		return f
	}
	f.Cause = CauseCaller
	return silenced(r.ctx, f)
}

// Whole reads an answer that is not a stream, up to limit bytes.
func (r *Response) Whole(limit int64) ([]byte, *Failure) {
	body, err := io.ReadAll(io.LimitReader(r.reply, limit+1))
	if err != nil {
		return nil, r.failure(err)
	}
	if int64(len(body)) > limit {
		return nil, &Failure{Cause: CauseMalformed, Ran: RanYes, Detail: "the answer is too large"}
	}
	return body, nil
}
