// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/deployment"
	"amaranthgate.example/amaranthgate/internal/freeport"
)

const (
	startTries = 32                   // startTries is the number of processes that get SIGTERM while they start.
	startStep  = 3 * time.Millisecond // startStep is the difference between the delays of two processes.
	startLoad  = 8                    // startLoad is the number of processes that start at once.
)

// TestTermAtStart guards against a host that takes connections of callers while SIGTERM still kills it.
func TestTermAtStart(t *testing.T) {
	s := startSystem(t, 1, deployment.Options{Engines: 1})
	var inOrder, killed atomic.Int64
	var all sync.WaitGroup
	tries := make(chan int)
	for range startLoad {
		all.Go(func() {
			for i := range tries {
				switch code, reached := s.terminateAtStart(i); {
				case code == 0:
					inOrder.Add(1)
				case code < 0 && !reached: // the signal came before the program could set a handler
					killed.Add(1)
				default:
					t.Errorf("try %d: exit code %d, connection taken: %v", i, code, reached)
				}
			}
		})
	}
	for i := range startTries {
		tries <- i
	}
	close(tries)
	all.Wait()
	t.Logf("%d ended in order, %d were killed before they listened", inOrder.Load(), killed.Load())
	assert.Assert(t, inOrder.Load() >= startTries/2)
}

// terminateAtStart starts a host and sends it SIGTERM, in even tries after a delay that grows with them, in odd ones as
// soon as a caller reaches it. It returns the exit code, below 0 if the signal killed the process, and whether a caller
// has reached it.
func (s *system) terminateAtStart(try int) (code int, reached bool) {
	addresses, err := freeport.Addresses(1)
	assert.NilError(s.t, err)
	settings := s.HostSettings(try+1, deployment.Options{})
	settings.Callers.Listen = addresses[0]
	text, err := json.Marshal(settings)
	assert.NilError(s.t, err)
	path := filepath.Join(s.t.TempDir(), "settings.jsonc")
	assert.NilError(s.t, os.WriteFile(path, text, 0o600))
	cmd := exec.Command(binary, "serve", "--settings", path)
	assert.NilError(s.t, cmd.Start())
	s.t.Cleanup(func() { _ = cmd.Process.Kill() })
	term := func() { _ = cmd.Process.Signal(syscall.SIGTERM) } // it may have ended
	if try%2 == 0 {
		defer time.AfterFunc(time.Duration(try)*startStep, term).Stop()
	}
	exited, dialed := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(dialed)
		for !reached {
			select {
			case <-exited:
				return
			default:
			}
			c, err := net.Dial("tcp", addresses[0])
			if err != nil {
				continue
			}
			if reached = true; try%2 == 1 {
				term()
			}
			_ = c.Close()
		}
	}()
	_ = cmd.Wait() // ProcessState says how it exited
	close(exited)
	<-dialed
	return cmd.ProcessState.ExitCode(), reached
}
