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
	"shared_store": {Name: "shared_store", Help: "shares reports between aggregators through a Redis server", Parameters: []*script.Parameter{
		{Name: "address", Kind: script.Address, Help: "HOST:PORT of the store"},
		{Name: "database", Kind: script.Int, Default: int64(0), Max: 1023, Help: "number of the database"},
		{Name: "prefix", Kind: script.Text, Default: "willowsill", Help: "of every key in the store; different for each fleet"},
		{Name: "user", Kind: script.Text, Default: "", Help: "for AUTH"},
		{Name: "password_file", Kind: script.File, Default: "", Help: "for AUTH; read at each connection"},
		{Name: "ca_file", Kind: script.File, Default: "", Help: "PEM; switches TLS on"},
		{Name: "server_name", Kind: script.Text, Default: "", Help: "on the store's certificate"},
		{Name: "round", Kind: script.Duration, Default: 500 * millisecond, Min: 50e6, Max: 60e9, Help: "interval of rounds, in each of which the store is written and read"},
		{Name: "deadline", Kind: script.Duration, Default: 150 * millisecond, Min: 5e6, Max: 10e9, Help: "timeout of one round"},
		{Name: "sample", Kind: script.Int, Default: int64(24), Min: 2, Max: 512, Help: "limit of aggregators whose reports are read in a round"},
		{Name: "health", Kind: script.Bool, Default: true, Help: "findings about replicas' health are shared"},
		{Name: "quotas", Kind: script.Bool, Default: true, Help: "quotas hold for all aggregators together"},
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
			return errors.New(`key "prefix" is empty or has a blank or a pattern character`)
		case s.User != "" && s.PasswordFile == "":
			return errors.New(`key "user" needs "password_file"`)
		}
		return nil
	}},
	"site": {Name: "site", Help: "names this site and opens a port for other sites' gateways", Parameters: []*script.Parameter{
		{Name: "name", Kind: script.Text, Help: "as in other sites' links and in certificates"},
		{Name: "listen", Kind: script.Address, Help: "for other sites' gateways"},
		{Name: "cert_file", Kind: script.File, Help: "PEM, for NAME.gateway; read at each handshake"},
		{Name: "key_file", Kind: script.File, Help: "PEM"},
		{Name: "key_password_file", Kind: script.File, Default: "", Help: "password of the key, if it is encrypted"},
		{Name: "ca_file", Kind: script.File, Help: "PEM, of the authority of all sites"},
		{Name: "remember", Kind: script.File, Default: "", Help: "keeps ids of queries over a planned restart"},
		{Name: "dark", Kind: script.Bool, Default: false, Help: "no new queries are sent to this site's replicas; can change at SIGHUP"},
		{Name: "revenue", Kind: script.FloatMap, Default: map[string]float64{}, Max: 1e9, Help: "of a query served within its goal, by workload; 1 for others"},
		{Name: "policy", Kind: script.Text, Default: "plan", Choices: []string{"plan", "all", "half"}, Help: "rule for forwarding queries; all and half are simple rules to compare with"},
		{Name: "http2", Kind: script.Bool, Default: false, Help: "queries to one gateway share a connection"},
	}, Apply: func(o *Settings, c script.Call) error {
		o.Site = &Site{c.Text("name"), c.Text("listen"), c.Text("cert_file"), c.Text("key_file"),
			c.Text("key_password_file"), c.Text("ca_file"),
			c.Text("remember"), c.Bool("dark"), c.FloatMap("revenue"), c.Text("policy"), c.Bool("http2")}
		return siteName(o.Site.Name, "name")
	}},
	"link": {Name: "link", Repeatable: true, Help: "describes the link to another site", Parameters: []*script.Parameter{
		{Name: "to", Kind: script.Text, Help: "the other site's name"},
		{Name: "gateways", Kind: script.AddressList, Help: "HOST:PORT of its gateways"},
		{Name: "queries", Kind: script.Float, Default: 50.0, Min: 0.1, Max: 1e6, Help: "limit per second"},
		{Name: "bytes", Kind: script.Size, Default: int64(1 << 20), Min: 1024, Help: "limit per second"},
		{Name: "cost", Kind: script.Float, Default: 0.05, Max: 1e6, Help: "of one forwarded query, in the unit of revenue"},
	}, Apply: func(o *Settings, c script.Call) error {
		l := Link{c.Text("to"), c.AddressList("gateways"), c.Float("queries"), c.Int("bytes"), c.Float("cost")}
		if slices.ContainsFunc(o.Links, func(other Link) bool { return other.To == l.To }) {
			return fmt.Errorf("key %q: there is a link to %q already", "to", l.To)
		}
		o.Links = append(o.Links, l)
		return siteName(l.To, "to")
	}},
	"strain": {Name: "strain", Help: "detects overload of the process, then rejects the queries of the least value, and makes decisions without waiting for the tick",
		Parameters: []*script.Parameter{
			{Name: "shed", Kind: script.Bool, Default: true, Help: "under overload, queries of the least value are rejected"},
			{Name: "at_once", Kind: script.Bool, Default: true, Help: "decision rounds that cost little do not wait for the tick"},
			{Name: "revenue", Kind: script.FloatMap, Default: map[string]float64{}, Max: 1e9, Help: "of a query served within its goal, by workload; 1 for others"},
			{Name: "limit", Kind: script.Text, Default: "model", Choices: overload.LimitKinds, Help: "how the rate that can be served is estimated; all but model are simple rules to compare with"},
			{Name: "rate", Kind: script.Float, Default: 1000.0, Min: 0.1, Max: 1e7, Help: "queries per second, for the fixed limit"},
			{Name: "lateness", Kind: script.Duration, Default: 10 * millisecond, Min: 1e6, Max: 1e9, Help: "tolerated delay of the process's own work"},
			{Name: "floor", Kind: script.Float, Default: 0.05, Max: 0.5, Help: "share of the capacity that is given to customers in turn"},
		}, Apply: func(o *Settings, c script.Call) error {
			o.Overload = &Overload{c.Bool("shed"), c.Bool("at_once"), c.FloatMap("revenue"), c.Text("limit"), c.Float("rate"),
				c.Int("lateness"), c.Float("floor")}
			return nil
		}},
	"zones": {Name: "zones", Help: "detects from a few failures that a whole zone of replicas is unreachable, and avoids it", Parameters: []*script.Parameter{
		{Name: "few", Kind: script.Int, Default: int64(3), Min: 2, Max: 1000, Help: "replicas of one zone that must fail in a row, without an answer from the zone in between"},
	}, Apply: func(o *Settings, c script.Call) error {
		o.Zones = &Zones{int(c.Int("few"))}
		return nil
	}},
	"quota": {Name: "quota", Repeatable: true, Help: "limits a customer's queries over all aggregators", Parameters: []*script.Parameter{
		{Name: "customer", Kind: script.Text, Help: "customer's name in its queries"},
		{Name: "rate", Kind: script.Float, Min: 0.001, Max: 1e7, Help: "queries per second"},
		{Name: "burst", Kind: script.Float, Default: 0.0, Max: 1e7, Help: "queries that may be made at once after a pause"},
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

// checkCombinations reports errors that depend on the calls of several functions.
func (o *Settings) checkCombinations(calls script.Calls, report script.ReportFault) {
	site, isSite := calls.First("site")
	link, isLink := calls.First("link")
	quota, isQuota := calls.First("quota")
	switch {
	case isLink && !isSite:
		report(link, "link: site is missing")
	case isSite && !isLink:
		report(site, "site: it has no link to another")
	case isSite && slices.ContainsFunc(o.Links, func(l Link) bool { return l.To == o.Site.Name }):
		report(link, "link: key %q is this site", "to")
	}
	if isQuota && (o.Store == nil || !o.Store.Quotas) {
		report(quota, "quota: nothing keeps it; shared_store with quotas = True is missing")
	}
}
