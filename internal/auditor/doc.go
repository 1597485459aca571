// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package auditor checks, from what upstreams have recorded, whether hosts obey what upstreams say of
// themselves in their answers.
//
// An upstream may declare the rate of requests that it accepts of all hosts together. Hosts that have
// had such an answer for TellTime are bound by it: in any RateWindow that begins Settle or later after
// the first declaration, they may send RateFactor times what the rate allows and RateSlack requests
// more. A fault of a host excuses it until it has had another such answer after the fault.
//
// An upstream may say that it is leaving: a host that has had such an answer forwards no request there
// that its caller sent later than Drain after it. Only a restart or a pause of the host excuses it.
//
// An upstream that refuses a request may ask its host for rest: from TellTime after that to the end of
// the rest, the host sends it at most MaxRestArrivals requests.
//
// A pause of an upstream delays what it reads and writes. A request counts only if it breaks a rule wherever in
// the pause it arrived.
//
// # Usage
//
//	a := auditor.New(auditor.Options{Settle: 3 * time.Second})
//	a.Declare("engine-1", at, 2.7)
//	a.Told("engine-1", "host-1", at)
//	a.ToldLeaving("engine-1", "host-1", at)
//	a.ToldRest("engine-1", "host-1", at, 3*time.Second)
//	a.Arrived("engine-1", "host-1", sent, at)
//	a.Excuse("host-1", from, to)
//	a.Pause("engine-1", from, to)
//	for _, violation := range a.Violations() { ... }
package auditor
