// Package fields reads JSON objects key by key. Its errors name the key at fault.
package fields

import (
	"encoding/json"
	"fmt"
	"math"
)

// Object is a JSON object of which only the keys are decoded. Its methods keep their first error in Err, so that a
// caller can read all values and check once.
type Object struct {
	Raw map[string]json.RawMessage
	Err error
}

// Fail sets Err to an error that names the key, unless Err is set already.
func (f *Object) Fail(key, what string) {
	if f.Err == nil {
		f.Err = fmt.Errorf("field %q %s", key, what)
	}
}

// Has reports whether the key is present and not null.
func (f *Object) Has(key string) bool {
	raw, ok := f.Raw[key]
	return ok && string(raw) != "null"
}

// RawValue returns a required value undecoded.
func (f *Object) RawValue(key string) json.RawMessage {
	if !f.Has(key) {
		f.Fail(key, "is missing")
		return nil
	}
	return f.Raw[key]
}

// Decode decodes a required value into v.
func (f *Object) Decode(key string, v any) {
	if raw := f.RawValue(key); raw != nil {
		if err := json.Unmarshal(raw, v); err != nil {
			f.Fail(key, "has the wrong form")
		}
	}
}

// DecodeOptional decodes a value into v if it is present.
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

// Duration returns a required time in ns; the value in the object is in ms.
func (f *Object) Duration(key string) int64 { return NsFromMs(f.Float(key)) }

// OptionalDuration returns a time in ns, or 0 if it is absent; the value in the object is in ms.
func (f *Object) OptionalDuration(key string) int64 {
	var ms float64
	f.DecodeOptional(key, &ms)
	return NsFromMs(ms)
}

// Object returns a required value that is a JSON object. It returns an empty object, and sets Err, if there is none.
func (f *Object) Object(key string) *Object {
	in := &Object{}
	f.Decode(key, &in.Raw)
	return in
}

// NsFromMs converts milliseconds to nanoseconds, rounded to whole microseconds as on the wire.
func NsFromMs(ms float64) int64 { return int64(math.Round(ms*1e3)) * 1e3 }

// MsFromNs converts nanoseconds to milliseconds, rounded down to whole microseconds.
func MsFromNs(ns int64) float64 { return float64(ns/1e3) / 1e3 }

// List returns a required list of objects.
func (f *Object) List(key string) (items []map[string]json.RawMessage) {
	f.Decode(key, &items)
	return
}
