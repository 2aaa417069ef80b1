package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/deployment/settings"
	"willowsill/transport/logs"
	_ "willowsill/transport/signals/early"
)

// childVariable in the environment makes the test binary run as a daemon that drains slowly.
const childVariable = "WILLOWSILL_TEST_DAEMON"

const validSettings = `
node-name = "n1"
role = "front"
ip = "127.0.0.1"
zone = "z"
internal-ports = [9100, 9110]
data-dir = "/data"
`

// slowStartVariable in the environment makes a child print a line before its main function runs, and wait for a byte of its input.
const slowStartVariable = "WILLOWSILL_TEST_SLOW_START"

// initialized is set before main runs, like the variables of the packages that a daemon imports.
var initialized = waitForInput()

func waitForInput() bool {
	if os.Getenv(slowStartVariable) != "" {
		fmt.Println("initializing")
		os.Stdin.Read(make([]byte, 1))
	}
	return true
}

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(Run(Program{Name: "test", Purpose: "leaves slowly", Required: []settings.Key{settings.KeyDataDir}, Start: startDrain}, nil))
	}
	os.Exit(m.Run())
}

// startDrain returns drainSlowly.
func startDrain(context.Context, settings.Settings) (Serve, error) { return drainSlowly, nil }

// drainSlowly prints a line when it is ready and one when ctx has ended. Then it answers each line of its
// input, like a draining process that still answers queries, and returns at the end of the input.
func drainSlowly(ctx context.Context) {
	fmt.Println("ready")
	<-ctx.Done()
	fmt.Println("leaving")
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		fmt.Println("answer to", lines.Text())
	}
	fmt.Println("left")
}

// reloaded is the log line of the daemon after it has read its settings again.
const reloaded = "the settings file was read again"

// childTimeout bounds the time of a child process for its whole test; afterwards it is killed.
const childTimeout = 30 * time.Second

// child is a daemon in a separate process.
type child struct {
	t       *testing.T
	process *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Scanner
	logs    *bufio.Scanner
}

func startChild(t *testing.T, settingsFile string, environment ...string) *child {
	c := &child{t: t, process: exec.Command(os.Args[0])}
	c.process.Env = append(os.Environ(), childVariable+"=1", settings.FileVariable+"="+settingsFile,
		"GORACE=atexit_sleep_ms=0") // otherwise the race detector waits a second at each exit
	c.process.Env = append(c.process.Env, environment...)
	var err error
	c.input, err = c.process.StdinPipe()
	must.NoError(t, err)
	output, err := c.process.StdoutPipe()
	must.NoError(t, err)
	c.output = bufio.NewScanner(output)
	logs, err := c.process.StderrPipe()
	must.NoError(t, err)
	c.logs = bufio.NewScanner(logs)
	// A signal that the parent ignores, as with nohup and SIGHUP, stays ignored in the child, which would then
	// survive it without a handler of its own. Signals that this process handles have their default action in the
	// child.
	handled := make(chan os.Signal, 1)
	signal.Notify(handled, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(handled)
	must.NoError(t, c.process.Start())
	killTimer := time.AfterFunc(childTimeout, func() { _ = c.process.Process.Kill() })
	t.Cleanup(func() {
		killTimer.Stop()
		_ = c.process.Process.Kill()
	})
	return c
}

func (c *child) signal(signals ...syscall.Signal) {
	c.t.Helper()
	for _, s := range signals {
		must.NoError(c.t, c.process.Process.Signal(s), must.Sprintf("signal %s", s))
	}
}

func (c *child) expect(line string) {
	c.t.Helper()
	if !c.output.Scan() {
		c.t.Fatalf("the daemon ended (%v) before it printed %q", c.process.Wait(), line)
	}
	must.Eq(c.t, line, c.output.Text())
}

// expectLog reads the daemon's log up to a line that contains the text.
func (c *child) expectLog(text string) {
	c.t.Helper()
	for c.logs.Scan() {
		if strings.Contains(c.logs.Text(), text) {
			return
		}
	}
	c.t.Fatalf("the daemon ended (%v) before it logged %q", c.process.Wait(), text)
}

// expectOrderlyEnd closes the daemon's input and expects it to exit with code 0.
func (c *child) expectOrderlyEnd() {
	c.t.Helper()
	must.NoError(c.t, c.input.Close())
	c.expect("left")
	must.NoError(c.t, c.process.Wait())
}

func settingsFile(t *testing.T) string {
	file := filepath.Join(t.TempDir(), "local.toml")
	must.NoError(t, os.WriteFile(file, []byte(validSettings), 0o600))
	return file
}

// TestSignalsWhileLeaving: a draining daemon still has queries to answer. No signal that a rolling restart or a
// change of the settings may send again ends it before they are answered.
func TestSignalsWhileLeaving(t *testing.T) {
	for _, again := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGPIPE} {
		t.Run(again.String(), func(t *testing.T) {
			c := startChild(t, settingsFile(t))
			c.expect("ready")
			c.signal(syscall.SIGTERM)
			c.expect("leaving")
			// An answer shows that the daemon survived the signals sent before it. Several rounds are needed because the
			// daemon handles the first SIGTERM concurrently.
			for round := range 20 {
				c.signal(again)
				if again == syscall.SIGHUP { // a busy machine may deliver SIGHUP late, so wait until it was handled
					c.expectLog(reloaded)
				}
				_, err := fmt.Fprintln(c.input, round)
				must.NoError(t, err)
				c.expect(fmt.Sprint("answer to ", round))
			}
			c.expectOrderlyEnd()
		})
	}
}

// startInitializing starts a daemon, sends it a signal while its packages are initialized, and lets it go on.
func startInitializing(t *testing.T, early syscall.Signal) *child {
	c := startChild(t, settingsFile(t), slowStartVariable+"=1")
	c.expect("initializing")
	c.signal(early)
	c.input.Write([]byte("\n")) // fails if the daemon has ended
	return c
}

// TestSignalsBeforeMain (FAULT): SIGHUP while the packages of a daemon are initialized does not end it. It reads its settings afterwards,
// and again at the next SIGHUP.
func TestSignalsBeforeMain(t *testing.T) {
	must.True(t, initialized)
	c := startInitializing(t, syscall.SIGHUP)
	c.expect("ready")
	c.signal(syscall.SIGHUP)
	c.expectLog(reloaded)
	c.signal(syscall.SIGTERM)
	c.expect("leaving")
	c.expectOrderlyEnd()
}

// TestStopBeforeMain: a daemon that is stopped while its packages are initialized ends by the signal. It has not begun anything.
func TestStopBeforeMain(t *testing.T) {
	for _, early := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		t.Run(early.String(), func(t *testing.T) {
			c := startInitializing(t, early)
			must.False(t, c.output.Scan())
			must.ErrorContains(t, c.process.Wait(), "signal: "+early.String())
		})
	}
}

// TestReloadDuringStart: SIGHUP during the first read of the settings does not end the daemon.
func TestReloadDuringStart(t *testing.T) {
	fifo := filepath.Join(t.TempDir(), "local.toml")
	must.NoError(t, syscall.Mkfifo(fifo, 0o600))
	c := startChild(t, fifo)
	text, err := os.OpenFile(fifo, os.O_WRONLY, 0) // returns once the daemon has opened the file
	must.NoError(t, err)
	c.signal(syscall.SIGHUP)
	must.NoError(t, os.Remove(fifo))
	must.NoError(t, os.WriteFile(fifo, []byte(validSettings), 0o600)) // the file that the reload reads
	_, err = io.Copy(text, strings.NewReader(validSettings))
	must.NoError(t, err)
	must.NoError(t, text.Close())
	c.expect("ready")
	c.expectLog(reloaded)
	c.signal(syscall.SIGTERM)
	c.expect("leaving")
	c.expectOrderlyEnd()
}

// TestSettingsBeingWritten (FAULT): a daemon that starts while the platform writes its settings file reads it again until it is
// whole.
func TestSettingsBeingWritten(t *testing.T) {
	for name, text := range map[string]string{"missing": "", "empty": " ", "half": validSettings[:len(validSettings)/2],
		"without a line": strings.Replace(validSettings, "data-dir = \"/data\"\n", "", 1)} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "local.toml")
			if text != "" {
				must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
			}
			c := startChild(t, file)
			c.expectLog("waiting for the settings")
			must.NoError(t, os.WriteFile(file, []byte(validSettings), 0o600))
			c.expect("ready")
			c.signal(syscall.SIGTERM)
			c.expect("leaving")
			c.expectOrderlyEnd()
		})
	}
}

// TestSettingsCorrectedWhileStarting (FAULT): a program that waits for what its settings name starts anew with the settings that are
// written meanwhile. It would have waited without an end.
func TestSettingsCorrectedWhileStarting(t *testing.T) {
	const wrongName = "wrong"
	file := settingsFile(t)
	must.NoError(t, os.WriteFile(file, []byte(strings.Replace(validSettings, "n1", wrongName, 1)), 0o600))
	ctx, cancel := context.WithTimeout(t.Context(), childTimeout)
	defer cancel()
	var started []string
	program := Program{Name: "test", Start: func(starting context.Context, s settings.Settings) (Serve, error) {
		started = append(started, s.Name)
		if s.Name != wrongName {
			return func(context.Context) {}, nil
		}
		must.NoError(t, os.WriteFile(file, []byte(validSettings), 0o600))
		<-starting.Done()
		return nil, starting.Err()
	}}
	log := logs.Open()
	defer log.Sync()
	serve, err := (&starter{program: program, file: file, log: log}).run(ctx)
	must.NoError(t, err)
	must.NotNil(t, serve)
	must.Eq(t, []string{wrongName, "n1"}, started)
}

// TestStopWhileSettingsAreAwaited: a daemon that is stopped while it waits for its settings ends in order.
func TestStopWhileSettingsAreAwaited(t *testing.T) {
	c := startChild(t, filepath.Join(t.TempDir(), "local.toml"))
	c.expectLog("waiting for the settings")
	c.signal(syscall.SIGTERM)
	must.NoError(t, c.process.Wait())
}

// TestCoresOfTheSettings (FAULT): no more threads run Go code at the same time than the settings give cores, however many the host has.
func TestCoresOfTheSettings(t *testing.T) {
	before := runtime.GOMAXPROCS(4)
	defer runtime.GOMAXPROCS(before)
	for _, row := range []struct {
		cores settings.Figure
		want  int
	}{{0, 4}, {8, 4}, {2.5, 3}, {1, 1}} {
		applyLimits(settings.Limits{CoreCount: row.cores})
		must.Eq(t, row.want, runtime.GOMAXPROCS(0))
	}
}

// TestMetricsEndpoint: the endpoint for metrics comes from the arguments, or else from the settings. Anything
// but PORT/PATH ends the start with exit code 2.
func TestMetricsEndpoint(t *testing.T) {
	endpoint := ""
	record := func(_ context.Context, s settings.Settings) (Serve, error) {
		endpoint = s.Metrics
		return func(context.Context) {}, nil
	}
	t.Setenv(settings.FileVariable, settingsFile(t))
	program := Program{Name: "test", Purpose: "notes", Start: record}
	must.Zero(t, Run(program, []string{"--metrics", "9464/metrics"}))
	must.Eq(t, "9464/metrics", endpoint)
	must.Zero(t, Run(program, nil))
	must.Eq(t, "", endpoint)
	must.Eq(t, 2, Run(program, []string{"--metrics", "metrics"}))
}
