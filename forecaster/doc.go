// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package forecaster forecasts how long requests wait when more arrive than upstreams can serve, so that
// those that cannot start before their deadline are refused at once instead of being held until it. It
// measures the rates at which the requests of each class enter and start over all hosts while the class
// waits, and the time from the start of a request to its first byte.
//
// # Usage
//
//	f := forecaster.New(forecaster.Options{})
//	f.Entered(now, key)
//	j := f.Judge(now, key, forecaster.Question{OnTimeAhead: 3, Due: due, Latest: latest})
//	if j.Hopeless { ... f.RetryAfter(now, key, latest) ... }
//
// A Forecaster reads no clock and takes no lock. The requests ahead are counted by its user, package
// scheduler.
package forecaster
