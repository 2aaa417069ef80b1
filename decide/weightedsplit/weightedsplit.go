// Package weightedsplit spreads the requests of a route over the services of its weighted split. It does no I/O.
//
// Decides: where in a route's weights the next request falls, so that any run of some hundred requests is shared as the
// weights say, not only the mean over a day.
package weightedsplit

import (
	"math"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// goldenRatio is the fractional part of the golden ratio. Steps of it, modulo 1, fall into every interval about as often
// as it is long, however few of them are looked at (an additive recurrence of low discrepancy).
const goldenRatio = 0.6180339887498949

const hashRange = 1 << 64

// Sequence gives the positions of one route's requests at one edge, each from 0 up to 1. It may be used from any
// goroutine.
type Sequence struct {
	start  float64
	issued atomic.Uint64
}

// New begins the sequence of a route at an edge. Where it begins depends on both: edges that began alike would all send
// their first requests to the same service.
func New(edge, route string) *Sequence {
	return &Sequence{start: float64(xxhash.Sum64String(edge+" "+route)) / hashRange}
}

// Next returns where in the route's weights the next request falls.
func (s *Sequence) Next() float64 {
	count := s.issued.Add(1) - 1
	_, position := math.Modf(s.start + float64(count)*goldenRatio)
	return position
}
