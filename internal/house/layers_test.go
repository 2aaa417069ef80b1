// Package house checks the rules of the repository: which package may import which, comments, names, deploy files and pages.
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

// packageSource is the parsed source of one package without its tests.
type packageSource struct {
	comment string
	imports []string
	files   map[string]*ast.File
}

// loadPackages parses all packages of the module, by folder.
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
		source := all[name]
		if source == nil {
			source = &packageSource{files: map[string]*ast.File{}}
			all[name] = source
		}
		source.files[path] = file
		if file.Doc != nil {
			source.comment += file.Doc.Text()
		}
		for _, i := range file.Imports {
			p, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			source.imports = append(source.imports, p)
		}
		return nil
	}))
	must.Greater(t, 50, len(all))
	return all
}

// within reports whether a path is one of the folders or below one.
func within(path string, folders ...string) bool {
	return slices.ContainsFunc(folders, func(f string) bool { return path == f || strings.HasPrefix(path, f+"/") })
}

// TestFloors checks the layers of the repository: each package has a comment; packages that decide do no I/O, read no clock and start
// no goroutine; no package that serves imports the tools of measurement or the stand-ins; and no layer imports one above it.
func TestFloors(t *testing.T) {
	forbidden := []string{"net", "os", "io/ioutil", "syscall", "log", "database/sql"}
	clocks := []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}
	deciders := 0
	for name, source := range loadPackages(t) {
		if source.comment == "" {
			t.Errorf("%s has no package comment", name)
		}
		for _, i := range source.imports {
			path, own := strings.CutPrefix(i, module)
			if own && within(path, "lab", "standin") && !within(name, "lab", "standin", "cmd", "examples", "internal") {
				t.Errorf("%s imports %s: a package that serves must not import tools of measurement or stand-ins", name, path)
			}
			if own && within(name, "transport") && within(path, "node", "front") || own && within(name, "node") && within(path, "front") {
				t.Errorf("%s imports %s, which is a layer above it", name, path)
			}
			if own && within(path, "cmd") {
				t.Errorf("%s imports %s, which is a program", name, path)
			}
		}
		if !strings.Contains(source.comment, "Decides: ") && name != "balance" || within(name, "lab", "cmd", "front") {
			continue
		}
		deciders++
		for _, i := range source.imports {
			path, own := strings.CutPrefix(i, module)
			if own && !within(path, "decide", "balance", "deployment", "internal/counters") || !own && within(i, forbidden...) {
				t.Errorf("%s has decisions and must not import %s", name, i)
			}
		}
		for path, file := range source.files {
			ast.Inspect(file, func(n ast.Node) bool {
				switch x := n.(type) {
				case *ast.GoStmt:
					t.Errorf("%s has decisions and must not start a goroutine", path)
				case *ast.SelectorExpr:
					if p, ok := x.X.(*ast.Ident); ok && p.Name == "time" && slices.Contains(clocks, x.Sel.Name) {
						t.Errorf("%s has decisions and must not read a clock: time.%s", path, x.Sel.Name)
					}
				}
				return true
			})
		}
	}
	must.Greater(t, 15, deciders)
}
