// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"strconv"
	"strings"
)

// Salt separates cached context that must not be shared.
type Salt struct {
	Model     string
	Weights   uint64 // Weights is the weight version that computed the context.
	Workspace string // Workspace is set for a workspace that is isolated from others.
	// Isolation identifies the workspaces that are isolated, for those that are not: what a workspace left before it
	// became isolated is not shared afterwards. It has no dot and no slash, and is empty if none is isolated.
	Isolation string
}

// String returns the salt in the format that engines and stores use.
func (s Salt) String() string {
	weights := strconv.FormatUint(s.Weights, 10)
	if s.Isolation != "" {
		weights += "." + s.Isolation
	}
	return weights + "/" + s.Model + "/" + s.Workspace
}

// ParseSalt parses the text of a salt and reports whether it is valid.
func ParseSalt(text string) (Salt, bool) {
	first, rest, ok := strings.Cut(text, "/")
	weights, isolation, _ := strings.Cut(first, ".")
	n, err := strconv.ParseUint(weights, 10, 64)
	model, workspace, found := strings.Cut(rest, "/")
	if !ok || !found || err != nil {
		return Salt{}, false
	}
	return Salt{Model: model, Weights: n, Workspace: workspace, Isolation: isolation}, true
}
