package experiment

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"willowsill/lab/emulator"
)

var update = flag.Bool("update", false, "write the present results of the short runs as the expected ones")

// shrinkExperiment reduces an experiment to one seed, a small fleet and 5 s, with its faults at the same relative times.
func shrinkExperiment(e *Experiment) {
	p := &e.Plan
	e.Seeds = 1
	factor := float64(5*second) / float64(p.Duration)
	scaled := func(t int64) int64 { return int64(float64(t) * factor) }
	if big := p.Aggregators > 20; big {
		p.Aggregators, p.Replicas = 10, 10*p.ReplicasPerShard
	}
	p.Duration, p.MeasureFrom, p.MeasureUntil = scaled(p.Duration), scaled(p.MeasureFrom), scaled(p.MeasureUntil)
	p.WarmUpTime = min(p.WarmUpTime, 3*second)
	for i := range p.Faults {
		f := &p.Faults[i]
		f.From, f.Until = scaled(f.From), scaled(f.Until)
		below := func(all []int, limit int) []int {
			return slices.DeleteFunc(slices.Clone(all), func(n int) bool { return n >= limit })
		}
		f.Replicas, f.Aggregators = below(f.Replicas, p.Replicas/3), below(f.Aggregators, p.Aggregators)
	}
	for i := range p.Workloads {
		p.Workloads[i].Parts = min(p.Workloads[i].Parts, p.Shards())
		p.Workloads[i].BurstInterval, p.Workloads[i].BurstTime = scaled(p.Workloads[i].BurstInterval), scaled(p.Workloads[i].BurstTime)
	}
}

// Short runs of all experiments of the repository give exactly the expected counts, so that unintended changes of behaviour show.
func TestTwins(t *testing.T) {
	files, _ := filepath.Glob("../../experiments/*.star")
	if len(files) < 12 {
		t.Fatalf("found only %d experiments", len(files))
	}
	var lines []string
	var mu sync.Mutex // guards lines
	var wg sync.WaitGroup
	slots := make(chan struct{}, emulator.MaxCores())
	for _, file := range files {
		e, err := Read(file)
		if err != nil {
			t.Fatal(err)
		}
		if want := strings.TrimSuffix(filepath.Base(file), ".star"); e.Name != want {
			t.Errorf("%s has the name %q", file, e.Name)
		}
		shrinkExperiment(e)
		for _, v := range e.Variants {
			if v.Constants != nil { // it needs a program built with these constants
				continue
			}
			mu.Lock()
			at := len(lines)
			lines = append(lines, "")
			mu.Unlock()
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				r, err := emulator.Run(e.PlanFor(v, 1), 1)
				if err != nil {
					t.Error(err)
					return
				}
				if r.Violation != "" && v.RunsOnSockets {
					t.Errorf("%s, %s: %s", e.Name, v.Name, r.Violation)
				}
				mu.Lock()
				defer mu.Unlock()
				lines[at] = fmt.Sprintf("%s, %s: %d of %d in goal, %d late, %d declined, %d executions, rule %d", e.Name, v.Name, r.InGoal,
					r.Asked, r.Late, r.Declined, r.Executions, r.Rule)
			})
		}
	}
	wg.Wait()
	got := strings.Join(lines, "\n") + "\n"
	const file = "testdata/twins.txt"
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	lines = strings.Split(got, "\n")
	for i, line := range strings.Split(string(want), "\n") {
		if i >= len(lines) || lines[i] != line {
			t.Errorf("expected %q, got %q", line, lines[min(i, len(lines)-1)])
		}
	}
}

func read(t *testing.T, text string) (*Experiment, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "a.star")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Read(file)
}

const validScript = `experiment(name = "a", question = "b?", span = "6s", count_from = "1s", count_until = "5s", seeds = 3)
fleet(aggregators = 2, replicas = 8, holders = 4)
queries(rate = 20, parts = 2)
variant(name = "module")
variant(name = "random", policy = "random")
`

// Each mistake in a script is reported, with its position.
func TestFaults(t *testing.T) {
	for name, c := range map[string][2]string{
		"no variant":   {strings.Split(validScript, "variant")[0], "variant is missing"},
		"policy":       {validScript + `variant(name = "x", policy = "best")`, `:6:21: variant: key "policy" is "best", not one of`},
		"twice":        {validScript + `variant(name = "random")`, `a variant "random" already`},
		"replicas":     {validScript + `fault(kind = "hang", replicas = ["x"], at = "1s", until = "2s")`, `key "replicas" has`},
		"no replica":   {validScript + `fault(kind = "hang", replicas = [8], at = "1s", until = "2s")`, "there is no replica 8"},
		"no end":       {validScript + `fault(kind = "hang", replicas = [1], at = "2s", until = "1s")`, `"until" is not after`},
		"parts":        {strings.Replace(validScript, "parts = 2", "parts = 3", 1), "3 parts, and there are 2 shards"},
		"goal":         {strings.Replace(validScript, "parts = 2", `parts = 2, goal = "2s"`, 1), `"goal" is longer`},
		"burst":        {strings.Replace(validScript, "parts = 2", `parts = 2, every = "1s", burst_for = "2s"`, 1), `"burst_for" is longer`},
		"whole groups": {strings.Replace(validScript, "replicas = 8", "replicas = 9", 1), "whole groups"},
		"stretch":      {strings.Replace(validScript, `"5s"`, `"7s"`, 1), "not within the span"},
	} {
		if _, err := read(t, c[0]); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Two runs of an experiment give the same table. Its verdicts are right, and it survives storing, comparing and reporting.
func TestTable(t *testing.T) {
	var texts [2]string
	var table *Table
	for i := range texts {
		e, err := read(t, validScript+`fault(kind = "hang", replicas = [0], at = "1s", until = "5s")`)
		if err != nil {
			t.Fatal(err)
		}
		if table, err = e.Run(EmulatorRunner(), nil); err != nil {
			t.Fatal(err)
		}
		text, _ := json.Marshal(table)
		texts[i] = string(text)
	}
	if texts[0] != texts[1] {
		t.Errorf("two runs gave different tables: %s and %s", texts[0], texts[1])
	}
	if v := table.Rows[1].Verdict; v != "less" || table.Rows[0].Mean <= table.Rows[1].Mean {
		t.Errorf("the verdict on random choice is %q: %+v", v, table.Rows)
	}
	decoded, err := Decode([]byte(texts[0]), "x")
	if err != nil {
		t.Fatal(err)
	}
	rows, err := Compare(decoded, table)
	if err != nil || len(rows) != 2 || rows[1].Against != 0 || rows[1].Verdict != "not told apart" {
		t.Errorf("%+v %v", rows, err)
	}
	changed := *table
	changed.Hash = "0"
	if _, err := Compare(&changed, table); err == nil {
		t.Error("tables of different scripts were compared")
	}
	changed = *table
	changed.Seeds++
	if _, err := Compare(&changed, table); err == nil {
		t.Error("tables with different numbers of seeds were compared")
	}
	if _, err := Decode([]byte(`{"form":9}`), "x"); err == nil {
		t.Error("a table of an unknown format was read")
	}
	var page bytes.Buffer
	if err := Report(&page, []*Table{table}); err != nil || strings.Count(page.String(), "<svg") != 4 ||
		!strings.Contains(page.String(), "random") {
		t.Errorf("%v: %.300s", err, page.String())
	}
	withoutLatencies := *table // stored before tables had latencies
	withoutLatencies.Rows = append([]Row(nil), table.Rows...)
	for i := range withoutLatencies.Rows {
		withoutLatencies.Rows[i].Latencies = nil
	}
	if err := Report(&page, []*Table{&withoutLatencies}); err != nil {
		t.Error(err)
	}
}

// Variants run by two programs are joined to the same table that one program would make, in the script's order.
func TestJoin(t *testing.T) {
	e, err := read(t, validScript+`variant(name = "other", constants = {"balance.maxCalls": 3})`)
	if err != nil {
		t.Fatal(err)
	}
	if v := e.Variants[2]; v.RunsOnSockets || v.Constants["balance.maxCalls"] != 3 {
		t.Errorf("%+v", v)
	}
	want, err := e.Run(EmulatorRunner(), nil)
	if err != nil {
		t.Fatal(err)
	}
	var tables []*Table
	for _, of := range [][]Variant{e.Variants[1:2], {e.Variants[0], e.Variants[2]}} {
		part := *e
		part.Variants = of
		table, err := part.Run(EmulatorRunner(), nil)
		if err != nil {
			t.Fatal(err)
		}
		tables = append(tables, table)
	}
	joined, err := e.JoinTables(tables...)
	if err != nil {
		t.Fatal(err)
	}
	a, _ := json.Marshal(want)
	b, _ := json.Marshal(joined)
	if !bytes.Equal(a, b) {
		t.Errorf("the table of one program is %s, the joined one %s", a, b)
	}
	if _, err := e.JoinTables(tables[0]); err == nil {
		t.Error("a table without all variants was joined")
	}
	tables[1].Seeds++
	if _, err := e.JoinTables(tables...); err == nil {
		t.Error("tables with different numbers of seeds were joined")
	}
}

// The confidence interval is a point if all values are equal, and contains the mean of symmetric values.
func TestInterval(t *testing.T) {
	if low, high := ConfidenceInterval([]float64{2, 2, 2}); low != 2 || high != 2 {
		t.Errorf("%v to %v", low, high)
	}
	if low, high := ConfidenceInterval([]float64{-1, 1, -1, 1, -1, 1}); low >= 0 || high <= 0 {
		t.Errorf("%v to %v", low, high)
	}
}
