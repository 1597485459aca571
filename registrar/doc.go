// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package registrar remembers at which software version of a service each stream began.
//
// What upstreams of different software versions write does not fit together, and upstreams do not check it.
// A stream may therefore go on only at the version that began it, also when its caller takes it up at another
// host. Versions have no order, and which of them serve says nothing about where a stream began: it is known
// from a record or it is not known.
//
// The host that sends a caller the first event of a stream records it and tells two other hosts, its keepers:
// the first in rendezvous order for the stream, and the first of them in another availability zone. A host
// that lacks the record asks the first two hosts of each availability zone in that order, which include the
// keepers unless the hosts' views of the fleet differ much. It also asks hosts that are about to end or
// suspected, without waiting for them. The cost of a stream does not grow with the
// number of hosts. A record outlives its stream's deadline by ResumeTime. It is lost if its host and both
// keepers end within that time.
//
// A question may overtake the record that it asks for, so that hosts are asked again for a short time before
// the stream counts as unknown. If hosts report different versions for a stream, it counts as unknown too.
//
// A stream is named by its workspace and the ID of the request that brought its first event, so that a
// workspace learns nothing of the streams of another.
//
// # Usage
//
//	r := registrar.New(registrar.Options{Host: "host-1", Timer: timer.NewSystem(), Due: wakeSender})
//	r.SetHosts(hosts)
//	key := registrar.KeyOf("workspace", requestID)
//	r.Record(key, registrar.Origin{Service: "engines", Software: "v1"}, deadline)
//	if f := r.Find(ctx, key); f.Known {
//		// go on at f.Origin
//	}
//	for _, m := range r.Take() {
//		// send m.Message to the host m.To, which calls Receive
//	}
package registrar
