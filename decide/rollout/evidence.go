package rollout

import (
	"cmp"
	"math/bits"
	"slices"
)

// Evidence is what one edge has seen of one rollout. Its counts only grow in the life of the edge's process, so the newest
// of a life stands for all before it: evidence may be lost, doubled or late on its way and is never counted twice.
type Evidence struct {
	Number      uint64          `cbor:"1,keyasint"`           // of the rollout
	Incarnation uint64          `cbor:"2,keyasint"`           // of the edge's process
	Seq         uint64          `cbor:"3,keyasint"`           // rises within the life
	Version     uint64          `cbor:"4,keyasint,omitempty"` // of the Set that the edge goes by
	OldInFlight int             `cbor:"5,keyasint,omitempty"` // requests under way at replicas of other versions
	Counts      []OutcomeCounts `cbor:"6,keyasint,omitempty"`
}

// OutcomeCounts is what became of requests of one route at one replica of the target version, or at all other replicas together.
type OutcomeCounts struct {
	Route       uint32   `cbor:"1,keyasint"`
	Replica     string   `cbor:"2,keyasint,omitempty"` // empty for the replicas of other versions
	Failed      uint32   `cbor:"3,keyasint,omitempty"`
	FirstBucket int      `cbor:"4,keyasint,omitempty"` // the bucket of Took[0]
	Buckets     []uint32 `cbor:"5,keyasint,omitempty"` // the others, by how long they took

	Distance      uint8 `cbor:"6,keyasint,omitempty"` // between the edge and the replicas: to be compared are those equally far
	NewConnection bool  `cbor:"7,keyasint,omitempty"` // on connections that were opened for them, which cost the replica time as well
}

func (c OutcomeCounts) key() countKey {
	return countKey{c.Route, c.Replica, c.Distance, c.NewConnection}
}

const (
	buckets            = 26        // the last one holds all that took longer
	firstBucketNs      = 1_000_000 // ns: what takes less is in the first bucket
	bucketsPerDoubling = 2         // buckets to each doubling
)

// bucketOf is the bucket of a duration, ns: two to each doubling of a millisecond.
func bucketOf(took int64) int {
	units := uint64(max(took/firstBucketNs, 1))
	doublings := bits.Len64(units) - 1
	half := 0
	if 2*units >= 3<<doublings {
		half = 1
	}
	return min(bucketsPerDoubling*doublings+half, buckets-1)
}

// histogram counts requests by bucket.
type histogram [buckets]uint32

// unpack is the histogram of a count.
func (c OutcomeCounts) unpack() (h histogram) {
	for i, n := range c.Buckets {
		if at := c.FirstBucket + i; at >= 0 && at < buckets {
			h[at] = n
		}
	}
	return h
}

// pack puts a histogram into a count, without the empty buckets at both ends.
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

// The outcomes that count.
const (
	Answered                Outcome = iota // whole, or given up for another replica's answer: it took that long at least
	AnsweredOnNewConnection                // the same on a connection that was opened for it
	Failed
	Unknown // says nothing of the version: turned away, withdrawn, or the connection did not come up
)

// Replica is one replica of a service with a rollout, as an edge knows it.
type Replica struct {
	ID, Service, Version string
	Distance             uint8
}

// countKey is what is counted under.
type countKey struct {
	route         uint32
	replica       string // empty for the replicas of other versions
	distance      uint8
	newConnection bool
}

func (k countKey) compare(o countKey) int {
	freshLast := 0
	if k.newConnection != o.newConnection {
		freshLast = -1
	}
	if k.newConnection {
		freshLast = -freshLast
	}
	return cmp.Or(cmp.Compare(k.route, o.route), cmp.Compare(k.replica, o.replica), cmp.Compare(k.distance, o.distance), freshLast)
}

type outcomes struct {
	failed    uint32
	latencies histogram
}

// rolloutCounts is what an edge has seen of one rollout.
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

// Recorder counts, at one edge, what becomes of requests at services with an active rollout.
type Recorder struct {
	incarnation uint64
	seq         uint64
	version     uint64
	active      map[uint64]*rolloutCounts
	replicas    map[string]*watchedReplica
}

// NewRecorder makes the recorder of a process; life tells it from all others of the same edge.
func NewRecorder(life uint64) *Recorder {
	return &Recorder{incarnation: life, active: map[uint64]*rolloutCounts{}, replicas: map[string]*watchedReplica{}}
}

// Watch has the recorder go by a Set from now on, and by these replicas of the services with an active rollout.
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
	former := r.replicas
	r.replicas = make(map[string]*watchedReplica, len(replicas))
	for _, replica := range replicas {
		rollout, ok := byService[replica.Service]
		if !ok {
			continue
		}
		w := &watchedReplica{number: rollout.Number, target: replica.Version == rollout.Order.Target, distance: replica.Distance}
		if was := former[replica.ID]; was != nil {
			w.inFlight = was.inFlight
		}
		r.replicas[replica.ID] = w
	}
}

// HasActive tells whether anything is counted.
func (r *Recorder) HasActive() bool { return len(r.active) > 0 }

// Sent counts a request that goes to a replica; false where it is not counted, and its end is not to be told.
func (r *Recorder) Sent(replica string) bool {
	w := r.replicas[replica]
	if w == nil {
		return false
	}
	w.inFlight++
	return true
}

// Ended counts the end of a request that Sent counted; took is how long the replica had it, ns.
func (r *Recorder) Ended(replica string, route uint32, outcome Outcome, took int64) {
	w := r.replicas[replica]
	if w == nil {
		return
	}
	w.inFlight = max(w.inFlight-1, 0)
	recording := r.active[w.number]
	if recording == nil || outcome == Unknown {
		return
	}
	key := countKey{route: route, distance: w.distance, newConnection: outcome == AnsweredOnNewConnection}
	if w.target {
		key.replica = replica
	}
	t := recording.counts[key]
	if t == nil {
		t = &outcomes{}
		recording.counts[key] = t
	}
	switch outcome {
	case Failed:
		t.failed++
	default:
		t.latencies[bucketOf(took)]++
	}
}

// Evidence returns what was seen of each active rollout.
func (r *Recorder) Evidence() (all []Evidence) {
	if len(r.active) == 0 {
		return nil
	}
	r.seq++
	out := map[uint64]int{}
	for _, w := range r.replicas {
		if !w.target {
			out[w.number] += w.inFlight
		}
	}
	for _, recording := range r.active {
		e := Evidence{Number: recording.number, Incarnation: r.incarnation, Seq: r.seq, Version: r.version, OldInFlight: out[recording.number]}
		for key, t := range recording.counts {
			c := OutcomeCounts{Route: key.route, Replica: key.replica, Distance: key.distance, NewConnection: key.newConnection, Failed: t.failed}
			c.pack(t.latencies)
			e.Counts = append(e.Counts, c)
		}
		slices.SortFunc(e.Counts, func(a, b OutcomeCounts) int { return a.key().compare(b.key()) })
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Evidence) int { return cmp.Compare(a.Number, b.Number) })
	return all
}
