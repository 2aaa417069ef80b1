package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"willowsill/balance"
	"willowsill/decide/sharedhealth"
	"willowsill/transport/replica"
)

// What is shared reaches the module and the purse through the loop; with nothing shared, nobody is asked.
func TestShare(t *testing.T) {
	on(t, asIs, value, func(w *world) {
		if _, ok := w.Consult(w.Context()); ok || w.overQuota(w.Now(), "acme") {
			w.Error("with nothing shared something was told")
		}
		w.Share(true, []sharedhealth.Quota{{Customer: "acme", Rate: 40}})
		s, ok := w.Consult(w.Context())
		if !ok || len(s.Findings) != 2 || s.Keys[0] != sharedhealth.Key("s-0", 0) || len(s.Demand) != 1 {
			w.Fatalf("%+v, %v", s, ok)
		}
		ask := func(id, customer string) {
			a, _ := w.Serve(w.Context(), Query{ID: id, Customer: customer, Until: w.Now() + 2e9, Text: []byte("t"),
				Parts: []Part{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}}})
			if a.Final != balance.Whole {
				w.Errorf("%s ended %v", id, a.Final)
			}
		}
		now := w.Now()
		w.Allow(sharedhealth.Allowance{Leases: []sharedhealth.Lease{{Tokens: 2, From: now, Until: now + 60e9}}, Locals: []sharedhealth.Local{{}}})
		for _, id := range []string{"a", "b", "c"} {
			ask(id, "acme")
		}
		ask("d", "unknown")
		ask("e", "")
		if over := w.count.Workloads["lookup"].Over.Load(); over != 1 {
			w.Errorf("%d of three queries with two tokens are over the quota", over)
		}
		if s, _ := w.Consult(w.Context()); s.Demand[0] != 3 || s.Left[0] != 0 {
			w.Errorf("%+v", s)
		}
		w.Share(false, nil)
		synctest.Wait()
		if w.shared != nil {
			w.Error("it is still shared")
		}
	})
}

// Words reach the replica they are on, and none that has taken its index meanwhile.
func TestWords(t *testing.T) {
	var asked []string
	on(t, func(p *Plan) { p.Deployment.Shards, p.Deployment.Workloads[0].Need = 2, 1 },
		func(ctx context.Context, p replica.Part) (replica.Reply, bool) {
			asked = append(asked, p.ID)
			return value(ctx, p)
		}, func(w *world) {
			w.Share(true, nil)
			w.Consult(w.Context())
			word := balance.Word{Replica: 0, Until: w.Now() + 60e9, Suspect: true, Pace: 8, Weight: 4}
			w.Allow(sharedhealth.Allowance{Words: []balance.Word{word}})
			synctest.Wait()
			if got := w.agg.Findings(w.Now(), nil); len(got) != 2 {
				w.Fatalf("%+v", got)
			}
			w.discovery.Change(listed(0, "leaving"))
			w.discovery.Change(listed(0, "left"))
			time.Sleep(10 * time.Millisecond)
			if synctest.Wait(); w.shared.surveys == w.shared.list {
				w.Error("words that were weighed for an older list would still count")
			}
		})
}

// Danger: what others say must never keep out what replicas and clients say.
func TestOfferedLast(t *testing.T) {
	n := &Node{Clock: NewClock(), facts: make(chan fact, queueLength), ended: make(chan struct{})}
	for range shareMost {
		n.facts <- fact{}
	}
	if _, ok := n.Consult(t.Context()); ok || n.offer(allowance{}) {
		t.Error("a crowded queue took what is shared")
	}
	if len(n.facts) != shareMost {
		t.Errorf("%d facts wait", len(n.facts))
	}
}
