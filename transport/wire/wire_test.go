package wire

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const boot = `{"event_type":"OPEN_INSTANCE","who":1,"prng":7,"boot_info":{"index":0,"balancers":2,"tick":5,` +
	`"new":1,"caps":{"max_attempts":3,"most_held":9,"cancel":true,"probes":false,"retry_after":true,` +
	`"connect_timeout":250},"domain":{"slices":2,"cells":1,"in_a_row":1,"parts_a_call":1,"class_need":[1],` +
	`"class_floor":[1],"incomplete_worth":[0.9],"follow_up":[0]},` +
	`"classes":[{"name":"w","slo":1000,"give_up":2000,"worth":1,` +
	`"late_worth":0,"repeat":"free"}],"guarantees":{"drain_grace":1000,"cold_from":0.2,"ramp_time":9000,` +
	`"fall_multiple":3,"fall":1000},"membership_mode":"push","tenants":null}}
{"event_type":"POOL","sheet":0,"items":[{"place":0,"lifecycle":"U","launched":null,"replica":"r:1"}]}
{"event_type":"MEMBERS","who":1,"scope":"Persisted","gen":1,"sheet":0}
`
const query = `{"event_type":"KNOCK","who":1,"rid":5,"measure":1,"grace":900,"group_no":3,"slab":-1,` +
	`"grade":"w"}
{"event_type":"KNOCK","who":1,"rid":6,"measure":1,"grace":900,"group_no":3,"slab":1,"grade":"w","write":null}
`

// serveBatch handles one batch with a new adapter and returns the output.
func serveBatch(events string) (string, error) {
	in := `{"event_type":"TICK","at_time":100,"n":4}` + "\n" + events + "\n" + `{"event_type":"FLUSH"}` + "\n"
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

// TestRetryMark: the mark of a client's retry reaches the aggregator, which declines a retry sooner than a
// first attempt when capacity is short.
func TestRetryMark(t *testing.T) {
	tick := func(n, at int, events string) string {
		return fmt.Sprintf(`{"event_type":"TICK","at_time":%d,"n":%d}`+"\n%s"+`{"event_type":"FLUSH"}`+"\n", at, n, events)
	}
	numbered := func(n int, mark string) string {
		return strings.NewReplacer(`"rid":5`, fmt.Sprint(`"rid":`, n), `"rid":6`, fmt.Sprint(`"rid":`, n+1), `"group_no":3`,
			fmt.Sprint(`"group_no":`, n), `"grade"`, mark+`"grade"`).Replace(query)
	}
	learnt := tick(1, 100, boot+query) + // one execution takes 150 ms of the goal of 1,000 ms
		tick(2, 250, `{"event_type":"RESPONSE","who":1,"rid":6,"attempt":0,"how":"ok","cost_time":150}`+"\n") + tick(3, 255, numbered(10, ""))
	for mark, want := range map[string]string{"": `"SEND"`, `"resent":false,`: `"SEND"`, `"resent":null,`: `"SEND"`, `"resent":true,`: `"REFUSE"`} {
		var out strings.Builder
		must.NoError(t, Serve(strings.NewReader(learnt+tick(4, 260, numbered(20, mark))), &out))
		_, last, _ := strings.Cut(out.String(), `"n":3}`)
		must.StrContains(t, last, want, must.Sprint(mark, " ", out.String()))
	}
	_, err := serveBatch(boot + numbered(5, `"resent":"yes",`))
	must.ErrorContains(t, err, `field "resent" has the wrong form`)
}

func TestServe(t *testing.T) {
	for name, c := range map[string]struct{ in, out, err string }{
		"empty batch":  {"", `{"event_type":"READY","n":4}`, ""},
		"one query":    {boot + query, `{"event_type":"SEND","who":1,"rid":6,"cut_at":985,"replica":"r:1"}`, ""},
		"restart":      {boot + `{"event_type":"TEARDOWN","who":1}` + "\n" + boot + query, `"rid":6`, ""},
		"gone unknown": {boot + `{"event_type":"VANISHED","who":1,"rid":99}`, `"n":4`, ""},
		"not JSON":     {"{", "", "batch 4: not a JSON object"},
		"no instance":  {`{"event_type":"FIRED","who":2,"token":"x"}`, "", "batch 4: FIRED: instance 2"},
		"new event":    {boot + `{"event_type":"NEWS","who":1}`, "", "batch 4: NEWS: unknown event"},
		"no field":     {boot + `{"event_type":"VANISHED","who":1}`, "", `batch 4: VANISHED: field "rid" is`},
		"inside":       {"\n{\"event_type\":\"TICK\",\"at_time\":1,\"n\":5}", "", "batch 4: TICK out of place"},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := serveBatch(c.in)
			if (err == nil) != (c.err == "") || err != nil && !strings.HasPrefix(err.Error(), c.err) {
				t.Fatalf("error %v, want %q", err, c.err)
			}
			if !strings.Contains(out, c.out) || c.err != "" && out != "" {
				t.Fatalf("wrote %q, want %q", out, c.out)
			}
		})
	}
}
