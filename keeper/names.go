// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package keeper

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Sizes of blocks. A prompt is cut by bytes, because hosts have no tokenizer.
const (
	BytesPerToken  = 4  // BytesPerToken is the mean length of a token of text.
	TokensPerBlock = 64 // TokensPerBlock is the size of a block.
	BlockBytes     = BytesPerToken * TokensPerBlock
	nameBytes      = 16
)

// Name identifies a block and all the text before it within one workspace,
// model and weight version. It is the first 64 bits of the wire form.
type Name uint64

// Salt returns the root of the names of one workspace's blocks for one weight
// version: an HMAC (RFC 2104) by the deployment's secret. Without the secret
// no caller can name another workspace's blocks.
func Salt(secret []byte, workspace, model, version string) string {
	m := hmac.New(sha256.New, secret)
	for _, part := range []string{workspace, model, version} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(part)))
		m.Write(n[:])
		m.Write([]byte(part))
	}
	return hex.EncodeToString(m.Sum(nil)[:nameBytes])
}

// Chain is the names of the whole blocks of one prompt, in order.
type Chain struct {
	raw []byte
}

// NewChain names the whole blocks of a text. Each name is the SHA-256 digest
// of the name before it and the block's text, cut to 16 bytes.
func NewChain(salt, text string) Chain { return Chain{}.Extend(salt, text) }

// Extend returns the chain of a text that goes on after the blocks of c. The
// text must begin where the last block of c ends.
func (c Chain) Extend(salt, text string) Chain {
	n := len(text) / BlockBytes
	out := Chain{raw: make([]byte, len(c.raw), len(c.raw)+n*nameBytes)}
	copy(out.raw, c.raw)
	buf := make([]byte, nameBytes+BlockBytes)
	if len(c.raw) == 0 {
		root := sha256.Sum256([]byte(salt))
		copy(buf, root[:nameBytes])
	} else {
		copy(buf, c.raw[len(c.raw)-nameBytes:])
	}
	for i := range n {
		copy(buf[nameBytes:], text[i*BlockBytes:(i+1)*BlockBytes])
		sum := sha256.Sum256(buf)
		copy(buf, sum[:nameBytes])
		out.raw = append(out.raw, sum[:nameBytes]...)
	}
	return out
}

// Len returns the number of blocks.
func (c Chain) Len() int { return len(c.raw) / nameBytes }

// At returns the name of block i.
func (c Chain) At(i int) Name { return Name(binary.BigEndian.Uint64(c.raw[i*nameBytes:])) }

// Wire returns the form of block i's name that upstreams use.
func (c Chain) Wire(i int) string { return hex.EncodeToString(c.raw[i*nameBytes : (i+1)*nameBytes]) }

// Raw returns the 16 bytes of block i's name.
func (c Chain) Raw(i int) (raw [nameBytes]byte) {
	copy(raw[:], c.raw[i*nameBytes:])
	return raw
}

// nameOf returns the short form of a raw name.
func nameOf(raw [nameBytes]byte) Name { return Name(binary.BigEndian.Uint64(raw[:])) }

// WireName returns the form of a raw name that upstreams use.
func WireName(raw [16]byte) string { return hex.EncodeToString(raw[:]) }

// ParseWire reads the form that upstreams use and reports whether it could.
func ParseWire(wire string) (raw [16]byte, ok bool) {
	b, err := hex.DecodeString(wire)
	if err != nil || len(b) != nameBytes {
		return raw, false
	}
	copy(raw[:], b)
	return raw, true
}
