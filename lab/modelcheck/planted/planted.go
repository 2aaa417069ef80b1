// Package planted has mutants of decide/register, each with one safeguard removed, to verify that the exploration of
// lab/modelcheck finds such faults. It writes the overlay with which the Go tool builds a mutant, and can run a package's tests
// with it.
package planted

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Mutant is the module with one safeguard removed, and the scope in which the exploration must find it.
type Mutant struct {
	Name             string
	Scope            string
	Edits            []Edit
	Slow             bool // only some runs of 300,000 states find it, since it needs many events; CI leaves it out
	AnswerBeforeSync bool // sets Scope.AnswerBeforeSync instead of editing the source
}

// Edit is one replacement in a source file.
type Edit struct {
	File string // path in the module
	Old  string // must occur exactly once in the file
	New  string
}

// Mutants lists the faults that the exploration must find.
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
	{Name: "a joiner believes the first answer", Scope: "disk lost", Edits: []Edit{{File: "decide/register/joiner.go",
		Old: "return best, best.Value.Quorum(answered)", New: "return best, answered != nil"}}},
	{Name: "the value under the highest ballot is passed over", Scope: "two contents", Edits: []Edit{{File: "decide/register/proposer.go",
		Old: "if s.Accepted.Compare(best.Accepted) > 0 || len(best.Value.Members) == 0 {",
		New: "if len(best.Value.Members) == 0 {"}}},
	{Name: "a register is formed though a member has not answered", Scope: "disk lost", Edits: []Edit{{File: "decide/register/formation.go",
		Old: "		default:\n			return false\n", New: "		default:\n"}}},
	{Name: "a second register is formed by few new machines", Scope: "machines added later", Edits: []Edit{{File: "decide/register/formation.go",
		Old: "moreThan: 2 * budget(machines)}", New: "moreThan: budget(machines)}"}}},
}

// Overlay writes to a folder an overlay with which the Go tool builds the module at root with the mutant in it, and returns the
// path for its flag -overlay. It fails if the text of an edit does not occur exactly once.
func (m Mutant) Overlay(root, folder string) (string, error) {
	replace := map[string]string{}
	for i, e := range m.Edits {
		path, err := filepath.Abs(filepath.Join(root, e.File))
		if err != nil {
			return "", err
		}
		edited, found := replace[path] // a later edit of a file starts from the result of the former one
		if !found {
			edited = path
		}
		text, err := os.ReadFile(edited)
		if err != nil {
			return "", err
		}
		if n := strings.Count(string(text), e.Old); n != 1 {
			return "", fmt.Errorf("%s: %q occurs %d times, the mutant %q needs it exactly once", e.File, e.Old, n, m.Name)
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
