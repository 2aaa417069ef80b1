package wire

import (
	"encoding/json"
	"fmt"
	"math"
)

// fields is one JSON object of the wire, decoded no further than its keys. The getters keep the first
// trouble they meet in err, so that a caller reads all it wants and checks once.
type fields struct {
	raw map[string]json.RawMessage
	err error
}

func (f *fields) fail(key, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %q %s", key, what)
	}
}

// has tells whether the key is there and not null.
func (f *fields) has(key string) bool {
	raw, ok := f.raw[key]
	return ok && string(raw) != "null"
}

// text returns a required value as it stands on the wire.
func (f *fields) text(key string) json.RawMessage {
	if !f.has(key) {
		f.fail(key, "is missing")
		return nil
	}
	return f.raw[key]
}

// into decodes a required value.
func (f *fields) into(key string, v any) {
	if raw := f.text(key); raw != nil {
		if err := json.Unmarshal(raw, v); err != nil {
			f.fail(key, "has the wrong form")
		}
	}
}

// may decodes a value that can be left out.
func (f *fields) may(key string, v any) {
	if f.has(key) {
		f.into(key, v)
	}
}

func (f *fields) string(key string) (s string) { f.into(key, &s); return }
func (f *fields) int(key string) (n int)       { f.into(key, &n); return }
func (f *fields) number(key string) (x float64) {
	f.into(key, &x)
	return
}
func (f *fields) bool(key string) (b bool) { f.into(key, &b); return }

// time returns a required time in whole nanoseconds.
func (f *fields) time(key string) int64 { return nanos(f.number(key)) }

// mayTime returns a time that can be left out, 0 then.
func (f *fields) mayTime(key string) int64 {
	var ms float64
	f.may(key, &ms)
	return nanos(ms)
}

// object returns a required object's fields.
func (f *fields) object(key string) *fields {
	in := &fields{}
	f.into(key, &in.raw)
	return in
}

// nanos turns the wire's milliseconds, which count in whole microseconds, into whole nanoseconds.
func nanos(ms float64) int64 { return int64(math.Round(ms*1e3)) * 1e3 }

// millis is the other way round.
func millis(ns int64) float64 { return float64(ns/1e3) / 1e3 }

// list returns a required list of objects.
func (f *fields) list(key string) (items []map[string]json.RawMessage) {
	f.into(key, &items)
	return
}
