// Package constoverride builds a command of this module with some constants of its packages changed, so that other values of a constant
// can be tried with otherwise the same source. It doesn't change the source: go build gets the changed files as an overlay.
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

// Constants holds new values by name. A name is the package's folder in the module and the constant, as in "balance.warmUpSafety". Times
// are in ns.
type Constants map[string]float64

// goLiteral formats a value as a Go literal. Whole numbers have no fraction, as the constant may be used as an integer.
func goLiteral(v float64) string {
	if v == float64(int64(v)) {
		return strconv.FormatInt(int64(v), 10)
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// Build builds the command in the folder command of the module at root, with constants changed, and writes it to the file binary. The
// error names constants that were not found, or holds the output of the compiler.
func Build(root, command, binary string, constants Constants) error {
	dir, err := os.MkdirTemp("", "recast")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	overlay := struct{ Replace map[string]string }{map[string]string{}}
	remaining := maps.Clone(constants)
	for _, folder := range packageFolders(constants) {
		files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
		if err != nil {
			return err
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			changed, err := replaceConstants(file, folder, remaining)
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
			copyFile := filepath.Join(dir, strconv.Itoa(len(overlay.Replace))+".go")
			overlay.Replace[full] = copyFile
			if err := os.WriteFile(copyFile, changed, 0o600); err != nil {
				return err
			}
		}
	}
	if len(remaining) > 0 {
		return fmt.Errorf("no constant with a value of its own is named %s in %s",
			strings.Join(slices.Sorted(maps.Keys(remaining)), ", "), root)
	}
	list, err := json.Marshal(overlay)
	if err != nil {
		return err
	}
	overlayFile := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlayFile, list, 0o600); err != nil {
		return err
	}
	full, err := filepath.Abs(binary)
	if err != nil {
		return err
	}
	build := exec.Command("go", "build", "-overlay", overlayFile, "-o", full, "./"+command)
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return errors.Join(fmt.Errorf("go build: %w", err), errors.New(strings.TrimSpace(string(out))))
	}
	return nil
}

// packageFolders returns the folders of the packages that constants belong to.
func packageFolders(constants Constants) (all []string) {
	for name := range constants {
		folder, _, _ := strings.Cut(name, ".")
		all = append(all, folder)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// replaceConstants returns the text of a file with those constants changed that it declares, and removes them from remaining. It returns
// nil if the file declares none.
func replaceConstants(file, folder string, remaining Constants) ([]byte, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	files := token.NewFileSet()
	tree, err := parser.ParseFile(files, file, source, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	type edit struct {
		from, to int
		text     string
	}
	var edits []edit
	for _, d := range tree.Decls {
		decl, ok := d.(*ast.GenDecl)
		if !ok || decl.Tok != token.CONST {
			continue
		}
		for _, s := range decl.Specs {
			spec := s.(*ast.ValueSpec)
			for i, name := range spec.Names {
				full := folder + "." + name.Name
				v, ok := remaining[full]
				if !ok || i >= len(spec.Values) {
					continue
				}
				delete(remaining, full)
				edits = append(edits, edit{files.Position(spec.Values[i].Pos()).Offset, files.Position(spec.Values[i].End()).Offset,
					goLiteral(v)})
			}
		}
	}
	if edits == nil {
		return nil, nil
	}
	slices.SortFunc(edits, func(a, b edit) int { return b.from - a.from }) // from the end of the file, so that earlier offsets stay valid
	for _, p := range edits {
		source = slices.Concat(source[:p.from], []byte(p.text), source[p.to:])
	}
	return source, nil
}
