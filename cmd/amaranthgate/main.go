// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Command amaranthgate runs one host of the system and the tools around it.
//
// # Usage
//
//	amaranthgate demo
//	amaranthgate serve --settings settings.jsonc
//	amaranthgate check --settings settings.jsonc --configuration configuration.jsonc
//	amaranthgate help
//
// It exits with 0 when all went well, 1 when something failed, 2 when the
// command line, the settings or a document are wrong, and 3 when a shutdown
// had to cut requests.
package main

import (
	"context"
	"os"

	"amaranthgate.example/amaranthgate/internal/commander"
)

func main() {
	os.Exit(commander.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
