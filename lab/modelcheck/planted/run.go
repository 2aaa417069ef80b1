package planted

import "os/exec"

// Run runs tests of a package of the module at root with the mutant in it, in a new process, since the calling program was built
// without the mutant. If there is an error but printed has no "--- FAIL: ", the mutant could not be built.
func (m Mutant) Run(root, folder, tests, testedPackage string, arguments ...string) (printed string, failed error) {
	overlay, err := m.Overlay(root, folder)
	if err != nil {
		return "", err
	}
	command := append([]string{"test", "-count=1", "-overlay", overlay, "-run", tests, "-v", "willowsill/" + testedPackage}, arguments...)
	output, err := exec.Command("go", command...).CombinedOutput()
	return string(output), err
}
