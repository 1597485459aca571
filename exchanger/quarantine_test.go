// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/timer"
)

// TestOnlySuccessClears checks that a suspect request is cleared by a complete success, but
// not by an error answer or a refusal.
func TestOnlySuccessClears(t *testing.T) {
	for _, c := range []struct {
		script []string
		want   quarantiner.Standing
	}{
		{[]string{"lost", "ok"}, quarantiner.Free},
		{[]string{"lost", "500"}, quarantiner.Suspect},
		{[]string{"lost", "notrun", "notrun"}, quarantiner.Suspect},
	} {
		t.Run(strings.Join(c.script, " "), func(t *testing.T) {
			view := testView("Idempotent")
			var views atomic.Pointer[follower.View]
			views.Store(view)
			p := placer.New(placer.Options{})
			p.Update(view)
			ledger := quarantiner.New(quarantiner.Options{})
			x := New(Options{
				Views: &views, Placer: p, Sender: &scriptedSender{script: c.script}, Timer: timer.NewSystem(), Quarantine: ledger,
				Budget:  retrier.NewSharedBudgets(retrier.Allowance{Share: 1, Slack: 100}),
				Refuses: func(string) bool { return true },
			})
			o := x.Handle(t.Context(), &Request{ID: "1", Start: time.Now(), Method: "POST", Host: "h", Path: "/r/x", Key: "key"}, &recorder{})
			assert.Equal(t, ledger.Standing(time.Now(), o.Identity).Standing, c.want)
		})
	}
}

// TestUpstreamEnded checks that an upstream is reported as terminated only if its answer
// broke off and it refuses connections.
func TestUpstreamEnded(t *testing.T) {
	for _, c := range []struct {
		name    string
		script  []string
		refuses bool
		want    int
	}{
		{"lost and gone", []string{"lost", "ok"}, true, 1},
		{"cut and gone", []string{"cut", "ok"}, true, 1},
		{"lost twice", []string{"lost", "lost"}, true, 2},
		{"lost, and there", []string{"lost", "ok"}, false, 0},
		{"failed", []string{"500", "ok"}, true, 0},
		{"refused", []string{"notrun", "ok"}, true, 0},
		{"never reached", []string{"unreached", "ok"}, true, 0},
		{"time over", []string{"hang"}, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			view := testView("Idempotent")
			var views atomic.Pointer[follower.View]
			views.Store(view)
			p := placer.New(placer.Options{})
			p.Update(view)
			var ended []Ended
			x := New(Options{
				Views: &views, Placer: p, Sender: &scriptedSender{script: c.script}, Timer: timer.NewSystem(),
				Budget:  retrier.NewSharedBudgets(retrier.Allowance{Share: 1, Slack: 100}),
				Refuses: func(string) bool { return c.refuses },
				Ended:   func(e Ended) { ended = append(ended, e) },
			})
			o := x.Handle(t.Context(), &Request{ID: "1", Start: time.Now(), Method: "POST", Host: "h", Path: "/r/x", Key: "key"}, &recorder{})
			assert.Equal(t, len(ended), c.want)
			for _, e := range ended {
				assert.Equal(t, e.Identity, o.Identity)
			}
		})
	}
}

// TestTrialOfPart guards against a request that is refused although the bar of a part of its prompt is suspended for it,
// and against more than one attempt of it.
func TestTrialOfPart(t *testing.T) {
	for _, c := range []struct {
		first string // first is how the attempt of the trial ends.
		trial int    // trial is the status of the trial, later that of the next request.
		later int
	}{
		{"events 3", http.StatusOK, http.StatusOK},
		{"cut", http.StatusBadGateway, http.StatusServiceUnavailable},
	} {
		t.Run(c.first, func(t *testing.T) {
			view := testView("Resumable")
			var views atomic.Pointer[follower.View]
			views.Store(view)
			p := placer.New(placer.Options{})
			p.Update(view)
			tries := false
			ledger := quarantiner.New(quarantiner.Options{Tries: func(quarantiner.Identity) bool { return tries }})
			barPart(ledger, "bad")
			x := New(Options{
				Views: &views, Placer: p, Sender: &scriptedSender{script: []string{c.first, "events 3"}}, Timer: timer.NewSystem(), Quarantine: ledger,
				Budget: retrier.NewSharedBudgets(retrier.Allowance{Share: 1, Slack: 100}),
			})
			ask := func(id string) (Outcome, int) {
				caller := &recorder{}
				prompt := &placer.Prompt{Model: "m", Parts: []placer.Part{{ID: "bad", Tokens: 10}, {ID: id, Tokens: 10}}}
				o := x.Handle(t.Context(), &Request{ID: id, Start: time.Now(), Method: "POST", Host: "h", Path: "/r/x", Key: "key", Prompt: prompt}, caller)
				return o, caller.status
			}
			o, status := ask("1")
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Equal(t, o.Reason, ReasonBarred)
			assert.Equal(t, o.BarredPart, "bad")
			tries = true
			o, status = ask("2")
			assert.Equal(t, status, c.trial, "%+v", o)
			assert.Equal(t, o.Attempts, 1)
			_, status = ask("3")
			assert.Equal(t, status, c.later)
		})
	}
}

// barPart makes a ledger bar a part of prompts an hour ago.
func barPart(l *quarantiner.Ledger, part string) {
	at := time.Now().Add(-time.Hour)
	for i := range quarantiner.PartBarThreshold {
		at = at.Add(time.Second)
		ev := quarantiner.Evidence{
			Request: quarantiner.Identify(quarantiner.Parts{Target: fmt.Sprint(i)}),
			Parts:   []quarantiner.Identity{quarantiner.IdentifyPart("", "m", part)},
		}
		l.Ended(at, ev, fmt.Sprint("start-", i), at)
	}
}
