package rehearsal

import (
	"fmt"
	"os"
	"os/exec"

	"willowsill/deployment/settings"
)

// DaemonCommand returns the command that runs a program as the daemon of a role, with a limit on its descriptors if that is above 0.
// The program must call RunChild when it starts.
func DaemonCommand(program, role, settingsFile string, descriptors int) *exec.Cmd {
	command := exec.Command(program)
	if descriptors > 0 {
		command = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %q", descriptors, program))
	}
	command.Env = append(os.Environ(), RoleVariable+"="+role, settings.FileVariable+"="+settingsFile)
	return command
}
