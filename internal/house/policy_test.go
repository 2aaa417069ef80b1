package house

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/shoenig/test/must"
)

// The operators' limits for the source of the decision module.
const (
	maxPolicyLines      = 920 // lines of all files together, without empty ones
	maxPolicyLineLength = 110 // characters of a line
)

// TestPolicySize checks that the files listed as `policy` in the deploy file keep the operators' limits.
func TestPolicySize(t *testing.T) {
	const root = "../.."
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	must.NoError(t, err)
	var deploy struct {
		Policy []string `toml:"policy"`
	}
	must.NoError(t, toml.Unmarshal(text, &deploy))
	must.SliceNotEmpty(t, deploy.Policy)
	lines := 0
	for _, name := range deploy.Policy {
		source, err := os.ReadFile(filepath.Join(root, name))
		must.NoError(t, err)
		for number, line := range strings.Split(string(source), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			must.LessEq(t, maxPolicyLineLength, utf8.RuneCountInString(line), must.Sprintf("%s:%d", name, number+1))
		}
	}
	must.LessEq(t, maxPolicyLines, lines)
}
