package replicahttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/balance"
	"willowsill/internal/pipenet"
	"willowsill/transport/replica"
)

// server is a simulated replica. It answers each request with the next of the given texts; an empty text closes
// the connection.
type server struct {
	mu      sync.Mutex // guards answers and heads between connections
	answers []string
	heads   []string

	idle       string // bytes sent half a second after the first answer; empty for none
	closesIdle bool   // the replica closes the connection half a second after the first answer
}

// next records a request and returns the answer to it, empty if there is none, and the number of requests so far.
func (s *server) next(request string) (answer string, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heads = append(s.heads, request)
	if len(s.answers) > 0 {
		answer, s.answers = s.answers[0], s.answers[1:]
	}
	return answer, len(s.heads)
}

// requests returns the number of requests so far.
func (s *server) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.heads)
}

func (s *server) serve(l *pipenet.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(req.Body)
				answer, requests := s.next(fmt.Sprint(req.Method, " ", req.RequestURI, " ", req.Header.Get(HeaderTarget), " ",
					req.Header.Get(HeaderDeadline), " ", string(body)))
				if answer == "" {
					return
				}
				answer, closes := strings.CutSuffix(answer, "CLOSE")
				io.WriteString(c, strings.ReplaceAll(answer, "ID", req.Header.Get(HeaderAttempt)))
				if closes {
					return
				}
				if requests == 1 && (s.idle != "" || s.closesIdle) {
					time.Sleep(500 * time.Millisecond)
					if s.closesIdle {
						return
					}
					io.WriteString(c, s.idle)
				}
			}
		}()
	}
}

func answerText(status, id, seal, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, HeaderAttempt, id, HeaderSeal, seal,
		len(body), body)
}

type fixture struct {
	*Pool
	t      *testing.T
	events chan any
}

func runFixture(t *testing.T, s *server, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		n := &pipenet.Network{}
		l := n.Listen("r:1")
		go s.serve(l)
		f := &fixture{t: t, events: make(chan any, 64)}
		began := time.Now()
		f.Pool = NewPool(func(v any) { f.events <- v }, func() int64 { return int64(time.Since(began)) })
		f.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			return n.Dial(ctx, network, address)
		}
		f.SetAddress(0, DestinationAddress("i-1", "r:1"))
		defer l.Close()
		defer func() { // also if the test has failed
			f.Pool.Close()
			synctest.Wait()
			for len(f.events) > 0 {
				f.Handle(<-f.events)
				synctest.Wait()
			}
			if !t.Failed() {
				must.Zero(t, f.OpenConnections())
			}
		}()
		test(f)
	})
}

// call sends one part by POST and returns its result.
func (f *fixture) call(id string) (balance.Result, *Answer) {
	f.t.Helper()
	return f.callMethod("POST", id)
}

// callMethod sends one part by the given method and returns its result.
func (f *fixture) callMethod(method, id string) (balance.Result, *Answer) {
	f.t.Helper()
	r := &Request{Attempt: id, Method: method, Body: []byte("body"), Answers: map[int]*Answer{},
		Head: []byte(method + " /a/b?c HTTP/1.1\r\nHost: h\r\n" + HeaderAttempt + ": " + id + "\r\nContent-Length: 4\r\n")}
	t := &replica.Ticket{Part: replica.Part{Shard: 3, WaitMs: 700}, Payload: r}
	must.True(f.t, f.Send(0, []*replica.Ticket{t}))
	synctest.Wait()
	for {
		synctest.Wait()
		if len(f.events) == 0 {
			f.t.Fatal("a part has no result")
		}
		reports, _ := f.Handle(<-f.events)
		if len(reports) > 0 {
			must.Eq(f.t, t, reports[0].Ticket)
			return reports[0].Result, r.Answers[3]
		}
	}
}

// settle handles the remaining notices.
func (f *fixture) settle() {
	synctest.Wait()
	for len(f.events) > 0 {
		f.Handle(<-f.events)
		synctest.Wait()
	}
}

func TestPartAndAnswer(t *testing.T) {
	s := &server{answers: []string{answerText("200 OK", "ID", "seal", "abc"), answerText("200 OK", "ID", "seal2", "de")}}
	runFixture(t, s, func(f *fixture) {
		result, a := f.call("x1")
		must.Eq(t, balance.Fulfilled, result)
		must.Eq(t, "abc", string(a.Body))
		must.Eq(t, "seal", a.Seal)
		result, _ = f.call("x2")
		must.Eq(t, balance.Fulfilled, result)
		must.Eq(t, []string{"POST /a/b?c i-1 700 body", "POST /a/b?c i-1 700 body"}, s.heads)
		must.Eq(t, 1, int(f.Opened.Load()))
	})
}

// TestWaysToEnd: each failure of a replica or its connection gives the right result, and no part that may have
// been executed is reported as not executed.
func TestWaysToEnd(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   balance.Result
		opened int // connections opened, after one more part
	}{
		"closed unread or run":   {"", balance.Reset, 2},
		"no answer at all":       {"garbage\r\n\r\n", balance.Reset, 2},
		"broken off":             {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nabcCLOSE", balance.Reset, 2},
		"without a length":       {"HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": ID\r\n" + HeaderSeal + ": s\r\n\r\nabcCLOSE", balance.Fulfilled, 2},
		"HTTP/1.0, no length":    {"HTTP/1.0 200 OK\r\n" + HeaderAttempt + ": ID\r\n" + HeaderSeal + ": s\r\n\r\nabcCLOSE", balance.Fulfilled, 2},
		"its own failure":        {answerText("500 No", "ID", "seal", "abc"), balance.Errored, 1},
		"without a seal":         {strings.Replace(answerText("200 OK", "ID", "", "abc"), HeaderSeal+": \r\n", "", 1), balance.Errored, 1},
		"encoded":                {strings.Replace(answerText("200 OK", "ID", "s", "abc"), "\r\n", "\r\nContent-Encoding: gzip\r\n", 1), balance.Errored, 1},
		"full":                   {strings.Replace(answerText("503 No", "ID", "", ""), "\r\n", "\r\n"+HeaderNotExecuted+": 1\r\n", 1), balance.Full, 1},
		"503 that may have run":  {answerText("503 No", "ID", "s", ""), balance.Errored, 1},
		"another has the place":  {answerText("421 No", "ID", "", ""), balance.ConnectFailed, 1},
		"it closes afterwards":   {strings.Replace(answerText("200 OK", "ID", "s", "abc"), "\r\n", "\r\nConnection: close\r\n", 1), balance.Fulfilled, 2},
		"an older answer first":  {answerText("200 OK", "old", "s", "xyz") + answerText("200 OK", "ID", "s", "abc"), balance.Fulfilled, 2},
		"a second answer behind": {answerText("200 OK", "ID", "s", "abc") + answerText("200 OK", "ID", "s", "abc"), balance.Fulfilled, 2},
		"bytes behind":           {answerText("200 OK", "ID", "s", "abc") + "junk", balance.Fulfilled, 2},
		"a continue before":      {"HTTP/1.1 100 Continue\r\n\r\n" + answerText("200 OK", "ID", "s", "abc"), balance.Fulfilled, 1},
		"in chunks": {"HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": ID\r\n" + HeaderSeal + ": s\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", balance.Fulfilled, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := &server{answers: []string{c.answer, answerText("200 OK", "ID", "s", "next")}}
			runFixture(t, s, func(f *fixture) {
				result, a := f.call("x1")
				must.Eq(t, c.want, result)
				if result == balance.Fulfilled {
					must.Eq(t, "abc", string(a.Body))
				}
				f.settle()
				result, a = f.call("x2")
				must.Eq(t, balance.Fulfilled, result)
				must.Eq(t, "next", string(a.Body))
				must.Eq(t, c.opened, int(f.Opened.Load()))
			})
		})
	}
}

// TestGivenUp: a part that still waits for its connection is withdrawn when it is abandoned, and is never sent.
func TestGivenUp(t *testing.T) {
	s := &server{answers: []string{answerText("200 OK", "ID", "s", "abc")}}
	runFixture(t, s, func(f *fixture) {
		l := (&pipenet.Network{})
		r := &Request{Attempt: "x", Method: "GET", Answers: map[int]*Answer{}, Head: []byte("GET / HTTP/1.1\r\n")}
		ticket := &replica.Ticket{Payload: r}
		l.Blackhole("r:1")
		dial := f.Dial
		f.Dial = l.Dial
		must.True(t, f.Send(0, []*replica.Ticket{ticket}))
		synctest.Wait()
		must.True(t, f.Abandon(ticket, true))
		time.Sleep(2 * dialTimeout)
		f.settle()
		f.Dial = dial
		must.True(t, f.Drained(0))
		must.SliceEmpty(t, s.heads)
	})
}

// TestIdleTooLong: a connection is not reused when the replica may be about to close it.
func TestIdleTooLong(t *testing.T) {
	answer := strings.Replace(answerText("200 OK", "ID", "s", "abc"), "\r\n", "\r\nKeep-Alive: timeout=4\r\n", 1)
	s := &server{answers: []string{answer, answer, answer}}
	runFixture(t, s, func(f *fixture) {
		f.call("x1")
		time.Sleep(2 * time.Second)
		f.call("x2")
		must.Eq(t, 1, int(f.Opened.Load()))
		time.Sleep(3500 * time.Millisecond)
		f.call("x3")
		must.Eq(t, 2, int(f.Opened.Load()))
	})
}
