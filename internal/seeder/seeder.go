// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package seeder

import "flag"

// seed is the start of every search that names none. Any number but 0 does:
// 0 asks rapid for another one at each run.
const seed = "20260312"

// Fix sets the seed of package rapid. It must run before flags are parsed, in
// an init function of a test package that imports rapid. It panics if rapid is
// not imported.
func Fix() { set("rapid.seed", seed) }

// Checks sets how many cases a search of package rapid tries.
func Checks(n string) { set("rapid.checks", n) }

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("seeder: " + err.Error())
	}
}
