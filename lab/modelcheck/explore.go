package modelcheck

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
)

// Result says how much of a scope an exploration visited, and which invariant it found broken.
type Result struct {
	Scope  string
	States int64    // number of different states visited
	Steps  int64    // number of transitions taken
	Depth  int      // depth of a breadth-first search; 0 for a depth-first one
	All    bool     // every state of the scope was visited
	Broken string   // the invariant that was found broken, empty for none
	Trace  []string // the events that lead there; the shortest possible list if the search was breadth-first
}

// String returns the result in a line, with the trace below it.
func (r Result) String() string {
	text := fmt.Sprintf("%s: %d states, %d steps", r.Scope, r.States, r.Steps)
	if r.All {
		text += ", all of them"
	}
	if r.Broken != "" {
		text += "\n  broken: " + r.Broken + "\n  " + strings.Join(r.Trace, "\n  ")
	}
	return text
}

// keySet is a set of keys of states with a fixed capacity. It is safe for concurrent use.
type keySet struct {
	slots []atomic.Uint64
	mask  uint64
	n     atomic.Int64
}

func newKeySet(capacity int64) *keySet {
	size := uint64(1 << 10)
	for size < uint64(capacity)*3/2 {
		size *= 2
	}
	return &keySet{slots: make([]atomic.Uint64, size), mask: size - 1}
}

// add adds a key other than 0 and returns whether it was new.
func (s *keySet) add(key uint64) bool {
	for i := key; ; i++ {
		slot := &s.slots[i&s.mask]
		switch slot.Load() {
		case key:
			return false
		case 0:
			if slot.CompareAndSwap(0, key) {
				s.n.Add(1)
				return true
			}
			i--
		}
	}
}

// path is the list of events that led to a state, as a linked list from the last event to the first.
type path struct {
	before *path
	event  event
	depth  int
}

func (x *exploration) trace(w *path) (lines []string) {
	for ; w != nil && w.before != nil; w = w.before {
		lines = append([]string{x.describe(w.event)}, lines...)
	}
	return lines
}

type node struct {
	w    *world
	path *path
}

// BreadthFirst explores a scope breadth-first, so that the first broken invariant has the shortest possible trace. It
// stops after maxStates states. With workers 0 it uses one worker for each core.
func BreadthFirst(s Scope, maxStates int64, workers int) Result {
	x := newExploration(s)
	r := Result{Scope: s.Name, All: true}
	known := newKeySet(maxStates + maxStates/8)
	level := []node{{x.begin(known), &path{}}}
	var steps atomic.Int64
	for len(level) > 0 && r.Broken == "" {
		var mu sync.Mutex
		var next []node
		x.each(workers, len(level), func(worker *worker, i int) {
			var local []node
			worker.next(level[i].w, func(e event, w *world, err error) bool {
				steps.Add(1)
				if err != nil {
					mu.Lock()
					defer mu.Unlock()
					if r.Broken == "" {
						r.Broken, r.Trace = err.Error(), x.trace(&path{level[i].path, e, 0})
					}
					return false
				}
				if known.n.Load() < maxStates && known.add(w.key()) {
					local = append(local, node{w, &path{level[i].path, e, level[i].path.depth + 1}})
				}
				return true
			})
			mu.Lock()
			next = append(next, local...)
			mu.Unlock()
		})
		r.All = r.All && known.n.Load() < maxStates
		if level = next; len(level) > 0 {
			r.Depth++
		}
	}
	r.States, r.Steps, r.All = known.n.Load(), steps.Load(), r.All && r.Broken == ""
	return r
}

// each calls do for every number below n, distributed over several workers.
func (x *exploration) each(workers, n int, do func(*worker, int)) {
	if workers <= 0 {
		workers = runtime.NumCPU()
	}
	var all sync.WaitGroup
	var at atomic.Int64
	for range min(workers, n) {
		all.Go(func() {
			worker := x.newWorker()
			for {
				i := int(at.Add(1)) - 1
				if i >= n {
					return
				}
				do(worker, i)
			}
		})
	}
	all.Wait()
}

func (x *exploration) begin(known *keySet) *world {
	w := x.first()
	worker := x.newWorker()
	for _, m := range w.machines {
		worker.key = m.rehash(worker.key)
	}
	known.add(w.key())
	return w
}

// maxLocalStates is the number of states that a worker keeps to itself; with more, it gives half of them to idle workers.
const maxLocalStates = 64

// DepthFirst explores a scope depth first, with little memory for each state, for large scopes. It stops once it has
// visited maxStates states or found a broken invariant. progress, if not nil, is called with the number of states every 2^22 states.
func DepthFirst(s Scope, maxStates int64, workers int, progress func(states int64)) Result {
	if workers <= 0 {
		workers = runtime.NumCPU()
	}
	x := newExploration(s)
	known := newKeySet(maxStates + maxStates/8)
	r := Result{Scope: s.Name, All: true}
	var mu sync.Mutex
	wake := sync.NewCond(&mu)
	pool, waiting, over := []node{{x.begin(known), &path{}}}, 0, false
	var steps atomic.Int64
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			worker := x.newWorker()
			var local []node
			for {
				if len(local) == 0 {
					mu.Lock()
					waiting++
					for len(pool) == 0 && !over && waiting < workers {
						wake.Wait()
					}
					if over || len(pool) == 0 {
						over = true
						wake.Broadcast()
						mu.Unlock()
						return
					}
					waiting--
					n := max(len(pool)/workers, 1)
					local = append(local, pool[len(pool)-n:]...)
					pool = pool[:len(pool)-n]
					mu.Unlock()
				}
				from := local[len(local)-1]
				local = local[:len(local)-1]
				worker.next(from.w, func(e event, w *world, err error) bool {
					steps.Add(1)
					if err == nil {
						if n := known.n.Load(); n < maxStates && known.add(w.key()) {
							local = append(local, node{w, &path{from.path, e, 0}})
							if n++; progress != nil && n%(1<<22) == 0 {
								progress(n)
							}
						}
						return true
					}
					mu.Lock()
					defer mu.Unlock()
					if r.Broken == "" {
						r.Broken, r.Trace = err.Error(), x.trace(&path{from.path, e, 0})
					}
					over = true
					wake.Broadcast()
					return false
				})
				if known.n.Load() >= maxStates {
					r.All = false // several workers may write this, all the same value
					mu.Lock()
					over = true
					wake.Broadcast()
					mu.Unlock()
					return
				}
				if len(local) > maxLocalStates || over {
					mu.Lock()
					if over {
						mu.Unlock()
						return
					}
					if waiting > 0 {
						n := len(local) / 2
						pool = append(pool, local[:n]...)
						local = append(local[:0], local[n:]...)
						wake.Broadcast()
					}
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	r.States, r.Steps, r.All = known.n.Load(), steps.Load(), r.All && r.Broken == ""
	return r
}
