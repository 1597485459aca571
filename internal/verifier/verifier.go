// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package verifier says what makes a response of HTTP/1 an answer, beyond what package http checks as it reads one: a server in
// trouble may send what only looks like one, and what follows it is then taken for another answer, or for a part of it.
//
//   - The version is HTTP/1.0 or HTTP/1.1.
//   - The status is from 100 to 599. An interim one is followed by others; 101 answers only a request to upgrade.
//   - The name of each field of the header and of the trailer is a token. One with a blank would be passed on, and hides the
//     framing if it stands before the colon of Content-Length or Transfer-Encoding.
//
// Package http checks the values of fields, lengths that differ, and chunks. A length beside chunks is ignored, as RFC 9112 has it.
//
// # Usage
//
//	resp, err := http.ReadResponse(r, req)
//	if err == nil {
//		err = verifier.Check(resp)
//	}
//
//	client := &http.Client{Transport: verifier.Transport{RoundTripper: transport}}
package verifier

import (
	"net/http"

	"github.com/pkg/errors"
)

// Error says why a response is no answer.
type Error string

// Values of Error.
const (
	ErrVersion   Error = "verifier: the version is not HTTP/1"
	ErrStatus    Error = "verifier: the status is not from 100 to 599"
	ErrSwitching Error = "verifier: the server switches to a protocol that it was not asked for"
	ErrName      Error = "verifier: the name of a field is not a token"
)

// Error implements error.
func (e Error) Error() string { return string(e) }

// IsError reports whether an error says that a response is no answer.
func IsError(err error) bool {
	var e Error
	return errors.As(err, &e)
}

const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an Error unless a response is an answer. The request must not have asked for an upgrade.
func Check(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return ErrSwitching
	}
	return checkHead(resp)
}

// checkHead checks what holds for all responses.
func checkHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1 || resp.ProtoMinor > 1:
		return ErrVersion
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return ErrStatus
	}
	return checkNames(resp.Header)
}

// CheckTrailer returns an Error unless the trailer of a response whose body has been read is that of an answer.
func CheckTrailer(resp *http.Response) error { return checkNames(resp.Trailer) }

func checkNames(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return ErrName
		}
	}
	return nil
}

// isToken reports whether a name is a token of RFC 9110.
func isToken(name string) bool {
	for i := range len(name) {
		if !tokenBytes[name[i]] {
			return false
		}
	}
	return name != ""
}

// tokenBytes are the bytes of tokens.
var tokenBytes = func() (set [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		set[c] = true
	}
	return set
}()

// Transport returns only answers, and an Error for other responses. Trailers are not checked.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	check := Check
	if r.Header.Get("Upgrade") != "" {
		check = checkHead
	}
	if err := check(resp); err != nil {
		_ = resp.Body.Close() // its bytes are of no use
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes idle connections of the transport below, for http.Client.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
