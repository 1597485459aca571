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
	"amaranthgate.example/amaranthgate/indexer"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/limiter"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/router"
	"amaranthgate.example/amaranthgate/timer"
)

// Claims coordinates requests that may run only once with the other hosts.
type Claims interface {
	// Claim requests a claim and waits for the verdict, at most until deadline.
	Claim(ctx context.Context, r claimer.Request, deadline time.Time) claimer.Settlement
	// Finish records the outcome of a claimed request.
	Finish(out claimer.Outcome)
}

// Placement is a prompt that an upstream has computed.
type Placement struct {
	Upstream     string
	Workspace    string
	Chain        indexer.Chain
	NotPreferred bool // NotPreferred reports whether it is not the upstream that ranks first for the prompt.
}

// CacheIndex estimates which prompts upstreams have cached.
type CacheIndex interface {
	// Lookup sets the fields of req about a cached prompt of a workspace.
	Lookup(now time.Time, workspace string, pool *publisher.Pool, chain indexer.Chain, req *router.Request)
	// Segments returns the segments of the first tokens of a prompt that an upstream
	// can restore; nil if there are none left.
	Segments(now time.Time, upstream string, chain indexer.Chain, tokens int) []wire.SegmentRef
	// RecordPlacement records that an upstream has computed a prompt.
	RecordPlacement(now time.Time, p Placement)
}

// ShareRequester requests shares of the workspaces' limits from the other hosts.
type ShareRequester interface {
	// RequestShare requests a larger share of a workspace's limit. It reports false
	// if one was requested recently, else it waits for the answer or a timeout.
	RequestShare(ctx context.Context, workspace string) bool
}

// OutcomeRecorder records the outcomes of requests for reports.
type OutcomeRecorder interface {
	Record(x *Exchange, o Outcome, took time.Duration)
}

// Options configure a server. All but Shares, CacheIndex and Recorder are
// required.
type Options struct {
	Publisher   *publisher.Publisher
	Forwarder   *forwarder.Forwarder
	Limiter     *limiter.Limiter
	Budget      *retrier.Budget
	Claims      Claims
	Shares      ShareRequester
	CacheIndex  CacheIndex
	Recorder    OutcomeRecorder
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

// Server serves callers.
type Server struct {
	opts     Options
	pools    poolSet
	handler  Handler
	http     *http.Server
	open     atomic.Int64
	draining atomic.Bool

	rngMu sync.Mutex
	rng   *rand.Rand

	salts sync.Map // salts caches indexer.Salt by saltKey.
}

type saltKey struct {
	workspace, model, version string
}

// New returns a server. Call Serve to start it.
func New(opts Options) *Server {
	s := &Server{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 2))}
	s.pools = poolSet{server: s, pools: make(map[string]*poolState)}
	s.handler = dispatcher.Chain(s.forward, s.identify, s.limit, s.resolve, s.claim, s.awaitCapacity)
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

// salt returns the cached salt of block names.
func (s *Server) salt(workspace, model, version string) string {
	key := saltKey{workspace, model, version}
	if v, ok := s.salts.Load(key); ok {
		return v.(string)
	}
	v := indexer.Salt(s.opts.BlockSecret, workspace, model, version)
	s.salts.Store(key, v)
	return v
}

// Wake makes queued requests check for capacity again. It must be called after load
// reports and periodically.
func (s *Server) Wake(now time.Time) {
	for _, p := range s.pools.all() {
		p.gate.Wake(now)
	}
}

// Open returns the number of open requests.
func (s *Server) Open() int { return int(s.open.Load()) }

var errTooLarge = errors.New("server: request body exceeds the size limit")

// readBody reads a request's body within the size limit and the read timeout.
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

// serve handles a request and answers the caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, c Call) {
	s.open.Add(1)
	defer s.open.Add(-1)
	out := &closingWriter{ResponseWriter: w, draining: &s.draining}
	x := &Exchange{
		ID:           newID(),
		Start:        s.opts.Timer.Now(),
		Snapshot:     s.opts.Publisher.Load(),
		Key:          r.Header.Get(HeaderKey),
		FirstAttempt: r.Header.Get(HeaderAttempt) == "1",
		Call:         c,
		writer:       out,
		request:      r,
	}
	w.Header().Set(HeaderRequestID, x.ID)
	o := s.run(r.Context(), w, r, x)
	s.finish(out, x, o)
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

// maxKeyBytes bounds the length of idempotency keys.
const maxKeyBytes = 255

// finish sends a response if none was sent yet and records the outcome. It panics
// with http.ErrAbortHandler to abort an interrupted response that is not a stream.
func (s *Server) finish(w http.ResponseWriter, x *Exchange, o Outcome) {
	took := s.opts.Timer.Now().Sub(x.Start)
	switch {
	case !o.written:
		o.write(w, x.ID)
	case o.Reason == ReasonInterrupted:
		s.writeStreamError(w, x, o)
	}
	s.record(x, o, took)
	if o.Reason == ReasonInterrupted && (x.Call.Prompt == nil || !x.Call.Prompt.Stream) {
		panic(http.ErrAbortHandler)
	}
}

// writeStreamError ends an interrupted stream with an error event in place of the
// end marker.
func (s *Server) writeStreamError(w http.ResponseWriter, x *Exchange, o Outcome) {
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
