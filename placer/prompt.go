// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Part is a piece of a prompt that other prompts may begin with as well.
type Part struct {
	ID     string
	Tokens int
}

// Prompt names what an engine is to read.
type Prompt struct {
	Model  string
	Parts  []Part // Parts are in order; the last is the request's own or its session's.
	Output int    // Output is the largest number of tokens to generate.
}

// Tokens returns the length of the prompt.
func (p *Prompt) Tokens() int {
	sum := 0
	for _, part := range p.Parts {
		sum += part.Tokens
	}
	return sum
}

// ChainKey names a part together with all parts before it and the salt.
type ChainKey uint64

// chain returns the keys of a prompt's parts.
func chain(salt string, parts []Part) []ChainKey {
	keys := make([]ChainKey, len(parts))
	sum := xxhash.Sum64String(salt)
	for i, part := range parts {
		sum = xxhash.Sum64String(strconv.FormatUint(sum, 36) + "/" + part.ID)
		keys[i] = ChainKey(sum)
	}
	return keys
}

// rendezvous ranks upstreams for a key: the highest is every host's first guess.
func rendezvous(key ChainKey, upstream uint64) uint64 {
	x := uint64(key) ^ upstream
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
