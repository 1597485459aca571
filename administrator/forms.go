// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package administrator

import (
	"encoding"
	"fmt"
	"net/http"
	"reflect"
	"strconv"
	"strings"

	"amaranthgate.example/amaranthgate/configurer"
)

// kind is a list of the document whose elements can be edited in forms.
type kind struct {
	Name  string // Name is the name of the list in the document.
	Title string
	Help  string
}

// kinds holds the editable lists in the order of the menu.
var kinds = []kind{
	{Name: "Workspaces", Title: "Workspaces", Help: "Customers, their tokens, classes and limits over all hosts."},
	{Name: "Classes", Title: "Priority classes", Help: "Rank 0 is the most urgent. Reserved is the share of slots kept free for the class and more urgent ones."},
	{Name: "Models", Title: "Model versions", Help: "The weight version that new requests use."},
	{Name: "Services", Title: "Plain services", Help: "Whether their calls may be repeated."},
	{Name: "Upstreams", Title: "Upstreams", Help: "Engines and services, and whether they refuse orders with an old fencing number."},
}

func kindOf(name string) (kind, bool) {
	for _, k := range kinds {
		if k.Name == name {
			return k, true
		}
	}
	return kind{}, false
}

// items returns the list in a document as a reflected slice.
func (k kind) items(d *configurer.Document) reflect.Value {
	return reflect.ValueOf(d).Elem().FieldByName(k.Name)
}

// indexOf returns the index of an element by name, or -1.
func (k kind) indexOf(d *configurer.Document, name string) int {
	list := k.items(d)
	for i := range list.Len() {
		if list.Index(i).FieldByName("Name").String() == name {
			return i
		}
	}
	return -1
}

// field is one input of a form.
type field struct {
	Name    string
	Value   string
	Lines   bool // Lines is set for a list, which has one element per line in Value.
	Check   bool // Check is set for a checkbox.
	Checked bool
}

// fields returns the inputs for an element.
func fields(v reflect.Value) []field {
	var out []field
	for i := range v.NumField() {
		f := v.Type().Field(i)
		switch v.Field(i).Kind() {
		case reflect.Pointer, reflect.Struct:
			continue // Can be edited only in the whole document.
		case reflect.Bool:
			out = append(out, field{Name: f.Name, Check: true, Checked: v.Field(i).Bool()})
		case reflect.Slice:
			out = append(out, field{Name: f.Name, Lines: true, Value: strings.Join(v.Field(i).Interface().([]string), "\n")})
		default:
			out = append(out, field{Name: f.Name, Value: fmt.Sprint(v.Field(i).Interface())})
		}
	}
	return out
}

// setFields sets the fields of an element from the inputs of a form and returns the faults.
func setFields(v reflect.Value, r *http.Request) []string {
	var faults []string
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		text := strings.TrimSpace(r.FormValue(name))
		if err := setField(v.Field(i), text); err != nil {
			faults = append(faults, fmt.Sprintf("%s: %v", name, err))
		}
	}
	return faults
}

func setField(v reflect.Value, text string) error {
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return t.UnmarshalText([]byte(text))
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		v.SetBool(text == "true")
	case reflect.Int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("want a whole number, got %q", text)
		}
		v.SetInt(int64(n))
	case reflect.Float64:
		if text == "" {
			text = "0"
		}
		f, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("want a number, got %q", text)
		}
		v.SetFloat(f)
	case reflect.Slice:
		v.Set(reflect.ValueOf(lines(text)))
	}
	return nil
}

// lines returns the non-empty lines of a text without surrounding white space.
func lines(text string) []string {
	var out []string
	for _, l := range strings.Split(text, "\n") {
		if l = strings.TrimSpace(l); l != "" {
			out = append(out, l)
		}
	}
	return out
}

// apply returns a copy of a document in which the form's element is replaced, added or removed.
func (k kind) apply(d *configurer.Document, r *http.Request) (*configurer.Document, []string) {
	c := *d
	old := k.items(d)
	list := reflect.MakeSlice(old.Type(), old.Len(), old.Len()+1)
	reflect.Copy(list, old)
	index := k.indexOf(d, r.FormValue("Element"))
	if r.FormValue("Remove") == "true" {
		if index < 0 {
			return nil, []string{"there is no such element"}
		}
		list = reflect.AppendSlice(list.Slice(0, index), list.Slice(index+1, list.Len()))
		k.items(&c).Set(list)
		return &c, nil
	}
	if index < 0 {
		index = list.Len()
		list = reflect.Append(list, reflect.New(old.Type().Elem()).Elem())
	}
	element := list.Index(index)
	if faults := setFields(element, r); len(faults) > 0 {
		return nil, faults
	}
	addToken(element, r.FormValue("NewToken"))
	k.items(&c).Set(list)
	return &c, nil
}

// addToken adds the digest of a new token to a workspace. The token itself is not stored.
func addToken(element reflect.Value, token string) {
	if token == "" {
		return
	}
	w, ok := element.Addr().Interface().(*configurer.Workspace)
	if !ok {
		return
	}
	w.TokenDigests = append(append([]string(nil), w.TokenDigests...), configurer.TokenDigest(token))
}

type listPage struct {
	Kind  kind
	Names []string
}

func (a *Administrator) list(w http.ResponseWriter, r *http.Request) {
	k, ok := kindOf(r.PathValue("kind"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	p := listPage{Kind: k}
	if doc := a.opts.Control.Current().Document; doc != nil {
		items := k.items(doc)
		for i := range items.Len() {
			p.Names = append(p.Names, items.Index(i).FieldByName("Name").String())
		}
	}
	a.render(w, r, http.StatusOK, "list.html", k.Title, p)
}

type editPage struct {
	Kind    kind
	Element string // Element is the name of the element; empty for a new one.
	Base    uint64
	Fields  []field
	Tokens  bool // Tokens reports whether a token can be added.
}

func (a *Administrator) edit(w http.ResponseWriter, r *http.Request) {
	k, ok := kindOf(r.PathValue("kind"))
	cur := a.opts.Control.Current()
	if !ok || cur.Document == nil {
		http.NotFound(w, r)
		return
	}
	p := editPage{Kind: k, Element: r.FormValue("Name"), Base: cur.Revision, Tokens: k.Name == "Workspaces"}
	list := k.items(cur.Document)
	if index := k.indexOf(cur.Document, p.Element); index >= 0 {
		p.Fields = fields(list.Index(index))
	} else {
		p.Element = ""
		p.Fields = fields(reflect.New(list.Type().Elem()).Elem())
	}
	a.render(w, r, http.StatusOK, "edit.html", k.Title, p)
}
