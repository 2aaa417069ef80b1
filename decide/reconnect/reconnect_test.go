package reconnect

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestPaused (FAULT): after an answer that passed a limit there is one connection at a time, in pauses that double up to the longest.
func TestPaused(t *testing.T) {
	p := Pacer{}
	now := int64(1e9)
	must.Eq(t, 0, p.Open(now))
	must.Eq(t, 0, p.Open(now))
	expected := firstPause
	for range 10 {
		p.LimitPassed(now)
		must.Eq(t, expected, p.Open(now))
		must.Eq(t, 1, p.Open(now+expected-1))
		now += expected
		must.Eq(t, 0, p.Open(now), must.Sprint("its turn"))
		must.Eq(t, expected, p.Open(now), must.Sprint("the turn is taken"))
		expected = min(2*expected, longestPause)
	}
}

// TestConnectionsFromBefore: connections that were open before a pause and pass the limit in it do not lengthen it.
func TestConnectionsFromBefore(t *testing.T) {
	p := Pacer{}
	for range 24 {
		p.LimitPassed(0)
	}
	must.Eq(t, firstPause, p.Open(0))
}

// TestAnswered: a good answer on a connection that was opened after the pause ends the pauses. One on a connection from before does not:
// a peer that sends good answers and others by turns would never be paused.
func TestAnswered(t *testing.T) {
	p := Pacer{}
	p.LimitPassed(0)
	p.Answered()
	must.Eq(t, firstPause, p.Open(0))
	must.Eq(t, 0, p.Open(firstPause))
	p.Answered()
	must.Eq(t, 0, p.Open(firstPause))
	must.Eq(t, 0, p.Open(firstPause))
	p.LimitPassed(firstPause)
	must.Eq(t, firstPause, p.Open(firstPause))
}
