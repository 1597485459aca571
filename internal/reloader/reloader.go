// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package reloader receives the requests to read the settings again, SIGHUP.
//
// Without a handler the signal ends the process. It may arrive as soon as the process exists, so that the handler is set
// when the package is initialized. The package imports nothing but what it needs for that, and so is initialized before
// the packages that take their time.
//
// # Usage
//
//	for range reloader.Requests() {
//		reload()
//	}
package reloader

import (
	"os"
	"os/signal"
	"syscall"
)

// requests holds the latest request until it is received.
var requests = make(chan os.Signal, 1)

// command is the command of the program that reads settings again. The signal ends the others.
const command = "serve"

func init() {
	if len(os.Args) > 1 && os.Args[1] == command {
		signal.Notify(requests, syscall.SIGHUP)
	}
}

// Requests returns the channel of requests. One that arrived before the first receive is delivered then.
func Requests() <-chan os.Signal { return requests }
