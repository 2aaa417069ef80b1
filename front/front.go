// Package front takes queries in from clients over HTTP, hands them to the core and writes the answers. It
// knows no policy: what it declines itself is what cannot be read, or has no time left.
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

// Core serves one query and gives its one answer, or false where the client left first.
type Core interface {
	Serve(ctx context.Context, q node.Query) (node.Answer, bool)
	Ready() <-chan struct{}
}

// Guard decides, before a query has cost much, whether it is taken on: where the process itself falls behind.
type Guard interface {
	Admit(a overload.Arrival) (taken bool, comeBack int64)
	RejectUnread(workload int) (away bool, comeBack int64) // of a request whose first line alone is read
	RecordEnd(workload int, took int64, answered bool)
}

// Front is the handler of the clients' requests.
type Front struct {
	Core        Core
	Clock       node.Clock
	WorkloadRow map[string]int // rows, by name
	Shards      int
	Counters    *counters.Counters
	Log         *zap.Logger
	Guard       *SwitchableGuard // nil where all is taken on
	closing     chan struct{}
	openIDs     sync.Map // ids of the queries that have no answer yet
}

// HeaderRetry is the header by which a client marks a retry, with the value 1.
const HeaderRetry = "X-Second-Try"

const (
	maxBodyBytes    = 64 << 10  // bytes
	maxIDBytes      = 128       // bytes of a query's id
	maxTimeLeftMs   = 3_600_000 // ms: no client waits an hour
	nsPerMs         = 1e6       // ns in a ms, as headers count
	weightTolerance = 0.01      // weights are shares of one, written with few digits

	writeTimeout        = 2 * time.Second        // a client that reads nothing for so long gets no answer
	rejectedBodyTimeout = 5 * time.Millisecond   // for the body of a query that is turned away
	drainTimeout        = 200 * time.Millisecond // for the rest of a request that has had its complaint
)

// SwitchableGuard is the place of a guard that may be switched on and off.
type SwitchableGuard struct{ atomic.Pointer[Guard] }

// currentGuard is the present one, or nil.
func (f *Front) currentGuard() Guard {
	if f.Guard == nil {
		return nil
	}
	if g := f.Guard.Load(); g != nil {
		return *g
	}
	return nil
}

// rejection is a query that is turned away before its body is read.
type rejection struct {
	workload   string
	retryAfter int64
}

func (rejection) Error() string { return "declined" }

// requestError is a request that is not served, with what the client hears.
type requestError struct {
	status  int
	message string
}

func (c requestError) Error() string { return c.message }

func badRequest(text string) error { return requestError{http.StatusBadRequest, text} }

// requestBody is the form of a request's body.
type requestBody struct {
	Segments []struct {
		Segment *int     `json:"segment"`
		Boost   *float64 `json:"boost"`
	} `json:"segments"`
	Text *string `json:"text"`
}

// answerBody is the form of an answer's body.
type answerBody struct {
	AllIn   bool    `json:"all_in"`
	Matches []match `json:"matches"`
}

type match struct {
	Segment int    `json:"segment"`
	Payload string `json:"payload"`
}

// ServeHTTP serves one request. A panic in one does not end the others.
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
	// Danger: a body that never ends would hold its connection for ever, here or in the stock server, which
	// reads on after the answer. So there is a limit until a body is there, and it stays where none came.
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

// setReadTimeout has reads of the request end so long from now.
func (f *Front) setReadTimeout(w http.ResponseWriter, d time.Duration) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(d))
}

// closeIfStopping has an answer close its connection once the word to stop has come.
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
	var a rejection
	switch {
	case errors.As(err, &a):
		f.reject(w, r, a)
		return
	case err != nil:
		f.writeError(w, err)
		return
	}
	f.serve(w, r, q, guard)
}

// reject answers a query that the guard does not take on, without looking at its body. Its connection stays where the body is
// there, for a new one would cost more than the answer; a client that is slow to send is not waited for.
func (f *Front) reject(w http.ResponseWriter, r *http.Request, a rejection) {
	f.countRejected(a.workload)
	if !f.discardBody(w, r) {
		w.Header().Set("Connection", "close")
		f.setReadTimeout(w, drainTimeout)
	}
	f.closeIfStopping(w)
	f.writeAnswer(w, node.Answer{Outcome: balance.Declined, RetryAfter: a.retryAfter})
}

// discardBody reads a body away, and tells whether it was there as a whole, with nothing behind it.
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

// countRejected counts a query that was turned away unserved.
func (f *Front) countRejected(workload string) {
	count := f.Counters.Workloads[workload]
	count.Accepted.Add(1)
	count.Declined.Add(1)
}

// serve has the core serve a query that was read.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, q node.Query, guard Guard) {
	began := f.Clock.Now()
	// Danger: ids name parts on connections that queries share, and replies go by them alone.
	if _, taken := f.openIDs.LoadOrStore(q.ID, nil); taken {
		f.writeError(w, requestError{http.StatusConflict, "X-Trace-Id is that of an open query"})
		return
	}
	a, ok := func() (node.Answer, bool) {
		defer f.openIDs.Delete(q.ID) // before the answer is out
		return f.Core.Serve(r.Context(), q)
	}()
	if guard != nil {
		guard.RecordEnd(q.Workload, f.Clock.Now()-began, ok && a.Outcome <= balance.Partial)
	}
	if !ok { // an empty answer would be one that no replica gave
		panic(http.ErrAbortHandler)
	}
	f.closeIfStopping(w) // the word to stop may have come meanwhile
	f.writeAnswer(w, a)
}

// decodeRequest decodes a request into a query. The client counts its patience from when it sent the request, which
// is not told; the earliest that is known of it is when its first byte came.
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
	// Danger: a body that is told in two ways may hide a second request from one reader and show it to another.
	if c != nil && c.hasLengthAndEncoding() {
		return q, badRequest("the body has a length and an encoding")
	}
	q.Workload, q.ID, q.Customer = row, r.Header.Get("X-Trace-Id"), r.Header.Get("X-Customer")
	q.Retry = r.Header.Get(HeaderRetry) == "1"
	if !validID(q.ID) {
		return q, badRequest("X-Trace-Id is missing or malformed")
	}
	wait, err := strconv.ParseUint(r.Header.Get("X-Expires-In-Ms"), 10, 63)
	if err != nil || wait > maxTimeLeftMs {
		return q, badRequest("X-Expires-In-Ms is missing or malformed")
	}
	q.Deadline = began + int64(wait)*nsPerMs

	if guard != nil {
		if taken, comeBack := guard.Admit(arrivalOf(q, r, f.Clock.Now())); !taken {
			return q, rejection{name, comeBack}
		}
	}
	tooLong := requestError{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}
	if r.ContentLength > maxBodyBytes { // before a byte of it is read
		return q, tooLong
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return q, tooLong
	case errors.Is(err, os.ErrDeadlineExceeded):
		return q, requestError{http.StatusRequestTimeout, "the body did not come in time"}
	case err != nil:
		return q, badRequest("the body ended early")
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	// Danger: what follows a request before its answer may be hidden in it. It is never read: chunks hide where
	// they end, and past a length nothing may have come.
	if c != nil && c.bodyRead(r.ContentLength) {
		w.Header().Set("Connection", "close")
	}
	return q, f.decodeBody(text, &q)
}

// arrivalOf is what a query's head shows of it.
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

// decodeBody decodes a body. Its text must reach replicas as it came: the decoder takes no key that stands twice or
// is written otherwise, and no text that is not Unicode, which others would mend in silence.
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
	for i := range q.Parts { // they are shares of one, but for rounding
		q.Parts[i].Weight /= sum
	}
	return nil
}

// validID tells whether an id can stand in a line of words.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes &&
		strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || c >= 0x7f }) < 0
}

// writeError answers a request that is not served.
func (f *Front) writeError(w http.ResponseWriter, err error) {
	f.Counters.BadRequests.Add(1)
	status := http.StatusBadRequest
	var c requestError
	if errors.As(err, &c) {
		status = c.status
	}
	// Danger: the stock server reads on to the end of a request, before its answer or after it. So the connection
	// ends with the complaint, and what still comes has little time.
	w.Header().Set("Connection", "close")
	f.setReadTimeout(w, drainTimeout)
	http.Error(w, err.Error(), status)
}

// writeAnswer writes an answer, whole and with its length.
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
		// Danger: a client that reads nothing would hold its connection for ever.
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

// formatSeconds writes a time as decimal seconds, no earlier than it is.
func formatSeconds(ns int64) string {
	return strconv.FormatFloat(float64((ns+nsPerMs-1)/nsPerMs)/1000, 'f', 3, 64)
}
