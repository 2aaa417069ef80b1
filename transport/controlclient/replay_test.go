package controlclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// closingServer answers the first request on each connection, and closes the connection once it has read a second
// one.
type closingServer struct {
	answers []string // answers to the first requests of successive connections; the last one repeats

	mu       sync.Mutex
	requests []string // method and body of each request
	conns    int
	longest  int // most requests read on one connection
}

func (s *closingServer) listen(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return ln.Addr().String()
}

func (s *closingServer) serve(c net.Conn) {
	defer c.Close()
	s.mu.Lock()
	answer := s.answers[min(s.conns, len(s.answers)-1)]
	s.conns++
	s.mu.Unlock()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		s.mu.Lock()
		s.requests = append(s.requests, req.Method+" "+string(body))
		s.longest = max(s.longest, n)
		s.mu.Unlock()
		if n > 1 {
			return
		}
		io.WriteString(c, answer)
	}
}

const (
	busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	done = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// TestStockClientReplays shows what net/http's default client does if a reused connection is closed under a
// request: it resends a GET without notice to the caller, but not a POST that was written.
func TestStockClientReplays(t *testing.T) {
	for _, tc := range []struct {
		method, body string
		read         int // requests that the server reads during the second call
		fails        bool
	}{
		{http.MethodGet, "", 2, false},
		{http.MethodPost, "configuration", 1, true},
	} {
		t.Run(tc.method, func(t *testing.T) {
			s := &closingServer{answers: []string{done}}
			address := s.listen(t)
			defaultClient := http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
			for call := range 2 {
				req, err := http.NewRequest(tc.method, "http://"+address, strings.NewReader(tc.body))
				must.NoError(t, err)
				res, err := defaultClient.Do(req)
				must.Eq(t, call == 1 && tc.fails, err != nil)
				if err == nil {
					io.Copy(io.Discard, res.Body)
					res.Body.Close()
				}
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			must.SliceLen(t, 1+tc.read, s.requests)
		})
	}
}

// TestEachTryHasItsOwnConnection: only Client's own retries resend a request. Each retry has the same bytes and
// a new connection, because net/http replays requests on reused connections alone.
func TestEachTryHasItsOwnConnection(t *testing.T) {
	s := &closingServer{answers: []string{busy, busy, done}}
	client := Client{Addresses: []string{s.listen(t)}}
	must.NoError(t, client.SendConfiguration(context.Background(), []byte("configuration")))
	_, err := client.ReadConfiguration(context.Background())
	must.NoError(t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	must.Eq(t, []string{"POST configuration", "POST configuration", "POST configuration", "GET "}, s.requests)
	must.Eq(t, 1, s.longest)
	must.Eq(t, 4, s.conns)
}

// TestRedirectsAreBounded: a 307 is followed twice, the limit of all clients of the control resources, and then
// the next address is tried.
func TestRedirectsAreBounded(t *testing.T) {
	loop := &closingServer{}
	address := loop.listen(t)
	loop.mu.Lock()
	loop.answers = []string{"HTTP/1.1 307 There\r\nLocation: http://" + address + "/v1\r\nContent-Length: 0\r\n\r\n"}
	loop.mu.Unlock()
	good := &closingServer{answers: []string{done}}
	client := Client{Addresses: []string{address, good.listen(t)}}
	must.NoError(t, client.SendConfiguration(context.Background(), []byte("configuration")))
	loop.mu.Lock()
	defer loop.mu.Unlock()
	must.SliceLen(t, 3, loop.requests)
}

// TestTriesEndWithTheContext: without a definite answer the retries go on until ctx ends, and no longer.
func TestTriesEndWithTheContext(t *testing.T) {
	s := &closingServer{answers: []string{busy}}
	client := Client{Addresses: []string{s.listen(t)}}
	ctx, cancel := context.WithTimeout(context.Background(), 3*retryDelay)
	defer cancel()
	must.Error(t, client.SendConfiguration(ctx, []byte("configuration")))
	s.mu.Lock()
	defer s.mu.Unlock()
	must.LessEq(t, 4, len(s.requests))
}
