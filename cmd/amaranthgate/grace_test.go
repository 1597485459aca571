// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/exchanger"
	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/freeport"
	"amaranthgate.example/amaranthgate/internal/strictjson"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/platform/standin"
)

// graceCase is a case of testdata/grace.jsonc.
type graceCase struct {
	Name    string
	Signals []struct {
		After  duration.Duration // After is the time since the signal before.
		Signal string
	}
	Lasts duration.Duration // Lasts is how long the requests last that are in progress at the first signal.
	Cut   graceCut
}

// graceCut says which of the requests in progress at the first signal the host ends.
type graceCut string

const (
	cutNone graceCut = "None"
	cutAll  graceCut = "All"
	cutAny  graceCut = "Any" // cutAny means that their answers end while the process is stopped.
)

const (
	grace         = 4 * time.Second
	graceEvents   = 4
	graceLasts    = 300 * time.Millisecond // graceLasts is how long requests last that are sent at any time.
	graceDeadline = "2000"                 // graceDeadline is their deadline, in milliseconds, unless their route limits them.
	graceInterval = 50 * time.Millisecond
	graceOpen     = 8
	openPrefix    = "open-" // openPrefix begins the IDs of requests that are in progress at the first signal.
)

const (
	pathOnce    = "/once/x"
	pathStream  = "/stream/x"
	pathLimited = "/limited/x"
)

var (
	openPaths = []string{pathOnce, pathStream}
	latePaths = []string{pathOnce, pathStream, pathLimited}
)

const graceDocument = `{"version": 1, "routes": [
 {"name": "once", "host": "h", "path_prefix": "/once/", "kind": "non_idempotent", "service": "plain", "timeout_ms": 60000, "target_latency_ms": 500, "max_attempts": 1},
 {"name": "limited", "host": "h", "path_prefix": "/limited/", "kind": "non_idempotent", "service": "plain", "timeout_ms": 2000, "target_latency_ms": 500, "max_attempts": 1},
 {"name": "stream", "host": "h", "path_prefix": "/stream/", "kind": "streaming", "service": "streams", "timeout_ms": 60000, "target_latency_ms": 500, "max_attempts": 1, "sticky": true, "resumable": false}],
 "services": [{"name": "plain", "max_connections": 500}, {"name": "streams", "max_connections": 500}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
 "tenants": [{"name": "tenant", "api_keys": ["key"]}]}`

// TestSignalsAroundEndOfGrace guards against a host that SIGKILL finds at the end of its grace, and against requests that
// are lost or look whole as a host ends that was stopped in its drain.
func TestSignalsAroundEndOfGrace(t *testing.T) {
	text, err := os.ReadFile("testdata/grace.jsonc")
	assert.NilError(t, err)
	var cases []graceCase
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			playGrace(t, c)
		})
	}
}

func playGrace(t *testing.T, c graceCase) {
	s := startGrace(t, c.Lasts.Std())
	h := s.hosts[0]
	var open, others sync.WaitGroup
	for i := range graceOpen {
		open.Go(func() { s.ask(h, fmt.Sprint(openPrefix, i), openPaths[i%len(openPaths)], "") })
	}
	eventually(t, "the requests run", func() bool { return s.runs(openPrefix) == graceOpen })
	others.Go(func() {
		for i := 0; !h.exited(); i++ {
			others.Go(func() {
				path, deadline := latePaths[i%len(latePaths)], graceDeadline
				if path == pathLimited {
					deadline = ""
				}
				s.ask(h, fmt.Sprint("late-", i), path, deadline)
			})
			time.Sleep(graceInterval)
		}
	})
	for _, sig := range c.Signals {
		time.Sleep(sig.After.Std())
		_ = h.cmd.Process.Signal(signalNumbers[sig.Signal]) // it may have ended
	}
	<-h.done
	open.Wait()
	others.Wait()
	cut := s.check(t)
	switch c.Cut {
	case cutNone:
		assert.Equal(t, cut, 0)
	case cutAll:
		assert.Equal(t, cut, graceOpen)
	case cutAny:
	default:
		t.Fatalf("unknown value of Cut: %q", c.Cut)
	}
	h.check(t, cut)
}

// graceSystem is a store and upstreams in this process, and two hosts on the users' platform.
type graceSystem struct {
	t         *testing.T
	store     *standin.Store
	upstreams []*standin.Upstream
	hosts     []*graceHost

	mu      sync.Mutex
	answers map[string]graceAnswer
}

// graceHost is the process of a host.
type graceHost struct {
	callers   string
	directory string
	cmd       *exec.Cmd
	done      chan struct{}
	log       []string // log is complete when done is closed.
}

// graceAnswer is what a caller got.
type graceAnswer struct {
	status int // status is 0 without an answer.
	body   string
	err    error
	path   string
}

func startGrace(t *testing.T, lasts time.Duration) *graceSystem {
	s := &graceSystem{t: t, store: standin.NewStore(), answers: make(map[string]graceAnswer)}
	t.Cleanup(s.store.Close)
	last := func(id string) time.Duration {
		if strings.HasPrefix(id, openPrefix) {
			return lasts
		}
		return graceLasts
	}
	for _, o := range []standin.UpstreamOptions{
		{ID: "plain-1", Service: "plain", Lasts: last}, {ID: "streams-1", Service: "streams", Events: graceEvents, Lasts: last},
	} {
		u := standin.NewUpstream(o)
		t.Cleanup(u.Close)
		s.upstreams = append(s.upstreams, u)
		s.store.Put(standin.TopicUpstreams, o.ID, u.Entry("ready"))
	}
	s.store.Put(standin.TopicOperator, "config", []byte(graceDocument))
	for i := range 2 {
		s.hosts = append(s.hosts, s.startHost(i))
	}
	for _, h := range s.hosts {
		eventually(t, "the host serves", func() bool {
			s.ask(h, "first", pathOnce, "")
			return s.answers["first"].status == http.StatusOK
		})
		eventually(t, "the host knows the other one", func() bool { return h.lists(s.hosts) })
	}
	delete(s.answers, "first")
	return s
}

func (s *graceSystem) startHost(i int) *graceHost {
	ports, err := freeport.Addresses(5)
	assert.NilError(s.t, err)
	end := func(i int) loader.Endpoint { return loader.Endpoint{Listen: ports[i]} }
	o := loader.Default()
	o.Host, o.AvailabilityZone, o.PeerSecret, o.BlockSecret = fmt.Sprintf("host-%d", i), "zone-1", "0123456789abcdef0", "0123456789abcdef1"
	o.Callers, o.Peers, o.Operators = end(0), end(1), end(2)
	o.Timing.AddressTTL, o.Timing.DrainTimeout = duration.Duration(100*time.Millisecond), duration.Duration(grace)
	o.Platform = &loader.Platform{Store: s.store.Address(), Ready: end(3), Directory: end(4), RetryShare: 0.2, RetrySlack: 50, Lease: duration.Duration(3 * time.Second), LoadsAtOnce: 3}
	text, err := json.Marshal(o)
	assert.NilError(s.t, err)
	path := filepath.Join(s.t.TempDir(), "settings.jsonc")
	assert.NilError(s.t, os.WriteFile(path, text, 0o600))
	h := &graceHost{callers: ports[0], directory: ports[4], cmd: exec.Command(binary, "serve", "--settings", path), done: make(chan struct{})}
	out, err := h.cmd.StdoutPipe()
	assert.NilError(s.t, err)
	assert.NilError(s.t, h.cmd.Start())
	go func() {
		defer close(h.done)
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			h.log = append(h.log, lines.Text())
		}
		_ = h.cmd.Wait() // ProcessState says how it exited
	}()
	s.t.Cleanup(func() {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill() // it may have ended
		<-h.done
	})
	return h
}

// exited reports whether the process has exited.
func (h *graceHost) exited() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// lists reports whether the directory of the host lists all hosts.
func (h *graceHost) lists(hosts []*graceHost) bool {
	resp, err := http.Get("http://" + h.directory + "/api/resolve?name=h&zone=zone-1")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return err == nil && !slices.ContainsFunc(hosts, func(o *graceHost) bool { return !strings.Contains(string(body), o.callers) })
}

// ask sends a request on a connection of its own and records the answer.
func (s *graceSystem) ask(h *graceHost, id, path, deadline string) {
	a := graceAnswer{path: path}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answers[id] = a
	}()
	var req *http.Request
	if req, a.err = http.NewRequest(http.MethodPost, "http://"+h.callers+path, strings.NewReader("body")); a.err != nil {
		return
	}
	req.Host, req.Close = "h", true
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Authorization", "Token key")
	if deadline != "" {
		req.Header.Set("X-Deadline-Ms", deadline)
	}
	var resp *http.Response
	if resp, a.err = http.DefaultClient.Do(req); a.err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	var body []byte
	body, a.err = io.ReadAll(resp.Body)
	a.body = string(body)
}

// runs returns how many runs upstreams have begun of requests whose IDs begin with a prefix.
func (s *graceSystem) runs(prefix string) (n int) {
	for _, u := range s.upstreams {
		for _, r := range u.Runs() {
			if strings.HasPrefix(r.ID, prefix) {
				n++
			}
		}
	}
	return n
}

// whole reports whether an answer to the request of an ID has arrived whole.
func (a graceAnswer) whole(id string) bool {
	if a.err != nil || a.status != http.StatusOK {
		return false
	}
	if a.path == pathStream {
		return strings.Count(a.body, "id: ") == graceEvents && strings.HasSuffix(a.body, "\n\n")
	}
	return strings.HasSuffix(a.body, " to "+id)
}

// check checks that requests that ran are answered whole, but for those in progress at the first signal, of which it returns
// how many were cut.
func (s *graceSystem) check(t *testing.T) (cut int) {
	ran := make(map[string]bool)
	for _, u := range s.upstreams {
		for _, r := range u.Runs() {
			ran[r.ID] = true
		}
	}
	counts := make(map[string]int)
	for id, a := range s.answers {
		open := strings.HasPrefix(id, openPrefix)
		kind, _, _ := strings.Cut(id, "-")
		switch {
		case a.whole(id):
			counts[kind+" whole"]++
		case a.err == nil && a.status < http.StatusBadRequest:
			t.Errorf("%s looks whole: %d %q", id, a.status, a.body)
		case ran[id]:
			counts[kind+" cut"]++
			assert.Check(t, open, "%s ran and got no whole answer: %d %q %v", id, a.status, a.body, a.err)
		case a.err != nil:
			counts[kind+" closed"]++
		default:
			counts[kind+" refused"]++
			assert.Check(t, a.status == http.StatusServiceUnavailable, "%s: %d %q", id, a.status, a.body)
		}
	}
	t.Log(counts)
	assert.Equal(t, counts["open cut"]+counts["open whole"], graceOpen)
	assert.Assert(t, counts["late refused"] > 0)
	return counts["open cut"]
}

// check checks that the process has exited by itself, and that one line says why.
func (h *graceHost) check(t *testing.T, cut int) {
	code := 0
	if cut > 0 {
		code = 3
	}
	assert.Check(t, h.cmd.ProcessState.ExitCode() == code, "%v", h.cmd.ProcessState)
	var stopped []string
	taken := 0
	for _, text := range h.log {
		var line struct {
			Message string `json:"message"`
			Cause   string
			Cut     int
			Taken   exchanger.Basis
			Status  int
		}
		if json.Unmarshal([]byte(text), &line) != nil {
			continue
		}
		switch {
		case line.Message == logger.Stopped:
			stopped = append(stopped, text)
			assert.Check(t, line.Cut == cut && line.Cause == "Deadline", text)
		case line.Message == logger.RequestEnded && line.Taken == exchanger.BasisDeadline:
			taken++
			assert.Check(t, line.Status == http.StatusOK, text)
		}
	}
	assert.Assert(t, taken > 0, "no request was taken because of its deadline")
	assert.Equal(t, len(stopped), 1, "%v", stopped)
}
