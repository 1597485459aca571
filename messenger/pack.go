// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package messenger

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/internal/codec"
)

const (
	// packFrom is the length from which messages are compressed. A listing of 3,000
	// upstreams has 900 kB and 40 kB after it; reports of work, of which there are many,
	// are shorter than this and are sent as they are.
	packFrom = 8 << 10
	// packWindow bounds the memory of the compressor: the entries of a listing repeat
	// within a few hundred bytes.
	packWindow = 128 << 10
	// packedType is the major type of a packed message, a CBOR byte string, in its first
	// byte. Messages that are not packed are maps.
	packedType = 2
	majorShift = 5
)

var (
	packer   = mustPacker()
	unpacker = mustUnpacker()
)

func mustPacker() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(packWindow))
	if err != nil {
		panic("messenger: " + err.Error())
	}
	return e
}

func mustUnpacker() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxMessageBytes))
	if err != nil {
		panic("messenger: " + err.Error())
	}
	return d
}

// pack compresses a long message.
func pack(b []byte) ([]byte, error) {
	if len(b) < packFrom {
		return b, nil
	}
	return codec.Marshal(packer.EncodeAll(b, nil))
}

// unpack undoes pack.
func unpack(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0]>>majorShift != packedType {
		return b, nil
	}
	var packed []byte
	if err := codec.Unmarshal(b, &packed); err != nil {
		return nil, errors.Wrap(err, "messenger: not a packed message")
	}
	out, err := unpacker.DecodeAll(packed, nil)
	return out, errors.Wrap(err, "messenger: not a packed message")
}
