// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/connector"
	"amaranthgate.example/amaranthgate/controller"
	"amaranthgate.example/amaranthgate/emulator"
	"amaranthgate.example/amaranthgate/internal/deployment"
	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/faultproxy"
	"amaranthgate.example/amaranthgate/internal/receiver"
	"amaranthgate.example/amaranthgate/internal/strictjson"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/runner"
	"amaranthgate.example/amaranthgate/server"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "amaranthgate")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "amaranthgate")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// system is an emulated platform and upstreams in this process, and hosts in
// processes of their own.
type system struct {
	*deployment.Deployment
	t        *testing.T
	grace    duration.Duration            // grace is the drain timeout of hosts; 0 for the default.
	platform *faultproxy.Proxy            // platform is the proxy for the log and the host list.
	proxies  map[string]*faultproxy.Proxy // proxies are by upstream address.

	mu    sync.Mutex
	hosts []*process
}

// host returns the i-th host's process.
func (s *system) host(i int) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[i]
}

// count returns the number of hosts.
func (s *system) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.hosts)
}

// restart starts a new process for the i-th host.
func (s *system) restart(i int) {
	p := s.startHost(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[i] = p
}

// process is a host's process.
type process struct {
	cmd  *exec.Cmd
	addr runner.Addresses
	done chan struct{}
	code int
	log  []string // log has the lines after the start; it is complete when the process has exited.
}

func startSystem(t *testing.T, hosts int, opts deployment.Options) *system {
	t.Helper()
	return startSystemWith(t, hosts, opts, 0)
}

// startSystemWith is startSystem with a drain timeout of the hosts; 0 for the default.
func startSystemWith(t *testing.T, hosts int, opts deployment.Options, grace duration.Duration) *system {
	t.Helper()
	t.Parallel()
	s := &system{t: t, grace: grace, proxies: make(map[string]*faultproxy.Proxy)}
	opts.Wrap = func(address string) string {
		p, err := faultproxy.New(address)
		assert.NilError(t, err)
		t.Cleanup(p.Close)
		s.proxies[address] = p
		return p.Address()
	}
	d, err := deployment.StartUpstreams(opts)
	assert.NilError(t, err)
	s.Deployment = d
	t.Cleanup(d.Close)
	s.platform, err = faultproxy.New(strings.TrimPrefix(d.Platform, "http://"))
	assert.NilError(t, err)
	t.Cleanup(s.platform.Close)
	d.Platform = "http://" + s.platform.Address()
	for i := range hosts {
		s.hosts = append(s.hosts, s.startHost(i))
	}
	s.publishInitial()
	return s
}

// startHost starts the i-th host in a process and adds it to the host list.
func (s *system) startHost(i int) *process {
	settings := s.HostSettings(i, deployment.Options{})
	settings.Timing.DrainTimeout = cmp.Or(s.grace, settings.Timing.DrainTimeout)
	text, err := json.Marshal(settings)
	assert.NilError(s.t, err)
	path := filepath.Join(s.t.TempDir(), "settings.jsonc")
	assert.NilError(s.t, os.WriteFile(path, text, 0o600))
	p := &process{cmd: exec.Command(binary, "serve", "--settings", path), done: make(chan struct{})}
	logs, err := p.cmd.StderrPipe()
	assert.NilError(s.t, err)
	assert.NilError(s.t, p.cmd.Start())
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		if json.Unmarshal(lines.Bytes(), &p.addr) == nil && p.addr.Callers != "" {
			break
		}
	}
	go func() {
		for lines.Scan() {
			p.log = append(p.log, lines.Text())
		}
		_, _ = io.Copy(io.Discard, logs)
		_ = p.cmd.Wait()
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.done)
	}()
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	})
	s.List.PutHost(connector.ListedHost{Host: settings.Host, Address: p.addr.Peers, AvailabilityZone: settings.AvailabilityZone, State: connector.ListedLive})
	return p
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

func (s *system) publishInitial() {
	path := filepath.Join(s.t.TempDir(), "configuration.json")
	assert.NilError(s.t, os.WriteFile(path, s.Document.Encode(), 0o600))
	eventually(s.t, "the first configuration is accepted", func() bool {
		out, err := exec.Command(binary, "publish", "--operators", s.host(0).addr.Operators, "--token", deployment.Operator, "--id", "first", "--configuration", path).CombinedOutput()
		return err == nil || strings.Contains(string(out), string(configurer.FateAccepted))
	})
	for i := range s.count() {
		s.waitReady(i)
	}
	eventually(s.t, "the leases of the claim ranges are held", func() bool {
		d := s.dump(0)
		return d.Leases["Claims-0"].Holder != "" && d.Leases["Claims-1"].Holder != ""
	})
}

func (s *system) waitReady(i int) {
	eventually(s.t, "the host is ready", func() bool {
		resp, err := http.Get("http://" + s.host(i).addr.Callers + "/v1/health")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(20*time.Millisecond))
}

// dump returns the control state of a host; it is empty if the host does not respond.
func (s *system) dump(i int) controller.Dump {
	out, err := exec.Command(binary, "dump", "--operators", s.host(i).addr.Operators, "--token", deployment.Operator).Output()
	if err != nil {
		return controller.Dump{}
	}
	var d runner.Dump
	assert.NilError(s.t, json.Unmarshal(out, &d))
	return d.Control
}

// ownerOf returns the index of the host that holds a lease.
func (s *system) ownerOf(lease string) int {
	for i := range s.count() {
		if d := s.dump(i); d.Writer != "" {
			holder, _, _ := strings.Cut(d.Leases[lease].Holder, "#")
			for j := range s.count() {
				if holder == fmt.Sprintf("host-%d", j+1) {
					return j
				}
			}
		}
	}
	s.t.Fatal("no host holds the lease")
	return 0
}

// response is a response to a caller.
type response struct {
	status int
	body   string
	ran    string
	reason server.Reason
}

// book sends a request that may run only once.
func book(ctx context.Context, address, key string, first bool) (response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/services/Booking/slots", strings.NewReader(key))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+deployment.Token)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Amaranthgate-Deadline", "8s")
	if first {
		req.Header.Set("Amaranthgate-Attempt", "1")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a := response{status: resp.StatusCode, body: string(b)}
	var p server.Problem
	if resp.StatusCode >= 400 && json.Unmarshal(b, &p) == nil {
		a.ran, a.reason = string(p.Ran), p.Reason
	}
	return a, err
}

// TestDrainByTerm checks that a host under load exits with 0 after SIGTERM and
// aborts no request.
func TestDrainByTerm(t *testing.T) {
	s := startSystem(t, 2, deployment.Options{Engines: 1, Engine: emulator.EngineOptions{TokenInterval: 20 * time.Millisecond, Slots: 64}})
	replies := make(chan error, 8)
	for i := range cap(replies) {
		go func() { replies <- checkStream(s.host(1).addr.Callers, fmt.Sprintf("drain %d", i), 60) }()
	}
	eventually(t, "streams are open", func() bool { return s.Engines[0].Total() == cap(replies) })
	s.host(1).signal(syscall.SIGTERM)
	for range cap(replies) {
		assert.NilError(t, <-replies)
	}
	<-s.host(1).done
	assert.Equal(t, s.host(1).code, 0)
}

// signalsCase is a case of testdata/signals.jsonc.
type signalsCase struct {
	Name    string
	Signals []struct {
		After  duration.Duration // After is the time since the signal before.
		Signal string
	}
	Repeat bool // Repeat reports that the last signal comes again and again until the process has exited.
	Tokens int  // Tokens is the length of the streams in progress, in tokens of 20 ms.
	Cut    bool // Cut reports that the signals end the streams.
	// Grace is the drain timeout of the host that gets the signals; by default that of the settings.
	Grace duration.Duration
}

var signalNumbers = map[string]syscall.Signal{
	"SIGTERM": syscall.SIGTERM, "SIGINT": syscall.SIGINT, "SIGHUP": syscall.SIGHUP, "SIGSTOP": syscall.SIGSTOP, "SIGCONT": syscall.SIGCONT,
	"SIGKILL": syscall.SIGKILL,
}

// TestSignalsInSeries guards against signals that cut streams in progress although no operator ended the drain, and
// against a drain that an operator cannot end.
func TestSignalsInSeries(t *testing.T) {
	text, err := os.ReadFile("testdata/signals.jsonc")
	assert.NilError(t, err)
	var cases []signalsCase
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { playSignals(t, c) })
	}
}

func playSignals(t *testing.T, c signalsCase) {
	s := startSystemWith(t, 2, deployment.Options{Engines: 1, Engine: emulator.EngineOptions{TokenInterval: 20 * time.Millisecond, Slots: 64}}, c.Grace)
	replies := make(chan error, 8)
	for i := range cap(replies) {
		go func() { replies <- checkStream(s.host(1).addr.Callers, fmt.Sprintf("signals %d", i), c.Tokens) }()
	}
	eventually(t, "streams are open", func() bool { return s.Engines[0].Total() == cap(replies) })
	for _, sig := range c.Signals {
		time.Sleep(sig.After.Std())
		s.host(1).signal(signalNumbers[sig.Signal])
	}
	if c.Repeat {
		go s.host(1).repeat(signalNumbers[c.Signals[len(c.Signals)-1].Signal])
	}
	for range cap(replies) {
		err := <-replies
		assert.Check(t, (err != nil) == c.Cut, "%v", err)
	}
	<-s.host(1).done
	code := 0
	if c.Cut {
		code = 3
	}
	assert.Equal(t, s.host(1).code, code)
	s.host(1).checkSignals(t, c)
}

// repeat sends a signal until the process has exited.
func (p *process) repeat(sig syscall.Signal) {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(time.Millisecond):
			p.signal(sig)
		}
	}
}

// checkSignals checks the lines about signals. Several of a kind may be delivered as one.
func (p *process) checkSignals(t *testing.T, c signalsCase) {
	t.Helper()
	effects, counts := make(map[receiver.Effect]int), make(map[string]int)
	for _, text := range p.log {
		var line struct {
			Message string `json:"message"`
			Signal  string
			Effect  receiver.Effect
			Count   int
		}
		if json.Unmarshal([]byte(text), &line) == nil && line.Message == logger.SignalReceived {
			effects[line.Effect]++
			counts[line.Signal]++
			assert.Equal(t, line.Count, counts[line.Signal], text)
		}
	}
	cuts := 0
	if c.Cut && c.Grace == 0 { // else the end of the grace cuts
		cuts = 1
	}
	assert.Equal(t, effects[receiver.Cut], cuts, "%v", effects)
	assert.Assert(t, effects[receiver.Drain] > 0, "%v", effects)
	for _, sig := range c.Signals {
		if number := signalNumbers[sig.Signal]; number != syscall.SIGSTOP && number != syscall.SIGCONT && number != syscall.SIGKILL {
			assert.Assert(t, counts[sig.Signal] > 0, "no line about %s: %v", sig.Signal, counts)
		}
	}
}

// checkStream sends a prompt and returns an error unless the stream is complete and
// belongs to that prompt.
func checkStream(address, prompt string, tokens int) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, deployment.Model, prompt, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+deployment.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if !strings.HasSuffix(string(b), "data: [DONE]\n\n") {
		return fmt.Errorf("incomplete stream: %q", b[max(0, len(b)-200):])
	}
	for _, token := range emulator.Answer(prompt, tokens) {
		if !strings.Contains(string(b), fmt.Sprintf("%q", token)) {
			return fmt.Errorf("token %q is missing", token)
		}
	}
	return nil
}

// TestRestartWithLogDown checks that a host restarted while the log is down serves
// its peers' configuration, and that the revision does not decrease.
func TestRestartWithLogDown(t *testing.T) {
	s := startSystem(t, 3, deployment.Options{Engines: 1})
	s.Log.SetFault(emulator.LogFault{Down: true})
	s.host(2).signal(syscall.SIGKILL)
	<-s.host(2).done
	s.restart(2)
	s.waitReady(2)
	assert.Equal(t, s.dump(2).Revision, uint64(1))
	assert.NilError(t, checkStream(s.host(2).addr.Callers, "while the log is down", 3))
}

// TestCheckCommand checks that all faults are printed with their lines.
func TestCheckCommand(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.jsonc")
	text := "{\n  // two faults\n  \"Host\": \"h\",\n  \"Hots\": 1,\n  \"AvailabilityZone\": 7\n}\n"
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	out, err := exec.Command(binary, "check", "--settings", path).CombinedOutput()
	var exit *exec.ExitError
	assert.Assert(t, err != nil)
	assert.Assert(t, asExitError(err, &exit) && exit.ExitCode() == 2)
	assert.Assert(t, strings.Contains(string(out), "line 4: /Hots: unknown name"), string(out))
	assert.Assert(t, strings.Contains(string(out), "line 5: /AvailabilityZone: want string, got number"), string(out))
	_, faults := loader.Parse([]byte(text))
	assert.Equal(t, len(faults), 2)
}

func asExitError(err error, to **exec.ExitError) bool {
	e, ok := err.(*exec.ExitError)
	*to = e
	return ok
}

// TestReloadByHup checks that SIGHUP, which reloads the settings, does not end a host.
func TestReloadByHup(t *testing.T) {
	s := startSystem(t, 2, deployment.Options{Engines: 1})
	for range 3 {
		s.host(0).signal(syscall.SIGHUP)
	}
	s.waitReady(0)
	s.host(0).signal(syscall.SIGTERM)
	<-s.host(0).done
	assert.Equal(t, s.host(0).code, 0)
}
