package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// packageIndex provides information about installed packages.
type packageIndex interface {
	// essential returns the packages that every machine has.
	essential() ([]string, error)
	// dependencies returns the packages on which a package depends, alternatives included, or an error if it is not installed.
	dependencies(name string) ([]string, error)
	// files returns the paths that packages own.
	files(names []string) ([]string, error)
}

// machine models a machine that has only the listed packages, their dependencies and the essential packages.
type machine struct {
	owned map[string]bool // paths that the packages own
}

// newMachine returns the machine that has the listed packages, with all packages on which they depend.
func newMachine(index packageIndex, listed []string) (*machine, error) {
	pending, err := index.essential()
	if err != nil {
		return nil, err
	}
	for _, name := range listed {
		if _, err := index.dependencies(name); err != nil {
			return nil, ErrCleanBuild.Wrapf(err, "the listed package %q", name)
		}
	}
	pending = append(pending, listed...)
	known := map[string]bool{}
	var installed []string
	for len(pending) > 0 {
		name := pending[0]
		pending = pending[1:]
		if known[name] {
			continue
		}
		known[name] = true
		dependencies, err := index.dependencies(name)
		if err != nil { // an alternative that is not installed, or a virtual package
			continue
		}
		installed = append(installed, name)
		pending = append(pending, dependencies...)
	}
	paths, err := index.files(installed)
	if err != nil {
		return nil, err
	}
	m := &machine{owned: map[string]bool{}}
	for _, path := range paths {
		m.owned[path] = true
	}
	return m, nil
}

// programFolders are the folders in which a shell looks for programs.
var programFolders = []string{"/usr/bin", "/bin", "/usr/sbin", "/sbin"}

// linkPrograms fills a folder with links to the machine's programs and the Go tool.
func (m *machine) linkPrograms(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return ErrCleanBuild.Wrap(err)
	}
	for path := range m.owned {
		if !slices.Contains(programFolders, filepath.Dir(path)) {
			continue
		}
		if err := os.Symlink(path, filepath.Join(folder, filepath.Base(path))); err != nil && !os.IsExist(err) {
			return ErrCleanBuild.Wrap(err)
		}
	}
	tool, err := exec.LookPath("go")
	if err != nil {
		return ErrCleanBuild.Wrap(err)
	}
	return os.Symlink(tool, filepath.Join(folder, "go"))
}

// has reports whether a package of the machine owns a file under any of the names that it has through links.
func (m *machine) has(path string) bool {
	path = filepath.Clean(path)
	names := []string{path}
	if real, err := filepath.EvalSymlinks(path); err == nil {
		names = append(names, real)
	}
	for _, name := range names {
		// If /bin and /lib are links into /usr, packages may list their files with or without /usr.
		inUsr := filepath.Join("/usr", name)
		outside := strings.TrimPrefix(name, "/usr")
		if m.owned[name] || m.owned[inUsr] || m.owned[outside] {
			return true
		}
	}
	return false
}

// cgoProbe includes the headers and links the libraries of the standard library's C code: runtime/cgo, net and os/user.
const cgoProbe = `
#include <errno.h>
#include <grp.h>
#include <limits.h>
#include <netdb.h>
#include <netinet/in.h>
#include <pthread.h>
#include <pwd.h>
#include <resolv.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <unistd.h>
int main(void) { return 0; }
`

// checkCompilerFiles compiles cgoProbe and checks that a package of the machine owns each header that the C compiler reads and each
// file that it links.
func (m *machine) checkCompilerFiles(scratch string, environment []string) error {
	source := filepath.Join(scratch, "probe.c")
	if err := os.WriteFile(source, []byte(cgoProbe), 0o600); err != nil {
		return ErrCleanBuild.Wrap(err)
	}
	compiler := filepath.Join(scratch, "bin", "gcc")
	for _, args := range [][]string{
		{"-M", source},
		{"-Wl,--trace", "-o", filepath.Join(scratch, "probe"), source, "-lpthread", "-lresolv"},
	} {
		command := exec.Command(compiler, args...)
		command.Env = environment
		printed, err := command.CombinedOutput()
		if err != nil {
			return ErrCleanBuild.With("printed", string(printed)).Wrapf(err, "the C compiler, with the listed packages alone")
		}
		for _, path := range strings.Fields(string(printed)) {
			if filepath.IsAbs(path) && !strings.HasPrefix(path, os.TempDir()) && !m.has(path) {
				return ErrCleanBuild.Errorf("the C compiler reads %s, which no listed package owns", path)
			}
		}
	}
	return nil
}
