// Package transient holds the one rule for the failures that a program meets when it starts and where it listens: which of them
// can pass and are waited for, and which end the operation at once.
//
// Decides: whether a failed operation is tried again, after how long, and which of its failures are logged.
package transient

import (
	"slices"
	"time"
)

// Operation is what a program was doing when it failed.
type Operation int

// The operations.
const (
	Listen       Operation = iota // opening a listener
	Accept                        // accepting a connection
	ReadSettings                  // reading the settings file at the start
	OpenState                     // opening the file with a controller's state
)

// Failure is the kind of a failure.
type Failure int

// The kinds of failures.
const (
	Other         Failure = iota
	AddressTaken          // another process or a connection holds the address
	AddressAbsent         // the machine does not have the address, or its network is down
	Exhausted             // there are too few descriptors or too little memory
	FileRefused           // the system refuses to open, read or write a file; that says nothing about its content
	Closed                // the listener was closed
)

// rule is how the failures of an operation are handled. Times are in ns.
type rule struct {
	passes     func(Failure) bool
	firstDelay int64 // delay after the first failure; it doubles with each further one
	maxDelay   int64
	limit      int64 // time from the first failure after which the operation is given up; 0 for never
}

func passing(kinds ...Failure) func(Failure) bool {
	return func(f Failure) bool { return slices.Contains(kinds, f) }
}

const ms = int64(time.Millisecond)

var rules = map[Operation]rule{
	// Without a limit: a process that ended would be started again into the same wait.
	Listen: {passes: passing(AddressTaken, AddressAbsent, Exhausted), firstDelay: 50 * ms, maxDelay: 250 * ms},
	Accept: {passes: func(f Failure) bool { return f != Closed }, firstDelay: 10 * ms, maxDelay: 100 * ms},
	// The platform may be writing the file, which takes it less than the limit.
	ReadSettings: {passes: func(Failure) bool { return true }, firstDelay: 50 * ms, maxDelay: 200 * ms, limit: 2000 * ms},
	OpenState:    {passes: passing(FileRefused, Exhausted), firstDelay: 100 * ms, maxDelay: 500 * ms},
}

const logInterval = 10_000 * ms // time between two failures of one operation that are logged

// Decision is what to do after a failure.
type Decision struct {
	GiveUp bool  // there is to be no further attempt
	Delay  int64 // time until the next attempt, ns
	Log    bool  // the wait is to be logged
}

// Attempts records the failures of one operation since it was begun. It is not safe for concurrent use.
type Attempts struct {
	rule      rule
	failed    bool
	since     int64 // time of the first failure
	loggedAt  int64 // time of the last failure that was logged
	lastDelay int64
}

// NewAttempts returns the record of an operation that has not failed yet.
func NewAttempts(operation Operation) *Attempts { return &Attempts{rule: rules[operation]} }

// Failed records a failure at a time, in ns, and returns what to do.
func (a *Attempts) Failed(now int64, failure Failure) Decision {
	if !a.rule.passes(failure) {
		return Decision{GiveUp: true}
	}
	if !a.failed {
		a.failed, a.since, a.loggedAt, a.lastDelay = true, now, now, a.rule.firstDelay
		return Decision{Delay: a.lastDelay, Log: true}
	}
	if a.rule.limit > 0 && now-a.since >= a.rule.limit {
		return Decision{GiveUp: true}
	}
	a.lastDelay = min(2*a.lastDelay, a.rule.maxDelay)
	due := now-a.loggedAt >= logInterval
	if due {
		a.loggedAt = now
	}
	return Decision{Delay: a.lastDelay, Log: due}
}
