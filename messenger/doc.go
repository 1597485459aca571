// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package messenger sends messages between hosts, encoded in CBOR, over WebSocket.
//
// A host opens a connection to every host that it sends to and only writes to it;
// it only reads from the connections that others have opened. Messages may be lost
// when a connection breaks, so that senders must retry where delivery matters.
//
// # Usage
//
//	m := messenger.New(messenger.Options{Self: hello, Secret: secret, Receive: receive, OnConnect: onConnect})
//	http.Serve(listener, m.Handler())
//	m.Send("host-2", "10.0.0.2:7100", message)
//	defer m.Close()
//
// The host that opens a connection authenticates with an HMAC of both hosts' names
// under the deployment's secret.
package messenger
