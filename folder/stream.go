// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package folder

import (
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/internal/codec"
)

// State is folded from the entries of a stream. Apply must depend on nothing
// but the state and its arguments.
type State interface {
	// Apply changes the state by one entry.
	Apply(at Position, writer string, e Entry)
	// EncodeState returns the whole state.
	EncodeState() []byte
	// DecodeState replaces the state.
	DecodeState(b []byte) error
}

// Checkpoint is the whole state of a stream's fold up to an offset.
type Checkpoint struct {
	Covers  uint64 // Covers is the first offset that is not part of the state.
	Writers map[string]writerMark
	State   []byte // State is compressed by zstd.
}

// writerMark remembers the last record of a writer.
type writerMark struct {
	Sequence uint64
	Time     time.Time
}

// Applied is a record that was fed and counted.
type Applied struct {
	Position
	Record
}

// Stream folds one stream. It is not safe for concurrent use.
type Stream struct {
	name    string
	state   State
	next    uint64
	writers map[string]writerMark
	started bool // started is set once the state is founded on offset 0 or a checkpoint.
	ready   bool // ready is set once the state has reached the head seen at some read.
	waiting []Raw
	last    time.Time
}

// maxStateBytes bounds a decompressed checkpoint.
const maxStateBytes = 256 << 20

// NewStream returns a fold that has read nothing.
func NewStream(name string, state State) *Stream {
	return &Stream{name: name, state: state, writers: make(map[string]writerMark)}
}

// Name returns the name of the stream.
func (s *Stream) Name() string { return s.name }

// Next returns the offset from which to read next.
func (s *Stream) Next() uint64 { return s.next }

// Ready reports whether the state has caught up with the log once.
func (s *Stream) Ready() bool { return s.ready }

// LastTime returns the log's time of the newest record applied.
func (s *Stream) LastTime() time.Time { return s.last }

// Feed applies a page and returns the records that counted. Records below
// Next are ignored, so that a page may be fed twice.
func (s *Stream) Feed(p Page) []Applied {
	s.found(p)
	var out []Applied
	for _, raw := range p.Records {
		if raw.Offset < s.next {
			continue
		}
		if !s.started {
			out = append(out, s.feedUnfounded(raw)...)
			continue
		}
		out = s.apply(out, raw)
	}
	if s.started && s.next >= p.Next {
		s.ready = true
	}
	return out
}

// found decides where the state begins. A stream whose first record is still
// kept begins empty; a gap left by expired records makes the state unusable
// until a checkpoint is read.
func (s *Stream) found(p Page) {
	switch {
	case !s.started && p.Earliest == 0:
		s.started = true
	case p.Earliest > s.next:
		s.started = false
		s.waiting = nil
		s.next = p.Earliest
	}
}

// feedUnfounded keeps a record until a checkpoint tells where to begin.
func (s *Stream) feedUnfounded(raw Raw) []Applied {
	s.next = raw.Offset + 1
	s.waiting = append(s.waiting, raw)
	cp, ok := findCheckpoint(raw)
	if !ok || cp.Covers < s.waiting[0].Offset {
		return nil
	}
	if err := s.restore(cp); err != nil {
		return nil
	}
	waiting := s.waiting
	s.waiting = nil
	var out []Applied
	for _, w := range waiting {
		if w.Offset >= cp.Covers {
			out = s.apply(out, w)
		}
	}
	return out
}

func findCheckpoint(raw Raw) (Checkpoint, bool) {
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

func (s *Stream) apply(out []Applied, raw Raw) []Applied {
	s.next = raw.Offset + 1
	r, err := DecodeRecord(raw.Body)
	if err != nil {
		return out
	}
	if r.Sequence <= s.writers[r.Writer].Sequence {
		return out
	}
	s.writers[r.Writer] = writerMark{Sequence: r.Sequence, Time: raw.Time}
	s.last = raw.Time
	at := Position{Offset: raw.Offset, Time: raw.Time}
	for _, e := range r.Entries {
		if e.Kind != KindCheckpoint {
			s.state.Apply(at, r.Writer, e)
		}
	}
	return append(out, Applied{Position: at, Record: r})
}

// Checkpoint returns the state as an entry to append. Writers without a
// record in the last forget are left out; a second copy of their records can
// only arrive later than that if the log delays an append for as long.
func (s *Stream) Checkpoint(forget time.Duration) Entry {
	return NewEntry(KindCheckpoint, s.Snapshot(forget))
}

// Snapshot returns the state for a peer that cannot read the log.
func (s *Stream) Snapshot(forget time.Duration) Checkpoint {
	cp := Checkpoint{Covers: s.next, Writers: make(map[string]writerMark), State: compress(s.state.EncodeState())}
	for w, m := range s.writers {
		if s.last.Sub(m.Time) <= forget {
			cp.Writers[w] = m
		}
	}
	return cp
}

// Adopt takes a peer's snapshot if it is ahead of what this fold has, and
// reports whether it did. A fold never goes back.
func (s *Stream) Adopt(cp Checkpoint) bool {
	if s.ready && cp.Covers <= s.next {
		return false
	}
	if cp.Covers < s.next && s.started {
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
		return errors.Wrapf(err, "folder: checkpoint of %s", s.name)
	}
	s.started = true
	s.writers = make(map[string]writerMark, len(cp.Writers))
	for w, m := range cp.Writers {
		s.writers[w] = m
	}
	return nil
}

func compress(b []byte) []byte {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic("folder: " + err.Error())
	}
	defer enc.Close()
	return enc.EncodeAll(b, nil)
}

func decompress(b []byte) ([]byte, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxStateBytes))
	if err != nil {
		panic("folder: " + err.Error())
	}
	defer dec.Close()
	out, err := dec.DecodeAll(b, nil)
	return out, errors.Wrap(err, "folder: checkpoint is damaged")
}

// EncodeCBOR is the usual body of State.EncodeState.
func EncodeCBOR(v any) []byte {
	b, err := codec.Marshal(v)
	if err != nil {
		panic("folder: state cannot be encoded: " + err.Error())
	}
	return b
}

// DecodeCBOR is the usual body of State.DecodeState.
func DecodeCBOR(b []byte, dst any) error {
	return errors.Wrap(codec.Unmarshal(b, dst), "folder: state cannot be decoded")
}
