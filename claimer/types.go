// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"
)

// Ranges is the number of ranges of keys. Fewer ranges cause fewer appends: each owner appends at
// most once per group commit interval.
const Ranges = 2

// Key is the digest of a workspace and its idempotency key.
type Key [16]byte

// NewKey returns the key of a workspace's idempotency key.
func NewKey(workspace, key string) Key {
	h := sha256.New()
	var n [4]byte
	binary.BigEndian.PutUint32(n[:], uint32(len(workspace)))
	h.Write(n[:])
	h.Write([]byte(workspace))
	h.Write([]byte(key))
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// Range returns the range that contains k.
func (k Key) Range() int { return int(k[0]) % Ranges }

// StreamName returns the name of a range's stream in the log.
func StreamName(r int) string { return streamNames[r] }

var streamNames = rangeNames()

func rangeNames() (names [Ranges]string) {
	for r := range names {
		names[r] = fmt.Sprintf("Claims-%d", r)
	}
	return names
}

// LeaseName returns the name of the lease that the owner of a range holds.
func LeaseName(r int) string { return StreamName(r) }

// Digest is the digest of a request's method, path and body.
type Digest [16]byte

// NewDigest returns the digest of a request's method, path and body.
func NewDigest(method, path string, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(method))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// State is the state of a claimed key.
type State string

// States of a key.
const (
	StateClaimed State = "Claimed" // StateClaimed means that the claimant may run the request.
	StateDone    State = "Done"    // StateDone means that the request ran and was answered.
	StateNotRun  State = "NotRun"  // StateNotRun means that the request did not run; the key is free.
	StateUnknown State = "Unknown" // StateUnknown means that the request may have run.
)

// Answer is the stored answer to a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Request requests a claim of a key.
type Request struct {
	Key    Key
	Digest Digest
	Nonce  string // Nonce is unique to the claim.
}

// Outcome is the outcome of a claimed request.
type Outcome struct {
	Key    Key
	Nonce  string
	State  State
	Answer *Answer `cbor:",omitempty"`
}

// Result is an owner's answer to a Request.
type Result string

// Results of a Request.
const (
	ResultWon      Result = "Won"      // ResultWon allows the claimant to dispatch once.
	ResultDone     Result = "Done"     // ResultDone means that the key was answered before.
	ResultUnknown  Result = "Unknown"  // ResultUnknown means that the key may have run before.
	ResultMismatch Result = "Mismatch" // ResultMismatch means that the key was used for another request.
	ResultQueued   Result = "Behind"   // ResultQueued awaits an earlier request; another reply follows.
	ResultNotOwner Result = "NotOwner" // ResultNotOwner means that another host owns the range.
	ResultExpired  Result = "Expired"  // ResultExpired means that the claim ended before it was won.
)

// Reply is an owner's message to a claimant: the answer to a Request, or the acknowledgement of an
// Outcome if Ack is set.
type Reply struct {
	Nonce  string
	Result Result  `cbor:",omitempty"`
	Answer *Answer `cbor:",omitempty"`
	Ack    bool    `cbor:",omitempty"`
}

// Policy holds the time limits of claims.
type Policy struct {
	Window  time.Duration // Window is how long keys are retained.
	Timeout time.Duration // Timeout is the time after which a claim without outcome becomes Unknown.
}
