package agentserver

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
	"willowsill/decide/controller"
	"willowsill/decide/failuredetector"
	"willowsill/decide/lending"
	"willowsill/deployment/settings"
	"willowsill/transport/peer"
	"willowsill/transport/watch"
)

// downstream is a downstream edge, at the far end of a link that the agent serves.
type downstream struct {
	*testing.T
	*peer.Link
	ip string
}

func newDownstream(t *testing.T, s *Server, ip string) downstream {
	agentEnd, edgeEnd := net.Pipe()
	served := peer.NewLink(agentEnd, nil)
	go s.serveDownstream(served, &s.relayFeed)
	d := downstream{t, peer.NewLink(edgeEnd, nil), ip}
	t.Cleanup(func() {
		d.Close()
		served.Close()
	})
	return d
}

// report sends a report and returns the last lending message that the agent sends back, nil if none comes.
func (d downstream) report(message *lending.Message) (answer *lending.Message) {
	d.Helper()
	d.SendMessage(watch.Report{Self: controller.EdgeReport{Edge: clusterstate.Edge{IP: d.ip}}, Lending: message})
	for {
		var m watch.Message
		if d.Receive(&m, time.Second) != nil {
			return answer
		}
		if m.Lending != nil {
			must.True(d, m.Freshness != nil, must.Sprint("without freshness the edge takes the agent for one of the former version"))
			answer = m.Lending
		}
	}
}

// TestLoansPassThroughAgents: an agent relays a downstream edge's request for retry budget to its other
// downstream edges and to its upstream, and relays a loan back to the edge that requested it, exactly once.
func TestLoansPassThroughAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window = int64(10 * time.Second)
		s := &Server{settings: settings.Settings{IP: "10.0.0.1"}, base: time.Now(), state: clusterstate.NewState(),
			detector: failuredetector.New("10.0.0.1"), downstream: map[string]downstreamReport{}, loans: watch.NewLoans(window)}
		borrower, idle := newDownstream(t, s, "10.0.0.2"), newDownstream(t, s, "10.0.0.3")
		must.Nil(t, borrower.report(nil))
		must.Nil(t, idle.report(nil))
		must.Nil(t, s.report().Lending)
		must.Nil(t, borrower.report(&lending.Message{Requests: []lending.LoanRequest{{Number: 7, Amount: 3}}}))
		must.Eq(t, 3, s.report().Lending.Requests[0].Amount)
		request := idle.report(nil)
		must.Eq(t, 3, request.Requests[0].Amount)
		must.Nil(t, idle.report(&lending.Message{Loans: []lending.Loan{{Answers: request.Requests[0].Number, Amount: 2, Duration: window}}}).Loans)
		answer := borrower.report(&lending.Message{Requests: []lending.LoanRequest{{Number: 8, Amount: 3}}})
		must.Eq(t, 8, answer.Loans[0].Answers)
		must.Eq(t, 2, answer.Loans[0].Amount)
		must.Less(t, window, answer.Loans[0].Duration)
		must.Nil(t, borrower.report(&lending.Message{Requests: []lending.LoanRequest{{Number: 9, Amount: 3}}}))
	})
}
