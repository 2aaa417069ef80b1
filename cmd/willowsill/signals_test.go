package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/internal/fullpipe"
)

const (
	// childVariable is an environment variable that makes the test binary run the program as the platform starts it.
	childVariable = "WILLOWSILL_TEST_SERVE"
	// scriptVariable is an environment variable with the operator's script of such a program.
	scriptVariable = "WILLOWSILL_TEST_SCRIPT"
)

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Args = os.Args[:1]
		if script := os.Getenv(scriptVariable); script != "" {
			os.Args = append(os.Args, "serve", "--operator", script)
		}
		main()
	}
	os.Exit(m.Run())
}

// freeAddress returns an address that nobody listens on.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// startChild starts the program with a discovery address that does not answer, and waits until it serves.
func startChild(t *testing.T) (process *exec.Cmd, stderr io.ReadCloser) {
	address := freeAddress(t)
	process, stderr = launchChild(t, address)
	waitServing(t, address)
	return process, stderr
}

// newChild returns the program, to be started, with an address for its clients and a discovery address that does not answer.
func newChild(address string) *exec.Cmd {
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), childVariable+"=1", "NODE_NAME=n0", "NODE_LISTEN="+address, "NODE_DISCOVERY=127.0.0.1:1",
		"NODE_CONFIG=../../examples/config.json", "GORACE=atexit_sleep_ms=0")
	return process
}

// launchChild starts the program with an address for its clients and a discovery address that does not answer.
func launchChild(t *testing.T, address string) (process *exec.Cmd, stderr io.ReadCloser) {
	process = newChild(address)
	stderr, err := process.StderrPipe()
	must.NoError(t, err)
	must.NoError(t, process.Start())
	t.Cleanup(func() { _ = process.Process.Kill() })
	return process, stderr
}

// waitServing waits until a program serves at an address.
func waitServing(t *testing.T, address string) {
	for range 1000 {
		response, err := http.Get("http://" + address + "/healthz")
		if err == nil {
			response.Body.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the program does not serve")
}

// TestListenAddressStillHeld (FAULT): a program whose address for clients is still held when it starts waits for it, and serves.
func TestListenAddressStillHeld(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := held.Addr().String()
	process, stderr := launchChild(t, address)
	for lines := bufio.NewScanner(stderr); ; {
		if !lines.Scan() {
			t.Fatalf("the program ended: %v", process.Wait())
		}
		if strings.Contains(lines.Text(), "waiting for an address to listen on") {
			break
		}
	}
	go io.Copy(io.Discard, stderr)
	must.NoError(t, held.Close())
	waitServing(t, address)
	must.NoError(t, process.Process.Signal(syscall.SIGTERM))
	must.NoError(t, process.Wait())
}

// After SIGTERM the program must drain and exit with code 0, whatever other signals arrive meanwhile.
func TestSignalsWhileLeaving(t *testing.T) {
	process, stderr := startChild(t)
	go io.Copy(io.Discard, stderr)
	ended := make(chan error, 1)
	must.NoError(t, process.Process.Signal(syscall.SIGTERM))
	go func() { ended <- process.Wait() }()
	for {
		select {
		case err := <-ended:
			must.NoError(t, err)
			return
		case <-time.After(time.Millisecond):
			for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGPIPE} {
				_ = process.Process.Signal(s) // fails once the process has ended
			}
		}
	}
}

// The program must survive a closed reader of its log (SIGPIPE) and still shut down normally.
func TestLogReaderGone(t *testing.T) {
	process, stderr := startChild(t)
	must.NoError(t, stderr.Close())
	must.NoError(t, process.Process.Signal(syscall.SIGTERM))
	must.NoError(t, process.Wait())
}

// TestServesThoughNobodyReadsItsLog (FAULT): a program whose log nobody reads serves and ends in order. It stood still.
func TestServesThoughNobodyReadsItsLog(t *testing.T) {
	address := freeAddress(t)
	process := newChild(address)
	process.Stderr = fullpipe.New(t)
	must.NoError(t, process.Start())
	timeout := time.AfterFunc(20*time.Second, func() { process.Process.Kill() })
	defer timeout.Stop()
	waitServing(t, address)
	must.NoError(t, process.Process.Signal(syscall.SIGTERM))
	must.NoError(t, process.Wait())
}
