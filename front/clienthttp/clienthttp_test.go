package clienthttp

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/balance"
	"willowsill/decide/routeconfig"
	"willowsill/decide/routingtable"
	"willowsill/internal/pipenet"
	"willowsill/node"
	"willowsill/transport/boundedread"
	"willowsill/transport/replicahttp"
)

const configuration = `{"revision":7,"routes":[
{"name":"scan","host":"h","path-prefix":"/a/","route-kind":"safe","deadline-ms":1200,"target-ms":200,"fanout":["s0","s1","s2"],"max-tries":2,"result-count":2,"min-coverage":0.6},
{"name":"debit","host":"h","path-prefix":"/b/","route-kind":"unsafe","deadline-ms":4000,"service":"s0"}],
"services":[{"name":"s0"},{"name":"s1"},{"name":"s2"}],"limits":{"max-body-bytes":10}}`

// recordingCore is a Core whose answers are set by the test. It records the query that it was asked.
type recordingCore struct {
	asked   node.Query
	answers map[int]*replicahttp.Answer
	outcome balance.Outcome
	wait    int64
}

func (c *recordingCore) Serve(_ context.Context, q node.Query) (node.Answer, bool) {
	c.asked = q
	a := node.Answer{Outcome: c.outcome, RetryAfter: c.wait}
	r := q.Payload.(*replicahttp.Request)
	for _, p := range q.Parts {
		if got := c.answers[p.Shard]; got != nil {
			r.Answers[p.Shard] = got
			if got.Status == http.StatusOK {
				a.Values = append(a.Values, node.Value{Shard: p.Shard})
			}
		}
	}
	return a, true
}

func newHandler(t *testing.T, c *recordingCore) *Handler { return newHandlerOf(t, c, configuration) }

// newHandlerOf returns a handler with this configuration in force.
func newHandlerOf(t *testing.T, c *recordingCore, text string) *Handler {
	ch, err := routeconfig.Read([]byte(text))
	must.NoError(t, err)
	q := &Handler{Core: c, Now: func() int64 { return 1000 }}
	q.SetState(&routingtable.State{Config: ch, Rows: map[routeconfig.RouteID]int{{Host: "h", Prefix: "/a/"}: 4, {Host: "h", Prefix: "/b/"}: 9}, Shards: map[string]int{"s0": 0, "s1": 1, "s2": 2}})
	return q
}

func request(method, target, body string) *http.Request {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	r.Host, r.RequestURI = "h", target
	r.Header.Set(replicahttp.HeaderAttempt, "try-1")
	r.Header.Set(replicahttp.HeaderDeadline, "700")
	r.Header.Set("X-Till", "9")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	r.Header.Set(replicahttp.HeaderTarget, "forged")
	return r
}

func part(seal string, records ...string) *replicahttp.Answer {
	return &replicahttp.Answer{Status: http.StatusOK, Seal: seal, Complete: true, Body: []byte(strings.Join(records, ""))}
}

func record(c byte) string { return strings.Repeat(string(c), 16) }

// TestGatheredAnswer: the answer has the greatest records of the parts that succeeded, their seals, and the number
// of missing parts.
func TestGatheredAnswer(t *testing.T) {
	failed := &replicahttp.Answer{Status: 500, Seal: "bad", Complete: true}
	c := &recordingCore{outcome: balance.Partial, answers: map[int]*replicahttp.Answer{0: part("x", record('b'), record('d')), 1: failed,
		2: part("y", record('d'), record('a'), "rest")}}
	w := httptest.NewRecorder()
	newHandler(t, c).ServeHTTP(w, request("GET", "/a/q?x=1", ""))
	must.Eq(t, 200, w.Code)
	must.Eq(t, "x, y", w.Header().Get(headerPartSeals))
	must.Eq(t, "1", w.Header().Get(headerMissing))
	must.Eq(t, record('d')+record('d'), w.Body.String())
	must.Eq(t, 4, c.asked.Workload)
	must.SliceLen(t, 3, c.asked.Parts)
	must.Eq(t, 1000+700*millisecond, c.asked.Deadline)
}

// TestLargeResultCount (FAULT): a route may ask for more records than there are, or than fit into any memory; the answer holds those that
// there are. One such route ended each edge at its first answer.
func TestLargeResultCount(t *testing.T) {
	for _, count := range []string{"9007199254740992", "4294967296", "5"} {
		c := &recordingCore{answers: map[int]*replicahttp.Answer{0: part("x", record('b')), 1: part("y", record('d')), 2: part("z", record('a'))}}
		w := httptest.NewRecorder()
		newHandlerOf(t, c, strings.Replace(configuration, `"result-count":2`, `"result-count":`+count, 1)).ServeHTTP(w, request("GET", "/a/q", ""))
		must.Eq(t, 200, w.Code)
		must.Eq(t, record('d')+record('b')+record('a'), w.Body.String())
	}
}

// TestLengthThatIsNeverSent (FAULT): a client that states a long body and sends little of it takes no more memory than it has sent.
func TestLengthThatIsNeverSent(t *testing.T) {
	r := request("POST", "/b/x", "short")
	r.ContentLength = 1 << 52
	w := httptest.NewRecorder()
	newHandlerOf(t, &recordingCore{}, strings.Replace(configuration, `"max-body-bytes":10`, `"max-body-bytes":9007199254740992`, 1)).ServeHTTP(w, r)
	must.Eq(t, 400, w.Code)
}

// TestBodiesBeyondTheMemory (FAULT): a body that does not fit into the memory for bodies is declined, whether it states its length or
// not. Each body gives its memory back. Clients could end an edge by what they sent at the same time.
func TestBodiesBeyondTheMemory(t *testing.T) {
	const room = 64 << 10
	handler := newHandler(t, &recordingCore{answers: map[int]*replicahttp.Answer{0: part("x")}})
	handler.Bodies = boundedread.NewBudget(room)
	status := func(length int64) int {
		r := request("POST", "/b/x", "body")
		r.ContentLength = length
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w.Code
	}
	for range 2 * room {
		must.Eq(t, 200, status(4))
	}
	must.Eq(t, 200, status(-1))
	handler.Bodies = boundedread.NewBudget(3)
	must.Eq(t, 503, status(4))
	must.Eq(t, 503, status(-1))
}

// TestWhatReplicasGet: replicas get the request unchanged, except for headers that concern one connection or that
// the proxy sets.
func TestWhatReplicasGet(t *testing.T) {
	c := &recordingCore{answers: map[int]*replicahttp.Answer{0: {Status: 200, Seal: "s", Complete: true, Body: []byte("ok"),
		Header: http.Header{"Willowsill-Replica-Seal": {"s"}, "Connection": {"close"}, "X-More": {"1", "2"}}}}}
	w := httptest.NewRecorder()
	newHandler(t, c).ServeHTTP(w, request("POST", "/b/a%2Fb?x=%20", "body"))
	must.Eq(t, 200, w.Code)
	must.Eq(t, "ok", w.Body.String())
	must.Eq(t, "", w.Header().Get("Connection"))
	must.SliceLen(t, 2, w.Header()["X-More"])
	r := c.asked.Payload.(*replicahttp.Request)
	head := string(r.Head)
	must.StrHasPrefix(t, "POST /b/a%2Fb?x=%20 HTTP/1.1\r\nHost: h\r\n", head)
	must.StrContains(t, head, replicahttp.HeaderAttempt+": try-1\r\n")
	must.StrContains(t, head, "X-Till: 9\r\n")
	must.StrContains(t, head, "Content-Length: 4\r\n")
	for _, not := range []string{"X-Hop", "forged", replicahttp.HeaderDeadline} {
		must.StrNotContains(t, head, not)
	}
	must.Eq(t, "body", string(r.Body))
}

// TestRefusals: the status of each answer that the proxy gives on its own behalf.
func TestRefusals(t *testing.T) {
	declined := &recordingCore{outcome: balance.Declined, wait: int64(1500 * time.Millisecond)}
	forfeited := &recordingCore{outcome: balance.Forfeited}
	failed := &recordingCore{outcome: balance.Forfeited, answers: map[int]*replicahttp.Answer{0: {Status: 500, Seal: "s", Complete: true, Body: []byte("no")}}}
	misdirected := &recordingCore{outcome: balance.Declined, answers: map[int]*replicahttp.Answer{0: {Status: 421, Complete: true}}}
	for name, c := range map[string]struct {
		core   *recordingCore
		change func(*http.Request)
		want   int
	}{
		"declined":           {declined, func(*http.Request) {}, 503},
		"may have run":       {forfeited, func(*http.Request) {}, 502},
		"a replica's own":    {failed, func(*http.Request) {}, 500},
		"another replica's":  {misdirected, func(*http.Request) {}, 503},
		"no route":           {declined, func(r *http.Request) { r.RequestURI = "/c/" }, 404},
		"another host":       {declined, func(r *http.Request) { r.Host = "other" }, 404},
		"no id":              {declined, func(r *http.Request) { r.Header.Del(replicahttp.HeaderAttempt) }, 400},
		"odd deadline":       {declined, func(r *http.Request) { r.Header.Set(replicahttp.HeaderDeadline, "soon") }, 400},
		"too long":           {declined, func(r *http.Request) { r.ContentLength = 11 }, 413},
		"too long in chunks": {declined, func(r *http.Request) { r.ContentLength = -1; r.Body = io.NopCloser(bytes.NewReader(make([]byte, 11))) }, 413},
	} {
		t.Run(name, func(t *testing.T) {
			r := request("POST", "/b/x", "body")
			c.change(r)
			w := httptest.NewRecorder()
			newHandler(t, c.core).ServeHTTP(w, r)
			must.Eq(t, c.want, w.Code)
			if c.want == 503 && c.core == declined {
				must.Eq(t, "0.892", w.Header().Get("Retry-After"))
			}
		})
	}
	w := httptest.NewRecorder()
	(&Handler{Now: func() int64 { return 0 }}).ServeHTTP(w, request("GET", "/a/", "")) // without a configuration
	must.Eq(t, 503, w.Code)
}

// TestServiceWithoutAShard: if a service of a request has no shard, the request goes to no other service's
// replica.
func TestServiceWithoutAShard(t *testing.T) {
	c := &recordingCore{}
	handler := newHandler(t, c)
	state := *handler.state.Load()
	state.Shards = map[string]int{"s1": 1, "s2": 2}
	handler.SetState(&state)
	for _, r := range []*http.Request{request("GET", "/a/q", ""), request("POST", "/b/x", "body")} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		must.Eq(t, 503, w.Code)
		must.SliceEmpty(t, c.asked.Parts)
	}
}

// TestLimitsThatChange: a new connection gets the new limits, an open one keeps its own, and servers without
// connections are removed.
func TestLimitsThatChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipenet.Network{}
		front := network.Listen("front:1")
		s := &Servers{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "ok") })}
		one, other := routeconfig.Limits{HeaderBytes: 1 << 10}, routeconfig.Limits{HeaderBytes: 1 << 10, IdleTimeoutMs: 50}
		s.SetLimits(front.Addr(), one)
		s.SetLimits(front.Addr(), one)
		must.SliceLen(t, 1, s.All())
		go s.Accept(front)
		defer func() {
			front.Close()
			for _, server := range s.All() {
				server.Close()
			}
			synctest.Wait()
		}()
		open, err := network.Dial(t.Context(), "", "front:1")
		must.NoError(t, err)
		r := bufio.NewReader(open)
		ask := func() {
			go io.WriteString(open, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			res, err := http.ReadResponse(r, nil)
			must.NoError(t, err)
			io.Copy(io.Discard, res.Body)
		}
		ask()
		s.SetLimits(front.Addr(), other)
		must.SliceLen(t, 2, s.All())
		must.Eq(t, 50*time.Millisecond, s.All()[1].IdleTimeout)
		must.Eq(t, defaultIdleTimeout, s.All()[0].IdleTimeout)
		for n := range 1000 {
			s.SetLimits(front.Addr(), routeconfig.Limits{HeaderBytes: 1<<10 + n})
		}
		must.SliceLen(t, 2, s.All())
		time.Sleep(30 * time.Second)
		ask() // still allowed by the connection's own limits
		open.Close()
		synctest.Wait()
		must.SliceLen(t, 1, s.All())
	})
}
