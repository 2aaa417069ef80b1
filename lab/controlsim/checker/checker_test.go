package checker

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const sec = int64(time.Second)

var bounds = Bounds{Contact: 5 * sec, Apply: 3 * sec, Stretch: 15 * sec, Drain: 4 * sec, OrderAck: 6 * sec}

// faultlessRun returns the history of a run without faults: two orders, a read, an edge that serves both revisions, and a drain.
func faultlessRun() History {
	h := History{Bounds: bounds, End: 60 * sec}
	for _, name := range []string{"c1", "c2", "c3"} {
		h.Machines = append(h.Machines, Machine{Name: name, IsController: true, Until: Never})
	}
	h.Machines = append(h.Machines, Machine{Name: "e1", Until: Never})
	h.ProcessStarts = []ProcessEvent{{Edge: "e1", Incarnation: 1}}
	h.Orders = []Order{
		{Number: 0, Revision: 5, Content: "5/one", Sent: 10 * sec, Ended: 11 * sec, Outcome: Acknowledged, Attempts: []Attempt{{"c1", 10 * sec, 11 * sec, 200}}},
		{Number: 1, Revision: 9, Content: "9/one", Sent: 20 * sec, Ended: 21 * sec, Outcome: Acknowledged, Attempts: []Attempt{{"c2", 20 * sec, 21 * sec, 200}}},
	}
	h.Reads = []Read{{Sent: 22 * sec, Answered: 23 * sec, Revision: 9, Content: "9/one"}}
	h.EdgeConfigurations = []EdgeConfiguration{{12 * sec, "e1", 1, 5, "5/one"}, {22 * sec, "e1", 1, 9, "9/one"}}
	h.Readiness = []ReadinessChange{{12 * sec, "e1", 1, true, 5, "c1"}}
	h.ReplicaUses = []ReplicaUse{{sec, "e1", 1, "r1", true}, {31 * sec, "e1", 1, "r1", false}}
	h.Drains = []Drain{{Replica: "r1", Sent: 30 * sec, Acknowledged: 30 * sec, Departed: 50 * sec}}
	return h
}

func checksOf(h History) (names []string) {
	for _, v := range Check(h) {
		names = append(names, v.Check)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// TestQuiet checks that a run without faults breaks no check.
func TestQuiet(t *testing.T) { must.SliceEmpty(t, checksOf(faultlessRun())) }

// TestEachCheck checks for each check that a history which violates it is found, and that no other check fails unless it has to.
func TestEachCheck(t *testing.T) {
	down := func(name string, from, until int64) FaultSpan {
		return FaultSpan{Machine: name, From: from, Until: until}
	}
	cases := []struct {
		name   string
		change func(h *History)
		want   []string
	}{
		{"a read is older than what was acknowledged", func(h *History) { h.Reads[0].Revision, h.Reads[0].Content = 5, "5/one" }, []string{LostRevision, NotLinearizable}},
		{"two contents are acknowledged", func(h *History) {
			h.Orders = append(h.Orders, Order{Number: 2, Revision: 9, Content: "9/other", Sent: 20 * sec, Ended: 21 * sec, Outcome: Acknowledged})
		}, []string{ConflictingContents, NotLinearizable}},
		{"another content is in force", func(h *History) { h.EdgeConfigurations[1].Content = "9/other" }, []string{ConflictingContents}},
		{"reads go back", func(h *History) {
			h.Orders[1].Outcome, h.Orders[1].Ended = Unclear, 0
			h.Orders[1].Sent = 54 * sec // too late in the run for an answer to be due
			h.EdgeConfigurations = h.EdgeConfigurations[:1]
			h.Reads = []Read{{Sent: 55 * sec, Answered: 56 * sec, Revision: 9, Content: "9/one"}, {Sent: 57 * sec, Answered: 58 * sec, Revision: 5, Content: "5/one"}}
		}, []string{NotLinearizable}},
		{"what was refused is in force", func(h *History) { h.Orders[1].Outcome = Refused }, []string{RefusedInForce, NotLinearizable}},
		{"what was acknowledged is refused", func(h *History) {
			h.Orders = append(h.Orders, Order{Number: 2, Revision: 5, Content: "5/one", Sent: 30 * sec, Ended: 31 * sec, Outcome: Refused})
		}, []string{ResendRefused}},
		{"an edge goes back", func(h *History) {
			h.EdgeConfigurations = append(h.EdgeConfigurations, EdgeConfiguration{40 * sec, "e1", 1, 5, "5/one"})
		}, []string{EdgeWentBack}},
		{"an edge is behind", func(h *History) { h.EdgeConfigurations[1].At = 25 * sec }, []string{EdgeBehind}},
		{"an edge is behind while a controller has been down for long", func(h *History) {
			h.EdgeConfigurations[1].At = 25 * sec
			h.FaultSpans = []FaultSpan{down("c3", 10*sec, 50*sec)}
		}, []string{EdgeBehind}},
		{"an edge is behind just after a controller went down", func(h *History) {
			h.EdgeConfigurations[1].At = 25 * sec
			h.FaultSpans = []FaultSpan{down("c3", 20*sec, 50*sec)}
		}, nil},
		{"an edge is behind for long while controllers come and go", func(h *History) {
			h.EdgeConfigurations = h.EdgeConfigurations[:1]
			for at := 11 * sec; at < 60*sec; at += 4 * sec {
				h.FaultSpans = append(h.FaultSpans, down("c3", at, at+sec))
			}
		}, []string{EdgeBehindMajority}},
		{"a controller that is cut off answers", func(h *History) {
			h.Cuts = []Cut{{"c2", []string{"c1", "c3"}, 19 * sec, 25 * sec}}
			h.FaultSpans = []FaultSpan{{Machine: "c2", From: 19 * sec, Until: 25 * sec, Link: true}}
		}, []string{IsolatedAnswer}},
		{"a controller that is cut off from one other answers", func(h *History) {
			h.Cuts = []Cut{{"c2", []string{"c1"}, 19 * sec, 25 * sec}}
			h.FaultSpans = []FaultSpan{{Machine: "c2", From: 19 * sec, Until: 25 * sec, Link: true}}
		}, nil},
		{"an edge begins with an old configuration", func(h *History) {
			h.ProcessStarts = append(h.ProcessStarts, ProcessEvent{Edge: "e1", Incarnation: 2, At: 30 * sec})
			h.ProcessEnds = []ProcessEvent{{Edge: "e1", Incarnation: 1, At: 29 * sec}}
			h.EdgeConfigurations = append(h.EdgeConfigurations, EdgeConfiguration{31 * sec, "e1", 2, 5, "5/one"}, EdgeConfiguration{32 * sec, "e1", 2, 9, "9/one"})
			h.Readiness = append(h.Readiness, ReadinessChange{31 * sec, "e1", 2, true, 5, "c3"})
		}, []string{StaleReady}},
		{"a drain is unknown", func(h *History) { h.ReplicaUses = h.ReplicaUses[:1] }, []string{DrainIgnored}},
		{"a departed replica is back", func(h *History) { h.ReplicaUses = append(h.ReplicaUses, ReplicaUse{52 * sec, "e1", 1, "r1", true}) }, []string{DepartedUsed}},
		{"an order has no answer", func(h *History) {
			h.Orders = append(h.Orders, Order{Number: 2, Revision: 12, Content: "12/one", Sent: 40 * sec})
		}, []string{OrderUnanswered}},
		{"an order has no answer while links are in trouble", func(h *History) {
			h.Orders = append(h.Orders, Order{Number: 2, Revision: 12, Content: "12/one", Sent: 40 * sec})
			h.FaultSpans = []FaultSpan{{Machine: operator, From: 39 * sec, Until: 60 * sec, Link: true}}
		}, nil},
		{"a read has no answer", func(h *History) { h.Reads = append(h.Reads, Read{Sent: 40 * sec}) }, []string{ReadUnanswered}},
		{"a controller turns all away", func(h *History) {
			for i := range int64(5) {
				at := (30 + 3*i) * sec
				h.Reads = append(h.Reads, Read{Sent: at, Answered: at + 2*sec, Revision: 9, Content: "9/one",
					Attempts: []Attempt{{"c3", at, at + sec, 503}, {"c1", at + sec, at + 2*sec, 200}}})
			}
		}, []string{IdleController}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := faultlessRun()
			c.change(&h)
			want := slices.Clone(c.want)
			slices.Sort(want)
			must.Eq(t, want, checksOf(h))
		})
	}
	covered := map[string]bool{}
	for _, c := range cases {
		for _, check := range c.want {
			covered[check] = true
		}
	}
	for _, check := range Checks {
		must.True(t, covered[check], must.Sprint(check))
	}
}
