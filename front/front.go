// Package front takes queries in from clients over HTTP, hands them to the core and writes the answers. It
// knows no policy: what it declines itself is what cannot be read, or has no time left.
package front

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"willowsill/balance"
	"willowsill/counters"
	"willowsill/node"
)

// Core serves one query and gives its one answer, or false where the client left first.
type Core interface {
	Serve(ctx context.Context, q node.Query) (node.Answer, bool)
	Ready() <-chan struct{}
}

// Front is the handler of the clients' requests.
type Front struct {
	Core     Core
	Clock    node.Clock
	Workload map[string]int // rows, by name
	Shards   int
	Longest  int64 // cut-off of all workloads, ns: no body may take longer
	Count    *counters.Counters
	Log      *zap.Logger
	closing  chan struct{}
}

const (
	bodyMost = 64 << 10  // bytes
	idMost   = 128       // bytes of a query's id
	waitMost = 3_600_000 // ms: no client waits an hour
	unit     = 1e6       // ns in a ms, as headers count

	writeWait = 2 * time.Second // a client that reads nothing for so long gets no answer
)

// complaint is a request that is not served, with what the client hears.
type complaint struct {
	status int
	text   string
}

func (c complaint) Error() string { return c.text }

func bad(text string) error { return complaint{http.StatusBadRequest, text} }

// body is the form of a request's body.
type body struct {
	Segments []struct {
		Segment *int     `json:"segment"`
		Boost   *float64 `json:"boost"`
	} `json:"segments"`
	Text *string `json:"text"`
}

// answer is the form of an answer's body.
type answer struct {
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
			f.Count.Panics.Add(1)
			f.Log.Error("a request ended in a panic", zap.Any("panic", p), zap.Stack("stack"))
			panic(http.ErrAbortHandler)
		}
	}()
	f.farewell(w)
	// Danger: a body that never ends would hold its connection for ever, here or in the stock server, which
	// reads on after the answer. So there is a limit until a body is there, and it stays where none came.
	f.limit(w, f.Longest)
	switch r.URL.Path {
	case "/healthz":
		f.health(w, r)
	case "/counters":
		f.counters(w, r)
	default:
		f.query(w, r)
	}
}

// limit has reads of the request end so many ns from now.
func (f *Front) limit(w http.ResponseWriter, ns int64) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Duration(ns)))
}

// farewell has an answer close its connection once the word to stop has come.
func (f *Front) farewell(w http.ResponseWriter) bool {
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
		f.complain(w, complaint{http.StatusMethodNotAllowed, "GET only"})
		return
	}
	if f.farewell(w) {
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
		f.complain(w, complaint{http.StatusMethodNotAllowed, "GET only"})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(f.Count)
}

func (f *Front) query(w http.ResponseWriter, r *http.Request) {
	q, err := f.read(w, r)
	if err != nil {
		f.complain(w, err)
		return
	}
	a, ok := f.Core.Serve(r.Context(), q)
	if !ok { // an empty answer would be one that no replica gave
		panic(http.ErrAbortHandler)
	}
	f.farewell(w) // the word to stop may have come meanwhile
	f.write(w, a)
}

// read decodes a request into a query. The client counts its patience from when it sent the request, which
// is not told; the earliest that is known of it is when its first byte came.
func (f *Front) read(w http.ResponseWriter, r *http.Request) (q node.Query, err error) {
	began := f.Clock.Now()
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		began = min(began, c.began())
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	row, known := f.Workload[name]
	qos := r.Header.Get("X-Qos")
	switch {
	case !known && (name == "" || qos != name):
		return q, complaint{http.StatusNotFound, "no such path"}
	case r.Method != http.MethodPost:
		return q, complaint{http.StatusMethodNotAllowed, "POST only"}
	case !known:
		return q, bad("X-Qos names no workload")
	case qos != name:
		return q, bad("X-Qos is missing or differs from the path")
	}
	q.Workload, q.ID = row, r.Header.Get("X-Trace-Id")
	if !plain(q.ID) {
		return q, bad("X-Trace-Id is missing or malformed")
	}
	wait, err := strconv.ParseInt(r.Header.Get("X-Expires-In-Ms"), 10, 64)
	if err != nil || wait < 0 || wait > waitMost {
		return q, bad("X-Expires-In-Ms is missing or malformed")
	}
	q.Until = began + wait*unit

	f.limit(w, min(q.Until, began+f.Longest)-f.Clock.Now())
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if err == nil {
		http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return q, complaint{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return q, complaint{http.StatusServiceUnavailable, "the time was up before the body was there"}
	case err != nil:
		w.Header().Set("Connection", "close")
		return q, bad("the body ended early")
	}
	err = f.readBody(text, &q)
	return q, err
}

func (f *Front) readBody(text []byte, q *node.Query) error {
	var b body
	if err := json.Unmarshal(text, &b); err != nil {
		return bad("the body is malformed")
	}
	if len(b.Segments) == 0 || b.Text == nil {
		return bad("the body lacks segments or text")
	}
	if len(b.Segments) > f.Shards {
		return bad("more segments than there are")
	}
	q.Text = []byte(*b.Text)
	seen, sum := make([]bool, f.Shards), 0.0
	for _, s := range b.Segments {
		switch {
		case s.Segment == nil || *s.Segment < 0 || *s.Segment >= f.Shards:
			return bad("a segment is out of range")
		case seen[*s.Segment]:
			return bad("a segment stands twice")
		case s.Boost == nil || !(*s.Boost >= 0) || math.IsInf(*s.Boost, 0):
			return bad("a boost is missing or malformed")
		}
		seen[*s.Segment] = true
		sum += *s.Boost
		q.Parts = append(q.Parts, node.Part{Shard: *s.Segment, Weight: *s.Boost})
	}
	if !(sum > 0) || math.IsInf(sum, 0) {
		return bad("the boosts make no sum")
	}
	for i := range q.Parts { // they are shares of one, but for rounding
		q.Parts[i].Weight /= sum
	}
	return nil
}

// plain tells whether an id can stand in a line of words.
func plain(id string) bool {
	return id != "" && len(id) <= idMost &&
		strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || c >= 0x7f }) < 0
}

// complain answers a request that is not served.
func (f *Front) complain(w http.ResponseWriter, err error) {
	f.Count.BadRequests.Add(1)
	status := http.StatusBadRequest
	var c complaint
	if errors.As(err, &c) {
		status = c.status
	}
	http.Error(w, err.Error(), status)
}

// write writes an answer, whole and with its length.
func (f *Front) write(w http.ResponseWriter, a node.Answer) {
	switch a.Final {
	case balance.Whole, balance.Partial:
		m := answer{AllIn: a.Final == balance.Whole, Matches: make([]match, len(a.Values))}
		for i, v := range a.Values {
			m.Matches[i] = match{v.Shard, v.Value}
		}
		var text bytes.Buffer
		encoder := json.NewEncoder(&text)
		encoder.SetEscapeHTML(false)
		if err := encoder.Encode(m); err != nil {
			f.Log.Error("an answer could not be encoded", zap.Error(err))
			http.Error(w, "no answer", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(text.Len()))
		// Danger: a client that reads nothing would hold its connection for ever.
		control := http.NewResponseController(w)
		control.SetWriteDeadline(time.Now().Add(writeWait))
		_, err := w.Write(text.Bytes())
		if err = cmp.Or(err, control.Flush()); err != nil {
			f.Count.Undelivered.Add(1)
			panic(http.ErrAbortHandler)
		}
		control.SetWriteDeadline(time.Time{})
	case balance.Declined:
		if a.ComeBack > 0 {
			w.Header().Set("Retry-After", seconds(a.ComeBack))
		}
		http.Error(w, "declined", http.StatusServiceUnavailable)
	default:
		http.Error(w, "no answer", http.StatusInternalServerError)
	}
}

// seconds writes a time as decimal seconds, no earlier than it is.
func seconds(ns int64) string {
	return strconv.FormatFloat(float64((ns+unit-1)/unit)/1000, 'f', 3, 64)
}
