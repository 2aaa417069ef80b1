package house

import (
	"go/ast"
	"slices"
	"sort"
	"testing"
)

// TestExportedItemsHaveComments: what one package offers another says what it does. Methods that only fulfil a
// well-known interface need no words.
func TestExportedItemsHaveComments(t *testing.T) {
	for name, r := range loadPackages(t) {
		if !within(name, "transport", "decide", "front", "lab") {
			continue
		}
		for path, file := range r.files {
			for _, item := range uncommented(file) {
				t.Errorf("%s: %s has no doc comment", path, item)
			}
		}
	}
}

// wellKnown are methods whose interface says what they do.
var wellKnown = []string{"Error", "String", "MarshalJSON", "UnmarshalJSON", "Unwrap", "Len", "Less", "Swap", "Push", "Pop",
	"ServeHTTP", "Read", "Write", "Close"}

// uncommented lists the exported items of a file that have no comment of their own nor one of their group.
func uncommented(file *ast.File) []string {
	var found []string
	for _, d := range file.Decls {
		switch d := d.(type) {
		case *ast.FuncDecl:
			if d.Doc == nil && d.Name.IsExported() && exportedReceiver(d) && !(d.Recv != nil && slices.Contains(wellKnown, d.Name.Name)) {
				found = append(found, d.Name.Name)
			}
		case *ast.GenDecl:
			found = append(found, uncommentedSpecs(d)...)
		}
	}
	sort.Strings(found)
	return found
}

func exportedReceiver(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	kind := d.Recv.List[0].Type
	if star, ok := kind.(*ast.StarExpr); ok {
		kind = star.X
	}
	if generic, ok := kind.(*ast.IndexExpr); ok {
		kind = generic.X
	}
	name, ok := kind.(*ast.Ident)
	return ok && name.IsExported()
}

// uncommentedSpecs goes through a declaration of types, constants or variables. A comment above a group, or at the
// end of the line, counts for constants and variables; a type wants its own.
func uncommentedSpecs(d *ast.GenDecl) []string {
	var found []string
	for _, s := range d.Specs {
		switch s := s.(type) {
		case *ast.TypeSpec:
			if s.Name.IsExported() && s.Doc == nil && (d.Doc == nil || len(d.Specs) > 1) && s.Comment == nil {
				found = append(found, s.Name.Name)
			}
		case *ast.ValueSpec:
			for _, n := range s.Names {
				if n.IsExported() && d.Doc == nil && s.Doc == nil && s.Comment == nil {
					found = append(found, n.Name)
				}
			}
		}
	}
	return found
}
