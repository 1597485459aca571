// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package configurer holds the configuration document of a deployment: its
// types, its validation, changes to it as deltas on a named base revision, and
// the fold by which every host agrees on the revision in force.
//
// # Usage
//
//	doc, faults := configurer.Parse(text)
//	if len(faults) > 0 {
//		return faults // every fault, each with its line
//	}
//	delta, err := configurer.NewDelta(state.Current, doc, "operator")
//
// A delta is an RFC 7386 merge patch on the canonical form with the digest of
// the result. The fold applies it only when its base is the revision in force,
// so that of two operators who race exactly one wins, on every host alike.
package configurer
