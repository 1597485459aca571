// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package signer signs requests that one host of a deployment passes on to another, and verifies them there.
//
// The signature covers the sender, the receiver, the request's method, target and ID, its age and the time at the
// sender. It shows that the request comes from a host that knows the deployment's secret; the caller is authenticated by
// the key that the request itself has.
//
// # Usage
//
//	s := signer.New("host-1", secret)
//	s.Sign(header, &signer.Request{Method: "POST", Target: "/x", ID: "7"}, "host-2", age)
//	p, ok := signer.New("host-2", secret).Verify(header, &signer.Request{Method: "POST", Target: "/x", ID: "7"})
package signer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthgate.example/amaranthgate/timer"
)

// HTTP headers of a request that was passed on.
const (
	HeaderBy  = "Amaranthgate-Passed-By"  // HeaderBy is the name of the host that passes the request on.
	HeaderAt  = "Amaranthgate-Passed-At"  // HeaderAt is the time at that host, in Unix milliseconds.
	HeaderAge = "Amaranthgate-Passed-Age" // HeaderAge is the time since that host had read the request, in milliseconds.
	HeaderMAC = "Amaranthgate-Passed-Proof"
)

const (
	// maxSkew is the largest difference between the clocks of two hosts. It bounds for how long a signature holds.
	maxSkew = 5 * time.Minute
	// maxAge is the largest age of a request, which is the longest timeout.
	maxAge = time.Minute
)

// Signer signs and verifies for one host. It is safe for concurrent use.
type Signer struct {
	host   string
	secret []byte
	timer  timer.Service
}

// New returns the Signer of a host. secret is the one that the hosts of the deployment share.
func New(host string, secret []byte) *Signer {
	return &Signer{host: host, secret: secret, timer: timer.NewSystem()}
}

// Request identifies a request.
type Request struct {
	Method string
	Target string // Target is the escaped path with the query.
	ID     string
}

// Passage says from where a request was passed on.
type Passage struct {
	By  string        // By is the host that passed the request on; empty if it came from its caller.
	Age time.Duration // Age is the time since that host had read the request.
}

// Sign sets the headers of a request that is passed on to a host.
func (s *Signer) Sign(h http.Header, r *Request, to string, age time.Duration) {
	at := strconv.FormatInt(s.timer.Now().UnixMilli(), 10)
	ms := strconv.FormatInt(max(0, age.Milliseconds()), 10)
	h.Set(HeaderBy, s.host)
	h.Set(HeaderAt, at)
	h.Set(HeaderAge, ms)
	h.Set(HeaderMAC, s.mac(r, s.host, to, at, ms))
}

// Verify returns from where a request was passed on to this host, and false if its headers are not valid.
func (s *Signer) Verify(h http.Header, r *Request) (Passage, bool) {
	by, at, ms := h.Get(HeaderBy), h.Get(HeaderAt), h.Get(HeaderAge)
	if by == "" || !hmac.Equal([]byte(h.Get(HeaderMAC)), []byte(s.mac(r, by, s.host, at, ms))) {
		return Passage{}, false
	}
	sent, err := strconv.ParseInt(at, 10, 64)
	if err != nil || s.timer.Now().Sub(time.UnixMilli(sent)).Abs() > maxSkew {
		return Passage{}, false
	}
	age, err := strconv.ParseInt(ms, 10, 64)
	if err != nil || age < 0 || age > maxAge.Milliseconds() {
		return Passage{}, false
	}
	return Passage{By: by, Age: time.Duration(age) * time.Millisecond}, true
}

func (s *Signer) mac(r *Request, by, to, at, age string) string {
	h := hmac.New(sha256.New, s.secret)
	h.Write([]byte(strings.Join([]string{"request", by, to, at, age, r.Method, r.Target, r.ID}, "\n")))
	return hex.EncodeToString(h.Sum(nil))
}
