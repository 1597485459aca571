// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package configurer defines the configuration document of a deployment, its validation and
// its changes, and computes the revision in force from the stream of changes.
//
// # Usage
//
//	doc, faults := configurer.Parse(text)
//	if len(faults) > 0 {
//		return faults // every fault, each with its line
//	}
//	delta, err := configurer.NewDelta(id, "operator", state.Revision(), state.Document(), doc)
//
// A delta is an RFC 7386 merge patch on the keyed form of a document, with the digest of the
// result. State applies it only if its base is the revision in force, so that of concurrent
// changes the first in the log is accepted and the others conflict, on all hosts.
package configurer
