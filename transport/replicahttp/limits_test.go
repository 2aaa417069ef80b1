package replicahttp

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/klog/v2"

	"willowsill/balance"
	"willowsill/transport/boundedread"
	"willowsill/transport/replica"
)

// floodBytes is more than any limit allows.
const floodBytes = 2*maxBodyBytes + ownHeadBytes

// repeated returns a text of floodBytes.
func repeated(text string) string { return strings.Repeat(text, floodBytes/len(text)) }

// TestAnswersWithoutEnd (FAULT): an answer that goes on without end, wherever in it, is a failure of its part once a limit is passed, and
// nothing of it is held afterwards.
func TestAnswersWithoutEnd(t *testing.T) {
	sealed := "HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": ID\r\n" + HeaderSeal + ": s\r\n"
	for name, c := range map[string]struct {
		answer string
		passed boundedread.Limit
	}{
		"no answer":        {repeated("x"), boundedread.HeadBytes},
		"status line":      {"HTTP/1.1 200 " + repeated("x"), boundedread.HeadBytes},
		"one field":        {sealed + "X-Field: " + repeated("x"), boundedread.HeadBytes},
		"a field's name":   {sealed + repeated("x"), boundedread.HeadBytes},
		"many fields":      {sealed + repeated("A: 1\r\n"), boundedread.HeadFields},
		"interim answers":  {repeated("HTTP/1.1 100 Continue\r\n\r\n"), boundedread.HeadFields},
		"large interims":   {repeated("HTTP/1.1 100 Continue\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n"), boundedread.HeadBytes},
		"unstated length":  {sealed + "\r\n" + repeated("x") + "CLOSE", boundedread.BodyBytes},
		"chunks":           {sealed + "Transfer-Encoding: chunked\r\n\r\n" + repeated("400\r\n"+strings.Repeat("x", 0x400)+"\r\n"), boundedread.BodyBytes},
		"a stated length":  {sealed + fmt.Sprintf("Content-Length: %d\r\n\r\n", floodBytes) + repeated("x"), boundedread.BodyBytes},
		"an immense one":   {sealed + "Content-Length: 1000000000000000\r\n\r\n" + repeated("x"), boundedread.BodyBytes},
		"more than a part": {sealed + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes) + strings.Repeat("x", maxBodyBytes), boundedread.Memory},
	} {
		t.Run(name, func(t *testing.T) {
			s := &server{answers: []string{c.answer}}
			runFixture(t, s, func(f *fixture) {
				f.Memory = boundedread.NewBudget(2 * maxBodyBytes)
				if c.passed == boundedread.BodyBytes {
					f.Memory = boundedread.NewBudget(8 * maxBodyBytes)
				}
				result, answer := f.call("x1")
				must.Eq(t, balance.Reset, result) // it may have run, so it is not sent again where that is not allowed
				must.Nil(t, answer)
				must.Eq(t, 1, s.requests())
				for _, limit := range boundedread.Limits {
					expected := int64(0)
					if limit == c.passed {
						expected = 1
					}
					must.Eq(t, expected, f.LimitsPassed(limit), must.Sprint(limit))
				}
				must.Eq(t, 0, f.Memory.Held())
			})
		})
	}
}

// TestProperHeads: a head of the size that requests may have, which repeats the id of its request, is no failure.
func TestProperHeads(t *testing.T) {
	const requestHead = 64 << 10
	id := strings.Repeat("i", requestHead-100)
	s := &server{answers: []string{answerText("200 OK", "ID", "seal-ID", "abc")}}
	runFixture(t, s, func(f *fixture) {
		f.SetRequestHeadLimit(requestHead)
		result, answer := f.call(id)
		must.Eq(t, balance.Fulfilled, result)
		must.Eq(t, "abc", string(answer.Body))
	})
}

// newRequest returns a part of a request of its own.
func newRequest(id string, shard int) (*Request, *replica.Ticket) {
	r := &Request{Attempt: id, Method: "GET", Answers: map[int]*Answer{}, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n" + HeaderAttempt + ": " + id + "\r\n")}
	return r, &replica.Ticket{Part: replica.Part{Shard: shard, WaitMs: 60000}, Payload: r}
}

// TestAnswersTogether (FAULT): the answers that are held at the same time fit into the budget, however many there are; one of another
// shard finds room beside them, and what a request held is free again once it is released.
func TestAnswersTogether(t *testing.T) {
	const size, count = 100 << 10, 40
	text := answerText("200 OK", "ID", "s", strings.Repeat("x", size))
	s := &server{}
	for range count + 2 {
		s.answers = append(s.answers, text)
	}
	runFixture(t, s, func(f *fixture) {
		const room = 20 * size
		f.Memory = boundedread.NewBudget(room)
		f.SetAddress(1, DestinationAddress("i-2", "r:1"))
		var requests []*Request
		send := func(to, shard int) *Request {
			r, ticket := newRequest(fmt.Sprint("x", len(requests)), shard)
			requests = append(requests, r)
			f.Send(to, []*replica.Ticket{ticket})
			for range 3 {
				f.settle()
				time.Sleep(10 * time.Second) // beyond any pause
			}
			return r
		}
		held := 0
		for range count {
			if send(0, 0).Answers[0] != nil {
				held++
			}
			must.LessEq(t, room, f.Memory.Held())
		}
		must.Between(t, 3, held, count/3)
		must.Greater(t, 0, f.LimitsPassed(boundedread.Memory))
		must.NotNil(t, send(1, 1).Answers[1])
		for _, r := range requests {
			r.Release()
		}
		must.Eq(t, 0, f.Memory.Held())
		must.NotNil(t, send(0, 0).Answers[0])
		requests[len(requests)-1].Release()
		must.Eq(t, 0, f.Memory.Held())
	})
}

// TestAnswersThatNobodyWaitsFor (FAULT): an answer that comes after its part was abandoned or its request was released holds nothing.
func TestAnswersThatNobodyWaitsFor(t *testing.T) {
	text := answerText("200 OK", "ID", "s", strings.Repeat("x", 9000))
	for name, leave := range map[string]func(f *fixture, r *Request, ticket *replica.Ticket){
		"abandoned": func(f *fixture, _ *Request, ticket *replica.Ticket) { f.Abandon(ticket, false) },
		"released":  func(_ *fixture, r *Request, _ *replica.Ticket) { r.Release() },
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, &server{answers: []string{text}}, func(f *fixture) {
				f.Memory = boundedread.NewBudget(maxBodyBytes)
				r, ticket := newRequest("x1", 0)
				f.Send(0, []*replica.Ticket{ticket})
				synctest.Wait() // the answer has been read, and its notice waits
				must.Eq(t, 9000, f.Memory.Held())
				leave(f, r, ticket)
				f.settle()
				must.Eq(t, 0, f.Memory.Held())
			})
		})
	}
}

// TestPauseAfterALimit (FAULT): a replica whose answers pass a limit is asked for one at a time, in pauses; a part that waits for its turn
// can be withdrawn, unsent, and a good answer ends the pauses.
func TestPauseAfterALimit(t *testing.T) {
	flood, good := repeated("x"), answerText("200 OK", "ID", "s", "abc")
	s := &server{answers: []string{flood, flood, flood, good, good, good, good}}
	runFixture(t, s, func(f *fixture) {
		var tickets []*replica.Ticket
		send := func() {
			_, ticket := newRequest(fmt.Sprint("x", len(tickets)), 0)
			tickets = append(tickets, ticket)
			f.Send(0, []*replica.Ticket{ticket})
			f.settle()
		}
		send()
		must.Eq(t, 1, s.requests())
		began := time.Now()
		for range 5 {
			send()
		}
		must.Eq(t, 1, s.requests(), must.Sprint("all wait"))
		must.True(t, f.Withdraw(tickets[5]))
		f.settle()
		must.Eq(t, 4, f.OpenConnections())
		for s.requests() < 3 {
			time.Sleep(time.Millisecond)
			f.settle()
		}
		must.Between(t, 300*time.Millisecond, time.Since(began), 310*time.Millisecond)
		time.Sleep(5 * time.Second)
		f.settle()
		must.Eq(t, 5, s.requests())
		send()
		must.Eq(t, 6, s.requests(), must.Sprint("no pause after a good answer"))
	})
}

// TestFloodIsLogged: a line of the log names the replica and the limit, once in a while.
func TestFloodIsLogged(t *testing.T) {
	log := &bytes.Buffer{}
	restore := captureLog(log)
	defer restore()
	flood := repeated("x")
	runFixture(t, &server{answers: []string{flood, flood}}, func(f *fixture) {
		f.call("x1")
		time.Sleep(time.Second)
		f.call("x2")
	})
	must.Eq(t, 1, strings.Count(log.String(), "a replica sends more than it may"))
	must.StrContains(t, log.String(), `replica="i-1"`)
	must.StrContains(t, log.String(), `limit="head bytes"`)
}

// captureLog lets the log be written to a buffer until the result is called.
func captureLog(log *bytes.Buffer) (restore func()) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	klog.SetOutputBySeverity("INFO", log) // which gets the lines of all severities
	return func() {
		klog.Flush()
		klog.LogToStderr(true)
	}
}
