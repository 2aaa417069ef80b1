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

// Shared quotas reach the token budgets through the loop. While sharing is off, a survey fails and no customer is over
// quota.
func TestShare(t *testing.T) {
	runNode(t, asIs, value, func(w *fixture) {
		if _, ok := w.Survey(w.Context()); ok || w.overQuota(w.Now(), "acme") {
			w.Error("a survey or a quota was in effect while sharing is off")
		}
		w.SetSharing(true, []sharedhealth.Quota{{Customer: "acme", Rate: 40}})
		s, ok := w.Survey(w.Context())
		if !ok || len(s.Findings) != 2 || s.Keys[0] != sharedhealth.ReplicaKey("s-0", 0) || len(s.Demand) != 1 {
			w.Fatalf("%+v, %v", s, ok)
		}
		ask := func(id, customer string) {
			a, _ := w.Serve(w.Context(), Query{ID: id, Customer: customer, Deadline: w.Now() + 2e9, Text: []byte("t"),
				Parts: []Part{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}}})
			if a.Outcome != balance.Whole {
				w.Errorf("%s ended %v", id, a.Outcome)
			}
		}
		now := w.Now()
		w.ApplyShared(sharedhealth.RoundResult{Leases: []sharedhealth.Lease{{Tokens: 2, From: now, Until: now + 60e9}}, LocalRates: []sharedhealth.LocalRate{{}}})
		for _, id := range []string{"a", "b", "c"} {
			ask(id, "acme")
		}
		ask("d", "unknown")
		ask("e", "")
		if over := w.count.Workloads["lookup"].OverQuota.Load(); over != 1 {
			w.Errorf("%d of three queries with two tokens are over quota", over)
		}
		if s, _ := w.Survey(w.Context()); s.Demand[0] != 3 || s.TokensLeft[0] != 0 {
			w.Errorf("%+v", s)
		}
		w.SetSharing(false, nil)
		synctest.Wait()
		if w.shared != nil {
			w.Error("sharing is still on")
		}
	})
}

// Shared reports are applied to the replica that they are about, never to another one that has got its index since.
func TestWords(t *testing.T) {
	var asked []string
	runNode(t, func(p *Options) { p.Deployment.Shards, p.Deployment.Workloads[0].FullCoverage = 2, 1 },
		func(ctx context.Context, p replica.Part) (replica.Reply, bool) {
			asked = append(asked, p.ID)
			return value(ctx, p)
		}, func(w *fixture) {
			w.SetSharing(true, nil)
			w.Survey(w.Context())
			report := balance.SharedReport{Replica: 0, Expires: w.Now() + 60e9, Suspect: true, Slowdown: 8, Weight: 4}
			w.ApplyShared(sharedhealth.RoundResult{Reports: []balance.SharedReport{report}})
			synctest.Wait()
			if got := w.agg.Findings(w.Now(), nil); len(got) != 2 {
				w.Fatalf("%+v", got)
			}
			w.discovery.Change(listed(0, "leaving"))
			w.discovery.Change(listed(0, "left"))
			time.Sleep(10 * time.Millisecond)
			if synctest.Wait(); w.shared.surveyVersion == w.shared.listVersion {
				w.Error("reports that are based on an older list would still be applied")
			}
		})
}

// Danger: events of sharing must never keep out events of replicas and clients.
func TestOfferedLast(t *testing.T) {
	n := &Node{Clock: NewClock(), events: make(chan event, queueLength), done: make(chan struct{})}
	for range sharingQueueLimit {
		n.events <- event{}
	}
	if _, ok := n.Survey(t.Context()); ok || n.tryEnqueue(sharedUpdate{}) {
		t.Error("an event of sharing entered a long queue")
	}
	if len(n.events) != sharingQueueLimit {
		t.Errorf("%d events wait", len(n.events))
	}
}
