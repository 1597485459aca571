// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/administrator"
)

// operatorFlags returns the flags of commands that call a host's operator API.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "operators", Required: true, Usage: "operator `ADDRESS` of a host, IP:port"},
		&cli.StringFlag{Name: "token", Required: true, Sources: cli.EnvVars("AMARANTHGATE_OPERATOR_TOKEN"), Usage: "operator `TOKEN`"},
		&cli.StringFlag{Name: "author", Value: "operator", Usage: "`NAME` to record as the author of changes"},
	}
}

// callOperatorAPI sends a request to a host's operator address and returns status and body.
func callOperatorAPI(ctx context.Context, c *cli.Command, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.String("operators")+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.SetBasicAuth(c.String("author"), c.String("token"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

func (e *env) dumpCommand() *cli.Command {
	return &cli.Command{
		Name:  "dump",
		Usage: "print the state of a running host",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			status, body, err := callOperatorAPI(ctx, c, http.MethodGet, "/debug/state", nil)
			if err != nil {
				return err
			}
			if status != http.StatusOK {
				return errors.Errorf("status %d: %s", status, bytes.TrimSpace(body))
			}
			_, err = e.out.Write(body)
			return err
		},
	}
}

func (e *env) liftCommand() *cli.Command {
	return &cli.Command{
		Name:      "lift",
		Usage:     "lift the bar on a request that upstreams crashed on",
		ArgsUsage: "IDENTITY",
		Description: "IDENTITY is in the log lines RequestBarred and PartBarred and in the state dump. The host notifies all other hosts.\n" +
			"If upstreams crash on the request again, it is barred again.",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			path := "/quarantine/lift?" + url.Values{"identity": {c.Args().First()}}.Encode()
			status, body, err := callOperatorAPI(ctx, c, http.MethodPost, path, nil)
			if err != nil {
				return err
			}
			if status != http.StatusNoContent {
				return errors.Errorf("status %d: %s", status, bytes.TrimSpace(body))
			}
			return nil
		},
	}
}

func (e *env) publishCommand() *cli.Command {
	return &cli.Command{
		Name:  "publish",
		Usage: "publish a configuration document",
		Description: "The change is based on the revision in force unless --base gives another.\n" +
			"Exits with 1 if the base is no longer in force or the outcome is not known yet.",
		Flags: append(operatorFlags(),
			&cli.StringFlag{Name: "configuration", Required: true, Usage: "`FILE` with the document"},
			&cli.StringFlag{Name: "id", Usage: "unique `NAME` of the change; applied at most once"},
			&cli.Int64Flag{Name: "base", Value: -1, Usage: "`REVISION` that the document is based on"},
		),
		Action: e.publish,
	}
}

func (e *env) publish(ctx context.Context, c *cli.Command) error {
	doc, err := e.readDocument(c.String("configuration"))
	if err != nil {
		return err
	}
	base := c.Int64("base")
	if base < 0 {
		var cur administrator.ConfigurationAnswer
		_, body, err := callOperatorAPI(ctx, c, http.MethodGet, "/v1/configuration", nil)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(body, &cur); err != nil {
			return errors.Errorf("unexpected response: %s", bytes.TrimSpace(body))
		}
		base = int64(cur.Revision)
	}
	req, err := json.Marshal(administrator.PublishRequest{ID: c.String("id"), Base: uint64(base), Document: doc.Encode()})
	if err != nil {
		return err
	}
	status, body, err := callOperatorAPI(ctx, c, http.MethodPost, "/v1/configuration", req)
	if err != nil {
		return err
	}
	_, _ = e.out.Write(body)
	if status != http.StatusOK {
		return errors.Errorf("the change is not in force (status %d)", status)
	}
	return nil
}

// stdin is the input from which send reads a prompt.
var stdin io.Reader = os.Stdin

func fprintln(w io.Writer, args ...any) { _, _ = fmt.Fprintln(w, args...) }
