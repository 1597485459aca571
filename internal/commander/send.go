// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
	"github.com/urfave/cli/v3"

	"amaranthgate.example/amaranthgate/caller"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/server"
)

func (e *env) sendCommand() *cli.Command {
	return &cli.Command{
		Name:  "send",
		Usage: "send a prompt or a service call as a caller",
		Description: "Gets the addresses of hosts from a seed and tries the best one first, then the others if it\n" +
			"does not respond. Prints the response as it arrives. Without --prompt and --data, reads the\n" +
			"text from standard input.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "seed", Required: true, Usage: "caller `ADDRESS` of any host"},
			&cli.StringFlag{Name: "token", Required: true, Sources: cli.EnvVars("AMARANTHGATE_TOKEN"), Usage: "workspace `TOKEN`"},
			&cli.StringFlag{Name: "zone", Usage: "availability `ZONE` of the caller"},
			&cli.StringFlag{Name: "model", Usage: "`MODEL` to call"},
			&cli.StringFlag{Name: "prompt", Usage: "`TEXT` of the prompt"},
			&cli.IntFlag{Name: "max-tokens", Value: 32, Usage: "`NUMBER` of tokens to generate"},
			&cli.StringFlag{Name: "service", Usage: "plain service and `PATH` to call, such as Booking/slots"},
			&cli.StringFlag{Name: "data", Usage: "`BODY` of the service call"},
			&cli.StringFlag{Name: "key", Usage: "idempotency `KEY`"},
			&cli.StringFlag{Name: "class", Usage: "priority `CLASS`"},
			&cli.DurationFlag{Name: "deadline", Usage: "maximum `TIME` to wait"},
			&cli.BoolFlag{Name: "once", Usage: "run the request at most once"},
		},
		Action: e.send,
	}
}

func (e *env) send(ctx context.Context, c *cli.Command) error {
	if (c.String("model") == "") == (c.String("service") == "") {
		return withExitCode(ExitUsage, errors.New("give either --model or --service"))
	}
	req, err := newRequest(c)
	if err != nil {
		return err
	}
	client := caller.New(caller.Options{Seeds: c.StringSlice("seed"), Token: c.String("token"), AvailabilityZone: c.String("zone")})
	start := time.Now()
	resp, err := client.Do(ctx, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return e.printProblem(resp)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return e.printStream(resp, start)
	}
	_, err = io.Copy(e.out, resp.Body)
	return err
}

func newRequest(c *cli.Command) (caller.Request, error) {
	r := caller.Request{Key: c.String("key"), Header: http.Header{}}
	if v := c.String("class"); v != "" {
		r.Header.Set(server.HeaderClass, v)
	}
	if v := c.Duration("deadline"); v > 0 {
		r.Header.Set(server.HeaderDeadline, v.String())
	}
	if c.Bool("once") {
		no := false
		r.Repeatable = &no
	}
	text := c.String("prompt") + c.String("data")
	if text == "" {
		b, err := io.ReadAll(stdin)
		if err != nil {
			return r, err
		}
		text = string(b)
	}
	if svc := c.String("service"); svc != "" {
		r.Path, r.Body = "/services/"+svc, []byte(text)
		return r, nil
	}
	body, err := json.Marshal(wire.CompletionRequest{Model: c.String("model"), Prompt: text, MaxTokens: c.Int("max-tokens"), Stream: true})
	r.Path, r.Body = "/v1/completions", body
	return r, err
}

func (e *env) printProblem(resp *http.Response) error {
	var p server.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	text := fmt.Sprintf("%s: %s (reason %s, ran: %s, request %s)", resp.Status, p.Title, p.Reason, p.Ran, p.RequestID)
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	if after := resp.Header.Get("Retry-After"); after != "" {
		text += "; retry after " + after + " s"
	}
	return errors.New(text)
}

// printStream prints the text of a stream as it arrives, then token count and times.
func (e *env) printStream(resp *http.Response, start time.Time) error {
	var first time.Duration
	tokens := 0
	for ev, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return errors.Wrap(err, "the stream was interrupted")
		}
		if ev.Type == "error" {
			return errors.Errorf("the stream was interrupted: %s", ev.Data)
		}
		if ev.Data == "[DONE]" {
			fmt.Fprintf(e.out, "\n")
			fmt.Fprintf(e.err, "%d tokens from %s, the first after %s, all after %s\n", tokens,
				resp.Header.Get(server.HeaderUpstream), first.Round(time.Microsecond), time.Since(start).Round(time.Microsecond))
			return nil
		}
		var chunk wire.Chunk
		if err := json.Unmarshal([]byte(ev.Data), &chunk); err != nil {
			return errors.Wrap(err, "unexpected event")
		}
		for _, ch := range chunk.Choices {
			if ch.Text != "" && tokens == 0 {
				first = time.Since(start)
			}
			if ch.Text != "" {
				tokens++
				_, _ = io.WriteString(e.out, ch.Text)
			}
		}
	}
	return errors.New("the stream ended without its [DONE] event")
}
