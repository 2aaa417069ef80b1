package agentserver

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/clusterstate"
	"willowsill/deployment/settings"
)

// TestSeedsThatComeLater (FAULT): an agent that was started with an empty list of seeds finds a controller once the settings file names one.
func TestSeedsThatComeLater(t *testing.T) {
	file := filepath.Join(t.TempDir(), "local.toml")
	write := func(seeds string) {
		must.NoError(t, os.WriteFile(file, []byte("ip = \"10.0.0.9\"\ninternal-ports = [7000, 7009]\nseed-nodes = "+seeds+"\n"), 0o600))
	}
	write("[]")
	local, err := settings.Read(file)
	must.NoError(t, err)
	s := &Server{settings: local, state: clusterstate.NewState()}
	must.SliceEmpty(t, s.upstreamAddresses())
	write(`["10.0.0.1:8047"]`)
	must.Eq(t, []string{"10.0.0.1:7001"}, s.upstreamAddresses())
	must.NoError(t, os.Remove(file))
	must.Eq(t, []string{"10.0.0.1:7001"}, s.upstreamAddresses())
}
