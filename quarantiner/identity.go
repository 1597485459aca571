// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/pkg/errors"
)

// Identity identifies the content of a request and its workspace. Repeated tries of a caller have the
// same identity at every host, although each has its own request ID.
type Identity [16]byte

// String returns the identity in hexadecimal, as used in logs and by operators.
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

// Key returns a shortened identity for uses that tolerate collisions.
func (id Identity) Key() uint64 { return binary.BigEndian.Uint64(id[:]) }

// Parts are the inputs of an Identity.
type Parts struct {
	Workspace string // Workspace is the name of the workspace, or empty on public routes.
	Method    string
	Host      string
	Target    string // Target is the path with the query.
	Body      []byte
}

// IdentifyPart returns the identity of a part of prompts for a model. workspace is empty unless the workspace shares
// no parts with others.
func IdentifyPart(workspace, model, part string) Identity {
	h := sha256.New()
	h.Write([]byte{0xff}) // no request begins with it, as that is a length
	writeStrings(h, workspace, model, part)
	return sumIdentity(h)
}

func writeStrings(h hash.Hash, list ...string) {
	for _, s := range list {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(s)))
		h.Write(length[:]) // the length separates the string from the next
		h.Write([]byte(s))
	}
}

func sumIdentity(h hash.Hash) Identity {
	var sum [sha256.Size]byte
	return Identity(h.Sum(sum[:0])[:len(Identity{})])
}

// Identify returns the identity of a request. The hash is cryptographic so that a workspace cannot forge
// a request with the identity of another workspace's.
func Identify(p Parts) Identity {
	h := sha256.New()
	writeStrings(h, p.Workspace, p.Method, p.Host, p.Target)
	h.Write(p.Body)
	return sumIdentity(h)
}
