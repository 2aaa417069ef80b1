package replicahttp

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/balance"
)

// TestAnswerOfNobody: bytes that are not clearly one complete answer to the current request are given to no
// request, and their connection is not reused.
func TestAnswerOfNobody(t *testing.T) {
	good := answerText("200 OK", "ID", "s", "abc")
	failed := answerText("500 No", "ID", "s", "abc")
	for name, answer := range map[string]string{
		"wrong id":                              answerText("200 OK", "x0", "s", "abc") + "CLOSE",
		"no id":                                 "HTTP/1.1 200 OK\r\n" + HeaderSeal + ": s\r\nContent-Length: 3\r\n\r\nabcCLOSE",
		"two ids, its own first":                withLines(good, HeaderAttempt+": ID\r\n"+HeaderAttempt+": x0\r\n") + "CLOSE",
		"two ids, its own last":                 withLines(good, HeaderAttempt+": x0\r\n") + "CLOSE",
		"id in the trailer":                     "HTTP/1.1 200 OK\r\nTrailer: " + HeaderAttempt + "\r\n" + HeaderSeal + ": s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + HeaderAttempt + ": ID\r\n\r\nCLOSE",
		"two seals":                             withLines(good, HeaderSeal+": other\r\n") + "CLOSE",
		"torn in a header before the true one":  "HTTP/1.1 503 No\r\n" + notExecutedLine + "X-More: ab" + good + "CLOSE",
		"torn in a seal before a failure":       "HTTP/1.1 200 OK\r\n" + HeaderSeal + ": s" + "HTTP/1.1 500 No\r\n" + HeaderAttempt + ": ID\r\nContent-Length: 3\r\n\r\nabcCLOSE",
		"torn in its first line, then the true": "HTTP/1.1 200 O" + failed + "CLOSE",
		"torn between lines":                    "HTTP/1.1 200 OK\r\nX-More: ab\r\n" + failed + "CLOSE",
		"torn in the body of an earlier one":    "HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": x0\r\nContent-Length: 60\r\n\r\nab" + good + "CLOSE",
		"two lengths":                           withLines(good, "Content-Length: 4\r\n") + "CLOSE",
		"no length, and another behind it":      "HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": ID\r\n" + HeaderSeal + ": s\r\n\r\nabc" + good + "CLOSE",
		"no length, and another's before":       "HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": x0\r\n" + HeaderSeal + ": s\r\n\r\nabc" + good + "CLOSE",
		"HTTP/2":                                strings.Replace(good, "HTTP/1.1", "HTTP/2.0", 1) + "CLOSE",
		"switching protocols":                   "HTTP/1.1 101 Switching\r\n" + HeaderAttempt + ": ID\r\n\r\nCLOSE",
		"only informational":                    "HTTP/1.1 103 Early\r\n" + HeaderAttempt + ": ID\r\n\r\nCLOSE",
		"broken off in the head":                good[:30] + "CLOSE",
		"broken off in the body":                good[:len(good)-1] + "CLOSE",
		"chunks broken off":                     "HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": ID\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nCLOSE",
		"chunks without the last line":          "HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": ID\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nCLOSE",
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reused ", reused), func(t *testing.T) {
				s := &server{answers: []string{answer, good}}
				if reused {
					s.answers = append([]string{good}, s.answers...)
				}
				runFixture(t, s, func(f *fixture) {
					if reused {
						result, _ := f.call("x0a")
						must.Eq(t, balance.Fulfilled, result)
					}
					result, a := f.call("x1")
					must.Eq(t, balance.Reset, result)
					must.Nil(t, a)
					f.settle()
					result, a = f.call("x2")
					must.Eq(t, balance.Fulfilled, result)
					must.Eq(t, "abc", string(a.Body))
					must.Eq(t, 2, int(f.Opened.Load()))
				})
			})
		}
	}
}

// TestSurplusAnswers: a late second answer to an earlier request is never given to the next one, whenever it
// arrives.
func TestSurplusAnswers(t *testing.T) {
	answer := func(id, body string) string { return answerText("200 OK", id, "s-"+id, body) }
	for name, c := range map[string]struct {
		behind string // sent with the first answer, in one segment
		idle   string // sent while no request is open
		second string // sent instead of the second answer
		want   balance.Result
		opened int
	}{
		"in the same segment":          {behind: answer("x1", "old"), second: answer("x2", "new"), want: balance.Fulfilled, opened: 2},
		"while the connection is idle": {idle: answer("x1", "old"), second: answer("x2", "new"), want: balance.Fulfilled, opened: 2},
		"before the next":              {second: answer("x1", "old") + answer("x2", "new"), want: balance.Fulfilled, opened: 1},
		"after the next":               {second: answer("x2", "new") + answer("x1", "old"), want: balance.Fulfilled, opened: 1},
		"in place of the next":         {second: answer("x1", "old") + "CLOSE", want: balance.Reset, opened: 1},
		"its body alone":               {second: "old" + answer("x2", "new") + "CLOSE", want: balance.Reset, opened: 1},
		"half of it while idle":        {idle: "HTTP/1.1 200 OK\r\nX-M", second: answer("x2", "new"), want: balance.Fulfilled, opened: 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := &server{answers: []string{answer("x1", "abc") + c.behind, c.second}, idle: c.idle}
			runFixture(t, s, func(f *fixture) {
				result, a := f.call("x1")
				must.Eq(t, balance.Fulfilled, result)
				must.Eq(t, "abc", string(a.Body))
				if c.idle != "" {
					time.Sleep(time.Second)
				}
				f.settle()
				result, a = f.call("x2")
				must.Eq(t, c.want, result)
				if c.want == balance.Fulfilled {
					must.Eq(t, "new", string(a.Body))
				} else {
					must.Nil(t, a)
				}
				must.Eq(t, c.opened, int(f.Opened.Load()))
			})
		})
	}
}
