package house

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const maxSteps = 10 // maximum number of steps of a walk through the code

// walkStep matches a table row of a walk in docs/architecture.md: a number, a file and its functions.
var walkStep = regexp.MustCompile("^\\| (\\d+) \\| `([^`]+\\.go)` \\| ([^|]+) \\|")

// TestWalksThroughTheCode checks that each step of the walks in docs/architecture.md names a file and functions that exist, and that
// no walk has more than ten steps.
func TestWalksThroughTheCode(t *testing.T) {
	text, err := os.ReadFile("../../docs/architecture.md")
	must.NoError(t, err)
	steps := 0
	for _, section := range strings.Split(string(text), "\n## ") {
		inSection := 0
		for _, line := range strings.Split(section, "\n") {
			row := walkStep.FindStringSubmatch(line)
			if row == nil {
				continue
			}
			inSection++
			code, err := os.ReadFile(filepath.Join("../..", row[2]))
			must.NoError(t, err)
			for _, name := range strings.Split(row[3], ", ") {
				name = strings.Trim(name, "` ")
				if !regexp.MustCompile(`(?m)^func (\([^)]*\) )?` + name + `\(`).Match(code) {
					t.Errorf("%s has no function %s", row[2], name)
				}
			}
		}
		if inSection > maxSteps {
			t.Errorf("%d steps in %q, more than allowed", inSection, strings.SplitN(section, "\n", 2)[0])
		}
		steps += inSection
	}
	must.GreaterEq(t, 10, steps)
}
