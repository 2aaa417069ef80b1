// Package planted holds the controllers' text with one defence taken out at a time, to see that the simulation of lab/controlsim
// would find such faults. It plays nothing itself.
package planted

import (
	"willowsill/lab/controlsim"
	"willowsill/lab/controlsim/checker"
	"willowsill/lab/modelcheck/planted"
)

// Mutant is the text with one of its defences taken out, the scripted day that has to show it, and the checks of which one has to
// fail.
type Mutant struct {
	planted.Mutant
	Point  controlsim.Point
	Checks []string
}

const (
	registerFile   = "decide/register/register.go"
	proposerFile   = "decide/register/proposer.go"
	controllerFile = "decide/controller/controller.go"
	diskFile       = "decide/controller/disk.go"
	callersFile    = "decide/controller/callers.go"
	membersFile    = "decide/controller/members.go"
)

func edit(file, was, is string) planted.Edit { return planted.Edit{File: file, Was: was, Is: is} }

// Mutants are planted to see that the checks would find such faults.
var Mutants = []Mutant{
	{Mutant: planted.Mutant{Name: "a cut-off controller acknowledges drains", Edits: []planted.Edit{
		edit(callersFile, "if !c.InContact() || c.leaving {", "if c.leaving {"),
		edit(callersFile, "	if 2*n > len(c.members()) {\n		c.answer(t, 200, nil, \"\")", "	if n > 0 {\n		c.answer(t, 200, nil, \"\")")}},
		Point: controlsim.CutOffAlone, Checks: []string{checker.CutOff}},
	{Mutant: planted.Mutant{Name: "members change by the new majority alone", Edits: []planted.Edit{
		edit(registerFile, "return majority(v.Members, in) && (len(v.Prior) == 0 || majority(v.Prior, in))", "return majority(v.Members, in)"),
		edit(proposerFile, "if !p.next.Quorum(in) || !p.read().Quorum(in) {", "if !p.next.Quorum(in) {")}},
		Point: controlsim.SecondLoss, Checks: []string{checker.Lost, checker.Linear}},
	{Mutant: planted.Mutant{Name: "an empty disk counts as at the first start", Edits: []planted.Edit{
		edit(controllerFile, "case s.Bootstrap && slices.Contains(seeds, s.IP):", "case true:")}},
		Point: controlsim.SecondLoss, Checks: []string{checker.Lost, checker.Linear}},
	{Mutant: planted.Mutant{Name: "an empty disk counts once one other has answered", Edits: []planted.Edit{
		edit(proposerFile, "return best, best.Value.Quorum(in)", "return best, in != nil")}},
		Point: controlsim.SecondLoss, Checks: []string{checker.Lost, checker.Linear}},
	{Mutant: planted.Mutant{Name: "answers leave before the sync", Edits: []planted.Edit{
		edit(diskFile, "	if after == 0 {\n", "	if after >= 0 {\n")}},
		Point: controlsim.SecondLoss, Checks: []string{checker.Lost, checker.Linear}},
	{Mutant: planted.Mutant{Name: "a controller starts again with its first state", Edits: []planted.Edit{
		edit(controllerFile, "c.disk = register.Disk{State: *s.State, CaughtUp: true}",
			"c.disk = register.Disk{State: register.State{Value: register.Value{Members: s.State.Value.Members, Epoch: s.State.Value.Epoch}}, CaughtUp: true}")}},
		Point: controlsim.LongLife, Checks: []string{checker.Lost, checker.Linear}},
}
