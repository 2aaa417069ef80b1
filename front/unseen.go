package front

import (
	"bytes"
	"strconv"
	"time"
)

const answerWait = 50 * time.Millisecond // to write a few bytes

// unseen answers a request at its first bytes, where the guard turns such away. Nothing is parsed but its first line and where it
// ends; only what is there as a whole and alone is answered so, and its connection stays.
//
// Danger: in a crowd even a refusal costs as much as reading a head does, and refusing all would leave nothing for those
// that are served. What is not surely a query, and whole, goes the usual way.
func (c *conn) unseen(b []byte) bool {
	f := c.server.front
	guard := f.guard()
	if guard == nil {
		return false
	}
	c.server.mu.Lock()
	first := c.phase <= idle
	c.server.mu.Unlock()
	if !first {
		return false
	}
	workload, is := f.queryLine(b)
	if !is || !wholeRequest(b) {
		return false
	}
	away, comeBack := guard.Unseen(workload)
	if !away {
		return false
	}
	f.countAway(workload)
	text := append(make([]byte, 0, 128), "HTTP/1.1 503 Service Unavailable\r\n"...)
	if comeBack > 0 {
		text = append(append(append(text, "Retry-After: "...), seconds(comeBack)...), "\r\n"...)
	}
	text = append(text, "Content-Length: 0\r\n\r\n"...)
	c.Conn.SetWriteDeadline(time.Now().Add(answerWait))
	_, err := c.Conn.Write(text)
	c.Conn.SetWriteDeadline(time.Time{})
	if err != nil {
		f.Count.Undelivered.Add(1)
		c.Conn.Close() // the next read tells
		return true
	}
	// Danger: the stock server still waits for its first request, with the time that was set for that. The client would find
	// its connection closed as it asks again.
	c.server.mu.Lock()
	c.phase, c.since = idle, f.Clock.Now()
	c.server.mu.Unlock()
	c.Conn.SetReadDeadline(time.Now().Add(idleWait))
	return true
}

// queryLine reads which workload a request's first line names.
func (f *Front) queryLine(b []byte) (workload int, is bool) {
	line, _, whole := bytes.Cut(b, []byte("\r\n"))
	path, isQuery := bytes.CutPrefix(line, []byte("POST /"))
	path, version, _ := bytes.Cut(path, []byte(" "))
	if !whole || !isQuery || string(version) != "HTTP/1.1" {
		return 0, false
	}
	name, _, _ := bytes.Cut(path, []byte("/"))
	workload, is = f.Workload[string(name)]
	return workload, is
}

// wholeRequest tells whether these bytes are one request with its body, and no more.
func wholeRequest(b []byte) bool {
	head, body, whole := bytes.Cut(b, []byte("\r\n\r\n"))
	if !whole {
		return false
	}
	length := -1
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")), bytes.EqualFold(name, []byte("Connection")),
			bytes.EqualFold(name, []byte("Expect")):
			return false // the usual way knows what that asks for
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil || length >= 0 {
				return false
			}
			length = n
		}
	}
	return length == len(body)
}
