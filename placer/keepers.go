// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "slices"

// keepers has the engines that are believed to keep each part. Without it each choice asks all
// engines what they keep of a prompt: 0.3 ms of the 2.1 ms that one took among 9,695.
type keepers map[PartKey][]*target

func (k keepers) add(key PartKey, t *target) { k[key] = append(k[key], t) }

func (k keepers) remove(key PartKey, t *target) {
	of := k[key]
	i := slices.Index(of, t)
	switch {
	case i < 0:
	case len(of) == 1:
		delete(k, key)
	default:
		k[key] = slices.Delete(of, i, i+1)
	}
}

// forget removes an engine that is gone. What requests that it still runs have it keep is noted
// for nobody.
func (k keepers) forget(t *target) {
	for key := range t.kept.parts {
		k.remove(key, t)
	}
	t.kept = keptSet{engine: t, keepers: make(keepers)}
}
