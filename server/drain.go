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

// Serve answers callers on a listener until Drain or Close.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// pollOpen is how often Drain looks whether requests are still open.
const pollOpen = 20 * time.Millisecond

// Drain ends the server without cutting a request. The host must have left the
// answers to GET /v1/addresses before; callers that hold an older answer are
// served for as long as it lives. Drain returns the number of requests that
// were still open when ctx ended.
func (s *Server) Drain(ctx context.Context) int {
	s.draining.Store(true)
	wait(ctx, s.opts.AddressTTL)
	for s.Open() > 0 && ctx.Err() == nil {
		wait(ctx, pollOpen)
	}
	left := s.Open()
	if ctx.Err() != nil {
		_ = s.http.Close()
		return left
	}
	_ = s.http.Shutdown(ctx)
	return 0
}

// Close ends the server at once and returns the number of requests cut.
func (s *Server) Close() int {
	left := s.Open()
	_ = s.http.Close()
	return left
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
