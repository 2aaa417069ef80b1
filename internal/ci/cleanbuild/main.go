// Command cleanbuild runs the build lines of deploy files with only the Go tool chain, the packages that each file lists under
// `packages`, their dependencies, and the essential packages of Debian. A build that runs another program, reads another package's
// header or links another package's file fails.
//
//	go run ./internal/ci/cleanbuild deploy/balancer.toml deploy/system.toml
//
// It needs dpkg, and the packages must be installed. The exit code is 0 if all builds pass, otherwise 1.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"
)

// ErrCleanBuild is the base of this command's errors.
var ErrCleanBuild = oops.Code("clean_build")

// deployFile has the fields of a deploy file that this command needs.
type deployFile struct {
	Build    string   `toml:"build"`
	Packages []string `toml:"packages"`
}

func main() {
	flag.Parse()
	if err := checkAll(".", flag.Args()); err != nil {
		fmt.Printf("%v\nFAIL\n", err)
		os.Exit(1)
	}
}

// checkAll checks deploy files one after the other, with a common build cache that is empty at first.
func checkAll(root string, paths []string) error {
	cache, err := os.MkdirTemp("", "cleanbuild-cache")
	if err != nil {
		return ErrCleanBuild.Wrap(err)
	}
	defer os.RemoveAll(cache)
	for _, path := range paths {
		began := time.Now()
		if err := check(root, path, cache); err != nil {
			return ErrCleanBuild.Wrapf(err, "%s", path)
		}
		fmt.Printf("%s builds with the packages it lists, in %.0f s\n", path, time.Since(began).Seconds())
	}
	return nil
}

// check runs the build line of a deploy file in the repository's root.
func check(root, path, cache string) error {
	text, err := os.ReadFile(filepath.Join(root, path))
	if err != nil {
		return ErrCleanBuild.Wrap(err)
	}
	var file deployFile
	if err := toml.Unmarshal(text, &file); err != nil {
		return ErrCleanBuild.Wrapf(err, "the deploy file cannot be read")
	}
	if file.Build == "" {
		return ErrCleanBuild.Errorf("the deploy file has no build line")
	}
	machine, err := newMachine(dpkg{}, file.Packages)
	if err != nil {
		return err
	}
	scratch, err := os.MkdirTemp("", "cleanbuild")
	if err != nil {
		return ErrCleanBuild.Wrap(err)
	}
	defer os.RemoveAll(scratch)
	programs := filepath.Join(scratch, "bin")
	if err := machine.linkPrograms(programs); err != nil {
		return err
	}
	environment := append(os.Environ(), "PATH="+programs, "GOCACHE="+cache)
	if err := run(root, environment, "sh", "-ec", file.Build); err != nil {
		return ErrCleanBuild.Wrapf(err, "the build, with the listed packages alone")
	}
	return machine.checkCompilerFiles(scratch, environment)
}

// run runs a program of /bin in an environment and prints its output.
func run(root string, environment []string, name string, args ...string) error {
	command := exec.Command("/bin/"+name, args...)
	command.Dir, command.Env, command.Stdout, command.Stderr = root, environment, os.Stdout, os.Stderr
	return command.Run()
}
