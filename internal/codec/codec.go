// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package codec is CBOR (RFC 8949) as the system writes it: deterministic, with
// times kept whole, and with bounds on what is read, so that hostile input
// cannot make a reader take memory without limit.
//
// # Usage
//
//	b, err := codec.Marshal(v)
//	err = codec.Unmarshal(b, &v)
package codec

import "github.com/fxamacker/cbor/v2"

// Bounds on input.
const (
	maxElements = 1 << 20
	maxNesting  = 16
)

var (
	encoder = mustEncMode()
	decoder = mustDecMode()
)

// mustEncMode keeps times whole: a state that was restored from a checkpoint
// must equal one that was folded.
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

// Unmarshal reads b into v. Unknown fields are ignored.
func Unmarshal(b []byte, v any) error { return decoder.Unmarshal(b, v) }
