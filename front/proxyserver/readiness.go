package proxyserver

import "github.com/go-faster/jx"

// readinessState is the body of a readiness answer, for people: the platform goes by the status alone.
type readinessState struct {
	Ready          bool
	Behind         bool   // a newer configuration is known to be in force than the one served
	Known          bool   // a controller in contact with a majority has vouched for what is served
	Revision       uint64 // of the configuration served
	NewestRevision uint64 // of the newest one known of
	AgeMs          int64  // since what is served was known to be current; means nothing unless Known
}

// encode writes the state as a JSON object.
func (s readinessState) encode() []byte {
	e := jx.Encoder{}
	e.ObjStart()
	e.FieldStart("ready")
	e.Bool(s.Ready)
	e.FieldStart("behind")
	e.Bool(s.Behind)
	e.FieldStart("known-current")
	e.Bool(s.Known)
	e.FieldStart("revision")
	e.UInt64(s.Revision)
	e.FieldStart("newest-revision")
	e.UInt64(s.NewestRevision)
	if s.Known {
		e.FieldStart("age-ms")
		e.Int64(s.AgeMs)
	}
	e.ObjEnd()
	return e.Bytes()
}
