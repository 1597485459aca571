// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package server

import (
	"net/http"

	"amaranthgate.example/amaranthgate/claimer"
)

// answerCapture stores a response up to a limit while it is written.
type answerCapture struct {
	http.ResponseWriter
	limit      int
	status     int
	body       []byte
	overflowed bool
}

// Unwrap implements the interface that http.ResponseController uses.
func (r *answerCapture) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *answerCapture) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *answerCapture) Write(p []byte) (int, error) {
	switch {
	case r.overflowed:
	case len(r.body)+len(p) > r.limit:
		r.overflowed, r.body = true, nil
	default:
		r.body = append(r.body, p...)
	}
	return r.ResponseWriter.Write(p)
}

// answer returns the response if it was complete and within the limit, else nil.
func (r *answerCapture) answer(o Outcome) *claimer.Answer {
	if !o.complete || r.overflowed || r.limit == 0 {
		return nil
	}
	status := r.status
	if status == 0 {
		status = http.StatusOK
	}
	return &claimer.Answer{Status: status, ContentType: r.Header().Get("Content-Type"), Body: r.body}
}
