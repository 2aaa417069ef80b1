// Package planted holds the register's text with one defence taken out at a time, to see that the exploration
// of lab/modelcheck would find such faults. It writes what the Go tool builds them by, and explores nothing itself.
package planted

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Mutant is the register with one of its defences taken out, and the scope that has to show it.
type Mutant struct {
	Name             string
	Scope            string
	Edits            []Edit
	Slow             bool // it lies deep, and is found in some runs of 300,000 states and not in others: no part of CI
	AnswerBeforeSync bool // instead: answers leave before the sync
}

// Edit is one change of the text.
type Edit struct {
	File string // in the module
	Old  string // stands there just once
	New  string
}

// Mutants are planted to see that the exploration would find such faults.
var Mutants = []Mutant{
	{Name: "answers leave before the sync", Scope: "slow disks", AnswerBeforeSync: true},
	{Name: "a read writes nothing back", Scope: "power", Edits: []Edit{{File: "decide/register/proposer.go",
		Old: "committed := best.Value.Quorum(p.reportedAccepted(best.Accepted))", New: "committed := true"}}},
	{Name: "a wiped disk counts", Scope: "disk lost", Edits: []Edit{{File: "decide/register/register.go",
		Old: "if !a.CaughtUp {", New: "if false {"}}},
	{Name: "the old members alone decide", Scope: "replacement", Slow: true, Edits: []Edit{{File: "decide/register/register.go",
		Old: "return majority(v.Members, in) && (len(v.Prior) == 0 || majority(v.Prior, in))",
		New: "if len(v.Prior) > 0 {\nreturn majority(v.Prior, in)\n}\nreturn majority(v.Members, in)"},
		{File: "decide/register/proposer.go", Old: "if !p.next.Quorum(hasAccepted) || !p.valueRead().Quorum(hasAccepted) {", New: "if !p.valueRead().Quorum(hasAccepted) {"}}},
	{Name: "a tie goes to who comes last", Scope: "two contents", Edits: []Edit{{File: "decide/register/register.go",
		Old: "return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.Proposer, o.Proposer))",
		New: "return cmp.Compare(b.Number, o.Number)"}}},
	{Name: "questions of two lives look alike", Scope: "late answers", Edits: []Edit{{File: "decide/register/proposer.go",
		Old: "p.queryBallot = Ballot{p.queryBallot.Number + 1, p.name}", New: `p.queryBallot = Ballot{p.queryBallot.Number + 1, ""}`}}},
	{Name: "a joiner believes the first answer", Scope: "disk lost", Edits: []Edit{{File: "decide/register/proposer.go",
		Old: "return best, best.Value.Quorum(answered)", New: "return best, answered != nil"}}},
	{Name: "the value under the highest ballot is passed over", Scope: "two contents", Edits: []Edit{{File: "decide/register/proposer.go",
		Old: "if s.Accepted.Compare(best.Accepted) > 0 || len(best.Value.Members) == 0 {",
		New: "if len(best.Value.Members) == 0 {"}}},
}

// Overlay writes to a folder what has the Go tool build the module at root with the mutant in it, and returns
// the file to name to it. An error tells that the text it goes by is not there just once.
func (m Mutant) Overlay(root, folder string) (string, error) {
	replace := map[string]string{}
	for i, e := range m.Edits {
		path, err := filepath.Abs(filepath.Join(root, e.File))
		if err != nil {
			return "", err
		}
		edited, again := replace[path] // several edits of one file are made one after the other
		if !again {
			edited = path
		}
		text, err := os.ReadFile(edited)
		if err != nil {
			return "", err
		}
		if n := strings.Count(string(text), e.Old); n != 1 {
			return "", fmt.Errorf("%s: %q stands there %d times, the mutant %q wants it once", e.File, e.Old, n, m.Name)
		}
		replace[path] = filepath.Join(folder, fmt.Sprintf("mutant%d.go", i))
		if err := os.WriteFile(replace[path], []byte(strings.Replace(string(text), e.Old, e.New, 1)), 0o600); err != nil {
			return "", err
		}
	}
	list, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	at := filepath.Join(folder, "overlay.json")
	return at, os.WriteFile(at, list, 0o600)
}
