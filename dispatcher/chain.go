// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package dispatcher

import "context"

// Handler processes an exchange X and returns its outcome O.
type Handler[X, O any] func(ctx context.Context, x X) O

// Filter wraps a handler with another processing step.
type Filter[X, O any] func(next Handler[X, O]) Handler[X, O]

// Chain returns last wrapped in filters, of which the first is the outermost.
func Chain[X, O any](last Handler[X, O], filters ...Filter[X, O]) Handler[X, O] {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}
