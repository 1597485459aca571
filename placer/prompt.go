// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "github.com/cespare/xxhash/v2"

// Part is a segment of a prompt that other prompts may share as a prefix.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the input of an engine.
type Prompt struct {
	Model  string
	Parts  []Part // Parts are in order; the last belongs to the request or its session alone.
	Output int    // Output is the maximum number of tokens to generate.
}

// Tokens returns the length of the prompt.
func (p *Prompt) Tokens() int {
	sum := 0
	for _, part := range p.Parts {
		sum += part.Tokens
	}
	return sum
}

// PartKey is the hash of a part's name. A collision costs a prefill.
type PartKey uint64

// keyOf returns the key of a part.
func keyOf(name PartName) PartKey {
	var d xxhash.Digest // hashes without allocating a joined string
	d.Reset()
	_, _ = d.WriteString(name.Salt) // it never fails
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(name.ID)
	return PartKey(d.Sum64())
}

// keysOf appends the keys of a prompt's parts to keys.
func keysOf(keys []PartKey, salt string, parts []Part) []PartKey {
	for _, part := range parts {
		keys = append(keys, keyOf(PartName{Salt: salt, ID: part.ID}))
	}
	return keys
}

// rendezvous returns an upstream's rank for a key (rendezvous hashing). The highest rank wins.
func rendezvous(key PartKey, upstream uint64) uint64 {
	x := uint64(key) ^ upstream
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
