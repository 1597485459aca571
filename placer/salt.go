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
}

// String returns the salt in the format that engines and stores use.
func (s Salt) String() string {
	return strconv.FormatUint(s.Weights, 10) + "/" + s.Model + "/" + s.Workspace
}

// ParseSalt parses the text of a salt and reports whether it is valid.
func ParseSalt(text string) (Salt, bool) {
	weights, rest, ok := strings.Cut(text, "/")
	n, err := strconv.ParseUint(weights, 10, 64)
	model, workspace, found := strings.Cut(rest, "/")
	if !ok || !found || err != nil {
		return Salt{}, false
	}
	return Salt{Model: model, Weights: n, Workspace: workspace}, true
}
