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
	millisecond = int64(time.Millisecond)
	second      = int64(time.Second)
)

// functions are the functions that a script may call, with the checks and defaults of their parameters.
var functions = script.FunctionTable[Settings]{
	"shared_store": {Name: "shared_store", Help: "shares what aggregators know through a Redis server", Parameters: []*script.Parameter{
		{Name: "address", Kind: script.Address, Help: "where the store listens"},
		{Name: "database", Kind: script.Int, Default: int64(0), Max: 1023, Help: "its number"},
		{Name: "prefix", Kind: script.Text, Default: "willowsill", Help: "of every key; one for each fleet"},
		{Name: "user", Kind: script.Text, Default: "", Help: "for AUTH"},
		{Name: "password_file", Kind: script.File, Default: "", Help: "for AUTH; read at each connection"},
		{Name: "ca_file", Kind: script.File, Default: "", Help: "PEM; switches TLS on"},
		{Name: "server_name", Kind: script.Text, Default: "", Help: "on the store's certificate"},
		{Name: "round", Kind: script.Duration, Default: 500 * millisecond, Min: 50e6, Max: 60e9, Help: "between two rounds"},
		{Name: "deadline", Kind: script.Duration, Default: 150 * millisecond, Min: 5e6, Max: 10e9, Help: "of one round"},
		{Name: "sample", Kind: script.Int, Default: int64(24), Min: 2, Max: 512, Help: "most aggregators read in a round"},
		{Name: "health", Kind: script.Bool, Default: true, Help: "findings on replicas are told and heard"},
		{Name: "quotas", Kind: script.Bool, Default: true, Help: "quotas are kept over all aggregators"},
	}, Apply: func(o *Settings, c script.Call) error {
		s := &SharedStore{Address: c.Text("address"), Database: int(c.Int("database")), Prefix: c.Text("prefix"),
			User: c.Text("user"), PasswordFile: c.Text("password_file"), CAFile: c.Text("ca_file"),
			ServerName: c.Text("server_name"), RoundInterval: c.Int("round"), RoundTimeout: c.Int("deadline"),
			SampleSize: int(c.Int("sample")), Health: c.Bool("health"), Quotas: c.Bool("quotas")}
		o.Store = s
		switch {
		case s.RoundTimeout > s.RoundInterval:
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
		{Name: "key_password_file", Kind: script.File, Default: "", Help: "where the key is locked"},
		{Name: "ca_file", Kind: script.File, Help: "PEM, of the authority of all sites"},
		{Name: "remember", Kind: script.File, Default: "", Help: "where ids are kept over a planned restart"},
		{Name: "dark", Kind: script.Bool, Default: false, Help: "nothing new is asked here; SIGHUP changes it"},
		{Name: "revenue", Kind: script.FloatMap, Default: map[string]float64{}, Max: 1e9, Help: "of a query served within its goal, by workload; else 1"},
		{Name: "policy", Kind: script.Text, Default: "plan", Choices: []string{"plan", "all", "half"}, Help: "of what is carried; all but plan are baselines"},
		{Name: "http2", Kind: script.Bool, Default: false, Help: "queries to one gateway share a connection"},
	}, Apply: func(o *Settings, c script.Call) error {
		o.Site = &Site{c.Text("name"), c.Text("listen"), c.Text("cert_file"), c.Text("key_file"),
			c.Text("key_password_file"), c.Text("ca_file"),
			c.Text("remember"), c.Bool("dark"), c.FloatMap("revenue"), c.Text("policy"), c.Bool("http2")}
		return siteName(o.Site.Name, "name")
	}},
	"link": {Name: "link", Repeatable: true, Help: "is the way to another site", Parameters: []*script.Parameter{
		{Name: "to", Kind: script.Text, Help: "the other site's name"},
		{Name: "gateways", Kind: script.AddressList, Help: "where its gateways listen"},
		{Name: "queries", Kind: script.Float, Default: 50.0, Min: 0.1, Max: 1e6, Help: "a second, at most"},
		{Name: "bytes", Kind: script.Size, Default: int64(1 << 20), Min: 1024, Help: "a second, at most"},
		{Name: "cost", Kind: script.Float, Default: 0.05, Max: 1e6, Help: "of one query carried, in revenue"},
	}, Apply: func(o *Settings, c script.Call) error {
		l := Link{c.Text("to"), c.AddressList("gateways"), c.Float("queries"), c.Int("bytes"), c.Float("cost")}
		if slices.ContainsFunc(o.Links, func(other Link) bool { return other.To == l.To }) {
			return fmt.Errorf("key %q: there is a link to %q already", "to", l.To)
		}
		o.Links = append(o.Links, l)
		return siteName(l.To, "to")
	}},
	"strain": {Name: "strain", Help: "has the process know its own strain, turn away what is worth least, and decide without waiting for the tick",
		Parameters: []*script.Parameter{
			{Name: "shed", Kind: script.Bool, Default: true, Help: "under strain, queries worth least are turned away"},
			{Name: "at_once", Kind: script.Bool, Default: true, Help: "rounds do not wait for the tick where they cost little"},
			{Name: "revenue", Kind: script.FloatMap, Default: map[string]float64{}, Max: 1e9, Help: "of a query served within its goal, by workload; else 1"},
			{Name: "limit", Kind: script.Text, Default: "model", Choices: overload.LimitKinds, Help: "how what can be served is found; all but model are baselines"},
			{Name: "rate", Kind: script.Float, Default: 1000.0, Min: 0.1, Max: 1e7, Help: "queries a second, for the fixed limit"},
			{Name: "lateness", Kind: script.Duration, Default: 10 * millisecond, Min: 1e6, Max: 1e9, Help: "of the process itself that is borne"},
			{Name: "floor", Kind: script.Float, Default: 0.05, Max: 0.5, Help: "share of what can be served that customers are given by turns"},
		}, Apply: func(o *Settings, c script.Call) error {
			o.Overload = &Overload{c.Bool("shed"), c.Bool("at_once"), c.FloatMap("revenue"), c.Text("limit"), c.Float("rate"),
				c.Int("lateness"), c.Float("floor")}
			return nil
		}},
	"zones": {Name: "zones", Help: "has the process find out by few failures that a whole zone of replicas is out of its reach, and pass it over", Parameters: []*script.Parameter{
		{Name: "few", Kind: script.Int, Default: int64(3), Min: 2, Max: 1000, Help: "replicas of one zone that have to fail, with none of it heard between"},
	}, Apply: func(o *Settings, c script.Call) error {
		o.Zones = &Zones{int(c.Int("few"))}
		return nil
	}},
	"quota": {Name: "quota", Repeatable: true, Help: "what one customer may ask for over all aggregators", Parameters: []*script.Parameter{
		{Name: "customer", Kind: script.Text, Help: "as its queries name it"},
		{Name: "rate", Kind: script.Float, Min: 0.001, Max: 1e7, Help: "queries a second"},
		{Name: "burst", Kind: script.Float, Default: 0.0, Max: 1e7, Help: "queries that may be saved up"},
	}, Apply: func(o *Settings, c script.Call) error {
		q := Quota{c.Text("customer"), c.Float("rate"), c.Float("burst")}
		if q.Customer == "" {
			return errors.New(`key "customer" is empty`)
		}
		if slices.ContainsFunc(o.Quotas, func(other Quota) bool { return other.Customer == q.Customer }) {
			return fmt.Errorf("key %q: %q has a quota already", "customer", q.Customer)
		}
		o.Quotas = append(o.Quotas, q)
		return nil
	}},
}

// siteName checks a site's name, which is used in certificates and headers.
func siteName(name, key string) error {
	if name == "" || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		return fmt.Errorf("key %q: %q is not made of a to z, digits and hyphens", key, name)
	}
	return nil
}

// checkCombinations checks what depends on several functions.
func (o *Settings) checkCombinations(said script.Calls, complain script.ReportFault) {
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
