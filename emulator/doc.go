// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package emulator holds small stand-ins for what the system meets: the
// platform's log and host list, model engines and plain services. They speak
// the same protocols over HTTP as the real ones, keep everything in memory and
// can be told to fail.
//
// # Usage
//
//	l := emulator.NewLog(emulator.LogOptions{Retention: time.Hour})
//	http.Serve(listener, l.Handler())
//	l.SetFault(emulator.LogFault{Down: true})
package emulator
