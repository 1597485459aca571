// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package configurer

import (
	"time"

	"amaranthgate.example/amaranthgate/replayer"
)

// StreamName is the name of the stream of configuration changes in the log.
const StreamName = "Configuration"

// KindDelta is the kind of entries that hold a Delta.
const KindDelta replayer.Kind = "Delta"

// Fate is the status of a published change after it was read from the log.
type Fate string

// Fates of a change.
const (
	FateAccepted Fate = "Accepted"
	FateConflict Fate = "Conflict" // FateConflict means that the base was no longer in force.
	FateInvalid  Fate = "Invalid"  // FateInvalid means that the resulting document is invalid.
)

// Result is the result of a published change.
type Result struct {
	ID       string
	Author   string
	Base     uint64
	Fate     Fate
	Revision uint64 // Revision is the revision in force after the change was read.
	At       time.Time
	Detail   string
}

// maxResults bounds the number of retained results.
const maxResults = 256

// State holds the document in force and the results of the latest changes, computed from the
// stream of changes. It implements replayer.State. The zero value is revision 0 without a document.
type State struct {
	revision uint64
	document *Document
	results  []Result
}

type stateImage struct {
	Revision uint64
	Document []byte
	Results  []Result
}

// Revision returns the revision in force.
func (s *State) Revision() uint64 { return s.revision }

// Document returns the document in force, or nil. It must not be changed.
func (s *State) Document() *Document { return s.document }

// Results returns the results of the latest changes, oldest first.
func (s *State) Results() []Result { return s.results }

// Result returns the result of a change and reports whether it is known.
func (s *State) Result(id string) (Result, bool) {
	for i := len(s.results) - 1; i >= 0; i-- {
		if s.results[i].ID == id {
			return s.results[i], true
		}
	}
	return Result{}, false
}

// Apply implements replayer.State. It ignores duplicates of the latest changes.
func (s *State) Apply(at replayer.Position, _ string, e replayer.Entry) {
	var d Delta
	if e.Kind != KindDelta || !e.Decode(&d) {
		return
	}
	if _, duplicate := s.Result(d.ID); duplicate {
		return
	}
	r := Result{ID: d.ID, Author: d.Author, Base: d.Base, Revision: s.revision, At: at.Time}
	if d.Base != s.revision {
		r.Fate = FateConflict
	} else if doc, err := d.ApplyTo(s.document); err != nil {
		r.Fate, r.Detail = FateInvalid, err.Error()
	} else {
		s.revision++
		s.document = doc
		r.Fate, r.Revision = FateAccepted, s.revision
	}
	s.results = append(s.results, r)
	if len(s.results) > maxResults {
		s.results = append([]Result(nil), s.results[len(s.results)-maxResults:]...)
	}
}

// EncodeState implements replayer.State.
func (s *State) EncodeState() []byte {
	img := stateImage{Revision: s.revision, Results: s.results}
	if s.document != nil {
		img.Document = s.document.keyed()
	}
	return replayer.EncodeCBOR(img)
}

// DecodeState implements replayer.State.
func (s *State) DecodeState(b []byte) error {
	var img stateImage
	if err := replayer.DecodeCBOR(b, &img); err != nil {
		return err
	}
	var doc *Document
	if len(img.Document) > 0 {
		d, err := fromKeyed(img.Document)
		if err != nil {
			return err
		}
		doc = d
	}
	s.revision, s.document, s.results = img.Revision, doc, img.Results
	return nil
}
