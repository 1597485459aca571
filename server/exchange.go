// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package server

import (
	"crypto/rand"
	"net/http"
	"time"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/indexer"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/router"
)

// Headers of requests and responses.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderKey        = "Idempotency-Key"
	HeaderRepeatable = "Amaranthgate-Repeatable" // HeaderRepeatable is "true" or "false".
	HeaderAttempt    = "Amaranthgate-Attempt"    // HeaderAttempt is "1" when the caller has not used the key before.
	HeaderClass      = "Amaranthgate-Class"
	HeaderDeadline   = "Amaranthgate-Deadline" // HeaderDeadline is a duration such as "2s".
	HeaderUpstream   = "Amaranthgate-Upstream"
	HeaderReplayed   = "Amaranthgate-Replayed" // HeaderReplayed is "true" on a stored response.
)

// Call is the call that a caller makes.
type Call struct {
	Chat    bool
	Prompt  *wire.CompletionRequest // Prompt is nil for plain services.
	Service *configurer.Service     // Service is nil for prompts.
	Method  string
	Path    string
	Body    []byte
}

// Exchange is the state of one request that passes the filters.
type Exchange struct {
	ID           string
	Start        time.Time
	Deadline     time.Time
	Snapshot     *publisher.Snapshot
	Workspace    *configurer.Workspace
	Class        configurer.Class
	Key          string
	FirstAttempt bool // FirstAttempt reports whether the caller states that it has not used the key before.
	Repeatable   bool
	Call         Call
	Pool         *publisher.Pool
	Routing      router.Request // Routing is the request as the router sees it.

	writer      http.ResponseWriter
	request     *http.Request
	release     func() // release gives back the capacity that awaitCapacity took.
	pool        *poolState
	chain       indexer.Chain
	body        promptBody
	claimExpiry time.Time // claimExpiry is when the request's claim expires; zero if it has none.
}

// Handler handles an exchange.
type Handler = dispatcher.Handler[*Exchange, Outcome]

// newID returns a random request ID of constant length.
func newID() string { return rand.Text() }

// nonce returns the nonce of an attempt. All nonces of a request have the same
// length, so that one can replace another in a response.
func nonce(id string, attempt int) string {
	return id + "-" + string([]byte{byte('0' + attempt/10%10), byte('0' + attempt%10)})
}
