package house

import (
	"go/ast"
	"slices"
	"sort"
	"testing"
)

// TestExportedItemsHaveComments checks that exported declarations have doc comments. Methods of well-known interfaces need none.
func TestExportedItemsHaveComments(t *testing.T) {
	for name, source := range loadPackages(t) {
		if !within(name, "transport", "decide", "front", "lab") {
			continue
		}
		for path, file := range source.files {
			for _, item := range uncommented(file) {
				t.Errorf("%s: %s has no doc comment", path, item)
			}
		}
	}
}

// wellKnown lists methods of well-known interfaces, which need no comment.
var wellKnown = []string{"Error", "String", "MarshalJSON", "UnmarshalJSON", "Unwrap", "Len", "Less", "Swap", "Push", "Pop",
	"ServeHTTP", "Read", "Write", "Close"}

// uncommented returns the exported declarations of a file that have neither a comment of their own nor one of their group.
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

// uncommentedSpecs returns the exported names without a comment in a declaration of types, constants or variables. For constants and
// variables a comment above the group or at the end of the line counts; a type needs its own.
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
