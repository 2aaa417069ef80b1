package replicahttp

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/balance"
	"willowsill/transport/replica"
)

// TestGivenUpAndAnswered: if an exchange is abandoned after its answer arrived but before the loop handled it,
// its connection is not reused.
func TestGivenUpAndAnswered(t *testing.T) {
	good := answerText("200 OK", "ID", "s", "abc")
	s := &server{answers: []string{good, good}}
	runFixture(t, s, func(f *fixture) {
		r := &Request{Attempt: "x1", Method: "GET", Answers: map[int]*Answer{}, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n" + HeaderAttempt + ": x1\r\n")}
		ticket := &replica.Ticket{Payload: r}
		must.True(t, f.Send(0, []*replica.Ticket{ticket}))
		synctest.Wait()
		must.Eq(t, 1, len(f.events)) // the answer has arrived, but the loop has not handled it
		must.False(t, f.Abandon(ticket, true))
		reports, _ := f.Handle(<-f.events)
		must.SliceEmpty(t, reports)
		must.MapEmpty(t, r.Answers)
		result, _ := f.call("x2")
		must.Eq(t, balance.Fulfilled, result)
	})
}

// TestIdleRace: the replica closes an idle connection just before the next request is written to it. A request
// that was never written is reported as not executed.
func TestIdleRace(t *testing.T) {
	good := answerText("200 OK", "ID", "s", "abc")
	s := &server{answers: []string{good, good}, closesIdle: true}
	runFixture(t, s, func(f *fixture) {
		f.call("x1")
		time.Sleep(time.Second) // the replica has closed the connection, but the loop has not handled that
		result, a := f.call("x2")
		must.True(t, result == balance.ConnectFailed, must.Sprint(result))
		must.Nil(t, a)
		must.SliceLen(t, 1, s.heads)
	})
}

// TestOpeningIsNotTheReplicasTime: the ticket of a part states when its connection was open, whether the
// connection was opened for it or reused.
func TestOpeningIsNotTheReplicasTime(t *testing.T) {
	good := answerText("200 OK", "ID", "s", "abc")
	runFixture(t, &server{answers: []string{good, good}}, func(f *fixture) {
		dial := f.Dial
		f.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(300 * time.Millisecond)
			return dial(ctx, network, address)
		}
		for _, opening := range []time.Duration{300 * time.Millisecond, 0} {
			ticket := &replica.Ticket{Payload: &Request{Attempt: "x1", Method: "GET", Answers: map[int]*Answer{}, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n" + HeaderAttempt + ": x1\r\n")}}
			before := f.now()
			must.True(t, f.Send(0, []*replica.Ticket{ticket}))
			f.Handle(<-f.events)
			must.Eq(t, before+int64(opening), ticket.ConnectedAt.Load())
		}
	})
}
