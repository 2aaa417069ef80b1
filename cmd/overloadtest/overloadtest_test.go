package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"testing"
	"time"

	"willowsill/standin/program"
)

// The process is stopped by a signal while it serves: it sees how long it stood, loses no query, and blames no replica.
func TestStops(t *testing.T) {
	s, err := RunStops(t.Context(), program.Build(t), "strain()\n", 100, time.Second, 2*time.Second, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v %+v", s, s.Outcome)
	if s.Stood < 1.8 || s.Outcome.Failed > 0 || s.TimedOut+s.Cancelled > 5 || s.Outcome.InGoal < s.Outcome.Asked/3 {
		t.Errorf("%+v %+v", s, s.Outcome)
	}
}

// Five times what can be served: more of the revenue is kept than by the program without its strain known. The clients are a
// process of their own without the race detector, and the load follows what the program serves here: 6,000 a second from clients
// of this process were, on a slow or busy machine, more than the clients could send within the goal, whatever the program did.
func TestBurst(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), program.BuildCommand(t, "overloadtest"), "burst", "--json", "--times", "5", "--for", "4s",
		"--parts", "32", "--program", program.Build(t)).Output()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	var kept []BurstResult
	for lines := json.NewDecoder(bytes.NewReader(out)); ; {
		var r BurstResult
		err := lines.Decode(&r)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %.0f a second can be served; revenue %.0f of %.0f, refused %.0f, unseen %.0f, dear %+v, cheap %+v", r.Variant, r.Capacity,
			r.Revenue, r.BestRevenue, r.RejectedRead, r.RejectedUnread, *r.HighValue, *r.LowValue)
		kept = append(kept, r)
	}
	if len(kept) != 2 || kept[0].HighValue.Asked == 0 || kept[1].HighValue.Asked == 0 {
		t.Fatalf("results of both ways wanted: %s", out)
	}
	if kept[1].Revenue < 2*kept[0].Revenue {
		t.Errorf("%.0f a second with its strain known, %.0f without", kept[1].Revenue, kept[0].Revenue)
	}
	if kept[1].Revenue < kept[1].BestRevenue/4 {
		t.Errorf("%.0f a second with its strain known, of %.0f that a perfect shedder earns", kept[1].Revenue, kept[1].BestRevenue)
	}
}
