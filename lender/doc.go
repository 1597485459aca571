// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package lender divides the slots of brittle upstreams among hosts, and lends those that their owners do not use.
//
// A brittle upstream ends if it refuses too many requests in a second, so that all hosts together must not send more
// than it has slots. Each host works out from the owners that it counts which of them have the slots of an upstream:
// they are dealt out in rendezvous order for its instance, one to each of the first owners if there are more of them
// than slots. A request needs a slot from when it is sent until it has been answered: one that its host owns, or one
// that the owner has lent for it.
//
// # Sum
//
// While all hosts count the same owners, the parts of the owners add up to the slots. An owner lends no more than its
// part leaves beside its own requests, and counts a loan until its borrower says that it no longer has it, has started
// anew, or has been silent for loanTTL. A borrower starts no request on a loan that is older than grantTTL or has been
// returned. So no more requests are in flight than there are slots, for any number of hosts. A host that has started
// anew learns from the borrowers what its earlier start had lent.
//
// Views differ while hosts come and go. A part that shrinks does so at once, and one that grows does so gainDelay after
// that, by when all hosts know. Hosts should stay known for a time after they were last heard, so that parts do not
// move where hosts are only slow. A host that has stood still for stallTime owns nothing until gainDelay later. The parts of
// hosts that are missing go to others one slot after the other, since the missing hosts may go on, as may requests on
// slots that they had lent: refusalShare of the refusals that the upstream bears in a second can be caused so by hosts
// that hear each other. The owner of a slot on which a request was refused leaves it unused for as many seconds as
// there are slots to each such refusal a second, so that all slots together are tried again as seldom.
//
// # Messages
//
// Hosts send each other messages. A message has all that its sender asks of the receiver and holds of it, and replaces
// earlier ones, so that lost messages do no harm; those that arrive do so in order. There are none while nothing waits
// for a brittle upstream. An owner lends to the host that uses the fewest slots of the service, itself among them, and
// of these to the one that had its turn the longest time ago.
//
// # Usage
//
//	l := lender.New(lender.Options{Host: "host-1", Epoch: started, Waiting: queue.Len, InUse: requestsAt})
//	l.SetHosts(now, known, owners)
//	if l.Room(now, instance, terms) {
//		lease := l.Take(now, instance)
//		// send the request, and when it has ended
//		l.Release(now, instance, lease, refused)
//	} else {
//		l.Want(now, instance) // and wait
//	}
//	for _, message := range l.Step(now) { // also where Due reports true
//		// send message to the host message.To, which passes it to Receive
//	}
//
// A Lender is not safe for concurrent use.
package lender
