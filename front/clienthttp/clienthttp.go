// Package clienthttp takes clients' requests over HTTP, hands them to the core and writes the answers. It knows no
// policy: what it refuses itself is what cannot be read, has no route, or comes before there is a
// configuration.
package clienthttp

import (
	"bytes"
	"context"
	"errors"
	"io"
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
	"willowsill/transport/replicahttp"
)

const (
	headerPartSeals     = "Willowsill-Part-Seals"
	headerMissing       = "Willowsill-Missing-Parts"
	millisecond         = int64(time.Millisecond)
	defaultMaxBodyBytes = 1 << 20 // bytes of a request's body, where no limit is stated
	drawRange           = 1 << 32
)

// Core serves one query and gives its one answer, or false where the client left first.
type Core interface {
	Serve(ctx context.Context, q node.Query) (node.Answer, bool)
}

// Handler is the handler of clients' requests.
type Handler struct {
	Core     Core
	Now      func() int64
	Draining atomic.Bool // each answer closes its connection
	state    atomic.Pointer[routingtable.State]
}

// SetState takes requests by this from now on. One under way goes on with what it began with.
func (q *Handler) SetState(s *routingtable.State) { q.state.Store(s) }

// hopHeaders concern one connection only, or are this side's to write.
var hopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Content-Length": true, "Host": true, replicahttp.HeaderDeadline: true, replicahttp.HeaderTarget: true}

// ServeHTTP serves one request.
func (q *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := q.Now()
	if q.Draining.Load() {
		w.Header().Set("Connection", "close")
	}
	state := q.state.Load()
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
	// Danger: of two ids a replica may answer by the other, and its answer would be nobody's.
	if attempt == "" || len(r.Header[replicahttp.HeaderAttempt]) > 1 {
		refuse(w, http.StatusBadRequest, 0)
		return
	}
	until := came + route.DeadlineMs*millisecond
	if v := r.Header.Get(replicahttp.HeaderDeadline); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			refuse(w, http.StatusBadRequest, 0)
			return
		}
		until = min(until, came+n*millisecond)
	}
	body, err := readBody(w, r, state.Config.Limits.BodyBytes)
	if err != nil {
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			refuse(w, http.StatusRequestEntityTooLarge, 0)
		} else {
			refuse(w, http.StatusBadRequest, 0)
		}
		return
	}
	req := &replicahttp.Request{Attempt: attempt, Method: r.Method, Body: body, Head: requestHead(r, target, len(body)),
		Answers: map[int]*replicahttp.Answer{}}
	row, known := state.Rows[route.ID()]
	query := node.Query{ID: attempt, Workload: row, Deadline: until, Payload: req}
	var served bool
	// Danger: a route without a row of its own would be served on another's terms.
	if query.Parts, served = routeParts(state, route); !served || !known {
		refuse(w, http.StatusServiceUnavailable, int64(time.Second))
		return
	}
	answer, here := q.Core.Serve(r.Context(), query)
	if !here {
		// Danger: a handler that returns without a word answers 200, and a client that has ended only its own side
		// reads that as a success.
		w.Header().Set("Connection", "close")
		refuse(w, http.StatusBadGateway, 0)
		return
	}
	draw := float64(uint32(xxhash.Sum64String(attempt))) / drawRange
	answer.RetryAfter = routingtable.RetryAfter(answer.RetryAfter, draw)
	if len(route.Fanout) > 0 {
		writeGathered(w, route, req, query.Parts, answer)
	} else {
		writeSingle(w, req, query.Parts[0].Shard, answer)
	}
}

// routeParts are those of a route's next request, false where one of its services has no shard.
//
// Danger: what names no shard of its own would go to another service's replicas.
func routeParts(state *routingtable.State, route *routeconfig.Route) (parts []node.Part, served bool) {
	services := route.Fanout
	if len(services) == 0 {
		services = []string{state.Service(route)}
	}
	for _, service := range services {
		slot, found := state.Shards[service]
		if !found {
			return nil, false
		}
		parts = append(parts, node.Part{Shard: slot, Weight: 1 / float64(len(services))})
	}
	return parts, true
}

func readBody(w http.ResponseWriter, r *http.Request, most int) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	if most <= 0 {
		most = defaultMaxBodyBytes
	}
	if n := r.ContentLength; n > int64(most) {
		return nil, &http.MaxBytesError{Limit: int64(most)}
	} else if n > 0 {
		body := make([]byte, n)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, int64(most)))
}

// requestHead is the first line and the headers as they go to replicas, without those of one part.
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

// refuse answers for the system itself; a wait is told in seconds with fractions.
func refuse(w http.ResponseWriter, status int, wait int64) {
	if wait > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(wait)/1e9, 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// writeUnserved answers a query that brought nothing: a promise where it has not run and never will, none
// otherwise.
func writeUnserved(w http.ResponseWriter, a node.Answer) {
	if a.Outcome == balance.Declined {
		refuse(w, http.StatusServiceUnavailable, a.RetryAfter)
		return
	}
	refuse(w, http.StatusBadGateway, 0)
}

// passesThrough tells whether a replica's answer goes to the client: a success, and a failure of the replica's own.
//
// Danger: 503 promises a client that its request has not run and never will. A replica's own 503 without a proof promises
// nothing, and a client would repeat an unsafe request that has run.
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

// writeSingle passes one replica's answer on unchanged, also its failure where there is nothing better.
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

// writeGathered merges the parts that are in.
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
	body := gather.Greatest(make([]byte, 0, gather.RecordBytes*route.ResultCount), bodies, route.ResultCount)
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
