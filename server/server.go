// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package server

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/keeper"
	"amaranthgate.example/amaranthgate/limiter"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/router"
	"amaranthgate.example/amaranthgate/timer"
)

// Claims agrees with the other hosts on requests that may run only once.
type Claims interface {
	// Claim asks for a claim and waits for the verdict, at most until deadline.
	Claim(ctx context.Context, r claimer.Request, deadline time.Time) claimer.Settled
	// Finish records what became of a claim.
	Finish(out claimer.Outcome)
}

// Placement is a prompt that an upstream has computed.
type Placement struct {
	Upstream  string
	Workspace string
	Chain     keeper.Chain
	Displaced bool // Displaced tells that it is not the upstream that every host would guess.
}

// Keeper knows what upstreams hold.
type Keeper interface {
	// Lookup fills in what is known of a prompt of a workspace.
	Lookup(now time.Time, workspace string, pool *publisher.Pool, chain keeper.Chain, req *router.Request)
	// Segments returns what an upstream is to restore of the first tokens of a
	// prompt; nil if that cannot be done any more.
	Segments(now time.Time, upstream string, chain keeper.Chain, tokens int) []wire.SegmentRef
	// Placed tells that an upstream has computed a prompt.
	Placed(now time.Time, p Placement)
}

// Shares moves shares of the workspaces' limits between hosts.
type Shares interface {
	// Urge asks for a larger share of a workspace's limit. It reports false if
	// that was asked a moment ago; else it returns when the answer is there or
	// did not come soon.
	Urge(ctx context.Context, workspace string) bool
}

// Recorder takes the outcomes of requests for the reports.
type Recorder interface {
	Record(x *Exchange, o Outcome, took time.Duration)
}

// Options set up a server. All but Shares, Keeper and Recorder are
// required.
type Options struct {
	Publisher   *publisher.Publisher
	Forwarder   *forwarder.Forwarder
	Limiter     *limiter.Limiter
	Budget      *retrier.Budget
	Claims      Claims
	Shares      Shares
	Keeper      Keeper
	Recorder    Recorder
	Timer       timer.Service
	Log         zerolog.Logger
	BlockSecret []byte
	BodyBytes   int64
	HeaderBytes int
	OpenStreams int
	ReadTimeout time.Duration
	FirstToken  time.Duration
	Interval    time.Duration
	AddressTTL  time.Duration
	Seed        uint64
}

// Server answers callers.
type Server struct {
	opts     Options
	pools    poolSet
	handler  Handler
	http     *http.Server
	open     atomic.Int64
	draining atomic.Bool

	rngMu sync.Mutex
	rng   *rand.Rand

	salts sync.Map // salts caches keeper.Salt by saltKey.
}

type saltKey struct {
	workspace, model, version string
}

// New returns a server. Serve it with Serve.
func New(opts Options) *Server {
	s := &Server{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 2))}
	s.pools = poolSet{server: s, pools: make(map[string]*poolState)}
	s.handler = dispatcher.Chain(s.forward, s.identify, s.limit, s.resolve, s.claim, s.wait)
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: opts.ReadTimeout,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    opts.HeaderBytes,
	}
	return s
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.completions(false))
	mux.HandleFunc("POST /v1/chat/completions", s.completions(true))
	mux.HandleFunc("/services/{service}/{rest...}", s.service)
	mux.HandleFunc("GET /v1/addresses", s.addresses)
	mux.HandleFunc("GET /v1/health", s.health)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		refuse(http.StatusNotFound, ReasonBadRequest, "no such path or method").write(w, "")
	})
	return mux
}

// salt returns the root of block names, computed once.
func (s *Server) salt(workspace, model, version string) string {
	key := saltKey{workspace, model, version}
	if v, ok := s.salts.Load(key); ok {
		return v.(string)
	}
	v := keeper.Salt(s.opts.BlockSecret, workspace, model, version)
	s.salts.Store(key, v)
	return v
}

// Wake lets waiting requests look for room again; call it when load reports
// come and as time passes.
func (s *Server) Wake(now time.Time) {
	for _, p := range s.pools.all() {
		p.gate.Wake(now)
	}
}

// Open returns the number of requests under way.
func (s *Server) Open() int { return int(s.open.Load()) }

// errTooLarge is returned for bodies over the limit.
var errTooLarge = errors.New("server: body too large")

// readBody reads a request's body within the limits on size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.opts.ReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.opts.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errTooLarge
	}
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, err
}

// serve runs an exchange through the filters and answers the caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, c Call) {
	s.open.Add(1)
	defer s.open.Add(-1)
	x := &Exchange{
		ID:        newID(),
		Start:     s.opts.Timer.Now(),
		Snapshot:  s.opts.Publisher.Load(),
		Key:       r.Header.Get(HeaderKey),
		FirstTime: r.Header.Get(HeaderAttempt) == "1",
		Call:      c,
		writer:    w,
		request:   r,
	}
	w.Header().Set(HeaderRequestID, x.ID)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	o := s.run(r.Context(), w, r, x)
	s.finish(w, x, o)
}

// run reads the body and passes the exchange through the filters.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, x *Exchange) Outcome {
	if int(s.open.Load()) > s.opts.OpenStreams {
		o := refuse(http.StatusServiceUnavailable, ReasonOverloaded, "this host has too many open requests")
		o.RetryAfter = time.Second
		return o
	}
	if len(x.Key) > maxKeyBytes {
		return refuse(http.StatusBadRequest, ReasonBadRequest, HeaderKey+" is too long")
	}
	switch v := r.Header.Get(HeaderRepeatable); v {
	case "", "true", "false":
	default:
		return refuse(http.StatusBadRequest, ReasonBadRequest, HeaderRepeatable+" must be true or false")
	}
	body, err := s.readBody(w, r)
	switch {
	case errors.Is(err, errTooLarge):
		return refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge, "")
	case err != nil:
		return refuse(http.StatusBadRequest, ReasonBadRequest, "the body did not arrive whole and in time")
	}
	x.Call.Body = body
	return s.handler(ctx, x)
}

// maxKeyBytes bounds idempotency keys.
const maxKeyBytes = 255

// finish answers what was not answered yet and records the outcome.
func (s *Server) finish(w http.ResponseWriter, x *Exchange, o Outcome) {
	took := s.opts.Timer.Now().Sub(x.Start)
	switch {
	case !o.written:
		o.write(w, x.ID)
	case o.Reason == ReasonInterrupted:
		s.interrupt(w, x, o)
	}
	s.record(x, o, took)
	if o.Reason == ReasonInterrupted && (x.Call.Prompt == nil || !x.Call.Prompt.Stream) {
		panic(http.ErrAbortHandler)
	}
}

// interrupt ends a stream that broke off with an error event instead of the
// end marker.
func (s *Server) interrupt(w http.ResponseWriter, x *Exchange, o Outcome) {
	b, err := json.Marshal(o.problem(x.ID))
	if err != nil {
		return
	}
	_, _ = w.Write([]byte("event: error\ndata: "))
	_, _ = w.Write(b)
	_, _ = w.Write([]byte("\n\n"))
	_ = http.NewResponseController(w).Flush()
}

func (s *Server) record(x *Exchange, o Outcome, took time.Duration) {
	if s.opts.Recorder != nil {
		s.opts.Recorder.Record(x, o, took)
	}
	ev := s.opts.Log.Info()
	if o.Status >= http.StatusInternalServerError {
		ev = s.opts.Log.Warn()
	}
	ev.Str("RequestID", x.ID).Int("Status", o.Status)
	if x.Workspace != nil {
		ev.Str("Workspace", x.Workspace.Name).Str("Class", x.Class.Name)
	}
	if o.Upstream != "" {
		ev.Str("Upstream", o.Upstream).Int("Attempts", o.Attempts)
	}
	if o.Reason != ReasonNone {
		ev.Str("Reason", string(o.Reason)).Str("Ran", string(o.Ran)).Str("Detail", o.Detail)
	}
	ev.Dur("FirstToken", o.FirstToken).Dur("Took", took).Int("Tokens", o.Tokens).Msg(logger.RequestEnded)
}
