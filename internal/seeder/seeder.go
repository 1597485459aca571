// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package seeder

import "flag"

// seed is the default seed. It must not be 0, for which rapid chooses a random seed.
const seed = "20260312"

// Fix sets the seed of package rapid. It must be called before flags are parsed,
// in an init function of a test package that imports rapid. It panics if rapid
// is not imported.
func Fix() { set("rapid.seed", seed) }

// Checks sets the number of cases that package rapid runs per test.
func Checks(n string) { set("rapid.checks", n) }

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("seeder: " + err.Error())
	}
}
