package proxyserver

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"willowsill/decide/clusterstate"
	"willowsill/decide/registry"
	"willowsill/decide/routingtable"
	"willowsill/deployment"
	"willowsill/deployment/settings"
	"willowsill/front/clienthttp"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/replicahttp"
)

// instantReplica is the proxy's connection to a replica that answers each request at once, with as little work as
// possible.
type instantReplica struct {
	net.Conn
	replies chan []byte
	rest    []byte
}

func (a *instantReplica) Write(b []byte) (int, error) {
	id := "?"
	if at := bytes.Index(b, []byte(replicahttp.HeaderAttempt+": ")); at >= 0 {
		id, _, _ = strings.Cut(string(b[at+len(replicahttp.HeaderAttempt)+2:]), "\r\n")
	}
	a.replies <- fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3e1b.07.5a2.600.0.c9f2a4d1\r\n%s: 1,0,3\r\nContent-Type: application/octet-stream\r\nContent-Length: 160\r\nDate: Wed, 02 Dec 2026 02:00:00 GMT\r\n\r\n%0160d",
		replicahttp.HeaderAttempt, id, replicahttp.HeaderSeal, replicahttp.HeaderLoad, 7)
	return len(b), nil
}

func (a *instantReplica) Read(b []byte) (int, error) {
	if len(a.rest) == 0 {
		r, ok := <-a.replies
		if !ok {
			return 0, net.ErrClosed
		}
		a.rest = r
	}
	n := copy(b, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}

func (a *instantReplica) Close() error                     { return nil }
func (a *instantReplica) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkGathered measures a fan-out query of four parts on one client connection, through the handler, the
// node, the decision module and the pool. The replicas cost next to nothing.
func BenchmarkGathered(b *testing.B) {
	s := settings.Settings{IP: "127.0.0.1", Bounds: settings.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindowS: 10}}
	clock := node.NewClock()
	p := routingtable.New(clock.Now(), s)
	count := counters.New(nil)
	n := node.New(node.Options{Clock: clock, Deployment: deployment.Deployment{Deployment: routingtable.Deployment(s, 1)},
		Limits: deployment.Limits{MaxHeld: maxHeld}, Count: count, Log: zap.NewNop(), RequestList: func() {},
		NewTransport: func(notify func(any), now func() int64) node.Transport {
			pool := replicahttp.NewPool(notify, now)
			pool.Dial = func(context.Context, string, string) (net.Conn, error) {
				return &instantReplica{replies: make(chan []byte, 4)}, nil
			}
			return pool
		}})
	h := &Server{settings: s, node: n, counters: count, table: p}
	update := clusterstate.Update{Revision: 1, Raw: []byte(`{"revision":1,"routes":[{"name":"a","host":"h","path-prefix":"/x/","deadline-ms":2500,"target-ms":250,"fanout":["s0","s1","s2","s3"],"min-coverage":0.5,"max-tries":2,"result-count":10}],"services":[{"name":"s0"},{"name":"s1"},{"name":"s2"},{"name":"s3"}]}`)}
	for i := range 16 {
		update.Replicas = append(update.Replicas, registry.Record{ID: fmt.Sprint("i-", i), Service: fmt.Sprint("s", i%4), Address: "10.0.0.1:80", Seq: 1})
	}
	c := p.Apply(clock.Now(), update)
	must.NoError(b, c.Err)
	h.workloads = c.Workloads
	for range c.Workloads {
		h.counterRows = append(h.counterRows, &counters.Workload{})
	}
	h.retrySlack = 0
	h.setWorkloads()
	n.ApplyList(context.Background(), h.replicaList(c.Replicas))
	q := &clienthttp.Handler{Core: n, Now: clock.Now}
	q.SetState(c.State)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	server := &http.Server{Handler: q}
	go server.Serve(ln)
	conn, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(b, err)
	r := bufio.NewReader(conn)
	request := []byte("GET /x/2f HTTP/1.1\r\nHost: h\r\nWillowsill-Attempt-Id: 9c41d07be2a35f68\r\nWillowsill-Deadline-Ms: 600\r\n\r\n")
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		conn.Write(request)
		res, err := http.ReadResponse(r, nil)
		must.NoError(b, err)
		res.Body.Close()
		if res.StatusCode != 200 || res.Header.Get("Willowsill-Missing-Parts") != "" {
			b.Fatal(res)
		}
	}
	b.StopTimer()
	conn.Close()
	server.Close()
}
