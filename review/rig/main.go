// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds a run.
const maxTime = 110 * time.Second

// scenario runs a case and returns the ways in which its rule was broken.
type scenario func(ctx context.Context, r *rig) (broken []string, err error)

var scenarios = map[string]scenario{
	"isolation":      isolation,
	"late-orders":    lateOrders,
	"second-answers": secondAnswers,
}

// rig is what a scenario works with.
type rig struct {
	dir     string // dir is a temporary folder for settings and logs.
	trouble bool   // trouble reports whether the disruption is to happen.
	record  *recorder
}

func main() { os.Exit(run()) }

func run() int {
	runtime.LockOSThread() // processes end with the thread that has started them
	name := flag.String("case", "", "`NAME` of the case")
	record := flag.String("record", "record.txt", "output `FILE`")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	keep := flag.Bool("keep", false, "keep the settings and logs of the hosts")
	flag.Parse()
	s := scenarios[*name]
	if s == nil {
		fmt.Fprintf(os.Stderr, "rig: there is no case %q\n", *name)
		return exitNotRun
	}
	broken, err := runScenario(s, *record, *trouble, *keep)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	for _, b := range broken {
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

func runScenario(s scenario, path string, trouble, keep bool) (broken []string, err error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	if keep {
		fmt.Println("settings and logs are in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }() // it is a temporary folder
	}
	record, err := newRecorder(path)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	broken, err = s(ctx, &rig{dir: dir, trouble: trouble, record: record})
	for _, b := range broken {
		record.add("BROKEN  %s", b)
	}
	if closeErr := record.close(); err == nil {
		err = closeErr
	}
	return broken, err
}
