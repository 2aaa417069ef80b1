package node

import (
	"context"

	"willowsill/decide/sharedhealth"
)

// sharingQueueLimit is the queue length from which events of sharing are dropped. store.Client exchanges findings and
// quotas with other aggregators through the same bounded queue as all events, and these are the first to be dropped.
const sharingQueueLimit = queueLength / 8

// shared is the state that the loop keeps for sharing with other aggregators.
type shared struct {
	tokens        *sharedhealth.QuotaBudget
	quotas        map[string]int // index of the quota, by customer
	listVersion   int            // rises with every update of the list
	surveyVersion int            // listVersion at the last survey
}

type (
	surveyRequest struct{ reply chan sharedhealth.Survey } // reply is buffered for one
	sharedUpdate  struct{ sharedhealth.RoundResult }
	sharingChange struct{ shared *shared }
)

// listChanged invalidates reports that are based on earlier surveys: an index may stand for another replica now.
func (s *shared) listChanged() {
	if s != nil {
		s.listVersion++
	}
}

// SetSharing starts sharing, with the given quotas, or ends it.
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

// tryEnqueue queues an event if the queue is short. Danger: events of sharing must never keep out events of
// replicas and clients.
func (n *Node) tryEnqueue(payload any) bool {
	if len(n.events) >= sharingQueueLimit {
		return false
	}
	select {
	case n.events <- event{n.Now(), payload}:
		return true
	default:
		return false
	}
}

// request queues a request to the loop and waits for the reply; false if the loop is too busy or closes the reply
// channel without a reply.
func request[T any](ctx context.Context, n *Node, payload any, reply <-chan T) (value T, ok bool) {
	if !n.tryEnqueue(payload) {
		return value, false
	}
	select {
	case value, ok = <-reply:
		return value, ok
	case <-n.done:
	case <-ctx.Done():
	}
	return value, false
}

// Survey returns what the aggregator currently knows; false if the loop is too busy or sharing is off.
func (n *Node) Survey(ctx context.Context) (sharedhealth.Survey, bool) {
	reply := make(chan sharedhealth.Survey, 1)
	return request(ctx, n, surveyRequest{reply}, reply)
}

// ApplyShared queues the result of a sharing round; it is dropped if the loop is too busy.
func (n *Node) ApplyShared(a sharedhealth.RoundResult) { n.tryEnqueue(sharedUpdate{a}) }

// answerSurvey replies to Survey.
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

// applyShared applies the quotas of a sharing round, and its reports unless the list has changed since the survey.
func (n *Node) applyShared(now int64, v sharedUpdate) {
	if n.shared == nil {
		return
	}
	n.shared.tokens.Apply(now, v.Leases, v.LocalRates)
	if n.shared.surveyVersion != n.shared.listVersion {
		return
	}
	for _, report := range v.Reports {
		if n.zoneHealth != nil {
			report = n.zoneHealth.MergeZoneState(report)
		}
		n.agg.ApplyReport(now, report)
	}
}

// overQuota spends a token of the customer's quota at this node and tells whether none was left. A customer without a
// quota is never over it.
func (n *Node) overQuota(now int64, customer string) bool {
	if n.shared == nil {
		return false
	}
	quota, has := n.shared.quotas[customer]
	return has && !n.shared.tokens.Spend(now, quota)
}
