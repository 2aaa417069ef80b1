// Package planted has mutants of controllers and edges, each with one safeguard removed, to verify that the simulation of
// lab/controlsim finds such faults. It simulates nothing itself.
package planted

import (
	"willowsill/lab/controlsim"
	"willowsill/lab/controlsim/checker"
	"willowsill/lab/modelcheck/planted"
)

// Mutant is the module with one safeguard removed, the scenario that must find it, and the checks, of which at least one must fail.
type Mutant struct {
	planted.Mutant
	Scenario controlsim.Scenario
	Seeds    int // number of seeds of the scenario
	Checks   []string
}

const (
	joinerFile     = "decide/register/joiner.go"
	controllerFile = "decide/controller/controller.go"
	contactFile    = "decide/controller/contact.go"
	leavingFile    = "decide/controller/leaving.go"
	ordersFile     = "decide/controller/orders.go"
	diskFile       = "decide/controller/disk.go"
	followerFile   = "decide/follower/follower.go"
	callersFile    = "decide/controller/callers.go"
	registerFile   = "decide/register/register.go"
	registryFile   = "decide/registry/registry.go"
	readinessFile  = "decide/follower/readiness.go"
)

func edit(file, old, replacement string) planted.Edit {
	return planted.Edit{File: file, Old: old, New: replacement}
}

func mutant(scenario controlsim.Scenario, seeds int, name string, checks []string, edits ...planted.Edit) Mutant {
	return Mutant{planted.Mutant{Name: name, Edits: edits}, scenario, seeds, checks}
}

const (
	contactOld = "return c.now-c.lease.ReachedSince(c.now, c.ownVoter(), c.quorumValue()) < contactTimeout"
	currentOld = "return c.lease.CurrentSince(c.now, c.ownVoter(), c.quorumValue())"
	contactNew = `members, heard := c.quorumValue().Members, 0
	for _, m := range members {
		if p := c.peers[m]; m == c.IP || p != nil && p.lastHeard > 0 && c.now-p.lastHeard < contactTimeout {
			heard++
		}
	}
	return 2*heard > len(members)`
	currentNew = `if c.InContact() {
		return c.now
	}
	return neverCurrent`
)

var (
	lostChecks   = []string{checker.LostRevision, checker.NotLinearizable}
	behindChecks = []string{checker.EdgeBehind, checker.EdgeBehindMajority}
)

// Mutants lists the faults that the simulation must find.
var Mutants = []Mutant{
	mutant(controlsim.IsolatedController, 40, "contact goes by what is heard", behindChecks, edit(contactFile, contactOld, contactNew),
		edit(contactFile, currentOld, currentNew)),
	mutant(controlsim.IsolatedController, 5, "an edge stays with a feeder that is not fresh", behindChecks,
		edit(followerFile, "if f.alternatives == 0 || f.fresh(now) || now-f.connectedAt < stay {", "if stay > 0 {")),
	mutant(controlsim.IsolatedController, 5, "an edge is ready with its first configuration", []string{checker.StaleReady},
		edit(readinessFile, "return r.wasFresh || now-r.configuredAt >= readyUnconfirmedAfter", "return true")),
	mutant(controlsim.ConflictingOrders, 3, "whatever is not above the revision held is confirmed", []string{checker.ConflictingContents},
		edit(ordersFile, "case known && sum != o.Sum:", "case known && sum != o.Sum && o.Revision > value.Revision:")),
	mutant(controlsim.ConflictingOrders, 3, "an order that was overtaken is refused", []string{checker.ResendRefused, checker.RefusedInForce},
		edit(ordersFile, "case known && sum != o.Sum:", "case known && sum != o.Sum || o.Revision < value.Revision:")),
	mutant(controlsim.ThreeControllers, 20, "an empty disk counts as at the first start", lostChecks,
		edit(controllerFile, "case options.Bootstrap && slices.Contains(seeds, options.IP):", "case true:")),
	mutant(controlsim.ThreeControllers, 40, "an empty disk counts once one other has answered", lostChecks,
		edit(joinerFile, "return best, best.Value.Quorum(answered)", "return best, answered != nil")),
	mutant(controlsim.ConsecutiveLosses, 20, "answers leave before the sync", lostChecks,
		edit(diskFile, "	if after == 0 {\n", "	if after >= 0 {\n")),
	mutant(controlsim.MissedChanges, 5, "a controller starts again with its first state", lostChecks,
		edit(controllerFile, "c.disk = register.Acceptor{State: *options.RegisterState, CaughtUp: true}",
			"c.disk = register.Acceptor{State: register.State{Value: register.Value{Members: options.RegisterState.Value.Members, Epoch: options.RegisterState.Value.Epoch}}, CaughtUp: true}")),
	mutant(controlsim.SplitInHalves, 5, "a read is answered from what is known here", lostChecks,
		edit(callersFile, "	n, out := c.proposer.Edit(now, readOnlyEdit)\n", "	if c.committed.Revision > 0 {\n		c.answer(call, statusOK, c.committed.Body, \"\")\n		return c.takeEffects()\n	}\n	n, out := c.proposer.Edit(now, readOnlyEdit)\n")),
	mutant(controlsim.SplitInHalves, 5, "half of the members are enough", []string{checker.ConflictingContents, checker.LostRevision, checker.NotLinearizable},
		edit(registerFile, "return 2*n > len(members)", "return 2*n >= len(members)")),
	mutant(controlsim.TotalPowerLoss, 5, "answers leave before the sync, and everything goes dark", lostChecks,
		edit(diskFile, "	if after == 0 {\n", "	if after >= 0 {\n")),
	mutant(controlsim.OverlappingLosses, 5, "an emptied disk counts at once, while others are away", lostChecks,
		edit(joinerFile, "return best, best.Value.Quorum(answered)", "return best, answered != nil")),
	mutant(controlsim.DepartureWithoutDrain, 5, "a late beat brings a replica back", []string{checker.DepartedUsed, checker.DrainIgnored},
		edit(registryFile, "if o.Phase == Gone || o.Phase == Draining && r.Phase == Ready {", "if o.Phase == Draining && r.Phase == Ready {")),
	mutant(controlsim.DepartureWithoutDrain, 5, "a departure is acknowledged before anybody else has it", []string{checker.DepartedUsed, checker.DrainIgnored, checker.IsolatedAnswer},
		edit(callersFile, "if r.Phase == registry.Ready {\n		c.effects", "if true {\n		c.effects")),
	mutant(controlsim.MissedDeparture, 18, "a departure is told once", []string{checker.DepartedUsed, checker.DrainIgnored},
		edit(leavingFile, "if sum == c.replicas.LeavingSum() {", "if sum != 1 {")),
	mutant(controlsim.MissedChanges, 26, "a controller that starts again calls itself current", []string{checker.StaleReady, checker.EdgeBehind},
		edit(contactFile, currentOld, "return c.now")),
}
