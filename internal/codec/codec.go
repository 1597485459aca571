// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package codec encodes and decodes CBOR (RFC 8949). The encoding is
// deterministic and keeps nanoseconds of times; decoding limits the size and
// nesting of its input, so that hostile input cannot exhaust memory.
//
// # Usage
//
//	b, err := codec.Marshal(v)
//	err = codec.Unmarshal(b, &v)
package codec

import "github.com/fxamacker/cbor/v2"

// Limits on decoded input.
const (
	maxElements = 1 << 20
	maxNesting  = 16
)

var (
	encoder = mustEncMode()
	decoder = mustDecMode()
)

// mustEncMode returns an encoding that keeps nanoseconds, so that a state
// restored from a checkpoint equals the state that was encoded.
func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic("codec: " + err.Error())
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic("codec: " + err.Error())
	}
	return m
}

// Marshal returns the encoding of v.
func Marshal(v any) ([]byte, error) { return encoder.Marshal(v) }

// Unmarshal decodes b into v. Unknown fields are ignored.
func Unmarshal(b []byte, v any) error { return decoder.Unmarshal(b, v) }
