package node

import (
	"context"

	"willowsill/decide/sharedhealth"
)

// What an aggregator shares with others goes through the same bounded queue as all facts. It is asked for and handed
// over by store.Client, and is the first to be dropped.

const shareMost = queueLength / 8 // facts that wait: beyond that nothing is shared

// shared is what the loop keeps for what is shared.
type shared struct {
	purse   *sharedhealth.Purse
	quotas  map[string]int // by customer
	list    int            // rises with every news of the list
	surveys int            // the list's number at the last survey
}

type (
	survey    struct{ reply chan sharedhealth.Survey } // has room for one
	allowance struct{ sharedhealth.Allowance }
	sharing   struct{ shared *shared }
)

// listMoved has words on replicas that were known before passed over: an index may stand for another now.
func (s *shared) listMoved() {
	if s != nil {
		s.list++
	}
}

// Share begins to share, with these quotas, or ends it.
func (n *Node) Share(on bool, quotas []sharedhealth.Quota) {
	var s *shared
	if on {
		s = &shared{purse: sharedhealth.NewPurse(n.Now(), quotas, n.Aggregators), quotas: map[string]int{}}
		for i, q := range quotas {
			s.quotas[q.Customer] = i
		}
	}
	select {
	case n.facts <- fact{n.Now(), sharing{s}}:
	case <-n.ended:
	}
}

func (n *Node) share(v sharing) { n.shared = v.shared }

// offer puts a fact in the queue where there is plenty of room. Danger: what others say must never keep out what
// replicas and clients say.
func (n *Node) offer(what any) bool {
	if len(n.facts) >= shareMost {
		return false
	}
	select {
	case n.facts <- fact{n.Now(), what}:
		return true
	default:
		return false
	}
}

// ask puts a question to the loop and waits for the answer; false where the loop has no time for it, or closes the reply
// without one.
func ask[T any](ctx context.Context, n *Node, question any, reply <-chan T) (answer T, ok bool) {
	if !n.offer(question) {
		return answer, false
	}
	select {
	case answer, ok = <-reply:
		return answer, ok
	case <-n.ended:
	case <-ctx.Done():
	}
	return answer, false
}

// Consult asks what the aggregator knows now; false where it has no time for that, or shares nothing.
func (n *Node) Consult(ctx context.Context) (sharedhealth.Survey, bool) {
	reply := make(chan sharedhealth.Survey, 1)
	return ask(ctx, n, survey{reply}, reply)
}

// Allow hands over what was decided on what is shared; it is dropped where the node is crowded.
func (n *Node) Allow(a sharedhealth.Allowance) { n.offer(allowance{a}) }

// survey answers Consult.
func (n *Node) survey(now int64, v survey) {
	defer close(v.reply)
	if n.shared == nil {
		return
	}
	s := sharedhealth.Survey{Findings: n.agg.Findings(now, nil)}
	s.Keys = make([]uint64, len(s.Findings))
	for i, f := range s.Findings {
		h := n.hosts[f.Replica]
		s.Keys[i] = sharedhealth.Key(h.name, h.born)
	}
	n.shared.purse.Survey(now, &s)
	n.shared.surveys = n.shared.list
	v.reply <- s
}

// allow carries out what was decided on what is shared.
func (n *Node) allow(now int64, v allowance) {
	if n.shared == nil {
		return
	}
	n.shared.purse.Receive(now, v.Leases, v.Locals)
	if n.shared.surveys != n.shared.list {
		return
	}
	for _, w := range v.Words {
		if n.zoneHealth != nil {
			w = n.zoneHealth.Heed(w)
		}
		n.agg.Hear(now, w)
	}
}

// overQuota tells whether a customer is over its quota, as far as is known here.
func (n *Node) overQuota(now int64, customer string) bool {
	if n.shared == nil {
		return false
	}
	quota, has := n.shared.quotas[customer]
	return has && !n.shared.purse.Spend(now, quota)
}
