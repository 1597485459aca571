// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package experimenter measures the system: the time to first token added by a
// host, the cost of claims, the propagation time of configuration changes, the
// overhead of the control plane, and the quality of routing decisions on a
// seeded workload.
//
// # Usage
//
//	amaranthgate experiment forward --rate 1000 --for 10s
//	amaranthgate experiment claims --rate 2000
//	amaranthgate experiment changes
//	amaranthgate experiment control
//	amaranthgate experiment decisions --deployment Association
//	amaranthgate experiment ends --bad 3 --callers 2
//	amaranthgate experiment loads --seeds 24
//	amaranthgate experiment fleet --hosts 100,300,985
//	amaranthgate experiment limit --hosts 8,300,985
//	amaranthgate experiment fetch --slow 1,3
//	amaranthgate experiment retries --hosts 24,62
//	amaranthgate experiment overload --hosts 1,6,60 --seeds 1000
//
// Each command prints a table.
package experimenter
