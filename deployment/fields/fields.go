// Package fields reads JSON objects key by key and names the key that is at fault.
package fields

import (
	"encoding/json"
	"fmt"
	"math"
)

// Object is one JSON object, decoded no further than its keys. The getters keep the first
// trouble they meet in Err, so that a caller reads all it wants and checks once.
type Object struct {
	Raw map[string]json.RawMessage
	Err error
}

func (f *Object) Fail(key, what string) {
	if f.Err == nil {
		f.Err = fmt.Errorf("field %q %s", key, what)
	}
}

// Has tells whether the key is there and not null.
func (f *Object) Has(key string) bool {
	raw, ok := f.Raw[key]
	return ok && string(raw) != "null"
}

// RawValue returns a required value as it stands on the wire.
func (f *Object) RawValue(key string) json.RawMessage {
	if !f.Has(key) {
		f.Fail(key, "is missing")
		return nil
	}
	return f.Raw[key]
}

// Decode decodes a required value.
func (f *Object) Decode(key string, v any) {
	if raw := f.RawValue(key); raw != nil {
		if err := json.Unmarshal(raw, v); err != nil {
			f.Fail(key, "has the wrong form")
		}
	}
}

// DecodeOptional decodes a value that can be left out.
func (f *Object) DecodeOptional(key string, v any) {
	if f.Has(key) {
		f.Decode(key, v)
	}
}

func (f *Object) String(key string) (s string) { f.Decode(key, &s); return }
func (f *Object) Int(key string) (n int)       { f.Decode(key, &n); return }
func (f *Object) Float(key string) (x float64) {
	f.Decode(key, &x)
	return
}
func (f *Object) Bool(key string) (b bool) { f.Decode(key, &b); return }

// Duration returns a required time in whole nanoseconds.
func (f *Object) Duration(key string) int64 { return NsFromMs(f.Float(key)) }

// OptionalDuration returns a time that can be left out, 0 then.
func (f *Object) OptionalDuration(key string) int64 {
	var ms float64
	f.DecodeOptional(key, &ms)
	return NsFromMs(ms)
}

// Object returns a required object's fields.
func (f *Object) Object(key string) *Object {
	in := &Object{}
	f.Decode(key, &in.Raw)
	return in
}

// NsFromMs turns the wire's milliseconds, which count in whole microseconds, into whole nanoseconds.
func NsFromMs(ms float64) int64 { return int64(math.Round(ms*1e3)) * 1e3 }

// MsFromNs is the other way round.
func MsFromNs(ns int64) float64 { return float64(ns/1e3) / 1e3 }

// List returns a required list of objects.
func (f *Object) List(key string) (items []map[string]json.RawMessage) {
	f.Decode(key, &items)
	return
}
