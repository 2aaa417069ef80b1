package house

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/shoenig/test/must"
)

// namedPackages finds the list of Debian packages in a page.
var (
	namedPackages = regexp.MustCompile("a build needs the Debian packages ([^:.\n]+?)[:.]")
	quotedName    = regexp.MustCompile("`([^`]+)`")
)

// TestPagesNameThePackages: pages and deploy files name the same system packages for a build.
func TestPagesNameThePackages(t *testing.T) {
	const root = "../.."
	var lists [][]string
	for _, name := range []string{"deploy/balancer.toml", "deploy/system.toml"} {
		text, err := os.ReadFile(filepath.Join(root, name))
		must.NoError(t, err)
		var deploy struct {
			Packages []string `toml:"packages"`
		}
		must.NoError(t, toml.Unmarshal(text, &deploy))
		must.SliceNotEmpty(t, deploy.Packages, must.Sprint(name))
		lists = append(lists, deploy.Packages)
	}
	for _, name := range []string{"README.md", "docs/running.md"} {
		text, err := os.ReadFile(filepath.Join(root, name))
		must.NoError(t, err)
		sentence := namedPackages.FindStringSubmatch(string(text))
		must.SliceLen(t, 2, sentence, must.Sprintf("%s names no packages", name))
		var list []string
		for _, quoted := range quotedName.FindAllStringSubmatch(sentence[1], -1) {
			list = append(list, quoted[1])
		}
		lists = append(lists, list)
	}
	for _, list := range lists[1:] {
		must.Eq(t, lists[0], list)
	}
}
