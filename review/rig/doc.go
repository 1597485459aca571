// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Command rig runs the review's scripted cases: hosts as separate processes on loopback, with stand-ins of the users'
// store, of servers and of clients in its own process.
//
// # Usage
//
//	rig -case NAME -record FILE [-trouble=false]
//
// It exits with 0 if the rule of the case held, with 1 if it was broken, and with 2 if the case could not run.
package main
