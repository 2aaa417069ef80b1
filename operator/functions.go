package operator

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// kind is the type of a value.
type kind uint8

const (
	text kind = iota
	file
	address // HOST:PORT
	truth
	whole
	number
	span // a time: "250ms"
	size // bytes: "64MiB"
	addresses
	shares // numbers, by name
)

var kinds = [...]string{"a string", "a file's path", "an address HOST:PORT", "True or False", "a whole number",
	"a number", `a time such as "250ms"`, `a size such as "64MiB"`,
	"a list of addresses HOST:PORT", "a dictionary of numbers by name"}

// parameter is one key of a function. Least and most are in the value's own unit: ns, bytes or as written.
type parameter struct {
	name        string
	kind        kind
	unset       any // where it is left out; nil where it must be there
	least, most float64
	words       []string // that a text may be; nil for any
	help        string
}

// function is one that a script may call.
type function struct {
	name       string
	help       string
	many       bool // it may be called more than once
	parameters []*parameter
	order      func(*Orders, call) error
}

// call is one call of the script, checked.
type call struct {
	function *function
	at       syntax.Position
	values   map[string]any
	given    map[string]bool
}

func (c call) text(key string) string    { return c.values[key].(string) }
func (c call) truth(key string) bool     { return c.values[key].(bool) }
func (c call) whole(key string) int64    { return c.values[key].(int64) }
func (c call) number(key string) float64 { return c.values[key].(float64) }
func (c call) shares(key string) map[string]float64 {
	return c.values[key].(map[string]float64)
}
func (c call) list(key string) []string { return c.values[key].([]string) }

// tried tells whether the script named the key, be it with a wrong value.
func (c call) tried(named []starlark.Tuple, key string) bool {
	return slices.ContainsFunc(named, func(t starlark.Tuple) bool { return string(t[0].(starlark.String)) == key })
}

type table map[string]*function

func (t table) names() []string { return slices.Sorted(maps.Keys(t)) }

func (f *function) parameter(key string) *parameter {
	i := slices.IndexFunc(f.parameters, func(p *parameter) bool { return p.name == key })
	if i < 0 {
		return nil
	}
	return f.parameters[i]
}

func (f *function) keys() (keys []string) {
	for _, p := range f.parameters {
		keys = append(keys, p.name)
	}
	return keys
}

const (
	milli  = int64(time.Millisecond)
	second = int64(time.Second)
)

// functions are all that a script may call. Each is checked and given defaults here and nowhere else.
var functions = table{
	"shared_store": {name: "shared_store", help: "shares what aggregators know through a Redis server", parameters: []*parameter{
		{name: "address", kind: address, help: "where the store listens"},
		{name: "database", kind: whole, unset: int64(0), most: 1023, help: "its number"},
		{name: "prefix", kind: text, unset: "willowsill", help: "of every key; one for each fleet"},
		{name: "user", kind: text, unset: "", help: "for AUTH"},
		{name: "password_file", kind: file, unset: "", help: "for AUTH; read at each connection"},
		{name: "ca_file", kind: file, unset: "", help: "PEM; switches TLS on"},
		{name: "server_name", kind: text, unset: "", help: "on the store's certificate"},
		{name: "round", kind: span, unset: 500 * milli, least: 50e6, most: 60e9, help: "between two rounds"},
		{name: "deadline", kind: span, unset: 150 * milli, least: 5e6, most: 10e9, help: "of one round"},
		{name: "sample", kind: whole, unset: int64(24), least: 2, most: 512, help: "most aggregators read in a round"},
		{name: "health", kind: truth, unset: true, help: "findings on replicas are told and heard"},
		{name: "quotas", kind: truth, unset: true, help: "quotas are kept over all aggregators"},
	}, order: func(o *Orders, c call) error {
		s := &Store{Address: c.text("address"), Database: int(c.whole("database")), Prefix: c.text("prefix"),
			User: c.text("user"), PasswordFile: c.text("password_file"), CAFile: c.text("ca_file"),
			ServerName: c.text("server_name"), Round: c.whole("round"), Deadline: c.whole("deadline"),
			Sample: int(c.whole("sample")), Health: c.truth("health"), Quotas: c.truth("quotas")}
		o.Store = s
		switch {
		case s.Deadline > s.Round:
			return errors.New(`key "deadline" is longer than the round`)
		case s.Prefix == "" || strings.ContainsAny(s.Prefix, " \r\n{}*?["):
			return errors.New(`key "prefix" is empty or has signs that patterns use`)
		case s.User != "" && s.PasswordFile == "":
			return errors.New(`key "user" needs "password_file"`)
		}
		return nil
	}},
	"site": {name: "site", help: "names this site and opens a door for other sites' gateways", parameters: []*parameter{
		{name: "name", kind: text, help: "as other sites' links and certificates have it"},
		{name: "listen", kind: address, help: "for other sites' gateways"},
		{name: "cert_file", kind: file, help: "PEM, for NAME.gateway; read at each handshake"},
		{name: "key_file", kind: file, help: "PEM"},
		{name: "key_password_file", kind: file, unset: "", help: "where the key is locked"},
		{name: "ca_file", kind: file, help: "PEM, of the authority of all sites"},
		{name: "remember", kind: file, unset: "", help: "where ids are kept over a planned restart"},
		{name: "dark", kind: truth, unset: false, help: "nothing new is asked here; SIGHUP changes it"},
		{name: "revenue", kind: shares, unset: map[string]float64{}, most: 1e9, help: "of a query served within its goal, by workload; else 1"},
		{name: "policy", kind: text, unset: "plan", words: []string{"plan", "all", "half"}, help: "of what is carried; all but plan are baselines"},
		{name: "http2", kind: truth, unset: false, help: "queries to one gateway share a connection"},
	}, order: func(o *Orders, c call) error {
		o.Site = &Site{c.text("name"), c.text("listen"), c.text("cert_file"), c.text("key_file"),
			c.text("key_password_file"), c.text("ca_file"),
			c.text("remember"), c.truth("dark"), c.shares("revenue"), c.text("policy"), c.truth("http2")}
		return siteName(o.Site.Name, "name")
	}},
	"link": {name: "link", many: true, help: "is the way to another site", parameters: []*parameter{
		{name: "to", kind: text, help: "the other site's name"},
		{name: "gateways", kind: addresses, help: "where its gateways listen"},
		{name: "queries", kind: number, unset: 50.0, least: 0.1, most: 1e6, help: "a second, at most"},
		{name: "bytes", kind: size, unset: int64(1 << 20), least: 1024, help: "a second, at most"},
		{name: "cost", kind: number, unset: 0.05, most: 1e6, help: "of one query carried, in revenue"},
	}, order: func(o *Orders, c call) error {
		l := Link{c.text("to"), c.list("gateways"), c.number("queries"), c.whole("bytes"), c.number("cost")}
		if slices.ContainsFunc(o.Links, func(was Link) bool { return was.To == l.To }) {
			return fmt.Errorf("key %q: there is a link to %q already", "to", l.To)
		}
		o.Links = append(o.Links, l)
		return siteName(l.To, "to")
	}},
	"quota": {name: "quota", many: true, help: "what one customer may ask for over all aggregators", parameters: []*parameter{
		{name: "customer", kind: text, help: "as its queries name it"},
		{name: "rate", kind: number, least: 0.001, most: 1e7, help: "queries a second"},
		{name: "burst", kind: number, unset: 0.0, most: 1e7, help: "queries that may be saved up"},
	}, order: func(o *Orders, c call) error {
		q := Quota{c.text("customer"), c.number("rate"), c.number("burst")}
		if q.Customer == "" {
			return errors.New(`key "customer" is empty`)
		}
		if slices.ContainsFunc(o.Quotas, func(was Quota) bool { return was.Customer == q.Customer }) {
			return fmt.Errorf("key %q: %q has a quota already", "customer", q.Customer)
		}
		o.Quotas = append(o.Quotas, q)
		return nil
	}},
}

// siteName checks a site's name, which stands in certificates and headers.
func siteName(name, key string) error {
	if name == "" || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		return fmt.Errorf("key %q: %q is not made of a to z, digits and hyphens", key, name)
	}
	return nil
}

// together checks what no function can check alone.
func (r *reader) together() {
	o := r.orders
	site, isSite := r.once["site"]
	link, isLink := r.once["link"]
	switch {
	case len(r.faults) > 0:
	case isLink && !isSite:
		r.complain(link, "link: site is missing")
	case isSite && !isLink:
		r.complain(site, "site: it has no link to another")
	case isSite && slices.ContainsFunc(o.Links, func(l Link) bool { return l.To == o.Site.Name }):
		r.complain(link, "link: key %q is this site", "to")
	}
	if at, there := r.once["quota"]; there && (o.Store == nil || !o.Store.Quotas) && len(r.faults) == 0 {
		r.complain(at, "quota: nothing keeps it; shared_store with quotas = True is missing")
	}
}

// read turns a value of the script into one of its kind.
func (p *parameter) read(v starlark.Value) (any, error) {
	wrong := fmt.Errorf("is %s, not %s", v.Type(), kinds[p.kind])
	s, isText := starlark.AsString(v)
	switch p.kind {
	case text, file:
		if !isText {
			return nil, wrong
		}
		if p.words != nil && !slices.Contains(p.words, s) {
			return nil, fmt.Errorf("is %q, not one of %s", s, strings.Join(p.words, ", "))
		}
		return s, nil
	case address:
		if !isText {
			return nil, wrong
		}
		if !isAddress(s) {
			return nil, fmt.Errorf("is %q, not %s", s, kinds[p.kind])
		}
		return s, nil
	case addresses:
		list, ok := v.(*starlark.List)
		if !ok || list.Len() == 0 {
			return nil, wrong
		}
		var all []string
		for one := range list.Elements() {
			s, isText := starlark.AsString(one)
			if !isText || !isAddress(s) || slices.Contains(all, s) {
				return nil, fmt.Errorf("has %v, no address HOST:PORT or one that stands twice", one)
			}
			all = append(all, s)
		}
		return all, nil
	case shares:
		d, ok := v.(*starlark.Dict)
		if !ok {
			return nil, wrong
		}
		all := map[string]float64{}
		for _, pair := range d.Items() {
			name, isText := starlark.AsString(pair[0])
			x, isNumber := starlark.AsFloat(pair[1])
			if !isText || !isNumber || math.IsNaN(x) {
				return nil, fmt.Errorf("has %v: %v, not a number by name", pair[0], pair[1])
			}
			if err := p.within(x, pair[1].String()); err != nil {
				return nil, fmt.Errorf("at %q %w", name, err)
			}
			all[name] = x
		}
		return all, nil
	case truth:
		b, ok := v.(starlark.Bool)
		if !ok {
			return nil, wrong
		}
		return bool(b), nil
	case whole:
		n, err := starlark.AsInt32(v)
		if _, isInt := v.(starlark.Int); !isInt || err != nil {
			return nil, wrong
		}
		return int64(n), p.within(float64(n), strconv.Itoa(n))
	case number:
		x, ok := starlark.AsFloat(v)
		if !ok || math.IsNaN(x) {
			return nil, wrong
		}
		return x, p.within(x, v.String())
	case span:
		if !isText {
			return nil, wrong
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			return nil, fmt.Errorf("is %q, not %s", s, kinds[p.kind])
		}
		return int64(d), p.within(float64(d), s)
	default:
		if !isText {
			return nil, wrong
		}
		n, err := bytes(s)
		if err != nil {
			return nil, err
		}
		return n, p.within(float64(n), s)
	}
}

func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	n, e := strconv.Atoi(port)
	return err == nil && e == nil && n >= 1 && n <= 65535 && host != ""
}

// within checks the limits of a value.
func (p *parameter) within(x float64, as string) error {
	if x < p.least || p.most > 0 && x > p.most {
		return fmt.Errorf("is %s, outside %s to %s", as, p.written(p.least), p.written(p.most))
	}
	return nil
}

// written is a value as a script would have it.
func (p *parameter) written(v any) string {
	if f, ok := v.(float64); ok && (p.kind == span || p.kind == whole || p.kind == size) {
		v = int64(f)
	}
	switch v := v.(type) {
	case int64:
		if p.kind == span {
			return strconv.Quote(time.Duration(v).String())
		}
		return strconv.FormatInt(v, 10)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case bool:
		if v {
			return "True"
		}
		return "False"
	case string:
		return strconv.Quote(v)
	case map[string]float64:
		var all []string
		for _, name := range slices.Sorted(maps.Keys(v)) {
			all = append(all, fmt.Sprintf("%q: %s", name, p.written(v[name])))
		}
		return "{" + strings.Join(all, ", ") + "}"
	case []string:
		quoted := make([]string, len(v))
		for i, s := range v {
			quoted[i] = strconv.Quote(s)
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	}
	return "none"
}

var units = []struct {
	name string
	n    int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// bytes reads a size.
func bytes(s string) (int64, error) {
	for _, u := range units {
		if rest, found := strings.CutSuffix(s, u.name); found {
			if n, err := strconv.ParseInt(rest, 10, 40); err == nil && n >= 0 && n <= math.MaxInt64/u.n {
				return n * u.n, nil
			}
		}
	}
	return 0, fmt.Errorf("is %q, not %s", s, kinds[size])
}

// Line is one value that holds.
type Line struct {
	Function string `json:"function"`
	Key      string `json:"key"`
	Value    string `json:"value"`
	Default  bool   `json:"default"`
	Help     string `json:"help"`
	Where    string `json:"where"`
}

// Explain tells all that holds, in the order of the script; what was left out is marked as default.
func (o *Orders) Explain() (lines []Line) {
	for _, c := range o.said {
		for _, p := range c.function.parameters {
			lines = append(lines, Line{c.function.name, p.name, p.written(c.values[p.name]), !c.given[p.name], p.help,
				c.at.String()})
		}
	}
	return lines
}

// Off names the functions that the script did not call.
func (o *Orders) Off() (names []string) {
	for _, name := range functions.names() {
		if !slices.ContainsFunc(o.said, func(c call) bool { return c.function.name == name }) {
			names = append(names, name)
		}
	}
	return names
}

// Help describes a function and its keys; false where there is none of that name.
func Help(name string) (string, bool) {
	f := functions[name]
	if f == nil {
		return "", false
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n", f.name, f.help)
	for _, p := range f.parameters {
		state := "required"
		if p.unset != nil {
			state = "default " + p.written(p.unset)
		}
		fmt.Fprintf(&b, "  %-14s %s: %s (%s)\n", p.name, kinds[p.kind], p.help, state)
	}
	return b.String(), true
}

// Names are the functions that a script may call.
func Names() []string { return functions.names() }
