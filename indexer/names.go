// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package indexer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Sizes of blocks. Blocks are measured in bytes, because hosts have no tokenizer.
const (
	BytesPerToken  = 4  // BytesPerToken is the assumed mean length of a token.
	TokensPerBlock = 64 // TokensPerBlock is the assumed number of tokens in a block.
	BlockBytes     = BytesPerToken * TokensPerBlock
	nameBytes      = 16
)

// Name identifies a block and all text before it within one workspace, model and weight version.
// It is the first 64 bits of the raw name.
type Name uint64

// Salt returns the salt for the block names of one workspace, model and weight version: an HMAC
// (RFC 2104) under the deployment's secret, without which callers cannot compute block names.
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

// Chain holds the names of the complete blocks of a prompt, in order.
type Chain struct {
	raw []byte
}

// NewChain returns the names of the complete blocks of a text. Each name is the SHA-256 digest of
// the preceding name and the block's text, truncated to 16 bytes.
func NewChain(salt, text string) Chain { return Chain{}.Extend(salt, text) }

// Extend returns c with the complete blocks of a text added. The text must begin where the last
// block of c ends.
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

// Wire returns the name of block i in hexadecimal, as upstreams use it.
func (c Chain) Wire(i int) string { return hex.EncodeToString(c.raw[i*nameBytes : (i+1)*nameBytes]) }

// Raw returns the raw name of block i.
func (c Chain) Raw(i int) (raw [nameBytes]byte) {
	copy(raw[:], c.raw[i*nameBytes:])
	return raw
}

// shortName truncates a raw name to 64 bits.
func shortName(raw [nameBytes]byte) Name { return Name(binary.BigEndian.Uint64(raw[:])) }

// WireName returns a raw name in hexadecimal, as upstreams use it.
func WireName(raw [16]byte) string { return hex.EncodeToString(raw[:]) }

// ParseWire parses a name in hexadecimal and reports whether it is valid.
func ParseWire(wire string) (raw [16]byte, ok bool) {
	b, err := hex.DecodeString(wire)
	if err != nil || len(b) != nameBytes {
		return raw, false
	}
	copy(raw[:], b)
	return raw, true
}
