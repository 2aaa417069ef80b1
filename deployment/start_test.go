package deployment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"willowsill/balance"
)

const validConfig = `{"name":"n3","listen":"127.0.0.4:8081","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"seq":41,"whole":true,"hosts":[]},
"settings":{"balancers":2,"index":1,"tick":5,"membership_mode":"push",
"caps":{"cancel":true,"conn_idle":15000,"connect_timeout":250,"max_attempts":3,"max_retry_after":2000,
"most_held":277,"retry_after":true,"streams_per_conn":32},
"classes":[{"give_up":3000,"late_worth":0.3,"name":"report","repeat":"free","slo":1500,"window":5000}],
"domain":{"cells":6,"class_floor":[1],"class_need":[1],"follow_up":[0],"in_a_row":1,"incomplete_worth":[0.9],
"parts_a_call":1,"slices":12},
"guarantees":{"cold_from":0.16,"fall":1000,"fall_multiple":4,"ramp_time":16000}}}`

// environment writes a configuration file and returns the environment variables of a process that uses it.
func environment(t *testing.T, text string) map[string]string {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return map[string]string{"NODE_CONFIG": path, "NODE_NAME": "n3", "NODE_LISTEN": "127.0.0.4:8081",
		"NODE_DISCOVERY": "127.0.0.1:8500"}
}

// fromEnvironment reads an environment and the configuration file that it names.
func fromEnvironment(variables map[string]string) (Config, error) {
	e, err := ReadEnvironment(func(name string) string { return variables[name] })
	if err != nil {
		return Config{}, err
	}
	return e.ReadConfig()
}

// readConfig reads a configuration that must be valid.
func readConfig(t *testing.T, text string) Config {
	t.Helper()
	env := environment(t, text)
	s, err := fromEnvironment(env)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestStart(t *testing.T) {
	s := readConfig(t, strings.Replace(validConfig, `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", 1))
	if s.Seed != 0x8c1f30d27a5be964 || s.Descriptors != 1024 || s.MemoryBytes != 192<<20 || s.Cores != 1 || s.Listen != "127.0.0.4:8081" {
		t.Errorf("read %+v", s)
	}
	if s.Limits != (Limits{MaxHeld: 277, CallsPerConnection: 32, ConnectTimeout: 250e6, IdleTimeout: 15e9, LongestClientTimeout: 3e9}) {
		t.Errorf("read the limits %+v", s.Limits)
	}
	if s.Tick != 5e6 || s.Index != 1 || s.WorkloadRow["report"] != 0 || s.Workloads[0].LatencyGoal != 1500e6 {
		t.Errorf("read the deployment %+v", s.Deployment)
	}
}

// The rules and the workloads' values of a configuration are passed to the decision module.
func TestStartRules(t *testing.T) {
	text := strings.NewReplacer(`"fall":1000,`, `"fall":1500,"ratio_span":10000,"budget_free":10,"extra_per_request":0.2,`,
		`"repeat":"free"`, `"repeat":"single_shot","worth":3`, `"retry_after":true`, `"retry_after":false`,
		`"fall_multiple":4`, `"fall_multiple":2.5`).Replace(validConfig)
	d := readConfig(t, text).Deployment.Deployment
	if !d.Budgeted || d.RetryWindow != 10e9 || d.RetrySlack != 10 || d.RetryRatio != 0.2 {
		t.Errorf("read the budget %+v", d)
	}
	if d.OverloadSpan != 1500e6 || d.OverloadFactor != 2.5 || d.MaxRetryAfter != 0 {
		t.Errorf("read the rules %+v", d)
	}
	if w := d.Workloads[0]; w.RetrySafety != balance.OnceOnly || w.Value != 3 {
		t.Errorf("read the workload %+v", w)
	}
}

// A workload with a stated value of 0 is distinguished from one without a stated value.
func TestStartWorth(t *testing.T) {
	for stated, want := range map[string]float64{`"slo":1500`: 0, `"slo":1500,"worth":0`: minValue, `"slo":1500,"worth":2.5`: 2.5} {
		if got := readConfig(t, strings.Replace(validConfig, `"slo":1500`, stated, 1)).Workloads[0].Value; got != want {
			t.Errorf("%s: read %g, want %g", stated, got, want)
		}
	}
}

// Each error names the key or the variable at fault, in one line.
func TestStartFaults(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"odd list":      {`"known":{"seq":41,`, `"known":{`, `"known": the list: key "seq" is missing`},
		"not JSON":      {validConfig, "{", "not a JSON object"},
		"no seed":       {`"seed":"8c1f30d27a5be964",`, "", `"seed" is missing`},
		"odd seed":      {`"8c1f30d27a5be964"`, `"seven"`, `"seed" is no number`},
		"no statement":  {`"settings":`, `"other":`, `"settings" is missing`},
		"no tick":       {`"tick":5,`, "", `"tick" is missing`},
		"no tick, 0":    {`"tick":5,`, `"tick":0,`, `"tick" is not above 0`},
		"form":          {`"tick":5,`, `"tick":"5",`, `"tick" has the wrong form`},
		"worth":         {`"slo":1500`, `"slo":1500,"worth":-1`, `"worth" is below 0`},
		"effect":        {`"free"`, `"often"`, `"repeat" is unknown`},
		"membership":    {`"push"`, `"shout"`, `"membership_mode" is unknown`},
		"no cells":      {`"cells":6`, `"cells":0`, `"cells" is not above 0`},
		"few floors":    {`"class_floor":[1]`, `"class_floor":[]`, `"class_floor" is shorter`},
		"no classes":    {`"classes":[{"give_up":3000,"late_worth":0.3,"name":"report","repeat":"free","slo":1500,"window":5000}]`, `"classes":[]`, `"classes" is not above 0`},
		"no cut-off":    {`"give_up":3000,`, "", `"give_up" is missing`},
		"second step":   {`"follow_up":[0]`, `"follow_up":[2]`, `"follow_up"`},
		"nothing held":  {`"most_held":277`, `"most_held":0`, `"most_held" is not above 0`},
		"no idle time":  {`"conn_idle":15000,`, "", `"conn_idle" is missing`},
		"few sockets":   {`"sockets":1024`, `"sockets":3`, `"sockets" is too small`},
		"memory's form": {`"memory_mb":192`, `"memory_mb":"192"`, `"memory_mb" has the wrong form`},
	} {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(validConfig, c.old) {
				t.Fatalf("%q is not in the configuration", c.old)
			}
			env := environment(t, strings.Replace(validConfig, c.old, c.new, 1))
			_, err := fromEnvironment(env)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
	for _, variable := range []string{"NODE_CONFIG", "NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY"} {
		env := environment(t, validConfig)
		for _, value := range []string{"", "nonsense"} {
			env[variable] = value
			_, err := fromEnvironment(env)
			if variable == "NODE_NAME" && value != "" {
				continue
			}
			if err == nil || !strings.Contains(err.Error(), variable) {
				t.Errorf("%s=%q gave %v", variable, value, err)
			}
		}
	}
}
