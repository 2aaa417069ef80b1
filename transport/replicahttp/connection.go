package replicahttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"

	"willowsill/balance"
)

// ErrReplica is the class of what goes wrong with a replica's answer.
var ErrReplica = oops.Code("replica")

var errUnsolicited = ErrReplica.Errorf("bytes came that belong to no request")

const (
	readBufferBytes = 2 << 10
	firstLine       = "HTTP/1." // how the first line of each answer begins
)

// connection is one to a replica. free and until are the loop's; the rest belongs to its goroutines.
type connection struct {
	line        *line
	pool        *Pool
	free        bool
	usableUntil int64

	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	conn    net.Conn
	closed  bool
	current *exchange // that is out

	writeLock chan struct{} // full while a request is written
}

// assign books an exchange; the loop calls it while the connection is free.
func (c *connection) assign(e *exchange) {
	e.conn, c.free = c, false
	c.mu.Lock()
	c.current = e
	c.mu.Unlock()
}

// isClosed tells whether the connection was closed, by either side.
func (c *connection) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *connection) close() {
	c.free = false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.cancel()
	if c.conn != nil {
		c.conn.Close()
	}
}

// run opens the connection, and then reads from it until it ends.
func (c *connection) run(address string, e *exchange) {
	within, stop := context.WithTimeout(c.ctx, dialTimeout)
	conn, err := c.pool.Dial(within, "tcp", address)
	stop()
	if err != nil {
		c.cancel()
		c.pool.FailedDials.Add(1)
		c.pool.notify(notice{conn: c, ended: e, result: balance.ConnectFailed, closed: true, err: err, at: c.pool.now()})
		return
	}
	c.mu.Lock()
	c.conn = conn
	if c.closed {
		conn.Close()
	}
	c.mu.Unlock()
	e.ticket.ConnectedAt.Store(c.pool.now())
	go c.write(e)
	err = c.read(conn)
	conn.Close()
	c.cancel()
	// A write that is under way fails now, and knows better than this side whether any byte of it was taken.
	c.writeLock <- struct{}{}
	defer func() { <-c.writeLock }()
	n := notice{conn: c, closed: true, at: c.pool.now()}
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	n.ended, c.current = c.current, nil
	c.mu.Unlock()
	if n.ended != nil {
		n.result = balance.Reset
		if n.ended.state.Load() == pending {
			n.result = balance.ConnectFailed
		}
	}
	if !closed && !errors.Is(err, io.EOF) {
		n.err = err
	}
	c.pool.notify(n)
}

// write writes the request of an exchange, unless it was withdrawn meanwhile.
//
// Danger: a replica may answer before it has read a request whole, and the next one begins while the rest of the former is
// still being written. Where that rest then fails, nothing may follow: the replica would read it as the rest. So writes
// come one after another, and a failed one closes the connection before the next begins.
func (c *connection) write(e *exchange) {
	c.writeLock <- struct{}{}
	defer func() { <-c.writeLock }()
	if !e.state.CompareAndSwap(pending, written) {
		c.end(e, notice{conn: c, reuseFor: defaultIdleLimit})
		return
	}
	r := e.request()
	buf := make([]byte, 0, len(r.Head)+len(r.Body)+128)
	buf = append(buf, r.Head...)
	buf = append(buf, HeaderDeadline+": "...)
	buf = strconv.AppendInt(buf, e.ticket.WaitMs, 10)
	buf = append(buf, "\r\n"+HeaderTarget+": "...)
	buf = append(buf, c.line.id...)
	buf = append(buf, "\r\n\r\n"...)
	buf = append(buf, r.Body...)
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if n, err := c.conn.Write(buf); err != nil {
		c.end(e, notice{conn: c, result: failedWrite(n), err: err})
		c.conn.Close()
	}
}

// failedWrite is what a failed write of a request says of its execution: what this machine's own kernel took no byte of
// cannot have run. All else may have.
func failedWrite(taken int) balance.Result {
	if taken == 0 {
		return balance.ConnectFailed
	}
	return balance.Reset
}

// end tells of an exchange's end, if nobody has yet.
func (c *connection) end(e *exchange, n notice) bool {
	c.mu.Lock()
	mine := c.current == e
	if mine {
		c.current = nil
	}
	c.mu.Unlock()
	if mine {
		n.ended, n.at = e, c.pool.now()
		c.pool.notify(n)
	}
	return mine
}

// currentExchange is the exchange whose answer is awaited.
func (c *connection) currentExchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// read reads answers until the connection ends.
func (c *connection) read(conn net.Conn) error {
	r := bufio.NewReaderSize(conn, readBufferBytes)
	surplus := false
	for {
		if _, err := r.Peek(1); err != nil {
			return err
		}
		e := c.currentExchange()
		// Danger: bytes that come while nothing is asked would be taken for the next request's answer.
		if e == nil || e.state.Load() != written {
			return errUnsolicited
		}
		req := e.request()
		a, keep, err := readAnswer(r, req.Method)
		if err != nil {
			return err
		}
		// Danger: a second answer to an earlier request may come in this one's place. The id tells; the true one
		// follows.
		if a.attempt != req.Attempt {
			surplus = true
			continue
		}
		if surplus || r.Buffered() > 0 {
			keep = 0
		}
		c.end(e, notice{conn: c, result: a.result(), answer: &a.Answer, reuseFor: keep})
	}
}

type response struct {
	Answer
	attempt     string
	notExecuted bool
	encoded     bool
}

// result is what an answer says of its execution.
func (a *response) result() balance.Result {
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return balance.ConnectFailed // another replica has the address
	case a.notExecuted && rejectionStatus(a.Status):
		return balance.Full
	case a.Status >= 200 && a.Status < 300 && a.Seal != "" && !a.encoded && !a.notExecuted:
		return balance.Fulfilled
	}
	return balance.Errored
}

// rejectionStatus tells whether a replica answers with this status what it has not run. Willowsill-Not-Executed beside any
// other contradicts itself, and a status without that header proves nothing.
//
// Danger: an unsafe request that has run would be promised to its client as one that never will.
func rejectionStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusBadRequest
}

// readAnswer reads the next answer whole, and tells for how long the connection may be used again. An answer without a
// length is whole where the replica has closed the connection behind it in order.
//
// Danger: one that is reset on the way, or is given up by this side, would look whole; reading it fails then.
func readAnswer(r *bufio.Reader, method string) (*response, time.Duration, error) {
	var res *http.Response
	for {
		var err error
		if res, err = http.ReadResponse(r, &http.Request{Method: method}); err != nil {
			return nil, 0, ErrReplica.Wrapf(err, "an answer that cannot be read")
		}
		if res.StatusCode >= 200 || res.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	if res.ProtoMajor != 1 || res.StatusCode < 200 {
		return nil, 0, ErrReplica.Errorf("an answer of %s with status %d", res.Proto, res.StatusCode)
	}
	h := res.Header
	if mergedHeads(res) {
		return nil, 0, ErrReplica.Errorf("an answer whose head is of two")
	}
	body, err := readBody(res, method)
	if err != nil {
		return nil, 0, ErrReplica.Wrapf(err, "an answer that was broken off")
	}
	if endsWithConnection(res) && bytes.Contains(body, []byte(firstLine)) {
		return nil, 0, ErrReplica.Errorf("an answer without a length, with another one behind it")
	}
	a := &response{Answer: Answer{Status: res.StatusCode, Header: h, Body: body, Seal: h.Get(HeaderSeal), Complete: true,
		Replica: h.Get(HeaderReplica)}, attempt: h.Get(HeaderAttempt), notExecuted: h.Get(HeaderNotExecuted) != "",
		encoded: h.Get("Content-Encoding") != "" && !strings.EqualFold(h.Get("Content-Encoding"), "identity")}
	keep := defaultIdleLimit
	for _, item := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(item), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil {
				keep = time.Duration(s) * time.Second
				keep -= keep / idleMarginDivisor
			}
		}
	}
	if res.Close {
		keep = 0
	}
	return a, keep, nil
}

// endsWithConnection tells whether nothing but the end of its connection ends an answer's body.
//
// Danger: what a replica in trouble sends behind such an answer would pass for the rest of its body.
func endsWithConnection(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// mergedHeads tells whether the head of an answer was put together from those of two: it bears two first lines, or twice what an
// answer bears once.
//
// Danger: an answer that was broken off in its head, with the next one behind it, reads as one. The status and the seal of
// the former would go out under the id of the latter.
func mergedHeads(res *http.Response) bool {
	for _, once := range [...]string{HeaderAttempt, HeaderSeal, HeaderNotExecuted} {
		if len(res.Header[once]) > 1 {
			return true
		}
	}
	if strings.Contains(res.Status, firstLine) {
		return true
	}
	for key, values := range res.Header {
		if strings.Contains(key, firstLine) || slices.ContainsFunc(values, func(v string) bool { return strings.Contains(v, firstLine) }) {
			return true
		}
	}
	return false
}

// readBody reads the body of an answer whole; the answer to HEAD has none, whatever length it states.
func readBody(res *http.Response, method string) ([]byte, error) {
	if method == http.MethodHead {
		return nil, nil
	}
	if res.ContentLength > bodyMost {
		return nil, ErrReplica.Errorf("an answer of %d bytes", res.ContentLength)
	}
	if n := res.ContentLength; n >= 0 {
		body := make([]byte, n)
		_, err := io.ReadFull(res.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, bodyMost+1))
	if err == nil && len(body) > bodyMost {
		err = ErrReplica.Errorf("an answer over %d bytes", bodyMost)
	}
	return body, err
}
