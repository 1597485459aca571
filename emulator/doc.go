// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package emulator implements in-memory emulations of the platform's log and
// host list, of model engines and of plain services. They serve the same HTTP
// protocols as the real ones and support fault injection.
//
// # Usage
//
//	l := emulator.NewLog(emulator.LogOptions{Retention: time.Hour})
//	http.Serve(listener, l.Handler())
//	l.SetFault(emulator.LogFault{Down: true})
package emulator
