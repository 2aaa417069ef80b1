package startsoak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"

	"willowsill/lab/localsettings"
)

// trouble is what stands in the way of a start, until end is called.
type trouble struct {
	end         func()
	descriptors int // limit on the descriptors of the process, 0 for none
	signals     int // number of SIGHUPs that the process is sent from its start on
}

// troubleKind is a kind of trouble.
type troubleKind struct {
	name  string
	begin func(d *daemon, random *rand.Rand) (trouble, error)
}

// troublesOf returns the kinds of trouble that a role can meet.
func troublesOf(role string) []troubleKind {
	kinds := []troubleKind{{"none", calm}, {"port held", holdPort}, {"settings being written", writeSettings}, {"settings away", hideSettings}, {"settings in other forms", varyFigures},
		{"signals from the start on", hangUpEarly}}
	if role == controllerRole {
		kinds = append(kinds, troubleKind{"disk away", hideDisk}, troubleKind{"few descriptors", limitDescriptors})
	}
	return kinds
}

func calm(*daemon, *rand.Rand) (trouble, error) { return trouble{end: func() {}}, nil }

// hangUpEarly tells a process again and again, from its start on, that its settings have changed.
func hangUpEarly(_ *daemon, random *rand.Rand) (trouble, error) {
	return trouble{end: func() {}, signals: 1 + random.IntN(60)}, nil
}

// holdPort listens on one of the daemon's addresses, as a process that is slow to end.
func holdPort(d *daemon, random *rand.Rand) (trouble, error) {
	listeners := d.ports.Listeners(d.role, d.ip)
	held, err := listeners[random.IntN(len(listeners))].Hold()
	if err != nil {
		return trouble{}, err
	}
	return trouble{end: func() { held.Close() }}, nil
}

// writeSettings leaves a part of the settings file, as a platform that is writing it.
func writeSettings(d *daemon, random *rand.Rand) (trouble, error) {
	whole, err := os.ReadFile(d.settingsFile())
	if err != nil {
		return trouble{}, err
	}
	part := whole[:random.IntN(len(whole))]
	return trouble{end: func() { os.WriteFile(d.settingsFile(), whole, 0o600) }}, os.WriteFile(d.settingsFile(), part, 0o600)
}

// hideSettings takes the settings file away, as where the platform writes it long after the start.
func hideSettings(d *daemon, _ *rand.Rand) (trouble, error) {
	away := d.settingsFile() + ".away"
	return trouble{end: func() { os.Rename(away, d.settingsFile()) }}, os.Rename(d.settingsFile(), away)
}

// varyFigures writes the settings with figures in other forms, and with keys that no daemon reads.
func varyFigures(d *daemon, random *rand.Rand) (trouble, error) {
	if err := d.prepare(); err != nil {
		return trouble{}, err
	}
	text, err := os.ReadFile(d.settingsFile())
	if err != nil {
		return trouble{}, err
	}
	for former, forms := range map[string][]string{
		fmt.Sprintf("grace-s = %d\n", graceS):      {"grace-s = 2.0\n", "grace-s = 2\ncontact-ms = 5000.0\n", "grace-s = 2\ndrain-ms = true\n"},
		"beat-interval-ms = 300\n":                 {"beat-interval-ms = 300.0\n", "beat-interval-ms = 3e2\n", "beat-interval-ms = 300\nadded-field = [1, \"a\"]\n"},
		internalPortsLine(d.ports):                 {internalPortsLine(d.ports), fmt.Sprintf("internal-ports = [%d.0, %d]\n", d.ports.Internal()[0], d.ports.Internal()[1])},
		"retry-ratio = 0.2\nretry-window-s = 10\n": {"retry-ratio = 0.2\nretry-window-s = 10.0\n", "retry-ratio = false\nretry-window-s = 10\n"},
	} {
		text = bytes.Replace(text, []byte(former), []byte(forms[random.IntN(len(forms))]), 1)
	}
	if err := os.WriteFile(d.settingsFile(), text, 0o600); err != nil {
		return trouble{}, err
	}
	return calm(d, random)
}

func internalPortsLine(p localsettings.Ports) string {
	return fmt.Sprintf("internal-ports = [%d, %d]\n", p.Internal()[0], p.Internal()[1])
}

// hideDisk puts a file in the place of the data folder, so that each access to the state file fails.
func hideDisk(d *daemon, _ *rand.Rand) (trouble, error) {
	away := d.dataFolder() + ".away"
	if err := os.Rename(d.dataFolder(), away); err != nil {
		return trouble{}, err
	}
	return trouble{end: func() {
		os.Remove(d.dataFolder())
		os.Rename(away, d.dataFolder())
	}}, os.WriteFile(d.dataFolder(), nil, 0o600)
}

// leastDescriptors is what the Go runtime needs to start; with fewer a process cannot even wait.
const leastDescriptors = 8

// limitDescriptors lets the process have hardly more descriptors than it needs to start.
func limitDescriptors(_ *daemon, random *rand.Rand) (trouble, error) {
	return trouble{end: func() {}, descriptors: leastDescriptors + random.IntN(8)}, nil
}
