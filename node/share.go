package node

import (
	"context"

	"willowsill/decide/sharedhealth"
)

// What an aggregator shares with others goes through the same bounded queue as all facts. It is asked for and handed
// over by store.Client, and is the first to be dropped.

const sharingQueueLimit = queueLength / 8 // facts that wait: beyond that nothing is shared

// shared is what the loop keeps for what is shared.
type shared struct {
	tokens        *sharedhealth.QuotaBudget
	quotas        map[string]int // by customer
	listVersion   int            // rises with every news of the list
	surveyVersion int            // the list's number at the last survey
}

type (
	surveyRequest struct{ reply chan sharedhealth.Survey } // has room for one
	sharedUpdate  struct{ sharedhealth.RoundResult }
	sharingChange struct{ shared *shared }
)

// listChanged has words on replicas that were known before passed over: an index may stand for another now.
func (s *shared) listChanged() {
	if s != nil {
		s.listVersion++
	}
}

// SetSharing begins to share, with these quotas, or ends it.
func (n *Node) SetSharing(on bool, quotas []sharedhealth.Quota) {
	var s *shared
	if on {
		s = &shared{tokens: sharedhealth.NewQuotaBudget(n.Now(), quotas, n.Aggregators), quotas: map[string]int{}}
		for i, q := range quotas {
			s.quotas[q.Customer] = i
		}
	}
	select {
	case n.events <- event{n.Now(), sharingChange{s}}:
	case <-n.done:
	}
}

func (n *Node) setSharing(v sharingChange) { n.shared = v.shared }

// tryEnqueue puts a fact in the queue where there is plenty of room. Danger: what others say must never keep out what
// replicas and clients say.
func (n *Node) tryEnqueue(what any) bool {
	if len(n.events) >= sharingQueueLimit {
		return false
	}
	select {
	case n.events <- event{n.Now(), what}:
		return true
	default:
		return false
	}
}

// request puts a question to the loop and waits for the answer; false where the loop has no time for it, or closes the reply
// without one.
func request[T any](ctx context.Context, n *Node, question any, reply <-chan T) (answer T, ok bool) {
	if !n.tryEnqueue(question) {
		return answer, false
	}
	select {
	case answer, ok = <-reply:
		return answer, ok
	case <-n.done:
	case <-ctx.Done():
	}
	return answer, false
}

// Survey asks what the aggregator knows now; false where it has no time for that, or shares nothing.
func (n *Node) Survey(ctx context.Context) (sharedhealth.Survey, bool) {
	reply := make(chan sharedhealth.Survey, 1)
	return request(ctx, n, surveyRequest{reply}, reply)
}

// ApplyShared hands over what was decided on what is shared; it is dropped where the node is crowded.
func (n *Node) ApplyShared(a sharedhealth.RoundResult) { n.tryEnqueue(sharedUpdate{a}) }

// answerSurvey answers Consult.
func (n *Node) answerSurvey(now int64, v surveyRequest) {
	defer close(v.reply)
	if n.shared == nil {
		return
	}
	s := sharedhealth.Survey{Findings: n.agg.Findings(now, nil)}
	s.Keys = make([]uint64, len(s.Findings))
	for i, f := range s.Findings {
		h := n.hosts[f.Replica]
		s.Keys[i] = sharedhealth.ReplicaKey(h.name, h.startedMs)
	}
	n.shared.tokens.AppendSurvey(now, &s)
	n.shared.surveyVersion = n.shared.listVersion
	v.reply <- s
}

// applyShared carries out what was decided on what is shared.
func (n *Node) applyShared(now int64, v sharedUpdate) {
	if n.shared == nil {
		return
	}
	n.shared.tokens.Apply(now, v.Leases, v.LocalRates)
	if n.shared.surveyVersion != n.shared.listVersion {
		return
	}
	for _, w := range v.Reports {
		if n.zoneHealth != nil {
			w = n.zoneHealth.MergeZoneState(w)
		}
		n.agg.ApplyReport(now, w)
	}
}

// overQuota tells whether a customer is over its quota, as far as is known here.
func (n *Node) overQuota(now int64, customer string) bool {
	if n.shared == nil {
		return false
	}
	quota, has := n.shared.quotas[customer]
	return has && !n.shared.tokens.Spend(now, quota)
}
