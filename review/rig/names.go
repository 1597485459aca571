// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

// names are the headers of the users' wire that the stand-ins speak.
var names = func() (n struct {
	RequestID           string
	Deadline            string
	ExpectInstance      string
	Signature           string
	NotExecuted         string
	Authorization       string
	AuthorizationScheme string
	ExpectVersion       string
	Model               string
	Tokens              string
	Parts               string
	Salt                string
	Tenant              string
}) {
	if err := json.Unmarshal(namesJSON, &n); err != nil {
		panic("rig: decode names.json: " + err.Error())
	}
	return n
}()
