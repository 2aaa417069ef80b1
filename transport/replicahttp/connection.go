package replicahttp

import (
	"bufio"
	"bytes"
	"cmp"
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
	"k8s.io/klog/v2"

	"willowsill/balance"
	"willowsill/transport/boundedread"
)

// ErrReplica builds this package's errors, which have the code replica.
var ErrReplica = oops.Code("replica")

var errUnsolicited = ErrReplica.Errorf("the replica sent bytes without a request")

const (
	readBufferBytes = 2 << 10
	statusLineStart = "HTTP/1." // the start of each answer's status line

	// What the head of an answer may have, with those of the interim answers before it, beyond what it repeats of its request.
	ownHeadBytes  = 64 << 10
	maxHeadFields = 1000
	// headRepeats is how often an answer may repeat a field of its request: the attempt id stands in the seal, too.
	headRepeats = 2
)

// connection is a connection to a replica. free and usableUntil belong to the pool's loop; the rest belongs to
// the connection's goroutines.
type connection struct {
	destination *destination
	pool        *Pool
	account     *boundedread.Account
	free        bool
	usableUntil int64

	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	conn    net.Conn
	closed  bool
	waiting bool      // the connection waits for the replica's gate
	current *exchange // the exchange in progress

	writeLock chan struct{} // holds an element while a request is written
}

// assign starts an exchange. The loop calls it while the connection is free.
func (c *connection) assign(e *exchange) {
	e.conn, c.free = c, false
	c.mu.Lock()
	c.current = e
	c.mu.Unlock()
}

// isClosed reports whether the connection was closed by either side.
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
	conn, err := c.open(address)
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
	// A write in progress fails now. It knows whether any byte was accepted, so wait for it to report.
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
		c.recordLimit(err)
	}
	c.pool.notify(n)
}

// open waits until a connection to the replica may be opened, and opens it.
func (c *connection) open(address string) (net.Conn, error) {
	c.setWaiting(true)
	err := c.destination.gate.await(c.ctx, c.pool.now)
	c.setWaiting(false)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(c.ctx, dialTimeout)
	defer stop()
	return c.pool.Dial(ctx, "tcp", address)
}

func (c *connection) setWaiting(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting
}

// isWaiting reports whether the connection waits for the replica's gate.
func (c *connection) isWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// write writes the request of an exchange, unless it was withdrawn meanwhile.
//
// Danger: a replica may answer before it has read the whole request, so the next exchange may start while the
// rest of the previous request is still being written. If that write fails, nothing may follow, because the
// replica would read it as the rest of the previous request. So writes are serialized, and a failed write
// closes the connection before the next one starts.
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
	buf = append(buf, c.destination.id...)
	buf = append(buf, "\r\n\r\n"...)
	buf = append(buf, r.Body...)
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if n, err := c.conn.Write(buf); err != nil {
		c.end(e, notice{conn: c, result: failedWrite(n), err: err})
		c.conn.Close()
	}
}

// failedWrite returns the result of an execution whose request could not be written. It cannot have run if this
// machine's kernel accepted no byte; otherwise it may have run.
func failedWrite(accepted int) balance.Result {
	if accepted == 0 {
		return balance.ConnectFailed
	}
	return balance.Reset
}

// recordLimit records that the replica has passed a limit, if that is what ended the connection.
func (c *connection) recordLimit(err error) {
	var passed *boundedread.LimitError
	if !errors.As(err, &passed) {
		return
	}
	c.destination.gate.limitPassed(c.pool.now())
	c.pool.limitsPassed[passed.Limit].Add(1)
	c.pool.limitLog.Do(func() {
		klog.ErrorS(err, "a replica sends more than it may", "replica", c.destination.id, "limit", passed.Limit.String())
	})
}

// end reports the end of an exchange, unless that was already reported.
func (c *connection) end(e *exchange, n notice) bool {
	c.mu.Lock()
	isCurrent := c.current == e
	if isCurrent {
		c.current = nil
	}
	c.mu.Unlock()
	if isCurrent {
		n.ended, n.at = e, c.pool.now()
		c.pool.notify(n)
	}
	return isCurrent
}

// currentExchange returns the exchange whose answer is awaited.
func (c *connection) currentExchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// read reads answers until the connection ends.
func (c *connection) read(conn net.Conn) error {
	head := boundedread.NewHead(conn, c.account)
	defer head.Release()
	r := bufio.NewReaderSize(head, readBufferBytes)
	stale := false
	for {
		head.Begin(c.pool.headLimits())
		if _, err := r.Peek(1); err != nil {
			return err
		}
		e := c.currentExchange()
		// Danger: bytes that arrive while no request is open would be taken for the answer to the next request.
		if e == nil || e.state.Load() != written {
			return errUnsolicited
		}
		req := e.request()
		answer, reuseFor, err := readAnswer(r, head, req.Method)
		if err != nil {
			return cmp.Or(head.LimitPassed(), err)
		}
		// Danger: a second answer to an earlier request may come instead of the expected one. The attempt id
		// distinguishes them, and the expected one follows.
		if answer.attempt != req.Attempt {
			answer.release()
			stale = true
			continue
		}
		if stale || r.Buffered() > 0 {
			reuseFor = 0
		}
		c.destination.gate.answered()
		if !c.end(e, notice{conn: c, result: answer.result(), answer: &answer.Answer, reuseFor: reuseFor}) {
			answer.release()
		}
	}
}

type response struct {
	Answer
	attempt     string
	notExecuted bool
	encoded     bool
}

// result returns what an answer proves about its execution.
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

// rejectionStatus reports whether a replica uses this status for requests that it has not executed.
// Willowsill-Not-Executed with another status is contradictory, and the status without that header proves
// nothing.
//
// Danger: otherwise an unsafe request that was executed would be reported to its client as not executed.
func rejectionStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusBadRequest
}

// readAnswer reads the next answer completely, and returns for how long the connection may be reused. An answer
// without a length is complete if the replica closed the connection after it in an orderly way.
//
// Danger: an answer without a length that was cut off, by a reset or because this side closed the connection,
// must not count as complete. In both cases reading its body returns an error.
//
// The answer holds memory of the head's account, until its release; an error holds none.
func readAnswer(r *bufio.Reader, head *boundedread.Head, method string) (*response, time.Duration, error) {
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
		return nil, 0, ErrReplica.Errorf("an answer whose header is merged from two answers")
	}
	account, held := head.End()
	body, err := readBody(res, method, account)
	if err != nil {
		account.Release(held)
		return nil, 0, ErrReplica.Wrapf(err, "an answer that was broken off")
	}
	held += int64(len(body))
	if endsAtClose(res) && bytes.Contains(body, []byte(statusLineStart)) {
		account.Release(held)
		return nil, 0, ErrReplica.Errorf("an answer without a length that holds the start of another answer")
	}
	a := &response{Answer: Answer{Status: res.StatusCode, Header: h, Body: body, Seal: h.Get(HeaderSeal), Complete: true,
		Replica: h.Get(HeaderReplica), account: account, held: held}, attempt: h.Get(HeaderAttempt), notExecuted: h.Get(HeaderNotExecuted) != "",
		encoded: h.Get("Content-Encoding") != "" && !strings.EqualFold(h.Get("Content-Encoding"), "identity")}
	reuseFor := defaultIdleLimit
	for _, item := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(item), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil {
				reuseFor = time.Duration(s) * time.Second
				reuseFor -= reuseFor / idleMarginDivisor
			}
		}
	}
	if res.Close {
		reuseFor = 0
	}
	return a, reuseFor, nil
}

// endsAtClose reports whether only the end of the connection ends an answer's body.
//
// Danger: what a faulty replica sends after such an answer would be taken for the rest of its body.
func endsAtClose(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// mergedHeads reports whether the header of an answer was merged from two answers: it holds a second status
// line, or a header twice that an answer has only once.
//
// Danger: an answer that breaks off within its header and is followed by the next answer looks like one answer.
// The status and the seal of the first would be passed on with the id of the second.
func mergedHeads(res *http.Response) bool {
	for _, once := range [...]string{HeaderAttempt, HeaderSeal, HeaderNotExecuted} {
		if len(res.Header[once]) > 1 {
			return true
		}
	}
	if strings.Contains(res.Status, statusLineStart) {
		return true
	}
	for key, values := range res.Header {
		if strings.Contains(key, statusLineStart) || slices.ContainsFunc(values, func(v string) bool { return strings.Contains(v, statusLineStart) }) {
			return true
		}
	}
	return false
}

// readBody reads the complete body of an answer, whose memory it takes from an account. The answer to HEAD has none, whatever length it
// states.
func readBody(res *http.Response, method string, account *boundedread.Account) ([]byte, error) {
	if method == http.MethodHead {
		return nil, nil
	}
	if res.ContentLength > maxBodyBytes {
		return nil, &boundedread.LimitError{Limit: boundedread.BodyBytes}
	}
	if n := res.ContentLength; n >= 0 {
		return boundedread.Exactly(res.Body, n, account)
	}
	return boundedread.AtMost(res.Body, maxBodyBytes, account)
}
