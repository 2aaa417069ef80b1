package controlsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"willowsill/decide/clusterstate"
	"willowsill/decide/relaytree"
)

// Scenario names what a plan is made for: one of the worst days, numbered as operators have them, or faults drawn at random.
type Scenario string

// The points. Point 5, callers and their connections, is no part of this simulation.
const (
	RandomFaults       Scenario = "drawn"
	IsolatedController Scenario = "1"       // a controller is cut off for some twenty seconds
	ConflictingOrders  Scenario = "2"       // two contents under one number, and orders sent again
	ConsecutiveLosses  Scenario = "3"       // a second loss right after a repair or a replacement
	ThreeControllers   Scenario = "3-three" // the same where there are three controllers only
	MissedChanges      Scenario = "4"       // hundreds of changes, and a controller that missed them

	SplitInHalves         Scenario = "halves"     // the controllers are cut into two halves
	TotalPowerLoss        Scenario = "dark"       // all machines lose power right after an acknowledgement, some their disks
	OverlappingLosses     Scenario = "overlap"    // most controllers are lost at once, one with its disk
	DepartureWithoutDrain Scenario = "departures" // replicas depart without draining, and their beats come late

	MissedDeparture Scenario = "missed" // replicas depart while a controller is cut off, and edges begin beside it afterwards
)

// maxStartSpread is by how much starts at once are apart at the most.
const maxStartSpread = time.Duration(startSpread)

// Scenarios are all of them.
var Scenarios = []Scenario{RandomFaults, IsolatedController, ConflictingOrders, ConsecutiveLosses, ThreeControllers, MissedChanges, SplitInHalves, TotalPowerLoss, OverlappingLosses,
	DepartureWithoutDrain, MissedDeparture}

// PlanFor is the plan of a seed: every second one is drawn where that is among the points, and the others take the scripted days
// by turns.
func PlanFor(seed uint64, points []Scenario) Plan {
	var days []Scenario
	drawn := false
	for _, p := range points {
		if p == RandomFaults {
			drawn = true
		} else {
			days = append(days, p)
		}
	}
	if len(days) == 0 || drawn && seed%2 == 1 {
		return RandomPlan(seed)
	}
	turn := seed
	if drawn {
		turn = seed / 2
	}
	return ScenarioPlan(days[turn%uint64(len(days))], seed)
}

// ScenarioPlan is a scripted day of a point. The seed draws who is hit, and by how much the moments differ.
func ScenarioPlan(point Scenario, seed uint64) Plan {
	draw := rand.New(rand.NewPCG(seed, 11))
	p := Plan{Name: fmt.Sprintf("point %s, seed %d", point, seed), Seed: seed, Controllers: 5, Edges: 6, Replicas: 5, Length: 70 * time.Second,
		Bounds: DefaultBounds, Workload: Workload{OrderEvery: 500 * time.Millisecond, ReadEvery: time.Second, DrainEvery: 5 * time.Second, Resends: 0.1}}
	d := &scenarioBuilder{draw, &p, draw.Perm(p.Controllers)}
	switch point {
	case IsolatedController:
		d.isolatedController()
	case ConflictingOrders:
		d.conflictingOrders()
	case ConsecutiveLosses:
		d.consecutiveLosses()
	case ThreeControllers:
		d.threeControllers()
	case MissedChanges:
		d.missedChanges()
	case SplitInHalves:
		d.splitInHalves()
	case TotalPowerLoss:
		d.totalPowerLoss()
	case OverlappingLosses:
		d.overlappingLosses()
	case DepartureWithoutDrain:
		d.departuresWithoutDrain()
	case MissedDeparture:
		d.missedDepartures()
	default:
		return RandomPlan(seed)
	}
	return p
}

// scenarioBuilder builds one scripted day.
type scenarioBuilder struct {
	*rand.Rand
	plan            *Plan
	controllerOrder []int
}

// controller is the n-th in an order that the seed has drawn.
func (d *scenarioBuilder) controller(n int) string {
	return controllerName(d.controllerOrder[n%len(d.controllerOrder)] + 1)
}

func (d *scenarioBuilder) duration(low, high time.Duration) time.Duration {
	return time.Duration(randomBetween(d.Rand, int64(low), int64(high)))
}

// edgePreferring is the edge that follows a controller sooner than others do.
func (d *scenarioBuilder) edgePreferring(controller string) (name string) {
	var controllers []string
	for i := range d.plan.Controllers {
		controllers = append(controllers, controllerName(i+1))
	}
	best := len(controllers)
	for i := range d.plan.Edges {
		edge := edgeName(i + 1)
		order := relaytree.Feeders(edge, "", clusterstate.Fleet{}, controllers, nil)
		if rank := slices.IndexFunc(order, func(f relaytree.Feeder) bool { return f.IP == controller }); rank < best {
			best, name = rank, edge
		}
	}
	return name
}

func (d *scenarioBuilder) addFault(f Fault) { d.plan.Faults = append(d.plan.Faults, f) }

// isolatedController: one controller is cut off for 20 s while orders and drains go on, and are brought to it as well. An edge begins
// beside it. On some days the process starts again while it is cut off.
func (d *scenarioBuilder) isolatedController() {
	cut := d.controller(0)
	at := d.duration(8*time.Second, 12*time.Second)
	kind := []FaultKind{CutOut, CutOut, CutIn, Cut}[d.IntN(4)]
	d.addFault(Fault{Kind: kind, At: at, For: 20 * time.Second, Machine: cut})
	if d.IntN(3) == 0 {
		d.addFault(Fault{Kind: Kill, At: at + d.duration(time.Second, 6*time.Second), For: d.duration(500*time.Millisecond, 2*time.Second), Machine: cut})
	}
	d.addFault(Fault{Kind: EdgeStartsAlongside, At: at + d.duration(5*time.Second, 9*time.Second), For: time.Second, Machine: d.edgePreferring(cut), Others: []string{cut}})
	for i := range 8 {
		when := at + time.Duration(i)*2*time.Second + d.duration(0, 2*time.Second)
		d.plan.Actions = append(d.plan.Actions, Action{At: when, Do: ActionOrder, Controller: cut, Revision: uint64(1000 + 10*i), Content: fmt.Sprint(1000+10*i, "/cut")})
	}
	d.plan.Workload.OrderEvery = 0
	for i := range 90 {
		d.plan.Actions = append(d.plan.Actions, Action{At: 2*time.Second + time.Duration(i)*400*time.Millisecond, Do: ActionOrder, Revision: uint64(10 + 10*i),
			Content: fmt.Sprint(10+10*i, "/far")})
	}
	for i := range 3 {
		d.plan.Actions = append(d.plan.Actions, Action{At: at + time.Duration(i)*4*time.Second + time.Second, Do: ActionDrain, Controller: cut, Replica: fmt.Sprint("r", i+1)})
	}
}

// conflictingOrders: two contents go out under one number to two controllers, at all distances, answers are lost, and what was sent goes
// out again, right away and after newer ones.
func (d *scenarioBuilder) conflictingOrders() {
	d.plan.Workload = Workload{ReadEvery: 500 * time.Millisecond, Bytes: 64}
	if d.IntN(2) == 0 {
		d.addFault(Fault{Kind: LoseAnswers, At: 10 * time.Second, For: 12 * time.Second, Machine: "operator"})
	}
	if d.IntN(2) == 0 {
		d.addFault(Fault{Kind: SlowLink, At: 15 * time.Second, For: 8 * time.Second, Machine: d.controller(0), Amount: d.duration(50*time.Millisecond, 500*time.Millisecond)})
	}
	for i := range 24 {
		at := 3*time.Second + time.Duration(i)*1500*time.Millisecond
		rev := uint64(10 + 3*i)
		apart := []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond}[d.IntN(5)]
		one, other := fmt.Sprint(rev, "/one"), fmt.Sprint(rev, "/other")
		d.addOrder(at, rev, one, d.controller(i))
		d.addOrder(at+d.duration(0, apart+time.Millisecond), rev, other, d.controller(i+1))
		d.addOrder(at+d.duration(0, 3*time.Second), rev, []string{one, other}[d.IntN(2)], d.controller(i+2))
		if i%6 == 5 { // eight at once
			for k := range 6 {
				d.addOrder(at, rev+1, fmt.Sprint(rev+1, "/", k%2), d.controller(k))
			}
		}
	}
}

func (d *scenarioBuilder) addOrder(at time.Duration, revision uint64, content, controller string) {
	d.plan.Actions = append(d.plan.Actions, Action{At: at, Do: ActionOrder, Controller: controller, Revision: revision, Content: content})
}

// consecutiveLosses: a controller is lost, or replaced, and the moment that it counts again the next is; or all lose power again and again.
func (d *scenarioBuilder) consecutiveLosses() {
	if d.IntN(2) == 0 {
		d.powerLossesAfterAcks()
		return
	}
	catchUp := d.plan.Bounds.CatchUp
	at := d.duration(6*time.Second, 8*time.Second)
	for n := range 4 {
		f := Fault{At: at, Machine: d.controller(n), For: d.duration(500*time.Millisecond, 3*time.Second)}
		switch d.IntN(4) {
		case 0:
			f.Kind, f.Successor = ReplaceUnplanned, controllerName(d.plan.Controllers+1+n)
		case 1:
			f.Kind, f.Successor, f.For = ReplacePlanned, controllerName(d.plan.Controllers+1+n), catchUp
		case 2:
			f.Kind = Wipe
		case 3:
			f.Kind = Power
		}
		d.addFault(f)
		at += f.For + catchUp
	}
	closing := Fault{Kind: []FaultKind{Kill, Power}[d.IntN(2)], At: at + d.duration(0, time.Second), For: 2 * time.Second, Machine: AllControllers, Edges: d.IntN(2) == 0}
	d.addFault(closing)
	d.plan.Replicas = 8
	for i := range 3 { // drains that are acknowledged just before
		d.plan.Actions = append(d.plan.Actions, Action{At: closing.At - d.duration(20*time.Millisecond, 600*time.Millisecond), Do: ActionDrain, Replica: fmt.Sprint("r", i+1)})
	}
	d.plan.Workload.DrainEvery = 0
}

// powerLossesAfterAcks: right after an order was acknowledged all controllers lose power, and one its disk; they come back, and the same
// befalls them again with another's disk.
func (d *scenarioBuilder) powerLossesAfterAcks() {
	const rounds, down = 9, 500 * time.Millisecond
	d.plan.Workload.OrderEvery, d.plan.Workload.DrainEvery = 0, 0
	at := 6 * time.Second
	for n := range rounds {
		revision := uint64(100 * (n + 1))
		d.addOrder(at, revision, fmt.Sprint(revision, "/last"), d.controller(n))
		soon := d.duration(0, 2*time.Millisecond)
		d.addFault(Fault{Kind: Power, At: soon, For: down, Machine: AllControllers, After: revision, Edges: d.IntN(3) == 0})
		d.addFault(Fault{Kind: Wipe, At: soon, For: down, Machine: d.controller(n + d.IntN(5)), After: revision})
		at += down + maxStartSpread + d.plan.Bounds.CatchUp + d.duration(0, 200*time.Millisecond)
	}
}

// threeControllers: of three controllers one misses an order; once it counts again another comes back with an empty disk, or is replaced;
// once that one counts the third is lost, which alone of them had held the order all the time. Nothing else is sent meanwhile, for
// that would bring the others up to date.
func (d *scenarioBuilder) threeControllers() {
	p := d.plan
	p.Controllers, p.Workload, p.Length = 3, Workload{}, 90*time.Second
	d.controllerOrder = d.Perm(p.Controllers)
	next := p.Controllers + 1
	names := []string{d.controller(0), d.controller(1), d.controller(2)}
	at := 6 * time.Second
	for n := range 2 {
		late, emptied, holder := names[n%3], (n+1)%3, names[(n+2)%3]
		missed := Fault{Kind: []FaultKind{Freeze, Kill, Cut}[d.IntN(3)], At: at, For: 2 * time.Second, Machine: late}
		d.addFault(missed)
		revision := uint64(100 * (n + 1))
		d.addOrder(at+time.Second, revision, fmt.Sprint(revision, "/held"), holder)
		at += missed.For + p.Bounds.CatchUp
		loss := Fault{Kind: Wipe, At: at, For: d.duration(500*time.Millisecond, 2*time.Second), Machine: names[emptied]}
		if d.IntN(2) == 0 {
			loss.Kind, loss.Successor = ReplaceUnplanned, controllerName(next)
			names[emptied] = loss.Successor
			next++
		}
		d.addFault(loss)
		at += loss.For + p.Bounds.CatchUp
		lost := Fault{Kind: []FaultKind{Freeze, Kill, Cut, Power}[d.IntN(4)], At: at, For: 2*p.Bounds.Contact + 3*time.Second, Machine: holder}
		d.addFault(lost)
		for i := range 3 {
			p.Actions = append(p.Actions, Action{At: at + time.Second/2 + time.Duration(i)*300*time.Millisecond, Do: ActionRead})
		}
		d.addOrder(at+p.Bounds.Contact+time.Second, revision+50, fmt.Sprint(revision+50, "/alone"), "")
		at += lost.For + p.Bounds.CatchUp
	}
}

// missedChanges: hundreds of changes while one controller is away; it comes back, the next goes as soon as the budget allows it, and an
// edge begins beside the one that came back.
func (d *scenarioBuilder) missedChanges() {
	const early, late = "40/early", "40/late"
	away := d.controller(0)
	d.plan.Workload.Bytes = 400
	d.addOrder(3*time.Second, 40, early, "")
	d.plan.Workload.Storms = []Storm{{At: 5 * time.Second, For: 16 * time.Second, Orders: 300 + d.IntN(200)}}
	kind := []FaultKind{Kill, Power, Freeze, Wipe}[d.IntN(4)]
	at := d.duration(5*time.Second, 7*time.Second)
	f := Fault{Kind: kind, At: at, For: d.duration(12*time.Second, 16*time.Second), Machine: away}
	d.addFault(f)
	back := at + f.For
	d.addFault(Fault{Kind: EdgeStartsAlongside, At: back - time.Second, For: time.Second + d.duration(0, 300*time.Millisecond), Machine: d.edgePreferring(away),
		Others: []string{away}})
	if d.IntN(2) == 0 { // it finds the others only a while later
		alone := 4 * time.Second
		d.addFault(Fault{Kind: Cut, At: back - time.Second, For: time.Second + alone, Machine: away})
		back += alone
	}
	d.addFault(Fault{Kind: []FaultKind{Kill, Wipe, Freeze}[d.IntN(3)], At: back + d.plan.Bounds.CatchUp, For: 4 * time.Second, Machine: d.controller(1)})
	d.addOrder(10*time.Second, 40, late, d.controller(2))  // some hundred changes later: 256 are remembered
	d.addOrder(26*time.Second, 40, early, d.controller(3)) // and hundreds later, the same that was confirmed
	if d.IntN(2) == 0 {
		d.addFault(Fault{Kind: Power, At: back + 3*d.plan.Bounds.CatchUp, For: 2 * time.Second, Machine: AllControllers, Edges: true})
	}
}
