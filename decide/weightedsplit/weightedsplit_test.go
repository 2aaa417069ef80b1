package weightedsplit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"willowsill/decide/routeconfig"
)

const (
	window              = 300  // requests in a window over which shares are measured
	maxDifference       = 0.06 // largest difference between a service's share in a window and its weight
	minRandomDifference = 0.07 // lowest difference that independent random draws reach in some window
)

// split returns a route with weights for the services s0, s1 and so on.
func split(weights ...float64) *routeconfig.Route {
	r := &routeconfig.Route{Name: "split"}
	for i, w := range weights {
		r.Targets = append(r.Targets, routeconfig.Target{Service: fmt.Sprint("s", i), Weight: w})
	}
	return r
}

// sequencePositions returns positions for requests that arrive at random edges, at some edges more often than at others.
func sequencePositions(edges int, seed uint64) (position func() float64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	var sequences []*Sequence
	for i := range edges {
		sequences = append(sequences, New(fmt.Sprint("10.0.", seed, ".", i), "split"))
	}
	return func() float64 { return sequences[int(float64(edges)*rng.Float64()*rng.Float64())].Next() }
}

// largestDifference returns the largest difference between a service's share in any window and its weight, over 3000 requests.
func largestDifference(route *routeconfig.Route, position func() float64) (worst float64) {
	const requests = 3000
	total := 0.0
	for _, target := range route.Targets {
		total += target.Weight
	}
	var chosen []string
	for range requests {
		chosen = append(chosen, route.Pick(position()))
	}
	for from := 0; from+window <= len(chosen); from++ {
		counts := map[string]int{}
		for _, service := range chosen[from : from+window] {
			counts[service]++
		}
		for _, target := range route.Targets {
			share := float64(counts[target.Service]) / window
			worst = max(worst, math.Abs(share-target.Weight/total))
		}
	}
	return worst
}

// TestSharesInEveryWindow: any 300 requests in a row are split by the weights, at one edge and over many edges. An
// independent random draw for each request, for example by a hash of its id, differs more in some windows.
func TestSharesInEveryWindow(t *testing.T) {
	for _, weights := range [][]float64{{1, 1}, {1, 3}, {1, 9}, {5, 95}, {2, 3, 5}, {0, 1, 1}} {
		for _, edges := range []int{1, 9, 60} {
			for seed := range uint64(3) {
				worst := largestDifference(split(weights...), sequencePositions(edges, seed))
				must.Less(t, maxDifference, worst, must.Sprint(weights, " over ", edges, " edges, seed ", seed))
			}
		}
	}
	rng := rand.New(rand.NewPCG(1, 0))
	must.Greater(t, minRandomDifference, largestDifference(split(1, 1), rng.Float64))
}

// TestAnotherWeightNextTime: when the weights change, the sequence continues and the new weights apply at once.
func TestAnotherWeightNextTime(t *testing.T) {
	sequence := New("10.0.0.1", "split")
	before, after := split(1, 1), split(1, 9)
	for range 17 {
		before.Pick(sequence.Next())
	}
	first := 0
	for range window {
		if after.Pick(sequence.Next()) == "s0" {
			first++
		}
	}
	must.Between(t, 27, first, 33)
}

// TestPositions: each position is in [0, 1), also after very many requests.
func TestPositions(t *testing.T) {
	sequence := New("10.0.0.1", "split")
	sequence.issued.Store(1 << 40)
	for range 1000 {
		position := sequence.Next()
		must.GreaterEq(t, 0, position)
		must.Less(t, 1, position)
	}
}
