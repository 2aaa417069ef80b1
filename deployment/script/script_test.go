package script

import "testing"

// TestSize checks the conversion of sizes; -1 stands for an error.
func TestSize(t *testing.T) {
	for s, want := range map[string]int64{"64MiB": 64 << 20, "3B": 3, "1GiB": 1 << 30, "5": -1, "-1KiB": -1, "xMiB": -1} {
		n, err := parseSize(s)
		if want < 0 && err == nil || want >= 0 && n != want {
			t.Errorf("%s is %d, %v", s, n, err)
		}
	}
}
