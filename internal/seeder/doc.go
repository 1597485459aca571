// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package seeder gives random searches in tests the same start at every run,
// so that the verdict on a commit does not hang on luck. A longer search with
// other seeds is asked for on the command line:
//
//	go test ./renewer -run Random -rapid.seed=0 -rapid.checks=20000
//
// # Usage
//
//	func init() { seeder.Fix() }
package seeder
