package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// packageIndex answers questions about installed packages.
type packageIndex interface {
	// essential lists the packages that every machine has.
	essential() ([]string, error)
	// dependencies lists what a package depends on, alternatives included; an error where it is not installed.
	dependencies(name string) ([]string, error)
	// files lists the paths that packages own.
	files(names []string) ([]string, error)
}

// machine is a machine with nothing but some packages, what these depend on, and the essential ones.
type machine struct {
	owned map[string]bool // paths
}

// newMachine works out what a machine with these packages has.
func newMachine(index packageIndex, listed []string) (*machine, error) {
	waiting, err := index.essential()
	if err != nil {
		return nil, err
	}
	for _, name := range listed {
		if _, err := index.dependencies(name); err != nil {
			return nil, ErrCleanBuild.Wrapf(err, "the listed package %q", name)
		}
	}
	waiting = append(waiting, listed...)
	known := map[string]bool{}
	var installed []string
	for len(waiting) > 0 {
		name := waiting[0]
		waiting = waiting[1:]
		if known[name] {
			continue
		}
		known[name] = true
		more, err := index.dependencies(name)
		if err != nil { // an alternative that is not installed, or a virtual package
			continue
		}
		installed = append(installed, name)
		waiting = append(waiting, more...)
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

// programFolders hold what a shell finds.
var programFolders = []string{"/usr/bin", "/bin", "/usr/sbin", "/sbin"}

// linkPrograms fills a folder with the machine's programs and the Go tool.
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

// has tells whether a package of the machine owns a file, under any of the names that links give it.
func (m *machine) has(path string) bool {
	path = filepath.Clean(path)
	names := []string{path}
	if real, err := filepath.EvalSymlinks(path); err == nil {
		names = append(names, real)
	}
	for _, name := range names {
		// Where /bin and /lib are links into /usr, packages name their files either way.
		inUsr := filepath.Join("/usr", name)
		outside := strings.TrimPrefix(name, "/usr")
		if m.owned[name] || m.owned[inUsr] || m.owned[outside] {
			return true
		}
	}
	return false
}

// cgoProbe includes and links what the standard library's C code does: runtime/cgo, net and os/user.
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

// checkCompilerFiles has the C compiler say which headers it reads and which files it links for cgoProbe, and looks
// each up.
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
