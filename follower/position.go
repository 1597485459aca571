// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package follower

import (
	"cmp"
	"fmt"
)

// Position is a place in one of the store's logs. Offsets alone do not order records: when the store
// is replaced by an older copy, offsets go back and are given out again. Each time it is, the era
// rises by one.
type Position struct {
	Era    uint64 // Era is that of the store; 0 if the store states none.
	Offset int64
}

// Compare returns -1, 0 or +1 if p is before, equal to or after o.
func (p Position) Compare(o Position) int {
	if c := cmp.Compare(p.Era, o.Era); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, o.Offset)
}

// Before reports whether p is before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// After reports whether p is after o.
func (p Position) After(o Position) bool { return p.Compare(o) > 0 }

// String returns p in the form ERA/OFFSET.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Offset) }
