// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package registrar

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Key identifies a stream.
type Key [16]byte

// KeyOf returns the key of a stream whose first event the given request of a workspace brought. The hash is
// cryptographic so that a workspace cannot forge the key of another workspace's stream.
func KeyOf(workspace, requestID string) Key {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(workspace)))
	h.Write(length[:]) // the length separates the workspace from the request
	h.Write([]byte(workspace))
	h.Write([]byte(requestID))
	var sum [sha256.Size]byte
	return Key(h.Sum(sum[:0])[:len(Key{})])
}

// hash returns the part of a key by which hosts are ranked.
func (k Key) hash() uint64 { return binary.BigEndian.Uint64(k[:]) }

// Origin is where a stream began. The zero Origin is not known.
type Origin struct {
	Service  string
	Software string // Software is the version of the software; versions have no order.
}

// Known reports whether the origin is known.
func (o Origin) Known() bool { return o.Service != "" }

// Source says how a host knows an origin.
type Source string

// Values of Source.
const (
	SourceNone   Source = ""
	SourceOwn    Source = "Own"    // SourceOwn means that this host sent the stream's first event.
	SourceHost   Source = "Host"   // SourceHost means that another host told it.
	SourcePassed Source = "Passed" // SourcePassed means that the host that passed the request on stated it.
)

// SourceSole means that no record is known, and that all upstreams that could have begun the stream have one version.
const SourceSole Source = "Sole"

// Finding is what is known of a stream.
type Finding struct {
	Origin
	Source    Source
	Age       time.Duration // Age is the time since this host learned of the stream.
	Ambiguous bool          // Ambiguous reports that hosts have reported different origins; Origin is not known then.
	Asked     int           // Asked is the number of hosts that were asked.
	Answered  int           // Answered is the number of those that did not know the stream.
	Took      time.Duration // Took is the duration of the search, as far as it is known.
}
