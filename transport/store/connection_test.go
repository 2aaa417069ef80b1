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

// brokenConn cancels its caller's context at each write, and then fails.
type brokenConn struct {
	net.Conn
	cancel context.CancelFunc
}

func (c *brokenConn) Write([]byte) (int, error) {
	c.cancel()
	time.Sleep(time.Millisecond) // gives the goroutine that handles the end of the context time to run
	return 0, errors.New("broken")
}

// stalledConn cancels its caller's context at each write, and returns only after the deadline has been set in
// consequence.
type stalledConn struct {
	net.Conn
	cancel      context.CancelFunc
	deadlineSet chan struct{}
}

func (c *stalledConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.cancel()
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

// silentStore reads all that a client writes and answers nothing.
func silentStore() net.Conn {
	clientEnd, storeEnd := net.Pipe()
	go io.Copy(io.Discard, storeEnd)
	return clientEnd
}

// mustFail expects a client's round to end with an error.
func mustFail(t *testing.T, client *Client, ctx context.Context) {
	t.Helper()
	failed := make(chan error, 1)
	go func() {
		_, err := client.roundTrip(ctx, &sharedhealth.Request{})
		failed <- err
	}()
	select {
	case err := <-failed:
		must.Error(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the round did not end within 10 s")
	}
}

// TestContextEndsBeforeTheReply: a round ends if its context ends after the commands are written and before it
// waits for the replies, even if the store stays silent.
func TestContextEndsBeforeTheReply(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	conn := &stalledConn{silentStore(), cancel, make(chan struct{})}
	client := newClient(t, Endpoint{Address: "r:1", Prefix: "t", Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil }})
	mustFail(t, client, ctx)
}

// TestSilentAtTheDoor: a store that does not answer to the password delays a round no longer than its timeout.
func TestSilentAtTheDoor(t *testing.T) {
	password := filepath.Join(t.TempDir(), "password")
	must.NoError(t, os.WriteFile(password, []byte("word"), 0o600))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	client := newClient(t, Endpoint{Address: "r:1", Prefix: "t", PasswordFile: password,
		Dial: func(context.Context, string, string) (net.Conn, error) { return silentStore(), nil }})
	mustFail(t, client, ctx)
}

// newClient returns a client of the store at an endpoint, for the only aggregator.
func newClient(t *testing.T, endpoint Endpoint) *Client {
	config := sharedhealth.Config{Name: "n", Incarnation: 7, RoundInterval: int64(round), RoundTimeout: int64(deadline), SampleSize: 24, Aggregators: 1, BaseEjection: 1e9,
		HealthEnabled: true}
	client, err := New(endpoint, sharedhealth.New(0, config), &testAggregator{}, func() int64 { return 1e9 }, &Counters{}, zap.NewNop())
	must.NoError(t, err)
	return client
}

// TestContextEndsWhileHangingUp: a context that ends at the moment when its round's connection is closed does
// not use the closed connection. Only the race detector shows a fault.
func TestContextEndsWhileHangingUp(t *testing.T) {
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		endpoint := Endpoint{Address: "r:1", Prefix: "t", Dial: func(context.Context, string, string) (net.Conn, error) {
			clientEnd, storeEnd := net.Pipe()
			storeEnd.Close()
			return &brokenConn{clientEnd, cancel}, nil
		}}
		client := newClient(t, endpoint)
		if _, err := client.roundTrip(ctx, &sharedhealth.Request{}); err == nil {
			t.Fatal("a round over a broken connection had no error")
		}
		cancel()
	}
}
