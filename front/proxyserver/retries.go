package proxyserver

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"willowsill/decide/lending"
)

const (
	// Interval of checks whether this edge's share of the retry budget has changed.
	retrySlackPoll = time.Second
	// Timeout for the node's answer about its retries. Without an answer nothing is lent this time.
	retriesUsedTimeout = 100 * time.Millisecond
)

// pollRetrySlack updates the node's retry slack as this edge's share of the budget changes over time, until ctx
// ends.
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

// updateRetrySlack sets in the node how many retries this edge may make beyond its ratio, and reports whether that
// has changed. The caller holds mu.
func (s *Server) updateRetrySlack(now int64) (changed bool) {
	slack := s.account.Limit(now)
	if slack == s.retrySlack {
		return false
	}
	s.retrySlack = slack
	s.setWorkloads()
	return true
}

// nextLendingMessage returns the requests and loans to send to other edges, or nil if there are none.
//
// Danger: the retries used must be read after the node has applied the limit set last; otherwise a loan could
// include retries that are used in between. The node handles both in order, in one queue.
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
	message := s.account.NextMessage(now, lending.Usage{Amount: used.Slack, Any: used.Any})
	s.updateRetrySlack(now)
	if message.Empty() {
		return nil
	}
	for _, loan := range message.Loans {
		klog.InfoS("retries are lent", "amount", loan.Amount, "for_ms", time.Duration(loan.Duration).Milliseconds())
	}
	return &message
}

// handleLendingMessage applies the requests and loans of other edges.
func (s *Server) handleLendingMessage(message lending.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.node.Now()
	s.account.Handle(now, message)
	s.updateRetrySlack(now)
	for _, loan := range message.Loans {
		klog.InfoS("retries are borrowed", "amount", loan.Amount, "for_ms", time.Duration(loan.Duration).Milliseconds())
	}
}
