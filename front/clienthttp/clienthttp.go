// Package clienthttp serves clients of a proxy over HTTP: it decodes requests, passes them to the core and writes
// the answers. It makes no policy decisions; by itself it refuses only requests that are malformed, that have no
// route, whose route has no shard, whose body does not come in time or does not fit into memory, or that arrive before a configuration
// has been applied.
package clienthttp

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"willowsill/balance"
	"willowsill/decide/gather"
	"willowsill/decide/routeconfig"
	"willowsill/decide/routingtable"
	"willowsill/node"
	"willowsill/transport/boundedread"
	"willowsill/transport/replicahttp"
)

const (
	headerPartSeals     = "Willowsill-Part-Seals"
	headerMissing       = "Willowsill-Missing-Parts"
	millisecond         = int64(time.Millisecond)
	defaultMaxBodyBytes = 1 << 20          // limit of a request's body if the configuration sets none
	writeTimeout        = 10 * time.Second // time in which a client must take its answer
	drawRange           = 1 << 32          // number of values of a 32-bit hash, which is mapped to 0 to 1
)

// Core serves queries. Serve returns the query's only answer, or false if the client disconnected first.
type Core interface {
	Serve(ctx context.Context, q node.Query) (node.Answer, bool)
}

// Handler is the HTTP handler for clients' requests.
type Handler struct {
	Core     Core
	Now      func() int64
	Bodies   *boundedread.Budget // memory for the bodies of requests in progress; nil for no limit
	Draining atomic.Bool         // each answer closes its connection
	state    atomic.Pointer[routingtable.State]
}

// SetState sets the state by which new requests are served. A request in progress keeps the state that it began
// with.
func (h *Handler) SetState(s *routingtable.State) { h.state.Store(s) }

// hopHeaders are the headers that are not passed on, as they concern one connection or are set by the proxy.
var hopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Content-Length": true, "Host": true, replicahttp.HeaderDeadline: true, replicahttp.HeaderTarget: true}

// ServeHTTP serves one request: it finds its route, passes it to the core and writes the answer.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.Now()
	if h.Draining.Load() {
		w.Header().Set("Connection", "close")
	}
	state := h.state.Load()
	if state == nil {
		refuse(w, http.StatusServiceUnavailable, int64(time.Second))
		return
	}
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	route := state.Config.Find(r.Host, path)
	if route == nil {
		refuse(w, http.StatusNotFound, 0)
		return
	}
	attempt := r.Header.Get(replicahttp.HeaderAttempt)
	// Danger: a replica may answer with either of two ids, and an answer with the wrong one would match no
	// request.
	if attempt == "" || len(r.Header[replicahttp.HeaderAttempt]) > 1 {
		refuse(w, http.StatusBadRequest, 0)
		return
	}
	deadline := arrived + route.DeadlineMs*millisecond
	if v := r.Header.Get(replicahttp.HeaderDeadline); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			refuse(w, http.StatusBadRequest, 0)
			return
		}
		n = min(max(n, 0), routeconfig.MaxDurationMs)
		deadline = min(deadline, arrived+n*millisecond)
	}
	account := h.Bodies.RemoteAccount(r.RemoteAddr)
	body, err := readBody(w, r, account, state.Config.Limits.BodyBytes, time.Duration(deadline-arrived))
	if err != nil {
		refuseBody(w, err)
		return
	}
	defer account.Release(int64(len(body)))
	req := &replicahttp.Request{Attempt: attempt, Method: r.Method, Body: body, Head: requestHead(r, target, len(body)),
		Answers: map[int]*replicahttp.Answer{}}
	defer req.Release()
	row, known := state.Rows[route.ID()]
	query := node.Query{ID: attempt, Workload: row, Deadline: deadline, Payload: req}
	var served bool
	// Danger: a route without a row of its own would be served with another route's settings.
	if query.Parts, served = routeParts(state, route); !served || !known {
		refuse(w, http.StatusServiceUnavailable, int64(time.Second))
		return
	}
	answer, answered := h.Core.Serve(r.Context(), query)
	if !answered {
		// Danger: if a handler returns without writing, net/http answers 200, and a client that has closed only
		// its sending side would read that as a success.
		w.Header().Set("Connection", "close")
		refuse(w, http.StatusBadGateway, 0)
		return
	}
	draw := float64(uint32(xxhash.Sum64String(attempt))) / drawRange
	answer.RetryAfter = routingtable.RetryAfter(answer.RetryAfter, draw)
	limitWriting(w, func() {
		if len(route.Fanout) > 0 {
			writeGathered(w, route, req, query.Parts, answer)
		} else {
			writeSingle(w, req, query.Parts[0].Shard, answer)
		}
	})
}

// limitWriting calls write, which writes an answer, and gives the client writeTimeout to take it. The connection ends if it does not.
//
// Danger: a client that does not read would otherwise hold the memory of its answer, as part of what the replicas of the service may
// use, for as long as it keeps the connection.
func limitWriting(w http.ResponseWriter, write func()) {
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported in tests without a connection
	write()
	control.Flush()
	control.SetWriteDeadline(time.Time{})
}

// routeParts returns the parts of a request on a route: one for each service of a fan-out, else one. It returns
// false if a service has no shard.
//
// Danger: a part with the wrong shard would go to another service's replicas.
func routeParts(state *routingtable.State, route *routeconfig.Route) (parts []node.Part, served bool) {
	services := route.Fanout
	if len(services) == 0 {
		services = []string{state.Service(route)}
	}
	for _, service := range services {
		shard, found := state.Shards[service]
		if !found {
			return nil, false
		}
		parts = append(parts, node.Part{Shard: shard, Weight: 1 / float64(len(services))})
	}
	return parts, true
}

// requestHead returns the request line and the headers that go to the replicas, without those that differ from
// part to part.
func requestHead(r *http.Request, target string, length int) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	named := map[string]bool{}
	for _, v := range r.Header["Connection"] {
		for _, n := range strings.Split(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	for k, vs := range r.Header {
		if hopHeaders[k] || named[k] && k != replicahttp.HeaderAttempt {
			continue
		}
		for _, v := range vs {
			b.WriteString(k + ": " + v + "\r\n")
		}
	}
	if length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	return b.Bytes()
}

// refuse answers a request on the proxy's own behalf. If wait, in ns, is above 0, it is sent as Retry-After in decimal seconds.
func refuse(w http.ResponseWriter, status int, wait int64) {
	if wait > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(wait)/1e9, 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// writeUnserved answers a query that no replica has answered: 503 if it has not run and never will, 502 if it may
// have run.
func writeUnserved(w http.ResponseWriter, a node.Answer) {
	if a.Outcome == balance.Declined {
		refuse(w, http.StatusServiceUnavailable, a.RetryAfter)
		return
	}
	refuse(w, http.StatusBadGateway, 0)
}

// passesThrough reports whether a replica's answer is passed on to the client. Successes are, and so are errors of
// status 500 and above whose seal shows that the replica itself answered.
//
// Danger: 503 tells a client that its request has not run and never will. A replica's own 503 without a proof does
// not say that, and a client would repeat an unsafe request that has run.
func passesThrough(got *replicahttp.Answer, final balance.Outcome) bool {
	if got == nil || !got.Complete {
		return false
	}
	if final <= balance.Partial {
		return true
	}
	if got.Status == http.StatusServiceUnavailable && final != balance.Declined {
		return false
	}
	return got.Seal != "" && got.Status >= http.StatusInternalServerError
}

// writeSingle writes a replica's answer unchanged, which may be an error if there is nothing better.
func writeSingle(w http.ResponseWriter, req *replicahttp.Request, shard int, a node.Answer) {
	got := req.Answers[shard]
	if !passesThrough(got, a.Outcome) {
		writeUnserved(w, a)
		return
	}
	h := w.Header()
	for k, vs := range got.Header {
		if !hopHeaders[k] {
			h[k] = vs
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(got.Body)))
	if stated := http.Header(got.Header).Get("Content-Length"); req.Method == http.MethodHead && stated != "" {
		h.Set("Content-Length", stated)
	}
	w.WriteHeader(got.Status)
	w.Write(got.Body)
}

// writeGathered writes the merged answers of the parts that succeeded.
func writeGathered(w http.ResponseWriter, route *routeconfig.Route, req *replicahttp.Request, parts []node.Part, a node.Answer) {
	if a.Outcome > balance.Partial {
		writeUnserved(w, a)
		return
	}
	seals := make([]string, 0, len(parts))
	bodies := make([][]byte, 0, len(parts))
	for _, v := range a.Values {
		if got := req.Answers[v.Shard]; got != nil && got.Status/100 == 2 {
			seals, bodies = append(seals, got.Seal), append(bodies, got.Body)
		}
	}
	body := gather.Greatest(bodies, route.ResultCount)
	h := w.Header()
	h.Set(replicahttp.HeaderAttempt, req.Attempt)
	h.Set(headerPartSeals, strings.Join(seals, ", "))
	if missing := len(parts) - len(seals); missing > 0 {
		h.Set(headerMissing, strconv.Itoa(missing))
	}
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	w.Write(body)
}
