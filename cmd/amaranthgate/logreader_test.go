// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/freeport"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/platform/standin"
)

// TestHostEndsBesideLogReaderThatStopped guards against a process that does not exit since nobody reads its log.
func TestHostEndsBesideLogReaderThatStopped(t *testing.T) {
	t.Parallel()
	store := standin.NewStore()
	t.Cleanup(store.Close)
	ports, err := freeport.Addresses(5)
	assert.NilError(t, err)
	end := func(i int) loader.Endpoint { return loader.Endpoint{Listen: ports[i]} }
	s := loader.Default()
	s.Host, s.AvailabilityZone, s.PeerSecret, s.BlockSecret = "host", "zone-1", "0123456789abcdef0", "0123456789abcdef1"
	s.Callers, s.Peers, s.Operators = end(0), end(1), end(2)
	s.Timing.AddressTTL, s.Timing.DrainTimeout = duration.Duration(100*time.Millisecond), duration.Duration(5*time.Second)
	s.Platform = &loader.Platform{Store: store.Address(), Ready: end(3), Directory: end(4), RetryShare: 0.2, RetrySlack: 50, Lease: duration.Duration(3 * time.Second), LoadsAtOnce: 3}
	text, err := json.Marshal(s)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, os.WriteFile(path, text, 0o600))
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = reader.Close() })
	assert.NilError(t, fill(writer))
	cmd := exec.Command(binary, "serve", "--settings", path)
	cmd.Stdout = writer
	assert.NilError(t, cmd.Start())
	_ = writer.Close()
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have ended
	eventually(t, "the host listens", func() bool {
		conn, err := net.Dial("tcp4", ports[0])
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	killer := time.AfterFunc(time.Minute, func() { _ = cmd.Process.Kill() })
	defer killer.Stop()
	assert.NilError(t, cmd.Wait())
}

// fill writes to a pipe until it is full.
func fill(w *os.File) error {
	raw, err := w.SyscallConn()
	if err != nil {
		return err
	}
	block := make([]byte, 4096)
	return raw.Control(func(fd uintptr) {
		for {
			if _, err := syscall.Write(int(fd), block); err != nil {
				return
			}
		}
	})
}
