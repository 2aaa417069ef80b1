package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"willowsill/balance"
	"willowsill/internal/counters"
	"willowsill/internal/pipenet"
	"willowsill/node"
	"willowsill/transport/sockets"
)

// core is a Core whose answers come from the test.
type core struct {
	serve func(context.Context, node.Query) (node.Answer, bool)
	ready chan struct{}
}

func (c *core) Serve(ctx context.Context, q node.Query) (node.Answer, bool) { return c.serve(ctx, q) }
func (c *core) Ready() <-chan struct{}                                      { return c.ready }

// newFront returns a front with a core that is ready.
func newFront(serve func(context.Context, node.Query) (node.Answer, bool)) *Front {
	c := &core{serve, make(chan struct{})}
	close(c.ready)
	return &Front{Core: c, Clock: node.NewClock(), WorkloadRow: map[string]int{"report": 0, "lookup": 1}, Shards: 12,
		Counters: counters.New(nil), Log: zap.NewNop()}
}

const goodBody = `{"segments":[{"segment":3,"boost":0.25,"work":9000},{"segment":9,"boost":0.75}],"text":"c41e77d0"}`

func request(method, path, body string, header ...string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for _, h := range append([]string{"X-Qos: lookup", "X-Trace-Id: 9b1f", "X-Expires-In-Ms: 480"}, header...) {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	return r
}

// repeatHeader repeats a header of a request.
func repeatHeader(r *http.Request, name string) *http.Request {
	r.Header.Add(name, r.Header.Get(name))
	return r
}

// withHugeLength sets a request's Content-Length to 60 MB.
func withHugeLength(r *http.Request) *http.Request {
	r.ContentLength = 60 << 20
	return r
}

func TestIntake(t *testing.T) {
	for name, c := range map[string]struct {
		request *http.Request
		status  int
	}{
		"good":           {request("POST", "/lookup", goodBody), 200},
		"longer path":    {request("POST", "/lookup/a/b?c=d", goodBody), 200},
		"method":         {request("GET", "/lookup", goodBody), 405},
		"path":           {request("POST", "/other", goodBody), 404},
		"no path":        {request("POST", "/", goodBody), 404},
		"other workload": {request("POST", "/lookup", goodBody, "X-Qos: report"), 400},
		"unknown":        {request("POST", "/other", goodBody, "X-Qos: other"), 400},
		"no id":          {request("POST", "/lookup", goodBody, "X-Trace-Id: "), 400},
		"id with spaces": {request("POST", "/lookup", goodBody, "X-Trace-Id: a b"), 400},
		"no time":        {request("POST", "/lookup", goodBody, "X-Expires-In-Ms: "), 400},
		"odd time":       {request("POST", "/lookup", goodBody, "X-Expires-In-Ms: -1"), 400},
		"endless time":   {request("POST", "/lookup", goodBody, "X-Expires-In-Ms: 99999999999999"), 400},
		"time of words":  {request("POST", "/lookup", goodBody, "X-Expires-In-Ms: soon"), 400},
		"time with sign": {request("POST", "/lookup", goodBody, "X-Expires-In-Ms: +480"), 400},
		"two ids":        {repeatHeader(request("POST", "/lookup", goodBody), "X-Trace-Id"), 400},
		"two workloads":  {repeatHeader(request("POST", "/lookup", goodBody), "X-Qos"), 400},
		"two times":      {repeatHeader(request("POST", "/lookup", goodBody), "X-Expires-In-Ms"), 400},
		"huge length":    {withHugeLength(request("POST", "/lookup", "")), 413},
		"half a pair":    {request("POST", "/lookup", strings.Replace(goodBody, "c4", `\ud800`, 1)), 400},
		"no Unicode":     {request("POST", "/lookup", strings.Replace(goodBody, "c4", "\xff", 1)), 400},
		"key twice":      {request("POST", "/lookup", strings.Replace(goodBody, `"text"`, `"text":"","text"`, 1)), 400},
		"key misspelt":   {request("POST", "/lookup", strings.Replace(goodBody, `"text"`, `"Text"`, 1)), 400},
		"more after it":  {request("POST", "/lookup", goodBody+"{}"), 400},
		"shares short":   {request("POST", "/lookup", strings.Replace(goodBody, "0.75", "0.7", 1)), 400},
		"shares over":    {request("POST", "/lookup", strings.Replace(goodBody, "0.75", "0.8", 1)), 400},
		"share over one": {request("POST", "/lookup", `{"segments":[{"segment":1,"boost":1.5},{"segment":2,"boost":-0.5}],"text":"a"}`), 400},
		"rounded shares": {request("POST", "/lookup", strings.Replace(goodBody, "0.25", "0.2501", 1)), 200},
		"no body":        {request("POST", "/lookup", ""), 400},
		"no JSON":        {request("POST", "/lookup", "{"), 400},
		"no parts":       {request("POST", "/lookup", `{"segments":[],"text":"a"}`), 400},
		"no text":        {request("POST", "/lookup", `{"segments":[{"segment":1,"boost":1}]}`), 400},
		"no shard":       {request("POST", "/lookup", `{"segments":[{"boost":1}],"text":"a"}`), 400},
		"no share":       {request("POST", "/lookup", `{"segments":[{"segment":1}],"text":"a"}`), 400},
		"no shares":      {request("POST", "/lookup", `{"segments":[{"segment":1,"boost":0}],"text":"a"}`), 400},
		"out of range":   {request("POST", "/lookup", `{"segments":[{"segment":12,"boost":1}],"text":"a"}`), 400},
		"below range":    {request("POST", "/lookup", `{"segments":[{"segment":-1,"boost":1}],"text":"a"}`), 400},
		"twice":          {request("POST", "/lookup", `{"segments":[{"segment":1,"boost":1},{"segment":1,"boost":1}],"text":""}`), 400},
		"64 KiB":         {request("POST", "/lookup", goodBody+strings.Repeat(" ", maxBodyBytes-len(goodBody))), 200},
		"over 64 KiB":    {request("POST", "/lookup", goodBody+strings.Repeat(" ", maxBodyBytes)), 413},
		"health":         {request("GET", "/healthz", ""), 200},
		"health, POST":   {request("POST", "/healthz", ""), 405},
		"counters":       {request("GET", "/counters", ""), 200},
	} {
		t.Run(name, func(t *testing.T) {
			served := 0
			f := newFront(func(_ context.Context, q node.Query) (node.Answer, bool) {
				served++
				for i := range q.Parts {
					q.Parts[i].Weight = math.Round(q.Parts[i].Weight*1000) / 1000
				}
				if got := fmt.Sprint(q.ID, q.Workload, string(q.Text), q.Parts); got != "9b1f1c41e77d0[{3 0.25} {9 0.75}]" {
					t.Errorf("the core got %s", got)
				}
				if left := q.Deadline - testClock.Now(); left > 480e6 {
					t.Errorf("the client has %d ns left", left)
				}
				return node.Answer{Outcome: balance.Whole}, true
			})
			f.Clock = testClock
			w := httptest.NewRecorder()
			f.ServeHTTP(w, c.request)
			if w.Code != c.status || served > 0 && c.status != 200 {
				t.Errorf("status %d, want %d; the core was asked %d times", w.Code, c.status, served)
			}
		})
	}
}

var testClock = node.NewClock()

// TestRetryMark: only X-Second-Try: 1 marks a query as a retry.
func TestRetryMark(t *testing.T) {
	for value, marked := range map[string]bool{"1": true, "": false, "0": false, "true": false} {
		f := newFront(func(_ context.Context, q node.Query) (node.Answer, bool) {
			must.Eq(t, marked, q.Retry, must.Sprint(value))
			return node.Answer{Outcome: balance.Declined}, true
		})
		f.ServeHTTP(httptest.NewRecorder(), request("POST", "/lookup", goodBody, "X-Second-Try: "+value))
	}
}

// FuzzBody: any body is either refused or decoded to valid parts whose weights add up to 1.
func FuzzBody(f *testing.F) {
	f.Add([]byte(goodBody))
	f.Add([]byte(`{"segments":[{"segment":1e9,"boost":-1}],"text":null}`))
	f.Add([]byte(`{"segments":[{"segment":1,"boost":1e308},{"segment":2,"boost":1e308}],"text":"\ud800"}`))
	front := newFront(nil)
	f.Fuzz(func(t *testing.T, text []byte) {
		var q node.Query
		if front.decodeBody(text, &q) != nil {
			return
		}
		sum, seen := 0.0, map[int]bool{}
		for _, p := range q.Parts {
			if p.Shard < 0 || p.Shard >= front.Shards || seen[p.Shard] || p.Weight < 0 {
				t.Errorf("accepted the part %v", p)
			}
			seen[p.Shard] = true
			sum += p.Weight
		}
		if sum < 1-1e-9 || sum > 1+1e-9 {
			t.Errorf("the weights add up to %g", sum)
		}
	})
}

func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer node.Answer
		want   string
	}{
		"whole": {node.Answer{Outcome: balance.Whole, Values: []node.Value{{Shard: 3, Value: `5be2"<é`}, {Shard: 9}}},
			`200  {"all_in":true,"matches":[{"segment":3,"payload":"5be2\"<é"},{"segment":9,"payload":""}]}`},
		"partial":   {node.Answer{Outcome: balance.Partial, Values: []node.Value{{Shard: 3, Value: "a"}}}, `200  {"all_in":false,"matches":[{"segment":3,"payload":"a"}]}`},
		"declined":  {node.Answer{Outcome: balance.Declined}, "503  declined"},
		"come back": {node.Answer{Outcome: balance.Declined, RetryAfter: 1_000_000_001}, "503 1.001 declined"},
		"forfeited": {node.Answer{Outcome: balance.Forfeited}, "500  no answer"},
	} {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			newFront(func(context.Context, node.Query) (node.Answer, bool) { return c.answer, true }).
				ServeHTTP(w, request("POST", "/lookup", goodBody))
			got := fmt.Sprint(w.Code, " ", w.Header().Get("Retry-After"), " ", strings.TrimSpace(w.Body.String()))
			if got != c.want {
				t.Errorf("answered %s", got)
			}
		})
	}
}

// withServer runs a test against a server on synctest's clock. Afterwards the server must have stopped, and no descriptor
// may be taken.
func withServer(t *testing.T, serve func(context.Context, node.Query) (node.Answer, bool), test func(*Server, func() *client)) {
	synctest.Test(t, func(t *testing.T) {
		network, budget := &pipenet.Network{}, sockets.NewBudget(64)
		s := NewServer(newFront(serve), network.Listen("w:1"), budget)
		served := make(chan error, 1)
		go func() { served <- s.Serve() }()
		test(s, func() *client {
			c, err := network.Dial(t.Context(), "", "w:1")
			if err != nil {
				return nil
			}
			return &client{c, bufio.NewReader(c)}
		})
		select {
		case <-s.front.closing:
		default:
			if err := s.Stop(3 * time.Second); err != nil {
				t.Error(err)
			}
		}
		if err := <-served; err != http.ErrServerClosed {
			t.Error(err)
		}
		synctest.Wait()
		if n := budget.InUse(sockets.Clients); n != 0 {
			t.Errorf("%d descriptors are still taken", n)
		}
	})
}

// client is one connection of a client.
type client struct {
	net.Conn
	in *bufio.Reader
}

const requestUntilLength = "POST /lookup HTTP/1.1\r\nHost: h\r\nX-Qos: lookup\r\nX-Trace-Id: 9b1f\r\nX-Expires-In-Ms: 480\r\nContent-Length: "

func (c *client) send() {
	fmt.Fprintf(c, "%s%d\r\n\r\n%s", requestUntilLength, len(goodBody), goodBody)
}

// status reads the next answer and returns its status, or 0 if there is none, and whether the connection closes
// after it.
func (c *client) status() (code int, closing bool) {
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, true
	}
	io.Copy(io.Discard, r.Body)
	return r.StatusCode, r.Close
}

func serveWhole(context.Context, node.Query) (node.Answer, bool) {
	return node.Answer{Outcome: balance.Whole}, true
}

func TestClientLeaves(t *testing.T) {
	left := make(chan struct{})
	withServer(t, func(ctx context.Context, _ node.Query) (node.Answer, bool) {
		<-ctx.Done()
		close(left)
		return node.Answer{}, false
	}, func(_ *Server, dial func() *client) {
		c := dial()
		c.send()
		synctest.Wait()
		c.Close()
		synctest.Wait()
		select {
		case <-left:
		default:
			t.Error("the core's context did not end")
		}
	})
}

// Danger: a client's timeout runs from when it sent the query, however slowly the request arrives.
func TestSlowRequest(t *testing.T) {
	var until, began int64
	withServer(t, func(_ context.Context, q node.Query) (node.Answer, bool) {
		until = q.Deadline
		return node.Answer{Outcome: balance.Whole}, true
	}, func(s *Server, dial func() *client) {
		c := dial()
		for range 2 { // on a new connection, and on one that has been idle
			time.Sleep(time.Second)
			began = s.front.Clock.Now()
			fmt.Fprint(c, requestUntilLength[:60])
			time.Sleep(100 * time.Millisecond)
			fmt.Fprintf(c, "%s%d\r\n\r\n%s", requestUntilLength[60:], len(goodBody), goodBody[:9])
			time.Sleep(100 * time.Millisecond)
			fmt.Fprint(c, goodBody[9:])
			if code, _ := c.status(); code != 200 || until != began+480e6 {
				t.Errorf("status %d, %d ns from the first byte on", code, until-began)
			}
		}
		fmt.Fprintf(c, "%s%d\r\n\r\n%s", requestUntilLength, len(goodBody), goodBody[:9])
		began = s.front.Clock.Now()
		if code, closing := c.status(); code != 408 || !closing || s.front.Clock.Now() != began+int64(requestTimeout) {
			t.Errorf("an incomplete body was answered with %d after %d ns", code, s.front.Clock.Now()-began)
		}
	})
}

// Danger: malicious clients hold connections, processor and memory for as long as they are allowed to. Each must
// get an error or a close soon after connecting, and nothing that it sends may reach the core.
func TestRudeClients(t *testing.T) {
	for name, c := range map[string]struct {
		bytes string
		code  int
		wait  time.Duration
	}{
		"silent":          {"", 0, requestTimeout},
		"half a line":     {"POST /loo", 400, requestTimeout},
		"half a head":     {requestUntilLength, 0, requestTimeout},
		"half a body":     {requestUntilLength + "99\r\n\r\n{", 408, requestTimeout},
		"no HTTP":         {"\x16\x03\x01\x02\r\n\r\n", 400, 0},
		"endless head":    {"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 64<<10), 431, 0},
		"below zero":      {requestUntilLength + "-5\r\n\r\n", 400, 0},
		"huge":            {requestUntilLength + "99999999999999999999\r\n\r\n", 400, 0},
		"60 MB":           {requestUntilLength + "60000000\r\n\r\n{", 413, 0},
		"two lengths":     {requestUntilLength + "5\r\nContent-Length: 6\r\n\r\n{}", 400, 0},
		"other encoding":  {requestUntilLength[:len(requestUntilLength)-16] + "Transfer-Encoding: gzip\r\n\r\n", 501, 0},
		"endless chunks":  {requestUntilLength[:len(requestUntilLength)-16] + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4000\r\n"+strings.Repeat(" ", 0x4000)+"\r\n", 9), 413, 0},
		"odd chunks":      {requestUntilLength[:len(requestUntilLength)-16] + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, 0},
		"early complaint": {strings.Replace(requestUntilLength, "lookup", "other", 1) + "9\r\n\r\n", 404, 0},
		"hidden request":  {requestUntilLength + "3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n" + requestUntilLength + "2\r\n\r\n{}", 400, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(context.Context, node.Query) (node.Answer, bool) {
				t.Error("the core was asked")
				return node.Answer{}, false
			}, func(s *Server, dial func() *client) {
				rude, began := dial(), time.Now()
				go io.WriteString(rude, c.bytes)
				if code, _ := rude.status(); code != c.code || time.Since(began) > c.wait+time.Second {
					t.Errorf("got %d after %v", code, time.Since(began))
				}
				if code, _ := rude.status(); code != 0 || time.Since(began) > c.wait+time.Second {
					t.Errorf("then %d after %v", code, time.Since(began))
				}
				rude.Close()
			})
		})
	}
}

// Danger: a request hidden behind another, or in its chunks, must not be served. The connection is closed instead.
func TestHiddenRequest(t *testing.T) {
	chunked := requestUntilLength[:len(requestUntilLength)-16] + "Transfer-Encoding: chunked\r\n\r\n"
	withServer(t, serveWhole, func(s *Server, dial func() *client) {
		for _, text := range []string{
			fmt.Sprintf("%s%d\r\n\r\n%s%s", requestUntilLength, len(goodBody), goodBody, requestUntilLength),
			fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n%s", chunked, len(goodBody), goodBody, requestUntilLength),
		} {
			c := dial()
			go io.WriteString(c, text)
			if code, closing := c.status(); code != 200 || !closing {
				t.Errorf("got %d, closing %t", code, closing)
			}
			c.Close()
		}
	})
}

// Danger: two open queries with the same id would get each other's answers.
func TestIDTwice(t *testing.T) {
	withServer(t, func(context.Context, node.Query) (node.Answer, bool) {
		time.Sleep(100 * time.Millisecond)
		return node.Answer{Outcome: balance.Whole}, true
	}, func(s *Server, dial func() *client) {
		first, second := dial(), dial()
		first.send()
		synctest.Wait()
		second.send()
		if code, _ := second.status(); code != 409 {
			t.Errorf("the second got %d", code)
		}
		for range 2 { // the id is free again after the answer
			if code, _ := first.status(); code != 200 {
				t.Errorf("the first got %d", code)
			}
			first.send()
		}
		first.status()
	})
}

// Danger: a client that never reads would hold its connection, and delay the shutdown, for ever.
func TestClientReadsNothing(t *testing.T) {
	withServer(t, serveWhole, func(s *Server, dial func() *client) {
		dial().send()
		time.Sleep(writeTimeout)
		synctest.Wait()
		if n := s.front.Counters.Undelivered.Load(); n != 1 || s.budget.InUse(sockets.Clients) != 0 {
			t.Errorf("%d answers undelivered, %d connections", n, s.budget.InUse(sockets.Clients))
		}
	})
}

func TestPanic(t *testing.T) {
	withServer(t, func(_ context.Context, q node.Query) (node.Answer, bool) { panic(q.ID) }, func(s *Server, dial func() *client) {
		for range 2 {
			c := dial()
			c.send()
			if code, _ := c.status(); code != 0 {
				t.Errorf("status %d", code)
			}
		}
		if n := s.front.Counters.Panics.Load(); n != 2 {
			t.Errorf("%d panics", n)
		}
	})
}

// Danger: a flood of connections must not take the descriptors that connections to replicas need. Idle clients are
// closed first.
func TestFlood(t *testing.T) {
	withServer(t, serveWhole, func(s *Server, dial func() *client) {
		idle := dial()
		idle.send()
		idle.status()
		for i := range 200 {
			c := dial()
			if synctest.Wait(); i%2 > 0 { // half of a request
				io.WriteString(c, requestUntilLength)
			}
			if i == 150 {
				c.send()
				if code, _ := c.status(); code != 200 {
					t.Errorf("status %d in the flood", code)
				}
			}
		}
		if most := s.budget.InUse(sockets.Clients); most > 24 {
			t.Errorf("clients hold %d descriptors, want at most 24", most)
		}
		if code, _ := idle.status(); code != 0 {
			t.Error("the idle client is still there")
		}
	})
}

// Danger: clients that ask once and keep their connections would use up the descriptors for clients. The most
// recent ones may stay for a while.
func TestIdleClients(t *testing.T) {
	withServer(t, serveWhole, func(s *Server, dial func() *client) {
		most := s.budget.Limit(sockets.Clients) / idleDivisor
		var open []*client
		for range most + 3 {
			c := dial()
			c.send()
			c.status()
			open = append(open, c)
			time.Sleep(time.Millisecond)
		}
		if synctest.Wait(); s.budget.InUse(sockets.Clients) != most {
			t.Errorf("%d connections stay open, want %d", s.budget.InUse(sockets.Clients), most)
		}
		last := open[len(open)-1]
		last.send()
		if code, _ := last.status(); code != 200 {
			t.Errorf("the last client got %d", code)
		}
		if time.Sleep(idleTimeout + time.Second); s.budget.InUse(sockets.Clients) != 0 {
			t.Errorf("%d connections are still open after %v", s.budget.InUse(sockets.Clients), idleTimeout)
		}
	})
}

// Danger: net/http's Shutdown loses connections that wait to be accepted, and clients that connect a little later.
func TestStop(t *testing.T) {
	withServer(t, func(_ context.Context, q node.Query) (node.Answer, bool) {
		time.Sleep(150 * time.Millisecond)
		return node.Answer{Outcome: balance.Whole}, true
	}, func(s *Server, dial func() *client) {
		underWay, idle, fresh := dial(), dial(), dial()
		idle.send()
		idle.status()
		underWay.send()
		stopped := make(chan error, 1)
		began := time.Now()
		go func() { stopped <- s.Stop(3 * time.Second) }()
		synctest.Wait()
		if code, closing := underWay.status(); code != 200 || !closing {
			t.Errorf("the query in progress got %d, closing %t", code, closing)
		}
		for range 3 {
			late := dial()
			late.send()
			if code, closing := late.status(); code != 200 || !closing {
				t.Errorf("a late client got %d, closing %t", code, closing)
			}
		}
		for _, c := range []*client{idle, fresh} {
			if code, _ := c.status(); code != 0 {
				t.Errorf("a client that sent nothing was answered with %d", code)
			}
		}
		if err := <-stopped; err != nil || time.Since(began) > 2*time.Second {
			t.Errorf("stopped after %v with %v", time.Since(began), err)
		}
		if dial() != nil {
			t.Error("clients are still accepted")
		}
	})
}

// Danger: requests that arrive while the process is paused would be closed unread when it resumes. A request that
// arrives byte by byte must still time out.
func TestReadLate(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	s := &Server{front: &Front{Clock: node.NewClock()}}
	c := &conn{Conn: server, server: s, since: s.front.Clock.Now()}
	expire := func() { server.SetReadDeadline(time.Now().Add(-time.Nanosecond)) } // the deadline passed only just now, as may be the case after a pause
	receive := func(text string) {
		io.WriteString(client, text)
		socket, err := server.(syscall.Conn).SyscallConn()
		for n := 0; err == nil && n < len(text); runtime.Gosched() {
			socket.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	expectRead := func(what, want string) {
		t.Helper()
		b := make([]byte, 100)
		n, err := c.Read(b)
		if string(b[:n]) != want || (want == "") != errors.Is(err, os.ErrDeadlineExceeded) || want != "" && err != nil {
			t.Errorf("%s: read %q, %v", what, b[:n], err)
		}
	}
	expire()
	expectRead("nothing had come", "")
	receive("POST /lookup")
	expire()
	expectRead("it had come", "POST /lookup")
	receive(" HTTP/1.1")
	expire()
	expectRead("a second time", "")
	server.SetReadDeadline(time.Time{})
	expectRead("in its time", " HTTP/1.1")
	c.bodyRead(0)
	receive("POST")
	expire()
	expectRead("while it is served", "")
	c.phase = idle // the request has been answered
	expire()
	expectRead("the next request", "POST")
}
