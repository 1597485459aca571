// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// clients send requests that must run at most once, each on a connection of its own.
type clients struct {
	hosts    []*host
	target   func(draw int) (host, path string) // target returns the Host header and path of a request, for a random number.
	key      string
	deadline time.Duration
	record   *recorder
	rng      *rand.Rand

	sent     int
	mu       sync.Mutex
	statuses map[string]int // statuses are the statuses of the answers by request; 0 for none.
	inFlight sync.WaitGroup
}

// run sends requests at random times, at a mean rate per second, for a time.
func (c *clients) run(perSecond float64, d time.Duration) {
	next := time.Now()
	for end := next.Add(d); next.Before(end); {
		next = next.Add(time.Duration(c.rng.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		c.sent++
		id := fmt.Sprintf("r%06d", c.sent)
		to := c.hosts[c.rng.IntN(len(c.hosts))]
		hostName, path := c.target(c.rng.Int())
		c.inFlight.Add(1)
		go func() {
			defer c.inFlight.Done()
			c.send(id, to, hostName, path)
		}()
	}
}

// send sends one request and records its answer.
func (c *clients) send(id string, to *host, hostName, path string) {
	c.record.add("client  request %s  for %s  sent to %s", id, hostName, to.name)
	status, err := c.exchange(id, to, hostName, path)
	c.mu.Lock()
	c.statuses[id] = status
	c.mu.Unlock()
	if err != nil {
		c.record.add("client  request %s  no answer: %v", id, err)
		return
	}
	c.record.add("client  request %s  gets %d", id, status)
}

func (c *clients) exchange(id string, to *host, hostName, path string) (int, error) {
	conn, err := net.DialTimeout("tcp4", to.callers, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(c.deadline + time.Second)) // never fails on an open connection
	body := "alert " + id
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s%s\r\nContent-Length: %d\r\n\r\n%s",
		path, hostName, names.RequestID, id, names.Deadline, strconv.FormatInt(c.deadline.Milliseconds(), 10),
		names.Authorization, names.AuthorizationScheme, c.key, len(body), body)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
