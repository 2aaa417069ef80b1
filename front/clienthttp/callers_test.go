package clienthttp

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
	"willowsill/node"
	"willowsill/transport/replicahttp"
)

// echoCore answers each query with its attempt id, once hold is closed. A query whose client disconnects before gets
// no answer.
type echoCore struct {
	hold chan struct{} // nil to answer at once

	mu      sync.Mutex
	asked   []*replicahttp.Request
	left    int           // queries whose client disconnected first
	reached chan struct{} // gets a value for each query that reaches the core
}

func (c *echoCore) Serve(ctx context.Context, q node.Query) (node.Answer, bool) {
	r := q.Payload.(*replicahttp.Request)
	c.mu.Lock()
	c.asked = append(c.asked, r)
	c.mu.Unlock()
	c.reached <- struct{}{}
	if c.hold != nil {
		select {
		case <-c.hold:
		case <-ctx.Done():
			c.mu.Lock()
			c.left++
			c.mu.Unlock()
			return node.Answer{}, false
		}
	}
	r.Answers[q.Parts[0].Shard] = &replicahttp.Answer{Status: 200, Seal: "seal-" + r.Attempt, Complete: true, Body: []byte("for " + r.Attempt),
		Header: http.Header{replicahttp.HeaderAttempt: {r.Attempt}, replicahttp.HeaderSeal: {"seal-" + r.Attempt}}}
	return node.Answer{Outcome: balance.Whole, Values: []node.Value{{Shard: q.Parts[0].Shard}}}, true
}

// serveClients serves clients on a port and returns its address.
func serveClients(t *testing.T, c *echoCore) (address string) {
	c.reached = make(chan struct{}, 64)
	handler := newHandler(t, nil)
	handler.Core = c
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 300 * time.Millisecond}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}

func post(id, lines, body string) string {
	return "POST /b/x HTTP/1.1\r\nHost: h\r\n" + replicahttp.HeaderAttempt + ": " + id + "\r\n" + lines + "\r\n" + body
}

func postSized(id, body string) string {
	return post(id, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
}

const chunked = "Transfer-Encoding: chunked\r\n"

// answers reads all answers on a connection until it ends, each as "status id".
func answers(t *testing.T, c net.Conn) (all []string) {
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(c)
	for {
		if _, err := r.Peek(1); err != nil {
			return all
		}
		res, err := http.ReadResponse(r, nil)
		must.NoError(t, err)
		body, err := io.ReadAll(res.Body)
		must.NoError(t, err)
		if res.StatusCode == 200 {
			must.Eq(t, "for "+res.Header.Get(replicahttp.HeaderAttempt), string(body))
			must.Eq(t, "seal-"+res.Header.Get(replicahttp.HeaderAttempt), res.Header.Get(replicahttp.HeaderSeal))
			all = append(all, "200 "+res.Header.Get(replicahttp.HeaderAttempt))
			continue
		}
		all = append(all, fmt.Sprint(res.StatusCode))
	}
}

// TestClientConnections: each way in which a client's connection can end or misbehave, on its first request and
// behind one that was answered. An incomplete request must go to no replica, and each request must get its own
// answer, in order.
func TestClientConnections(t *testing.T) {
	for name, c := range map[string]struct {
		sent  string   // bytes that the client sends before it closes its sending side or waits
		want  []string // expected answers
		asked []string // attempt and body of the requests that reach the core
	}{
		"nothing":                   {"", nil, nil},
		"ended in the first line":   {"POST /b", []string{"400"}, nil},
		"ended in the head":         {post("x1", "X-A: 1\r\n", "")[:40], []string{"400"}, nil},
		"ended before the body":     {post("x1", "Content-Length: 4\r\n", ""), []string{"400"}, nil},
		"ended in the body":         {post("x1", "Content-Length: 4\r\n", "bo"), []string{"400"}, nil},
		"ended in a chunk's head":   {post("x1", chunked, "4"), []string{"400"}, nil},
		"ended in a chunk":          {post("x1", chunked, "4\r\nbo"), []string{"400"}, nil},
		"ended behind a chunk":      {post("x1", chunked, "4\r\nbody\r\n"), []string{"400"}, nil},
		"ended in the last chunk":   {post("x1", chunked, "4\r\nbody\r\n0\r\n"), []string{"400"}, nil},
		"a chunk that is none":      {post("x1", chunked, "zz\r\nbody\r\n0\r\n\r\n"), []string{"400"}, nil},
		"whole in chunks":           {post("x1", chunked+"Connection: close\r\n", "4\r\nbody\r\n0\r\n\r\n"), []string{"200 x1"}, []string{"x1 body"}},
		"two in one segment":        {postSized("x1", "body") + postSized("x2", "more"), []string{"200 x1", "200 x2"}, []string{"x1 body", "x2 more"}},
		"two in one, second broken": {postSized("x1", "body") + post("x2", "Content-Length: 4\r\n", "mo"), []string{"200 x1", "400"}, []string{"x1 body"}},
		"garbage behind the body":   {postSized("x1", "body") + "\x00garbage\r\n\r\n", []string{"200 x1", "400"}, []string{"x1 body"}},
		"two lengths":               {post("x1", "Content-Length: 4\r\nContent-Length: 5\r\n", "body"), []string{"400"}, nil},
		"two ids":                   {post("x1", replicahttp.HeaderAttempt+": x2\r\nContent-Length: 4\r\nConnection: close\r\n", "body"), []string{"400"}, nil},
		"length and chunks":         {post("x1", chunked+"Content-Length: 3\r\nConnection: close\r\n", "4\r\nbody\r\n0\r\n\r\n"), []string{"200 x1"}, []string{"x1 body"}},
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %t", name, reused), func(t *testing.T) {
				t.Parallel()
				core := &echoCore{}
				conn, err := net.Dial("tcp", serveClients(t, core))
				must.NoError(t, err)
				defer conn.Close()
				sent, want, asked := c.sent, c.want, c.asked
				if reused {
					sent = postSized("x0", "first") + sent
					want = append([]string{"200 x0"}, want...)
					asked = append([]string{"x0 first"}, asked...)
				}
				io.WriteString(conn, sent)
				for range asked {
					<-core.reached // a client's close would abandon requests that the core has not got yet
				}
				if len(want) > len(asked) || len(asked) == 0 {
					conn.(*net.TCPConn).CloseWrite()
				} else {
					conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				}
				got := answersUntil(t, conn, len(want))
				must.Eq(t, want, got)
				core.mu.Lock()
				defer core.mu.Unlock()
				var received []string
				for _, r := range core.asked {
					received = append(received, r.Attempt+" "+string(r.Body))
				}
				must.Eq(t, asked, received)
			})
		}
	}
}

// TestClientThatStopsInItsBody (FAULT, CONFIG): a client that stops in the middle of its body gets 408 once its time is over, and its
// connection ends. It got no answer, and held memory for as long as it kept the connection.
func TestClientThatStopsInItsBody(t *testing.T) {
	const within = 150 * time.Millisecond
	deadline := fmt.Sprintf("%s: %d\r\n", replicahttp.HeaderDeadline, within.Milliseconds())
	for name, stopped := range map[string]string{"length": post("x1", deadline+"Content-Length: 4\r\n", "bo"), "chunks": post("x1", deadline+chunked, "4\r\nbo")} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %t", name, reused), func(t *testing.T) {
				t.Parallel()
				conn, err := net.Dial("tcp", serveClients(t, &echoCore{}))
				must.NoError(t, err)
				defer conn.Close()
				sent, want := stopped, []string{"408"}
				if reused {
					sent, want = postSized("x0", "first")+sent, []string{"200 x0", "408"}
				}
				began := time.Now()
				io.WriteString(conn, sent)
				must.Eq(t, want, answers(t, conn))
				must.GreaterEq(t, within, time.Since(began))
			})
		}
	}
}

// TestConnectionOutlastsTheTimeForABody: the time for a body does not bound what follows it on the connection.
func TestConnectionOutlastsTheTimeForABody(t *testing.T) {
	const within = 50 * time.Millisecond
	core := &echoCore{hold: make(chan struct{})}
	conn, err := net.Dial("tcp", serveClients(t, core))
	must.NoError(t, err)
	defer conn.Close()
	io.WriteString(conn, post("x1", fmt.Sprintf("%s: %d\r\nContent-Length: 4\r\n", replicahttp.HeaderDeadline, within.Milliseconds()), "body"))
	<-core.reached
	time.Sleep(3 * within)
	close(core.hold)
	must.Eq(t, []string{"200 x1"}, answersUntil(t, conn, 1))
	must.Zero(t, core.left)
	io.WriteString(conn, postSized("x2", "more"))
	must.Eq(t, []string{"200 x2"}, answersUntil(t, conn, 1))
}

// answersUntil reads up to most answers, or all until the connection ends if most is 0.
func answersUntil(t *testing.T, c net.Conn, most int) (all []string) {
	if most == 0 {
		return answers(t, c)
	}
	r := bufio.NewReader(c)
	for len(all) < most {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return all
		}
		body, err := io.ReadAll(res.Body)
		must.NoError(t, err)
		if res.StatusCode != http.StatusOK {
			all = append(all, fmt.Sprint(res.StatusCode))
			continue
		}
		id := res.Header.Get(replicahttp.HeaderAttempt)
		must.Eq(t, "for "+id, string(body))
		must.Eq(t, "seal-"+id, res.Header.Get(replicahttp.HeaderSeal))
		all = append(all, "200 "+id)
	}
	return all
}

// TestClientLeaves: the query of a client that disconnects is abandoned. A client that closed only its sending
// side must read neither a success nor a promise that its request has not run.
func TestClientLeaves(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closed":      func(c *net.TCPConn) { c.Close() },
		"reset":       func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"half closed": func(c *net.TCPConn) { c.CloseWrite() },
	} {
		for _, path := range []string{"/a/x", "/b/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				core := &echoCore{hold: make(chan struct{})}
				conn, err := net.Dial("tcp", serveClients(t, core))
				must.NoError(t, err)
				defer conn.Close()
				io.WriteString(conn, strings.Replace(postSized("x1", "body"), "/b/x", path, 1))
				<-core.reached
				leave(conn.(*net.TCPConn))
				for _, got := range answers(t, conn) {
					must.Eq(t, "502", got)
				}
				for range 500 { // the server notices at once, but this check may come first
					core.mu.Lock()
					left := core.left
					core.mu.Unlock()
					if left == 1 {
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
				t.Fatal("the query was not abandoned")
			})
		}
	}
}

// TestPipelinedBehindOneThatWaits: a pipelined request waits for the one before it, and each gets its own answer.
func TestPipelinedBehindOneThatWaits(t *testing.T) {
	core := &echoCore{hold: make(chan struct{})}
	conn, err := net.Dial("tcp", serveClients(t, core))
	must.NoError(t, err)
	defer conn.Close()
	io.WriteString(conn, postSized("x1", "body"))
	<-core.reached
	io.WriteString(conn, postSized("x2", "more"))
	close(core.hold)
	must.Eq(t, []string{"200 x1", "200 x2"}, answersUntil(t, conn, 2))
}

// TestExpectContinue: a client is asked for the body before it sends it, and a request whose body never arrives
// goes to no replica.
func TestExpectContinue(t *testing.T) {
	for _, sent := range []string{"body", "bo"} {
		core := &echoCore{}
		conn, err := net.Dial("tcp", serveClients(t, core))
		must.NoError(t, err)
		defer conn.Close()
		io.WriteString(conn, post("x1", "Expect: 100-continue\r\nContent-Length: 4\r\n", ""))
		r := bufio.NewReader(conn)
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		line, err := r.ReadString('\n')
		must.NoError(t, err)
		must.Eq(t, "HTTP/1.1 100 Continue\r\n", line)
		_, err = r.ReadString('\n')
		must.NoError(t, err)
		io.WriteString(conn, sent)
		if len(sent) < 4 {
			conn.(*net.TCPConn).CloseWrite()
		}
		res, err := http.ReadResponse(r, nil)
		must.NoError(t, err)
		if len(sent) < 4 {
			must.Eq(t, 400, res.StatusCode)
			must.SliceEmpty(t, core.asked)
			continue
		}
		must.Eq(t, 200, res.StatusCode)
	}
}

// TestSlowHead: a request whose headers do not arrive in time goes to no replica; net/http answers with an error
// and closes the connection.
func TestSlowHead(t *testing.T) {
	core := &echoCore{}
	conn, err := net.Dial("tcp", serveClients(t, core))
	must.NoError(t, err)
	defer conn.Close()
	io.WriteString(conn, "POST /b/x HTTP/1.1\r\nHost")
	must.Eq(t, []string{"400"}, answers(t, conn))
	must.SliceEmpty(t, core.asked)
}

// TestClientThatDoesNotReadItsAnswer: a client that does not read its answer holds the answer's memory for a limited time, and one that
// reads it in time can go on using its connection.
func TestClientThatDoesNotReadItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := newHandler(t, &recordingCore{answers: map[int]*replicahttp.Answer{0: {Status: http.StatusOK, Complete: true, Body: make([]byte, 1<<20)}}})
		ended := make(chan time.Time, 2)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handler.ServeHTTP(w, r)
			ended <- time.Now()
		})}
		network := &pipenet.Network{}
		go server.Serve(network.Listen("edge"))
		defer server.Close()
		ask := func(conn net.Conn) {
			_, err := io.WriteString(conn, "GET /b/x HTTP/1.1\r\nHost: h\r\n"+replicahttp.HeaderAttempt+": a\r\n\r\n")
			must.NoError(t, err)
		}
		reader, err := network.Dial(t.Context(), "tcp", "edge")
		must.NoError(t, err)
		answers := bufio.NewReader(reader)
		for range 2 {
			ask(reader)
			res, err := http.ReadResponse(answers, nil)
			must.NoError(t, err)
			body, err := io.ReadAll(res.Body)
			must.NoError(t, err)
			must.Eq(t, 1<<20, len(body))
			<-ended
			time.Sleep(2 * writeTimeout)
		}
		silent, err := network.Dial(t.Context(), "tcp", "edge")
		must.NoError(t, err)
		began := time.Now()
		ask(silent)
		select {
		case end := <-ended:
			must.LessEq(t, writeTimeout, end.Sub(began))
		case <-time.After(10 * writeTimeout):
			t.Error("the answer is still held")
		}
		reader.Close()
		silent.Close()
	})
}
