package siterouting

import "math"

const (
	limitFirst = 8   // queries in flight over a link to begin with,
	limitLeast = 2   // at least,
	limitMost  = 512 // and at most
	swollen    = 1.5 // times the least way there and back, with slack: then queues stand on the link
	slackTime  = 20e6
	shrink     = 0.9
	leastFor   = 10e9 // ns after which the least delay is found anew, for routes change
	idleShare  = 4    // of a longer delay that an idle link's least moves by: no queue of this side's stands there
)

// Limit is how many queries may be in flight over one link: more while its delay stays near the least seen, fewer when it
// swells. Its zero value is not usable; see NewLimit.
type Limit struct {
	most     float64
	inFlight int
	least    int64 // the least delay, ns; 0 for none yet
	newLeast int64 // of the present span
	since    int64
	shrunk   int64 // the last time
}

// NewLimit makes a link's limit.
func NewLimit(now int64) *Limit { return &Limit{most: limitFirst, since: now} }

// Take takes room for a query, if there is some.
func (l *Limit) Take() bool {
	if float64(l.inFlight) >= math.Floor(l.most) {
		return false
	}
	l.inFlight++
	return true
}

// Must takes room for a query that goes whatever the limit says.
func (l *Limit) Must() { l.inFlight++ }

// Give gives room back.
func (l *Limit) Give() { l.inFlight-- }

// Most is the present limit.
func (l *Limit) Most() int { return int(l.most) }

// InFlight is how many are out.
func (l *Limit) InFlight() int { return l.inFlight }

// Least is the least delay seen, ns; 0 for none yet.
func (l *Limit) Least() int64 { return l.least }

// Delay takes in a measured way there and back, ns; lost is one that did not come back.
//
// Danger: a link that is full answers late, and by the time queries fail its queue holds seconds of them. So the limit
// goes by delay, and falls once for each way there and back, not for each query that waited in one queue.
func (l *Limit) Delay(now, delay int64, lost bool) {
	if !lost {
		if l.newLeast == 0 || delay < l.newLeast {
			l.newLeast = delay
		}
		if l.least == 0 || delay < l.least {
			l.least = delay
		}
		if now-l.since > leastFor {
			l.least, l.newLeast, l.since = l.newLeast, 0, now
		}
	}
	switch {
	case !lost && l.inFlight == 0:
		l.least += max(delay-l.least, 0) / idleShare
	case lost || float64(delay) > swollen*float64(l.least)+slackTime:
		if now-l.shrunk > max(l.least, int64(slackTime)) {
			l.most, l.shrunk = max(l.most*shrink, limitLeast), now
		}
	case l.most < limitFirst: // Danger: a way that is back from a cut would take half a minute to carry what it did
		l.most = min(l.most+1, limitFirst)
	case 2*l.inFlight >= int(l.most): // what is not used says nothing
		l.most = min(l.most+1/l.most, limitMost)
	}
}
