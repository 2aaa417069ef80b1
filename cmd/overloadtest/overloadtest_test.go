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

// The process is stopped by a signal while it serves. It must detect for how long, fail no query, and count almost no execution as
// timed out or cancelled because of the stop.
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

// Under five times the load that it can serve, the program must earn at least twice the revenue with overload detection that it
// earns without. The clients run in a process of their own without the race detector, and the load depends on the capacity measured
// here: clients in this process could not send a fixed 6,000 queries a second within the goal on a slow or busy machine.
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
		t.Logf("%s: capacity %.0f queries/s; revenue %.0f of %.0f, rejected %.0f with and %.0f without reading the header, high value %+v, low value %+v", r.Variant, r.Capacity,
			r.Revenue, r.BestRevenue, r.RejectedRead, r.RejectedUnread, *r.HighValue, *r.LowValue)
		kept = append(kept, r)
	}
	if len(kept) != 2 || kept[0].HighValue.Asked == 0 || kept[1].HighValue.Asked == 0 {
		t.Fatalf("want results of both variants: %s", out)
	}
	if kept[1].Revenue < 2*kept[0].Revenue {
		t.Errorf("revenue %.0f per second with overload detection, %.0f without", kept[1].Revenue, kept[0].Revenue)
	}
	if kept[1].Revenue < kept[1].BestRevenue/4 {
		t.Errorf("revenue %.0f per second with overload detection, %.0f with a perfect shedder", kept[1].Revenue, kept[1].BestRevenue)
	}
}
