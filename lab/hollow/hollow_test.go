package hollow

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/decide/routeconfig"
)

func TestMain(m *testing.M) {
	Part()
	os.Exit(m.Run())
}

// TestHollow: a small run measures every role, every change is in force everywhere, and heartbeats are answered.
func TestHollow(t *testing.T) {
	r, err := Run(t.Context(), Options{Controllers: 3, Edges: 8, Replicas: 20, Zones: 2, Routes: 10, ChangesPerMinute: 120,
		ChurnPerMinute: 60, Beat: 200 * time.Millisecond, Span: 2 * time.Second, Settle: 200 * time.Millisecond})
	must.NoError(t, err)
	must.Eq(t, 4, r.Changes)
	must.Zero(t, r.NotEverywhere)
	must.SliceLen(t, 4, r.InForceMS)
	must.Positive(t, r.Beats.Acknowledged)
	units := map[string]int{}
	for _, role := range r.Roles {
		units[role.Name] = role.Units
		must.Positive(t, role.MB, must.Sprint(role))
		must.Positive(t, role.Received, must.Sprint(role))
	}
	must.Eq(t, map[string]int{"controller": 3, "relay": 1, "agent": 1, "proxy": 1, "hollow edges": 6, "hollow replicas": 20}, units)
	var text strings.Builder
	r.Print(&text)
	must.StrContains(t, text.String(), "4 changes")
}

// TestChecks: what would not fit is refused before anything starts.
func TestChecks(t *testing.T) {
	fits := Options{Controllers: 1, Edges: 3, Zones: 1, Routes: 1, Beat: time.Second, Span: time.Second}
	must.NoError(t, fits.check())
	large := fits
	large.Edges, large.Replicas = 4000, 40000
	must.ErrorContains(t, large.check(), "million")
	_, err := Run(t.Context(), Options{})
	must.Error(t, err)
}

// TestConfiguration: each revision is a valid configuration, and differs from the one before in little.
func TestConfiguration(t *testing.T) {
	for revision := uint64(1); revision < 20; revision++ {
		c, err := routeconfig.Read(configuration(revision, 10))
		must.NoError(t, err)
		must.Eq(t, revision, c.Revision)
		must.SliceLen(t, 10, c.Routes)
	}
}
