package routeconfig

import (
	"github.com/go-faster/jx"
)

// UsedServices returns the services to which a configuration's routes send requests. It reads nothing but the routes, so it
// costs little compared with Read, and it does not validate what it reads.
func UsedServices(body []byte) (map[string]struct{}, error) {
	used := map[string]struct{}{}
	err := jx.DecodeBytes(body).Obj(func(d *jx.Decoder, key string) error {
		if key != "routes" {
			return d.Skip()
		}
		return d.Arr(func(d *jx.Decoder) error { return addServices(d, used) })
	})
	if err != nil {
		return nil, ErrInvalid.Wrapf(err, "the services that are used cannot be read")
	}
	return used, nil
}

// addServices adds the services that one route, or one part of a weighted split, names.
func addServices(d *jx.Decoder, used map[string]struct{}) error {
	name := func(d *jx.Decoder) error {
		service, err := d.Str()
		used[service] = struct{}{}
		return err
	}
	return d.Obj(func(d *jx.Decoder, key string) error {
		switch key {
		case "service":
			return name(d)
		case "fanout":
			return d.Arr(name)
		case "weighted-split":
			return d.Arr(func(d *jx.Decoder) error { return addServices(d, used) })
		}
		return d.Skip()
	})
}

// DefinesService reports whether a configuration has a service with this name. It reads nothing but the services, and does not
// validate them.
func DefinesService(body []byte, service string) (named bool, err error) {
	err = jx.DecodeBytes(body).Obj(func(d *jx.Decoder, key string) error {
		if key != "services" {
			return d.Skip()
		}
		return d.Arr(func(d *jx.Decoder) error {
			return d.Obj(func(d *jx.Decoder, key string) error {
				if key != "name" {
					return d.Skip()
				}
				name, err := d.Str()
				named = named || name == service
				return err
			})
		})
	})
	if err != nil {
		return false, ErrInvalid.Wrapf(err, "the services cannot be read")
	}
	return named, nil
}
