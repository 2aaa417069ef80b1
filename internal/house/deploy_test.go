package house

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/shoenig/test/must"

	"willowsill/transport/metrics"
)

// namedPackages matches the list of Debian packages in a page, and quotedName one name of it.
var (
	namedPackages = regexp.MustCompile("a build needs the Debian packages ([^:.\n]+?)[:.]")
	quotedName    = regexp.MustCompile("`([^`]+)`")
)

// TestPagesNameThePackages checks that the pages and the deploy files name the same system packages for a build.
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

// TestEndpointsOfFigures checks that the metrics endpoint of each role in the deploy file is the one of its command line, and that two
// roles on one machine have different ports, outside of the range that the platform assigns.
func TestEndpointsOfFigures(t *testing.T) {
	text, err := os.ReadFile("../../deploy/system.toml")
	must.NoError(t, err)
	var deploy struct {
		Roles map[string]struct {
			Run     string `toml:"run"`
			On      string `toml:"on"`
			Metrics string `toml:"metrics"`
		} `toml:"roles"`
	}
	must.NoError(t, toml.Unmarshal(text, &deploy))
	must.MapLen(t, 3, deploy.Roles)
	taken := map[string]string{}
	for name, role := range deploy.Roles {
		endpoint, err := metrics.ParseEndpoint(role.Metrics)
		must.NoError(t, err)
		must.StrHasSuffix(t, " --metrics "+role.Metrics, role.Run)
		must.Greater(t, 9000, endpoint.Port, must.Sprint("the platform assigns ports from 7000 to 8999"))
		place := fmt.Sprint(role.On, ":", endpoint.Port)
		must.MapNotContainsKey(t, taken, place, must.Sprint(name, " shares its port with ", taken[place]))
		taken[place] = name
	}
}
