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

// fixture is a pool with one replica, which the test plays.
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
		b := &fixture{T: t, network: &pipenet.Network{}, events: make(chan Event, 64)}
		base := time.Now().Add(-time.Second)
		b.Pool = NewPool(Config{MaxCalls: 2, ConnectTimeout: 250e6, IdleTimeout: 15e9, Dial: b.network.Dial,
			Now: func() int64 { return int64(time.Since(base)) }},
			func(n Event) { b.events <- n }, sockets.NewBudget(64), counters.New(nil))
		b.SetAddress(0, address)
		test(b)
		b.Close()
		synctest.Wait()
		b.reports()
		if open := b.OpenConnections(); open != 0 {
			t.Errorf("%d connections are left open", open)
		}
	})
}

// call sends parts as one call.
func (b *fixture) call(ids ...string) (tickets []*Ticket) {
	for _, id := range ids {
		tickets = append(tickets, &Ticket{Part: Part{ID: id, Shard: 1, WaitMs: 100, Text: []byte("t")}})
	}
	if !b.Send(0, tickets) {
		b.Fatal("no connection may be opened")
	}
	return tickets
}

// reports waits until all goroutines are blocked, and returns what the pool then reports.
func (b *fixture) reports() (all []string) {
	for {
		synctest.Wait()
		select {
		case n := <-b.events:
			for _, r := range b.Handle(n) {
				all = append(all, fmt.Sprint(r.Ticket.ID, " ", r.Result, " ", r.Value))
			}
		default:
			return all
		}
	}
}

func (b *fixture) expect(want ...string) {
	b.Helper()
	if got := b.reports(); !slices.Equal(got, want) {
		b.Errorf("reported %q, want %q", got, want)
	}
}

// accept accepts the next connection.
func accept(l *pipenet.Listener) net.Conn {
	c, _ := l.Accept()
	return c
}

// next reads a frame and returns it without its length.
func (b *fixture) next(c net.Conn) string {
	head := make([]byte, 5)
	if _, err := io.ReadFull(c, head); err != nil {
		return err.Error()
	}
	rest := make([]byte, int(head[2])<<8+int(head[3])-1)
	io.ReadFull(c, rest)
	return string(head[4]) + string(rest)
}

// fulfilled has a replica answer a part on a new connection.
func (b *fixture) fulfilled(l *pipenet.Listener, id string) net.Conn {
	b.Helper()
	b.call(id)
	c := accept(l)
	b.next(c)
	b.reply(c, id, Succeeded)
	b.expect(id + " " + fulfilled + " v")
	return c
}

func (b *fixture) reply(c net.Conn, id string, end Outcome) {
	c.Write(AppendReply(nil, Reply{id, end, "v"}, "-"))
}

var (
	fulfilled     = fmt.Sprint(balance.Fulfilled)
	connectFailed = fmt.Sprint(balance.ConnectFailed)
	reset         = fmt.Sprint(balance.Reset)
	errored       = fmt.Sprint(balance.Errored)
)

func TestOutcomes(t *testing.T) {
	for name, test := range map[string]func(*fixture){
		"refused": func(b *fixture) {
			b.call("a.1", "a.2")
			b.expect("a.1 "+connectFailed+" ", "a.2 "+connectFailed+" ")
		},
		"never up": func(b *fixture) {
			b.network.Blackhole(address)
			b.call("a.1")
			time.Sleep(249 * time.Millisecond)
			b.expect()
			time.Sleep(time.Millisecond)
			b.expect("a.1 " + connectFailed + " ")
		},
		"replies in any order": func(b *fixture) {
			l := b.network.Listen(address)
			b.call("a.1", "a.2")
			c := accept(l)
			if got := b.next(c); got != "Ra.1 1 d=100 1\nta.2 1 d=100 1\nt" {
				b.Errorf("called with %q", got)
			}
			b.reply(c, "a.2", Succeeded)
			b.reply(c, "a.1", Rejected)
			b.expect("a.2 "+fulfilled+" v", fmt.Sprint("a.1 ", balance.Full, " v"))
		},
		"break before the last byte": func(b *fixture) {
			l := b.network.Listen(address)
			b.call("a.1")
			c := accept(l)
			io.ReadFull(c, make([]byte, 10))
			c.Close()
			b.expect("a.1 " + connectFailed + " ")
		},
		"break after the last byte": func(b *fixture) {
			l := b.network.Listen(address)
			b.call("a.1", "a.2")
			c := accept(l)
			b.next(c)
			b.call("a.3")
			b.next(c)
			c.Close()
			b.expect("a.1 "+reset+" ", "a.2 "+reset+" ", "a.3 "+reset+" ")
		},
		"could not be used": func(b *fixture) {
			l := b.network.Listen(address)
			b.call("a.1")
			c := accept(l)
			b.next(c)
			c.Write(AppendFrame(nil, LetterUnusable, "words"))
			b.expect("a.1 " + reset + " ")
		},
		"takes nothing in": func(b *fixture) {
			l := b.network.Listen(address)
			b.call("a.1")
			defer accept(l).Close()
			time.Sleep(writeTimeout)
			b.expect("a.1 " + connectFailed + " ")
		},
		"reply after giving up": func(b *fixture) {
			l := b.network.Listen(address)
			tickets := b.call("a.1")
			b.call("a.2")
			c := accept(l)
			b.next(c)
			b.next(c)
			if b.Abandon(tickets[0], true) {
				b.Error("a part that was sent was reported as withdrawn")
			}
			if got := b.next(c); got != "Aa.1" {
				b.Errorf("the replica received %q", got)
			}
			b.reply(c, "a.1", Succeeded)
			b.expect()
			b.reply(c, "a.1", Succeeded) // a second time
			b.expect()
			b.reply(c, "a.2", Succeeded)
			b.expect("a.2 " + fulfilled + " v")
		},
		"given up before it left": func(b *fixture) {
			b.network.Blackhole(address)
			tickets := append(b.call("a.1"), b.call("a.2", "a.3")...)
			time.Sleep(time.Millisecond)
			if !b.Withdraw(tickets[1]) || !b.Abandon(tickets[0], true) {
				b.Error("a part that waits for its connection was reported as sent")
			}
			time.Sleep(time.Second)
			b.expect("a.3 " + connectFailed + " ")
		},
		// Danger: in a shared call, a part whose query has ended would be sent after the answer.
		"given up out of a shared call": func(b *fixture) {
			l := b.network.Listen(address)
			for range pipenet.Backlog {
				b.network.Dial(b.Context(), "", address)
			}
			tickets := b.call("a.1", "b.1")
			synctest.Wait()
			if !b.Abandon(tickets[0], true) {
				b.Error("a part that waits for its connection was reported as sent")
			}
			for range pipenet.Backlog {
				accept(l).Close()
			}
			c := accept(l)
			if got := b.next(c); got != "Rb.1 1 d=100 1\nt" {
				b.Errorf("called with %q", got)
			}
			b.reply(c, "b.1", Succeeded)
			b.expect("b.1 " + fulfilled + " v")
		},
		// Danger: the connection of a machine that has vanished accepts all that is written to it.
		"silence": func(b *fixture) {
			l := b.network.Listen(address)
			tickets := b.call("a.1")
			b.next(accept(l))
			time.Sleep(time.Second)
			b.Abandon(tickets[0], false)
			b.call("b.1")
			if got := b.next(accept(l)); got != "Rb.1 1 d=100 1\nt" {
				b.Errorf("the next part is %q on a new connection", got)
			}
		},
		"the same id again": func(b *fixture) {
			l := b.network.Listen(address)
			tickets := b.call("a.1")
			first := accept(l)
			b.next(first)
			b.Abandon(tickets[0], false)
			b.call("a.1")
			second := accept(l)
			b.next(second)
			b.reply(first, "a.1", Failed)
			b.expect()
			b.reply(second, "a.1", Succeeded)
			b.expect("a.1 " + fulfilled + " v")
		},
		"more calls than a connection takes": func(b *fixture) {
			l := b.network.Listen(address)
			b.call("a.1")
			c := accept(l)
			b.call("a.2", "a.3")
			b.call("a.4")
			b.next(c)
			b.next(c)
			if got := b.next(accept(l)); got != "Ra.4 1 d=100 1\nt" {
				b.Errorf("the second connection got %q", got)
			}
		},
		"idle": func(b *fixture) {
			l := b.network.Listen(address)
			c := b.fulfilled(l, "a.1")
			time.Sleep(13 * time.Second)
			b.Sweep()
			b.call("a.2")
			b.next(c) // on the same connection
			b.reply(c, "a.2", Succeeded)
			b.expect("a.2 " + fulfilled + " v")
			time.Sleep(14 * time.Second)
			b.Sweep()
			if got := b.next(c); got != io.EOF.Error() {
				b.Errorf("an idle connection that should be closed returns %q", got)
			}
			b.call("a.3")
			b.next(accept(l))
		},
		"given back": func(b *fixture) {
			l := b.network.Listen(address)
			b.call("a.1")
			c := accept(l)
			b.next(c)
			b.CloseIdle(0) // a call is still in progress on it
			b.reply(c, "a.1", Succeeded)
			b.expect("a.1 " + fulfilled + " v")
			b.CloseIdle(0)
			if got := b.next(c); got != io.EOF.Error() {
				b.Errorf("a connection that should be closed returns %q", got)
			}
		},
		"moved": func(b *fixture) {
			l := b.network.Listen(address)
			b.call("a.1")
			c := accept(l)
			b.next(c)
			other := b.network.Listen("r:2")
			b.SetAddress(0, "r:2")
			b.call("a.2")
			b.next(accept(other))
			b.reply(c, "a.1", Succeeded)
			b.expect("a.1 " + fulfilled + " v")
		},
	} {
		t.Run(name, func(t *testing.T) { runFixture(t, test) })
	}
}

// TestSpoiltReplies: a reply that cannot be decoded belongs to a part that waits, which would otherwise wait
// for its timeout, and so would the other parts on its connection. All of them may have been executed, and the
// replica's process still runs.
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
			runFixture(t, func(b *fixture) {
				l := b.network.Listen(address)
				b.call("a.1")
				b.call("a.2")
				conn := accept(l)
				b.next(conn)
				b.next(conn)
				go io.WriteString(conn, c.bytes)
				time.Sleep(c.after)
				b.expect("a.1 "+errored+" ", "a.2 "+errored+" ")
				b.call("a.1") // once more; the first connection is not used again
				next := accept(l)
				b.next(next)
				b.reply(next, "a.1", Succeeded)
				b.expect("a.1 " + fulfilled + " v")
				if n := b.counters.InvalidReplies.Load(); n != 1 {
					b.Errorf("%d undecodable replies were counted", n)
				}
			})
		})
	}
}

// TestBehindAGoodReply: bytes after a valid reply must spoil neither that reply nor the next part. A second
// copy of the reply is harmless.
func TestBehindAGoodReply(t *testing.T) {
	reply := string(AppendReply(nil, Reply{"a.1", Succeeded, "v"}, "-"))
	for name, extra := range map[string]string{"noise": "\xfd\xbe\x99\an\r\n", "a second copy": reply} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(b *fixture) {
				l := b.network.Listen(address)
				b.call("a.1")
				conn := accept(l)
				b.next(conn)
				go io.WriteString(conn, reply+extra)
				if got := b.Handle(<-b.events); len(got) != 1 || got[0].Result != balance.Fulfilled {
					b.Fatalf("reported %v", got)
				}
				b.call("a.2") // before what follows the reply was handled
				if name == "noise" {
					conn = accept(l)
				}
				b.next(conn)
				b.reply(conn, "a.2", Succeeded)
				b.expect("a.2 " + fulfilled + " v")
			})
		})
	}
}

// TestNoRoom: connections beyond the limit on descriptors would end the process or make it unable to serve.
func TestNoRoom(t *testing.T) {
	runFixture(t, func(b *fixture) {
		b.network.Blackhole(address)
		var first []*Ticket
		sent := 0
		for i := 0; ; i++ {
			ticket := &Ticket{Part: Part{ID: fmt.Sprint("a.", i)}}
			if !b.Send(0, []*Ticket{ticket}) {
				break
			}
			first = append(first, ticket)
			sent++
		}
		if most := b.OpenConnections() * b.MaxCalls; sent != most || sent == 0 {
			t.Errorf("%d parts were sent on %d connections", sent, b.OpenConnections())
		}
		for _, ticket := range first {
			b.Abandon(ticket, false)
		}
		b.reports()
		b.call("b.1")
	})
}
