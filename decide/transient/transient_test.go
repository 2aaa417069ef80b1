package transient

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestWhatIsWaitedFor has a row for each operation with the failures that it waits for.
func TestWhatIsWaitedFor(t *testing.T) {
	all := []Failure{Other, AddressTaken, AddressAbsent, Exhausted, FileRefused, Closed}
	for operation, want := range map[Operation][]Failure{
		Listen:       {AddressTaken, AddressAbsent, Exhausted},
		Accept:       {Other, AddressTaken, AddressAbsent, Exhausted, FileRefused},
		ReadSettings: all,
		OpenState:    {Exhausted, FileRefused},
	} {
		var waited []Failure
		for _, failure := range all {
			if !NewAttempts(operation).Failed(0, failure).GiveUp {
				waited = append(waited, failure)
			}
		}
		must.SliceContainsAll(t, want, waited, must.Sprint(operation))
	}
	must.MapLen(t, 4, rules)
}

// waitFor lets an operation fail for a time and returns when its waits were logged and when it was given up, -1 for never, in ms.
func waitFor(operation Operation, failure Failure, duration int64) (logged []int64, gaveUp int64) {
	a := NewAttempts(operation)
	for now := int64(0); now < duration*ms; {
		d := a.Failed(now, failure)
		if d.GiveUp {
			return logged, now / ms
		}
		if d.Log {
			logged = append(logged, now/ms)
		}
		now += d.Delay
	}
	return logged, -1
}

// TestWaits: a port is waited for without a limit and logged every ten seconds, settings for two seconds, and a failure that cannot
// pass ends the wait for one that can.
func TestWaits(t *testing.T) {
	logged, gaveUp := waitFor(Listen, AddressTaken, 25_000)
	must.Eq(t, -1, gaveUp)
	must.SliceLen(t, 3, logged)
	_, gaveUp = waitFor(ReadSettings, Other, 25_000)
	must.Between(t, 2000, gaveUp, 2200)
	_, gaveUp = waitFor(OpenState, FileRefused, 600_000)
	must.Eq(t, -1, gaveUp)
	a := NewAttempts(Listen)
	must.False(t, a.Failed(0, AddressTaken).GiveUp)
	must.True(t, a.Failed(1, Other).GiveUp)
}
