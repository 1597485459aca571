// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Identity names what a request asks for and who asks. All tries of a caller bear the same
// one, at whichever host, although each try has a request ID of its own.
type Identity [16]byte

// String returns the identity in hexadecimal digits, as log lines and operators name it.
func (id Identity) String() string { return hex.EncodeToString(id[:]) }

// MarshalText implements encoding.TextMarshaler.
func (id Identity) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *Identity) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(id)) {
		return errors.Errorf("quarantiner: an identity has %d hexadecimal digits", hex.EncodedLen(len(id)))
	}
	_, err := hex.Decode(id[:], text)
	return errors.Wrap(err, "quarantiner: not an identity")
}

// Key returns a short form of the identity, for choices that need not tell all apart.
func (id Identity) Key() uint64 { return binary.BigEndian.Uint64(id[:]) }

// Parts is what makes up an Identity.
type Parts struct {
	Workspace string // Workspace is whose request it is, by whichever of its keys; empty on public routes.
	Method    string
	Host      string
	Target    string // Target is the path with the query.
	Body      []byte
}

// Identify returns the identity of a request. The hash is a cryptographic one: a workspace
// must not be able to make up a request that is taken for another workspace's.
func Identify(p Parts) Identity {
	h := sha256.New()
	for _, s := range []string{p.Workspace, p.Method, p.Host, p.Target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(s)))
		h.Write(length[:]) // so that the end of one part is not taken for the beginning of the next
		h.Write([]byte(s))
	}
	h.Write(p.Body)
	var sum [sha256.Size]byte
	return Identity(h.Sum(sum[:0])[:len(Identity{})])
}
