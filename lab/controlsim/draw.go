package controlsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of the plans that are drawn, ns.
const (
	drawnLength  = 75 * second
	faultsFrom   = 6 * second
	faultsUntil  = drawnLength - 30*second
	longestFault = 22 * second
	spareMost    = 2 * second // between the end of a trouble, with the time to catch up, and the next
)

// Draw makes the plan of a seed: a workload, and faults within the budget. Of five controllers one may be lost at a time, of nine
// two; a controller counts as lost until it has had the time to catch up.
func Draw(seed uint64) Plan {
	draw := rand.New(rand.NewPCG(seed, 7))
	p := Plan{Name: fmt.Sprint("seed ", seed), Seed: seed, Controllers: 5, Edges: 6, Replicas: 6, Length: time.Duration(drawnLength), Bounds: Usual,
		Workload: Workload{OrderEvery: 600 * time.Millisecond, ReadEvery: 900 * time.Millisecond, DrainEvery: 4 * time.Second, Races: 0.15,
			Resends: 0.15}}
	budget := 1
	if draw.IntN(4) == 0 {
		p.Controllers, budget = 9, 2
	}
	if draw.IntN(3) == 0 {
		at := between(draw, 5*second, 30*second)
		p.Workload.Storms = append(p.Workload.Storms, Storm{At: time.Duration(at), For: 10 * time.Second, Orders: 100 + draw.IntN(200)})
	}
	d := &drawing{Rand: draw, plan: &p, next: p.Controllers + 1}
	for i := range p.Controllers {
		d.core = append(d.core, controllerName(i+1))
	}
	for range budget {
		d.slot()
	}
	d.edgeFaults()
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// drawing draws the faults of one plan.
type drawing struct {
	*rand.Rand
	plan  *Plan
	core  []string // deployed when the faults drawn so far are over
	taken []string // hit by another slot: the budget counts machines
	next  int      // number of the next successor
}

var oneController = []Kind{Freeze, Freeze, Kill, Kill, Power, Power, Wipe, Wipe, Term, Cut, Cut, CutOut, CutOut, CutOut, CutIn, Reset, SlowLink,
	Duplicate, DiskStall, DiskSlow, DiskFull, ReplacePlanned, ReplaceUnplanned, ReplaceUnplanned}

// slot draws one sequence of faults, of which each begins once the one before is over.
func (d *drawing) slot() {
	for at := between(d.Rand, faultsFrom, faultsFrom+8*second); at < faultsUntil; {
		if d.IntN(10) == 0 && len(d.taken) == 0 && d.plan.Controllers == 5 {
			at = d.everybody(at)
			continue
		}
		f := d.one(at)
		d.plan.Faults = append(d.plan.Faults, f)
		at += int64(f.For) + int64(d.plan.Bounds.CatchUp)
		if f.Kind == ReplacePlanned {
			at += int64(d.plan.Bounds.CatchUp)
		}
		if d.IntN(2) == 0 {
			at += between(d.Rand, 0, spareMost)
		}
	}
	if d.plan.Controllers > 5 {
		for _, f := range d.plan.Faults {
			d.taken = append(d.taken, f.Machine, f.Successor)
		}
	}
}

// everybody draws a loss of all controllers at once, and returns when it is over.
func (d *drawing) everybody(at int64) int64 {
	f := Fault{Kind: Kill, Machine: All, At: time.Duration(at), For: time.Duration(between(d.Rand, second/2, 3*second)), Edges: d.IntN(2) == 0}
	if d.IntN(2) == 0 {
		f.Kind = Power
	}
	d.plan.Faults = append(d.plan.Faults, f)
	return at + int64(f.For) + firstStart + int64(d.plan.Bounds.CatchUp)
}

// one draws a fault of one controller.
func (d *drawing) one(at int64) Fault {
	f := Fault{Kind: oneController[d.IntN(len(oneController))], At: time.Duration(at)}
	for f.Machine = ""; f.Machine == "" || slices.Contains(d.taken, f.Machine); {
		f.Machine = d.core[d.IntN(len(d.core))]
	}
	low, high := second/5, 6*second
	switch f.Kind {
	case Cut, CutOut, CutIn:
		high = longestFault
		f.Refused = f.Kind == Cut && d.IntN(3) == 0
	case Kill, Power, Wipe, Term:
		low, high = second/2, 4*second
	case SlowLink:
		f.Amount = time.Duration(between(d.Rand, 20*millisecond, 700*millisecond))
	case Duplicate:
		f.Amount = time.Duration(between(d.Rand, millisecond, 3*second))
	case DiskSlow:
		f.Amount = time.Duration(between(d.Rand, 50*millisecond, 1500*millisecond))
	case ReplacePlanned:
		low, high = int64(d.plan.Bounds.CatchUp), 8*second
	case ReplaceUnplanned:
		low, high = second/5, 5*second
	case Reset:
		low, high = 0, 1
	}
	f.For = time.Duration(between(d.Rand, low, high))
	if f.Kind == ReplacePlanned || f.Kind == ReplaceUnplanned {
		f.Successor = controllerName(d.next)
		d.next++
		d.core = slices.DeleteFunc(slices.Clone(d.core), func(c string) bool { return c == f.Machine })
		d.core = append(d.core, f.Successor)
		d.taken = append(d.taken, f.Machine)
		if d.plan.Controllers == 5 {
			d.taken = nil
		}
	}
	return f
}

// edgeFaults draws troubles of edges and of the operators' answers, which no budget counts.
func (d *drawing) edgeFaults() {
	for range d.IntN(5) {
		edge := edgeName(1 + d.IntN(d.plan.Edges))
		f := Fault{At: time.Duration(between(d.Rand, faultsFrom, faultsUntil)), For: time.Duration(between(d.Rand, second/5, 8*second)), Machine: edge}
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
