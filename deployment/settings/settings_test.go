package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// TestExposureShare: the share that limits rollouts is read, and a value outside 0 to 1 is refused with an error
// that names the key.
func TestExposureShare(t *testing.T) {
	read := func(share float64) (Settings, error) {
		file := filepath.Join(t.TempDir(), "local.toml")
		text := fmt.Sprintf("ip = \"10.0.0.1\"\ninternal-ports = [7000, 7009]\n[bounds]\nexposure-share = %v\n", share)
		must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		return Read(file)
	}
	s, err := read(0.05)
	must.NoError(t, err)
	must.Eq(t, 0.05, s.Bounds.ExposureShare)
	for _, share := range []float64{-0.1, 1.5} {
		_, err := read(share)
		must.ErrorContains(t, err, "bounds.exposure-share")
	}
}
