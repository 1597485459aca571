// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package replayer

import (
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/internal/codec"
)

// State is computed from the entries of a stream. Apply must be deterministic: it may depend
// only on the state and its arguments.
type State interface {
	// Apply applies one entry.
	Apply(at Position, writer string, e Entry)
	// EncodeState returns the encoded state.
	EncodeState() []byte
	// DecodeState replaces the state by a decoded one.
	DecodeState(b []byte) error
}

// Checkpoint is the whole state of a stream up to an offset.
type Checkpoint struct {
	Covers  uint64 // Covers is the first offset that is not included in the state.
	Writers map[string]lastRecord
	State   []byte // State is the encoded state, compressed with zstd.
}

// lastRecord identifies the last applied record of a writer.
type lastRecord struct {
	Sequence uint64
	Time     time.Time
}

// Applied is a record that was applied, so not a duplicate.
type Applied struct {
	Position
	Record
}

// Stream applies the records of one stream to a state. It is not safe for concurrent use.
type Stream struct {
	name        string
	state       State
	next        uint64
	writers     map[string]lastRecord
	initialized bool // initialized is set once the state begins at offset 0 or at a checkpoint.
	ready       bool // ready is set once the state has reached the end of the log as of some read.
	buffered    []RawRecord
	lastTime    time.Time
}

// maxStateBytes bounds the memory to decompress a checkpoint.
const maxStateBytes = 256 << 20

// NewStream returns a stream that has applied no records yet.
func NewStream(name string, state State) *Stream {
	return &Stream{name: name, state: state, writers: make(map[string]lastRecord)}
}

// Name returns the name of the stream.
func (s *Stream) Name() string { return s.name }

// Next returns the offset of the next record to read.
func (s *Stream) Next() uint64 { return s.next }

// Ready reports whether the state has caught up with the log at least once.
func (s *Stream) Ready() bool { return s.ready }

// LastTime returns the append time of the last applied record, by the log's clock.
func (s *Stream) LastTime() time.Time { return s.lastTime }

// Feed applies the records of a page and returns those that are not duplicates. It ignores
// records below Next, so that a page may be fed twice.
func (s *Stream) Feed(p Page) []Applied {
	s.locateStart(p)
	var out []Applied
	for _, raw := range p.Records {
		if raw.Offset < s.next {
			continue
		}
		if !s.initialized {
			out = append(out, s.bufferUntilCheckpoint(raw)...)
			continue
		}
		out = s.apply(out, raw)
	}
	if s.initialized && s.next >= p.Next {
		s.ready = true
	}
	return out
}

// locateStart determines where the state begins. It begins empty if the log retains the first
// record. Records that expired before they were read invalidate it until a checkpoint is read.
func (s *Stream) locateStart(p Page) {
	switch {
	case !s.initialized && p.Earliest == 0:
		s.initialized = true
	case p.Earliest > s.next:
		s.initialized = false
		s.buffered = nil
		s.next = p.Earliest
	}
}

// bufferUntilCheckpoint buffers a record. When the record holds a checkpoint that covers all
// offsets before the buffer, it restores the checkpoint and applies the records after it.
func (s *Stream) bufferUntilCheckpoint(raw RawRecord) []Applied {
	s.next = raw.Offset + 1
	s.buffered = append(s.buffered, raw)
	cp, ok := findCheckpoint(raw)
	if !ok || cp.Covers < s.buffered[0].Offset {
		return nil
	}
	if err := s.restore(cp); err != nil {
		return nil
	}
	buffered := s.buffered
	s.buffered = nil
	var out []Applied
	for _, w := range buffered {
		if w.Offset >= cp.Covers {
			out = s.apply(out, w)
		}
	}
	return out
}

func findCheckpoint(raw RawRecord) (Checkpoint, bool) {
	r, err := DecodeRecord(raw.Body)
	if err != nil {
		return Checkpoint{}, false
	}
	for _, e := range r.Entries {
		var cp Checkpoint
		if e.Kind == KindCheckpoint && e.Decode(&cp) && cp.Covers <= raw.Offset {
			return cp, true
		}
	}
	return Checkpoint{}, false
}

func (s *Stream) apply(out []Applied, raw RawRecord) []Applied {
	s.next = raw.Offset + 1
	r, err := DecodeRecord(raw.Body)
	if err != nil {
		return out
	}
	if r.Sequence <= s.writers[r.Writer].Sequence {
		return out
	}
	s.writers[r.Writer] = lastRecord{Sequence: r.Sequence, Time: raw.Time}
	s.lastTime = raw.Time
	at := Position{Offset: raw.Offset, Time: raw.Time}
	for _, e := range r.Entries {
		if e.Kind != KindCheckpoint {
			s.state.Apply(at, r.Writer, e)
		}
	}
	return append(out, Applied{Position: at, Record: r})
}

// Checkpoint returns a checkpoint entry to append. It omits writers without a record within the
// retention time; the log must not delay an append for longer, or a duplicate could be applied.
func (s *Stream) Checkpoint(retention time.Duration) Entry {
	return NewEntry(KindCheckpoint, s.Snapshot(retention))
}

// Snapshot returns the state for a host that cannot read the log. Writers without a record
// within the retention time are omitted.
func (s *Stream) Snapshot(retention time.Duration) Checkpoint {
	cp := Checkpoint{Covers: s.next, Writers: make(map[string]lastRecord), State: compress(s.state.EncodeState())}
	for w, m := range s.writers {
		if s.lastTime.Sub(m.Time) <= retention {
			cp.Writers[w] = m
		}
	}
	return cp
}

// Adopt installs another host's snapshot if it is ahead of the state, and reports whether it
// did. It never moves the state back to a lower offset.
func (s *Stream) Adopt(cp Checkpoint) bool {
	if s.ready && cp.Covers <= s.next {
		return false
	}
	if cp.Covers < s.next && s.initialized {
		return false
	}
	if err := s.restore(cp); err != nil {
		return false
	}
	s.next = cp.Covers
	s.ready = true
	return true
}

func (s *Stream) restore(cp Checkpoint) error {
	state, err := decompress(cp.State)
	if err != nil {
		return err
	}
	if err := s.state.DecodeState(state); err != nil {
		return errors.Wrapf(err, "replayer: restoring a checkpoint of stream %s", s.name)
	}
	s.initialized = true
	s.writers = make(map[string]lastRecord, len(cp.Writers))
	for w, m := range cp.Writers {
		s.writers[w] = m
	}
	return nil
}

func compress(b []byte) []byte {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic("replayer: " + err.Error())
	}
	defer enc.Close()
	return enc.EncodeAll(b, nil)
}

func decompress(b []byte) ([]byte, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxStateBytes))
	if err != nil {
		panic("replayer: " + err.Error())
	}
	defer dec.Close()
	out, err := dec.DecodeAll(b, nil)
	return out, errors.Wrap(err, "replayer: decompressing a checkpoint")
}

// EncodeCBOR encodes a state in CBOR, for implementations of State.EncodeState. It panics if v
// cannot be encoded.
func EncodeCBOR(v any) []byte {
	b, err := codec.Marshal(v)
	if err != nil {
		panic("replayer: encoding a state: " + err.Error())
	}
	return b
}

// DecodeCBOR decodes the result of EncodeCBOR, for implementations of State.DecodeState.
func DecodeCBOR(b []byte, dst any) error {
	return errors.Wrap(codec.Unmarshal(b, dst), "replayer: decoding a state")
}
