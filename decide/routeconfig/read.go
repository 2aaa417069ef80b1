package routeconfig

import (
	"math"

	"github.com/go-faster/jx"
)

// Read reads a configuration from the JSON that operators send, and validates it. Unknown fields are ignored. The error says
// what is wrong and where.
func Read(body []byte) (*Configuration, error) {
	if !jx.Valid(body) {
		return nil, ErrInvalid.Errorf("the configuration is no whole JSON document (%d bytes)", len(body))
	}
	c := &Configuration{Services: map[string]Service{}}
	var has struct{ revision, routes, services bool }
	err := jx.DecodeBytes(body).Obj(func(d *jx.Decoder, key string) (err error) {
		switch key {
		case "revision":
			has.revision = true
			var v int64
			if v, err = d.Int64(); err == nil && v < 0 {
				return ErrInvalid.Errorf("revision is below 0")
			}
			c.Revision = uint64(v)
			return err
		case "routes":
			has.routes = true
			return d.Arr(func(d *jx.Decoder) error {
				r, err := readRoute(d)
				if err != nil {
					return ErrInvalid.Wrapf(err, "routes[%d]", len(c.Routes))
				}
				c.Routes = append(c.Routes, r)
				return nil
			})
		case "services":
			has.services = true
			n := 0
			return d.Arr(func(d *jx.Decoder) error {
				s, err := readService(d)
				if err != nil {
					return ErrInvalid.Wrapf(err, "services[%d]", n)
				}
				if _, twice := c.Services[s.Name]; twice || s.Name == "" {
					return ErrInvalid.Errorf("services[%d]: the name %q is empty or stands twice", n, s.Name)
				}
				n++
				c.Services[s.Name] = s
				return nil
			})
		case "limits":
			c.Limits, err = readLimits(d)
			return err
		}
		return d.Skip()
	})
	switch {
	case err != nil:
		return nil, ErrInvalid.Wrapf(err, "the configuration cannot be read")
	case !has.revision, !has.routes, !has.services:
		return nil, ErrInvalid.Errorf("revision, routes or services is missing")
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	c.indexRoutes()
	return c, nil
}

// readInteger reads an integer, which may be written as a float such as 5.0.
func readInteger(d *jx.Decoder, key string) (int64, error) {
	f, err := d.Float64()
	if err != nil || f != math.Trunc(f) || math.Abs(f) > 1<<53 {
		return 0, ErrInvalid.Errorf("%s is no whole number", key)
	}
	return int64(f), nil
}

// readDuration reads a time in ms. A longer one than MaxDurationMs is read as that.
//
// Danger: in ns a longer one is beyond what an int64 holds, and would come out as a time in the past.
func readDuration(d *jx.Decoder, key string) (int64, error) {
	n, err := readInteger(d, key)
	return min(n, MaxDurationMs), err
}

func readString(d *jx.Decoder, key string) (string, error) {
	s, err := d.Str()
	if err != nil {
		return "", ErrInvalid.Wrapf(err, "%s is no text", key)
	}
	return s, nil
}

func readRoute(d *jx.Decoder) (r Route, err error) {
	kind := "safe"
	r.Tries = 1
	err = d.Obj(func(d *jx.Decoder, key string) (err error) {
		var n int64
		switch key {
		case "name":
			r.Name, err = readString(d, key)
		case "host":
			r.Host, err = readString(d, key)
		case "path-prefix":
			r.Prefix, err = readString(d, key)
		case "route-kind":
			kind, err = readString(d, key)
		case "deadline-ms":
			r.DeadlineMs, err = readDuration(d, key)
		case "target-ms":
			r.TargetMs, err = readDuration(d, key)
		case "rank":
			r.Rank, err = readInteger(d, key)
		case "max-tries":
			n, err = readInteger(d, key)
			r.Tries = max(int(n), 1)
		case "result-count":
			n, err = readInteger(d, key)
			r.ResultCount = int(n)
		case "min-coverage":
			r.MinCoverage, err = d.Float64()
		case "service":
			var s string
			s, err = readString(d, key)
			r.Targets = append(r.Targets, Target{s, 1})
		case "weighted-split":
			err = d.Arr(func(d *jx.Decoder) error {
				t := Target{}
				err := d.Obj(func(d *jx.Decoder, key string) (err error) {
					switch key {
					case "service":
						t.Service, err = readString(d, key)
					case "weight":
						t.Weight, err = d.Float64()
					default:
						err = d.Skip()
					}
					return err
				})
				r.Targets = append(r.Targets, t)
				return err
			})
		case "fanout":
			err = d.Arr(func(d *jx.Decoder) error {
				s, err := readString(d, key)
				r.Fanout = append(r.Fanout, s)
				return err
			})
		default:
			err = d.Skip()
		}
		return err
	})
	if err != nil {
		return r, err
	}
	switch kind {
	case "safe":
	case "unsafe":
		r.Unsafe = true
	default:
		return r, ErrInvalid.Errorf("route-kind %q is unknown", kind)
	}
	if r.Host == "" || r.Prefix == "" {
		return r, ErrInvalid.Errorf("host or path-prefix is missing")
	}
	if r.TargetMs <= 0 || r.TargetMs > r.DeadlineMs {
		r.TargetMs = r.DeadlineMs
	}
	return r, nil
}

func readService(d *jx.Decoder) (s Service, err error) {
	err = d.Obj(func(d *jx.Decoder, key string) (err error) {
		switch key {
		case "name":
			s.Name, err = readString(d, key)
		case "health-path":
			s.Health, err = readString(d, key)
		case "max-conns":
			var n int64
			n, err = readInteger(d, key)
			s.MaxConns = int(n)
		default:
			err = d.Skip()
		}
		return err
	})
	return s, err
}

func readLimits(d *jx.Decoder) (l Limits, err error) {
	err = d.Obj(func(d *jx.Decoder, key string) (err error) {
		var n int64
		switch key {
		case "max-header-bytes":
			n, err = readInteger(d, key)
			l.HeaderBytes = int(n)
		case "max-body-bytes":
			n, err = readInteger(d, key)
			l.BodyBytes = int(n)
		case "header-read-ms":
			l.HeaderReadMs, err = readDuration(d, key)
		case "idle-timeout-ms":
			l.IdleTimeoutMs, err = readDuration(d, key)
		default:
			err = d.Skip()
		}
		return err
	})
	return l, err
}
