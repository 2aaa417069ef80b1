// Package planted holds the text of controllers and edges with one defence taken out at a time, to see that the simulation of
// lab/controlsim would find such faults. It plays nothing itself.
package planted

import (
	"willowsill/lab/controlsim"
	"willowsill/lab/controlsim/checker"
	"willowsill/lab/modelcheck/planted"
)

// Mutant is the text with one of its defences taken out, the day that has to show it, and the checks of which one has to fail.
type Mutant struct {
	planted.Mutant
	Point  controlsim.Point
	Seeds  int // of the day that are played
	Checks []string
}

const (
	proposerFile   = "decide/register/proposer.go"
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

func edit(file, was, is string) planted.Edit { return planted.Edit{File: file, Was: was, Is: is} }

func mutant(point controlsim.Point, seeds int, name string, checks []string, edits ...planted.Edit) Mutant {
	return Mutant{planted.Mutant{Name: name, Edits: edits}, point, seeds, checks}
}

const (
	contactWas = "return c.now-c.lease.ReachedSince(c.now, c.ownVoter(), c.quorumValue()) < contactTimeout"
	currentWas = "return c.lease.CurrentSince(c.now, c.ownVoter(), c.quorumValue())"
	contactIs  = `members, heard := c.quorumValue().Members, 0
	for _, m := range members {
		if p := c.peers[m]; m == c.IP || p != nil && p.lastHeard > 0 && c.now-p.lastHeard < contactTimeout {
			heard++
		}
	}
	return 2*heard > len(members)`
	currentIs = `if c.InContact() {
		return c.now
	}
	return neverCurrent`
)

var (
	lost   = []string{checker.Lost, checker.Linear}
	behind = []string{checker.Behind, checker.BehindBeside}
)

// Mutants are planted to see that the checks would find such faults.
var Mutants = []Mutant{
	mutant(controlsim.CutOffAlone, 40, "contact goes by what is heard", behind, edit(contactFile, contactWas, contactIs),
		edit(contactFile, currentWas, currentIs)),
	mutant(controlsim.CutOffAlone, 5, "an edge stays with a feeder that is not fresh", behind,
		edit(followerFile, "if f.alternatives == 0 || f.fresh(now) || now-f.connectedAt < stay {", "if stay > 0 {")),
	mutant(controlsim.CutOffAlone, 5, "an edge is ready with its first configuration", []string{checker.ReadyOld},
		edit(readinessFile, "return r.wasFresh || now-r.configuredAt >= readyUnconfirmedAfter", "return true")),
	mutant(controlsim.OneNumber, 3, "whatever is not above the revision held is confirmed", []string{checker.TwoContents},
		edit(ordersFile, "case known && sum != o.Sum:", "case known && sum != o.Sum && o.Revision > value.Revision:")),
	mutant(controlsim.OneNumber, 3, "an order that was overtaken is refused", []string{checker.RefusedAgain, checker.RefusedTaken},
		edit(ordersFile, "case known && sum != o.Sum:", "case known && sum != o.Sum || o.Revision < value.Revision:")),
	mutant(controlsim.ThreeOnly, 20, "an empty disk counts as at the first start", lost,
		edit(controllerFile, "case options.Bootstrap && slices.Contains(seeds, options.IP):", "case true:")),
	mutant(controlsim.ThreeOnly, 40, "an empty disk counts once one other has answered", lost,
		edit(proposerFile, "return best, best.Value.Quorum(answered)", "return best, answered != nil")),
	mutant(controlsim.SecondLoss, 20, "answers leave before the sync", lost,
		edit(diskFile, "	if after == 0 {\n", "	if after >= 0 {\n")),
	mutant(controlsim.LongLife, 5, "a controller starts again with its first state", lost,
		edit(controllerFile, "c.disk = register.Acceptor{State: *options.RegisterState, CaughtUp: true}",
			"c.disk = register.Acceptor{State: register.State{Value: register.Value{Members: options.RegisterState.Value.Members, Epoch: options.RegisterState.Value.Epoch}}, CaughtUp: true}")),
	mutant(controlsim.TwoHalves, 5, "a read is answered from what is known here", lost,
		edit(callersFile, "	n, out := c.proposer.Edit(now, readOnlyEdit)\n", "	if c.committed.Revision > 0 {\n		c.answer(call, statusOK, c.committed.Body, \"\")\n		return c.takeEffects()\n	}\n	n, out := c.proposer.Edit(now, readOnlyEdit)\n")),
	mutant(controlsim.TwoHalves, 5, "half of the members are enough", []string{checker.TwoContents, checker.Lost, checker.Linear},
		edit(registerFile, "return 2*n > len(members)", "return 2*n >= len(members)")),
	mutant(controlsim.EverythingDark, 5, "answers leave before the sync, and everything goes dark", lost,
		edit(diskFile, "	if after == 0 {\n", "	if after >= 0 {\n")),
	mutant(controlsim.LossesOverlap, 5, "an emptied disk counts at once, while others are away", lost,
		edit(proposerFile, "return best, best.Value.Quorum(answered)", "return best, answered != nil")),
	mutant(controlsim.DepartureFirst, 5, "a late beat brings a replica back", []string{checker.GoneAgain, checker.DrainUnknown},
		edit(registryFile, "if o.Phase == Gone || o.Phase == Draining && r.Phase == Ready {", "if o.Phase == Draining && r.Phase == Ready {")),
	mutant(controlsim.DepartureFirst, 5, "a departure is acknowledged before anybody else has it", []string{checker.GoneAgain, checker.DrainUnknown, checker.CutOff},
		edit(callersFile, "if r.Phase == registry.Ready {\n		c.effects", "if true {\n		c.effects")),
	mutant(controlsim.DepartureMissed, 18, "a departure is told once", []string{checker.GoneAgain, checker.DrainUnknown},
		edit(leavingFile, "if sum == c.replicas.LeavingSum() {", "if sum != 1 {")),
	mutant(controlsim.LongLife, 26, "a controller that starts again calls itself current", []string{checker.ReadyOld, checker.Behind},
		edit(contactFile, currentWas, "return c.now")),
}
