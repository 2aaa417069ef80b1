package baselines

import (
	"testing"

	"willowsill/balance"
)

const ms = int64(1e6)

// fourHolders returns a baseline with four replicas of one shard. For the policy "oracle", replica 3 is unhealthy and replica 2 has the
// shortest wait of the others.
func fourHolders(policy string, retrySafety balance.RetrySafety) *Baseline {
	b := New(Config{Policy: policy, Seed: 1, Shards: 1, MaxExecutions: 3, MinCoverage: 1, RetrySafety: []balance.RetrySafety{retrySafety},
		Oracle: func(replica int) (int64, bool) { return int64(10-replica) * ms, replica != 3 }})
	for i := range 4 {
		b.SetListed(i, 0, true)
	}
	return b
}

// firstSend adds a query of one part and returns the replica that it is sent to, or -1.
func (b *Baseline) firstSend(now int64, number int32) int {
	b.AddQuery(now, number, 0, 1000*ms, []int{0}, []float64{1})
	sends, _, _ := b.Decide(now)
	for _, s := range sends {
		if s.Query == number {
			return s.Replica
		}
	}
	return -1
}

// Each policy chooses replicas as its name says.
func TestPick(t *testing.T) {
	turns := fourHolders("turns", balance.Repeatable)
	for i := range int32(8) {
		if to := turns.firstSend(0, i+1); to != int(i%4) {
			t.Errorf("turns: query %d was sent to replica %d", i, to)
		}
	}
	least := fourHolders("least", balance.Repeatable)
	seen := map[int]int{}
	for i := range int32(8) {
		seen[least.firstSend(0, i+1)]++
	}
	if seen[0] != 2 || seen[1] != 2 || seen[2] != 2 || seen[3] != 2 {
		t.Errorf("least in flight: queries by replica %v", seen)
	}
	if to := fourHolders("oracle", balance.Repeatable).firstSend(0, 1); to != 2 {
		t.Errorf("oracle: sent to replica %d, want 2, as 3 is unhealthy and 2 has the shortest wait", to)
	}
	ewma := fourHolders("ewma", balance.Repeatable)
	for i := range int32(4) { // replica 0 is slow, the others are fast
		to := ewma.firstSend(0, i+1)
		took := 10 * ms
		if to == 0 {
			took = 500 * ms
		}
		ewma.RecordOutcome(took, i+1, 0, balance.Fulfilled, took)
	}
	for i := range int32(20) {
		to := ewma.firstSend(600*ms, 100+i)
		if ewma.RecordOutcome(610*ms, 100+i, 0, balance.Fulfilled, 10*ms); to == 0 {
			t.Errorf("moving average: query %d was sent to the slow replica", i)
		}
	}
	for _, policy := range []string{"random", "two"} {
		r, seen := fourHolders(policy, balance.Repeatable), map[int]bool{}
		for i := range int32(100) {
			seen[r.firstSend(0, i+1)] = true
		}
		if len(seen) != 4 {
			t.Errorf("%s: %v", policy, seen)
		}
	}
}

// A part that fails is retried on another replica if that is safe, and each query is answered once, before its timeout.
func TestEnds(t *testing.T) {
	r := fourHolders("turns", balance.Repeatable)
	first := r.firstSend(0, 1)
	r.RecordOutcome(5*ms, 1, 0, balance.Errored, 5*ms)
	sends, ends, _ := r.Decide(5 * ms)
	if len(sends) != 1 || sends[0].Replica == first || len(ends) != 0 {
		t.Errorf("after an error: sends %v, endings %v", sends, ends)
	}
	r.RecordOutcome(9*ms, 1, 0, balance.Fulfilled, 4*ms)
	if _, ends, _ = r.Decide(9 * ms); len(ends) != 1 || ends[0].Outcome != balance.Whole {
		t.Errorf("after the part was fulfilled: endings %v", ends)
	}
	if _, ends, _ = r.Decide(10 * ms); len(ends) != 0 {
		t.Errorf("the query was answered again: %v", ends)
	}
	onceOnly := fourHolders("turns", balance.OnceOnly)
	onceOnly.firstSend(0, 1)
	onceOnly.RecordOutcome(5*ms, 1, 0, balance.Reset, 5*ms)
	if sends, ends, _ = onceOnly.Decide(5 * ms); len(sends) != 0 || len(ends) != 1 || ends[0].Outcome != balance.Forfeited {
		t.Errorf("a once-only part that may have run: sends %v, endings %v", sends, ends)
	}
	onceOnly.firstSend(10*ms, 2)
	onceOnly.RecordOutcome(11*ms, 2, 0, balance.ConnectFailed, ms)
	if sends, _, _ = onceOnly.Decide(11 * ms); len(sends) != 1 {
		t.Error("a once-only part that never ran was not retried")
	}
	overdue := fourHolders("turns", balance.Repeatable)
	overdue.firstSend(0, 1)
	if _, ends, _ = overdue.Decide(995 * ms); len(ends) != 1 || ends[0].Outcome != balance.Declined {
		t.Errorf("just before its timeout: endings %v", ends)
	}
	noneUp := fourHolders("turns", balance.Repeatable)
	for i := range 4 {
		noneUp.SetListed(i, 0, false)
	}
	if to := noneUp.firstSend(0, 1); to >= 0 {
		t.Errorf("with no replica up it was sent to replica %d", to)
	}
}
