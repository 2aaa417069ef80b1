package controller

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"willowsill/decide/registry"
)

// leaves lists every field of a message that says something, each as a way to reach it.
func leaves(v reflect.Value, way []int, add func(way []int, v reflect.Value)) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			leaves(v.Elem(), append(way, -1), add)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			leaves(v.Field(i), append(way, i), add)
		}
	default:
		if !v.IsZero() {
			add(append([]int(nil), way...), v)
		}
	}
}

// deepCopy is a copy that shares nothing: words go to several controllers.
func deepCopy(t *testing.T, w Message) (c Message) {
	b, err := cbor.Marshal(w)
	must.NoError(t, err)
	must.NoError(t, cbor.Unmarshal(b, &c))
	return c
}

// TestEachFieldMutated records a start, a loss of one disk, three configurations, a heartbeat and a read, and
// plays it again for each field of each kind of word with that field dropped, aged, swapped with another
// word's, or flipped, in one word. A body or a number that is not what was sent may harm what that one word
// was about; but nobody is taken back, no number has two contents, and what is acknowledged is found again.
func TestEachFieldMutated(t *testing.T) {
	type leaf struct {
		number int
		way    []int
		name   string
	}
	var found []leaf
	var before []Message
	seen := map[string]int{}
	// play returns false where a call had no clear answer, which is a true one.
	play := func(tamper func(int, *Message) (int, int64)) {
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
	play(func(number int, w *Message) (int, int64) {
		c := deepCopy(t, *w)
		leaves(reflect.ValueOf(&c).Elem(), nil, func(way []int, v reflect.Value) {
			kind := 0
			if w.Register != nil {
				kind = int(w.Register.Kind)
			}
			name := fmt.Sprint(kind, way)
			if seen[name]++; seen[name] == 1 || seen[name] == 40 {
				found = append(found, leaf{number, way, name})
			}
		})
		before = append(before, c)
		return 1, 0
	})
	must.Greater(t, 60, len(found))
	plays := 0
	defer func() { t.Logf("%d fields of words, %d plays", len(found), plays) }()
	ways := 4
	for i, c := range found {
		if testing.Short() && i%7 > 0 {
			continue
		}
		for way := range ways {
			if i%ways != way && seen[c.name] > 200 { // common ones are tried in one way each time they come up here
				continue
			}
			plays++
			play(func(number int, w *Message) (int, int64) {
				if number != c.number {
					return 1, 0
				}
				*w = deepCopy(t, *w)
				v, _ := field(reflect.ValueOf(w).Elem(), c.way)
				switch way {
				case 0: // dropped
					v.SetZero()
				case 1, 2: // as an earlier word had it, or one from another controller
					step := []int{7, 31}[way-1]
					for n := number - 2; n >= 0; n -= step {
						other, ok := field(reflect.ValueOf(&before[n]).Elem(), c.way)
						if ok && other.Type() == v.Type() {
							v.Set(other)
							break
						}
					}
				case 3: // flipped, for what is a truth; else the word comes late
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

// field is a word's field at a way, if it has one.
func field(v reflect.Value, way []int) (reflect.Value, bool) {
	for _, i := range way {
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
