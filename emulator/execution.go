// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"amaranthgate.example/amaranthgate/indexer"
	"amaranthgate.example/amaranthgate/internal/wire"
)

// execution is the execution of one request at an engine.
type execution struct {
	engine  *Engine
	req     *wire.CompletionRequest
	fault   *EngineFault
	nonce   string
	version string
	chat    bool
	usage   wire.Usage
}

func (r *execution) serve(w http.ResponseWriter, hr *http.Request) {
	prompt := r.req.PromptText()
	tokens := (len(prompt) + indexer.BytesPerToken - 1) / indexer.BytesPerToken
	arrived := time.Now()
	release, ok := r.engine.batch.acquire(hr.Context(), r.req.Priority, tokens)
	if !ok {
		return
	}
	defer release()
	r.engine.countExecution(r.nonce)
	if within := time.Duration(r.req.RestoreWithin) * time.Millisecond; time.Since(arrived) > within {
		r.req.Restore = nil
	}
	r.prefill(hr.Context(), prompt, tokens)
	if r.fault.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	id := r.nonce
	if r.fault.WrongNonce {
		id = "another-" + id
	}
	w.Header().Set(wire.HeaderNonce, id)
	w.Header().Set(wire.HeaderVersion, r.version)
	g := newGenerator(prompt)
	defer func() { r.engine.cache.access(indexer.NewChain(r.req.CacheSalt, prompt+g.text.String()), nil) }()
	if r.req.Stream {
		r.respondStream(w, hr, id, g)
		return
	}
	r.respond(w, hr, id, g)
}

// prefill caches the prompt's blocks and waits for the time to import kept
// blocks and to compute the others.
func (r *execution) prefill(ctx context.Context, prompt string, tokens int) {
	chain := indexer.NewChain(r.req.CacheSalt, prompt)
	cached := r.engine.cache.access(chain, r.req.Restore)
	wait := r.fault.Slow
	if rate := r.engine.opts.LinkRate; rate > 0 {
		wait += time.Duration(float64(cached.restoredBlocks) / rate * float64(time.Second))
	}
	reused := (cached.hitBlocks + cached.restoredBlocks) * indexer.TokensPerBlock
	if rate := r.engine.opts.PrefillRate; rate > 0 {
		wait += time.Duration(float64(tokens-reused) / rate * float64(time.Second))
	}
	r.usage.PromptTokens = tokens
	r.usage.PromptDetails.CachedTokens = reused
	sleep(ctx, wait)
}

func (r *execution) respond(w http.ResponseWriter, hr *http.Request, id string, g *generator) {
	var text strings.Builder
	for range r.req.MaxTokens {
		sleep(hr.Context(), r.engine.opts.TokenInterval)
		text.WriteString(g.next())
	}
	stop := "stop"
	c := wire.Chunk{
		ID: id, Object: r.objectName(false), Model: r.req.Model,
		Choices: []wire.Choice{{FinishReason: &stop}}, Usage: r.finalUsage(r.req.MaxTokens),
	}
	if r.chat {
		c.Choices[0].Message = &wire.Message{Role: "assistant", Content: text.String()}
	} else {
		c.Choices[0].Text = text.String()
	}
	writeJSON(w, c)
}

func (r *execution) respondStream(w http.ResponseWriter, hr *http.Request, id string, g *generator) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for i := range r.req.MaxTokens {
		if i > 0 {
			sleep(hr.Context(), r.engine.opts.TokenInterval)
		}
		if hr.Context().Err() != nil {
			return
		}
		if r.fault.CutAfter > 0 && i >= r.fault.CutAfter {
			_ = out.Flush()
			panic(http.ErrAbortHandler)
		}
		r.writeEvent(w, r.chunk(id, g.next()))
		_ = out.Flush()
	}
	stop := "stop"
	last := r.chunk(id, "")
	last.Choices[0].FinishReason = &stop
	r.writeEvent(w, last)
	if r.req.StreamOptions != nil && r.req.StreamOptions.IncludeUsage {
		r.writeEvent(w, wire.Chunk{
			ID: id, Object: r.objectName(true), Model: r.req.Model,
			Choices: []wire.Choice{}, Usage: r.finalUsage(r.req.MaxTokens),
		})
	}
	if !r.fault.NoMarker {
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
	}
	_ = out.Flush()
}

func (r *execution) chunk(id, text string) wire.Chunk {
	c := wire.Chunk{ID: id, Object: r.objectName(true), Model: r.req.Model, Choices: []wire.Choice{{}}}
	if r.chat {
		c.Choices[0].Delta = &wire.Message{Content: text}
	} else {
		c.Choices[0].Text = text
	}
	return c
}

func (r *execution) writeEvent(w http.ResponseWriter, c wire.Chunk) {
	b, err := json.Marshal(c)
	if err != nil {
		panic("emulator: " + err.Error())
	}
	_, _ = w.Write([]byte("data: "))
	_, _ = w.Write(b)
	_, _ = w.Write([]byte("\n\n"))
}

func (r *execution) objectName(chunk bool) string {
	switch {
	case r.chat && chunk:
		return "chat.completion.chunk"
	case r.chat:
		return "chat.completion"
	}
	return "text_completion"
}

func (r *execution) finalUsage(n int) *wire.Usage {
	u := r.usage
	u.CompletionTokens = n
	u.TotalTokens = u.PromptTokens + n
	return &u
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
