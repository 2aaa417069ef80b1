package transient

import (
	"testing"

	"github.com/shoenig/test/must"
)

var operations = []Operation{Listen, Accept, ReadSettings, OpenState}

// waitFor lets an operation fail for a time and returns when its waits were logged and when it was given up, -1 for never, in ms.
func waitFor(operation Operation, duration int64) (logged []int64, gaveUp int64) {
	a := NewAttempts(operation)
	for now := int64(0); now < duration*ms; {
		d := a.Failed(now, Obstacle)
		if d.GiveUp || d.Delay <= 0 {
			return logged, now / ms
		}
		if d.Log {
			logged = append(logged, now/ms)
		}
		now += d.Delay
	}
	return logged, -1
}

// TestNoFailureIsGivenUp (FAULT): every operation is tried again for as long as it fails. The wait is logged at once and each ten
// seconds.
func TestNoFailureIsGivenUp(t *testing.T) {
	must.MapLen(t, len(operations), delaysOf)
	for _, operation := range operations {
		logged, gaveUp := waitFor(operation, 3_600_000)
		must.Eq(t, -1, gaveUp, must.Sprint(operation))
		must.Between(t, 340, len(logged), 360, must.Sprint(operation))
		must.Zero(t, logged[0], must.Sprint(operation))
	}
}

// TestRetriesAreSoonAndFew: an operation is tried again within 100 ms of its first failure, later not oftener than each 100 ms and not
// more seldom than each 500 ms.
func TestRetriesAreSoonAndFew(t *testing.T) {
	for _, operation := range operations {
		a := NewAttempts(operation)
		must.Between(t, 10*ms, a.Failed(0, Obstacle).Delay, 100*ms, must.Sprint(operation))
		for range 20 {
			a.Failed(0, Obstacle)
		}
		must.Between(t, 100*ms, a.Failed(0, Obstacle).Delay, 500*ms, must.Sprint(operation))
	}
}

// TestWhatIsClosedIsGivenUp: what the program itself has closed is not tried again, also behind other failures.
func TestWhatIsClosedIsGivenUp(t *testing.T) {
	for _, operation := range operations {
		a := NewAttempts(operation)
		must.False(t, a.Failed(0, Obstacle).GiveUp, must.Sprint(operation))
		must.True(t, a.Failed(1, Closed).GiveUp, must.Sprint(operation))
	}
}
