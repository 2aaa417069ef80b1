// Package rules lists the operators' rules that are in force, what keeps each, and the test that fails without it. The page
// docs/rules.md is written from it, and a test plants each break to see that its test finds it. It plays nothing itself.
package rules

import (
	"fmt"
	"strings"

	"willowsill/lab/modelcheck/planted"
)

// Rule is one thing that the operators judge.
type Rule struct {
	Name      string // of the rule as the operators have it, and a word for the part of it
	Violation string // what breaks it
	Mechanism string // what keeps it, in words
	Files     []string
	Scenarios []string // kinds of days that bring it about; "any" for every day
	Mutation  Mutation
}

// Mutation takes the mechanism out.
type Mutation struct {
	Edits   []planted.Edit
	Package string // whose test fails then
	Test    string // the test, and a subtest behind a slash
}

// Pattern is what go test is to run.
func (b Mutation) Pattern() string {
	var names []string
	for _, name := range strings.Split(b.Test, "/") {
		names = append(names, "^"+name+"$")
	}
	return strings.Join(names, "/")
}

// Mutant is the module with the mechanism taken out.
func (r Rule) Mutant() planted.Mutant { return planted.Mutant{Name: r.Name, Edits: r.Mutation.Edits} }

// Row is the rule as a row of the page's table.
func (r Rule) Row() string {
	quoted := func(words []string) string { return "`" + strings.Join(words, "`, `") + "`" }
	return fmt.Sprintf("| %s | %s | %s (%s) | `%s` %s | %s |", r.Name, r.Violation, r.Mechanism, quoted(r.Files), r.Mutation.Package, quoted([]string{r.Mutation.Test}),
		quoted(r.Scenarios))
}

// Heading is the table's heading.
const Heading = "| rule | broken where | kept by | fails without it | kinds of days |\n|---|---|---|---|---|"

// Table is the page's table.
func Table() string {
	rows := []string{Heading}
	for _, r := range All {
		rows = append(rows, r.Row())
	}
	return strings.Join(rows, "\n") + "\n"
}

func edit(file, was, is string) planted.Edit { return planted.Edit{File: file, Old: was, New: is} }

func files(names ...string) []string { return names }

func scenarios(names ...string) []string { return names }
