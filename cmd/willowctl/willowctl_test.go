package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const configuration = `{"revision": 7, "routes": [{"name":"r","host":"h&h.example","path-prefix":"/x/","route-kind":"safe","deadline-ms":1000,
"target-ms":100,"service":"s","max-tries":2}], "services": [{"name":"s"}], "limits": {}}`

// startControl starts a stand-in for a controller that serves the configuration resource. got points to the configuration that it
// holds.
func startControl(t *testing.T, held string) (address string, got *string) {
	got = &held
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/configuration/read":
			if *got == "" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			io.WriteString(w, *got)
		case "/v1/configuration/replace":
			body, _ := io.ReadAll(r.Body)
			*got = string(body)
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), got
}

func run(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = execute(args, &o, &e)
	return code, o.String(), e.String()
}

// TestSnapshot: a saved snapshot can be restored in a system without a configuration, and in no other; verify reports each kind of
// change to the file.
func TestSnapshot(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.json")
	running, held := startControl(t, configuration)
	empty, restored := startControl(t, "")
	code, out, errs := run("-control", running, "snapshot", "save", file)
	must.Eq(t, 0, code, must.Sprint(errs))
	must.StrContains(t, out, "revision 7")
	code, out, _ = run("-json", "snapshot", "verify", file)
	must.Eq(t, 0, code)
	must.StrContains(t, out, `"revision":7`)
	code, _, errs = run("-control", running, "snapshot", "restore", file)
	must.Eq(t, 2, code)
	must.StrContains(t, errs, "has a configuration already")
	must.Eq(t, configuration, *held)
	code, _, errs = run("-control", empty, "snapshot", "restore", file)
	must.Eq(t, 0, code, must.Sprint(errs))
	must.StrContains(t, *restored, `"host":"h&h.example"`)
	text, err := os.ReadFile(file)
	must.NoError(t, err)
	for name, c := range map[string]struct{ was, is, says string }{
		"another route":  {`"/x/"`, `"/y/"`, `key "configuration" is not what was saved`},
		"a later format": {`"format":1`, `"format":2`, `key "format" is 2`},
		"another file":   {`willowsill-snapshot`, `something`, `key "kind"`},
		"another number": {`"revision":7,"sha256"`, `"revision":8,"sha256"`, `key "revision" is 8`},
		"cut short":      {`}`, ``, "no snapshot"},
	} {
		t.Run(name, func(t *testing.T) {
			must.StrContains(t, string(text), c.was)
			other := filepath.Join(t.TempDir(), "b.json")
			must.NoError(t, os.WriteFile(other, []byte(strings.Replace(string(text), c.was, c.is, 1)), 0o600))
			code, _, errs := run("snapshot", "verify", other)
			must.Eq(t, 2, code)
			must.StrContains(t, errs, c.says)
		})
	}
}

// TestWrongCalls: wrong arguments and missing files make the program fail with the usage text or a message that names the fault.
func TestWrongCalls(t *testing.T) {
	for _, c := range []struct {
		args []string
		says string
	}{
		{nil, "willowctl is the operators' client"},
		{[]string{"fly"}, "willowctl is the operators' client"},
		{[]string{"snapshot", "save"}, "willowctl is the operators' client"},
		{[]string{"snapshot", "burn", "x"}, "none of save, verify and restore"},
		{[]string{"snapshot", "verify", "/nowhere"}, "/nowhere"},
		{[]string{"-revision", "x", "send", "/nowhere"}, "/nowhere"},
	} {
		code, _, errs := run(c.args...)
		must.Positive(t, code, must.Sprint(c.args))
		must.StrContains(t, errs, c.says)
	}
}

// TestRollout: begin sends the request as given, watch prints each step once and ends with the rollout, and wrong arguments fail
// with exit code 2.
func TestRollout(t *testing.T) {
	var order string
	steps := []string{`"phase":"active","stage":"canary","step":1`, `"phase":"active","stage":"canary","step":1`, `"phase":"reverted","stage":"reverted","step":2,"reason":"fails more"`}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		step := slices.Concat(steps, []string{""})[0]
		switch r.URL.Path {
		case "/v1/rollouts/begin":
			body, _ := io.ReadAll(r.Body)
			order = string(body)
		case "/v1/rollouts/s/read":
			steps = steps[1:]
		case "/v1/rollouts/history":
			io.WriteString(w, `{"rollouts":[{"number":3,"service":"s","phase":"complete"}]}`)
			return
		default:
			w.WriteHeader(http.StatusNotFound)
			return
		}
		io.WriteString(w, `{"number":3,"service":"s","target-revision":"v2",`+step+`}`)
	}))
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	code, out, errs := run("-control", address, "-over", "90s", "rollout", "begin", "s", "v2")
	must.Eq(t, 0, code, must.Sprint(errs))
	must.Eq(t, `{"service":"s","target-revision":"v2","over-s":90}`, order)
	must.StrContains(t, out, "rollout 3 of s to v2 is active, stage canary")
	code, out, errs = run("-control", address, "rollout", "watch", "s")
	must.Eq(t, 0, code, must.Sprint(errs))
	must.Eq(t, 2, strings.Count(out, "\n"), must.Sprint(out))
	must.StrContains(t, out, "is reverted; 0s of 0s: fails more")
	code, out, _ = run("-control", address, "-json", "rollout", "history")
	must.Eq(t, 0, code)
	must.StrContains(t, out, `"number":3`)
	code, _, _ = run("-control", address, "rollout", "abort", "other")
	must.Eq(t, 1, code)
	for _, args := range [][]string{{"rollout"}, {"rollout", "begin", "s"}, {"rollout", "begin", "s", "v2"}, {"rollout", "stop", "s"}} {
		code, _, _ = run(append([]string{"-control", address}, args...)...)
		must.Eq(t, 2, code, must.Sprint(args))
	}
}
