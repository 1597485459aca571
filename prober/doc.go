// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package prober decides whether a host reaches upstreams at all, from the outcomes of its new connections.
//
// A host is in one of three states:
//
//   - Reaching: connections are established, or nothing is known.
//   - Doubting: a connection failed, or no upstream has shown activity for a while although requests are in
//     progress. A few other upstreams are probed by new connections. One that is established ends the doubt.
//   - CutOff: connections to several upstreams failed and none was established since the doubt began.
//
// The failures must not be explained by less than a loss of this host's network: no single service and no single
// availability zone may have all of them, unless there is no other one. Upstreams that are silent on established
// connections and accept new ones are no evidence. A fleet with less than Options.MinFailed upstreams never counts
// as cut off, since the end of all of its upstreams looks the same.
//
// A host that is cut off probes upstreams of different services and zones. It returns after connections have
// succeeded for a while, which is longer after repeated cuts and differs between hosts, so that a series of short
// cuts does not make it change its state often and hosts do not return at once. A single failed upstream does not
// delay the return.
//
// The state of a host has an effect only while other hosts reach upstreams: its requests take a detour of one hop by
// way of those. A wrong state costs that detour, or the attempts at upstreams that are out of reach, and nothing else.
//
// # Usage
//
//	p := prober.New(prober.Options{Seed: seed})
//	p.Record(now, prober.Outcome{Address: address, Started: start, Cause: prober.CauseRefused})
//	step := p.Step(now, prober.Input{Upstreams: upstreams, Quiet: quiet, OthersReach: true})
//	for _, u := range step.Probes {
//		go connect(u) // and pass the outcome to ProbeEnded
//	}
//	if p.CutOff() {
//		// pass requests on to another host
//	}
//
// A Prober has no clock and does no I/O. It is not safe for concurrent use.
package prober
