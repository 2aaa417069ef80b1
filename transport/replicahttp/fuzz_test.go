package replicahttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/balance"
	"willowsill/transport/replica"
)

const (
	fuzzExchanges  = 4    // requests on one connection, one after the other
	fuzzSegments   = 32   // most segments of the replica's stream
	fuzzLengthBits = 0x3f // bits of a plan's byte that give the length of the segment; if all are set, the segment ends before the next status line
	fuzzWaits      = 0x40 // bit of a plan's byte: the segment waits for the next request
	fuzzPause      = 0x80 // bit of a plan's byte: time passes before the segment
	fuzzStep       = 10 * time.Millisecond
	fuzzTimeout    = time.Second // time after which an exchange is abandoned
)

// fuzzLength returns the length of the next segment.
func fuzzLength(data []byte, plan byte) int {
	if plan&fuzzLengthBits < fuzzLengthBits {
		return min(int(plan&fuzzLengthBits)*4+1, len(data))
	}
	if len(data) > 1 {
		if at := bytes.Index(data[1:], []byte(statusLineStart)); at >= 0 {
			return at + 1
		}
	}
	return len(data)
}

// fuzzStream sends a replica's stream on the only connection, whatever is requested. Each byte of the plan
// describes one segment of data.
func fuzzStream(c net.Conn, requests <-chan struct{}, data, plan []byte) {
	defer c.Close()
	for _, step := range plan[:min(len(plan), fuzzSegments)] {
		if step&fuzzWaits != 0 {
			if _, more := <-requests; !more {
				return
			}
		}
		if step&fuzzPause != 0 {
			time.Sleep(fuzzStep)
		}
		n := fuzzLength(data, step)
		if _, err := c.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
	}
	c.Write(data)
}

// fuzzRequests reads the requests and reports the end of each.
func fuzzRequests(c net.Conn, requests chan<- struct{}) {
	defer close(requests)
	received, buf := []byte(nil), make([]byte, 512)
	for {
		n, err := c.Read(buf)
		received = append(received, buf[:n]...)
		for {
			at := bytes.Index(received, []byte("\r\n\r\n"))
			if at < 0 {
				break
			}
			received = received[at+4:]
			select {
			case requests <- struct{}{}:
			default: // the stream doesn't wait for that many
			}
		}
		if err != nil {
			return
		}
	}
}

// checkAnswer fails the test unless the answer given to an exchange is one that the stream holds for it, judged
// by the bytes of the stream alone.
func checkAnswer(t *testing.T, data []byte, id string, a *Answer, result balance.Result) {
	ids := a.Header[HeaderAttempt]
	if len(ids) != 1 || ids[0] != id {
		t.Fatalf("an answer with the attempt ids %q was given to %q", ids, id)
	}
	if at := bytes.Index(data, []byte(id)); at < 0 {
		t.Fatalf("the stream does not hold the attempt id %q", id)
	}
	if !bytes.Contains(data, fmt.Appendf(nil, " %d", a.Status)) {
		t.Fatalf("the stream holds no status %d", a.Status)
	}
	if stated := a.Header["Content-Length"]; len(stated) == 1 {
		if stated[0] != fmt.Sprint(len(a.Body)) {
			t.Fatalf("a body of %d bytes, with Content-Length %s", len(a.Body), stated[0])
		}
		if !bytes.Contains(data, a.Body) {
			t.Fatalf("the stream does not hold the body in one piece: %q", a.Body)
		}
	}
	for key, values := range a.Header {
		if strings.Contains(strings.Join(values, ""), "HTTP/1.") {
			t.Fatalf("a header merged from two answers: %s: %q", key, values)
		}
	}
	proof := a.Status == http.StatusMisdirectedRequest || http.Header(a.Header).Get(HeaderNotExecuted) != "" &&
		(a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests || a.Status == http.StatusBadRequest)
	if result.NeverRan() != proof {
		t.Fatalf("result %d of an answer; proof that nothing was executed: %t", result, proof)
	}
	if result == balance.Fulfilled && (a.Status/100 != 2 || len(a.Header[HeaderSeal]) != 1) {
		t.Fatalf("status %d with seals %q is a success", a.Status, a.Header[HeaderSeal])
	}
}

// fuzzReplica sends one stream to fuzzExchanges requests, checks the answer given to each, and returns how many
// were given an answer.
func fuzzReplica(t *testing.T, data, plan []byte) (answered int) {
	near, far := net.Pipe()
	requests := make(chan struct{}, fuzzExchanges)
	go fuzzRequests(far, requests)
	go fuzzStream(far, requests, data, plan)
	dialled := false
	events := make(chan any, 64)
	began := time.Now()
	pool := NewPool(func(v any) { events <- v }, func() int64 { return int64(time.Since(began)) })
	pool.Dial = func(context.Context, string, string) (net.Conn, error) {
		if dialled {
			return nil, io.ErrClosedPipe // there is only one stream
		}
		dialled = true
		return near, nil
	}
	pool.SetAddress(0, DestinationAddress("i-1", "r:1"))
	for i := range fuzzExchanges {
		id := fmt.Sprint("id", i)
		r := &Request{Attempt: id, Method: http.MethodGet, Answers: map[int]*Answer{}, Head: []byte("GET / HTTP/1.1\r\n" + HeaderAttempt + ": " + id + "\r\n")}
		ticket := &replica.Ticket{Payload: r}
		pool.Send(0, []*replica.Ticket{ticket})
		ended := 0
		for until := time.Now().Add(fuzzTimeout); ended == 0 && time.Now().Before(until); time.Sleep(fuzzStep) {
			synctest.Wait()
			for len(events) > 0 {
				reports, _ := pool.Handle(<-events)
				ended += len(reports)
				for _, report := range reports {
					must.EqOp(t, ticket, report.Ticket)
					if a := r.Answers[0]; a != nil {
						answered++
						checkAnswer(t, data, id, a, report.Result)
					}
				}
			}
		}
		must.LessEq(t, 1, ended)
		if ended == 0 {
			pool.Abandon(ticket, true)
			must.MapEmpty(t, r.Answers)
		}
	}
	pool.Close()
	near.Close()
	far.Close()
	synctest.Wait()
	for len(events) > 0 {
		pool.Handle(<-events)
		synctest.Wait()
	}
	must.Zero(t, pool.OpenConnections())
	return answered
}

// TestFuzzedStreamsAreAnswered: the seeds of the fuzz test do lead to answered exchanges.
func TestFuzzedStreamsAreAnswered(t *testing.T) {
	var given []int
	for _, s := range fuzzSeeds() {
		synctest.Test(t, func(t *testing.T) { given = append(given, fuzzReplica(t, s.data, s.plan)) })
	}
	must.Eq(t, []int{4, 1, 1, 0, 0, 1, 1, 2, 2, 2, 0}, given)
}

// fuzzSeed is a stream and the plan that splits it.
type fuzzSeed struct{ data, plan []byte }

func fuzzSeeds() []fuzzSeed {
	answer := func(i int, more string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id%d\r\n%s: s%d\r\n%sContent-Length: 5\r\n\r\nbody%d", HeaderAttempt, i, HeaderSeal, i, more, i)
	}
	all := answer(0, "") + answer(1, "") + answer(2, "") + answer(3, "")
	each := bytes.Repeat([]byte{fuzzWaits | fuzzLengthBits}, 8) // a plan that sends one answer for each request
	tail := []byte{fuzzWaits | fuzzLengthBits, fuzzWaits}       // a plan that sends one answer, and the whole rest for the next request
	return []fuzzSeed{
		{[]byte(all), each},
		{[]byte(all), append([]byte{fuzzWaits}, bytes.Repeat([]byte{1}, fuzzSegments)...)},
		{[]byte(answer(0, "") + answer(0, "") + answer(1, "")), each},
		{[]byte(answer(1, "") + answer(0, "")), each},
		{[]byte(answer(0, "X: ") + answer(1, "")), each},
		{[]byte(answer(0, "") + "HTTP/1.1 503 No\r\n" + notExecutedLine + "X-More: ab" + answer(1, "")), tail},
		{[]byte(answer(0, "") + "HTTP/1.1 200 O" + strings.Replace(answer(1, ""), "200 OK", "500 No", 1)), tail},
		{[]byte(strings.Replace(answer(0, notExecutedLine), "200 OK", "503 No", 1) + answer(1, "")), []byte{fuzzWaits | fuzzLengthBits, fuzzWaits | fuzzPause | fuzzLengthBits}},
		{[]byte(strings.Replace(answer(0, ""), "200 OK", "421 No", 1) + "HTTP/1.1 100 Continue\r\n\r\n" + answer(1, "")), tail},
		{[]byte(strings.Replace(answer(0, ""), "Content-Length: 5\r\n\r\nbody0", "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n0\r\n\r\n", 1) + answer(1, "")), each},
		{[]byte("garbage\r\n\r\n" + all), each},
	}
}

// FuzzReplicaStream sends arbitrary bytes, split and timed at random, to several exchanges on one connection.
// An answer may be given only to the exchange whose attempt id it has and only if it is complete, and may
// report that nothing was executed only with a proof.
func FuzzReplicaStream(f *testing.F) {
	for _, s := range fuzzSeeds() {
		f.Add(s.data, s.plan)
	}
	f.Fuzz(func(t *testing.T, data, plan []byte) {
		synctest.Test(t, func(t *testing.T) { fuzzReplica(t, data, plan) })
	})
}
