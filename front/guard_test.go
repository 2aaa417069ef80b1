package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"willowsill/balance"
	"willowsill/decide/overload"
	"willowsill/internal/counters"
	"willowsill/node"
)

// guard is a Guard whose decisions are set by the test. It records the arrivals and the ends that it is shown.
type guard struct {
	rejects, rejectsUnread bool
	shown                  []overload.Arrival
	ended                  []string
}

func (g *guard) Admit(a overload.Arrival) (bool, int64) {
	g.shown = append(g.shown, a)
	return !g.rejects, 700e6
}
func (g *guard) RejectUnread(int) (bool, int64) { return g.rejectsUnread, 300e6 }
func (g *guard) RecordEnd(workload int, took int64, answered bool) {
	g.ended = append(g.ended, fmt.Sprint(workload, " ", took >= 0, " ", answered))
}

func setGuard(f *Front, g *guard) {
	f.Guard = &SwitchableGuard{}
	asGuard := Guard(g)
	f.Guard.Store(&asGuard)
	f.Counters = counters.New(f.WorkloadRow)
}

// countingServe returns a core's Serve that answers every query and counts them.
func countingServe(n *int) func(context.Context, node.Query) (node.Answer, bool) {
	return func(context.Context, node.Query) (node.Answer, bool) {
		*n++
		return node.Answer{Outcome: balance.Whole, Values: []node.Value{{Shard: 3, Value: "x"}}}, true
	}
}

// readAnswer reads the next answer and returns its status, its Retry-After and whether the connection stays open.
func (c *client) readAnswer() string {
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err.Error()
	}
	io.Copy(io.Discard, r.Body)
	return fmt.Sprint(r.StatusCode, " ", r.Header.Get("Retry-After"), " ", map[bool]string{true: "close", false: "open"}[r.Close])
}

const guardedHead = "POST /lookup HTTP/1.1\r\nHost: a\r\nX-Qos: lookup\r\nX-Trace-Id: %s\r\nX-Expires-In-Ms: 900\r\n" +
	"X-Customer: acme\r\nX-Try: 2\r\nContent-Length: %d\r\n\r\n"

// A rejected query is answered without reading its body, with a Retry-After. The guard is shown the values in the
// headers.
func TestTurnedAway(t *testing.T) {
	served := 0
	withServer(t, countingServe(&served), func(s *Server, dial func() *client) {
		g := &guard{rejects: true}
		setGuard(s.front, g)
		c := dial()
		defer c.Close()
		fmt.Fprintf(c, guardedHead, "a", 500) // sends no byte of the body
		if got := c.readAnswer(); !strings.HasPrefix(got, "503 0.700 close") {
			t.Errorf("got %q", got)
		}
		d := dial()
		defer d.Close()
		for i := range 2 { // if the body has arrived, the connection stays open
			fmt.Fprintf(d, guardedHead+goodBody, fmt.Sprint("b", i), len(goodBody))
			if got := d.readAnswer(); !strings.HasPrefix(got, "503 0.700 open") {
				t.Errorf("got %q", got)
			}
		}
		g.rejects = false
		fmt.Fprintf(d, guardedHead+goodBody, "c", len(goodBody))
		if got := d.readAnswer(); !strings.HasPrefix(got, "200") {
			t.Errorf("got %q", got)
		}
		if a := g.shown[0]; len(g.shown) != 4 || a.Workload != 1 || a.Attempt != 2 || a.Customer == 0 || a.ID == g.shown[1].ID ||
			a.TimeLeft < 880e6 || a.TimeLeft > 900e6 {
			t.Errorf("shown %+v", g.shown)
		}
		if row := s.front.Counters.Workloads["lookup"]; served != 1 || row.Accepted.Load() != 3 || row.Declined.Load() != 3 ||
			len(g.ended) != 1 || g.ended[0] != "1 true true" {
			t.Errorf("%d served, %d taken, %d declined, ended %q", served, row.Accepted.Load(), row.Declined.Load(), g.ended)
		}
	})
}

// Bytes that follow a rejected query are neither taken for part of it nor served.
func TestHiddenBehind(t *testing.T) {
	served := 0
	withServer(t, countingServe(&served), func(s *Server, dial func() *client) {
		g := &guard{rejects: true}
		setGuard(s.front, g)
		c := dial()
		defer c.Close()
		fmt.Fprintf(c, guardedHead+goodBody+guardedHead+goodBody, "a", len(goodBody), "b", len(goodBody))
		if got := c.readAnswer(); !strings.HasPrefix(got, "503 0.700 close") {
			t.Errorf("got %q", got)
		}
		if rest, _ := io.ReadAll(c.in); len(rest) > 0 || len(g.shown) != 1 {
			t.Errorf("%q came after it, %d were shown", rest, len(g.shown))
		}
	})
}

// Only a complete query of a known workload is rejected by its first bytes; any other request is handled the usual
// way.
func TestUnseen(t *testing.T) {
	served := 0
	withServer(t, countingServe(&served), func(s *Server, dial func() *client) {
		g := &guard{rejectsUnread: true}
		setGuard(s.front, g)
		c := dial()
		defer c.Close()
		for i := range 3 {
			fmt.Fprintf(c, guardedHead+goodBody, fmt.Sprint("a", i), len(goodBody))
			if got := c.readAnswer(); !strings.HasPrefix(got, "503 0.300 open") {
				t.Errorf("got %q", got)
			}
		}
		fmt.Fprintf(c, guardedHead+goodBody[:20], "h", len(goodBody)) // the rest of its body is sent before the next query
		if got := c.readAnswer(); !strings.HasPrefix(got, "503 0.300 open") {
			t.Errorf("got %q", got)
		}
		io.WriteString(c, goodBody[20:40])
		time.Sleep(time.Millisecond)
		fmt.Fprintf(c, goodBody[40:]+guardedHead+goodBody, "i", len(goodBody))
		if got := c.readAnswer(); !strings.HasPrefix(got, "503 0.300 open") {
			t.Errorf("behind the rest of a body: %q", got)
		}
		if len(g.shown) != 0 || s.front.Counters.Workloads["lookup"].Declined.Load() != 5 {
			t.Errorf("%d shown, %d declined", len(g.shown), s.front.Counters.Workloads["lookup"].Declined.Load())
		}
		for name, text := range map[string]string{
			"half a head": fmt.Sprintf(guardedHead, "h", len(goodBody))[:90],
			"two":         fmt.Sprintf(guardedHead+goodBody+"POST", "t", len(goodBody)),
			"other path":  strings.Replace(fmt.Sprintf(guardedHead+goodBody, "o", len(goodBody)), "/lookup ", "/other ", 1),
			"health":      "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n",
			"chunks":      strings.Replace(fmt.Sprintf(guardedHead, "c", 7), "Content-Length: 7", "Transfer-Encoding: chunked", 1),
			"two lengths": strings.Replace(fmt.Sprintf(guardedHead+goodBody, "l", len(goodBody)), "Host", "Content-Length: 9\r\nHost", 1),
		} {
			d := dial()
			io.WriteString(d, text)
			if name == "half a head" {
				time.Sleep(5 * time.Millisecond)
				io.WriteString(d, fmt.Sprintf(guardedHead, "h", len(goodBody))[90:]+goodBody)
			}
			if got := d.readAnswer(); strings.HasPrefix(got, "503 0.300") {
				t.Errorf("%s: %q", name, got)
			}
			d.Close()
		}
		c = dial()
		defer c.Close()
		for i := range 3 { // takes longer than the deadline of a connection's first request
			fmt.Fprintf(c, guardedHead+goodBody, fmt.Sprint("y", i), len(goodBody))
			if got := c.readAnswer(); !strings.HasPrefix(got, "503 0.300 open") {
				t.Errorf("got %q", got)
			}
			time.Sleep(1500 * time.Millisecond)
		}
		g.rejectsUnread = false
		fmt.Fprintf(c, guardedHead+goodBody, "z", len(goodBody))
		if got := c.readAnswer(); !strings.HasPrefix(got, "200") {
			t.Errorf("on the same connection: %q", got)
		}
	})
}
