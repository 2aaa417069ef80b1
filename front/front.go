// Package front serves clients over HTTP: it decodes queries, passes them to a Core and writes the answers. It
// makes no policy decisions; by itself it rejects only requests that are malformed, too long or incomplete, and
// queries that the Guard rejects.
package front

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"
	"go.uber.org/zap"

	"willowsill/balance"
	"willowsill/decide/overload"
	"willowsill/internal/counters"
	"willowsill/node"
)

// Core serves queries. Serve returns the query's only answer, or false if the client disconnected first. Ready is
// closed once a replica is known.
type Core interface {
	Serve(ctx context.Context, q node.Query) (node.Answer, bool)
	Ready() <-chan struct{}
}

// Guard protects an overloaded process: it rejects queries before they have cost much. Times are in ns.
type Guard interface {
	// Admit decides on a query whose headers have been read. If it rejects the query, retryAfter is sent to the
	// client.
	Admit(a overload.Arrival) (admitted bool, retryAfter int64)
	// RejectUnread decides on a request of which only the first line has been parsed.
	RejectUnread(workload int) (rejected bool, retryAfter int64)
	// RecordEnd records how long an admitted query took and whether it was answered.
	RecordEnd(workload int, took int64, answered bool)
}

// Front is the HTTP handler for client requests: queries, the health check and the counters.
type Front struct {
	Core        Core
	Clock       node.Clock
	WorkloadRow map[string]int // row of each workload, by its name
	Shards      int
	Counters    *counters.Counters
	Log         *zap.Logger
	Guard       *SwitchableGuard // nil to admit every query
	closing     chan struct{}
	openIDs     sync.Map // ids of the queries that have not been answered yet
}

// HeaderRetry is the header that marks a query as a client's retry, with the value 1.
const HeaderRetry = "X-Second-Try"

const (
	maxBodyBytes    = 64 << 10
	maxIDBytes      = 128       // limit of a query's id
	maxTimeLeftMs   = 3_600_000 // longest remaining time that a client may state for its query, ms
	nsPerMs         = 1e6
	weightTolerance = 0.01 // allowed distance of the sum of a query's weights from 1, as clients round them

	writeTimeout        = 2 * time.Second        // limit for the client to read an answer
	rejectedBodyTimeout = 5 * time.Millisecond   // limit for the body of a rejected query to arrive
	drainTimeout        = 200 * time.Millisecond // limit for reading the rest of a request that was answered with an error
)

// SwitchableGuard holds a Guard that can be set and removed while the server runs.
type SwitchableGuard struct{ atomic.Pointer[Guard] }

// currentGuard returns the guard that is set, or nil.
func (f *Front) currentGuard() Guard {
	if f.Guard == nil {
		return nil
	}
	if g := f.Guard.Load(); g != nil {
		return *g
	}
	return nil
}

// rejection is the error for a query that the guard rejects before its body is read.
type rejection struct {
	workload   string
	retryAfter int64
}

func (rejection) Error() string { return "declined" }

// requestError is the status and the message with which an invalid request is answered.
type requestError struct {
	status  int
	message string
}

func (c requestError) Error() string { return c.message }

func badRequest(message string) error { return requestError{http.StatusBadRequest, message} }

// requestBody is the JSON body of a query.
type requestBody struct {
	Segments []struct {
		Segment *int     `json:"segment"`
		Boost   *float64 `json:"boost"`
	} `json:"segments"`
	Text *string `json:"text"`
}

// answerBody is the JSON body of an answer.
type answerBody struct {
	AllIn   bool    `json:"all_in"`
	Matches []match `json:"matches"`
}

type match struct {
	Segment int    `json:"segment"`
	Payload string `json:"payload"`
}

// ServeHTTP serves one request. A panic ends only the request's own connection.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		switch p := recover(); p {
		case nil:
		case http.ErrAbortHandler:
			panic(p)
		default:
			f.Counters.Panics.Add(1)
			f.Log.Error("a request ended in a panic", zap.Any("panic", p), zap.Stack("stack"))
			panic(http.ErrAbortHandler)
		}
	}()
	f.closeIfStopping(w)
	// Danger: a request body that never ends would hold its connection for ever, in the handler or in net/http's
	// server, which reads on after the answer. The read deadline set here is therefore removed only once a body
	// has been read.
	if c := connection(r); c != nil {
		f.setReadTimeout(w, time.Duration(c.deadline()-f.Clock.Now()))
	}
	switch r.URL.Path {
	case "/healthz":
		f.health(w, r)
	case "/counters":
		f.counters(w, r)
	default:
		f.query(w, r)
	}
}

// setReadTimeout makes reads of the request fail once d has passed.
func (f *Front) setReadTimeout(w http.ResponseWriter, d time.Duration) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(d))
}

// closeIfStopping makes the response close its connection if the server is stopping, and reports whether it is.
func (f *Front) closeIfStopping(w http.ResponseWriter) bool {
	select {
	case <-f.closing:
		w.Header().Set("Connection", "close")
		return true
	default:
		return false
	}
}

func (f *Front) health(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		f.writeError(w, requestError{http.StatusMethodNotAllowed, "GET only"})
		return
	}
	if f.closeIfStopping(w) {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	select {
	case <-f.Core.Ready():
		io.WriteString(w, "ready\n")
	default:
		http.Error(w, "no replica is known yet", http.StatusServiceUnavailable)
	}
}

func (f *Front) counters(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		f.writeError(w, requestError{http.StatusMethodNotAllowed, "GET only"})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.MarshalWrite(w, f.Counters, json.Deterministic(true))
}

func (f *Front) query(w http.ResponseWriter, r *http.Request) {
	guard := f.currentGuard()
	q, err := f.decodeRequest(w, r, guard)
	var rejected rejection
	switch {
	case errors.As(err, &rejected):
		f.reject(w, r, rejected)
		return
	case err != nil:
		f.writeError(w, err)
		return
	}
	f.serve(w, r, q, guard)
}

// reject answers a query that the guard rejects, without decoding its body. The connection is kept if the body has
// arrived, as a new connection would cost more than the answer; a client that sends slowly is not waited for.
func (f *Front) reject(w http.ResponseWriter, r *http.Request, a rejection) {
	f.countRejected(a.workload)
	if !f.discardBody(w, r) {
		w.Header().Set("Connection", "close")
		f.setReadTimeout(w, drainTimeout)
	}
	f.closeIfStopping(w)
	f.writeAnswer(w, node.Answer{Outcome: balance.Declined, RetryAfter: a.retryAfter})
}

// discardBody discards the request's body. It returns false unless the whole body arrived in time and nothing
// followed it.
func (f *Front) discardBody(w http.ResponseWriter, r *http.Request) bool {
	c := connection(r)
	if c == nil || r.ContentLength < 0 || r.ContentLength > maxBodyBytes || r.Header.Get("Expect") != "" {
		return false
	}
	f.setReadTimeout(w, rejectedBodyTimeout)
	if _, err := io.Copy(io.Discard, r.Body); err != nil || c.bodyRead(r.ContentLength) {
		return false
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	return true
}

// countRejected counts a rejected query as received and declined.
func (f *Front) countRejected(workload string) {
	count := f.Counters.Workloads[workload]
	count.Accepted.Add(1)
	count.Declined.Add(1)
}

// serve passes a decoded query to the core and writes its answer.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, q node.Query, guard Guard) {
	began := f.Clock.Now()
	// Danger: queries share connections to replicas, and replies are matched by id alone. Two open queries with
	// one id would get each other's answers.
	if _, open := f.openIDs.LoadOrStore(q.ID, nil); open {
		f.writeError(w, requestError{http.StatusConflict, "X-Trace-Id is that of an open query"})
		return
	}
	a, ok := func() (node.Answer, bool) {
		defer f.openIDs.Delete(q.ID) // before the answer is written, as the client may then reuse the id
		return f.Core.Serve(r.Context(), q)
	}()
	if guard != nil {
		guard.RecordEnd(q.Workload, f.Clock.Now()-began, ok && a.Outcome <= balance.Partial)
	}
	if !ok { // the client disconnected; an empty answer could be taken for a replica's
		panic(http.ErrAbortHandler)
	}
	f.closeIfStopping(w) // the server may have begun to stop meanwhile
	f.writeAnswer(w, a)
}

// decodeRequest decodes a request into a query. The client's timeout runs from when it sent the request, a time
// that is not transmitted; the time at which the request's first byte arrived is the earliest known substitute.
func (f *Front) decodeRequest(w http.ResponseWriter, r *http.Request, guard Guard) (q node.Query, err error) {
	began, c := f.Clock.Now(), connection(r)
	if c != nil {
		began = min(began, c.requestStart())
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	row, known := f.WorkloadRow[name]
	qos := r.Header.Get("X-Qos")
	switch {
	case !known && (name == "" || qos != name):
		return q, requestError{http.StatusNotFound, "no such path"}
	case r.Method != http.MethodPost:
		return q, requestError{http.StatusMethodNotAllowed, "POST only"}
	case !known:
		return q, badRequest("X-Qos names no workload")
	case qos != name:
		return q, badRequest("X-Qos is missing or differs from the path")
	}
	for _, name := range []string{"X-Qos", "X-Trace-Id", "X-Expires-In-Ms"} {
		if len(r.Header[name]) > 1 {
			return q, badRequest(name + " stands twice")
		}
	}
	// Danger: parsers disagree about a body with both a length and an encoding, so such a request may hide a
	// second one.
	if c != nil && c.hasLengthAndEncoding() {
		return q, badRequest("the body has a length and an encoding")
	}
	q.Workload, q.ID, q.Customer = row, r.Header.Get("X-Trace-Id"), r.Header.Get("X-Customer")
	q.Retry = r.Header.Get(HeaderRetry) == "1"
	if !validID(q.ID) {
		return q, badRequest("X-Trace-Id is missing or malformed")
	}
	timeLeftMs, err := strconv.ParseUint(r.Header.Get("X-Expires-In-Ms"), 10, 63)
	if err != nil || timeLeftMs > maxTimeLeftMs {
		return q, badRequest("X-Expires-In-Ms is missing or malformed")
	}
	q.Deadline = began + int64(timeLeftMs)*nsPerMs

	if guard != nil {
		if admitted, retryAfter := guard.Admit(arrivalOf(q, r, f.Clock.Now())); !admitted {
			return q, rejection{name, retryAfter}
		}
	}
	tooLong := requestError{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}
	if r.ContentLength > maxBodyBytes { // refused without reading any of it
		return q, tooLong
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return q, tooLong
	case errors.Is(err, os.ErrDeadlineExceeded):
		return q, requestError{http.StatusRequestTimeout, "the body did not come in time"}
	case err != nil:
		return q, badRequest("the body ended early")
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	// Danger: bytes that follow a request before its answer may be a hidden request. The connection is closed
	// instead of reading them if the body was chunked, as its end is then unknown here, or if more bytes arrived
	// than its length.
	if c != nil && c.bodyRead(r.ContentLength) {
		w.Header().Set("Connection", "close")
	}
	return q, f.decodeBody(text, &q)
}

// arrivalOf returns what a query's headers say, for the guard.
func arrivalOf(q node.Query, r *http.Request, now int64) overload.Arrival {
	a := overload.Arrival{Workload: q.Workload, ID: xxhash.Sum64String(q.ID), TimeLeft: q.Deadline - now, Attempt: 1}
	if q.Customer != "" {
		a.Customer = xxhash.Sum64String(q.Customer)
	}
	if n, err := strconv.Atoi(r.Header.Get("X-Try")); err == nil {
		a.Attempt = n
	}
	return a
}

// decodeBody decodes a query's body. Replicas must get the text unchanged, so the decoder rejects duplicate keys and
// invalid Unicode, and takes no key whose case differs. Other decoders would silently accept all of these.
func (f *Front) decodeBody(text []byte, q *node.Query) error {
	var b requestBody
	if err := json.Unmarshal(text, &b); err != nil {
		return badRequest("the body is malformed")
	}
	if len(b.Segments) == 0 || b.Text == nil {
		return badRequest("the body lacks segments or text")
	}
	if len(b.Segments) > f.Shards {
		return badRequest("more segments than there are")
	}
	q.Text = []byte(*b.Text)
	seen, sum := make([]bool, f.Shards), 0.0
	for _, s := range b.Segments {
		switch {
		case s.Segment == nil || *s.Segment < 0 || *s.Segment >= f.Shards:
			return badRequest("a segment is out of range")
		case seen[*s.Segment]:
			return badRequest("a segment stands twice")
		case s.Boost == nil || !(*s.Boost >= 0 && *s.Boost <= 1):
			return badRequest("a boost is missing or out of range")
		}
		seen[*s.Segment] = true
		sum += *s.Boost
		q.Parts = append(q.Parts, node.Part{Shard: *s.Segment, Weight: *s.Boost})
	}
	if math.Abs(sum-1) > weightTolerance {
		return badRequest("the boosts do not add up to 1")
	}
	for i := range q.Parts { // corrects the clients' rounding
		q.Parts[i].Weight /= sum
	}
	return nil
}

// validID reports whether an id has a valid length and only printable ASCII characters without spaces.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes &&
		strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || c >= 0x7f }) < 0
}

// writeError answers an invalid request with the error and closes its connection.
func (f *Front) writeError(w http.ResponseWriter, err error) {
	f.Counters.BadRequests.Add(1)
	status := http.StatusBadRequest
	var c requestError
	if errors.As(err, &c) {
		status = c.status
	}
	// Danger: net/http's server reads a request to its end before or after the answer. The connection is closed
	// and the read deadline set, so that a slow client cannot hold it.
	w.Header().Set("Connection", "close")
	f.setReadTimeout(w, drainTimeout)
	http.Error(w, err.Error(), status)
}

// writeAnswer writes an answer in one piece, with its length.
func (f *Front) writeAnswer(w http.ResponseWriter, a node.Answer) {
	switch a.Outcome {
	case balance.Whole, balance.Partial:
		m := answerBody{AllIn: a.Outcome == balance.Whole, Matches: make([]match, len(a.Values))}
		for i, v := range a.Values {
			m.Matches[i] = match{v.Shard, v.Value}
		}
		text, err := json.Marshal(m)
		if err != nil {
			f.Log.Error("an answer could not be encoded", zap.Error(err))
			http.Error(w, "no answer", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		// Danger: a client that never reads would hold its connection for ever.
		control := http.NewResponseController(w)
		control.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err = w.Write(text)
		if err = cmp.Or(err, control.Flush()); err != nil {
			f.Counters.Undelivered.Add(1)
			panic(http.ErrAbortHandler)
		}
		control.SetWriteDeadline(time.Time{})
	case balance.Declined:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", formatSeconds(a.RetryAfter))
		}
		http.Error(w, "declined", http.StatusServiceUnavailable)
	default:
		http.Error(w, "no answer", http.StatusInternalServerError)
	}
}

// formatSeconds formats a time in ns as decimal seconds, rounded up to a millisecond.
func formatSeconds(ns int64) string {
	return strconv.FormatFloat(float64((ns+nsPerMs-1)/nsPerMs)/1000, 'f', 3, 64)
}
