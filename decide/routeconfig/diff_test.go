package routeconfig

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestDiffOfOneName guards against a Diff that omits changes to routes which share a name.
func TestDiffOfOneName(t *testing.T) {
	read := func(routes ...string) *Configuration {
		c, err := Read([]byte(`{"revision":1,"routes":[` + strings.Join(routes, ",") + `],"services":[{"name":"s"}]}`))
		must.NoError(t, err)
		return c
	}
	route := func(name, prefix, deadline string) string {
		return `{"name":"` + name + `","host":"h","path-prefix":"` + prefix + `","deadline-ms":` + deadline + `,"target-ms":10,"service":"s"}`
	}
	before := read(route("r", "/a/", "100"), route("r", "/b/", "200"), route("moves", "/c/", "300"))
	for name, c := range map[string]struct {
		after *Configuration
		want  []string
	}{
		"nothing":              {before, nil},
		"the first's deadline": {read(route("r", "/a/", "150"), route("r", "/b/", "200"), route("moves", "/c/", "300")), []string{"route r h/a/ DeadlineMs 100 -> 150"}},
		"another prefix":       {read(route("r", "/a/", "100"), route("r", "/b/", "200"), route("moves", "/d/", "300")), []string{"route moves h/c/ Prefix /c/ -> /d/"}},
		"another name":         {read(route("r", "/a/", "100"), route("q", "/b/", "200"), route("moves", "/c/", "300")), []string{"route r h/b/ Name r -> q"}},
		"one of a name goes":   {read(route("r", "/a/", "100"), route("moves", "/c/", "300")), []string{"route r h/b/ removed"}},
	} {
		must.Eq(t, c.want, Diff(before, c.after), must.Sprint(name))
	}
	added := Diff(read(route("r", "/a/", "100")), read(route("r", "/a/", "100"), route("r", "/b/", "200")))
	must.SliceLen(t, 1, added)
	must.StrHasPrefix(t, "route r h/b/ added: ", added[0])
}
