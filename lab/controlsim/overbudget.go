package controlsim

import (
	"fmt"
	"slices"
	"time"
)

// This file has the scenarios that lose more controllers at once than the fault budget allows, but not more disks than it allows.

// splitInHalves divides the controllers into two halves for some seconds; all other machines reach both. Orders, reads and drains go on
// at both sides, some orders with different contents under one revision. With an even number of controllers neither half is a
// majority.
func (d *scenarioBuilder) splitInHalves() {
	p := d.plan
	p.Controllers = []int{5, 6, 9}[d.IntN(3)]
	d.controllerOrder = d.Perm(p.Controllers)
	p.Workload = Workload{OrderEvery: 400 * time.Millisecond, ReadEvery: 400 * time.Millisecond, DrainEvery: 3 * time.Second, Races: 0.3, Resends: 0.2}
	var all []string
	for n := range p.Controllers {
		all = append(all, d.controller(n))
	}
	one, other := all[:p.Controllers/2], all[p.Controllers/2:]
	at, span := d.duration(8*time.Second, 12*time.Second), d.duration(3*time.Second, 15*time.Second)
	for _, name := range one {
		d.addFault(Fault{Kind: Cut, At: at, For: span, Machine: name, Others: slices.Clone(other), Refused: d.IntN(4) == 0})
	}
	for n := range 6 { // one revision with different content at each side
		when, revision := at+time.Duration(n+1)*span/8, uint64(500+10*n)
		d.addOrder(when, revision, fmt.Sprint(revision, "/here"), one[n%len(one)])
		d.addOrder(when+d.duration(0, 30*time.Millisecond), revision, fmt.Sprint(revision, "/there"), other[n%len(other)])
	}
}

// partitionEnd returns the time at which the last cut of a plan ends.
func (p Plan) partitionEnd() (at time.Duration) {
	for _, f := range p.Faults {
		if f.Kind == Cut {
			at = max(at, f.At+f.For)
		}
	}
	return at
}

// powerLossRevision is the revision that is acknowledged just before all machines lose power.
const powerLossRevision = 5000

// powerLossTime is the time that the machines stay without power.
const powerLossTime = 600 * time.Millisecond

// totalPowerLoss takes the power from all machines, also the edges, right after an order was acknowledged. As many controllers as the
// fault budget allows also lose their disks, so only the remaining disks still hold the order.
func (d *scenarioBuilder) totalPowerLoss() {
	p := d.plan
	budget := 1
	if d.IntN(2) == 0 {
		p.Controllers, budget = 9, 2
		d.controllerOrder = d.Perm(p.Controllers)
	}
	p.Workload.OrderEvery, p.Length = 0, 50*time.Second
	for n := range 6 {
		revision := uint64(10 * (n + 1))
		d.addOrder(time.Duration(n+3)*time.Second, revision, fmt.Sprint(revision, "/before"), "")
	}
	d.addOrder(12*time.Second, powerLossRevision, fmt.Sprint(powerLossRevision, "/last"), d.controller(0))
	// Slow disks: if the order were acknowledged before the sync, no disk would hold it.
	d.addFault(Fault{Kind: DiskSlow, At: 11 * time.Second, For: 4 * time.Second, Machine: AllControllers, Amount: d.duration(20*time.Millisecond, 120*time.Millisecond)})
	soon := d.duration(0, 4*time.Millisecond)
	d.addFault(Fault{Kind: Power, At: soon, For: powerLossTime, Machine: AllControllers, After: powerLossRevision, Edges: true})
	first := d.IntN(p.Controllers)
	for n := range budget {
		d.addFault(Fault{Kind: Wipe, At: soon, For: powerLossTime, Machine: d.controller(first + n), After: powerLossRevision})
	}
}

// overlappingLosses loses most controllers at the same time, twice. First two controllers miss an order, and when they
// return the other three, which hold it, are lost, one of them with its disk. Later four controllers are lost at random times, each
// while an earlier one is still lost.
func (d *scenarioBuilder) overlappingLosses() {
	p := d.plan
	p.Workload.OrderEvery, p.Workload.ReadEvery = 0, 200*time.Millisecond
	at := d.duration(8*time.Second, 10*time.Second)
	missing, emptied, holders := []string{d.controller(0), d.controller(1)}, d.controller(2), []string{d.controller(3), d.controller(4)}
	missingFor := d.duration(3*time.Second, 5*time.Second)
	for _, name := range missing {
		d.addFault(Fault{Kind: []FaultKind{Power, Kill, Freeze}[d.IntN(3)], At: at, For: missingFor, Machine: name})
	}
	d.addOrder(at+time.Second, overlapRevision, fmt.Sprint(overlapRevision, "/held"), holders[0])
	lostAt := at + missingFor
	for _, name := range holders {
		d.addFault(Fault{Kind: []FaultKind{Power, Kill, Freeze}[d.IntN(3)], At: lostAt - d.duration(0, 300*time.Millisecond), For: d.duration(5*time.Second, 8*time.Second), Machine: name})
	}
	d.addFault(Fault{Kind: Wipe, At: lostAt, For: d.duration(200*time.Millisecond, time.Second), Machine: emptied})
	d.addFault(Fault{Kind: EdgeRestart, At: lostAt + 2*time.Second, For: 500 * time.Millisecond, Machine: edgeName(1)})
	at = 36 * time.Second
	for n := range 4 {
		d.addFault(Fault{Kind: []FaultKind{Power, Kill, Freeze}[d.IntN(3)], At: at, For: d.duration(3*time.Second, 8*time.Second), Machine: d.controller(n)})
		d.addOrder(at+500*time.Millisecond, uint64(overlapRevision+10*(n+1)), fmt.Sprint(overlapRevision+10*(n+1), "/later"), "")
		at += d.duration(0, 1500*time.Millisecond)
	}
}

// overlapRevision is the revision that exactly a majority holds when all of that majority are lost.
const overlapRevision = 700

// departuresWithoutDrain has replicas depart without a drain. Some of their earlier heartbeats arrive seconds later, also at a
// controller that was isolated or frozen meanwhile.
func (d *scenarioBuilder) departuresWithoutDrain() {
	p := d.plan
	p.Replicas, p.Workload.DrainEvery = 10, 0
	at := d.duration(8*time.Second, 10*time.Second)
	d.addFault(Fault{Kind: []FaultKind{CutOut, CutIn, Cut, Freeze}[d.IntN(4)], At: at, For: 6 * time.Second, Machine: d.controller(0)})
	for n := range 6 {
		when := at + time.Duration(n)*2*time.Second + d.duration(0, time.Second)
		act := Action{At: when, Do: ActionDepart, Replica: fmt.Sprint("r", n+1)}
		if n%2 == 0 {
			act.Controller = d.controller(n)
		}
		p.Actions = append(p.Actions, act)
	}
}

// missedDepartures has replicas depart while the connections of one controller are reset and refused, so that it misses the messages
// about the departures. When it is reachable again, edges restart and connect to it first.
func (d *scenarioBuilder) missedDepartures() {
	const cutFor = 6 * time.Second
	p := d.plan
	p.Replicas, p.Workload.DrainEvery = 10, 0
	cut, at := d.controller(0), d.duration(8*time.Second, 10*time.Second)
	d.addFault(Fault{Kind: Cut, At: at, For: cutFor, Machine: cut, Refused: true})
	for n := range 6 {
		p.Actions = append(p.Actions, Action{At: at + time.Duration(n)*900*time.Millisecond + d.duration(0, time.Second), Do: ActionDepart, Replica: fmt.Sprint("r", n+1),
			Controller: d.controller(n%4 + 1)})
	}
	for n := range p.Edges {
		d.addFault(Fault{Kind: EdgeStartsAlongside, At: at + cutFor + d.duration(0, 1500*time.Millisecond), For: 300 * time.Millisecond, Machine: edgeName(n + 1), Others: []string{cut}})
	}
}

// interruptedFirstStart ends controllers within the first moments of the system, before or after they have saved anything. They come
// back with other seeds. Later one loses its disk while the controllers are cut in two, and another one is replaced.
func (d *scenarioBuilder) interruptedFirstStart() {
	const savedBy = 60 * time.Millisecond // a controller has saved its first state by then
	p := d.plan
	ended := 2 + d.IntN(p.Controllers-1)
	for n := range ended {
		d.addFault(Fault{Kind: Kill, At: d.duration(0, maxStartSpread+savedBy), For: d.duration(50*time.Millisecond, 2*time.Second), Machine: d.controller(n)})
	}
	later := d.duration(14*time.Second, 18*time.Second)
	d.addFault(Fault{Kind: Wipe, At: later, For: d.duration(100*time.Millisecond, 2*time.Second), Machine: d.controller(0)})
	d.addFault(Fault{Kind: Cut, At: later, For: 5 * time.Second, Machine: d.controller(1), Others: []string{d.controller(2), d.controller(3)}})
	d.addFault(Fault{Kind: ReplaceUnplanned, At: later + 20*time.Second, For: 2 * time.Second, Machine: d.controller(4), Successor: controllerName(p.Controllers + 1)})
}
