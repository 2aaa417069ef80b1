// Package operator reads the operator's Starlark script, which enables features that the platform's configuration
// does not cover. It defines the script's functions with their defaults and limits.
package operator

import "willowsill/deployment/script"

// Settings are the features that the script enables. A feature that is nil is disabled.
type Settings struct {
	File     string
	Store    *SharedStore
	Quotas   []Quota
	Site     *Site
	Links    []Link
	Overload *Overload
	Zones    *Zones // detection of unreachable zones

	calls script.Calls // the script's calls, for Explain
}

// SharedStore configures the Redis store through which aggregators share reports. Times are in ns.
type SharedStore struct {
	Address       string
	Database      int
	Prefix        string // prefix of every key in the store
	User          string
	PasswordFile  string // file with the password for AUTH; empty for none
	CAFile        string // file of the authority that issued the store's certificate; empty for no TLS
	ServerName    string // name on the store's certificate; empty for the host in Address
	RoundInterval int64  // ns between rounds, in each of which the store is written and read
	RoundTimeout  int64  // timeout of one round, ns
	SampleSize    int    // limit of aggregators whose reports are read in one round
	Health        bool   // findings about replicas' health are shared
	Quotas        bool   // quotas hold for all aggregators together
}

// Site configures the gateway of this site, for queries that sites forward to each other.
type Site struct {
	Name            string
	Listen          string // HOST:PORT on which other sites' gateways connect
	CertFile        string // file with the certificate of this site's gateway
	KeyFile         string
	KeyPasswordFile string // file with the password of the key; empty if the key is not encrypted
	CAFile          string // file of the authority that issues all sites' certificates
	IDFile          string // file that keeps ids of queries over a planned restart; empty for none
	Evacuated       bool   // no new queries are sent to this site's replicas
	// Revenue of a query served within its goal, by workload; 1 for a workload that is not listed.
	Revenue map[string]float64
	Policy  string // rule for forwarding: "plan", or a simple one to compare it with
	HTTP2   bool   // queries to one gateway share one connection
}

// Overload configures the protection of the process against its own overload.
type Overload struct {
	Shed      bool // under overload, queries of the least value are rejected
	Immediate bool // decision rounds run at once instead of at the next tick
	// Revenue of a query served within its goal, by workload; 1 for a workload that is not listed.
	Revenue       map[string]float64
	LimitKind     string  // one of overload.LimitKinds: how the rate that can be served is estimated
	FixedRate     float64 // queries per second, for the fixed limit
	MaxLateness   int64   // tolerated delay of the process's own work, ns
	CustomerFloor float64 // share of the capacity that is given to customers in turn
}

// Zones configures the detection of unreachable zones.
type Zones struct {
	MinFailedReplicas int // replicas of one zone that must fail in a row, without an answer from the zone in between
}

// Link configures the link to another site.
type Link struct {
	To        string
	Gateways  []string
	QueryRate float64 // limit in queries per second
	ByteRate  int64   // limit in bytes per second
	Cost      float64 // cost of one forwarded query, in the unit of Revenue
}

// Quota limits a customer's queries over all aggregators.
type Quota struct {
	Customer string
	Rate     float64 // queries per second
	Burst    float64 // queries that may be made at once after a pause
}

// Faults are the errors of a script, each with its position.
type Faults = script.Faults

// EffectiveValue is the value of one parameter of a call, as stated in the script or by default.
type EffectiveValue = script.EffectiveValue

// Read reads and checks a script. The error is of type Faults if the script is wrong.
func Read(file string) (*Settings, error) {
	o := &Settings{File: file}
	calls, err := script.Read(file, functions, o, o.checkCombinations)
	if err != nil {
		return nil, err
	}
	o.calls = calls
	return o, nil
}

// Explain returns the parameters of all calls in the order of the script, with the defaults of those that were
// left out.
func (o *Settings) Explain() []EffectiveValue { return o.calls.Explain() }

// Uncalled returns the names of the functions that the script does not call.
func (o *Settings) Uncalled() []string { return functions.Uncalled(o.calls) }

// Describe returns the description of a function and its parameters, or false if there is no function of that
// name.
func Describe(name string) (string, bool) { return functions.Describe(name) }

// FunctionNames returns the names of the functions that a script may call, sorted.
func FunctionNames() []string { return functions.Names() }
