// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package duration encodes time.Duration as text for settings and documents.
//
// # Usage
//
//	type Settings struct{ Timeout duration.Duration }
//
// is written as {"Timeout": "250ms"}.
package duration

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration encoded as text, such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d like time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("duration: %q is not a duration such as 250ms", text)
	}
	*d = Duration(v)
	return nil
}
