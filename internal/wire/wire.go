// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package wire defines the messages between the system and its upstreams:
// generation requests, which follow the completions API, and control messages.
//
// # Usage
//
//	body := wire.CompletionRequest{Model: "m", Prompt: text, Stream: true}
package wire

import "strings"

// CompletionRequest is the body of a request to generate text.
type CompletionRequest struct {
	Model         string         `json:"model"`
	Prompt        string         `json:"prompt,omitempty"`
	Messages      []Message      `json:"messages,omitempty"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	Priority      int            `json:"priority,omitempty"`   // Priority orders waiting requests; lower runs first.
	CacheSalt     string         `json:"cache_salt,omitempty"` // CacheSalt seeds the names of cached blocks.
	Version       string         `json:"weight_version,omitempty"`
	// Continue means to continue the last message instead of replying to it.
	Continue bool `json:"continue_final_message,omitempty"`
	// Restore lists stored segments to import before prefill, in prefix order.
	Restore []SegmentRef `json:"kv_restore,omitempty"`
	// RestoreWithin is the latest start of the import, in milliseconds after arrival.
	RestoreWithin int `json:"kv_restore_within_ms,omitempty"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// StreamOptions selects optional parts of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// SegmentRef names one generation of a stored segment: a run of consecutive
// blocks of one prompt, named after its last block.
type SegmentRef struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
}

// Chunk is one event of a stream, or the whole response.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of a response.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptText returns the prompt of a request as one text.
func (r *CompletionRequest) PromptText() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var text strings.Builder
	for i, m := range r.Messages {
		if r.Continue && i == len(r.Messages)-1 {
			text.WriteString("assistant: ")
			text.WriteString(m.Content)
			return text.String()
		}
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(m.Content)
		text.WriteString("\n")
	}
	text.WriteString("assistant: ")
	return text.String()
}

// PromptDetails counts the prompt tokens that were read from the cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Headers of the protocol.
const (
	HeaderNonce   = "X-Request-Id"     // HeaderNonce carries the nonce of an attempt; the upstream echoes it.
	HeaderVersion = "X-Weight-Version" // HeaderVersion carries the weight version that serves the request.
	HeaderRan     = "X-Request-Ran"    // HeaderRan is "no" if the upstream did not run the request.
)

// LoadState is the state that an upstream reports.
type LoadState string

// The states of an upstream.
const (
	LoadLive    LoadState = "Live"
	LoadLeaving LoadState = "Leaving"
)

// LoadReport is the response to a load query.
type LoadReport struct {
	Incarnation   uint64
	State         LoadState
	Running       int
	Waiting       int
	WaitingTokens int // WaitingTokens is the number of prompt tokens not yet computed.
	Models        []LoadedModel
	Role          string `json:",omitempty"` // Role is the engine's role, such as Prefill or Decode.
}

// LoadedModel is a model version that an engine has loaded or is loading.
type LoadedModel struct {
	Name    string
	Version string
	Adapter string `json:",omitempty"` // Adapter is empty for the model itself.
	Loading bool   `json:",omitempty"`
}

// CacheEventKind is a kind of change of a block or segment.
type CacheEventKind string

// The kinds of cache events.
const (
	BlockCached   CacheEventKind = "Cached"  // BlockCached reports a block in accelerator memory.
	BlockEvicted  CacheEventKind = "Evicted" // BlockEvicted reports a block evicted from accelerator memory.
	SegmentSealed CacheEventKind = "Sealed"  // SegmentSealed reports a segment complete in the store.
	SegmentFreed  CacheEventKind = "Freed"   // SegmentFreed reports a segment removed from the store.
	CacheCleared  CacheEventKind = "Cleared" // CacheCleared reports that the cache is empty.
)

// CacheEvent is one change of an upstream's cache.
type CacheEvent struct {
	Sequence   uint64
	Kind       CacheEventKind
	Block      string
	Generation uint64 `json:",omitempty"`
	Blocks     int    `json:",omitempty"` // Blocks is the number of blocks of a segment.
	From       int    `json:",omitempty"` // From is the number of blocks before a segment.
	Parent     string `json:",omitempty"` // Parent is the name of the block before a segment.
}

// CacheEvents is the response to a query for events. Events between the requested
// sequence number and the first one returned are lost.
type CacheEvents struct {
	Incarnation uint64
	Next        uint64
	Events      []CacheEvent
}

// StoredSegments is the response to a query for all sealed segments of a store.
type StoredSegments struct {
	Incarnation uint64
	Next        uint64 // Next is the sequence number of the next event.
	Segments    []CacheEvent
}

// OrderKind is a kind of order.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "Load"   // OrderLoad loads a model version.
	OrderUnload OrderKind = "Unload" // OrderUnload unloads a model version.
	OrderExport OrderKind = "Export" // OrderExport copies a run of cached blocks to the store as one segment.
	OrderFree   OrderKind = "Free"   // OrderFree frees stored segments.
	OrderRole   OrderKind = "Role"   // OrderRole changes an engine's role.
	OrderImport OrderKind = "Import" // OrderImport copies stored segments back to the cache before a request.
)

// Order is a command to an upstream. All orders are idempotent.
type Order struct {
	Fencing  uint64
	Kind     OrderKind
	Model    string       `json:",omitempty"`
	Version  string       `json:",omitempty"`
	Adapter  string       `json:",omitempty"`
	Role     string       `json:",omitempty"`
	Blocks   []string     `json:",omitempty"` // Blocks are the names of the run to export.
	From     int          `json:",omitempty"` // From is the number of blocks before the run.
	Parent   string       `json:",omitempty"` // Parent is the name of the block before the run.
	Segments []SegmentRef `json:",omitempty"` // Segments are the segments to import or free.
}

// OrderAnswer is the response to an order.
type OrderAnswer struct {
	Accepted bool
	Fencing  uint64 // Fencing is the highest fencing token that the upstream has seen.
	Reason   string `json:",omitempty"`
}
