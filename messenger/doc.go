// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package messenger carries messages between hosts: CBOR over WebSocket.
//
// A host opens a connection to every host that it sends to and only writes on
// it; it only reads on the connections that others opened. Messages may be lost
// when a connection breaks; what must arrive is repeated by those who sent it.
//
// # Usage
//
//	m := messenger.New(messenger.Options{Self: hello, Secret: secret, Receive: receive, Up: up})
//	http.Serve(listener, m.Handler())
//	m.Send("host-2", "10.0.0.2:7100", message)
//	defer m.Close()
//
// Hosts prove to each other that they know the deployment's secret: the opener
// sends an HMAC of both names.
package messenger
