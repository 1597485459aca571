// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package matcher finds the route of a request and the workspace of a key.
//
// A Table is one version of the configuration, checked and indexed. It is
// immutable: a new version is a new Table, and whoever holds an old one may go
// on using it until its request ends.
//
// # Usage
//
//	table := matcher.New(matcher.Parts{Version: 7, Routes: routes, Services: services, Workspaces: workspaces})
//	route, ok := table.Route("shop.example", "/orders/7")
//	workspace, ok := table.Workspace("the caller's key")
package matcher
