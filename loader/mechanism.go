// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package loader

import "slices"

// Mechanism is a mechanism for hard load that settings can switch off.
type Mechanism string

const (
	MechanismStatedLoad   Mechanism = "StatedLoad"   // MechanismStatedLoad uses the load that upstreams state.
	MechanismFetchPricing Mechanism = "FetchPricing" // MechanismFetchPricing compares fetching and prefilling for each part.
	MechanismForecast     Mechanism = "Forecast"     // MechanismForecast refuses requests that cannot start in time.
	MechanismHostOrder    Mechanism = "HostOrder"    // MechanismHostOrder orders waiting requests over all hosts.
	MechanismPlainQueue   Mechanism = "PlainQueue"   // MechanismPlainQueue holds requests back from full upstreams.
	MechanismPassOn       Mechanism = "PassOn"       // MechanismPassOn passes requests on where no upstream is reached.
	MechanismBrittle      Mechanism = "Brittle"      // MechanismBrittle bounds the refusals of brittle upstreams.
)

// Mechanisms lists all mechanisms.
var Mechanisms = []Mechanism{MechanismStatedLoad, MechanismFetchPricing, MechanismForecast, MechanismHostOrder, MechanismPlainQueue, MechanismPassOn, MechanismBrittle}

// Enabled reports whether a mechanism is not switched off.
func (p *Platform) Enabled(m Mechanism) bool { return !slices.Contains(p.Disabled, m) }

func (v *validator) mechanisms(disabled []Mechanism) {
	for _, m := range disabled {
		v.check(slices.Contains(Mechanisms, m), "/Platform/Disabled", "%q is none of %v", m, Mechanisms)
	}
}
