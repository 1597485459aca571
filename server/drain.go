// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Serve serves callers on a listener until Drain or Close.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// drainPollInterval is the interval at which Drain checks for open requests.
const drainPollInterval = 20 * time.Millisecond

// Drain shuts the server down without interrupting requests. The host must have
// been removed from the answers to GET /v1/addresses before; new requests are
// served until older answers have expired. Drain returns the number of requests
// that were still open when ctx ended.
func (s *Server) Drain(ctx context.Context) int {
	s.draining.Store(true)
	sleep(ctx, s.opts.AddressTTL)
	for s.Open() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
	left := s.Open()
	if ctx.Err() != nil {
		_ = s.http.Close()
		return left
	}
	_ = s.http.Shutdown(ctx)
	return 0
}

// Close closes the server at once and returns the number of interrupted requests.
func (s *Server) Close() int {
	left := s.Open()
	_ = s.http.Close()
	return left
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
