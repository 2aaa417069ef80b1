// Package transient holds the one rule for the failures that a program meets when it starts and where it listens: no failure ends
// a program. Whatever stands in the way is waited for and logged, until it has passed or the program is stopped. Only what the
// program itself has closed is given up.
//
// Decides: whether a failed operation is tried again, after how long, and which of its failures are logged.
package transient

import "time"

// Operation is what a program was doing when it failed.
type Operation int

// The operations.
const (
	Listen       Operation = iota // opening a listener
	Accept                        // accepting a connection
	ReadSettings                  // reading the settings at the start, and opening what they name
	OpenState                     // opening the file with a controller's state
)

// Failure is the kind of a failure.
type Failure int

// The kinds of failures.
const (
	Obstacle Failure = iota // the system refuses, or the content of a file is not what it should be
	Closed                  // the program has closed what the operation needs
)

// delays are the times between the attempts of an operation, ns.
type delays struct {
	first int64 // after the first failure; it doubles with each further one
	max   int64
}

const ms = int64(time.Millisecond)

var delaysOf = map[Operation]delays{
	Listen:       {first: 50 * ms, max: 250 * ms},
	Accept:       {first: 10 * ms, max: 100 * ms},
	ReadSettings: {first: 50 * ms, max: 200 * ms},
	OpenState:    {first: 100 * ms, max: 500 * ms},
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
	delays    delays
	failed    bool
	loggedAt  int64 // time of the last failure that was logged
	lastDelay int64
}

// NewAttempts returns the record of an operation that has not failed yet.
func NewAttempts(operation Operation) *Attempts { return &Attempts{delays: delaysOf[operation]} }

// Failed records a failure at a time, in ns, and returns what to do.
//
// Danger: a program that ended would be started again into the same obstacle, and end again, until it has passed.
func (a *Attempts) Failed(now int64, failure Failure) Decision {
	if failure == Closed {
		return Decision{GiveUp: true}
	}
	if !a.failed {
		a.failed, a.loggedAt, a.lastDelay = true, now, a.delays.first
		return Decision{Delay: a.lastDelay, Log: true}
	}
	a.lastDelay = min(2*a.lastDelay, a.delays.max)
	due := now-a.loggedAt >= logInterval
	if due {
		a.loggedAt = now
	}
	return Decision{Delay: a.lastDelay, Log: due}
}
