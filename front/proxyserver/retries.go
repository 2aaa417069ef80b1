package proxyserver

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"willowsill/decide/lending"
)

const (
	retrySlackPoll     = time.Second            // between two looks at this edge's share of the budget of retries
	retriesUsedTimeout = 100 * time.Millisecond // the node says how much is used, or nothing is lent this time
)

// pollRetrySlack tells the node when what this edge may use of the budget of retries has changed with time alone, until ctx ends.
func (s *Server) pollRetrySlack(ctx context.Context) {
	ticker := time.NewTicker(retrySlackPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.mu.Lock()
			now := s.node.Now()
			s.account.SetShare(s.table.RetrySlack(now))
			s.updateRetrySlack(now)
			s.mu.Unlock()
		}
	}
}

// updateRetrySlack tells the node how many retries this edge may make beyond its ratio, where that has changed. The caller holds
// mu.
func (s *Server) updateRetrySlack(now int64) (changed bool) {
	free := s.account.Limit(now)
	if free == s.retrySlack {
		return false
	}
	s.retrySlack = free
	s.setWorkloads()
	return true
}

// nextLendingMessage returns what this edge wants of others and lends to them, nil for nothing.
//
// Danger: what is used has to be read after the node goes by the limit that it was told last, or a loan would give away
// what is used meanwhile. The node takes both in one queue.
func (s *Server) nextLendingMessage() *lending.Message {
	ctx, cancel := context.WithTimeout(context.Background(), retriesUsedTimeout)
	defer cancel()
	used, ok := s.node.RetriesUsed(ctx)
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.node.Now()
	note := s.account.NextMessage(now, lending.Usage{Amount: used.Slack, Any: used.Any})
	s.updateRetrySlack(now)
	if note.Empty() {
		return nil
	}
	for _, loan := range note.Loans {
		klog.InfoS("retries are lent", "amount", loan.Amount, "for_ms", time.Duration(loan.Duration).Milliseconds())
	}
	return &note
}

// handleLendingMessage takes in what others lend to this edge and want of it.
func (s *Server) handleLendingMessage(note lending.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.node.Now()
	s.account.Handle(now, note)
	s.updateRetrySlack(now)
	for _, loan := range note.Loans {
		klog.InfoS("retries are borrowed", "amount", loan.Amount, "for_ms", time.Duration(loan.Duration).Milliseconds())
	}
}
