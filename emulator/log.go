// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package emulator

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/connector"
	"amaranthgate.example/amaranthgate/replayer"
)

// maxRecordBytes bounds the body of an append.
const maxRecordBytes = 4 << 20

// LogOptions configure a Log.
type LogOptions struct {
	Retention time.Duration    // 0 keeps records without limit
	Latency   time.Duration    // duration of an append
	Now       func() time.Time // default time.Now
	Seed      uint64
}

// LogFault selects the faults that the log injects.
type LogFault struct {
	Down        bool          // answer every call with 503
	Slow        time.Duration // delay of every call
	LoseAnswers float64       // fraction of appends that take effect but are not answered
}

// Log emulates the platform's append-only log.
type Log struct {
	opts LogOptions

	mu      sync.Mutex
	rng     *rand.Rand
	fault   LogFault
	streams map[string]*stream
	appends uint64
}

type stream struct {
	earliest uint64
	records  []replayer.RawRecord
	changed  chan struct{}
}

// NewLog returns an empty log.
func NewLog(opts LogOptions) *Log {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Log{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), streams: make(map[string]*stream)}
}

// SetFault replaces the injected faults.
func (l *Log) SetFault(f LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Expire drops all records of a stream except the newest keep ones.
func (l *Log) Expire(name string, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if n := len(s.records) - keep; n > 0 {
		s.earliest += uint64(n)
		s.records = append([]replayer.RawRecord(nil), s.records[n:]...)
	}
}

// Append adds a record and returns its offset. Injected faults don't apply.
func (l *Log) Append(name string, body []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.append(name, body)
}

func (l *Log) append(name string, body []byte) uint64 {
	s := l.stream(name)
	offset := s.earliest + uint64(len(s.records))
	s.records = append(s.records, replayer.RawRecord{Offset: offset, Time: l.opts.Now(), Body: body})
	close(s.changed)
	s.changed = make(chan struct{})
	l.appends++
	return offset
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	if l.opts.Retention > 0 {
		s.expire(l.opts.Now().Add(-l.opts.Retention))
	}
	return s
}

func (s *stream) expire(before time.Time) {
	n := 0
	for n < len(s.records) && s.records[n].Time.Before(before) {
		n++
	}
	s.earliest += uint64(n)
	s.records = s.records[n:]
}

// Page returns up to limit records from an offset on, and a channel that is
// closed at the stream's next append.
func (l *Log) Page(name string, from uint64, limit int) (replayer.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	p := replayer.Page{Earliest: s.earliest, Next: s.earliest + uint64(len(s.records))}
	from = max(from, s.earliest)
	if from < p.Next {
		tail := s.records[from-s.earliest:]
		p.Records = append(p.Records, tail[:min(limit, len(tail))]...)
	}
	return p, s.changed
}

// Handler serves the log over HTTP.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.serveRead)
	return mux
}

// applyFault applies the injected faults and reports whether the call proceeds.
func (l *Log) applyFault(w http.ResponseWriter, r *http.Request) (LogFault, bool) {
	l.mu.Lock()
	f := l.fault
	l.mu.Unlock()
	if f.Down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return f, false
	}
	if f.Slow > 0 {
		select {
		case <-time.After(f.Slow):
		case <-r.Context().Done():
			return f, false
		}
	}
	return f, true
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	f, ok := l.applyFault(w, r)
	if !ok {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, "record too large", http.StatusRequestEntityTooLarge)
		return
	}
	if l.opts.Latency > 0 {
		time.Sleep(l.opts.Latency)
	}
	l.mu.Lock()
	offset := l.append(r.PathValue("stream"), body)
	lose := l.rng.Float64() < f.LoseAnswers
	l.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, connector.AppendAnswer{Offset: offset})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	if _, ok := l.applyFault(w, r); !ok {
		return
	}
	q := r.URL.Query()
	from, err1 := strconv.ParseUint(q.Get("From"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("Limit"))
	wait, err3 := time.ParseDuration(q.Get("Wait"))
	if err1 != nil || err2 != nil || err3 != nil || limit <= 0 {
		http.Error(w, "bad read", http.StatusBadRequest)
		return
	}
	deadline := time.After(wait)
	for {
		p, changed := l.Page(r.PathValue("stream"), from, limit)
		if len(p.Records) > 0 || p.Earliest > from {
			writeJSON(w, p)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
