package replicahttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/balance"
	"willowsill/transport/replica"
)

// raceRounds is the number of rounds in which a test repeats a race.
const raceRounds = 50

// writeEnd is how a write on a connection ends.
type writeEnd struct {
	accepted int // bytes that the kernel accepts
	err      error
}

// faultyConn is a connection whose next writes end as listed; further writes succeed.
type faultyConn struct {
	net.Conn
	ends    []writeEnd
	written *strings.Builder
	wait    chan struct{} // if set, the first write blocks after its bytes until the channel is closed
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if len(c.ends) == 0 {
		n, err := c.Conn.Write(b)
		c.written.Write(b[:n])
		return n, err
	}
	end := c.ends[0]
	c.ends = c.ends[1:]
	n := min(end.accepted, len(b))
	if n > 0 {
		c.Conn.Write(b[:n])
		c.written.Write(b[:n])
	}
	if c.wait != nil {
		<-c.wait
		c.wait = nil
	}
	return n, end.err
}

// TestFailedWrites: a failed write proves that nothing was executed only if the kernel accepted no byte of it.
func TestFailedWrites(t *testing.T) {
	for name, c := range map[string]struct {
		end  writeEnd
		want balance.Result
	}{
		"reset before a byte":   {writeEnd{0, syscall.ECONNRESET}, balance.ConnectFailed},
		"pipe before a byte":    {writeEnd{0, syscall.EPIPE}, balance.ConnectFailed},
		"time before a byte":    {writeEnd{0, os.ErrDeadlineExceeded}, balance.ConnectFailed},
		"closed here before":    {writeEnd{0, net.ErrClosed}, balance.ConnectFailed},
		"reset after some":      {writeEnd{20, syscall.ECONNRESET}, balance.Reset},
		"time after some":       {writeEnd{20, os.ErrDeadlineExceeded}, balance.Reset},
		"closed here in midway": {writeEnd{20, net.ErrClosed}, balance.Reset},
		"reset after all":       {writeEnd{1 << 20, syscall.ECONNRESET}, balance.Reset},
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reused ", reused), func(t *testing.T) {
				good := answerText("200 OK", "ID", "s", "abc")
				runFixture(t, &server{answers: []string{good, good, good}}, func(f *fixture) {
					var conn *faultyConn
					dial := f.Dial
					f.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
						c, err := dial(ctx, network, address)
						conn = &faultyConn{Conn: c, written: &strings.Builder{}}
						return conn, err
					}
					if reused {
						f.call("x0")
						conn.ends = []writeEnd{c.end}
					} else {
						first := f.Dial
						f.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
							_, err := first(ctx, network, address)
							conn.ends = []writeEnd{c.end}
							return conn, err
						}
					}
					result, _ := f.call("x1")
					if c.end.accepted < 1<<20 { // after the whole request was accepted, it may also be answered
						must.Eq(t, c.want, result)
					} else {
						must.False(t, result.NeverRan())
					}
					f.settle()
				})
			})
		}
	}
}

// stalledWrite calls test with a connection on which the write of the first request has stalled midway. The
// replica has already answered that it did not execute that request, and the second request waits to be
// written. release makes the stalled write fail, and returns the reports of what ended then.
func stalledWrite(t *testing.T, test func(far net.Conn, conn *faultyConn, release func() []replica.Report)) {
	synctest.Test(t, func(t *testing.T) {
		poolEnd, replicaEnd := net.Pipe()
		wait := make(chan struct{})
		conn := &faultyConn{Conn: poolEnd, ends: []writeEnd{{accepted: 20, err: os.ErrDeadlineExceeded}}, written: &strings.Builder{}, wait: wait}
		f := &fixture{t: t, events: make(chan any, 64)}
		began := time.Now()
		f.Pool = NewPool(func(v any) { f.events <- v }, func() int64 { return int64(time.Since(began)) })
		f.Dial = func(context.Context, string, string) (net.Conn, error) { return conn, nil }
		f.SetAddress(0, DestinationAddress("i-1", "r:1"))
		defer func() {
			replicaEnd.Close()
			poolEnd.Close()
			synctest.Wait()
		}()
		go func() {
			io.ReadFull(replicaEnd, make([]byte, 20))
			io.WriteString(replicaEnd, withLines(answerText("503 No", "x1", "", ""), notExecutedLine))
		}()
		result, _ := f.call("x1")
		must.Eq(t, balance.Full, result)
		second := &replica.Ticket{Payload: &Request{Attempt: "x2", Method: "GET", Head: []byte("GET /other HTTP/1.1\r\n"),
			Answers: map[int]*Answer{}}}
		f.Send(0, []*replica.Ticket{second})
		synctest.Wait()
		test(replicaEnd, conn, func() (ended []replica.Report) {
			close(wait)
			synctest.Wait()
			for len(f.events) > 0 {
				reports, _ := f.Handle(<-f.events)
				ended = append(ended, reports...)
				synctest.Wait()
			}
			must.Zero(t, f.OpenConnections())
			return ended
		})
	})
}

// TestAnsweredBeforeItIsWritten: a replica answers before it has read the whole request and then never reads
// the rest. No byte of the next request may follow, because the replica still waits for that rest.
func TestAnsweredBeforeItIsWritten(t *testing.T) {
	for range raceRounds { // the result must not depend on whether the reader or the writer reports first
		stalledWrite(t, func(far net.Conn, conn *faultyConn, release func() []replica.Report) {
			go io.Copy(io.Discard, far)
			ended := release()
			must.StrNotContains(t, conn.written.String(), "/other")
			must.SliceLen(t, 1, ended)
			must.Eq(t, balance.ConnectFailed, ended[0].Result)
		})
	}
}

// deadConn is a connection that is closed as soon as it is open.
type deadConn struct{ net.Conn }

func (deadConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (deadConn) Write([]byte) (int, error)        { return 0, net.ErrClosed }
func (deadConn) Close() error                     { return nil }
func (deadConn) SetWriteDeadline(time.Time) error { return nil }

// TestDeadOnArrival: a connection that ends before its first request was written proves that the request was
// not executed, even if the reader reports the end.
func TestDeadOnArrival(t *testing.T) {
	runFixture(t, &server{}, func(f *fixture) {
		f.Dial = func(context.Context, string, string) (net.Conn, error) { return deadConn{}, nil }
		for range raceRounds {
			result, _ := f.call("x1")
			must.Eq(t, balance.ConnectFailed, result)
			f.settle()
		}
	})
}

// TestEndedBeforeItIsWritten: if the connection ends, or receives bytes without a request, before the next
// request is written, that request is not written any more and is reported as not executed.
func TestEndedBeforeItIsWritten(t *testing.T) {
	for name, end := range map[string]func(far net.Conn){
		"closed":  func(far net.Conn) { far.Close() },
		"garbage": func(far net.Conn) { io.WriteString(far, "x") },
		"answer":  func(far net.Conn) { io.WriteString(far, answerText("200 OK", "x2", "s", "abc")) },
	} {
		t.Run(name, func(t *testing.T) {
			stalledWrite(t, func(far net.Conn, conn *faultyConn, release func() []replica.Report) {
				end(far)
				synctest.Wait() // the pool's connection has noticed the end before the second request may be written
				ended := release()
				must.StrNotContains(t, conn.written.String(), "/other")
				must.SliceLen(t, 1, ended)
				must.Eq(t, balance.ConnectFailed, ended[0].Result)
			})
		})
	}
}
