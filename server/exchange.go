// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package server

import (
	"crypto/rand"
	"net/http"
	"time"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/keeper"
	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/router"
)

// Headers that callers may send or get.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderKey        = "Idempotency-Key"
	HeaderRepeatable = "Amaranthgate-Repeatable" // HeaderRepeatable is "true" or "false".
	HeaderAttempt    = "Amaranthgate-Attempt"    // HeaderAttempt is "1" when the caller has not used the key before.
	HeaderClass      = "Amaranthgate-Class"
	HeaderDeadline   = "Amaranthgate-Deadline" // HeaderDeadline is a duration such as "2s".
	HeaderUpstream   = "Amaranthgate-Upstream"
	HeaderReplayed   = "Amaranthgate-Replayed" // HeaderReplayed is "true" on a kept answer.
)

// Call is what the caller wants done.
type Call struct {
	Chat    bool
	Prompt  *wire.CompletionRequest // Prompt is nil for plain services.
	Service *configurer.Service     // Service is nil for prompts.
	Method  string
	Path    string
	Body    []byte
}

// Exchange is one request on its way through the filters.
type Exchange struct {
	ID         string
	Start      time.Time
	Deadline   time.Time
	Snapshot   *publisher.Snapshot
	Workspace  *configurer.Workspace
	Class      configurer.Class
	Key        string
	FirstTime  bool // FirstTime tells that the caller vouches for not having used the key.
	Repeatable bool
	Call       Call
	Pool       *publisher.Pool
	Routing    router.Request // Routing is what routing knows of the request.

	writer  http.ResponseWriter
	request *http.Request
	release func() // release gives back the place that the wait filter took.
	pool    *poolState
	chain   keeper.Chain
	body    promptBody
	before  time.Time // before is when the request's claim goes stale; zero if it has none.
}

// Handler answers an exchange.
type Handler = dispatcher.Handler[*Exchange, Outcome]

// newID returns a random request ID. Its length is constant.
func newID() string { return rand.Text() }

// nonce returns the nonce of an attempt. All nonces of a request have the same
// length.
func nonce(id string, attempt int) string {
	return id + "-" + string([]byte{byte('0' + attempt/10%10), byte('0' + attempt%10)})
}
