// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Command amaranthgate runs a host of the system and its command-line tools.
//
// # Usage
//
//	amaranthgate demo
//	amaranthgate serve --settings settings.jsonc
//	amaranthgate check --settings settings.jsonc --configuration configuration.jsonc
//	amaranthgate help
//
// The exit status is 0 on success, 1 on failure, 2 if the command line, the
// settings or a document are invalid, and 3 if a shutdown aborted requests.
package main

import (
	"context"
	"os"

	"amaranthgate.example/amaranthgate/internal/commander"
)

func main() {
	os.Exit(commander.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
