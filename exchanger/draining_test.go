// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"cmp"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/strictjson"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/timer"
)

// drainCase is a case of testdata/draining.jsonc.
type drainCase struct {
	Name    string
	Drains  bool
	Early   bool              // Early reports that callers may still use cached addresses.
	Left    duration.Duration // Left is the time until the host ends what is in progress; 0 if it does not.
	Alone   bool              // Alone reports that no other host takes requests.
	Closing bool              // Closing reports that the host takes no requests any more.
	// ClosesMeanwhile reports that the host stops taking requests as it takes this one.
	ClosesMeanwhile bool
	Kind            string              // Kind is that of the view of the configuration; Idempotent by default.
	Lasted          []duration.Duration // Lasted are the durations of earlier requests of the route.
	Status          int
	Reason          Reason
	Within          duration.Duration // Within bounds the time until the caller is to return, from below and by a second above.
}

// TestDrainingHostRefusesWhatMayOutlastIt guards against requests that a draining host takes and then cuts.
func TestDrainingHostRefusesWhatMayOutlastIt(t *testing.T) {
	text, err := os.ReadFile("testdata/draining.jsonc")
	assert.NilError(t, err)
	var cases []drainCase
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			view := testView(cmp.Or(c.Kind, "Idempotent"))
			p := placer.New(placer.Options{})
			p.Update(view)
			sender := &blockingSender{release: make(chan struct{})}
			close(sender.release)
			clock := timer.NewManual(time.Unix(1000, 0))
			asked := 0
			x := New(Options{Views: &lateView{view: view}, Placer: p, Sender: sender, Timer: clock,
				Budget: retrier.NewSharedBudgets(retrier.Allowance{}), Draining: func() (Drain, bool) {
					asked++
					d := Drain{Alone: c.Alone, Closing: c.Closing || c.ClosesMeanwhile && asked > 1}
					if c.Left != 0 {
						d.End = clock.Now().Add(c.Left.Std())
					}
					if c.Early {
						d.Refuses = clock.Now().Add(time.Millisecond)
					}
					return d, c.Drains
				}})
			for _, took := range c.Lasted {
				x.durations.Record("r", took.Std())
			}
			caller := &recorder{}
			o := x.Handle(t.Context(), &Request{ID: "1", Start: clock.Now(), Method: "POST", Host: "h", Path: "/r/x", Key: "key"}, caller)
			assert.Equal(t, caller.status, c.Status)
			assert.Equal(t, o.Reason, c.Reason)
			if c.Status == http.StatusServiceUnavailable {
				assert.Assert(t, caller.retry >= c.Within.Std() && caller.retry <= c.Within.Std()+time.Second, "%v", caller.retry)
			}
		})
	}
}

// TestDurationsForgetOldRequests checks that the longest duration is that of the last requests.
func TestDurationsForgetOldRequests(t *testing.T) {
	var d Durations
	_, known := d.Longest("r")
	assert.Assert(t, !known)
	d.Record("r", time.Minute)
	for range durationsSpan {
		d.Record("r", time.Second)
	}
	longest, known := d.Longest("r")
	assert.Assert(t, known)
	assert.Equal(t, longest, time.Minute)
	for range durationsSpan {
		d.Record("r", time.Second)
	}
	longest, _ = d.Longest("r")
	assert.Equal(t, longest, time.Second)
}
