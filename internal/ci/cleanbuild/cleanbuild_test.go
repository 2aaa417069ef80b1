package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// cgoPackage is a program that needs a C compiler, a header and the C library.
const cgoPackage = `package main

// #include <stdlib.h>
import "C"

func main() { C.free(nil) }
`

// repository writes a module with one deploy file to a temporary folder, and returns its root.
func repository(t *testing.T, deploy string) string {
	root := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module m\n\ngo 1.26\n", "main.go": cgoPackage, "deploy.toml": deploy} {
		must.NoError(t, os.WriteFile(filepath.Join(root, name), []byte(text), 0o600))
	}
	return root
}

const buildLine = "build = \"CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o target/ .\"\n"

// TestListedPackages checks that a build fails if the list lacks a package that it runs, reads or links, and passes with the full list.
func TestListedPackages(t *testing.T) {
	for name, c := range map[string]struct{ deploy, fails string }{
		"whole":                {deploy: buildLine + "packages = [\"gcc\", \"libc6-dev\"]\n"},
		"no list":              {deploy: buildLine, fails: "the build"},
		"no compiler":          {deploy: buildLine + "packages = [\"libc6-dev\"]\n", fails: "the build"},
		"no headers":           {deploy: buildLine + "packages = [\"gcc\"]\n", fails: "no listed package owns"},
		"a package of no name": {deploy: buildLine + "packages = [\"gcc-of-nobody\"]\n", fails: "gcc-of-nobody"},
		"another program": {deploy: "build = \"pkg-config --version\"\npackages = [\"gcc\", \"libc6-dev\"]\n",
			fails: "the build"},
		"no build line": {deploy: "packages = [\"gcc\"]\n", fails: "no build line"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			err := checkAll(repository(t, c.deploy), []string{"deploy.toml"})
			if c.fails == "" {
				must.NoError(t, err)
				return
			}
			must.ErrorContains(t, err, c.fails)
		})
	}
}

// TestDependencyNames checks that versions and architectures are removed, and that each alternative is returned.
func TestDependencyNames(t *testing.T) {
	must.Eq(t, []string{"cpp", "gcc-12", "gcc-11", "libc6"}, dependencyNames("cpp (= 4:12.2.0-3), gcc-12 (>= 12.2.0-1~) | gcc-11,, libc6:amd64"))
}
