package house

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// withdrawn lists names that the operators have withdrawn; docs/former-names.md has their replacements.
var withdrawn = []string{"lighthouse", "pilot", "pilotage", "cutter", "keeper", "lantern", "tower", "helm", "skiff", "dinghy",
	"muster", "beam", "beacons", "lookout", "gangway", "hail", "crew", "strongbox", "quay", "berth", "shoals", "moored", "sailor",
	"rumour"}

// withdrawnPaths lists withdrawn names of folders and files that are matched as paths, since parts of them are words in use elsewhere.
var withdrawnPaths = []string{"carrier/", "cmd/pressed", "bin/pressed", "decide/chart", "decide/notices", "lab/spread",
	"decide/rift", "decide/strain", "decide/window", "decide/fair/", "decide/commons", "decide/crossing", "decide/routes", "transport/roster",
	"cmd/drill", "bin/drill", "balance/again.go", "balance/known.go", "balance/admit.go",
	"standin/papers", "internal/pipes", "emulator/agenda", "emulator/rivals", "experiment/recast", "node/book.go", "node/carrier.go",
	"node/further.go", "node/rhythm.go", "node/serving.go", "controller/leavers", "controller/places", "lending/holder.go",
	"overload/worth.go", "rollout/judge.go", "sharedhealth/hearsay", "sharedhealth/trust.go", "siterouting/purse.go", "gateway/door",
	"gateway/keepsake.go", "front/unseen.go", "proxyserver/tally.go", "emulator/brain.go", "emulator/kernel.go", "emulator/own.go"}

// historical lists the folders and files that may use names of their time.
var historical = []string{"journal", ".git", "results", "docs/incidents", "CHANGELOG.md", "docs/former-names.md", "internal/house/names_test.go"}

// checkedExtensions lists the extensions of the files whose text is checked.
var checkedExtensions = []string{".go", ".md", ".toml", ".star", ".sh", ".json", ".txt", ".mod", ""}

// namePart matches a word, or a part of an identifier that begins with a capital letter.
var namePart = regexp.MustCompile(`[A-Z]?[a-z]+|[A-Z]+`)

// withdrawnIn returns the withdrawn names in a text: as words, in the plural or as parts of identifiers.
func withdrawnIn(text string) []string {
	var found []string
	for _, part := range namePart.FindAllString(text, -1) {
		part = strings.ToLower(part)
		if slices.Contains(withdrawn, part) || slices.Contains(withdrawn, strings.TrimSuffix(part, "s")) {
			found = append(found, part)
		}
	}
	for _, path := range withdrawnPaths {
		if strings.Contains(text, path) {
			found = append(found, path)
		}
	}
	return found
}

// mayContain reports whether a text contains a withdrawn name, possibly within a longer word. It is faster than withdrawnIn.
func mayContain(text string) bool {
	lower := strings.ToLower(text)
	contains := func(name string) bool { return strings.Contains(lower, name) }
	return slices.ContainsFunc(withdrawn, contains) || slices.ContainsFunc(withdrawnPaths, contains)
}

// TestWithdrawnNames checks that no file name, code or page of the present uses a withdrawn name.
func TestWithdrawnNames(t *testing.T) {
	root := "../.."
	files := 0
	must.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if within(name, historical...) {
			if d.IsDir() {
				return fs.SkipDir
			}
			return nil
		}
		if found := withdrawnIn(name + " "); len(found) > 0 {
			t.Errorf("the path %s has the withdrawn names %v", name, found)
		}
		if d.IsDir() && (within(name, "bin", "target", "logs", "found") || d.Name() == "rapid") {
			return fs.SkipDir
		}
		if !d.Type().IsRegular() || !slices.Contains(checkedExtensions, filepath.Ext(name)) {
			return nil
		}
		files++
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if !mayContain(string(text)) {
			return nil
		}
		for i, line := range strings.Split(string(text), "\n") {
			if found := withdrawnIn(line); len(found) > 0 {
				t.Errorf("%s:%d has the withdrawn names %v", name, i+1, found)
			}
		}
		return nil
	}))
	must.Greater(t, 300, files)
}

// TestWithdrawnIn checks which forms of a withdrawn name are found.
func TestWithdrawnIn(t *testing.T) {
	for text, want := range map[string][]string{
		"two lighthouses and a Pilot": {"lighthouses", "pilot"},
		"func newKeeperState()":       {"keeper"},
		"carrier/wire and Carrier":    {"carrier/"},
		"a beamer, copilots, towered": nil,
		"errTowerGone, tower_gone":    {"tower", "tower"},
	} {
		must.Eq(t, want, withdrawnIn(text), must.Sprint(text))
	}
}
