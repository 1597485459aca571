// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"amaranthgate.example/amaranthgate/internal/freeport"
)

// host is a process of the system.
type host struct {
	name    string
	callers string
	ready   string
	cmd     *exec.Cmd
	log     *os.File
}

// startHost starts a host with the command of the deploy file.
func startHost(dir, name, store string) (*host, error) {
	addresses, err := freeport.Addresses(5)
	if err != nil {
		return nil, err
	}
	text := strings.ReplaceAll(strings.ReplaceAll(settingsText, "HOST", name), "STORE", store)
	for i, a := range addresses {
		text = strings.ReplaceAll(text, fmt.Sprint("ADDRESS", i), a)
	}
	settings := filepath.Join(dir, name+".json")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	h := &host{name: name, callers: addresses[0], ready: addresses[3], log: log}
	h.cmd = exec.Command("target/amaranthgate", "serve", "--settings", settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	return h, h.cmd.Start()
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// end ends the process.
func (h *host) end() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	_ = h.cmd.Wait()
	_ = h.log.Close()
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready + names["readyPath"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// request is a request of a client.
type request struct {
	id    string
	parts string
}

// text returns the request as it is sent.
func (r request) text() string {
	lines := []string{
		"POST /sum/" + r.id + " HTTP/1.1", "Host: h.example", names["id"] + ": " + r.id, names["model"] + ": " + modelName,
		names["tokens"] + ": 13200,30", names["parts"] + ": " + r.parts, names["deadline"] + ": 10000",
		names["key"] + ": Token key-of-t1", "Content-Length: 2", "Connection: close",
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n{}"
}

// client is a client's connection to a host.
type client struct {
	rec  *record
	conn net.Conn
}

func connect(rec *record, h *host) (*client, error) {
	conn, err := net.DialTimeout("tcp4", h.callers, time.Second)
	return &client{rec: rec, conn: conn}, err
}

// send sends a request.
func (c *client) send(h *host, r request) error {
	c.rec.logf("client sends %s (%s) to %s", r.id, r.parts, h.name)
	_, err := io.WriteString(c.conn, r.text())
	return err
}

// receive reads the answer and returns its status; 0 if there is no whole one.
func (c *client) receive(r request) int {
	defer func() { _ = c.conn.Close() }()
	_ = c.conn.SetDeadline(time.Now().Add(11 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		c.rec.logf("client gets no answer to %s: %v", r.id, err)
		return 0
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.rec.logf("client gets a broken answer to %s: %v", r.id, err)
		return 0
	}
	c.rec.logf("client gets %d to %s, %d bytes, sealed %v", resp.StatusCode, r.id, len(b), resp.Header.Get(names["seal"]) != "")
	return resp.StatusCode
}

// ask sends a request on a new connection and reads its answer.
func ask(rec *record, h *host, r request) int {
	c, err := connect(rec, h)
	if err != nil {
		return 0
	}
	if c.send(h, r) != nil {
		return 0
	}
	return c.receive(r)
}
