package replicahttp

import (
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/balance"
)

// TestHeadAnswer: the answer to HEAD states a length but has no body.
func TestHeadAnswer(t *testing.T) {
	s := &server{answers: []string{"HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": ID\r\n" + HeaderSeal + ": s\r\nContent-Length: 30\r\n\r\n",
		answerText("200 OK", "ID", "s", "abc")}}
	runFixture(t, s, func(f *fixture) {
		result, a := f.callMethod("HEAD", "x1")
		must.Eq(t, balance.Fulfilled, result)
		must.Eq(t, "", string(a.Body))
		result, a = f.call("x2")
		must.Eq(t, balance.Fulfilled, result)
		must.Eq(t, "abc", string(a.Body))
	})
}
