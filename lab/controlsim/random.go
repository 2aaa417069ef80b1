package controlsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of random plans, ns.
const (
	randomPlanLength = 75 * second
	faultsBegin      = 6 * second                   // earliest start of a fault
	faultsEnd        = randomPlanLength - 30*second // no fault starts after this time
	maxFaultTime     = 22 * second                  // maximum length of a cut; other faults are shorter
	maxSpareTime     = 2 * second                   // maximum pause between the recovery from a fault and the next fault
)

// RandomPlan returns the plan of a seed: a workload, and random faults within the fault budget. One of five controllers, or two of
// nine, may be lost at a time; a controller counts as lost until it has had time to catch up. Sometimes all are lost at once.
func RandomPlan(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 7))
	p := Plan{Name: fmt.Sprint("seed ", seed), Seed: seed, Controllers: 5, Edges: 6, Replicas: 6, Length: time.Duration(randomPlanLength), Bounds: DefaultBounds,
		Workload: Workload{OrderEvery: 600 * time.Millisecond, ReadEvery: 900 * time.Millisecond, DrainEvery: 4 * time.Second, Races: 0.15,
			Resends: 0.15}}
	budget := 1
	if rng.IntN(4) == 0 {
		p.Controllers, budget = 9, 2
	}
	if rng.IntN(3) == 0 {
		at := randomBetween(rng, 5*second, 30*second)
		p.Workload.Storms = append(p.Workload.Storms, Storm{At: time.Duration(at), For: 10 * time.Second, Orders: 100 + rng.IntN(200)})
	}
	d := &faultGenerator{Rand: rng, plan: &p, nextSuccessor: p.Controllers + 1}
	for i := range p.Controllers {
		d.controllers = append(d.controllers, controllerName(i+1))
	}
	for range budget {
		d.addSequence()
	}
	d.addEdgeFaults()
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// faultGenerator draws the random faults of one plan.
type faultGenerator struct {
	*rand.Rand
	plan          *Plan
	controllers   []string // controllers that are deployed after the faults so far
	usedMachines  []string // machines that another sequence already affects; two sequences on one machine would use less than the budget
	nextSuccessor int      // number in the name of the next replacement controller
}

// controllerFaultKinds lists the kinds to choose from; a kind that is listed more often is more likely.
var controllerFaultKinds = []FaultKind{Freeze, Freeze, Kill, Kill, Power, Power, Wipe, Wipe, Term, Cut, Cut, CutOut, CutOut, CutOut, CutIn, Reset, SlowLink,
	Duplicate, DiskStall, DiskSlow, DiskFull, ReplacePlanned, ReplaceUnplanned, ReplaceUnplanned}

// addSequence adds a sequence of faults, each of which starts only after the controller of the one before has caught up.
func (d *faultGenerator) addSequence() {
	for at := randomBetween(d.Rand, faultsBegin, faultsBegin+8*second); at < faultsEnd; {
		if d.IntN(10) == 0 && len(d.usedMachines) == 0 && d.plan.Controllers == 5 {
			at = d.addTotalLoss(at)
			continue
		}
		f := d.controllerFault(at)
		d.plan.Faults = append(d.plan.Faults, f)
		at += int64(f.For) + int64(d.plan.Bounds.CatchUp)
		if f.Kind == ReplacePlanned {
			at += int64(d.plan.Bounds.CatchUp)
		}
		if d.IntN(2) == 0 {
			at += randomBetween(d.Rand, 0, maxSpareTime)
		}
	}
	if d.plan.Controllers > 5 {
		for _, f := range d.plan.Faults {
			d.usedMachines = append(d.usedMachines, f.Machine, f.Successor)
		}
	}
}

// addTotalLoss adds the loss of all controllers at once and returns the time at which all have caught up again.
func (d *faultGenerator) addTotalLoss(at int64) int64 {
	f := Fault{Kind: Kill, Machine: AllControllers, At: time.Duration(at), For: time.Duration(randomBetween(d.Rand, second/2, 3*second)), Edges: d.IntN(2) == 0}
	if d.IntN(2) == 0 {
		f.Kind = Power
	}
	d.plan.Faults = append(d.plan.Faults, f)
	return at + int64(f.For) + startSpread + int64(d.plan.Bounds.CatchUp)
}

// controllerFault returns a random fault of one controller.
func (d *faultGenerator) controllerFault(at int64) Fault {
	f := Fault{Kind: controllerFaultKinds[d.IntN(len(controllerFaultKinds))], At: time.Duration(at)}
	for f.Machine = ""; f.Machine == "" || slices.Contains(d.usedMachines, f.Machine); {
		f.Machine = d.controllers[d.IntN(len(d.controllers))]
	}
	low, high := second/5, 6*second
	switch f.Kind {
	case Cut, CutOut, CutIn:
		high = maxFaultTime
		f.Refused = f.Kind == Cut && d.IntN(3) == 0
	case Kill, Power, Wipe, Term:
		low, high = second/2, 4*second
	case SlowLink:
		f.Amount = time.Duration(randomBetween(d.Rand, 20*millisecond, 700*millisecond))
	case Duplicate:
		f.Amount = time.Duration(randomBetween(d.Rand, millisecond, 3*second))
	case DiskSlow:
		f.Amount = time.Duration(randomBetween(d.Rand, 50*millisecond, 1500*millisecond))
	case ReplacePlanned:
		low, high = int64(d.plan.Bounds.CatchUp), 8*second
	case ReplaceUnplanned:
		low, high = second/5, 5*second
	case Reset:
		low, high = 0, 1
	}
	f.For = time.Duration(randomBetween(d.Rand, low, high))
	if f.Kind == ReplacePlanned || f.Kind == ReplaceUnplanned {
		f.Successor = controllerName(d.nextSuccessor)
		d.nextSuccessor++
		d.controllers = slices.DeleteFunc(slices.Clone(d.controllers), func(c string) bool { return c == f.Machine })
		d.controllers = append(d.controllers, f.Successor)
		d.usedMachines = append(d.usedMachines, f.Machine)
		if d.plan.Controllers == 5 {
			d.usedMachines = nil
		}
	}
	return f
}

// addEdgeFaults adds faults of edges and lost answers to operators, which do not count towards the fault budget.
func (d *faultGenerator) addEdgeFaults() {
	for range d.IntN(5) {
		edge := edgeName(1 + d.IntN(d.plan.Edges))
		f := Fault{At: time.Duration(randomBetween(d.Rand, faultsBegin, faultsEnd)), For: time.Duration(randomBetween(d.Rand, second/5, 8*second)), Machine: edge}
		switch d.IntN(5) {
		case 0:
			f.Kind = Freeze
		case 1:
			f.Kind = EdgeRestart
		case 2:
			f.Kind, f.Others = Cut, []string{controllerName(1 + d.IntN(d.plan.Controllers)), edgeName(1 + d.IntN(d.plan.Edges))}
		case 3:
			f.Kind, f.Others = CutOut, []string{controllerName(1 + d.IntN(d.plan.Controllers))}
		case 4:
			f.Kind, f.Machine = LoseAnswers, "operator"
		}
		d.plan.Faults = append(d.plan.Faults, f)
	}
}
