// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package commander implements the command-line interface.
//
// # Usage
//
//	os.Exit(commander.Run(ctx, os.Args, os.Stdout, os.Stderr))
package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Version is the version of the program.
const Version = "0.1.0"

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2 // ExitUsage means an invalid command line, settings file or document.
	ExitCut    = 3 // ExitCut means that a shutdown aborted requests.
)

// exitError is an error with an exit code.
type exitError struct {
	error
	code int
}

func withExitCode(code int, err error) error { return exitError{error: err, code: code} }

// env holds the output streams of commands.
type env struct {
	out io.Writer
	err io.Writer
}

// Run executes a command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	e := &env{out: out, err: errOut}
	cmd := &cli.Command{
		Name:      "amaranthgate",
		Usage:     "serve prompts whose callers return after long gaps",
		Version:   Version,
		Writer:    out,
		ErrWriter: errOut,
		Description: "A single binary with the host, a self-contained demonstration, checks of settings and\n" +
			"configuration documents, a client, and operator commands for running hosts.",
		Commands: []*cli.Command{
			e.serveCommand(),
			e.demoCommand(),
			e.checkCommand(),
			e.sendCommand(),
			e.publishCommand(),
			e.dumpCommand(),
			e.liftCommand(),
			e.explainCommand(),
			e.accountCommand(),
			e.emulateCommand(),
			e.experimentCommand(),
			e.versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return withExitCode(ExitUsage, err)
		},
	}
	err := cmd.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "amaranthgate:", err)
	var coded exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailed
}

func (e *env) versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(context.Context, *cli.Command) error {
			fmt.Fprintln(e.out, "amaranthgate", Version)
			return nil
		},
	}
}
