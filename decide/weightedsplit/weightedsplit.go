// Package weightedsplit spreads the requests of a route over the services of its weighted split. It does no I/O.
//
// Decides: at which position in a route's weights the next request falls, so that each run of some hundred requests is split
// by the weights, and not only a long-term mean.
package weightedsplit

import (
	"math"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// goldenRatio is the fractional part of the golden ratio. Multiples of it, modulo 1, fall into each interval about in
// proportion to its length, even after few steps (an additive recurrence of low discrepancy).
const goldenRatio = 0.6180339887498949

// hashRange is the number of values of a 64-bit hash.
const hashRange = 1 << 64

// Sequence generates the positions of one route's requests at one edge, each in [0, 1). It is safe for concurrent use.
type Sequence struct {
	start  float64
	issued atomic.Uint64
}

// New returns the sequence of a route at an edge. It starts at a position that depends on both, because edges with the same
// start would all send their first requests to the same service.
func New(edge, route string) *Sequence {
	return &Sequence{start: float64(xxhash.Sum64String(edge+" "+route)) / hashRange}
}

// Next returns the position of the next request in the route's weights.
func (s *Sequence) Next() float64 {
	count := s.issued.Add(1) - 1
	_, position := math.Modf(s.start + float64(count)*goldenRatio)
	return position
}
