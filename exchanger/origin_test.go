// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"cmp"
	"context"
	"io"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/internal/strictjson"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/registrar"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/timer"
)

// originCase is a case in testdata/origins.jsonc.
type originCase struct {
	Name      string
	Route     string
	Began     string
	Service   string
	Software  []string
	StreamID  string
	Passed    string // Passed is the version that the host states which passed the request on.
	Sole      string
	Ambiguous bool
	Silent    bool // Silent makes a host that may know the stream not answer.
	Want      string
	Source    registrar.Source
	Reason    Reason
	Retry     int
}

// TestOrigins checks at which upstreams a stream goes on that its caller takes up, and which tries are refused.
func TestOrigins(t *testing.T) {
	text, err := os.ReadFile("testdata/origins.jsonc")
	assert.NilError(t, err)
	var cases []originCase
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			seen := make(map[string]bool)
			for seed := range uint64(30) {
				synctest.Test(t, func(t *testing.T) { c.play(t, seed, seen) })
			}
			for _, id := range strings.Fields(c.Want) {
				assert.Assert(t, seen[id], "never sent to %s", id)
			}
		})
	}
}

// choiceRecorder is a Sender that records the upstreams.
type choiceRecorder struct{ sent []string }

func (s *choiceRecorder) Send(_ context.Context, _ *Request, o *SendOptions) (Answer, *forwarder.Failure) {
	s.sent = append(s.sent, o.Upstream.ID)
	return &fakeAnswer{status: 200, body: events(2, 3), end: io.EOF}, nil
}

// silentOrigins is Origins with a host that does not answer.
type silentOrigins struct{ Origins }

func (s silentOrigins) Find(ctx context.Context, key registrar.Key) registrar.Finding {
	f := s.Origins.Find(ctx, key)
	f.Asked++
	return f
}

func (c *originCase) play(t *testing.T, seed uint64, seen map[string]bool) {
	view := testView(cmp.Or(c.Route, "Resumable"))
	var upstreams []follower.Upstream
	for u := range view.Upstreams.All() {
		next := *u
		next.Software = c.Software[len(upstreams)]
		upstreams = append(upstreams, next)
	}
	view.Upstreams = follower.ListOf(upstreams...)
	var views atomic.Pointer[follower.View]
	views.Store(view)
	p := placer.New(placer.Options{Seed: seed})
	p.Update(view)
	manual := timer.NewManual(time.Unix(1000, 0))
	origins := registrar.New(registrar.Options{Timer: manual})
	key := registrar.KeyOf("w", "first")
	origins.Record(key, registrar.Origin{Service: cmp.Or(c.Service, "s"), Software: c.Began}, manual.Now())
	if c.Ambiguous {
		origins.Record(key, registrar.Origin{Service: "s", Software: "other"}, manual.Now())
	}
	sender := &choiceRecorder{}
	opts := Options{
		Views: &views, Placer: p, Sender: sender, Budget: retrier.NewSharedBudgets(retrier.Allowance{}), Timer: manual, Origins: origins,
		SoleSoftware: func(_ time.Time, service string, span time.Duration) (string, bool) {
			return c.Sole, c.Sole != "" && service == "s" && span >= registrar.MaxLife+lingerTime
		},
	}
	if c.Silent {
		opts.Origins = silentOrigins{origins}
	}
	r := &Request{ID: "third", Start: manual.Now(), Method: "POST", Host: "h", Path: "/r/x", Key: "key", LastEvent: "2", StreamID: c.StreamID}
	if c.Passed != "" {
		r.PassedBy, r.Origin = "host-2", registrar.Origin{Service: "s", Software: c.Passed}
	}
	caller := &recorder{}
	x, done := New(opts), make(chan Outcome, 1)
	go func() { done <- x.Handle(t.Context(), r, caller) }()
	for synctest.Wait(); len(done) == 0; synctest.Wait() {
		manual.Advance(5 * time.Millisecond)
	}
	o := <-done
	assert.Equal(t, o.Reason, c.Reason)
	assert.Equal(t, o.Finding.Source, c.Source)
	if c.Reason != ReasonNone {
		assert.Equal(t, caller.status, 503)
		assert.Equal(t, len(sender.sent), 0)
		assert.Equal(t, caller.retry, time.Duration(c.Retry)*time.Millisecond)
		return
	}
	assert.Equal(t, ids(caller.body.String()), "3")
	assert.Equal(t, len(sender.sent), 1)
	assert.Assert(t, slices.Contains(strings.Fields(c.Want), sender.sent[0]), "sent to %s", sender.sent[0])
	seen[sender.sent[0]] = true
	if c.Route != "Stream" && c.Passed == "" {
		assert.Assert(t, origins.Find(t.Context(), registrar.KeyOf("w", "third")).Known(), "the try is not recorded")
	}
}
