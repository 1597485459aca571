// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package wire holds the protocol between the system and its upstreams.
// Requests to generate text follow the usual completions API; the rest is
// control.
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
	CacheSalt     string         `json:"cache_salt,omitempty"` // CacheSalt is the root of the names of cached blocks.
	Version       string         `json:"weight_version,omitempty"`
	Continue      bool           `json:"continue_final_message,omitempty"` // Continue goes on with the last message instead of answering it.
	Restore       []SegmentRef   `json:"kv_restore,omitempty"`             // Restore lists kept segments to import first, in prefix order.
	RestoreWithin int            `json:"kv_restore_within_ms,omitempty"`   // RestoreWithin bounds, in milliseconds from arrival, when the import may begin.
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// StreamOptions select parts of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// SegmentRef names one generation of a kept segment: a run of blocks of one
// prompt, named by its last block.
type SegmentRef struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
}

// Chunk is one event of a stream, or the whole answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of an answer.
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

// PromptText returns the text that a request is about.
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

// PromptDetails tells what part of a prompt was not computed.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Headers of the protocol.
const (
	HeaderNonce   = "X-Request-Id"     // HeaderNonce carries the nonce of an attempt and is echoed.
	HeaderVersion = "X-Weight-Version" // HeaderVersion carries the weight version that answers.
	HeaderRan     = "X-Request-Ran"    // HeaderRan is "no" when the upstream says that it did not run the request.
)

// LoadState is what an upstream says of itself.
type LoadState string

// The states of an upstream.
const (
	LoadLive    LoadState = "Live"
	LoadLeaving LoadState = "Leaving"
)

// LoadReport is the answer to a question for load.
type LoadReport struct {
	Incarnation   uint64
	State         LoadState
	Running       int
	Waiting       int
	WaitingTokens int // WaitingTokens are prompt tokens not yet computed.
	Models        []LoadedModel
	Role          string `json:",omitempty"` // Role is what the engine does, such as Prefill or Decode.
}

// LoadedModel is a model version that an engine has or is loading.
type LoadedModel struct {
	Name    string
	Version string
	Adapter string `json:",omitempty"` // Adapter is empty for the model itself.
	Loading bool   `json:",omitempty"`
}

// CacheEventKind tells what became of a block.
type CacheEventKind string

// The kinds of cache events.
const (
	BlockCached   CacheEventKind = "Cached"  // BlockCached says the block is in accelerator memory.
	BlockEvicted  CacheEventKind = "Evicted" // BlockEvicted says it left accelerator memory.
	SegmentSealed CacheEventKind = "Sealed"  // SegmentSealed says that a segment is whole in the store.
	SegmentFreed  CacheEventKind = "Freed"   // SegmentFreed says that a segment left the store.
	CacheCleared  CacheEventKind = "Cleared" // CacheCleared says that all is gone.
)

// CacheEvent is one change of an upstream's cache.
type CacheEvent struct {
	Sequence   uint64
	Kind       CacheEventKind
	Block      string
	Generation uint64 `json:",omitempty"`
	Blocks     int    `json:",omitempty"` // Blocks is the length of a segment.
	From       int    `json:",omitempty"` // From is the number of blocks before a segment.
	Parent     string `json:",omitempty"` // Parent is the name of the block before a segment.
}

// CacheEvents is an answer to a question for events. Events between the number
// asked for and the first one returned are lost.
type CacheEvents struct {
	Incarnation uint64
	Next        uint64
	Events      []CacheEvent
}

// KeptSegments is an answer to a question for all sealed segments of a store.
type KeptSegments struct {
	Incarnation uint64
	Next        uint64 // Next is the sequence number of the next event.
	Segments    []CacheEvent
}

// OrderKind tells what an upstream is ordered to do.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "Load"   // OrderLoad loads a model version.
	OrderUnload OrderKind = "Unload" // OrderUnload drops a model version.
	OrderExport OrderKind = "Export" // OrderExport copies a run of cached blocks to the store as one segment.
	OrderFree   OrderKind = "Free"   // OrderFree frees kept segments.
	OrderRole   OrderKind = "Role"   // OrderRole changes what an engine does.
	OrderImport OrderKind = "Import" // OrderImport copies kept segments back ahead of a request.
)

// Order is one order to an upstream. All orders may be repeated.
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
	Segments []SegmentRef `json:",omitempty"` // Segments are what to import or free.
}

// OrderAnswer tells what became of an order.
type OrderAnswer struct {
	Accepted bool
	Fencing  uint64 // Fencing is the highest number the upstream has seen.
	Reason   string `json:",omitempty"`
}
