// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package seeder fixes the seed of property-based tests with package rapid, so
// that test results are reproducible. Flags run more cases with another seed:
//
//	go test ./updater -run Random -rapid.seed=0 -rapid.checks=20000
//
// # Usage
//
//	func init() { seeder.Fix() }
package seeder
