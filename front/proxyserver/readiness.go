package proxyserver

import "github.com/go-faster/jx"

// readinessState is the body of the answer to a readiness check. It is meant for operators, as the platform reads
// only the status.
type readinessState struct {
	Ready          bool
	Behind         bool   // the configuration served is older than the newest one known
	Known          bool   // a controller in contact with a majority has confirmed the configuration served
	Revision       uint64 // revision of the configuration served
	NewestRevision uint64 // revision of the newest configuration known
	AgeMs          int64  // ms since the configuration served was known to be the current one; valid only if Known
}

// encode returns the state as a JSON object.
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
