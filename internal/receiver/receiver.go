// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package receiver receives the signals of a host's process and decides on their effects.
//
// Without a handler the signals end the process. They may arrive as soon as the process exists, so that the handlers are
// set when the package is initialized, and they remain until the process has exited. The package imports nothing but what
// it needs for that, and so is initialized before the packages that take their time.
//
// # Usage
//
//	r := receiver.Received()
//	var policy receiver.Policy
//	var uptime receiver.Uptime // read it every TickInterval as well
//	for {
//		signal := r.Next(ctx)
//		if signal == receiver.None {
//			break
//		}
//		uptime = uptime.At(time.Now())
//		var effect receiver.Effect
//		policy, effect = policy.Take(signal, uptime.Now())
//		...
//	}
package receiver

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signal is a signal by its name.
type Signal string

// Signals that are received.
const (
	None      Signal = "" // None stands for no signal.
	Terminate Signal = "SIGTERM"
	Interrupt Signal = "SIGINT"
	Hangup    Signal = "SIGHUP"
)

// pending is the number of signals of a kind that are kept until they are received.
const pending = 8

// Receiver receives signals. Each kind has a channel of its own, so that many of one displace none of another.
type Receiver struct {
	terminate, interrupt, hangup chan os.Signal
}

var process = &Receiver{
	terminate: make(chan os.Signal, pending),
	interrupt: make(chan os.Signal, pending),
	hangup:    make(chan os.Signal, pending),
}

// command is the command of the program that runs a host. The signals end the others.
const command = "serve"

func init() {
	if len(os.Args) > 1 && os.Args[1] == command {
		process.notify()
	}
}

// Received returns the receiver of the signals of this process, including those that came before the call.
func Received() *Receiver {
	process.notify() // the command may follow other arguments
	return process
}

func (r *Receiver) notify() {
	signal.Notify(r.terminate, syscall.SIGTERM)
	signal.Notify(r.interrupt, syscall.SIGINT)
	signal.Notify(r.hangup, syscall.SIGHUP)
}

// Next waits for a signal and returns it, or None once ctx has ended. Of several that have come, SIGTERM is first.
func (r *Receiver) Next(ctx context.Context) Signal {
	select {
	case <-r.terminate:
		return Terminate
	default:
	}
	select {
	case <-r.terminate:
		return Terminate
	case <-r.interrupt:
		return Interrupt
	case <-r.hangup:
		return Hangup
	case <-ctx.Done():
		return None
	}
}
