// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"io"
	"net/http"
	"time"
)

// lastChunk ends a chunked body.
const lastChunk = "0\r\n\r\n"

// offer writes the header of a confirmed call and waits until the server asks for the body. It reports true if the server
// has answered instead, after which the connection cannot be reused.
func (r *Reply) offer(call *Call) (answered bool, err error) {
	head, err := call.head()
	if err != nil {
		return false, err
	}
	if _, err := r.conn.conn.Write(head.Bytes()); err != nil {
		return false, err
	}
	if err := r.conn.conn.SetReadDeadline(time.Now().Add(r.pool.opts.DialTimeout)); err != nil {
		return false, err
	}
	resp, err := r.readUntil(call, func(status int) bool {
		return status == http.StatusContinue || status >= http.StatusOK
	})
	switch {
	case err != nil:
		return false, err
	case resp.StatusCode == http.StatusContinue:
		return false, r.conn.conn.SetReadDeadline(time.Time{})
	case !r.accept(call, resp):
		r.pool.Crossed.Add(1)
		r.Trace.Foreign++
		return false, errForeign
	}
	r.closeAfter = true
	return true, r.conn.conn.SetReadDeadline(time.Time{})
}

// sendBody writes the body of a confirmed call. After an error the server cannot get the whole body.
func (r *Reply) sendBody(call *Call) (err error) {
	switch {
	case len(call.Body) == 0:
		_, err = io.WriteString(r.conn.conn, lastChunk)
	case len(call.Body) <= maxInlineBodyBytes:
		_, err = r.conn.conn.Write(call.Body)
	default:
		r.sendLater(call.Body)
	}
	return err
}
