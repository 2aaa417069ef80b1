package front

import (
	"bytes"
	"strconv"
	"time"
)

// skipBody drops what still comes of the body of a request that was answered unseen, and returns how much of b is left, at its start.
func (c *conn) skipBody(b []byte) int {
	if c.unreadBody == 0 {
		return len(b)
	}
	dropped := min(c.unreadBody, int64(len(b)))
	c.unreadBody -= dropped
	return copy(b, b[dropped:])
}

// rejectUnread answers a request at its first bytes, where the guard turns such away. Nothing is parsed but its first line and how
// long it is; its connection stays, and what still comes of its body is dropped.
//
// Danger: in a crowd even a refusal costs as much as reading a head does, and refusing all would leave nothing for those
// that are served. What is not surely a query goes the usual way.
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
	name, row, is := f.parseRequestLine(b)
	rest, plain := remainingBody(b)
	if !is || !plain {
		return false
	}
	away, comeBack := guard.RejectUnread(row)
	if !away {
		return false
	}
	f.countRejected(name)
	c.unreadBody = rest
	text := append(make([]byte, 0, 128), "HTTP/1.1 503 Service Unavailable\r\n"...)
	if comeBack > 0 {
		text = append(append(append(text, "Retry-After: "...), formatSeconds(comeBack)...), "\r\n"...)
	}
	text = append(text, "Content-Length: 0\r\n\r\n"...)
	now := f.Clock.Now()
	// Danger: the stock server still waits for its first request, with the time that was set for that. The client would find
	// its connection closed as it asks again. To set a deadline costs a good part of the answer, so it is not done each time.
	if now >= c.nextDeadlineUpdate {
		c.nextDeadlineUpdate = now + int64(idleTimeout)/4
		c.Conn.SetDeadline(time.Now().Add(idleTimeout))
	}
	if _, err := c.Conn.Write(text); err != nil {
		f.Counters.Undelivered.Add(1)
		c.Conn.Close() // the next read tells
		return true
	}
	c.server.mu.Lock()
	c.phase, c.since, c.readPastDeadline = idle, now, false
	c.server.mu.Unlock()
	return true
}

// parseRequestLine reads which workload a request's first line names.
func (f *Front) parseRequestLine(b []byte) (workload string, row int, is bool) {
	line, _, whole := bytes.Cut(b, []byte("\r\n"))
	path, isQuery := bytes.CutPrefix(line, []byte("POST /"))
	path, version, _ := bytes.Cut(path, []byte(" "))
	if !whole || !isQuery || string(version) != "HTTP/1.1" {
		return "", 0, false
	}
	name, _, _ := bytes.Cut(path, []byte("/"))
	workload = string(name)
	row, is = f.WorkloadRow[workload]
	return workload, row, is
}

// remainingBody tells how much is still to come of the body of a request of which these are the first bytes, with its whole head; not
// plain is one that asks for more than an answer, or brings more than itself.
func remainingBody(b []byte) (rest int64, plain bool) {
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
			return 0, false // the usual way knows what that asks for
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
