package proxyserver

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"willowsill/decide/lending"
	"willowsill/decide/routingtable"
	"willowsill/deployment"
	"willowsill/deployment/settings"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/replicahttp"
)

// TestLendsAndBorrowsRetries: an edge lowers its own limit before it sends a loan, and uses what it is lent.
func TestLendsAndBorrowsRetries(t *testing.T) {
	set := settings.Settings{IP: "127.0.0.1", Bounds: settings.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindowS: 10}}
	clock := node.NewClock()
	n := node.New(node.Options{Clock: clock, Deployment: deployment.Deployment{Deployment: routingtable.Deployment(set, 1)},
		Limits: deployment.Limits{MaxHeld: maxHeld}, Count: counters.New(nil), Log: zap.NewNop(), RequestList: func() {},
		NewTransport: func(notify func(any), now func() int64) node.Transport { return replicahttp.NewPool(notify, now) }})
	t.Cleanup(n.Close)
	timing := lending.DefaultTiming(set.Bounds.RetryWindow())
	s := &Server{settings: set, node: n, account: lending.NewAccount(clock.Now()-int64(time.Hour), timing)}
	s.account.SetShare(4)
	must.Nil(t, s.nextLendingMessage())
	must.Eq(t, 4, s.retrySlack)
	s.handleLendingMessage(lending.Message{Requests: []lending.LoanRequest{{Number: 5, Amount: 9}}})
	must.Nil(t, s.nextLendingMessage()) // the limit is lowered, the loan not sent yet
	must.Eq(t, 2, s.retrySlack)
	message := s.nextLendingMessage()
	must.Eq(t, []lending.Loan{{Answers: 5, Amount: 2, Duration: timing.Loan}}, message.Loans)
	must.Eq(t, 2, s.retrySlack)
	must.Nil(t, s.nextLendingMessage())

	want := s.account.NextMessage(clock.Now(), lending.Usage{Amount: 2, Any: true}).Requests[0]
	s.handleLendingMessage(lending.Message{Loans: []lending.Loan{{Answers: want.Number, Amount: 3, Duration: timing.Loan}}})
	must.Eq(t, 5, s.retrySlack)
	must.Nil(t, s.nextLendingMessage())
}
