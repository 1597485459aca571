// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package configurer

import (
	"bytes"
	"encoding/json"
	"sort"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"
)

// Delta is a change of the document, as published on the platform's log.
type Delta struct {
	ID     string // ID identifies the change, to look up its result and to ignore duplicates.
	Author string
	Base   uint64 // Base is the revision to which the patch applies.
	Patch  []byte // Patch is an RFC 7386 merge patch on the keyed form.
	Digest string // Digest is the digest of the resulting document.
}

// keyedDocument is the keyed form of a document: its lists are objects keyed by name, so that a
// change of one element results in a small patch.
type keyedDocument struct {
	Classes    map[string]Class
	Workspaces map[string]Workspace
	Models     map[string]Model
	Services   map[string]Service
	Upstreams  map[string]Upstream
	Routing    RoutingWeights
	Retry      RetryPolicy
	Claims     ClaimPolicy
	Loads      LoadPolicy
}

func keyBy[T any](list []T, name func(*T) string) map[string]T {
	m := make(map[string]T, len(list))
	for i := range list {
		m[name(&list[i])] = list[i]
	}
	return m
}

func sortedBy[T any](m map[string]T, set func(*T, string)) []T {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	list := make([]T, len(names))
	for i, n := range names {
		list[i] = m[n]
		set(&list[i], n)
	}
	return list
}

// keyed returns the keyed form of d in JSON.
func (d *Document) keyed() []byte {
	k := keyedDocument{
		Classes:    keyBy(d.Classes, func(c *Class) string { return c.Name }),
		Workspaces: keyBy(d.Workspaces, func(w *Workspace) string { return w.Name }),
		Models:     keyBy(d.Models, func(m *Model) string { return m.Name }),
		Services:   keyBy(d.Services, func(s *Service) string { return s.Name }),
		Upstreams:  keyBy(d.Upstreams, func(u *Upstream) string { return u.Name }),
		Routing:    d.Routing,
		Retry:      d.Retry,
		Claims:     d.Claims,
		Loads:      d.Loads,
	}
	b, err := json.Marshal(k)
	if err != nil {
		panic("configurer: document cannot be encoded: " + err.Error())
	}
	return b
}

func fromKeyed(b []byte) (*Document, error) {
	var k keyedDocument
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&k); err != nil {
		return nil, errors.Wrap(err, "configurer: not a document")
	}
	return &Document{
		Classes:    sortedBy(k.Classes, func(c *Class, n string) { c.Name = n }),
		Workspaces: sortedBy(k.Workspaces, func(w *Workspace, n string) { w.Name = n }),
		Models:     sortedBy(k.Models, func(m *Model, n string) { m.Name = n }),
		Services:   sortedBy(k.Services, func(s *Service, n string) { s.Name = n }),
		Upstreams:  sortedBy(k.Upstreams, func(u *Upstream, n string) { u.Name = n }),
		Routing:    k.Routing,
		Retry:      k.Retry,
		Claims:     k.Claims,
		Loads:      k.Loads,
	}, nil
}

// NewDelta returns the change from a base document to another. The base document of revision 0
// is nil.
func NewDelta(id, author string, base uint64, from, to *Document) (Delta, error) {
	patch, err := jsonpatch.CreateMergePatch(keyedOrEmpty(from), to.keyed())
	if err != nil {
		return Delta{}, errors.Wrap(err, "configurer: delta")
	}
	return Delta{ID: id, Author: author, Base: base, Patch: patch, Digest: to.Digest()}, nil
}

func keyedOrEmpty(d *Document) []byte {
	if d == nil {
		return []byte("{}")
	}
	return d.keyed()
}

// ApplyTo returns the result of the change for its base document.
func (c Delta) ApplyTo(from *Document) (*Document, error) {
	to, err := ApplyPatch(from, c.Patch)
	if err != nil {
		return nil, err
	}
	if to.Digest() != c.Digest {
		return nil, errors.New("configurer: the digest does not fit")
	}
	return to, nil
}

// ApplyPatch applies a merge patch on the keyed form to a document and validates the result.
func ApplyPatch(from *Document, patch []byte) (*Document, error) {
	b, err := jsonpatch.MergePatch(keyedOrEmpty(from), patch)
	if err != nil {
		return nil, errors.Wrap(err, "configurer: patch")
	}
	to, err := fromKeyed(b)
	if err != nil {
		return nil, err
	}
	if faults := to.Validate(); len(faults) > 0 {
		return nil, errors.Errorf("configurer: %s", faults[0])
	}
	return to, nil
}
