// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package server

import (
	"net/http"

	"amaranthgate.example/amaranthgate/claimer"
)

// recorder keeps the first bytes of an answer while it is written.
type recorder struct {
	http.ResponseWriter
	limit  int
	status int
	body   []byte
	over   bool
}

// Unwrap lets http.ResponseController reach the writer below.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) {
	switch {
	case r.over:
	case len(r.body)+len(p) > r.limit:
		r.over, r.body = true, nil
	default:
		r.body = append(r.body, p...)
	}
	return r.ResponseWriter.Write(p)
}

// answer returns what was written if it was whole and not too large.
func (r *recorder) answer(o Outcome) *claimer.Answer {
	if !o.complete || r.over || r.limit == 0 {
		return nil
	}
	status := r.status
	if status == 0 {
		status = http.StatusOK
	}
	return &claimer.Answer{Status: status, ContentType: r.Header().Get("Content-Type"), Body: r.body}
}
