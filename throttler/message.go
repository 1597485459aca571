// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package throttler

import "time"

// Ask asks an owner of a limit for tokens. It replaces the sender's earlier ask for the instance.
type Ask struct {
	Instance string        `cbor:"1,keyasint"`
	Sent     time.Duration `cbor:"2,keyasint"` // Sent is the time since the sender's start, to be returned with grants.
	Count    int           `cbor:"3,keyasint"`
}

// Grant hands tokens to a host that has asked for them.
type Grant struct {
	Instance string        `cbor:"1,keyasint"`
	Sent     time.Duration `cbor:"2,keyasint"` // Sent is that of the ask.
	Count    int           `cbor:"3,keyasint"`
}

// Permits are the asks and grants of one host for another.
type Permits struct {
	Asks   []Ask   `cbor:"1,keyasint,omitempty"`
	Grants []Grant `cbor:"2,keyasint,omitempty"`
}

// Message is what one host has to tell another.
type Message struct {
	To string
	Permits
}

// outbox collects messages by receiver.
type outbox map[string]*Message

func (o outbox) to(host string) *Message {
	m := o[host]
	if m == nil {
		m = &Message{To: host}
		o[host] = m
	}
	return m
}
