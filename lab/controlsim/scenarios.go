package controlsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"willowsill/decide/clusterstate"
	"willowsill/decide/relaytree"
)

// Scenario identifies the type of a plan: random faults or a scripted scenario. A scripted scenario of the operators has their number.
type Scenario string

// The scenarios. The operators' scenario 5, clients and their connections, is not simulated here.
const (
	RandomFaults       Scenario = "drawn"
	IsolatedController Scenario = "1"       // one controller is isolated for 20 s
	ConflictingOrders  Scenario = "2"       // two contents are sent under one revision, and orders are repeated
	ConsecutiveLosses  Scenario = "3"       // a controller is lost right after another one was repaired or replaced
	ThreeControllers   Scenario = "3-three" // consecutive losses with only three controllers
	MissedChanges      Scenario = "4"       // a controller returns after it has missed hundreds of changes

	SplitInHalves         Scenario = "halves"     // a partition divides the controllers into two halves
	TotalPowerLoss        Scenario = "dark"       // all machines lose power right after an acknowledgement, and some lose their disks
	OverlappingLosses     Scenario = "overlap"    // most controllers are lost at the same time, one with its disk
	DepartureWithoutDrain Scenario = "departures" // replicas depart without a drain, and their heartbeats arrive late

	InterruptedFirstStart Scenario = "first-start" // controllers end within the first moments, and one loses its disk soon after

	MissedDeparture Scenario = "missed" // replicas depart while a controller is isolated, and edges connect to it afterwards
)

// maxStartSpread is the maximum delay between the starts of machines that start together.
const maxStartSpread = time.Duration(startSpread)

// Scenarios lists the random and all scripted scenarios.
var Scenarios = []Scenario{RandomFaults, IsolatedController, ConflictingOrders, ConsecutiveLosses, ThreeControllers, MissedChanges,
	SplitInHalves, TotalPowerLoss, OverlappingLosses, DepartureWithoutDrain, MissedDeparture, InterruptedFirstStart}

// PlanFor returns the plan of a seed. If RandomFaults is among the scenarios, odd seeds get random plans; the other seeds go through
// the scripted scenarios in turn.
func PlanFor(seed uint64, scenarios []Scenario) Plan {
	var scripted []Scenario
	random := false
	for _, s := range scenarios {
		if s == RandomFaults {
			random = true
		} else {
			scripted = append(scripted, s)
		}
	}
	if len(scripted) == 0 || random && seed%2 == 1 {
		return RandomPlan(seed)
	}
	turn := seed
	if random {
		turn = seed / 2
	}
	return ScenarioPlan(scripted[turn%uint64(len(scripted))], seed)
}

// ScenarioPlan returns the plan of a scripted scenario. The seed decides which machines are affected and varies the times.
func ScenarioPlan(scenario Scenario, seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 11))
	p := Plan{Name: fmt.Sprintf("point %s, seed %d", scenario, seed), Seed: seed, Controllers: 5, Edges: 6, Replicas: 5, Length: 70 * time.Second,
		Bounds: DefaultBounds, Workload: Workload{OrderEvery: 500 * time.Millisecond, ReadEvery: time.Second, DrainEvery: 5 * time.Second, Resends: 0.1}}
	d := &scenarioBuilder{rng, &p, rng.Perm(p.Controllers)}
	switch scenario {
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
	case InterruptedFirstStart:
		d.interruptedFirstStart()
	default:
		return RandomPlan(seed)
	}
	return p
}

// scenarioBuilder builds the plan of one scripted scenario.
type scenarioBuilder struct {
	*rand.Rand
	plan            *Plan
	controllerOrder []int
}

// controller returns the n-th controller in the random order of the seed.
func (d *scenarioBuilder) controller(n int) string {
	return controllerName(d.controllerOrder[n%len(d.controllerOrder)] + 1)
}

// duration returns a random duration from low up to high.
func (d *scenarioBuilder) duration(low, high time.Duration) time.Duration {
	return time.Duration(randomBetween(d.Rand, int64(low), int64(high)))
}

// edgePreferring returns the edge that ranks a controller highest among its possible upstreams.
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

// isolatedController isolates one controller for 20 s. Orders and drains go on and are sent to this controller as well, and an edge
// restarts and connects to it first. With some seeds the controller's process also restarts while it is isolated.
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

// conflictingOrders sends two contents under one revision to two controllers, up to 1.2 s apart, and then repeats one of them, before or
// after newer orders. With some seeds answers are lost or a link is slow.
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
		if i%6 == 5 { // six orders of one revision at the same time
			for k := range 6 {
				d.addOrder(at, rev+1, fmt.Sprint(rev+1, "/", k%2), d.controller(k))
			}
		}
	}
}

func (d *scenarioBuilder) addOrder(at time.Duration, revision uint64, content, controller string) {
	d.plan.Actions = append(d.plan.Actions, Action{At: at, Do: ActionOrder, Controller: controller, Revision: revision, Content: content})
}

// consecutiveLosses loses or replaces one controller after the other, each as soon as the one before counts for a majority again, and
// finally all at once. With half of the seeds it uses powerLossesAfterAcks instead.
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
	for i := range 3 { // drains that are acknowledged just before the final loss
		d.plan.Actions = append(d.plan.Actions, Action{At: closing.At - d.duration(20*time.Millisecond, 600*time.Millisecond), Do: ActionDrain, Replica: fmt.Sprint("r", i+1)})
	}
	d.plan.Workload.DrainEvery = 0
}

// powerLossesAfterAcks takes the power from all controllers right after an order was acknowledged, and one of them also loses its disk.
// It does this nine times, each time after all have recovered; a random controller loses its disk.
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

// threeControllers has the first of three controllers miss an order. Once that one counts for a majority again, the second loses its
// disk or is replaced, and once that has caught up too, the third is lost: the only one that has held the order all the time. No other
// order is sent before that loss, since it would update the other two. Then the same happens again with the controllers' roles changed.
func (d *scenarioBuilder) threeControllers() {
	p := d.plan
	p.Controllers, p.Workload, p.Length = 3, Workload{}, 90*time.Second
	d.controllerOrder = d.Perm(p.Controllers)
	next := p.Controllers + 1
	names := []string{d.controller(0), d.controller(1), d.controller(2)}
	at := 6 * time.Second
	for n := range 2 {
		absent, emptied, holder := names[n%3], (n+1)%3, names[(n+2)%3]
		missed := Fault{Kind: []FaultKind{Freeze, Kill, Cut}[d.IntN(3)], At: at, For: 2 * time.Second, Machine: absent}
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

// missedChanges sends hundreds of orders while one controller is down. After its return the next controller goes down as soon as the
// fault budget allows, and an edge restarts and connects first to the controller that has returned.
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
	if d.IntN(2) == 0 { // it is isolated for a while after its return
		alone := 4 * time.Second
		d.addFault(Fault{Kind: Cut, At: back - time.Second, For: time.Second + alone, Machine: away})
		back += alone
	}
	d.addFault(Fault{Kind: []FaultKind{Kill, Wipe, Freeze}[d.IntN(3)], At: back + d.plan.Bounds.CatchUp, For: 4 * time.Second, Machine: d.controller(1)})
	d.addOrder(10*time.Second, 40, late, d.controller(2))  // about a hundred changes later; the register remembers the newest 256 orders
	d.addOrder(26*time.Second, 40, early, d.controller(3)) // hundreds of changes later, the same content that was acknowledged
	if d.IntN(2) == 0 {
		d.addFault(Fault{Kind: Power, At: back + 3*d.plan.Bounds.CatchUp, For: 2 * time.Second, Machine: AllControllers, Edges: true})
	}
}
