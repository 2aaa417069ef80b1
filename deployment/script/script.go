// Package script reads Starlark scripts that configure something by calling functions with named, checked
// parameters. It reports all errors at once, fills in defaults and explains the resulting values. It reads no
// files but the script and those that it loads from the same folder.
package script

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/agnivade/levenshtein"
	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Limits of a script. MaxFileBytes is the limit for each file.
const (
	maxSteps        = 5_000_000       // interpreter steps of the whole script
	maxDuration     = 2 * time.Second // limit for running the whole script
	MaxFileBytes    = 1 << 20
	maxFaults       = 50 // errors that are reported at once
	maxEditDistance = 3  // edits from an unknown name to one that is suggested instead
)

// Fault is one error in a script.
type Fault struct {
	Position string // FILE:LINE:COLUMN, or the file alone
	Message  string // names the key at fault
}

func (f Fault) Error() string { return f.Position + ": " + f.Message }

// Faults are the errors found in a script, sorted by position, at most maxFaults.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Read runs a script and applies its calls to a value. If all calls are valid, together is called to check what
// depends on several of them; it may be nil. The error is of type Faults, unless the script could not be read at
// all.
func Read[T any](file string, functions FunctionTable[T], to *T, together func(Calls, ReportFault)) (Calls, error) {
	r := &reader[T]{functions: functions, target: to, dir: filepath.Dir(file), modules: map[string]*module{},
		keyPositions: map[string]map[string]syntax.Position{}, lastCalls: map[string]syntax.Position{}}
	timer := time.AfterFunc(maxDuration, r.cancel)
	defer timer.Stop()
	if _, err := r.run(filepath.Base(file)); err != nil {
		if !errors.As(err, new(Fault)) {
			return nil, err
		}
		r.faults = append(r.faults, err.(Fault))
	}
	if together != nil && len(r.faults) == 0 {
		together(r.calls, r.addFault)
	}
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Compare(a.Position, b.Position) })
		return nil, r.faults[:min(len(r.faults), maxFaults)]
	}
	return r.calls, nil
}

// ReportFault records an error at a position in the script.
type ReportFault func(at syntax.Position, format string, args ...any)

// module is a file that the script loaded.
type module struct {
	globals starlark.StringDict
	err     error
}

// reader runs one script with the files that it loads, and collects their calls and errors.
type reader[T any] struct {
	functions    FunctionTable[T]
	target       *T
	calls        Calls
	dir          string
	modules      map[string]*module                    // files loaded, by name; nil while the file is being run
	keyPositions map[string]map[string]syntax.Position // positions of a call's keys, by the position of its parenthesis
	lastCalls    map[string]syntax.Position            // position of the latest call of each function
	faults       Faults
	current      atomic.Pointer[starlark.Thread] // the thread that runs now
	timedOut     atomic.Bool                     // the time limit was reached
	steps        uint64                          // interpreter steps taken by the files that have been run
}

func (r *reader[T]) cancel() {
	r.timedOut.Store(true)
	if t := r.current.Load(); t != nil {
		t.Cancel("it takes longer than " + maxDuration.String())
	}
}

// run runs one file of the script's folder.
//
// Danger: a script that never ends would delay the start, and one that loads files from elsewhere would read what
// it must not.
func (r *reader[T]) run(name string) (starlark.StringDict, error) {
	path := filepath.Join(r.dir, name)
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > MaxFileBytes {
		return nil, Fault{path, fmt.Sprintf("has %d bytes, over %d", info.Size(), MaxFileBytes)}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	options := &syntax.FileOptions{TopLevelControl: true, Set: true}
	tree, err := options.Parse(path, text, 0)
	if err != nil {
		return nil, asFault(path, err)
	}
	r.recordKeyPositions(tree)
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {},
		Load: func(t *starlark.Thread, file string) (starlark.StringDict, error) { return r.load(file) }}
	if r.steps >= maxSteps || r.timedOut.Load() {
		return nil, Fault{path, "the script is too long"}
	}
	thread.SetMaxExecutionSteps(maxSteps - r.steps)
	outer := r.current.Swap(thread)
	defer func() {
		r.current.Store(outer)
		r.steps += thread.ExecutionSteps()
	}()
	program, err := starlark.FileProgram(tree, func(name string) bool { _, ok := r.functions[name]; return ok })
	if err != nil {
		return nil, r.reportUndefined(path, err)
	}
	globals, err := program.Init(thread, r.builtins())
	if err != nil {
		return nil, asFault(path, err)
	}
	globals.Freeze()
	return globals, nil
}

// load runs a file that a script loads. If it has been run before, load returns the earlier result.
func (r *reader[T]) load(name string) (starlark.StringDict, error) {
	if name != filepath.Base(name) || !strings.HasSuffix(name, ".star") {
		return nil, fmt.Errorf("%q is no .star file beside the script", name)
	}
	m, known := r.modules[name]
	if known && m == nil {
		return nil, fmt.Errorf("%q loads itself", name)
	}
	if !known {
		r.modules[name] = nil
		m = &module{}
		m.globals, m.err = r.run(name)
		r.modules[name] = m
	}
	return m.globals, m.err
}

// recordKeyPositions records the positions of the keys in each call, which are not available when the call is
// executed.
func (r *reader[T]) recordKeyPositions(tree *syntax.File) {
	syntax.Walk(tree, func(n syntax.Node) bool {
		if c, ok := n.(*syntax.CallExpr); ok {
			at := map[string]syntax.Position{}
			for _, a := range c.Args {
				if b, ok := a.(*syntax.BinaryExpr); ok && b.Op == syntax.EQ {
					if name, ok := b.X.(*syntax.Ident); ok {
						at[name.Name] = name.NamePos
					}
				}
			}
			r.keyPositions[c.Lparen.String()] = at
		}
		return true
	})
}

// asFault converts an error of the interpreter to a Fault with its position.
func asFault(path string, err error) error {
	var fault Fault
	if errors.As(err, &fault) {
		return fault
	}
	var evalErr *starlark.EvalError
	if errors.As(err, &evalErr) {
		for i := range evalErr.CallStack {
			if p := evalErr.CallStack.At(i).Pos; p.Line > 0 {
				return Fault{p.String(), evalErr.Msg}
			}
		}
		return Fault{path, evalErr.Msg}
	}
	var syntaxErr syntax.Error
	if errors.As(err, &syntaxErr) {
		return Fault{syntaxErr.Pos.String(), syntaxErr.Msg}
	}
	return Fault{path, err.Error()}
}

// reportUndefined reports all undefined names. It returns the last as the error that ends the script.
func (r *reader[T]) reportUndefined(path string, err error) error {
	var all resolve.ErrorList
	if !errors.As(err, &all) {
		return asFault(path, err)
	}
	for _, e := range all {
		text := e.Msg
		if _, word, found := strings.Cut(e.Msg, "undefined: "); found {
			text = fmt.Sprintf("%q is no function of this file", word)
			if meant := closestName(word, r.functions.names()); meant != "" {
				text += "; is " + meant + " meant?"
			}
		}
		r.addFault(e.Pos, "%s", text)
	}
	last := r.faults[len(r.faults)-1]
	r.faults = r.faults[:len(r.faults)-1]
	return last
}

// closestName returns the most similar name, or "" if none is similar.
func closestName(word string, among []string) string {
	best, at := maxEditDistance+1, ""
	for _, s := range among {
		if d := levenshtein.ComputeDistance(word, s); d < best {
			best, at = d, s
		}
	}
	return at
}

// addFault records an error and lets the script go on, so that all errors are reported at once.
func (r *reader[T]) addFault(at syntax.Position, format string, args ...any) {
	r.faults = append(r.faults, Fault{at.String(), fmt.Sprintf(format, args...)})
}

// builtins returns the functions as predeclared names for the interpreter.
func (r *reader[T]) builtins() starlark.StringDict {
	d := starlark.StringDict{}
	for name, f := range r.functions {
		d[name] = starlark.NewBuiltin(name, func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple,
			named []starlark.Tuple) (starlark.Value, error) {
			r.handleCall(t.CallFrame(1).Pos, f, args, named)
			return starlark.None, nil
		})
	}
	return d
}

// handleCall checks one call and applies it.
func (r *reader[T]) handleCall(at syntax.Position, f *Function[T], args starlark.Tuple, named []starlark.Tuple) {
	before := len(r.faults)
	if len(args) > 0 {
		r.addFault(at, "%s: its values are given by key", f.Name)
	}
	if earlier, again := r.lastCalls[f.Name]; again && !f.Repeatable {
		r.addFault(at, "%s is called a second time; first at %s", f.Name, earlier)
	}
	r.lastCalls[f.Name] = at
	c := Call{Function: f.Name, Position: at, parameters: f.Parameters, values: map[string]any{}, explicit: map[string]bool{}}
	for _, pair := range named {
		key := string(pair[0].(starlark.String))
		where, found := r.keyPositions[at.String()][key]
		if !found {
			where = at
		}
		p := f.parameter(key)
		if p == nil {
			hint := ""
			if meant := closestName(key, f.keys()); meant != "" {
				hint = "; is " + meant + " meant?"
			}
			r.addFault(where, "%s: key %q is unknown%s", f.Name, key, hint)
			continue
		}
		v, err := p.parse(pair[1])
		if err != nil {
			r.addFault(where, "%s: key %q %v", f.Name, key, err)
			continue
		}
		c.values[key], c.explicit[key] = v, true
	}
	for _, p := range f.Parameters {
		if c.values[p.Name] == nil {
			if p.Default == nil && !c.wasNamed(named, p.Name) {
				r.addFault(at, "%s: key %q is missing", f.Name, p.Name)
			}
			c.values[p.Name] = p.Default
		}
	}
	if len(r.faults) > before {
		return
	}
	r.calls = append(r.calls, c)
	if err := f.Apply(r.target, c); err != nil {
		r.addFault(at, "%s: %v", f.Name, err)
	}
}
