// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package arbiter

// Sums is the backlog of a class over all other hosts that are known to have or had one.
type Sums struct {
	OnTime int // OnTime and Late are the requests that wait at other hosts.
	Late   int
	// Entered and Started are counted since this host learned of the others. They never decrease.
	Entered uint64
	Started uint64
	Hosts   int // Hosts is the number of other hosts at which requests of the class wait.
}
