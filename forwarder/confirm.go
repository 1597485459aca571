// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"io"
	"net/http"
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
	resp, err := r.readUntil(call, func(status int) bool {
		return status == http.StatusContinue || status >= http.StatusOK || status == http.StatusSwitchingProtocols
	})
	switch {
	case err != nil:
		return false, err
	case resp.StatusCode == http.StatusContinue:
		return false, nil
	case !r.accept(call, resp):
		return false, errForeign
	}
	r.closeAfter = true
	return true, nil
}

// sendBody writes the body of a confirmed call and returns the number of bytes passed to the kernel, as far as it is known.
func (r *Reply) sendBody(call *Call) (int, error) {
	switch {
	case len(call.Body) == 0:
		return io.WriteString(r.conn.conn, lastChunk)
	case len(call.Body) <= maxInlineBodyBytes:
		return r.conn.conn.Write(call.Body)
	}
	r.sendLater(call.Body)
	return 0, nil
}
