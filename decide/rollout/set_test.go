package rollout

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

var order = Order{Service: "s", Target: "v2", OverMs: 14000}

// begun returns a Set with one active rollout, and the rollout.
func begun(t *testing.T) (Set, Rollout) {
	set, verdict, changed := Set{}.Begin(order)
	must.Eq(t, Accepted, verdict)
	must.True(t, changed)
	r, known := set.NewestOf("s")
	must.True(t, known)
	return set, r
}

// ended returns the Set after a step that ends the rollout of service s.
func ended(t *testing.T, set Set, phase Phase) Set {
	r, _ := set.NewestOf("s")
	next, changed := set.Apply(Change{Rollout: r, Phase: phase})
	must.True(t, changed)
	return next
}

// TestBegin: an order that is sent again refers to the rollout that it started, even if that has ended. Another order for
// the service is accepted only after that.
func TestBegin(t *testing.T) {
	set, _ := begun(t)
	other := Order{Service: "s", Target: "v3", OverMs: 14000}
	_, verdict, changed := set.Begin(order)
	must.Eq(t, Accepted, verdict)
	must.False(t, changed)
	_, verdict, changed = set.Begin(other)
	must.Eq(t, Busy, verdict)
	must.False(t, changed)
	for _, phase := range []Phase{Complete, Reverted} {
		afterwards := ended(t, set, phase)
		_, verdict, changed = afterwards.Begin(order)
		must.Eq(t, Accepted, verdict)
		must.False(t, changed)
		next, verdict, changed := afterwards.Begin(other)
		must.Eq(t, Accepted, verdict)
		must.True(t, changed)
		r, _ := next.NewestOf("s")
		must.Eq(t, "v3", r.Order.Target)
		must.Eq(t, Active, r.Phase)
	}
}

// TestStepOfAFormerDutyChangesNothing: a step that was decided on an outdated state, for example by a previous holder, is
// not applied.
func TestStepOfAFormerDutyChangesNothing(t *testing.T) {
	set, seen := begun(t)
	set, changed := set.Apply(Change{Rollout: seen, Phase: Active, Stage: stageCanary, Shares: plan[stageCanary].initialShares})
	must.True(t, changed)
	for _, phase := range []Phase{Active, Complete, Reverted} {
		_, changed = set.Apply(Change{Rollout: seen, Phase: phase})
		must.False(t, changed)
	}
	set = ended(t, set, Reverted)
	r, _ := set.NewestOf("s")
	_, changed = set.Apply(Change{Rollout: r, Phase: Complete})
	must.False(t, changed)
	_, changed = set.Abort("s", "late")
	must.False(t, changed)
}

// TestAVersionTakenBackStaysShut: a reverted version gets no requests, also during and after the next rollout, unless an
// operator orders a rollout to that version.
func TestAVersionTakenBackStaysShut(t *testing.T) {
	set, _ := begun(t)
	set = ended(t, set, Reverted)
	r, _ := set.NewestOf("s")
	must.False(t, r.Admits("e", "a", "v2"))
	must.False(t, r.AllowsFallback("v2"))
	must.True(t, r.Admits("e", "a", "v1"))
	set, _, _ = set.Begin(Order{Service: "s", Target: "v3", OverMs: 1000})
	r, _ = set.NewestOf("s")
	must.False(t, r.Admits("e", "a", "v2"))
	must.False(t, r.AllowsFallback("v2"))
	set = ended(t, set, Complete)
	r, _ = set.NewestOf("s")
	must.False(t, r.Admits("e", "a", "v2"))
	must.False(t, r.AllowsFallback("v2"))
	must.True(t, r.Admits("e", "a", "v3"))
	must.True(t, r.AllowsFallback("v1"))
	set, _, _ = set.Begin(Order{Service: "s", Target: "v2", OverMs: 1000})
	r, _ = set.NewestOf("s")
	r.Shares.Target = fullShare
	must.True(t, r.Admits("e", "a", "v2"))
}

// TestSharesOpenMore: a larger share admits every pair that a smaller share admits, and about its fraction of all pairs.
func TestSharesOpenMore(t *testing.T) {
	open := func(share int) (pairs map[string]bool) {
		r := Rollout{Order: order, Phase: Active, Shares: Shares{Target: share, Others: fullShare}}
		pairs = map[string]bool{}
		for e := range 60 {
			for i := range 8 {
				edge, replica := fmt.Sprint("e", e), fmt.Sprint("r", i)
				if r.Admits(edge, replica, "v2") {
					pairs[edge+replica] = true
				}
				must.True(t, r.Admits(edge, replica, "v1"))
			}
		}
		return pairs
	}
	small, large := open(100), open(400)
	for pair := range small {
		must.True(t, large[pair])
	}
	must.Between(t, 24, len(small), 96)
	must.Between(t, 140, len(large), 250)
	must.MapLen(t, 480, open(fullShare))
	must.MapEmpty(t, open(0))
}

// TestKept: the number of rollouts in a Set is bounded, and active rollouts are never dropped.
func TestKept(t *testing.T) {
	set, _ := begun(t)
	for n := range 3 * maxKept {
		service := fmt.Sprint("other", n)
		set, _, _ = set.Begin(Order{Service: service, Target: "v2", OverMs: 1000})
		r, _ := set.NewestOf(service)
		set, _ = set.Apply(Change{Rollout: r, Phase: Complete})
	}
	must.SliceLen(t, maxKept, set.Rollouts)
	r, known := set.NewestOf("s")
	must.True(t, known)
	must.Eq(t, Active, r.Phase)
}
