package front

import (
	"bytes"
	"strconv"
	"time"
)

// skipBody drops bytes at the start of b that belong to the body of a request that was rejected unread. It moves
// the others to the start of b and returns their number.
func (c *conn) skipBody(b []byte) int {
	if c.unreadBody == 0 {
		return len(b)
	}
	dropped := min(c.unreadBody, int64(len(b)))
	c.unreadBody -= dropped
	return copy(b, b[dropped:])
}

// rejectUnread answers a request by its first bytes if the guard rejects it, and reports whether it did. It parses
// only the request line and the length; the connection is kept, and the rest of the body is dropped as it arrives.
//
// Danger: under overload even a rejection costs as much as parsing the headers, so rejecting queries the usual way
// would leave no processor time for those that are served. Anything that is not clearly a query is handled the
// usual way.
func (c *conn) rejectUnread(b []byte) bool {
	f := c.server.front
	guard := f.currentGuard()
	if guard == nil {
		return false
	}
	c.server.mu.Lock()
	first := c.phase <= idle
	c.server.mu.Unlock()
	if !first {
		return false
	}
	name, row, isQuery := f.parseRequestLine(b)
	rest, simple := remainingBody(b)
	if !isQuery || !simple {
		return false
	}
	rejected, retryAfter := guard.RejectUnread(row)
	if !rejected {
		return false
	}
	f.countRejected(name)
	c.unreadBody = rest
	text := append(make([]byte, 0, 128), "HTTP/1.1 503 Service Unavailable\r\n"...)
	if retryAfter > 0 {
		text = append(append(append(text, "Retry-After: "...), formatSeconds(retryAfter)...), "\r\n"...)
	}
	text = append(text, "Content-Length: 0\r\n\r\n"...)
	now := f.Clock.Now()
	// Danger: net/http's server still waits for its first request on this connection, with the deadline for that.
	// Without a new deadline the client would find its connection closed when it asks again. Setting one costs a
	// good part of the answer, so it is not done each time.
	if now >= c.nextDeadlineUpdate {
		c.nextDeadlineUpdate = now + int64(idleTimeout)/4
		c.Conn.SetDeadline(time.Now().Add(idleTimeout))
	}
	if _, err := c.Conn.Write(text); err != nil {
		f.Counters.Undelivered.Add(1)
		c.Conn.Close() // the next read returns the error
		return true
	}
	c.server.mu.Lock()
	c.phase, c.since, c.readPastDeadline = idle, now, false
	c.server.mu.Unlock()
	return true
}

// parseRequestLine returns the workload that a request line names, and its row. known is false if the line is not
// that of a query or names no known workload.
func (f *Front) parseRequestLine(b []byte) (workload string, row int, known bool) {
	line, _, whole := bytes.Cut(b, []byte("\r\n"))
	path, isQuery := bytes.CutPrefix(line, []byte("POST /"))
	path, version, _ := bytes.Cut(path, []byte(" "))
	if !whole || !isQuery || string(version) != "HTTP/1.1" {
		return "", 0, false
	}
	name, _, _ := bytes.Cut(path, []byte("/"))
	workload = string(name)
	row, known = f.WorkloadRow[workload]
	return workload, row, known
}

// remainingBody returns how many bytes of a request's body are still to come, given its first bytes. simple is
// false if the headers are not complete, if they have no valid Content-Length, if they contain Transfer-Encoding,
// Connection or Expect, or if bytes beyond the body have arrived.
func remainingBody(b []byte) (rest int64, simple bool) {
	head, body, whole := bytes.Cut(b, []byte("\r\n\r\n"))
	if !whole {
		return 0, false
	}
	length := int64(-1)
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")), bytes.EqualFold(name, []byte("Connection")),
			bytes.EqualFold(name, []byte("Expect")):
			return 0, false // left to net/http's server
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 31)
			if err != nil || length >= 0 || n > maxBodyBytes {
				return 0, false
			}
			length = int64(n)
		}
	}
	return length - int64(len(body)), length >= int64(len(body))
}
