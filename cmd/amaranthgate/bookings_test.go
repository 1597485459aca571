// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/emulator"
	"amaranthgate.example/amaranthgate/internal/deployment"
	"amaranthgate.example/amaranthgate/internal/faultproxy"
	"amaranthgate.example/amaranthgate/internal/strictjson"
	"amaranthgate.example/amaranthgate/server"
)

// bookings generates requests that may run only once. Each is retried with the same
// idempotency key until it is answered, rejected without running, or may have run.
type bookings struct {
	mu         sync.Mutex
	answered   int
	notRun     []string // notRun holds keys whose only attempt was rejected without running.
	violations []string
	outcomes   map[string]int // outcomes counts the results of attempts, to log when the test fails.
}

// run sends bookings through all hosts until ctx ends.
func (b *bookings) run(ctx context.Context, s *system, workers int) {
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ctx.Err() == nil; i++ {
				b.bookOnce(ctx, s, fmt.Sprintf("key-%d-%d", w, i), w+i)
			}
		}()
	}
	wg.Wait()
}

func (b *bookings) bookOnce(ctx context.Context, s *system, key string, n int) {
	for attempt := range 4 {
		a, err := book(context.WithoutCancel(ctx), s.host((n+attempt)%s.count()).addr.Callers, key, attempt == 0)
		b.mu.Lock()
		b.outcomes[fmt.Sprintf("%d %s %s %v", a.status, a.reason, a.ran, err)]++
		switch {
		case err != nil:
		case a.status == http.StatusOK:
			b.answered++
			if runs := s.runs()[key]; runs != 1 {
				b.violations = append(b.violations, fmt.Sprintf("%s was answered and ran %d times", key, runs))
			}
		case a.ran == "No" && attempt == 0:
			b.notRun = append(b.notRun, key)
		}
		done := err == nil && (a.status == http.StatusOK || a.ran == "No" && attempt == 0 || a.reason == server.ReasonMayHaveRun)
		b.mu.Unlock()
		if done {
			return
		}
	}
}

// runs returns how often each key ran according to the services.
func (s *system) runs() map[string]int {
	out := make(map[string]int)
	for _, svc := range s.Services {
		for key, n := range svc.Runs() {
			out[key] += n
		}
	}
	return out
}

// check compares the callers' results with the number of runs of each key.
func (b *bookings) check(t *testing.T, runs map[string]int) {
	t.Helper()
	for key, n := range runs {
		assert.Assert(t, n <= 1, "%s ran %d times", key, n)
	}
	for _, key := range b.notRun {
		assert.Equal(t, runs[key], 0, "%s was refused as not run", key)
	}
	assert.DeepEqual(t, b.violations, []string(nil))
	assert.Assert(t, b.answered > 0)
}

// fault is a sequence of faults to inject into a system under load.
type fault struct {
	Name  string
	Steps []faultStep
}

type faultStep struct {
	Do    string
	Host  string // Host is "owner" for the owner of the first range, else "other".
	Fault faultproxy.Fault
	Log   emulator.LogFault
}

// TestBookingsUnderFaults injects the faults of the data file under a load of bookings,
// and checks that no booking runs twice or is reported wrongly.
func TestBookingsUnderFaults(t *testing.T) {
	text, err := os.ReadFile("testdata/faults.jsonc")
	assert.NilError(t, err)
	var file struct{ Cases []fault }
	_, faults := strictjson.Decode(text, &file)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, f := range file.Cases {
		t.Run(f.Name, func(t *testing.T) {
			s := startSystem(t, 3, deployment.Options{Services: 2})
			ctx, cancel := context.WithCancel(t.Context())
			b := &bookings{outcomes: make(map[string]int)}
			t.Cleanup(func() { b.logFailure(t, s) })
			done := make(chan struct{})
			go func() {
				defer close(done)
				b.run(ctx, s, 6)
			}()
			b.wait(t, s, 30)
			for _, step := range f.Steps {
				s.step(step)
			}
			b.wait(t, s, 30)
			cancel()
			<-done
			b.check(t, s.runs())
		})
	}
}

// logFailure logs the results of attempts and the hosts' state if the test failed.
func (b *bookings) logFailure(t *testing.T, s *system) {
	if !t.Failed() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t.Logf("attempts: %v", b.outcomes)
	for i := range s.count() {
		d := s.dump(i)
		t.Logf("host %d: writer %s, ready %v, leases %+v, streams %+v, ranges %+v, claims %+v", i+1, d.Writer, d.Ready, d.Leases, d.Streams, d.Ranges, d.Claims)
	}
}

// wait waits until more further bookings are answered.
func (b *bookings) wait(t *testing.T, _ *system, more int) {
	t.Helper()
	count := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.answered
	}
	before := count()
	eventually(t, "more bookings are answered", func() bool { return count() >= before+more })
}

func (s *system) step(st faultStep) {
	host := s.ownerOf("Claims-0")
	if st.Host == "other" {
		host = (host + 1) % s.count()
	}
	switch st.Do {
	case "Kill":
		s.host(host).signal(syscall.SIGKILL)
		<-s.host(host).done
		s.List.RemoveHost(fmt.Sprintf("host-%d", host+1))
		s.restart(host)
	case "Freeze": // until after the lease has expired
		s.host(host).signal(syscall.SIGSTOP)
		time.Sleep(4500 * time.Millisecond)
		s.host(host).signal(syscall.SIGCONT)
	case "Upstream":
		for _, p := range s.proxies {
			p.Set(st.Fault)
		}
		time.Sleep(700 * time.Millisecond)
		for _, p := range s.proxies {
			p.Set(faultproxy.Fault{})
		}
	case "Platform":
		s.platform.Set(st.Fault)
		time.Sleep(1500 * time.Millisecond)
		s.platform.Set(faultproxy.Fault{})
	case "Log":
		s.Log.SetFault(st.Log)
		time.Sleep(1500 * time.Millisecond)
		s.Log.SetFault(emulator.LogFault{})
	default:
		s.t.Fatalf("unknown step %q", st.Do)
	}
}
