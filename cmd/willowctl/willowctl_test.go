package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const configuration = `{"revision": 7, "routes": [{"name":"r","host":"h&h.example","path-prefix":"/x/","route-kind":"safe","deadline-ms":1000,
"target-ms":100,"service":"s","max-tries":2}], "services": [{"name":"s"}], "limits": {}}`

// control is a stand-in for a controller's resource of the configuration.
func control(t *testing.T, held string) (address string, got *string) {
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
	code = start(args, &o, &e)
	return code, o.String(), e.String()
}

// TestSnapshot: what was saved comes back whole in an empty system, and in no other; what was changed on the way is told.
func TestSnapshot(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.json")
	lives, held := control(t, configuration)
	empty, came := control(t, "")
	code, out, errs := run("-control", lives, "snapshot", "save", file)
	must.Eq(t, 0, code, must.Sprint(errs))
	must.StrContains(t, out, "revision 7")
	code, out, _ = run("-json", "snapshot", "verify", file)
	must.Eq(t, 0, code)
	must.StrContains(t, out, `"revision":7`)
	code, _, errs = run("-control", lives, "snapshot", "restore", file)
	must.Eq(t, 2, code)
	must.StrContains(t, errs, "has a configuration already")
	must.Eq(t, configuration, *held)
	code, _, errs = run("-control", empty, "snapshot", "restore", file)
	must.Eq(t, 0, code, must.Sprint(errs))
	must.StrContains(t, *came, `"host":"h&h.example"`)
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

// TestWrongCalls: what is the caller's to mend ends with 2 and says what it is.
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
