// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package pricer decides whether an engine fetches a part of a prompt or prefills it.
//
// It addresses links and stores that are slower than a prefill: without it, requests under load wait for
// transfers of short parts that their engines would have prefilled sooner.
//
// # Usage
//
//	d := pricer.Decide(pricer.Part{Tokens: 500, Fetch: fetch, Prefill: prefill, Source: true})
//	if d.Fetch { ... }
package pricer
