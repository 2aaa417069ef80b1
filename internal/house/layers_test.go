// Package house holds the floors of the repository: what may import what.
package house

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const module = "willowsill/"

// packageSource is one package without its tests.
type packageSource struct {
	comment string
	imports []string
	files   map[string]*ast.File
}

func loadPackages(t *testing.T) map[string]*packageSource {
	all := map[string]*packageSource{}
	root := "../.."
	must.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (strings.HasPrefix(d.Name(), ".") && path != root || d.Name() == "journal" || d.Name() == "testdata") {
			return fs.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		r := all[name]
		if r == nil {
			r = &packageSource{files: map[string]*ast.File{}}
			all[name] = r
		}
		r.files[path] = file
		if file.Doc != nil {
			r.comment += file.Doc.Text()
		}
		for _, i := range file.Imports {
			p, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			r.imports = append(r.imports, p)
		}
		return nil
	}))
	must.Greater(t, 50, len(all))
	return all
}

func within(path string, folders ...string) bool {
	return slices.ContainsFunc(folders, func(f string) bool { return path == f || strings.HasPrefix(path, f+"/") })
}

// TestFloors: every room says what it is; what decides does no I/O, reads no clock and starts nothing; what measures and what stands
// in for others is needed by no program that serves.
func TestFloors(t *testing.T) {
	barred := []string{"net", "os", "io/ioutil", "syscall", "log", "database/sql"}
	clocks := []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}
	deciders := 0
	for name, r := range loadPackages(t) {
		if r.comment == "" {
			t.Errorf("%s has no package comment", name)
		}
		for _, i := range r.imports {
			path, own := strings.CutPrefix(i, module)
			if own && within(path, "lab", "standin") && !within(name, "lab", "standin", "cmd", "examples", "internal") {
				t.Errorf("%s imports %s: what measures is needed by nothing that serves", name, path)
			}
			if own && within(name, "transport") && within(path, "node", "front") || own && within(name, "node") && within(path, "front") {
				t.Errorf("%s imports %s: that stands above it", name, path)
			}
			if own && within(path, "cmd") {
				t.Errorf("%s imports the program %s", name, path)
			}
		}
		if !strings.Contains(r.comment, "Decides: ") && name != "balance" || within(name, "lab", "cmd", "front") {
			continue
		}
		deciders++
		for _, i := range r.imports {
			path, own := strings.CutPrefix(i, module)
			if own && !within(path, "decide", "balance", "deployment", "internal/counters") || !own && within(i, barred...) {
				t.Errorf("%s decides and imports %s", name, i)
			}
		}
		for path, file := range r.files {
			ast.Inspect(file, func(n ast.Node) bool {
				switch x := n.(type) {
				case *ast.GoStmt:
					t.Errorf("%s decides and starts a goroutine", path)
				case *ast.SelectorExpr:
					if p, ok := x.X.(*ast.Ident); ok && p.Name == "time" && slices.Contains(clocks, x.Sel.Name) {
						t.Errorf("%s decides and reads a clock: time.%s", path, x.Sel.Name)
					}
				}
				return true
			})
		}
	}
	must.Greater(t, 15, deciders)
}
