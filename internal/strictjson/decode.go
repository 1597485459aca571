// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package strictjson decodes JSON with comments into Go values and reports all
// errors in the text, each with its line, instead of only the first.
//
// # Usage
//
//	src, faults := strictjson.Decode(data, &settings)
//	if len(faults) > 0 { ... }
//	line := src.Line("/Workspaces/3/Name")
//
// Unknown names, duplicate names, wrong types and values that the target type
// rejects are faults. Names are case-sensitive.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Fault is an error in a text.
type Fault struct {
	Line    int    // Line counts from 1; 0 means unknown.
	Pointer string // Pointer is an RFC 6901 JSON pointer.
	Message string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Pointer, f.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Pointer, f.Message)
}

// Source maps the values of a decoded text to lines.
type Source struct {
	data []byte
	root hujson.Value
}

// Line returns the line of the value at an RFC 6901 JSON pointer, or of its
// nearest existing ancestor.
func (s *Source) Line(pointer string) int {
	if s == nil {
		return 0
	}
	for {
		if v := s.root.Find(pointer); v != nil {
			return lineAt(s.data, v.StartOffset)
		}
		i := strings.LastIndexByte(pointer, '/')
		if i < 0 {
			return 1
		}
		pointer = pointer[:i]
	}
}

func lineAt(data []byte, offset int) int {
	return 1 + bytes.Count(data[:min(offset, len(data))], []byte{'\n'})
}

var (
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
)

type decoder struct {
	data   []byte
	faults []Fault
}

// Decode decodes data into dst, a non-nil pointer to a struct, and returns all
// faults in line order. Fields without faults are set.
func Decode(data []byte, dst any) (*Source, []Fault) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, []Fault{{Line: errorLine(err), Pointer: "", Message: err.Error()}}
	}
	d := &decoder{data: data}
	d.value("", &root, reflect.ValueOf(dst).Elem())
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Line < d.faults[j].Line })
	return &Source{data: data, root: root}, d.faults
}

// errorLine returns the line of a syntax error, whose text begins
// "hujson: line N, column M".
func errorLine(err error) int {
	var line, column int
	if _, e := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &column); e != nil {
		return 0
	}
	return line
}

func (d *decoder) fault(pointer string, v *hujson.Value, format string, args ...any) {
	d.faults = append(d.faults, Fault{
		Line:    lineAt(d.data, v.StartOffset),
		Pointer: pointer,
		Message: fmt.Sprintf(format, args...),
	})
}

func (d *decoder) value(pointer string, v *hujson.Value, dst reflect.Value) {
	t := dst.Type()
	if t.Kind() == reflect.Pointer {
		dst.Set(reflect.New(t.Elem()))
		d.value(pointer, v, dst.Elem())
		return
	}
	if reflect.PointerTo(t).Implements(textUnmarshaler) || reflect.PointerTo(t).Implements(jsonUnmarshaler) {
		d.leaf(pointer, v, dst)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		d.object(pointer, v, dst)
	case reflect.Slice:
		d.array(pointer, v, dst)
	default:
		d.leaf(pointer, v, dst)
	}
}

func (d *decoder) object(pointer string, v *hujson.Value, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(pointer, v, "want an object")
		return
	}
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		at := pointer + "/" + escape(name)
		if seen[name] {
			d.fault(at, &m.Name, "duplicate name")
			continue
		}
		seen[name] = true
		field := dst.FieldByName(name)
		if !field.IsValid() {
			d.fault(at, &m.Name, "unknown name")
			continue
		}
		d.value(at, &m.Value, field)
	}
}

func (d *decoder) array(pointer string, v *hujson.Value, dst reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fault(pointer, v, "want an array")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements)))
	for i := range arr.Elements {
		d.value(pointer+"/"+strconv.Itoa(i), &arr.Elements[i], dst.Index(i))
	}
}

func (d *decoder) leaf(pointer string, v *hujson.Value, dst reflect.Value) {
	std := v.Clone()
	std.Standardize()
	std.BeforeExtra, std.AfterExtra = nil, nil
	if err := json.Unmarshal(std.Pack(), dst.Addr().Interface()); err != nil {
		d.fault(pointer, v, "%s", leafMessage(err))
	}
}

func leafMessage(err error) string {
	if te, ok := err.(*json.UnmarshalTypeError); ok {
		return fmt.Sprintf("want %s, got %s", te.Type, te.Value)
	}
	return strings.TrimPrefix(err.Error(), "duration: ")
}

var escaper = strings.NewReplacer("~", "~0", "/", "~1")

func escape(name string) string { return escaper.Replace(name) }
