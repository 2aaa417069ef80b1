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
	Long             bool // it lies deep, and is found in some runs of 300,000 states and not in others: no part of CI
	AnswerBeforeSync bool // instead: answers leave before the sync
}

// Edit is one change of the text.
type Edit struct {
	File string // in the module
	Was  string // stands there just once
	Is   string
}

// Mutants are planted to see that the exploration would find such faults.
var Mutants = []Mutant{
	{Name: "answers leave before the sync", Scope: "slow disks", AnswerBeforeSync: true},
	{Name: "a read writes nothing back", Scope: "power", Edits: []Edit{{File: "decide/register/proposer.go",
		Was: "committed := best.Value.Quorum(p.reportedAccepted(best.Accepted))", Is: "committed := true"}}},
	{Name: "a wiped disk counts", Scope: "disk lost", Edits: []Edit{{File: "decide/register/register.go",
		Was: "if !a.CaughtUp {", Is: "if false {"}}},
	{Name: "the old members alone decide", Scope: "replacement", Long: true, Edits: []Edit{{File: "decide/register/register.go",
		Was: "return majority(v.Members, in) && (len(v.Prior) == 0 || majority(v.Prior, in))",
		Is:  "if len(v.Prior) > 0 {\nreturn majority(v.Prior, in)\n}\nreturn majority(v.Members, in)"},
		{File: "decide/register/proposer.go", Was: "if !p.next.Quorum(hasAccepted) || !p.valueRead().Quorum(hasAccepted) {", Is: "if !p.valueRead().Quorum(hasAccepted) {"}}},
	{Name: "a tie goes to who comes last", Scope: "two contents", Edits: []Edit{{File: "decide/register/register.go",
		Was: "return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.Proposer, o.Proposer))",
		Is:  "return cmp.Compare(b.Number, o.Number)"}}},
	{Name: "questions of two lives look alike", Scope: "late answers", Edits: []Edit{{File: "decide/register/proposer.go",
		Was: "p.queryBallot = Ballot{p.queryBallot.Number + 1, p.name}", Is: `p.queryBallot = Ballot{p.queryBallot.Number + 1, ""}`}}},
	{Name: "a joiner believes the first answer", Scope: "disk lost", Edits: []Edit{{File: "decide/register/proposer.go",
		Was: "return best, best.Value.Quorum(answered)", Is: "return best, answered != nil"}}},
	{Name: "the value under the highest ballot is passed over", Scope: "two contents", Edits: []Edit{{File: "decide/register/proposer.go",
		Was: "if s.Accepted.Compare(best.Accepted) > 0 || len(best.Value.Members) == 0 {",
		Is:  "if len(best.Value.Members) == 0 {"}}},
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
		if n := strings.Count(string(text), e.Was); n != 1 {
			return "", fmt.Errorf("%s: %q stands there %d times, the mutant %q wants it once", e.File, e.Was, n, m.Name)
		}
		replace[path] = filepath.Join(folder, fmt.Sprintf("mutant%d.go", i))
		if err := os.WriteFile(replace[path], []byte(strings.Replace(string(text), e.Was, e.Is, 1)), 0o600); err != nil {
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
