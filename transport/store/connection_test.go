package store

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
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

// stalledConn ends its caller's context at each write, and waits until its deadline has been told.
type stalledConn struct {
	net.Conn
	end         context.CancelFunc
	deadlineSet chan struct{}
}

func (c *stalledConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.end()
	<-c.deadlineSet
	return n, err
}

func (c *stalledConn) SetDeadline(t time.Time) error {
	err := c.Conn.SetDeadline(t)
	if time.Now().After(t) {
		close(c.deadlineSet)
	}
	return err
}

// silentStore takes in all that a client writes and answers nothing.
func silentStore() net.Conn {
	near, far := net.Pipe()
	go io.Copy(io.Discard, far)
	return near
}

// mustFail wants a client's round to fail by itself.
func mustFail(t *testing.T, k *Client, ctx context.Context) {
	t.Helper()
	failed := make(chan error, 1)
	go func() {
		_, err := k.roundTrip(ctx, &sharedhealth.Request{})
		failed <- err
	}()
	select {
	case err := <-failed:
		must.Error(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the round does not end")
	}
}

// TestContextEndsBeforeTheReply: a round whose context ends after its commands are out and before it waits for their
// replies ends, though the store says nothing.
func TestContextEndsBeforeTheReply(t *testing.T) {
	ctx, end := context.WithCancel(t.Context())
	conn := &stalledConn{silentStore(), end, make(chan struct{})}
	k := newClient(t, Endpoint{Address: "r:1", Prefix: "t", Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil }})
	mustFail(t, k, ctx)
}

// TestSilentAtTheDoor: a store that is silent when it is told the password holds a round no longer than its time.
func TestSilentAtTheDoor(t *testing.T) {
	password := filepath.Join(t.TempDir(), "password")
	must.NoError(t, os.WriteFile(password, []byte("word"), 0o600))
	ctx, end := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer end()
	k := newClient(t, Endpoint{Address: "r:1", Prefix: "t", PasswordFile: password,
		Dial: func(context.Context, string, string) (net.Conn, error) { return silentStore(), nil }})
	mustFail(t, k, ctx)
}

// newClient is a client of that store, alone.
func newClient(t *testing.T, place Endpoint) *Client {
	terms := sharedhealth.Config{Name: "n", Incarnation: 7, RoundInterval: int64(round), RoundTimeout: int64(deadline), SampleSize: 24, Aggregators: 1, BaseEjection: 1e9,
		HealthEnabled: true}
	k, err := New(place, sharedhealth.New(0, terms), &testAggregator{}, func() int64 { return 1e9 }, &Counters{}, zap.NewNop())
	must.NoError(t, err)
	return k
}

// TestContextEndsWhileHangingUp: a round whose context ends just as its connection fails leaves no trace: the end of the
// context meets no connection that is gone. It wants the race detector.
func TestContextEndsWhileHangingUp(t *testing.T) {
	for range 20 {
		ctx, end := context.WithCancel(t.Context())
		place := Endpoint{Address: "r:1", Prefix: "t", Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			far.Close()
			return &brokenConn{near, end}, nil
		}}
		k := newClient(t, place)
		if _, err := k.roundTrip(ctx, &sharedhealth.Request{}); err == nil {
			t.Fatal("a round over a broken connection had no error")
		}
		end()
	}
}
