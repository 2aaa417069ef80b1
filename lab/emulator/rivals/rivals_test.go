package rivals

import (
	"testing"

	"willowsill/balance"
)

const ms = int64(1e6)

// four holders of one shard; the second is up to nothing good where a test says so.
func four(policy string, effect balance.RetrySafety) *Rival {
	r := New(Terms{Policy: policy, Seed: 1, Shards: 1, Executions: 3, Floor: 1, Effect: []balance.RetrySafety{effect},
		Truth: func(replica int) (int64, bool) { return int64(10-replica) * ms, replica != 3 }})
	for i := range 4 {
		r.List(i, 0, true)
	}
	return r
}

// sent takes a query of one part in and returns where it goes, or -1.
func (r *Rival) sent(now int64, number int32) int {
	r.Take(now, number, 0, 1000*ms, []int{0}, []float64{1})
	sends, _, _ := r.Decide(now)
	for _, s := range sends {
		if s.Query == number {
			return s.Replica
		}
	}
	return -1
}

// Each policy chooses as its name says.
func TestPick(t *testing.T) {
	turns := four("turns", balance.Repeatable)
	for i := range int32(8) {
		if to := turns.sent(0, i+1); to != int(i%4) {
			t.Errorf("by turns query %d goes to %d", i, to)
		}
	}
	least := four("least", balance.Repeatable)
	seen := map[int]int{}
	for i := range int32(8) {
		seen[least.sent(0, i+1)]++
	}
	if seen[0] != 2 || seen[1] != 2 || seen[2] != 2 || seen[3] != 2 {
		t.Errorf("least in flight: %v", seen)
	}
	if to := four("oracle", balance.Repeatable).sent(0, 1); to != 2 {
		t.Errorf("the oracle, who sees that 3 is sick and 2 the emptiest, goes to %d", to)
	}
	ewma := four("ewma", balance.Repeatable)
	for i := range int32(4) { // 0 is slow, the others quick
		to := ewma.sent(0, i+1)
		took := 10 * ms
		if to == 0 {
			took = 500 * ms
		}
		ewma.Outcome(took, i+1, 0, balance.Fulfilled, took)
	}
	for i := range int32(20) {
		to := ewma.sent(600*ms, 100+i)
		if ewma.Outcome(610*ms, 100+i, 0, balance.Fulfilled, 10*ms); to == 0 {
			t.Errorf("the fading mean goes to the slow one, query %d", i)
		}
	}
	for _, policy := range []string{"random", "two"} {
		r, seen := four(policy, balance.Repeatable), map[int]bool{}
		for i := range int32(100) {
			seen[r.sent(0, i+1)] = true
		}
		if len(seen) != 4 {
			t.Errorf("%s: %v", policy, seen)
		}
	}
}

// A part that fails is tried elsewhere while that is allowed, and a query has one end in its time.
func TestEnds(t *testing.T) {
	r := four("turns", balance.Repeatable)
	first := r.sent(0, 1)
	r.Outcome(5*ms, 1, 0, balance.Errored, 5*ms)
	sends, ends, _ := r.Decide(5 * ms)
	if len(sends) != 1 || sends[0].Replica == first || len(ends) != 0 {
		t.Errorf("after an error: %v %v", sends, ends)
	}
	r.Outcome(9*ms, 1, 0, balance.Fulfilled, 4*ms)
	if _, ends, _ = r.Decide(9 * ms); len(ends) != 1 || ends[0].Final != balance.Whole {
		t.Errorf("fulfilled: %v", ends)
	}
	if _, ends, _ = r.Decide(10 * ms); len(ends) != 0 {
		t.Errorf("a second end: %v", ends)
	}
	once := four("turns", balance.OnceOnly)
	once.sent(0, 1)
	once.Outcome(5*ms, 1, 0, balance.Reset, 5*ms)
	if sends, ends, _ = once.Decide(5 * ms); len(sends) != 0 || len(ends) != 1 || ends[0].Final != balance.Forfeited {
		t.Errorf("once-only, and may have run: %v %v", sends, ends)
	}
	once.sent(10*ms, 2)
	once.Outcome(11*ms, 2, 0, balance.ConnectFailed, ms)
	if sends, _, _ = once.Decide(11 * ms); len(sends) != 1 {
		t.Error("once-only, and never ran: not tried again")
	}
	late := four("turns", balance.Repeatable)
	late.sent(0, 1)
	if _, ends, _ = late.Decide(995 * ms); len(ends) != 1 || ends[0].Final != balance.Declined {
		t.Errorf("at the end of its time: %v", ends)
	}
	none := four("turns", balance.Repeatable)
	for i := range 4 {
		none.List(i, 0, false)
	}
	if to := none.sent(0, 1); to >= 0 {
		t.Errorf("with none up it goes to %d", to)
	}
}
