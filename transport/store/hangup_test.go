package store

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"willowsill/decide/sharedhealth"
)

// brokenConn ends its caller's context and then fails, at each write.
type brokenConn struct {
	net.Conn
	end context.CancelFunc
}

func (c *brokenConn) Write([]byte) (int, error) {
	c.end()
	time.Sleep(time.Millisecond) // the end of the context has a goroutine of its own
	return 0, errors.New("broken")
}

// TestContextEndsWhileHangingUp: a round whose context ends just as its connection fails leaves no trace: the end of the
// context meets no connection that is gone. It wants the race detector.
func TestContextEndsWhileHangingUp(t *testing.T) {
	for range 20 {
		ctx, end := context.WithCancel(t.Context())
		place := Place{Address: "r:1", Prefix: "t", Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			far.Close()
			return &brokenConn{near, end}, nil
		}}
		terms := sharedhealth.Terms{Name: "n", Incarnation: 7, Round: int64(round), Deadline: int64(deadline), Sample: 24, Aggregators: 1, Rest: 1e9,
			Health: true}
		k, err := New(place, sharedhealth.New(0, terms), &core{}, func() int64 { return 1e9 }, &Count{}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := k.carry(ctx, &sharedhealth.Request{}); err == nil {
			t.Fatal("a round over a broken connection had no error")
		}
		end()
	}
}
