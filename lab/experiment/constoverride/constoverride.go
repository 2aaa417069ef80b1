// Package constoverride builds a command of this module with constants of its packages changed, so that another value of a constant is
// played by the same text, beside the one that holds. Nothing of the source is written to: go build is told of the changed files by
// an overlay.
package constoverride

import (
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Constants are values by name, as in "balance.warmUpSafety": the package's folder in the module, and the constant. Times are in ns.
type Constants map[string]float64

// goLiteral is a value as Go is told it: whole ones stay whole, for a constant may be needed so.
func goLiteral(v float64) string {
	if v == float64(int64(v)) {
		return strconv.FormatInt(int64(v), 10)
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// Build writes to binary the command in the folder command of the module at root, with constants changed. The error names a
// constant that is not there, or holds what the compiler said.
func Build(root, command, binary string, constants Constants) error {
	work, err := os.MkdirTemp("", "recast")
	if err != nil {
		return err
	}
	defer os.RemoveAll(work)
	overlay := struct{ Replace map[string]string }{map[string]string{}}
	left := maps.Clone(constants)
	for _, folder := range packageFolders(constants) {
		files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
		if err != nil {
			return err
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			changed, err := replaceConstants(file, folder, left)
			if err != nil {
				return err
			}
			if changed == nil {
				continue
			}
			full, err := filepath.Abs(file)
			if err != nil {
				return err
			}
			other := filepath.Join(work, strconv.Itoa(len(overlay.Replace))+".go")
			overlay.Replace[full] = other
			if err := os.WriteFile(other, changed, 0o600); err != nil {
				return err
			}
		}
	}
	if len(left) > 0 {
		return fmt.Errorf("no constant with a value of its own is called %s in %s",
			strings.Join(slices.Sorted(maps.Keys(left)), ", "), root)
	}
	list, err := json.Marshal(overlay)
	if err != nil {
		return err
	}
	at := filepath.Join(work, "overlay.json")
	if err := os.WriteFile(at, list, 0o600); err != nil {
		return err
	}
	full, err := filepath.Abs(binary)
	if err != nil {
		return err
	}
	build := exec.Command("go", "build", "-overlay", at, "-o", full, "./"+command)
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return errors.Join(fmt.Errorf("go build: %w", err), errors.New(strings.TrimSpace(string(out))))
	}
	return nil
}

// packageFolders are the packages that constants are of.
func packageFolders(constants Constants) (all []string) {
	for name := range constants {
		folder, _, _ := strings.Cut(name, ".")
		all = append(all, folder)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// replaceConstants returns a file's text with the constants that it declares changed, and takes them out of left; nil where it declares none.
func replaceConstants(file, folder string, left Constants) ([]byte, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	files := token.NewFileSet()
	tree, err := parser.ParseFile(files, file, source, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	type place struct {
		from, to int
		with     string
	}
	var places []place
	for _, d := range tree.Decls {
		decl, is := d.(*ast.GenDecl)
		if !is || decl.Tok != token.CONST {
			continue
		}
		for _, s := range decl.Specs {
			spec := s.(*ast.ValueSpec)
			for i, name := range spec.Names {
				full := folder + "." + name.Name
				v, wanted := left[full]
				if !wanted || i >= len(spec.Values) {
					continue
				}
				delete(left, full)
				places = append(places, place{files.Position(spec.Values[i].Pos()).Offset, files.Position(spec.Values[i].End()).Offset,
					goLiteral(v)})
			}
		}
	}
	if places == nil {
		return nil, nil
	}
	slices.SortFunc(places, func(a, b place) int { return b.from - a.from }) // from the end, so that offsets hold
	for _, p := range places {
		source = slices.Concat(source[:p.from], []byte(p.with), source[p.to:])
	}
	return source, nil
}
