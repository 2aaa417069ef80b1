package modelcheck

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
)

// Result is what an exploration found.
type Result struct {
	Scope  string
	States int64    // different ones that were seen
	Steps  int64    // from one to the next
	Depth  int      // of the longest shortest way; 0 where depth comes first
	All    bool     // nothing in the scope is left
	Broken string   // the promise that was found broken, empty for none
	Trace  []string // the shortest way there, or a way where depth comes first
}

// String is the result in a line, and the trace below it.
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

// seen is a set of keys that many may add to at once. It holds as many as it was made for.
type seen struct {
	slots []atomic.Uint64
	mask  uint64
	n     atomic.Int64
}

func newSeen(most int64) *seen {
	size := uint64(1 << 10)
	for size < uint64(most)*3/2 {
		size *= 2
	}
	return &seen{slots: make([]atomic.Uint64, size), mask: size - 1}
}

// add tells whether a key is new.
func (s *seen) add(key uint64) bool {
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

// way is how a state was come by.
type way struct {
	before *way
	event  event
	depth  int
}

func (c *chart) trace(w *way) (lines []string) {
	for ; w != nil && w.before != nil; w = w.before {
		lines = append([]string{c.tell(w.event)}, lines...)
	}
	return lines
}

type node struct {
	w   *world
	way *way
}

// Widely explores a scope step by step, so that the first broken promise comes with a shortest way to it. It
// stops once most states were seen; 0 workers for all cores.
func Widely(s Scope, most int64, workers int) Result {
	c := newChart(s)
	r := Result{Scope: s.Name, All: true}
	known := newSeen(most + most/8)
	level := []node{{c.begin(known), &way{}}}
	var steps atomic.Int64
	for len(level) > 0 && r.Broken == "" {
		var mu sync.Mutex
		var next []node
		c.each(workers, len(level), func(h *sailor, i int) {
			var mine []node
			h.next(level[i].w, func(e event, w *world, err error) bool {
				steps.Add(1)
				if err != nil {
					mu.Lock()
					defer mu.Unlock()
					if r.Broken == "" {
						r.Broken, r.Trace = err.Error(), c.trace(&way{level[i].way, e, 0})
					}
					return false
				}
				if known.n.Load() < most && known.add(w.key()) {
					mine = append(mine, node{w, &way{level[i].way, e, level[i].way.depth + 1}})
				}
				return true
			})
			mu.Lock()
			next = append(next, mine...)
			mu.Unlock()
		})
		r.All = r.All && known.n.Load() < most
		if level = next; len(level) > 0 {
			r.Depth++
		}
	}
	r.States, r.Steps, r.All = known.n.Load(), steps.Load(), r.All && r.Broken == ""
	return r
}

// each calls do for every number below n, on all workers.
func (c *chart) each(workers, n int, do func(*sailor, int)) {
	if workers <= 0 {
		workers = runtime.NumCPU()
	}
	var all sync.WaitGroup
	var at atomic.Int64
	for range min(workers, n) {
		all.Go(func() {
			h := c.sailor()
			for {
				i := int(at.Add(1)) - 1
				if i >= n {
					return
				}
				do(h, i)
			}
		})
	}
	all.Wait()
}

func (c *chart) begin(known *seen) *world {
	w := c.first()
	h := c.sailor()
	for _, m := range w.machines {
		h.key = m.rehash(h.key)
	}
	known.add(w.key())
	return w
}

const handOver = 64 // states that a worker keeps before it lets others have some

// Deeply explores a scope depth first, with little memory a state: for the large ones. It stops once most
// states were seen.
func Deeply(s Scope, most int64, workers int, progress func(states int64)) Result {
	if workers <= 0 {
		workers = runtime.NumCPU()
	}
	c := newChart(s)
	known := newSeen(most + most/8)
	r := Result{Scope: s.Name, All: true}
	var mu sync.Mutex
	wake := sync.NewCond(&mu)
	pool, waiting, over := []node{{c.begin(known), &way{}}}, 0, false
	var steps atomic.Int64
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			h := c.sailor()
			var mine []node
			for {
				if len(mine) == 0 {
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
					mine = append(mine, pool[len(pool)-n:]...)
					pool = pool[:len(pool)-n]
					mu.Unlock()
				}
				from := mine[len(mine)-1]
				mine = mine[:len(mine)-1]
				h.next(from.w, func(e event, w *world, err error) bool {
					steps.Add(1)
					if err == nil {
						if n := known.n.Load(); n < most && known.add(w.key()) {
							mine = append(mine, node{w, &way{from.way, e, 0}})
							if n++; progress != nil && n%(1<<22) == 0 {
								progress(n)
							}
						}
						return true
					}
					mu.Lock()
					defer mu.Unlock()
					if r.Broken == "" {
						r.Broken, r.Trace = err.Error(), c.trace(&way{from.way, e, 0})
					}
					over = true
					wake.Broadcast()
					return false
				})
				if known.n.Load() >= most {
					r.All = false // written alike by all
					mu.Lock()
					over = true
					wake.Broadcast()
					mu.Unlock()
					return
				}
				if len(mine) > handOver || over {
					mu.Lock()
					if over {
						mu.Unlock()
						return
					}
					if waiting > 0 {
						n := len(mine) / 2
						pool = append(pool, mine[:n]...)
						mine = append(mine[:0], mine[n:]...)
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
