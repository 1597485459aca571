// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package messenger

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/internal/codec"
)

const (
	// minCompressedBytes is the length from which messages are compressed. Listings of upstreams
	// are longer and compress well, 900 kB of 3,000 upstreams to 40 kB;
	// frequent short messages such as load reports are not worth it.
	minCompressedBytes = 8 << 10
	// compressionWindow, in bytes, bounds the encoder's memory. Similar entries of a listing lie
	// much closer together.
	compressionWindow = 128 << 10
	// compressedMajorType is the CBOR major type of a compressed message, a byte string. Other
	// messages are maps. The major type is in the first byte, from majorTypeShift on.
	compressedMajorType = 2
	majorTypeShift      = 5
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(compressionWindow))
	if err != nil {
		panic("messenger: " + err.Error())
	}
	return e
}

func newDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxMessageBytes))
	if err != nil {
		panic("messenger: " + err.Error())
	}
	return d
}

// compress compresses b and wraps it in a CBOR byte string if it is long enough.
func compress(b []byte) ([]byte, error) {
	if len(b) < minCompressedBytes {
		return b, nil
	}
	return codec.Marshal(encoder.EncodeAll(b, nil))
}

// decompress reverses compress.
func decompress(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0]>>majorTypeShift != compressedMajorType {
		return b, nil
	}
	var compressed []byte
	if err := codec.Unmarshal(b, &compressed); err != nil {
		return nil, errors.Wrap(err, "messenger: compressed message cannot be decoded")
	}
	out, err := decoder.DecodeAll(compressed, nil)
	return out, errors.Wrap(err, "messenger: message cannot be decompressed")
}
