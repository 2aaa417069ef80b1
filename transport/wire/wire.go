// Package wire connects aggregators to the simulator: it decodes the simulator's events into calls of the
// balance package, and encodes that package's results as messages. It decides nothing.
package wire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"

	"willowsill/balance"
	"willowsill/deployment"
	"willowsill/deployment/fields"
)

// wakeToken identifies timers. All timers are alike: they only cause the next round.
const wakeToken = "wake"

// instance is one aggregator, with the tables that map the simulator's names and ids to the aggregator's
// indices.
type instance struct {
	aggregator *balance.Aggregator
	replicas   map[string]int
	addresses  []json.RawMessage
	workloads  map[string]int
	shards     int
	requests   map[uint64]request
	groups     map[int64]*queryState
	queries    map[*balance.Query]*queryState
	timerAt    int64 // when the earliest pending timer fires, 0 if there is none
}

// queryState holds a query and the simulator's ids of it and its parts.
type queryState struct {
	query   *balance.Query
	id      uint64
	group   int64
	parts   []uint64
	running int // executions without an outcome
	ended   bool
}

// request is what a request id of the simulator refers to: a part of a query, or the query itself if part is
// -1.
type request struct {
	*queryState
	part int
}

// adapter holds the aggregators of one adapter process and the batch in progress.
type adapter struct {
	now       int64
	batch     int64
	instances map[int]*instance
	touched   []int
	lists     map[int][]json.RawMessage
	out       *bufio.Writer
}

// Serve plays the batches from r until its end.
func Serve(r io.Reader, w io.Writer) error {
	h := &adapter{instances: map[int]*instance{}, lists: map[int][]json.RawMessage{}, out: bufio.NewWriter(w)}
	lines := bufio.NewReaderSize(r, 1<<20)
	open := false
	for {
		line, err := readLine(lines)
		if errors.Is(err, io.EOF) && len(line) == 0 {
			if open {
				return fmt.Errorf("batch %d: the input ends inside it", h.batch)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(line) == 0 {
			continue
		}
		if open, err = h.line(line, open); err != nil {
			return fmt.Errorf("batch %d: %w", h.batch, err)
		}
	}
}

// readLine returns the next line of any length without its line end.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadBytes('\n')
	for len(line) > 0 && (line[len(line)-1] == '\n' || line[len(line)-1] == '\r') {
		line = line[:len(line)-1]
	}
	return line, err
}

// line handles one message; open states whether a batch is in progress, before and after it.
func (h *adapter) line(line []byte, open bool) (bool, error) {
	f := &fields.Object{}
	if err := json.Unmarshal(line, &f.Raw); err != nil {
		return open, fmt.Errorf("not a JSON object: %v", err)
	}
	event := f.String("event_type")
	if f.Err != nil {
		return open, f.Err
	}
	switch {
	case event == "TICK" && !open:
		h.now = f.Duration("at_time")
		f.Decode("n", &h.batch)
		return true, f.Err
	case event == "TICK" || !open:
		return open, fmt.Errorf("%s out of place", event)
	case event == "FLUSH":
		return false, h.decideAll()
	}
	if err := h.event(event, f); err != nil {
		return open, fmt.Errorf("%s: %w", event, err)
	}
	return true, nil
}

// event turns an event into calls of the aggregator.
func (h *adapter) event(event string, f *fields.Object) error {
	if event == "POOL" {
		sheet, items := f.Int("sheet"), []json.RawMessage{}
		f.Decode("items", &items)
		h.lists[sheet] = items
		return f.Err
	}
	who := f.Int("who")
	if f.Err != nil {
		return f.Err
	}
	in := h.instances[who]
	if event == "OPEN_INSTANCE" {
		if in != nil {
			return fmt.Errorf("instance %d is open", who)
		}
		return h.openInstance(who, f)
	}
	if in == nil {
		return fmt.Errorf("instance %d is not open", who)
	}
	h.touch(who)
	switch event {
	case "TEARDOWN":
		delete(h.instances, who)
	case "MEMBERS":
		return h.handleMembers(in, f)
	case "KNOCK":
		return in.addQueryOrPart(h.now, f)
	case "RESPONSE":
		return in.recordResponse(h.now, f)
	case "VANISHED":
		var id uint64
		f.Decode("rid", &id)
		if r, ok := in.requests[id]; ok && f.Err == nil && !r.ended && r.part < 0 {
			r.query.ClientLeft(h.now)
			in.endQuery(r.queryState)
		}
	case "FIRED":
		if f.String("token") == wakeToken && in.timerAt <= h.now {
			in.timerAt = 0
		}
	case "BEGUN", "HEARD", "SAMPLED": // stream, peer and probe events are unused by this service
	default:
		return errors.New("unknown event")
	}
	return f.Err
}

// touch marks an instance as one that decides at the end of this batch.
func (h *adapter) touch(who int) {
	for _, w := range h.touched {
		if w == who {
			return
		}
	}
	h.touched = append(h.touched, who)
}

func (h *adapter) openInstance(who int, f *fields.Object) error {
	in := &instance{
		replicas: map[string]int{},
		requests: map[uint64]request{}, groups: map[int64]*queryState{},
		queries: map[*balance.Query]*queryState{},
	}
	seed, boot := f.Float("prng"), f.Object("boot_info")
	if f.Err != nil {
		return f.Err
	}
	d, err := deployment.Read(boot)
	if err != nil {
		return err
	}
	d.Seed = math.Float64bits(seed)
	in.workloads, in.shards = d.WorkloadRow, d.Shards
	in.aggregator = balance.New(h.now, d.Deployment)
	h.instances[who] = in
	h.touch(who)
	return nil
}

// handleMembers turns an event about the list of replicas into one call.
func (h *adapter) handleMembers(in *instance, f *fields.Object) error {
	scope := f.String("scope")
	if scope == "Error" {
		in.aggregator.ListFailed(h.now)
		return f.Err
	}
	items, ok := h.lists[f.Int("sheet")]
	if !ok {
		f.Fail("sheet", "names a list that never came")
	}
	listings := make([]balance.Listing, 0, len(items))
	for _, item := range items {
		e := &fields.Object{}
		if err := json.Unmarshal(item, &e.Raw); err != nil {
			f.Fail("items", "has an entry that is no object")
			break
		}
		l := balance.Listing{Cell: e.Int("place"), StartedAt: e.OptionalDuration("launched")}
		switch e.String("lifecycle") {
		case "U":
			l.Status = balance.Up
		case "L":
			l.Status = balance.Draining
		case "D":
			l.Status = balance.Gone
		default:
			e.Fail("lifecycle", "is unknown")
		}
		l.Replica, l.New = in.replicaIndex(e)
		if e.Err != nil {
			return e.Err
		}
		listings = append(listings, l)
	}
	if f.Err != nil {
		return f.Err
	}
	switch scope {
	case "Partial":
		in.aggregator.UpdateList(h.now, listings)
	case "Complete":
		in.aggregator.ReplaceList(h.now, listings, true)
	case "Persisted":
		in.aggregator.ReplaceList(h.now, listings, false)
	default:
		return fmt.Errorf("field %q is unknown", "scope")
	}
	return nil
}

// replicaIndex returns the index of an address, and whether it is new.
func (in *instance) replicaIndex(f *fields.Object) (i int, fresh bool) {
	name := f.String("replica")
	if f.Err != nil {
		return 0, false
	}
	i, known := in.replicas[name]
	if !known {
		i = len(in.addresses)
		in.replicas[name] = i
		in.addresses = append(in.addresses, f.RawValue("replica"))
	}
	return i, !known
}

// addQueryOrPart adds a query, or a part of one.
func (in *instance) addQueryOrPart(now int64, f *fields.Object) error {
	var id uint64
	var group int64
	f.Decode("rid", &id)
	f.Decode("group_no", &group)
	shard, measure := f.Int("slab"), f.Float("measure")
	if f.Err != nil {
		return f.Err
	}
	if shard >= 0 {
		q := in.groups[group]
		if shard >= in.shards {
			return fmt.Errorf("there is no shard %d, only %d shards", shard, in.shards)
		}
		if q == nil {
			return fmt.Errorf("a part of query %d, which is not held", group)
		}
		in.requests[id] = request{q, len(q.parts)}
		q.parts = append(q.parts, id)
		q.query.AddPart(shard, measure)
		return nil
	}
	w, ok := in.workloads[f.String("grade")]
	if !ok {
		f.Fail("grade", "is not among the classes")
	}
	a := balance.Arrival{Workload: w, Timeout: f.Duration("grace"), Parts: int(measure)}
	if f.Has("resent") && f.Bool("resent") {
		a.Priority = balance.Retry
	}
	if f.Err != nil {
		return f.Err
	}
	q := &queryState{id: id, group: group, query: in.aggregator.AddQuery(now, a)}
	in.requests[id] = request{q, -1}
	in.groups[group] = q
	in.queries[q.query] = q
	return nil
}

// recordResponse records the outcome of an execution.
func (in *instance) recordResponse(now int64, f *fields.Object) error {
	var id uint64
	f.Decode("rid", &id)
	execution, took, result := f.Int("attempt"), f.Duration("cost_time"), parseResult(f)
	var load []float64
	f.DecodeOptional("gauge", &load)
	if f.Err != nil {
		return f.Err
	}
	r, ok := in.requests[id]
	if !ok || r.part < 0 {
		return fmt.Errorf("request %d is not held", id)
	}
	if r.query.RecordResult(now, r.part, execution, result, took) {
		r.running--
	}
	in.releaseIfDone(r.queryState)
	return nil
}

// endQuery marks a query as ended. Its ids stay until the outcomes of all its executions are known.
func (in *instance) endQuery(q *queryState) {
	q.ended = true
	delete(in.groups, q.group)
	delete(in.requests, q.id)
	in.releaseIfDone(q)
}

func (in *instance) releaseIfDone(q *queryState) {
	if !q.ended || q.running > 0 {
		return
	}
	delete(in.queries, q.query)
	for _, id := range q.parts {
		delete(in.requests, id)
	}
}

// parseResult decodes an outcome.
func parseResult(f *fields.Object) balance.Result {
	codes := [...]string{
		balance.Fulfilled: "ok", balance.Errored: "error", balance.Full: "full", balance.TimedOut: "timeout",
		balance.ConnectFailed: "connect_failed", balance.Reset: "reset", balance.Cancelled: "cancelled",
		balance.Unsent: "moot",
	}
	how := f.String("how")
	for r, code := range codes {
		if code == how {
			return balance.Result(r)
		}
	}
	f.Fail("how", "is unknown")
	return balance.Errored
}

// decideAll has every touched instance decide, and writes the results.
func (h *adapter) decideAll() error {
	for _, who := range h.touched {
		if in := h.instances[who]; in != nil {
			h.writeRound(who, in, in.aggregator.Decide(h.now))
		}
	}
	h.touched = h.touched[:0]
	fmt.Fprintf(h.out, `{"event_type":"READY","n":%d}`+"\n", h.batch)
	return h.out.Flush()
}

func (h *adapter) writeRound(who int, in *instance, round *balance.Round) {
	ms := func(ns int64) string { return strconv.FormatFloat(fields.MsFromNs(ns), 'f', -1, 64) }
	for _, s := range round.Sends {
		q := in.queries[s.Query]
		q.running++
		fmt.Fprintf(h.out, `{"event_type":"SEND","who":%d,"rid":%d,"cut_at":%s,"replica":%s}`+"\n",
			who, q.parts[s.Part], ms(s.Deadline), in.addresses[s.Replica])
	}
	for _, c := range round.Cancels {
		fmt.Fprintf(h.out, `{"event_type":"WITHDRAW","who":%d,"rid":%d,"attempt":%d}`+"\n",
			who, in.queries[c.Query].parts[c.Part], c.Execution)
	}
	for _, e := range round.Endings {
		q := in.queries[e.Query]
		switch e.Outcome {
		case balance.Whole, balance.Partial:
			fmt.Fprintf(h.out, `{"event_type":"MERGE","who":%d,"rid":%d,"whole":%t}`+"\n",
				who, q.id, e.Outcome == balance.Whole)
		case balance.Declined:
			fmt.Fprintf(h.out, `{"event_type":"REFUSE","who":%d,"rid":%d,"not_before_for":%s}`+"\n",
				who, q.id, ms(e.RetryAfter))
		case balance.Forfeited:
			fmt.Fprintf(h.out, `{"event_type":"FINISH_ERROR","who":%d,"rid":%d}`+"\n", who, q.id)
		}
		if !e.Query.Open() {
			in.endQuery(q)
		}
	}
	for _, replica := range round.CloseIdle {
		fmt.Fprintf(h.out, `{"event_type":"RELEASE","who":%d,"replica":%s}`+"\n", who, in.addresses[replica])
	}
	if round.List == balance.Subscribe {
		fmt.Fprintf(h.out, `{"event_type":"WATCH","who":%d,"whole":true}`+"\n", who)
	}
	if round.WakeAt > 0 && (in.timerAt == 0 || round.WakeAt < in.timerAt) {
		in.timerAt = h.now + (max(round.WakeAt-h.now, 0)+999)/1e3*1e3 // the simulator counts in microseconds
		fmt.Fprintf(h.out, `{"event_type":"DEFER","who":%d,"in":%s,"token":"%s"}`+"\n",
			who, ms(in.timerAt-h.now), wakeToken)
	}
}
