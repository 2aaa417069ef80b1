package replica

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"willowsill/balance"
	"willowsill/internal/counters"
	"willowsill/internal/pipenet"
	"willowsill/transport/sockets"
)

// fixture is a pool with one replica, which the test simulates.
type fixture struct {
	*testing.T
	*Pool
	network *pipenet.Network
	events  chan Event
}

const address = "r:1"

// runFixture runs a test in a synctest bubble. At the end no connection may be open.
func runFixture(t *testing.T, test func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{T: t, network: &pipenet.Network{}, events: make(chan Event, 64)}
		base := time.Now().Add(-time.Second)
		f.Pool = NewPool(Config{MaxCalls: 2, ConnectTimeout: 250e6, IdleTimeout: 15e9, Dial: f.network.Dial,
			Now: func() int64 { return int64(time.Since(base)) }},
			func(n Event) { f.events <- n }, sockets.NewBudget(64), counters.New(nil))
		f.SetAddress(0, address)
		test(f)
		f.Close()
		synctest.Wait()
		f.reports()
		if open := f.OpenConnections(); open != 0 {
			t.Errorf("%d connections are left open", open)
		}
	})
}

// call sends parts as one call.
func (f *fixture) call(ids ...string) (tickets []*Ticket) {
	for _, id := range ids {
		tickets = append(tickets, &Ticket{Part: Part{ID: id, Shard: 1, WaitMs: 100, Text: []byte("t")}})
	}
	if !f.Send(0, tickets) {
		f.Fatal("no connection may be opened")
	}
	return tickets
}

// reports handles the connections' events until all goroutines are blocked without one, and returns the pool's
// reports.
func (f *fixture) reports() (all []string) {
	for {
		synctest.Wait()
		select {
		case n := <-f.events:
			for _, r := range f.Handle(n) {
				all = append(all, fmt.Sprint(r.Ticket.ID, " ", r.Result, " ", r.Value))
			}
		default:
			return all
		}
	}
}

func (f *fixture) expect(want ...string) {
	f.Helper()
	if got := f.reports(); !slices.Equal(got, want) {
		f.Errorf("reported %q, want %q", got, want)
	}
}

func accept(l *pipenet.Listener) net.Conn {
	c, _ := l.Accept()
	return c
}

// next reads a frame and returns it without its length.
func (f *fixture) next(c net.Conn) string {
	head := make([]byte, 5)
	if _, err := io.ReadFull(c, head); err != nil {
		return err.Error()
	}
	rest := make([]byte, int(head[2])<<8+int(head[3])-1)
	io.ReadFull(c, rest)
	return string(head[4]) + string(rest)
}

// fulfilled has a replica answer a part on a new connection.
func (f *fixture) fulfilled(l *pipenet.Listener, id string) net.Conn {
	f.Helper()
	f.call(id)
	c := accept(l)
	f.next(c)
	f.reply(c, id, Succeeded)
	f.expect(id + " " + fulfilled + " v")
	return c
}

func (f *fixture) reply(c net.Conn, id string, outcome Outcome) {
	c.Write(AppendReply(nil, Reply{id, outcome, "v"}, "-"))
}

var (
	fulfilled     = fmt.Sprint(balance.Fulfilled)
	connectFailed = fmt.Sprint(balance.ConnectFailed)
	reset         = fmt.Sprint(balance.Reset)
	errored       = fmt.Sprint(balance.Errored)
)

func TestOutcomes(t *testing.T) {
	for name, test := range map[string]func(*fixture){
		"refused": func(f *fixture) {
			f.call("a.1", "a.2")
			f.expect("a.1 "+connectFailed+" ", "a.2 "+connectFailed+" ")
		},
		"never up": func(f *fixture) {
			f.network.Blackhole(address)
			f.call("a.1")
			time.Sleep(249 * time.Millisecond)
			f.expect()
			time.Sleep(time.Millisecond)
			f.expect("a.1 " + connectFailed + " ")
		},
		"replies in any order": func(f *fixture) {
			l := f.network.Listen(address)
			f.call("a.1", "a.2")
			c := accept(l)
			if got := f.next(c); got != "Ra.1 1 d=100 1\nta.2 1 d=100 1\nt" {
				f.Errorf("called with %q", got)
			}
			f.reply(c, "a.2", Succeeded)
			f.reply(c, "a.1", Rejected)
			f.expect("a.2 "+fulfilled+" v", fmt.Sprint("a.1 ", balance.Full, " v"))
		},
		"break before the last byte": func(f *fixture) {
			l := f.network.Listen(address)
			f.call("a.1")
			c := accept(l)
			io.ReadFull(c, make([]byte, 10))
			c.Close()
			f.expect("a.1 " + connectFailed + " ")
		},
		"break after the last byte": func(f *fixture) {
			l := f.network.Listen(address)
			f.call("a.1", "a.2")
			c := accept(l)
			f.next(c)
			f.call("a.3")
			f.next(c)
			c.Close()
			f.expect("a.1 "+reset+" ", "a.2 "+reset+" ", "a.3 "+reset+" ")
		},
		"could not be used": func(f *fixture) {
			l := f.network.Listen(address)
			f.call("a.1")
			c := accept(l)
			f.next(c)
			c.Write(AppendFrame(nil, LetterUnusable, "words"))
			f.expect("a.1 " + reset + " ")
		},
		"takes nothing in": func(f *fixture) {
			l := f.network.Listen(address)
			f.call("a.1")
			defer accept(l).Close()
			time.Sleep(writeTimeout)
			f.expect("a.1 " + connectFailed + " ")
		},
		"reply after giving up": func(f *fixture) {
			l := f.network.Listen(address)
			tickets := f.call("a.1")
			f.call("a.2")
			c := accept(l)
			f.next(c)
			f.next(c)
			if f.Abandon(tickets[0], true) {
				f.Error("a part that was sent was reported as withdrawn")
			}
			if got := f.next(c); got != "Aa.1" {
				f.Errorf("the replica received %q", got)
			}
			f.reply(c, "a.1", Succeeded)
			f.expect()
			f.reply(c, "a.1", Succeeded) // a second time
			f.expect()
			f.reply(c, "a.2", Succeeded)
			f.expect("a.2 " + fulfilled + " v")
		},
		"given up before it left": func(f *fixture) {
			f.network.Blackhole(address)
			tickets := append(f.call("a.1"), f.call("a.2", "a.3")...)
			time.Sleep(time.Millisecond)
			if !f.Withdraw(tickets[1]) || !f.Abandon(tickets[0], true) {
				f.Error("a part that waits for its connection was reported as sent")
			}
			time.Sleep(time.Second)
			f.expect("a.3 " + connectFailed + " ")
		},
		// Danger: in a shared call, a part whose query has ended would be sent after the answer.
		"given up out of a shared call": func(f *fixture) {
			l := f.network.Listen(address)
			for range pipenet.Backlog {
				f.network.Dial(f.Context(), "", address)
			}
			tickets := f.call("a.1", "b.1")
			synctest.Wait()
			if !f.Abandon(tickets[0], true) {
				f.Error("a part that waits for its connection was reported as sent")
			}
			for range pipenet.Backlog {
				accept(l).Close()
			}
			c := accept(l)
			if got := f.next(c); got != "Rb.1 1 d=100 1\nt" {
				f.Errorf("called with %q", got)
			}
			f.reply(c, "b.1", Succeeded)
			f.expect("b.1 " + fulfilled + " v")
		},
		// Danger: the connection of a machine that has vanished accepts all that is written to it.
		"silence": func(f *fixture) {
			l := f.network.Listen(address)
			tickets := f.call("a.1")
			f.next(accept(l))
			time.Sleep(time.Second)
			f.Abandon(tickets[0], false)
			f.call("b.1")
			if got := f.next(accept(l)); got != "Rb.1 1 d=100 1\nt" {
				f.Errorf("the next part is %q on a new connection", got)
			}
		},
		"the same id again": func(f *fixture) {
			l := f.network.Listen(address)
			tickets := f.call("a.1")
			first := accept(l)
			f.next(first)
			f.Abandon(tickets[0], false)
			f.call("a.1")
			second := accept(l)
			f.next(second)
			f.reply(first, "a.1", Failed)
			f.expect()
			f.reply(second, "a.1", Succeeded)
			f.expect("a.1 " + fulfilled + " v")
		},
		"more calls than a connection takes": func(f *fixture) {
			l := f.network.Listen(address)
			f.call("a.1")
			c := accept(l)
			f.call("a.2", "a.3")
			f.call("a.4")
			f.next(c)
			f.next(c)
			if got := f.next(accept(l)); got != "Ra.4 1 d=100 1\nt" {
				f.Errorf("the second connection got %q", got)
			}
		},
		"idle": func(f *fixture) {
			l := f.network.Listen(address)
			c := f.fulfilled(l, "a.1")
			time.Sleep(13 * time.Second)
			f.Sweep()
			f.call("a.2")
			f.next(c) // on the same connection
			f.reply(c, "a.2", Succeeded)
			f.expect("a.2 " + fulfilled + " v")
			time.Sleep(14 * time.Second)
			f.Sweep()
			if got := f.next(c); got != io.EOF.Error() {
				f.Errorf("an idle connection that should be closed returns %q", got)
			}
			f.call("a.3")
			f.next(accept(l))
		},
		"given back": func(f *fixture) {
			l := f.network.Listen(address)
			f.call("a.1")
			c := accept(l)
			f.next(c)
			f.CloseIdle(0) // a call is still in progress on it
			f.reply(c, "a.1", Succeeded)
			f.expect("a.1 " + fulfilled + " v")
			f.CloseIdle(0)
			if got := f.next(c); got != io.EOF.Error() {
				f.Errorf("a connection that should be closed returns %q", got)
			}
		},
		"moved": func(f *fixture) {
			l := f.network.Listen(address)
			f.call("a.1")
			c := accept(l)
			f.next(c)
			other := f.network.Listen("r:2")
			f.SetAddress(0, "r:2")
			f.call("a.2")
			f.next(accept(other))
			f.reply(c, "a.1", Succeeded)
			f.expect("a.1 " + fulfilled + " v")
		},
	} {
		t.Run(name, func(t *testing.T) { runFixture(t, test) })
	}
}

// TestSpoiltReplies: after a reply that cannot be decoded, all parts on its connection end at once as errored
// instead of waiting for their timeouts. They are not reported as reset, because the replica's process still
// runs, and not as failed to connect, because all of them may have been executed.
func TestSpoiltReplies(t *testing.T) {
	reply := string(AppendReply(nil, Reply{"a.1", Succeeded, "v"}, "-"))
	for name, c := range map[string]struct {
		bytes string
		after time.Duration
	}{
		"noise":        {"HTTP/1.1 200 OK\r\n\r\n", 0},
		"letter":       {"\x00\x00\x00\x01\x01", 0},
		"end":          {string(AppendFrame(nil, LetterReply, "a.1 DONE 0 -\nv")), 0},
		"id":           {string(AppendReply(nil, Reply{"b.1", Succeeded, "v"}, "-")), 0},
		"no length":    {"\x00\x00\x00\x00" + reply[4:], 0},
		"short length": {"\x00\x00\x00\x03" + reply[4:], 0},
		"long length":  {"\x00\x00\x01\x00" + reply[4:], 250 * time.Millisecond / frameTimeoutDivisor},
		"3 GB":         {"\xb2\xd0\x5e\x00" + reply[4:] + strings.Repeat("x", 9000), 0},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(f *fixture) {
				l := f.network.Listen(address)
				f.call("a.1")
				f.call("a.2")
				conn := accept(l)
				f.next(conn)
				f.next(conn)
				go io.WriteString(conn, c.bytes)
				time.Sleep(c.after)
				f.expect("a.1 "+errored+" ", "a.2 "+errored+" ")
				f.call("a.1") // the same id again; the pool must not reuse the first connection
				next := accept(l)
				f.next(next)
				f.reply(next, "a.1", Succeeded)
				f.expect("a.1 " + fulfilled + " v")
				if n := f.counters.InvalidReplies.Load(); n != 1 {
					f.Errorf("%d undecodable replies were counted", n)
				}
			})
		})
	}
}

// TestBehindAGoodReply: bytes after a valid reply must make neither that reply nor the next part fail. After
// undecodable bytes the next part uses a new connection; a second copy of the reply is ignored.
func TestBehindAGoodReply(t *testing.T) {
	reply := string(AppendReply(nil, Reply{"a.1", Succeeded, "v"}, "-"))
	for name, extra := range map[string]string{"noise": "\xfd\xbe\x99\an\r\n", "a second copy": reply} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(f *fixture) {
				l := f.network.Listen(address)
				f.call("a.1")
				conn := accept(l)
				f.next(conn)
				go io.WriteString(conn, reply+extra)
				if got := f.Handle(<-f.events); len(got) != 1 || got[0].Result != balance.Fulfilled {
					f.Fatalf("reported %v", got)
				}
				f.call("a.2") // before the bytes after the reply are handled
				if name == "noise" {
					conn = accept(l)
				}
				f.next(conn)
				f.reply(conn, "a.2", Succeeded)
				f.expect("a.2 " + fulfilled + " v")
			})
		})
	}
}

// TestNoRoom: connections beyond the limit on descriptors would end the process or make it unable to serve.
func TestNoRoom(t *testing.T) {
	runFixture(t, func(f *fixture) {
		f.network.Blackhole(address)
		var first []*Ticket
		sent := 0
		for i := 0; ; i++ {
			ticket := &Ticket{Part: Part{ID: fmt.Sprint("a.", i)}}
			if !f.Send(0, []*Ticket{ticket}) {
				break
			}
			first = append(first, ticket)
			sent++
		}
		if most := f.OpenConnections() * f.MaxCalls; sent != most || sent == 0 {
			t.Errorf("%d parts were sent on %d connections", sent, f.OpenConnections())
		}
		for _, ticket := range first {
			f.Abandon(ticket, false)
		}
		f.reports()
		f.call("b.1")
	})
}
