//go:build !platform

package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/standin/certificates"
)

// fileAway is how long a file that the program needs is missing, longer than the program once waited.
const fileAway = 3 * time.Second

// mustServeOnceFileIsThere starts a program while one of the files that it needs is away, puts the file back, and expects the program to
// serve and to end in order.
func mustServeOnceFileIsThere(t *testing.T, process *exec.Cmd, address, file string) {
	t.Helper()
	must.NoError(t, os.Rename(file, file+".away"))
	must.NoError(t, process.Start())
	t.Cleanup(func() { _ = process.Process.Kill() })
	time.Sleep(fileAway)
	must.NoError(t, os.Rename(file+".away", file))
	waitServing(t, address)
	must.NoError(t, process.Process.Signal(syscall.SIGTERM))
	must.NoError(t, process.Wait())
}

// TestConfigurationWrittenLate (FAULT): the program waits for a configuration file that comes seconds after its start. It ended at each
// of its starts.
func TestConfigurationWrittenLate(t *testing.T) {
	text, err := os.ReadFile("../../examples/config.json")
	must.NoError(t, err)
	file := filepath.Join(t.TempDir(), "config.json")
	must.NoError(t, os.WriteFile(file, text, 0o600))
	address := freeAddress(t)
	process := newChild(address)
	process.Env = append(process.Env, "NODE_CONFIG="+file)
	mustServeOnceFileIsThere(t, process, address, file)
}

// writeSite writes a script of a site with a gateway, and the files that it names.
func writeSite(t *testing.T) (script string, files []string) {
	dir := t.TempDir()
	authority, err := certificates.New(dir)
	must.NoError(t, err)
	cert, key, err := authority.Issue("east", "east.gateway", time.Now().Add(time.Hour))
	must.NoError(t, err)
	script = filepath.Join(dir, "site.star")
	must.NoError(t, os.WriteFile(script, fmt.Appendf(nil, "site(name = \"east\", listen = %q, cert_file = %q, key_file = %q, ca_file = %q)\n"+
		"link(to = \"west\", gateways = [\"127.0.0.1:1\"], queries = 80, bytes = \"2MiB\", cost = 0.1)\n", freeAddress(t), cert, key, authority.CertFile), 0o600))
	return script, []string{cert, key, authority.CertFile}
}

// TestGatewayFilesWrittenLate (FAULT): the program waits for a file of its gateway that comes seconds after its start, as where
// certificates are replaced. It ended at each of its starts.
func TestGatewayFilesWrittenLate(t *testing.T) {
	script, files := writeSite(t)
	for _, file := range append(files, script) {
		t.Run(filepath.Base(file), func(t *testing.T) {
			address := freeAddress(t)
			process := newChild(address)
			process.Env = append(process.Env, scriptVariable+"="+script)
			mustServeOnceFileIsThere(t, process, address, file)
		})
	}
}

// TestGatewayWaitsForItsIDs (TWICE): the program waits for a file of query IDs that the system refuses to read, and does not serve
// without them.
func TestGatewayWaitsForItsIDs(t *testing.T) {
	script, _ := writeSite(t)
	ids := filepath.Join(t.TempDir(), "east.ids")
	text, err := os.ReadFile(script)
	must.NoError(t, err)
	text = bytes.Replace(text, []byte("site("), fmt.Appendf(nil, "site(remember = %q, ", ids), 1)
	must.NoError(t, os.WriteFile(script, text, 0o600))
	must.NoError(t, os.Mkdir(ids, 0o700)) // a folder in place of the file makes each read fail
	address := freeAddress(t)
	process := newChild(address)
	process.Env = append(process.Env, scriptVariable+"="+script)
	must.NoError(t, process.Start())
	t.Cleanup(func() { _ = process.Process.Kill() })
	time.Sleep(fileAway)
	_, err = net.Dial("tcp", address)
	must.Error(t, err)
	must.NoError(t, os.Remove(ids))
	waitServing(t, address)
	must.NoError(t, process.Process.Signal(syscall.SIGTERM))
	must.NoError(t, process.Wait())
}
