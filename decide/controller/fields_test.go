package controller

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"willowsill/decide/registry"
)

// visitFields calls add for every field of a message that is not zero, with the field indexes that lead to it; the index
// -1 stands for following a pointer.
func visitFields(v reflect.Value, path []int, add func(path []int, v reflect.Value)) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			visitFields(v.Elem(), append(path, -1), add)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			visitFields(v.Field(i), append(path, i), add)
		}
	default:
		if !v.IsZero() {
			add(append([]int(nil), path...), v)
		}
	}
}

// deepCopy returns a copy that shares no memory with the message, which goes to several controllers.
func deepCopy(t *testing.T, message Message) (c Message) {
	b, err := cbor.Marshal(message)
	must.NoError(t, err)
	must.NoError(t, cbor.Unmarshal(b, &c))
	return c
}

// TestEachFieldMutated guards against wrong fields in a single message. It records a start, the loss of one disk, three
// configurations, a departure and a read, and repeats them for each field of each kind of message, with that field
// zeroed, replaced by the value of an earlier message, or flipped, in one message. A call may then fail, but no edge may
// be sent an older state, no revision may have two contents, and what was acknowledged must be found again.
func TestEachFieldMutated(t *testing.T) {
	type fieldAt struct {
		number int
		path   []int
		name   string
	}
	var found []fieldAt
	var before []Message
	seen := map[string]int{}
	// The scenario accepts 503 for a put, which leaves open whether its configuration is committed.
	runScenario := func(tamper func(int, *Message) (int, int64)) {
		b := newCluster(t, 5)
		b.tamper = tamper
		b.run(2500 * ms)
		first := b.put(b.names[1], 3, "one")
		b.run(700 * ms)
		must.Eq(t, 200, b.answers[first].Status)
		wiped := b.servers[b.names[4]]
		wiped.up, wiped.saved, wiped.savedReplicas = false, nil, nil
		b.run(100 * ms)
		b.start(b.names[4], false)
		b.replicaCall(b.names[2], registry.Record{ID: "i-1", Service: "s", Address: "a:1", Seq: 1, Phase: registry.Draining})
		last := uint64(3)
		for i, body := range []string{"five", "nine"} {
			id := b.put(b.names[2+i], uint64(5+4*i), body)
			b.run(1200 * ms)
			if a := b.answers[id]; a.Status == 200 {
				last = uint64(5 + 4*i)
			} else {
				must.Eq(t, 503, a.Status)
			}
		}
		b.run(1000 * ms)
		a := b.read(b.names[0])
		must.Eq(t, 200, a.Status)
		must.Eq(t, map[uint64]string{3: "one", 5: "five", 9: "nine"}[max(last, b.servers[b.names[0]].maxRevisionSent)], string(a.Body))
	}
	runScenario(func(number int, message *Message) (int, int64) {
		c := deepCopy(t, *message)
		visitFields(reflect.ValueOf(&c).Elem(), nil, func(path []int, v reflect.Value) {
			kind := 0
			if message.Register != nil {
				kind = int(message.Register.Kind)
			}
			name := fmt.Sprint(kind, path)
			if seen[name]++; seen[name] == 1 || seen[name] == 40 {
				found = append(found, fieldAt{number, path, name})
			}
		})
		before = append(before, c)
		return 1, 0
	})
	must.Greater(t, 60, len(found))
	runs := 0
	defer func() { t.Logf("%d fields of messages, %d runs", len(found), runs) }()
	mutations := 4
	for i, c := range found {
		if testing.Short() && i%7 > 0 {
			continue
		}
		for mutation := range mutations {
			if i%mutations != mutation && seen[c.name] > 200 { // each occurrence of a common field is tried in one way only
				continue
			}
			runs++
			runScenario(func(number int, message *Message) (int, int64) {
				if number != c.number {
					return 1, 0
				}
				*message = deepCopy(t, *message)
				v, _ := field(reflect.ValueOf(message).Elem(), c.path)
				switch mutation {
				case 0: // the field is set to its zero value
					v.SetZero()
				case 1, 2: // the field gets the value of an earlier message, maybe of another controller
					step := []int{7, 31}[mutation-1]
					for n := number - 2; n >= 0; n -= step {
						other, ok := field(reflect.ValueOf(&before[n]).Elem(), c.path)
						if ok && other.Type() == v.Type() {
							v.Set(other)
							break
						}
					}
				case 3: // a bool is flipped; with any other field the whole message is delayed
					if v.Kind() != reflect.Bool {
						return 1, 400 * ms
					}
					v.SetBool(!v.Bool())
				}
				return 1, 0
			})
		}
	}
}

// field returns the message field that the indexes lead to, or false if a pointer on the path is nil.
func field(v reflect.Value, path []int) (reflect.Value, bool) {
	for _, i := range path {
		if i < 0 {
			if v.IsNil() {
				return v, false
			}
			v = v.Elem()
		} else {
			v = v.Field(i)
		}
	}
	return v, true
}
