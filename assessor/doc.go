// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package assessor keeps the load that upstreams state of themselves in answers. It addresses upstreams
// whose pace changes many times a second and requests that other hosts have sent but not yet reported.
//
// # Usage
//
//	a := assessor.New(assessor.Options{Lists: lists})
//	urgent := a.Observe(now, instance, load, madeAt, assessor.Known{Requests: 3})
//	estimate = time.Duration(a.Pace(now, instance) * float64(estimate))
package assessor
