// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package assessor

import "time"

// Load is what an upstream states of its load.
type Load struct {
	Running int `cbor:"1,keyasint,omitempty"`
	Waiting int `cbor:"2,keyasint,omitempty"`
	Slots   int `cbor:"3,keyasint,omitempty"`
	// Slowdown is the ratio of the time that work takes at this moment to the usual time; 0 if it is not
	// stated.
	Slowdown float32 `cbor:"4,keyasint,omitempty"`
}

// Statement is an upstream's statement as another host knows it.
type Statement struct {
	// Instance identifies the start of the upstream, as returned by follower.Upstream.InstanceID.
	Instance string        `cbor:"1,keyasint"`
	Load     Load          `cbor:"2,keyasint"`
	Age      time.Duration `cbor:"3,keyasint"` // Age is the age of the statement at the sending of the message.
}
