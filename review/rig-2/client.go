package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client has got for a try.
type answer struct {
	status int // 0 where the connection ended without a complete answer
	body   []byte
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no complete answer after %d ms (%v)", a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d after %d ms, %d bytes", a.status, a.took.Milliseconds(), len(a.body))
}

// requestText returns the bytes of a request.
func requestText(path, attempt string, deadline time.Duration, body []byte) []byte {
	text := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nWillowsill-Attempt-Id: %s\r\nWillowsill-Deadline-Ms: %d\r\n", path, routeHost, attempt, deadline.Milliseconds())
	text = fmt.Appendf(text, "Content-Length: %d\r\n\r\n", len(body))
	return append(text, body...)
}

// readReply reads the answer to a request from a connection.
func readReply(c net.Conn, in *bufio.Reader, within time.Duration) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	c.SetReadDeadline(began.Add(within))
	res, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: res.StatusCode, body: body}
}

// ask sends a request on a new connection and returns its answer.
func ask(address, path, attempt string, deadline time.Duration, body []byte) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	if _, err := c.Write(requestText(path, attempt, deadline, body)); err != nil {
		return answer{err: err}
	}
	return readReply(c, bufio.NewReader(c), deadline+time.Second)
}
