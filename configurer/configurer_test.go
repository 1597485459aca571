// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package configurer

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/replayer"
)

// examples returns the documents in the examples directory.
func examples(t testing.TB) map[string][]byte {
	t.Helper()
	files, err := filepath.Glob("../examples/*/configuration.jsonc")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	out := make(map[string][]byte)
	for _, f := range files {
		b, err := os.ReadFile(f)
		assert.NilError(t, err)
		out[f] = b
	}
	return out
}

// validDocument returns one of the examples.
func validDocument(t testing.TB) *Document {
	t.Helper()
	for _, text := range examples(t) {
		d, faults := Parse(text)
		assert.Equal(t, len(faults), 0, "%v", faults)
		return d
	}
	return nil
}

func TestFaultLines(t *testing.T) {
	text := "{\n\"Classes\": [{\"Name\": \"a\", \"Weight\": 0, \"Deadline\": \"1s\"}],\n\"Workspaces\": [{\"Name\": \"w\",\n \"Classes\": [\"b\"], \"Weight\": 1, \"RequestsPerSecond\": 1, \"Burst\": 1, \"Concurrency\": 1}],\n\"Routing\": {\"Time\": 1}, \"Retry\": {\"Attempts\": 99}\n}"
	_, faults := Parse([]byte(text))
	var got []string
	for _, f := range faults {
		got = append(got, f.String())
	}
	all := strings.Join(got, "\n")
	for _, want := range []string{
		"line 2: /Classes/0/Weight: want more than 0",
		"line 4: /Workspaces/0/Classes/0: no class \"b\"",
		"line 5: /Retry/Attempts: want 1 to 10",
		"/Claims/Window: want more than 0",
	} {
		assert.Assert(t, strings.Contains(all, want), "%s is missing in:\n%s", want, all)
	}
}

// TestDeltaSize guards against entries that grow with the document: a change of one workspace
// of 4,700 must have a small patch.
func TestDeltaSize(t *testing.T) {
	d := *validDocument(t)
	base := d.Workspaces[0]
	d.Workspaces = nil
	for i := range 4700 {
		w := base
		w.Name, w.TokenDigests = "w-"+strconv.Itoa(i), nil
		d.Workspaces = append(d.Workspaces, w)
	}
	next := d
	next.Workspaces = append([]Workspace(nil), d.Workspaces...)
	next.Workspaces[4000].Burst += 7
	delta, err := NewDelta("id", "author", 1, &d, &next)
	assert.NilError(t, err)
	assert.Assert(t, len(replayer.NewEntry(KindDelta, delta).Body) < 512)
	got, err := delta.ApplyTo(&d)
	assert.NilError(t, err)
	assert.Equal(t, got.Digest(), next.Digest())
	assert.Equal(t, len(Differences(&d, &next)), 1)
}

// TestConflictingDeltas checks that only the first of two deltas on the same base is accepted.
func TestConflictingDeltas(t *testing.T) {
	s := &State{}
	d := validDocument(t)
	apply := func(id string, base uint64, from, to *Document) Result {
		delta, err := NewDelta(id, "a", base, from, to)
		assert.NilError(t, err)
		s.Apply(replayer.Position{Offset: base}, "w", replayer.NewEntry(KindDelta, delta))
		r, ok := s.Result(id)
		assert.Assert(t, ok)
		return r
	}
	assert.Equal(t, apply("first", 0, nil, d).Fate, FateAccepted)
	left, right := *d, *d
	left.Retry.Attempts, right.Retry.BudgetShare = 5, 0.25
	assert.Equal(t, apply("left", 1, d, &left).Fate, FateAccepted)
	assert.Equal(t, apply("right", 1, d, &right).Fate, FateConflict)
	assert.Equal(t, s.Revision(), uint64(2))
	assert.Equal(t, apply("again", 2, &left, &left).Fate, FateAccepted)
	image := s.EncodeState()
	var restored State
	assert.NilError(t, restored.DecodeState(image))
	assert.DeepEqual(t, restored.EncodeState(), image)
}

// FuzzParse checks that Parse does not crash and that valid documents survive encoding.
func FuzzParse(f *testing.F) {
	for _, text := range examples(f) {
		f.Add(text)
	}
	f.Add([]byte("{"))
	f.Add([]byte(`{"Classes": [1, {}], "Routing": null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, faults := Parse(text)
		if len(faults) > 0 {
			return
		}
		again, faults := Parse(d.Encode())
		assert.Equal(t, len(faults), 0, "%v", faults)
		assert.Equal(t, again.Digest(), d.Digest())
	})
}

// FuzzPatch checks that arbitrary patches do not result in invalid documents.
func FuzzPatch(f *testing.F) {
	f.Add([]byte(`{"Retry":{"Attempts":2}}`))
	f.Add([]byte(`{"Workspaces":null}`))
	f.Add([]byte(`[]`))
	d := validDocument(f)
	f.Fuzz(func(t *testing.T, patch []byte) {
		if got, err := ApplyPatch(d, patch); err == nil {
			assert.Equal(t, len(got.Validate()), 0)
		}
	})
}

// BenchmarkApply4700 measures one change of a document with 4,700 workspaces.
func BenchmarkApply4700(b *testing.B) {
	d := *validDocument(b)
	base := d.Workspaces[0]
	for i := range 4700 {
		w := base
		w.Name, w.TokenDigests = "w-"+strconv.Itoa(i), nil
		d.Workspaces = append(d.Workspaces, w)
	}
	next := d
	next.Retry.Attempts = 7
	delta, err := NewDelta("id", "author", 1, &d, &next)
	assert.NilError(b, err)
	text, err := json.Marshal(d)
	assert.NilError(b, err)
	b.ReportMetric(float64(len(text)), "B/document")
	for b.Loop() {
		if _, err := delta.ApplyTo(&d); err != nil {
			b.Fatal(err)
		}
	}
}
