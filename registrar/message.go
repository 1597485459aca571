// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package registrar

import "time"

// Entry is the record of a stream as hosts send it to each other.
type Entry struct {
	Key      Key           `cbor:"1,keyasint"`
	Service  string        `cbor:"2,keyasint"`
	Software string        `cbor:"3,keyasint"`
	For      time.Duration `cbor:"4,keyasint"` // For is the time until the record expires.
	// Ambiguous reports that the sender knows different origins of the stream.
	Ambiguous bool `cbor:"5,keyasint,omitempty"`
}

// Message is what one host tells another.
type Message struct {
	Entries   []Entry `cbor:"1,keyasint,omitempty"`
	Questions []Key   `cbor:"2,keyasint,omitempty"` // Questions are streams whose entries the sender lacks.
	Unknown   []Key   `cbor:"3,keyasint,omitempty"` // Unknown are streams of questions that the sender does not know.
}

// Outgoing is a message with its receiver.
type Outgoing struct {
	To      string
	Address string
	Message Message
}

// maxParts bounds the entries, the questions and the answers of a message.
const maxParts = 1024

// outbox collects messages by receiver.
type outbox map[string]*Message

func (o outbox) to(host string) *Message {
	m := o[host]
	if m == nil {
		m = &Message{}
		o[host] = m
	}
	return m
}

func (o outbox) tell(host string, e Entry) {
	if m := o.to(host); len(m.Entries) < maxParts {
		m.Entries = append(m.Entries, e)
	}
}

func (o outbox) ask(host string, k Key) {
	if m := o.to(host); len(m.Questions) < maxParts {
		m.Questions = append(m.Questions, k)
	}
}

func (o outbox) deny(host string, k Key) {
	if m := o.to(host); len(m.Unknown) < maxParts {
		m.Unknown = append(m.Unknown, k)
	}
}
