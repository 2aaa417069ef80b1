package replicahttp

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/balance"
)

const notExecutedLine = HeaderNotExecuted + ": 1\r\n"

// withLines returns an answer with additional header lines, each with its line end.
func withLines(answer, lines string) string { return strings.Replace(answer, "\r\n", "\r\n"+lines, 1) }

// TestOnlyAProofSaysNotRun: an answer proves that nothing was executed by 421, or by Willowsill-Not-Executed
// with one of the statuses for rejections; no other answer does, whatever else it holds.
func TestOnlyAProofSaysNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		status, lines string
		want          balance.Result
	}{
		"503 with the proof":               {"503 No", notExecutedLine, balance.Full},
		"429 with the proof":               {"429 No", notExecutedLine, balance.Full},
		"400 with the proof":               {"400 No", notExecutedLine, balance.Full},
		"421":                              {"421 No", "", balance.ConnectFailed},
		"421 with the proof":               {"421 No", notExecutedLine, balance.ConnectFailed},
		"503 without":                      {"503 No", "", balance.Errored},
		"429 without":                      {"429 No", "", balance.Errored},
		"429 without, with a seal":         {"429 No", HeaderSeal + ": s\r\n", balance.Errored},
		"400 without":                      {"400 No", "", balance.Errored},
		"408 without":                      {"408 No", "", balance.Errored},
		"408 with":                         {"408 No", notExecutedLine, balance.Errored},
		"success that says it did not run": {"200 OK", HeaderSeal + ": s\r\n" + notExecutedLine, balance.Errored},
		"500 that says it did not run":     {"500 No", HeaderSeal + ": s\r\n" + notExecutedLine, balance.Errored},
		"504 that says it did not run":     {"504 No", HeaderSeal + ": s\r\n" + notExecutedLine, balance.Errored},
	} {
		t.Run(name, func(t *testing.T) {
			answer := "HTTP/1.1 " + c.status + "\r\n" + HeaderAttempt + ": ID\r\n" + c.lines + "Content-Length: 2\r\n\r\nab"
			runFixture(t, &server{answers: []string{answer}}, func(f *fixture) {
				result, _ := f.call("x1")
				must.Eq(t, c.want, result)
			})
		})
	}
}

// TestNoConnection: a connection that was never opened proves that nothing was executed.
func TestNoConnection(t *testing.T) {
	runFixture(t, &server{}, func(f *fixture) {
		f.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
		result, _ := f.call("x1")
		must.Eq(t, balance.ConnectFailed, result)
	})
}
