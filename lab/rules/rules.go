// Package rules lists the operators' rules that are in force, the mechanism that ensures each, and the test that fails without the
// mechanism. The table of docs/rules.md is generated from this list, and a test removes each mechanism to verify that the named test
// fails.
package rules

import (
	"fmt"
	"strings"

	"willowsill/lab/modelcheck/planted"
)

// Rule is one behaviour that the operators check.
type Rule struct {
	Name      string   // the operators' name of the rule, and a name for this part of it
	Violation string   // what violates the rule
	Mechanism string   // what ensures the rule
	Files     []string // source files of the mechanism
	Scenarios []string // the operators' fault scenarios that can cause a violation; "any" for all
	Mutation  Mutation
}

// Mutation removes the mechanism of a rule.
type Mutation struct {
	Edits   []planted.Edit
	Package string // package of the test that fails without the mechanism
	Test    string // name of that test, with a subtest after a slash
}

// Pattern returns the -run pattern of go test that selects exactly the test.
func (b Mutation) Pattern() string {
	var names []string
	for _, name := range strings.Split(b.Test, "/") {
		names = append(names, "^"+name+"$")
	}
	return strings.Join(names, "/")
}

// Mutant returns the module without the mechanism.
func (r Rule) Mutant() planted.Mutant { return planted.Mutant{Name: r.Name, Edits: r.Mutation.Edits} }

// Row returns the rule as a row of the page's table.
func (r Rule) Row() string {
	quoted := func(words []string) string { return "`" + strings.Join(words, "`, `") + "`" }
	return fmt.Sprintf("| %s | %s | %s (%s) | `%s` %s | %s |", r.Name, r.Violation, r.Mechanism, quoted(r.Files), r.Mutation.Package, quoted([]string{r.Mutation.Test}),
		quoted(r.Scenarios))
}

// Heading is the heading of the table.
const Heading = "| rule | broken where | kept by | fails without it | kinds of days |\n|---|---|---|---|---|"

// Table returns all rules as the table of docs/rules.md.
func Table() string {
	rows := []string{Heading}
	for _, r := range All {
		rows = append(rows, r.Row())
	}
	return strings.Join(rows, "\n") + "\n"
}

func edit(file, old, replacement string) planted.Edit {
	return planted.Edit{File: file, Old: old, New: replacement}
}

func files(names ...string) []string { return names }

func scenarios(names ...string) []string { return names }
