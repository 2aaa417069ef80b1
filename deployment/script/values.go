package script

import (
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Kind is the type of a parameter's value.
type Kind uint8

// Kinds of values, with the Go type that a value is converted to.
const (
	Text        Kind = iota // string
	File                    // string, a path
	Address                 // string, HOST:PORT
	Bool                    // bool
	Int                     // int64
	Float                   // float64
	Duration                // int64 in ns, written as "250ms"
	Size                    // int64 in bytes, written as "64MiB"
	AddressList             // []string of HOST:PORT
	FloatMap                // map[string]float64
	IntList                 // []int
)

var kindNames = [...]string{"a string", "a file's path", "an address HOST:PORT", "True or False", "a whole number",
	"a number", `a time such as "250ms"`, `a size such as "64MiB"`,
	"a list of addresses HOST:PORT", "a dictionary of numbers by name", "a list of whole numbers"}

// Parameter is one key of a function. Min and Max are in the unit of the converted value, such as ns or bytes; Max
// 0 means no upper limit.
type Parameter struct {
	Name     string
	Kind     Kind
	Default  any // nil for a required key
	Min, Max float64
	Choices  []string // the strings allowed; nil for any
	Help     string
}

// Function is a function that a script may call. Apply applies a checked call to the script's result.
type Function[T any] struct {
	Name       string
	Help       string
	Repeatable bool // may be called more than once
	Parameters []*Parameter
	Apply      func(*T, Call) error
}

// Call is one checked call of a function.
type Call struct {
	Function   string
	Position   syntax.Position
	parameters []*Parameter
	values     map[string]any
	explicit   map[string]bool
}

// Calls are the calls of a script, in order.
type Calls []Call

// First returns the position of the first call of a function, or false if it was not called.
func (s Calls) First(function string) (syntax.Position, bool) {
	i := slices.IndexFunc(s, func(c Call) bool { return c.Function == function })
	if i < 0 {
		return syntax.Position{}, false
	}
	return s[i].Position, true
}

// The following methods return the value of a key. They panic unless the key is of that kind.

func (c Call) Text(key string) string   { return c.values[key].(string) }
func (c Call) Bool(key string) bool     { return c.values[key].(bool) }
func (c Call) Int(key string) int64     { return c.values[key].(int64) }
func (c Call) Float(key string) float64 { return c.values[key].(float64) }
func (c Call) FloatMap(key string) map[string]float64 {
	return c.values[key].(map[string]float64)
}
func (c Call) IntList(key string) []int        { return c.values[key].([]int) }
func (c Call) AddressList(key string) []string { return c.values[key].([]string) }

// wasNamed reports whether a call named the key, even with an invalid value.
func (c Call) wasNamed(named []starlark.Tuple, key string) bool {
	return slices.ContainsFunc(named, func(t starlark.Tuple) bool { return string(t[0].(starlark.String)) == key })
}

// FunctionTable holds the functions that a script may call, by name.
type FunctionTable[T any] map[string]*Function[T]

func (t FunctionTable[T]) names() []string { return slices.Sorted(maps.Keys(t)) }

// Names returns the names of the functions, sorted.
func (t FunctionTable[T]) Names() []string { return t.names() }

func (f *Function[T]) parameter(key string) *Parameter {
	i := slices.IndexFunc(f.Parameters, func(p *Parameter) bool { return p.Name == key })
	if i < 0 {
		return nil
	}
	return f.Parameters[i]
}

func (f *Function[T]) keys() (keys []string) {
	for _, p := range f.Parameters {
		keys = append(keys, p.Name)
	}
	return keys
}

// parse converts a value of the script to the Go type of the parameter's kind.
func (p *Parameter) parse(v starlark.Value) (any, error) {
	errType := fmt.Errorf("is %s, not %s", v.Type(), kindNames[p.Kind])
	s, isText := starlark.AsString(v)
	switch p.Kind {
	case Text, File:
		if !isText {
			return nil, errType
		}
		if p.Choices != nil && !slices.Contains(p.Choices, s) {
			return nil, fmt.Errorf("is %q, not one of %s", s, strings.Join(p.Choices, ", "))
		}
		return s, nil
	case Address:
		if !isText {
			return nil, errType
		}
		if !isAddress(s) {
			return nil, fmt.Errorf("is %q, not %s", s, kindNames[p.Kind])
		}
		return s, nil
	case AddressList:
		list, ok := v.(*starlark.List)
		if !ok || list.Len() == 0 {
			return nil, errType
		}
		var all []string
		for one := range list.Elements() {
			s, isText := starlark.AsString(one)
			if !isText || !isAddress(s) || slices.Contains(all, s) {
				return nil, fmt.Errorf("has %v, no address HOST:PORT or one that stands twice", one)
			}
			all = append(all, s)
		}
		return all, nil
	case IntList:
		list, ok := v.(starlark.Iterable)
		if _, isText := v.(starlark.String); !ok || isText {
			return nil, errType
		}
		all := []int{}
		for one := range starlark.Elements(list) {
			n, err := starlark.AsInt32(one)
			if _, isInt := one.(starlark.Int); !isInt || err != nil {
				return nil, fmt.Errorf("has %v, no whole number", one)
			}
			if err := p.checkRange(float64(n), strconv.Itoa(n)); err != nil {
				return nil, fmt.Errorf("has one that %w", err)
			}
			all = append(all, n)
		}
		return all, nil
	case FloatMap:
		d, ok := v.(*starlark.Dict)
		if !ok {
			return nil, errType
		}
		all := map[string]float64{}
		for _, pair := range d.Items() {
			name, isText := starlark.AsString(pair[0])
			x, isNumber := starlark.AsFloat(pair[1])
			if !isText || !isNumber || math.IsNaN(x) {
				return nil, fmt.Errorf("has %v: %v, not a number by name", pair[0], pair[1])
			}
			if err := p.checkRange(x, pair[1].String()); err != nil {
				return nil, fmt.Errorf("at %q %w", name, err)
			}
			all[name] = x
		}
		return all, nil
	case Bool:
		b, ok := v.(starlark.Bool)
		if !ok {
			return nil, errType
		}
		return bool(b), nil
	case Int:
		n, err := starlark.AsInt32(v)
		if _, isInt := v.(starlark.Int); !isInt || err != nil {
			return nil, errType
		}
		return int64(n), p.checkRange(float64(n), strconv.Itoa(n))
	case Float:
		x, ok := starlark.AsFloat(v)
		if !ok || math.IsNaN(x) {
			return nil, errType
		}
		return x, p.checkRange(x, v.String())
	case Duration:
		if !isText {
			return nil, errType
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			return nil, fmt.Errorf("is %q, not %s", s, kindNames[p.Kind])
		}
		return int64(d), p.checkRange(float64(d), s)
	default:
		if !isText {
			return nil, errType
		}
		n, err := parseSize(s)
		if err != nil {
			return nil, err
		}
		return n, p.checkRange(float64(n), s)
	}
}

func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	n, e := strconv.Atoi(port)
	return err == nil && e == nil && n >= 1 && n <= 65535 && host != ""
}

// checkRange checks a value against Min and Max. The error shows the value as written in the script.
func (p *Parameter) checkRange(x float64, written string) error {
	if x < p.Min || p.Max > 0 && x > p.Max {
		return fmt.Errorf("is %s, outside %s to %s", written, p.format(p.Min), p.format(p.Max))
	}
	return nil
}

// format returns a value as a script would write it.
func (p *Parameter) format(v any) string {
	if f, ok := v.(float64); ok && (p.Kind == Duration || p.Kind == Int || p.Kind == Size) {
		v = int64(f)
	}
	switch v := v.(type) {
	case int64:
		if p.Kind == Duration {
			return strconv.Quote(time.Duration(v).String())
		}
		return strconv.FormatInt(v, 10)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case bool:
		if v {
			return "True"
		}
		return "False"
	case string:
		return strconv.Quote(v)
	case map[string]float64:
		var all []string
		for _, name := range slices.Sorted(maps.Keys(v)) {
			all = append(all, fmt.Sprintf("%q: %s", name, p.format(v[name])))
		}
		return "{" + strings.Join(all, ", ") + "}"
	case []int:
		var all []string
		for _, n := range v {
			all = append(all, strconv.Itoa(n))
		}
		return "[" + strings.Join(all, ", ") + "]"
	case []string:
		quoted := make([]string, len(v))
		for i, s := range v {
			quoted[i] = strconv.Quote(s)
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	}
	return "none"
}

var sizeUnits = []struct {
	name string
	n    int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// parseSize converts a size such as "64MiB" to bytes.
func parseSize(s string) (int64, error) {
	for _, u := range sizeUnits {
		if rest, found := strings.CutSuffix(s, u.name); found {
			if n, err := strconv.ParseInt(rest, 10, 40); err == nil && n >= 0 && n <= math.MaxInt64/u.n {
				return n * u.n, nil
			}
		}
	}
	return 0, fmt.Errorf("is %q, not %s", s, kindNames[Size])
}

// EffectiveValue is the value of one parameter of a call, whether stated or a default.
type EffectiveValue struct {
	Function string `json:"function"`
	Key      string `json:"key"`
	Value    string `json:"value"`
	Default  bool   `json:"default"`
	Help     string `json:"help"`
	Position string `json:"where"`
}

// Explain returns the parameters of all calls in the order of the script, with the defaults of those that were
// left out.
func (s Calls) Explain() (lines []EffectiveValue) {
	for _, c := range s {
		for _, p := range c.parameters {
			lines = append(lines, EffectiveValue{c.Function, p.Name, p.format(c.values[p.Name]), !c.explicit[p.Name], p.Help,
				c.Position.String()})
		}
	}
	return lines
}

// Uncalled returns the names of the functions that a script did not call, sorted.
func (t FunctionTable[T]) Uncalled(s Calls) (names []string) {
	for _, name := range t.names() {
		if _, called := s.First(name); !called {
			names = append(names, name)
		}
	}
	return names
}

// Describe returns the description of a function and its parameters, or false if there is no function of that
// name.
func (t FunctionTable[T]) Describe(name string) (string, bool) {
	f := t[name]
	if f == nil {
		return "", false
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n", f.Name, f.Help)
	for _, p := range f.Parameters {
		state := "required"
		if p.Default != nil {
			state = "default " + p.format(p.Default)
		}
		fmt.Fprintf(&b, "  %-14s %s: %s (%s)\n", p.Name, kindNames[p.Kind], p.Help, state)
	}
	return b.String(), true
}
