// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package matcher maps requests to routes and keys to workspaces.
//
// A Table is an indexed version of the configuration. It is immutable, so a
// request can use the same Table from start to end while newer ones are published.
//
// # Usage
//
//	table := matcher.New(matcher.Parts{Version: 7, Routes: routes, Services: services, Workspaces: workspaces})
//	route, ok := table.Route("shop.example", "/orders/7")
//	workspace, ok := table.Workspace("the caller's key")
package matcher
