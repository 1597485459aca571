// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"strconv"
	"strings"
)

// Salt sets apart kept context that must not be shared.
type Salt struct {
	Model     string
	Weights   uint64 // Weights is the weight version that made the context.
	Workspace string // Workspace is set where the workspace shares with no other.
}

// String returns the salt as engines and stores know it.
func (s Salt) String() string {
	return strconv.FormatUint(s.Weights, 10) + "/" + s.Model + "/" + s.Workspace
}

// ParseSalt reads the text of a salt and reports whether it is one.
func ParseSalt(text string) (Salt, bool) {
	weights, rest, ok := strings.Cut(text, "/")
	n, err := strconv.ParseUint(weights, 10, 64)
	model, workspace, found := strings.Cut(rest, "/")
	if !ok || !found || err != nil {
		return Salt{}, false
	}
	return Salt{Model: model, Weights: n, Workspace: workspace}, true
}
