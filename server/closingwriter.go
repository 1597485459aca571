// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package server

import (
	"net/http"
	"sync/atomic"
)

// closingWriter tells callers to close their connection if the host drains as the answer begins.
type closingWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
	begun    bool // begun reports that the status has been written.
}

// Unwrap implements the interface that http.ResponseController uses.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if !w.begun && w.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(b []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}
