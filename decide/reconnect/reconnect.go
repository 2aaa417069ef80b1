// Package reconnect paces connections to a peer that has sent more than it may. It does no I/O.
//
// Decides: when the next connection to such a peer may be opened. There is one at a time, after a pause that doubles with each answer
// that passes a limit, and the first good answer ends that.
package reconnect

import "time"

const (
	firstPause   = int64(100 * time.Millisecond)
	longestPause = int64(2 * time.Second)
)

// Pacer paces the connections to one peer. Its zero value lets all be opened. It is not safe for concurrent use.
type Pacer struct {
	pause   int64 // ns between two connections, 0 for none
	nextAt  int64
	counted bool // the answer on the last connection was recorded
}

// LimitPassed records an answer that passed a limit.
func (p *Pacer) LimitPassed(now int64) {
	if p.counted { // on another connection that was opened before the pause
		return
	}
	p.counted = true
	p.pause = min(max(2*p.pause, firstPause), longestPause)
	p.nextAt = now + p.pause
}

// Answered records a good answer. It ends the pauses unless it came between a limit that was passed and the next connection.
func (p *Pacer) Answered() {
	if !p.counted {
		*p = Pacer{}
	}
}

// Open returns 0 if a connection may be opened now, which takes the turn, and else how long to wait before the next call, in ns.
func (p *Pacer) Open(now int64) (wait int64) {
	if p.pause == 0 {
		return 0
	}
	if now < p.nextAt {
		return p.nextAt - now
	}
	p.nextAt, p.counted = now+p.pause, false
	return 0
}
