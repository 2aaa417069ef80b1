package rollout

import (
	"cmp"
	"math/bits"
	"slices"
)

// Evidence is what one edge has observed of one rollout. Its counts only grow while the edge's process runs, so the newest
// Evidence of an incarnation includes all earlier ones. Reports may therefore be lost, duplicated or delayed, and nothing is
// counted twice.
type Evidence struct {
	Number      uint64          `cbor:"1,keyasint"`           // number of the rollout
	Incarnation uint64          `cbor:"2,keyasint"`           // identifies one run of the edge's process
	Seq         uint64          `cbor:"3,keyasint"`           // increases with each report of an incarnation
	Version     uint64          `cbor:"4,keyasint,omitempty"` // version of the Set that the edge has applied
	OldInFlight int             `cbor:"5,keyasint,omitempty"` // requests in flight at replicas of other versions than the target
	Counts      []OutcomeCounts `cbor:"6,keyasint,omitempty"`
}

// OutcomeCounts are the outcomes of the requests of one route, either at one replica of the target version or at all
// replicas of other versions together.
type OutcomeCounts struct {
	Route       uint32   `cbor:"1,keyasint"`
	Replica     string   `cbor:"2,keyasint,omitempty"` // empty for the replicas of other versions
	Failed      uint32   `cbor:"3,keyasint,omitempty"`
	FirstBucket int      `cbor:"4,keyasint,omitempty"` // index of the latency bucket that Buckets[0] counts
	Buckets     []uint32 `cbor:"5,keyasint,omitempty"` // requests that did not fail, by latency

	Distance      uint8 `cbor:"6,keyasint,omitempty"` // between the edge and the replicas; only counts of equal distance are compared
	NewConnection bool  `cbor:"7,keyasint,omitempty"` // the requests opened a new connection, which takes the replica extra time
}

func (c OutcomeCounts) key() countKey {
	return countKey{c.Route, c.Replica, c.Distance, c.NewConnection}
}

const (
	buckets            = 26        // number of latency buckets; the last one has no upper limit
	firstBucketNs      = 1_000_000 // resolution of latencies in ns; shorter ones are in the first bucket
	bucketsPerDoubling = 2
)

// bucketOf returns the latency bucket of a duration in ns. From 2 ms on there are two buckets for each
// doubling; the first bucket holds everything shorter.
func bucketOf(latency int64) int {
	units := uint64(max(latency/firstBucketNs, 1))
	doublings := bits.Len64(units) - 1
	half := 0
	if 2*units >= 3<<doublings {
		half = 1
	}
	return min(bucketsPerDoubling*doublings+half, buckets-1)
}

// histogram counts requests by latency bucket.
type histogram [buckets]uint32

// unpack returns the histogram of the counts.
func (c OutcomeCounts) unpack() (h histogram) {
	for i, n := range c.Buckets {
		if at := c.FirstBucket + i; at >= 0 && at < buckets {
			h[at] = n
		}
	}
	return h
}

// pack stores a histogram without the empty buckets at both ends.
func (c *OutcomeCounts) pack(h histogram) {
	first := slices.IndexFunc(h[:], func(n uint32) bool { return n > 0 })
	if first < 0 {
		return
	}
	last := buckets - 1
	for h[last] == 0 {
		last--
	}
	c.FirstBucket, c.Buckets = first, slices.Clone(h[first:last+1])
}

// Outcome is how a request at a replica ended.
type Outcome uint8

// Requests whose outcome is Unknown are not counted.
const (
	// Answered means answered completely, or cancelled because another replica answered first. A cancelled request took at
	// least the measured latency.
	Answered                Outcome = iota
	AnsweredOnNewConnection         // like Answered, on a connection that was opened for the request
	Failed
	Unknown // says nothing about the version: the request was rejected or withdrawn, or the connection failed
)

// Replica is a replica of a service with an active rollout, as the edge knows it.
type Replica struct {
	ID, Service, Version string
	Distance             uint8
}

// countKey identifies the requests that are counted together.
type countKey struct {
	route         uint32
	replica       string // empty for the replicas of other versions
	distance      uint8
	newConnection bool
}

// compare orders keys by route, replica and distance; of otherwise equal keys the one for new connections is last.
func (k countKey) compare(o countKey) int {
	byConnection := 0
	if k.newConnection != o.newConnection {
		byConnection = -1
	}
	if k.newConnection {
		byConnection = -byConnection
	}
	return cmp.Or(cmp.Compare(k.route, o.route), cmp.Compare(k.replica, o.replica), cmp.Compare(k.distance, o.distance), byConnection)
}

// outcomes counts how requests ended.
type outcomes struct {
	failed    uint32
	latencies histogram
}

// rolloutCounts holds the outcomes that an edge has counted for one rollout.
type rolloutCounts struct {
	number uint64
	counts map[countKey]*outcomes
}

// watchedReplica is a replica whose requests are counted.
type watchedReplica struct {
	number   uint64
	target   bool
	distance uint8
	inFlight int
}

// Recorder counts the outcomes of one edge's requests to services with an active rollout.
type Recorder struct {
	incarnation uint64
	seq         uint64
	version     uint64
	active      map[uint64]*rolloutCounts
	replicas    map[string]*watchedReplica
}

// NewRecorder returns a Recorder. The incarnation must differ between all processes that run at this edge.
func NewRecorder(incarnation uint64) *Recorder {
	return &Recorder{incarnation: incarnation, active: map[uint64]*rolloutCounts{}, replicas: map[string]*watchedReplica{}}
}

// Watch sets the rollouts that the edge applies from now on and the replicas of the services with an active rollout. Counts
// of rollouts that are still active continue.
func (r *Recorder) Watch(set Set, replicas []Replica) {
	r.version = set.Version
	active := map[uint64]*rolloutCounts{}
	byService := map[string]Rollout{}
	for _, rollout := range set.Active() {
		byService[rollout.Order.Service] = rollout
		active[rollout.Number] = r.active[rollout.Number]
		if active[rollout.Number] == nil {
			active[rollout.Number] = &rolloutCounts{number: rollout.Number, counts: map[countKey]*outcomes{}}
		}
	}
	r.active = active
	previous := r.replicas
	r.replicas = make(map[string]*watchedReplica, len(replicas))
	for _, replica := range replicas {
		rollout, ok := byService[replica.Service]
		if !ok {
			continue
		}
		w := &watchedReplica{number: rollout.Number, target: replica.Version == rollout.Order.Target, distance: replica.Distance}
		if was := previous[replica.ID]; was != nil {
			w.inFlight = was.inFlight
		}
		r.replicas[replica.ID] = w
	}
}

// HasActive reports whether there is an active rollout to count for.
func (r *Recorder) HasActive() bool { return len(r.active) > 0 }

// Sent counts a request that starts at a replica. If it returns false, the replica isn't watched and the caller doesn't
// report the end of the request.
func (r *Recorder) Sent(replica string) bool {
	w := r.replicas[replica]
	if w == nil {
		return false
	}
	w.inFlight++
	return true
}

// Ended counts the end of a request that Sent has counted. The latency is in ns.
func (r *Recorder) Ended(replica string, route uint32, outcome Outcome, latency int64) {
	w := r.replicas[replica]
	if w == nil {
		return
	}
	w.inFlight = max(w.inFlight-1, 0)
	tracked := r.active[w.number]
	if tracked == nil || outcome == Unknown {
		return
	}
	key := countKey{route: route, distance: w.distance, newConnection: outcome == AnsweredOnNewConnection}
	if w.target {
		key.replica = replica
	}
	o := tracked.counts[key]
	if o == nil {
		o = &outcomes{}
		tracked.counts[key] = o
	}
	switch outcome {
	case Failed:
		o.failed++
	default:
		o.latencies[bucketOf(latency)]++
	}
}

// Evidence returns a new report on each active rollout.
func (r *Recorder) Evidence() (all []Evidence) {
	if len(r.active) == 0 {
		return nil
	}
	r.seq++
	inFlight := map[uint64]int{}
	for _, w := range r.replicas {
		if !w.target {
			inFlight[w.number] += w.inFlight
		}
	}
	for _, tracked := range r.active {
		e := Evidence{Number: tracked.number, Incarnation: r.incarnation, Seq: r.seq, Version: r.version, OldInFlight: inFlight[tracked.number]}
		for key, o := range tracked.counts {
			c := OutcomeCounts{Route: key.route, Replica: key.replica, Distance: key.distance, NewConnection: key.newConnection, Failed: o.failed}
			c.pack(o.latencies)
			e.Counts = append(e.Counts, c)
		}
		slices.SortFunc(e.Counts, func(a, b OutcomeCounts) int { return a.key().compare(b.key()) })
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Evidence) int { return cmp.Compare(a.Number, b.Number) })
	return all
}
