package proxyserver

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"willowsill/decide/lending"
)

const (
	budgetPoll = time.Second            // between two looks at this edge's share of the budget of retries
	usedWithin = 100 * time.Millisecond // the node says how much is used, or nothing is lent this time
)

// budget tells the node when what this edge may use of the budget of retries has changed with time alone, until ctx ends.
func (s *Server) budget(ctx context.Context) {
	ticker := time.NewTicker(budgetPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.mu.Lock()
			now := s.node.Now()
			s.account.SetShare(s.table.RetrySlack(now))
			s.renewFree(now)
			s.mu.Unlock()
		}
	}
}

// renewFree tells the node how many retries this edge may make beyond its ratio, where that has changed. The caller holds
// mu.
func (s *Server) renewFree(now int64) (changed bool) {
	free := s.account.Limit(now)
	if free == s.free {
		return false
	}
	s.free = free
	s.serving()
	return true
}

// lend returns what this edge wants of others and lends to them, nil for nothing.
//
// Danger: what is used has to be read after the node goes by the limit that it was told last, or a loan would give away
// what is used meanwhile. The node takes both in one queue.
func (s *Server) lend() *lending.Message {
	ctx, cancel := context.WithTimeout(context.Background(), usedWithin)
	defer cancel()
	used, ok := s.node.RetriesUsed(ctx)
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.node.Now()
	note := s.account.NextMessage(now, lending.Usage{Amount: used.Slack, Any: used.Any})
	s.renewFree(now)
	if note.Empty() {
		return nil
	}
	for _, loan := range note.Loans {
		klog.InfoS("retries are lent", "amount", loan.Amount, "for_ms", time.Duration(loan.Duration).Milliseconds())
	}
	return &note
}

// borrow takes in what others lend to this edge and want of it.
func (s *Server) borrow(note lending.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.node.Now()
	s.account.Handle(now, note)
	s.renewFree(now)
	for _, loan := range note.Loans {
		klog.InfoS("retries are borrowed", "amount", loan.Amount, "for_ms", time.Duration(loan.Duration).Milliseconds())
	}
}
