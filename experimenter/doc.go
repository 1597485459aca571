// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package experimenter measures the system: what it adds to the time to first
// token, what a claim costs, how fast a change is in force, what control costs,
// and what the decisions are worth on a seeded workload.
//
// # Usage
//
//	amaranthgate experiment forward --rate 1000 --for 10s
//	amaranthgate experiment claims --rate 2000
//	amaranthgate experiment changes
//	amaranthgate experiment control
//	amaranthgate experiment decisions --deployment Association
//	amaranthgate experiment ends --bad 3 --callers 2
//	amaranthgate experiment fleet --hosts 100,300,985
//
// Each prints a table; figures belong into docs/MEASUREMENTS.md with the
// command that gave them.
package experimenter
