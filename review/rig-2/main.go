// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Command rig-2 plays the scripted cases of the second review: hosts as processes, before stand-ins of the platform's
// store, of engines and of a store of kept prompts in this process.
//
// # Usage
//
//	TROUBLE=1 rig-2 thaw review/4
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

//go:embed names.json
var namesText []byte

//go:embed configuration.json
var configurationText string

//go:embed settings.json
var settingsText string

// names are the names of the platform on the wire.
var names = readNames()

func readNames() map[string]string {
	out := make(map[string]string)
	if err := json.Unmarshal(namesText, &out); err != nil {
		panic("rig-2: " + err.Error())
	}
	return out
}

// record writes what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	file     *os.File
	start    time.Time
	runs     map[string]int
	arrivals map[string]bool
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now(), runs: make(map[string]int), arrivals: make(map[string]bool)}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) ran(id, engine string) {
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.logf("engine %s runs %s", engine, id)
}

// arrived records that a request has reached an engine.
func (r *record) arrived(id, engine string) {
	r.mu.Lock()
	r.arrivals[id] = true
	r.mu.Unlock()
	r.logf("engine %s gets %s", engine, id)
}

// hasArrived reports whether a request has reached an engine.
func (r *record) hasArrived(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals[id]
}

func main() {
	plays := map[string]func(*record, bool) (bool, error){"thaw": playThaw, "memory": playMemory}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 thaw|memory DIR")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("trouble: %v", trouble)
	broken, err := plays[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig-2:", err)
		os.Exit(2)
	case broken:
		rec.logf("the rule was broken")
		os.Exit(1)
	}
	rec.logf("the rule held")
}

// configuration returns the operators' document.
func configuration(store string) []byte {
	return []byte(strings.ReplaceAll(configurationText, "STORE", store))
}
