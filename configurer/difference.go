// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package configurer

import (
	"encoding/json"
	"reflect"
	"sort"
)

// Difference is a value that differs between two documents.
type Difference struct {
	Path string // Path is an RFC 6901 pointer into the keyed form.
	From string // From is the old value in JSON; empty if there was none.
	To   string // To is the new value in JSON; empty if there is none.
}

// Differences returns the differences between two documents, sorted by path. A nil document is
// empty.
func Differences(from, to *Document) []Difference {
	var a, b any
	decodeKeyed(from, &a)
	decodeKeyed(to, &b)
	var out []Difference
	compare(&out, "", a, b)
	sort.Slice(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out
}

func decodeKeyed(d *Document, dst *any) {
	if err := json.Unmarshal(keyedOrEmpty(d), dst); err != nil {
		panic("configurer: " + err.Error())
	}
}

func compare(out *[]Difference, path string, a, b any) {
	am, aok := a.(map[string]any)
	bm, bok := b.(map[string]any)
	if !aok || !bok {
		if !reflect.DeepEqual(a, b) {
			*out = append(*out, Difference{Path: path, From: encodeValue(a), To: encodeValue(b)})
		}
		return
	}
	names := make(map[string]bool)
	for n := range am {
		names[n] = true
	}
	for n := range bm {
		names[n] = true
	}
	for n := range names {
		compare(out, path+"/"+n, am[n], bm[n])
	}
}

func encodeValue(v any) string {
	if v == nil {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic("configurer: " + err.Error())
	}
	return string(b)
}
