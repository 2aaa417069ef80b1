// Package wire connects aggregators to the simulator: it decodes the simulator's events into calls of the
// balance package, and encodes that package's results as messages. It makes no decisions of its own.
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

// Serve handles the batches of events from r until its end, and writes the aggregators' decisions to w.
func Serve(r io.Reader, w io.Writer) error {
	a := &adapter{instances: map[int]*instance{}, lists: map[int][]json.RawMessage{}, out: bufio.NewWriter(w)}
	lines := bufio.NewReaderSize(r, 1<<20)
	open := false
	for {
		line, err := readLine(lines)
		if errors.Is(err, io.EOF) && len(line) == 0 {
			if open {
				return fmt.Errorf("batch %d: the input ends inside it", a.batch)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(line) == 0 {
			continue
		}
		if open, err = a.handleLine(line, open); err != nil {
			return fmt.Errorf("batch %d: %w", a.batch, err)
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

// handleLine handles one message; open states whether a batch is in progress, before and after it.
func (a *adapter) handleLine(text []byte, open bool) (bool, error) {
	f := &fields.Object{}
	if err := json.Unmarshal(text, &f.Raw); err != nil {
		return open, fmt.Errorf("not a JSON object: %v", err)
	}
	eventType := f.String("event_type")
	if f.Err != nil {
		return open, f.Err
	}
	switch {
	case eventType == "TICK" && !open:
		a.now = f.Duration("at_time")
		f.Decode("n", &a.batch)
		return true, f.Err
	case eventType == "TICK" || !open:
		return open, fmt.Errorf("%s out of place", eventType)
	case eventType == "FLUSH":
		return false, a.decideAll()
	}
	if err := a.handleEvent(eventType, f); err != nil {
		return open, fmt.Errorf("%s: %w", eventType, err)
	}
	return true, nil
}

// handleEvent turns an event into calls of the aggregator.
func (a *adapter) handleEvent(eventType string, f *fields.Object) error {
	if eventType == "POOL" {
		sheet, items := f.Int("sheet"), []json.RawMessage{}
		f.Decode("items", &items)
		a.lists[sheet] = items
		return f.Err
	}
	id := f.Int("who")
	if f.Err != nil {
		return f.Err
	}
	in := a.instances[id]
	if eventType == "OPEN_INSTANCE" {
		if in != nil {
			return fmt.Errorf("instance %d is open", id)
		}
		return a.openInstance(id, f)
	}
	if in == nil {
		return fmt.Errorf("instance %d is not open", id)
	}
	a.touch(id)
	switch eventType {
	case "TEARDOWN":
		delete(a.instances, id)
	case "MEMBERS":
		return a.handleMembers(in, f)
	case "KNOCK":
		return in.addQueryOrPart(a.now, f)
	case "RESPONSE":
		return in.recordResponse(a.now, f)
	case "VANISHED":
		var id uint64
		f.Decode("rid", &id)
		if r, ok := in.requests[id]; ok && f.Err == nil && !r.ended && r.part < 0 {
			r.query.ClientLeft(a.now)
			in.endQuery(r.queryState)
		}
	case "FIRED":
		if f.String("token") == wakeToken && in.timerAt <= a.now {
			in.timerAt = 0
		}
	case "BEGUN", "HEARD", "SAMPLED": // stream, peer and probe events are unused by this service
	default:
		return errors.New("unknown event")
	}
	return f.Err
}

// touch marks an instance as one that decides at the end of this batch.
func (a *adapter) touch(id int) {
	for _, touched := range a.touched {
		if touched == id {
			return
		}
	}
	a.touched = append(a.touched, id)
}

func (a *adapter) openInstance(id int, f *fields.Object) error {
	in := &instance{
		replicas: map[string]int{},
		requests: map[uint64]request{}, groups: map[int64]*queryState{},
		queries: map[*balance.Query]*queryState{},
	}
	seed, info := f.Float("prng"), f.Object("boot_info")
	if f.Err != nil {
		return f.Err
	}
	settings, err := deployment.Read(info)
	if err != nil {
		return err
	}
	settings.Seed = math.Float64bits(seed)
	in.workloads, in.shards = settings.WorkloadRow, settings.Shards
	in.aggregator = balance.New(a.now, settings.Deployment)
	a.instances[id] = in
	a.touch(id)
	return nil
}

// handleMembers turns an event about the list of replicas into one call.
func (a *adapter) handleMembers(in *instance, f *fields.Object) error {
	scope := f.String("scope")
	if scope == "Error" {
		in.aggregator.ListFailed(a.now)
		return f.Err
	}
	items, ok := a.lists[f.Int("sheet")]
	if !ok {
		f.Fail("sheet", "names a list that never came")
	}
	listings := make([]balance.Listing, 0, len(items))
	for _, item := range items {
		entry := &fields.Object{}
		if err := json.Unmarshal(item, &entry.Raw); err != nil {
			f.Fail("items", "has an entry that is no object")
			break
		}
		listing := balance.Listing{Cell: entry.Int("place"), StartedAt: entry.OptionalDuration("launched")}
		switch entry.String("lifecycle") {
		case "U":
			listing.Status = balance.Up
		case "L":
			listing.Status = balance.Draining
		case "D":
			listing.Status = balance.Gone
		default:
			entry.Fail("lifecycle", "is unknown")
		}
		listing.Replica, listing.New = in.replicaIndex(entry)
		if entry.Err != nil {
			return entry.Err
		}
		listings = append(listings, listing)
	}
	if f.Err != nil {
		return f.Err
	}
	switch scope {
	case "Partial":
		in.aggregator.UpdateList(a.now, listings)
	case "Complete":
		in.aggregator.ReplaceList(a.now, listings, true)
	case "Persisted":
		in.aggregator.ReplaceList(a.now, listings, false)
	default:
		return fmt.Errorf("field %q is unknown", "scope")
	}
	return nil
}

// replicaIndex returns the index of an address, and whether it is new.
func (in *instance) replicaIndex(f *fields.Object) (i int, isNew bool) {
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

// addQueryOrPart adds a query, or a part to a query that was added before.
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
	workload, ok := in.workloads[f.String("grade")]
	if !ok {
		f.Fail("grade", "is not among the classes")
	}
	arrival := balance.Arrival{Workload: workload, Timeout: f.Duration("grace"), Parts: int(measure)}
	if f.Has("resent") && f.Bool("resent") {
		arrival.Priority = balance.Retry
	}
	if f.Err != nil {
		return f.Err
	}
	q := &queryState{id: id, group: group, query: in.aggregator.AddQuery(now, arrival)}
	in.requests[id] = request{q, -1}
	in.groups[group] = q
	in.queries[q.query] = q
	return nil
}

// recordResponse records the outcome of an execution.
func (in *instance) recordResponse(now int64, f *fields.Object) error {
	var id uint64
	f.Decode("rid", &id)
	attempt, took, result := f.Int("attempt"), f.Duration("cost_time"), parseResult(f)
	var load []float64
	f.DecodeOptional("gauge", &load)
	if f.Err != nil {
		return f.Err
	}
	r, ok := in.requests[id]
	if !ok || r.part < 0 {
		return fmt.Errorf("request %d is not held", id)
	}
	if r.query.RecordResult(now, r.part, attempt, result, took) {
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

// parseResult decodes the outcome of an execution.
func parseResult(f *fields.Object) balance.Result {
	codes := [...]string{
		balance.Fulfilled: "ok", balance.Errored: "error", balance.Full: "full", balance.TimedOut: "timeout",
		balance.ConnectFailed: "connect_failed", balance.Reset: "reset", balance.Cancelled: "cancelled",
		balance.Unsent: "moot",
	}
	code := f.String("how")
	for r, name := range codes {
		if name == code {
			return balance.Result(r)
		}
	}
	f.Fail("how", "is unknown")
	return balance.Errored
}

// decideAll has every touched instance decide, and writes the results.
func (a *adapter) decideAll() error {
	for _, id := range a.touched {
		if in := a.instances[id]; in != nil {
			a.writeRound(id, in, in.aggregator.Decide(a.now))
		}
	}
	a.touched = a.touched[:0]
	fmt.Fprintf(a.out, `{"event_type":"READY","n":%d}`+"\n", a.batch)
	return a.out.Flush()
}

func (a *adapter) writeRound(id int, in *instance, round *balance.Round) {
	ms := func(ns int64) string { return strconv.FormatFloat(fields.MsFromNs(ns), 'f', -1, 64) }
	for _, send := range round.Sends {
		q := in.queries[send.Query]
		q.running++
		fmt.Fprintf(a.out, `{"event_type":"SEND","who":%d,"rid":%d,"cut_at":%s,"replica":%s}`+"\n",
			id, q.parts[send.Part], ms(send.Deadline), in.addresses[send.Replica])
	}
	for _, cancel := range round.Cancels {
		fmt.Fprintf(a.out, `{"event_type":"WITHDRAW","who":%d,"rid":%d,"attempt":%d}`+"\n",
			id, in.queries[cancel.Query].parts[cancel.Part], cancel.Execution)
	}
	for _, ending := range round.Endings {
		q := in.queries[ending.Query]
		switch ending.Outcome {
		case balance.Whole, balance.Partial:
			fmt.Fprintf(a.out, `{"event_type":"MERGE","who":%d,"rid":%d,"whole":%t}`+"\n",
				id, q.id, ending.Outcome == balance.Whole)
		case balance.Declined:
			fmt.Fprintf(a.out, `{"event_type":"REFUSE","who":%d,"rid":%d,"not_before_for":%s}`+"\n",
				id, q.id, ms(ending.RetryAfter))
		case balance.Forfeited:
			fmt.Fprintf(a.out, `{"event_type":"FINISH_ERROR","who":%d,"rid":%d}`+"\n", id, q.id)
		}
		if !ending.Query.Open() {
			in.endQuery(q)
		}
	}
	for _, replica := range round.CloseIdle {
		fmt.Fprintf(a.out, `{"event_type":"RELEASE","who":%d,"replica":%s}`+"\n", id, in.addresses[replica])
	}
	if round.List == balance.Subscribe {
		fmt.Fprintf(a.out, `{"event_type":"WATCH","who":%d,"whole":true}`+"\n", id)
	}
	if round.WakeAt > 0 && (in.timerAt == 0 || round.WakeAt < in.timerAt) {
		in.timerAt = a.now + (max(round.WakeAt-a.now, 0)+999)/1e3*1e3 // rounded up to microseconds, the simulator's unit of time
		fmt.Fprintf(a.out, `{"event_type":"DEFER","who":%d,"in":%s,"token":"%s"}`+"\n",
			id, ms(in.timerAt-a.now), wakeToken)
	}
}
