package operator

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"willowsill/decide/overload"
	"willowsill/deployment/script"
)

const (
	milli  = int64(time.Millisecond)
	second = int64(time.Second)
)

// functions are all that a script may call. Each is checked and given defaults here and nowhere else.
var functions = script.Table[Orders]{
	"shared_store": {Name: "shared_store", Help: "shares what aggregators know through a Redis server", Parameters: []*script.Parameter{
		{Name: "address", Kind: script.Address, Help: "where the store listens"},
		{Name: "database", Kind: script.Whole, Unset: int64(0), Most: 1023, Help: "its number"},
		{Name: "prefix", Kind: script.Text, Unset: "willowsill", Help: "of every key; one for each fleet"},
		{Name: "user", Kind: script.Text, Unset: "", Help: "for AUTH"},
		{Name: "password_file", Kind: script.File, Unset: "", Help: "for AUTH; read at each connection"},
		{Name: "ca_file", Kind: script.File, Unset: "", Help: "PEM; switches TLS on"},
		{Name: "server_name", Kind: script.Text, Unset: "", Help: "on the store's certificate"},
		{Name: "round", Kind: script.Span, Unset: 500 * milli, Least: 50e6, Most: 60e9, Help: "between two rounds"},
		{Name: "deadline", Kind: script.Span, Unset: 150 * milli, Least: 5e6, Most: 10e9, Help: "of one round"},
		{Name: "sample", Kind: script.Whole, Unset: int64(24), Least: 2, Most: 512, Help: "most aggregators read in a round"},
		{Name: "health", Kind: script.Truth, Unset: true, Help: "findings on replicas are told and heard"},
		{Name: "quotas", Kind: script.Truth, Unset: true, Help: "quotas are kept over all aggregators"},
	}, Order: func(o *Orders, c script.Call) error {
		s := &Store{Address: c.Text("address"), Database: int(c.Whole("database")), Prefix: c.Text("prefix"),
			User: c.Text("user"), PasswordFile: c.Text("password_file"), CAFile: c.Text("ca_file"),
			ServerName: c.Text("server_name"), Round: c.Whole("round"), Deadline: c.Whole("deadline"),
			Sample: int(c.Whole("sample")), Health: c.Truth("health"), Quotas: c.Truth("quotas")}
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
	"site": {Name: "site", Help: "names this site and opens a door for other sites' gateways", Parameters: []*script.Parameter{
		{Name: "name", Kind: script.Text, Help: "as other sites' links and certificates have it"},
		{Name: "listen", Kind: script.Address, Help: "for other sites' gateways"},
		{Name: "cert_file", Kind: script.File, Help: "PEM, for NAME.gateway; read at each handshake"},
		{Name: "key_file", Kind: script.File, Help: "PEM"},
		{Name: "key_password_file", Kind: script.File, Unset: "", Help: "where the key is locked"},
		{Name: "ca_file", Kind: script.File, Help: "PEM, of the authority of all sites"},
		{Name: "remember", Kind: script.File, Unset: "", Help: "where ids are kept over a planned restart"},
		{Name: "dark", Kind: script.Truth, Unset: false, Help: "nothing new is asked here; SIGHUP changes it"},
		{Name: "revenue", Kind: script.Shares, Unset: map[string]float64{}, Most: 1e9, Help: "of a query served within its goal, by workload; else 1"},
		{Name: "policy", Kind: script.Text, Unset: "plan", Words: []string{"plan", "all", "half"}, Help: "of what is carried; all but plan are baselines"},
		{Name: "http2", Kind: script.Truth, Unset: false, Help: "queries to one gateway share a connection"},
	}, Order: func(o *Orders, c script.Call) error {
		o.Site = &Site{c.Text("name"), c.Text("listen"), c.Text("cert_file"), c.Text("key_file"),
			c.Text("key_password_file"), c.Text("ca_file"),
			c.Text("remember"), c.Truth("dark"), c.Shares("revenue"), c.Text("policy"), c.Truth("http2")}
		return siteName(o.Site.Name, "name")
	}},
	"link": {Name: "link", Many: true, Help: "is the way to another site", Parameters: []*script.Parameter{
		{Name: "to", Kind: script.Text, Help: "the other site's name"},
		{Name: "gateways", Kind: script.Addresses, Help: "where its gateways listen"},
		{Name: "queries", Kind: script.Number, Unset: 50.0, Least: 0.1, Most: 1e6, Help: "a second, at most"},
		{Name: "bytes", Kind: script.Size, Unset: int64(1 << 20), Least: 1024, Help: "a second, at most"},
		{Name: "cost", Kind: script.Number, Unset: 0.05, Most: 1e6, Help: "of one query carried, in revenue"},
	}, Order: func(o *Orders, c script.Call) error {
		l := Link{c.Text("to"), c.List("gateways"), c.Number("queries"), c.Whole("bytes"), c.Number("cost")}
		if slices.ContainsFunc(o.Links, func(was Link) bool { return was.To == l.To }) {
			return fmt.Errorf("key %q: there is a link to %q already", "to", l.To)
		}
		o.Links = append(o.Links, l)
		return siteName(l.To, "to")
	}},
	"strain": {Name: "strain", Help: "has the process know its own strain, turn away what is worth least, and decide without waiting for the tick",
		Parameters: []*script.Parameter{
			{Name: "shed", Kind: script.Truth, Unset: true, Help: "under strain, queries worth least are turned away"},
			{Name: "at_once", Kind: script.Truth, Unset: true, Help: "rounds do not wait for the tick where they cost little"},
			{Name: "revenue", Kind: script.Shares, Unset: map[string]float64{}, Most: 1e9, Help: "of a query served within its goal, by workload; else 1"},
			{Name: "limit", Kind: script.Text, Unset: "model", Words: overload.LimitKinds, Help: "how what can be served is found; all but model are baselines"},
			{Name: "rate", Kind: script.Number, Unset: 1000.0, Least: 0.1, Most: 1e7, Help: "queries a second, for the fixed limit"},
			{Name: "lateness", Kind: script.Span, Unset: 10 * milli, Least: 1e6, Most: 1e9, Help: "of the process itself that is borne"},
			{Name: "floor", Kind: script.Number, Unset: 0.05, Most: 0.5, Help: "share of what can be served that customers are given by turns"},
		}, Order: func(o *Orders, c script.Call) error {
			o.Strain = &Strain{c.Truth("shed"), c.Truth("at_once"), c.Shares("revenue"), c.Text("limit"), c.Number("rate"),
				c.Whole("lateness"), c.Number("floor")}
			return nil
		}},
	"zones": {Name: "zones", Help: "has the process find out by few failures that a whole zone of replicas is out of its reach, and pass it over", Parameters: []*script.Parameter{
		{Name: "few", Kind: script.Whole, Unset: int64(3), Least: 2, Most: 1000, Help: "replicas of one zone that have to fail, with none of it heard between"},
	}, Order: func(o *Orders, c script.Call) error {
		o.Zones = &Zones{int(c.Whole("few"))}
		return nil
	}},
	"quota": {Name: "quota", Many: true, Help: "what one customer may ask for over all aggregators", Parameters: []*script.Parameter{
		{Name: "customer", Kind: script.Text, Help: "as its queries name it"},
		{Name: "rate", Kind: script.Number, Least: 0.001, Most: 1e7, Help: "queries a second"},
		{Name: "burst", Kind: script.Number, Unset: 0.0, Most: 1e7, Help: "queries that may be saved up"},
	}, Order: func(o *Orders, c script.Call) error {
		q := Quota{c.Text("customer"), c.Number("rate"), c.Number("burst")}
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
func (o *Orders) together(said script.Said, complain script.Complain) {
	site, isSite := said.First("site")
	link, isLink := said.First("link")
	quota, isQuota := said.First("quota")
	switch {
	case isLink && !isSite:
		complain(link, "link: site is missing")
	case isSite && !isLink:
		complain(site, "site: it has no link to another")
	case isSite && slices.ContainsFunc(o.Links, func(l Link) bool { return l.To == o.Site.Name }):
		complain(link, "link: key %q is this site", "to")
	}
	if isQuota && (o.Store == nil || !o.Store.Quotas) {
		complain(quota, "quota: nothing keeps it; shared_store with quotas = True is missing")
	}
}
