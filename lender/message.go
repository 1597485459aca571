// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package lender

import "time"

// Terms are what the slots of an upstream are divided by.
type Terms struct {
	Service string
	Slots   int
	// Refusals is the number of requests that the upstream may refuse in a second.
	Refusals float64
}

// Ask asks the owner of slots for loans.
type Ask struct {
	Instance string  `cbor:"1,keyasint"`
	Service  string  `cbor:"2,keyasint"`
	Slots    int     `cbor:"3,keyasint"`
	Refusals float64 `cbor:"4,keyasint,omitempty"`
	Count    int     `cbor:"5,keyasint"`           // Count is the number of loans asked for.
	InUse    int     `cbor:"6,keyasint,omitempty"` // InUse is the number of slots of the service that the sender uses.
}

// terms returns the terms that the sender knows of.
func (a *Ask) terms() Terms {
	return Terms{Service: a.Service, Slots: a.Slots, Refusals: a.Refusals}
}

// valid reports whether the figures of an ask are possible.
func (a *Ask) valid() bool {
	return a.Slots > 0 && a.Slots <= maxSlots && a.Refusals >= 0 && a.Refusals <= maxRefusals && a.Count > 0 && a.InUse >= 0
}

// Grant lends a slot.
type Grant struct {
	Instance string        `cbor:"1,keyasint"`
	ID       uint64        `cbor:"2,keyasint"` // ID identifies the loan among those of its owner. Later loans have higher ones.
	Sent     time.Duration `cbor:"3,keyasint"` // Sent is that of the message that asked for it.
	// Turn is how long the borrower may start requests with it, one after the other.
	Turn time.Duration `cbor:"4,keyasint,omitempty"`
}

// Message is what a host has to tell another. It replaces earlier ones but for their grants.
type Message struct {
	To    string `cbor:"-"`
	Epoch uint64 `cbor:"1,keyasint"` // Epoch identifies the start of the sender.
	// Sent is the time since the start of the sender.
	Sent time.Duration `cbor:"2,keyasint"`
	Asks []Ask         `cbor:"3,keyasint,omitempty"`
	// Held are the loans of the receiver that the sender has, of those up to Seen that it was told of. They are of the
	// start of the receiver that Of identifies.
	Of      uint64   `cbor:"4,keyasint,omitempty"`
	Seen    uint64   `cbor:"5,keyasint,omitempty"`
	Held    []Loan   `cbor:"6,keyasint,omitempty"`
	Refused []uint64 `cbor:"7,keyasint,omitempty"` // Refused are loans on which the upstream refused a request.
	Grants  []Grant  `cbor:"8,keyasint,omitempty"`
	// Earlier has the instance of each loan of an earlier start of the receiver that is still in use.
	Earlier []string `cbor:"9,keyasint,omitempty"`
}

// Loan is a slot that the receiver of a message has lent.
type Loan struct {
	Instance string `cbor:"1,keyasint"`
	ID       uint64 `cbor:"2,keyasint"`
}
