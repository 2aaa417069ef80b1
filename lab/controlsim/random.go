package controlsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of the plans that are drawn, ns.
const (
	randomPlanLength = 75 * second
	faultsBegin      = 6 * second
	faultsEnd        = randomPlanLength - 30*second
	maxFaultTime     = 22 * second
	maxSpareTime     = 2 * second // between the end of a trouble, with the time to catch up, and the next
)

// RandomPlan makes the plan of a seed: a workload, and faults within the budget. Of five controllers one may be lost at a time, of nine
// two; a controller counts as lost until it has had the time to catch up.
func RandomPlan(seed uint64) Plan {
	draw := rand.New(rand.NewPCG(seed, 7))
	p := Plan{Name: fmt.Sprint("seed ", seed), Seed: seed, Controllers: 5, Edges: 6, Replicas: 6, Length: time.Duration(randomPlanLength), Bounds: DefaultBounds,
		Workload: Workload{OrderEvery: 600 * time.Millisecond, ReadEvery: 900 * time.Millisecond, DrainEvery: 4 * time.Second, Races: 0.15,
			Resends: 0.15}}
	budget := 1
	if draw.IntN(4) == 0 {
		p.Controllers, budget = 9, 2
	}
	if draw.IntN(3) == 0 {
		at := randomBetween(draw, 5*second, 30*second)
		p.Workload.Storms = append(p.Workload.Storms, Storm{At: time.Duration(at), For: 10 * time.Second, Orders: 100 + draw.IntN(200)})
	}
	d := &faultGenerator{Rand: draw, plan: &p, nextSuccessor: p.Controllers + 1}
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

// faultGenerator draws the faults of one plan.
type faultGenerator struct {
	*rand.Rand
	plan          *Plan
	controllers   []string // deployed when the faults drawn so far are over
	usedMachines  []string // hit by another slot: the budget counts machines
	nextSuccessor int      // number of the next successor
}

var controllerFaultKinds = []FaultKind{Freeze, Freeze, Kill, Kill, Power, Power, Wipe, Wipe, Term, Cut, Cut, CutOut, CutOut, CutOut, CutIn, Reset, SlowLink,
	Duplicate, DiskStall, DiskSlow, DiskFull, ReplacePlanned, ReplaceUnplanned, ReplaceUnplanned}

// addSequence draws one sequence of faults, of which each begins once the one before is over.
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

// addTotalLoss draws a loss of all controllers at once, and returns when it is over.
func (d *faultGenerator) addTotalLoss(at int64) int64 {
	f := Fault{Kind: Kill, Machine: AllControllers, At: time.Duration(at), For: time.Duration(randomBetween(d.Rand, second/2, 3*second)), Edges: d.IntN(2) == 0}
	if d.IntN(2) == 0 {
		f.Kind = Power
	}
	d.plan.Faults = append(d.plan.Faults, f)
	return at + int64(f.For) + startSpread + int64(d.plan.Bounds.CatchUp)
}

// controllerFault draws a fault of one controller.
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

// addEdgeFaults draws troubles of edges and of the operators' answers, which no budget counts.
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
