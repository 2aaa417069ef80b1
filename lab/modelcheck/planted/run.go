package planted

import "os/exec"

// Run runs tests of a package of the module at root with the mutant in it, in a program of its own: the one that calls
// was built of the true text. An error without "--- FAIL: " in what was printed is of a text that could not be built.
func (m Mutant) Run(root, folder, tests, testedPackage string, arguments ...string) (printed string, failed error) {
	overlay, err := m.Overlay(root, folder)
	if err != nil {
		return "", err
	}
	command := append([]string{"test", "-count=1", "-overlay", overlay, "-run", tests, "-v", "willowsill/" + testedPackage}, arguments...)
	output, err := exec.Command("go", command...).CombinedOutput()
	return string(output), err
}
