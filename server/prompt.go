// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"amaranthgate.example/amaranthgate/internal/wire"
)

// defaultCompletionTokens is max_tokens if a caller sets none. A bound is needed to
// continue an interrupted stream with the tokens that are left.
const defaultCompletionTokens = 256

// maxCompletionTokens bounds max_tokens of a caller.
const maxCompletionTokens = 1 << 20

// reservedFields are the fields of a prompt that only the system may set.
var reservedFields = []string{"priority", "cache_salt", "weight_version", "kv_restore", "kv_restore_within_ms", "kv_transfer_params", "continue_final_message"}

// promptBody is the body of a prompt, with fields that the system does not
// interpret and forwards.
type promptBody struct {
	fields map[string]json.RawMessage
}

// parsePrompt parses the body of a request to generate text. The error is shown to
// the caller.
func parsePrompt(body []byte, chat bool) (promptBody, *wire.CompletionRequest, error) {
	var p promptBody
	if err := json.Unmarshal(body, &p.fields); err != nil {
		return p, nil, fmt.Errorf("the body is not a JSON object: %v", err)
	}
	for name := range p.fields {
		for _, r := range reservedFields {
			if strings.EqualFold(name, r) {
				return p, nil, fmt.Errorf("the field %s is reserved", r)
			}
		}
	}
	if n, ok := p.fields["n"]; ok && !bytes.Equal(n, []byte("1")) {
		return p, nil, fmt.Errorf("the field n must be 1")
	}
	var req wire.CompletionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return p, nil, fmt.Errorf("a field has the wrong type: %v", err)
	}
	return p, &req, checkPrompt(&req, chat)
}

func checkPrompt(req *wire.CompletionRequest, chat bool) error {
	switch {
	case req.Model == "":
		return fmt.Errorf("the field model is missing")
	case chat && len(req.Messages) == 0:
		return fmt.Errorf("the field messages is missing")
	case chat && req.Prompt != "":
		return fmt.Errorf("a chat has no field prompt")
	case !chat && req.Prompt == "":
		return fmt.Errorf("the field prompt is missing")
	case !chat && len(req.Messages) > 0:
		return fmt.Errorf("a completion has no field messages")
	case req.MaxTokens < 0 || req.MaxTokens > maxCompletionTokens:
		return fmt.Errorf("the field max_tokens must be 1 to %d", maxCompletionTokens)
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultCompletionTokens
	}
	return nil
}

// merge returns the body for an upstream: the caller's fields, overridden by those
// that the system sets.
func (p promptBody) merge(req wire.CompletionRequest) []byte {
	out := make(map[string]json.RawMessage, len(p.fields)+6)
	for name, v := range p.fields {
		if !isSystemField(name) {
			out[name] = v
		}
	}
	encoded, err := json.Marshal(req)
	if err != nil {
		panic("server: prompt cannot be encoded: " + err.Error())
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(encoded, &fields); err != nil {
		panic("server: prompt cannot be decoded: " + err.Error())
	}
	for name, v := range fields {
		out[name] = v
	}
	body, err := json.Marshal(out)
	if err != nil {
		panic("server: prompt cannot be encoded: " + err.Error())
	}
	return body
}

// isSystemField reports whether the system sets a field itself, ignoring case.
func isSystemField(name string) bool {
	for _, own := range []string{"model", "prompt", "messages", "max_tokens", "stream", "stream_options"} {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}
