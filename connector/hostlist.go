// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package connector

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ListedState is the state of an entry in the host list.
type ListedState string

// States of entries in the host list.
const (
	ListedLive    ListedState = "Live"
	ListedLeaving ListedState = "Leaving"
)

// ListedHost is an entry of the host list: a host of this system or the host of
// an upstream.
type ListedHost struct {
	Host             string
	Address          string // Address is the IP:port at which peers or callers connect.
	AvailabilityZone string
	State            ListedState
}

// HostListAnswer is the body of a response of the host list.
type HostListAnswer struct {
	Hosts     []ListedHost
	Upstreams []ListedHost
}

// HostList is a client of the platform's host list.
type HostList struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

// NewHostList returns a client of the host list at a base URL.
func NewHostList(base string, timeout time.Duration) *HostList {
	return &HostList{base: base, timeout: timeout, client: newClient()}
}

// Fetch returns the current list, which may be stale.
func (h *HostList) Fetch(ctx context.Context) (HostListAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+"/v1/hosts", nil)
	if err != nil {
		return HostListAnswer{}, errors.Wrap(err, "connector: host list")
	}
	var a HostListAnswer
	if err := doJSON(h.client, req, &a); err != nil {
		return HostListAnswer{}, errors.Wrap(err, "connector: host list")
	}
	return a, nil
}
