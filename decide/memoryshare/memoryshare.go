// Package memoryshare divides the memory that a process has for what its peers send. Peers belong to groups, as the replicas of a
// service do. It does no I/O.
//
// Decides: whether a peer may hold more. A group may hold as much as is still free for all, and a peer twice as much as its group may
// still take. So however many peers and groups take all they can get, each other one finds room, and one alone may hold a third of the
// whole.
package memoryshare

// peerFactor is how much of what is free to a group one peer may hold.
const peerFactor = 2

// Peer names who sends.
type Peer struct{ Group, Name string }

// Pool is memory that is divided between peers. It is not safe for concurrent use.
type Pool struct {
	total, held int64
	groups      map[string]*group
}

// group is what the peers of a group hold.
type group struct {
	held  int64
	peers map[string]int64
}

// New returns a pool of some bytes.
func New(bytes int64) *Pool { return &Pool{total: bytes, groups: map[string]*group{}} }

// Held returns what all peers hold together, in bytes.
func (p *Pool) Held() int64 { return p.held }

// Take lets a peer hold more bytes, or returns false and changes nothing.
func (p *Pool) Take(peer Peer, bytes int64) bool {
	if bytes <= 0 {
		return true
	}
	of := p.groups[peer.Group]
	if of == nil {
		of = &group{peers: map[string]int64{}}
	}
	free := p.total - p.held - bytes
	freeToGroup := (free - of.held - bytes) / 2 // what the group can still take until it holds as much as is free
	if free < 0 || freeToGroup < 0 || of.peers[peer.Name]+bytes > peerFactor*freeToGroup {
		return false
	}
	p.groups[peer.Group] = of
	p.held += bytes
	of.held += bytes
	of.peers[peer.Name] += bytes
	return true
}

// Release takes back what a peer no longer holds. It must have been taken.
func (p *Pool) Release(peer Peer, bytes int64) {
	of := p.groups[peer.Group]
	if bytes <= 0 || of == nil {
		return
	}
	p.held -= bytes
	of.held -= bytes
	of.peers[peer.Name] -= bytes
	// Danger: peers come and go for as long as the process runs, and what is kept of each would grow without bound.
	if of.peers[peer.Name] == 0 {
		delete(of.peers, peer.Name)
	}
	if len(of.peers) == 0 {
		delete(p.groups, peer.Group)
	}
}
