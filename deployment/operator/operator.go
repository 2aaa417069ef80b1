// Package operator reads the operator's own file, a Starlark script that switches on what the platform does not
// ask for: what a script may say, its defaults and its limits stand here.
package operator

import "willowsill/deployment/script"

// Settings are what the operator asks for; what is nil is off.
type Settings struct {
	File     string
	Store    *SharedStore
	Quotas   []Quota
	Site     *Site
	Links    []Link
	Overload *Overload
	Zones    *Zones // nil where zones are not watched

	calls script.Calls // for Explain
}

// SharedStore is the shared store, and what is shared through it. Times in ns.
type SharedStore struct {
	Address       string
	Database      int
	Prefix        string // of every key
	User          string
	PasswordFile  string // empty for none
	CAFile        string // of the authority that signed the store's certificate; empty for no TLS
	ServerName    string // on that certificate; empty for the address's host
	RoundInterval int64  // between two rounds
	RoundTimeout  int64  // of one round
	SampleSize    int    // most aggregators that are read in one round
	Health        bool   // findings on replicas are told and heard
	Quotas        bool   // quotas are kept over all aggregators
}

// Site is this site among others, and the door that their gateways come in by.
type Site struct {
	Name            string
	Listen          string // HOST:PORT for other sites' gateways
	CertFile        string // of this site's gateway, as is KeyFile
	KeyFile         string
	KeyPasswordFile string             // the file of the key's password; empty for none
	CAFile          string             // of the authority of all sites' certificates
	IDFile          string             // where ids are kept over a planned restart; empty for nowhere
	Evacuated       bool               // nothing new is asked of this site's replicas
	Revenue         map[string]float64 // of a query served within its goal, by workload; 1 where it is not named
	Policy          string             // of what is carried: "plan", or a baseline to measure it against
	HTTP2           bool               // queries to one gateway share a connection
}

// Overload is what the process does about its own.
type Overload struct {
	Shed          bool               // queries worth least are turned away
	Immediate     bool               // rounds do not wait for the tick
	Revenue       map[string]float64 // of a query served within its goal, by workload; 1 where it is not named
	LimitKind     string             // one of strain.Limits
	FixedRate     float64            // queries a second, for the fixed limit
	MaxLateness   int64              // of the process itself that is borne, ns
	CustomerFloor float64            // share of what can be served that customers are given by turns
}

// Zones is how zones out of reach are known.
type Zones struct {
	MinFailedReplicas int // replicas of one zone that have to fail, with none of it heard between
}

// Link is the way to another site.
type Link struct {
	To        string
	Gateways  []string
	QueryRate float64 // a second, at most
	ByteRate  int64   // a second, at most
	Cost      float64 // of one query carried, in revenue
}

// Quota is what one customer may ask for over all aggregators.
type Quota struct {
	Customer string
	Rate     float64 // queries a second
	Burst    float64 // queries that may be saved up
}

// Faults are all that is wrong with a script.
type Faults = script.Faults

// EffectiveValue is one value that holds.
type EffectiveValue = script.EffectiveValue

// Read reads a script. The error is Faults, or says why there is no script to read.
func Read(file string) (*Settings, error) {
	o := &Settings{File: file}
	said, err := script.Read(file, functions, o, o.checkCombinations)
	if err != nil {
		return nil, err
	}
	o.calls = said
	return o, nil
}

// Explain tells all that holds, in the order of the script; what was left out is marked as default.
func (o *Settings) Explain() []EffectiveValue { return o.calls.Explain() }

// Uncalled names the functions that the script did not call.
func (o *Settings) Uncalled() []string { return functions.Uncalled(o.calls) }

// Describe describes a function and its keys; false where there is none of that name.
func Describe(name string) (string, bool) { return functions.Describe(name) }

// FunctionNames are the functions that a script may call.
func FunctionNames() []string { return functions.Names() }
