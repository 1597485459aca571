// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"
)

// Ranges is the number of ranges of keys. Few ranges make few appends: each
// owner appends at most once in a group commit interval.
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

// Range returns the range that k belongs to.
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

// LeaseName returns the name of the lease of a range's owner.
func LeaseName(r int) string { return StreamName(r) }

// Digest is the digest of a request's content.
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

// State is what is known of a claimed request.
type State string

// The states of a claim.
const (
	StateClaimed State = "Claimed" // StateClaimed says that its claimant may run it now.
	StateDone    State = "Done"    // StateDone says that it ran and was answered.
	StateNotRun  State = "NotRun"  // StateNotRun says that it did not run; the key is free.
	StateUnknown State = "Unknown" // StateUnknown says that it may have run.
)

// Answer is the kept answer to a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Request asks for a claim.
type Request struct {
	Key    Key
	Digest Digest
	Nonce  string // Nonce names this claim and no other.
}

// Outcome tells what became of a claimed request.
type Outcome struct {
	Key    Key
	Nonce  string
	State  State
	Answer *Answer `cbor:",omitempty"`
}

// Result is an owner's answer to a Request.
type Result string

// The results.
const (
	ResultWon      Result = "Won"      // ResultWon allows the claimant to dispatch once.
	ResultDone     Result = "Done"     // ResultDone says that the key was answered before.
	ResultUnknown  Result = "Unknown"  // ResultUnknown says that the key may have run before.
	ResultMismatch Result = "Mismatch" // ResultMismatch says that the key was used for another request.
	ResultBehind   Result = "Behind"   // ResultBehind says that an earlier request with the key is under way; another reply follows.
	ResultNotOwner Result = "NotOwner" // ResultNotOwner says that another host must be asked.
	ResultExpired  Result = "Expired"  // ResultExpired says that the claim's time was up before it was won.
)

// Reply is what an owner sends to a claimant: the answer to a Request, or the
// acknowledgement of an Outcome if Ack is set.
type Reply struct {
	Nonce  string
	Result Result  `cbor:",omitempty"`
	Answer *Answer `cbor:",omitempty"`
	Ack    bool    `cbor:",omitempty"`
}

// Policy bounds claims.
type Policy struct {
	Window  time.Duration // Window is how long keys are remembered.
	Timeout time.Duration // Timeout is how long a claim may be without outcome.
}
