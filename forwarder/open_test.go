// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/faultproxy"
	"amaranthgate.example/amaranthgate/internal/strictjson"
	"amaranthgate.example/amaranthgate/internal/wire"
)

// openCase is a network or upstream fault and the failure that Open must report.
type openCase struct {
	Name    string
	Fault   faultproxy.Fault
	Status  int
	SaysNo  bool // SaysNo makes the upstream report that it did not run the request.
	NoNonce bool
	Closed  bool              // Closed makes the address refuse connections.
	Gone    duration.Duration // Gone is when the caller leaves; 0 if it stays.
	Cause   Cause
	Ran     Ran
}

// TestOpen checks the failures that Open reports for the faults of a data file.
func TestOpen(t *testing.T) {
	text, err := os.ReadFile("testdata/open.jsonc")
	assert.NilError(t, err)
	var file struct{ Cases []openCase }
	_, faults := strictjson.Decode(text, &file)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range file.Cases {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/once=%v", c.Name, once), func(t *testing.T) { runOpen(t, c, once) })
		}
	}
}

func runOpen(t *testing.T, c openCase, once bool) {
	var runs atomic.Int64
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if !c.NoNonce {
			w.Header().Set(wire.HeaderNonce, r.Header.Get(wire.HeaderNonce))
		}
		if c.SaysNo {
			w.Header().Set(wire.HeaderRan, "no")
		}
		if c.Status != 0 {
			w.WriteHeader(c.Status)
		}
		fmt.Fprint(w, "answer")
	}))
	defer up.Close()
	p, err := faultproxy.New(up.Listener.Addr().String())
	assert.NilError(t, err)
	defer p.Close()
	f := New(Options{})
	attempt := func() *Attempt {
		return &Attempt{
			Address: p.Address(), Method: http.MethodPost, Path: "/", Body: []byte("{}"), Nonce: "N-01",
			FirstToken: 300 * time.Millisecond, Interval: time.Minute, OnlyOnce: once,
		}
	}
	p.Set(c.Fault)
	if c.Closed {
		p.Close()
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if c.Gone > 0 {
		time.AfterFunc(c.Gone.Std(), cancel)
	}
	resp, fail := f.Open(ctx, attempt())
	if c.Cause == "" {
		assert.Assert(t, fail == nil, "%+v", fail)
		resp.Close()
		return
	}
	assert.Assert(t, fail != nil)
	assert.Equal(t, fail.Cause, c.Cause, "%+v", fail)
	assert.Equal(t, fail.Ran, c.Ran, "%+v", fail)
	assert.Assert(t, runs.Load() <= 1)
	if fail.Ran == RanNo && !c.SaysNo {
		assert.Equal(t, runs.Load(), int64(0))
	}
}

// TestNotSentAgain checks that a request which must run at most once is not sent again
// when a persistent connection breaks after it was received.
func TestNotSentAgain(t *testing.T) {
	var runs atomic.Int64
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(wire.HeaderNonce, r.Header.Get(wire.HeaderNonce))
	}))
	defer up.Close()
	f := New(Options{})
	for range 2 {
		resp, _ := f.Open(t.Context(), &Attempt{
			Address: up.Listener.Addr().String(), Method: http.MethodGet, Path: "/", Nonce: "N-01",
			FirstToken: time.Minute, Interval: time.Minute, OnlyOnce: true,
			Header: http.Header{"Idempotency-Key": {"k"}},
		})
		if resp != nil {
			_, _ = resp.ReadAll(10)
			resp.Close()
		}
	}
	assert.Equal(t, runs.Load(), int64(2))
}
