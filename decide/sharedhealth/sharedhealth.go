// Package sharedhealth decides for one aggregator what it tells the others through a shared store, what it believes of
// what they tell and for how long, and what of a customer's quota it may spend. It does no I/O and reads no clock.
//
// Decides: what is published and when, which witnesses count, when hearsay narrows who is eligible, how many
// aggregators there are, leases of quotas, and whether the store is to be believed.
//
// How to call it: New at the start. Then, again and again: Survey with what the aggregator knows itself, Decide, which
// returns a request to the store when one is due, and Answer or Fail with what became of it; both return an allowance
// for the aggregator. Calls come from one goroutine, in order of time.
package sharedhealth

import (
	"math/rand/v2"
	"slices"

	"willowsill/balance"
)

const ms = 1_000_000 // ns

const (
	presenceRounds = 20  // an aggregator's own key lasts so many rounds
	liveRounds     = 6   // without a heartbeat, and an aggregator is not counted
	sweepEach      = 16  // rounds between two sweeps of what others left behind, by chance
	goneAfter      = 60  // rounds after which what another left behind is swept
	fieldsSwept    = 16  // findings of aggregators long gone that one sweep removes
	clockBack      = 1e9 // ns that the store's clock may fall before that is a contradiction
	clockAhead     = 5e9 // ns that it may leap
)

// Terms are what an aggregator is told of the store. Times in ns.
type Terms struct {
	Name        string // of this aggregator, no other's
	Incarnation uint64 // of this process: higher than that of the one before under the same name
	Seed        uint64
	Round       int64
	Deadline    int64
	Sample      int   // most aggregators that are read in one round
	Aggregators int   // that there are, as the deployment states it
	Rest        int64 // the first rest of a replica that is set aside
	Health      bool
	Quotas      []Quota
}

// Request is one round with the store, to be carried out in one go: nothing in it depends on what comes back.
type Request struct {
	Sent      int64
	By        int64 // or it has failed
	Presence  []byte
	Lasts     int64  // of the presence, ns
	Findings  []byte // nil: there is nothing to tell, and what was told before goes
	Sample    int    // records to read, by chance; 0 for none
	Heartbeat int64  // score of this aggregator among the members, the store's ms; 0 while its clock is not known
	LiveFrom  int64  // lowest score that counts as living
	SweepTo   int64  // scores up to this are removed; 0 for no sweep
	Drop      []string
	Reads     []Read
	Takes     []Take
}

// Entry is a record of another aggregator as the store holds it.
type Entry struct {
	Name string
	Text []byte
}

// Reply is what the store answered.
type Reply struct {
	Clock   int64  // the store's, ns of Unix time
	Own     []byte // what stood at this aggregator's presence before it was set; nil for nothing
	Live    int
	Entries []Entry
	Counts  [][]int64 // of each Read
	Totals  []int64   // of each Take, after it
	Odd     int       // parts of the answer that could not be used
}

// Allowance is what the aggregator is told: words to the decision module, tokens to its purse.
type Allowance struct {
	Words  []balance.Word
	Leases []Lease
	Locals []Local
}

// Event is something that staff ought to hear of.
type Event struct {
	Text  string
	State State
	Name  string // of an aggregator, or empty
}

// Figures are counts since the start, but for State, Age and Live.
type Figures struct {
	State                                                State
	Age                                                  int64 // of the last good round, ns
	Live                                                 int
	Rounds, Failed, Contradictions, Refused, Heard, Told int64
	Suspected, Put, Passed, Leased, Short                int64
}

// Exchange is one aggregator's part in what is shared.
type Exchange struct {
	Terms
	trust    trust
	hearsay  *hearsay
	ledger   *ledger
	chance   *rand.Rand
	survey   Survey
	surveyed int64
	asked    *Request // under way
	sequence uint64
	written  uint64 // the last sequence that the store has taken,
	wroteAs  uint64 // under this incarnation
	wroteAt  int64
	clock    int64 // the store's, at the last good round; 0 for not known
	received int64 // when that came
	sent     int64 // when that round left
	live     int
	highs    [2]int // the highest number of members of this span and the last
	highFrom int64
	leasedAt int64
	leasing  bool           // the round under way asks for tokens
	stale    map[string]int // fields of aggregators long gone, by rounds that they were seen
	events   []Event
	figures  Figures
	was      State
}

// New makes an aggregator's part at its start.
func New(now int64, t Terms) *Exchange {
	chance := rand.New(rand.NewPCG(t.Seed, uint64(t.Incarnation)))
	c := &Exchange{Terms: t, chance: chance, hearsay: newHearsay(t.Round, t.Rest, chance), ledger: newLedger(now, t.Quotas, t.Aggregators, chance),
		stale: map[string]int{}, surveyed: now, leasedAt: now, highFrom: now,
		trust: trust{round: t.Round, deadline: t.Deadline, chance: chance, good: now - 2*lostRounds*t.Round}}
	// Danger: a fleet that starts together would meet the store together.
	c.trust.next = now + int64(float64(t.Round)*chance.Float64())
	return c
}

// Next is when Decide wants to be called again.
func (c *Exchange) Next() int64 { return c.trust.next }

// Survey takes in what the aggregator knows itself; its slices are the caller's again after the next Answer or Fail.
func (c *Exchange) Survey(now int64, s Survey) {
	c.ledger.survey(s, now-c.surveyed)
	c.survey, c.surveyed = s, now
}

// bounds are the earliest and the latest that the store's clock can show now.
func (c *Exchange) bounds(now int64) (low, high int64) {
	return c.clock + now - c.received, c.clock + now - c.sent
}

// Decide returns the round that is due, or nil.
func (c *Exchange) Decide(now int64) *Request {
	if c.trust.look(now); c.asked != nil || now < c.trust.next {
		return nil
	}
	c.sequence++
	r := &Request{Sent: now, By: now + c.Deadline, Lasts: presenceRounds * c.Round}
	var low, high int64
	if c.clock > 0 {
		low, high = c.bounds(now)
		r.Heartbeat = low / ms
		r.LiveFrom = (low - liveRounds*c.Round) / ms
		if c.chance.IntN(sweepEach) == 0 {
			r.SweepTo = (low - goneAfter*c.Round) / ms
			for name, seen := range c.stale {
				if seen > 1 && len(r.Drop) < fieldsSwept {
					r.Drop = append(r.Drop, name)
				}
			}
			clear(c.stale)
		}
	}
	own := Record{Incarnation: c.Incarnation, Sequence: c.sequence, At: low, Replicas: len(c.survey.Findings)}
	r.Presence = own.Append(nil)
	if c.Health {
		r.Sample = c.Sample
		if c.clock > 0 {
			record := c.hearsay.testify(now, c.survey)
			record.Incarnation, record.Sequence, record.At = own.Incarnation, own.Sequence, own.At
			if len(record.Testimonies) > 0 {
				r.Findings = record.Append(nil)
				c.figures.Told += int64(len(record.Testimonies))
			}
		}
	}
	if c.leasing = c.clock > 0 && c.trust.believed(); c.leasing {
		r.Reads, r.Takes = c.ledger.asks(low, high, c.Round)
	}
	c.asked = r
	return r
}

// Answer takes in what the store answered to the request under way.
func (c *Exchange) Answer(now int64, reply Reply) Allowance {
	asked := c.asked
	c.asked = nil
	c.figures.Rounds++
	c.figures.Refused += int64(reply.Odd)
	as := c.Incarnation
	contradiction := c.contradiction(now, asked, reply)
	if contradiction != "" {
		c.figures.Contradictions++
		c.event(contradiction, "")
	}
	first := c.clock == 0
	c.clock, c.received, c.sent = reply.Clock, now, asked.Sent
	c.written, c.wroteAs, c.wroteAt = c.sequence, as, now
	c.trust.succeeded(now, now-asked.Sent, contradiction != "")
	c.count(now, reply.Live, first)
	c.read(now, reply)
	var a Allowance
	if contradiction == "" {
		a.Leases = c.leases(now, asked, reply)
	}
	if c.trust.believed() && c.Health {
		a.Words = slices.Clone(c.hearsay.weigh(now, c.survey, c.Members(now))) // it goes to another goroutine
		for _, w := range a.Words {
			c.figures.count(w)
		}
	}
	// Danger: who leases and lets in its share as well spends twice; who does neither has nothing for a round.
	a.Locals = c.ledger.locals(now, c.leasing && contradiction == "", c.Members(now))
	c.note()
	return a
}

func (f *Figures) count(w balance.Word) {
	for _, x := range []struct {
		n  *int64
		is bool
	}{{&f.Suspected, w.Suspect}, {&f.Put, w.Try > 0}, {&f.Passed, w.Weight > 0}} {
		if x.is {
			*x.n++
		}
	}
}

// Fail takes in that the request under way came to nothing.
func (c *Exchange) Fail(now int64, _ error) Allowance {
	c.asked = nil
	c.figures.Rounds++
	c.figures.Failed++
	c.trust.failed(now)
	c.note()
	return Allowance{Locals: c.ledger.locals(now, false, c.Members(now))}
}

// contradiction tells what in an answer cannot be, or nothing.
//
// Danger: a store that was emptied, failed over to an older state or shared with another fleet answers in time and
// says what no longer holds. This aggregator's own key shows it: only this process writes there.
func (c *Exchange) contradiction(now int64, asked *Request, reply Reply) string {
	if c.clock > 0 {
		if low, high := c.bounds(now); reply.Clock < low-clockBack || reply.Clock > high+clockAhead {
			return "the store's clock leapt"
		}
	}
	if reply.Own == nil {
		if c.written > 0 && now-c.wroteAt < asked.Lasts/2 {
			return "the store has lost what it held"
		}
		return ""
	}
	own, err := Decode(reply.Own)
	switch {
	case err != nil:
		return "this aggregator's own key holds what it did not write"
	case own.Incarnation > c.Incarnation && c.written == 0: // a clock that went back, or a process before this one
		c.Incarnation = own.Incarnation + 1
		return ""
	case own.Incarnation > c.Incarnation:
		return "another process goes by this aggregator's name"
	case c.written > 0 && (own.Incarnation < c.wroteAs || own.Incarnation == c.wroteAs && own.Sequence < c.written):
		return "the store went back to an older state"
	}
	return ""
}

// count keeps the highest number of members of the last while.
func (c *Exchange) count(now int64, live int, first bool) {
	if now-c.highFrom > membersFor/2 {
		c.highs, c.highFrom = [2]int{0, c.highs[0]}, now
	}
	if c.live = live; !first {
		c.highs[0] = max(c.highs[0], live)
	}
}

// Members is how many aggregators are reckoned with: when unsure the more, for shares are the smaller then.
func (c *Exchange) Members(now int64) int {
	return max(c.highs[0], c.highs[1], c.Aggregators, 1)
}

// read takes in the records of others.
func (c *Exchange) read(now int64, reply Reply) {
	for _, e := range reply.Entries {
		if e.Name == c.Name {
			continue
		}
		r, err := Decode(e.Text)
		if err != nil || len(e.Name) > nameMost {
			c.figures.Refused++
			c.event("a record was refused", e.Name)
			continue
		}
		if c.hearsay.record(now, reply.Clock, e.Name, r) {
			c.figures.Heard++
		} else if reply.Clock-r.At > goneAfter*c.Round && len(c.stale) < recordsMost {
			c.stale[e.Name]++
		}
	}
}

// leases turns what the store counted into tokens.
func (c *Exchange) leases(now int64, asked *Request, reply Reply) (leases []Lease) {
	for i, r := range asked.Reads {
		if i < len(reply.Counts) && len(reply.Counts[i]) == r.Counts() {
			c.ledger.read(r, reply.Counts[i])
		}
	}
	if len(c.Quotas) == 0 {
		return nil
	}
	brought := make([]float64, len(c.Quotas))
	for i, t := range asked.Takes {
		if i >= len(reply.Totals) || t.Units < 0 || reply.Totals[i] < t.Units {
			continue
		}
		tokens := c.ledger.granted(t, reply.Totals[i], reply.Clock)
		if tokens < float64(t.Units)/unit {
			c.figures.Short++
		}
		if l, good := c.ledger.lease(now, asked.Sent, reply.Clock, t, tokens); good {
			leases = append(leases, l)
			brought[t.Quota] += tokens
			c.figures.Leased += int64(tokens)
		}
	}
	c.ledger.leased(now-c.leasedAt, brought)
	c.leasedAt = now
	return leases
}

func (c *Exchange) event(text, name string) {
	if len(c.events) < 64 {
		c.events = append(c.events, Event{text, c.trust.state, name})
	}
}

// note tells of a change of state.
func (c *Exchange) note() {
	if c.trust.state != c.was {
		c.was = c.trust.state
		c.event("the shared store is "+c.was.String(), "")
	}
}

// Events returns what happened since the last call.
func (c *Exchange) Events() []Event {
	e := c.events
	c.events = nil
	return e
}

// Figures tells how things stand.
func (c *Exchange) Figures(now int64) Figures {
	c.trust.look(now)
	f := c.figures
	f.State, f.Age, f.Live = c.trust.state, now-c.trust.good, c.live
	return f
}
