package admission

import (
	"math"
	"time"
)

const none int32 = -1

// peer is what is known of one, while it has connections and for some time after.
type peer struct {
	id       Peer
	conns    int
	reserved int // of them in the places kept for the known
	views    int
	listed   bool
	score    float64 // views served in good time, fading
	scored   time.Duration
	level    float64 // new connections that it may open now
	filled   time.Duration
	older    int32 // among those without a connection
	younger  int32
}

const (
	// knownFrom is how many views in good time make a peer known, and scoreMost how far beyond that counts: a crew's
	// tablet has as many in a minute's work; a flooder that opens connections and asks for nothing has none.
	knownFrom, scoreMost = 5, 20
	// A score halves in so long: a crew is known over its lunch, not over the weekend.
	scoreHalf = 30 * time.Minute
	// Each connection refused for the peer's own bounds costs it as much as so many views: who floods is a stranger soon,
	// and a tablet that reconnects once too often stays known.
	refusedCosts = 0.5
)

// find is the place of a peer, which is made for it if there is none.
func (a *Admission) find(id Peer) int32 {
	if i, known := a.byPeer[id]; known {
		return i
	}
	a.forget(a.set.Remember - 1)
	var i int32
	switch {
	case len(a.freePeers) > 0:
		i = a.freePeers[len(a.freePeers)-1]
		a.freePeers = a.freePeers[:len(a.freePeers)-1]
	default:
		a.peers = append(a.peers, peer{})
		i = int32(len(a.peers) - 1)
	}
	a.peers[i] = peer{id: id, level: float64(a.set.Burst), filled: a.now, scored: a.now, older: none, younger: none,
		listed: a.set.Listed != nil && a.set.Listed(id)}
	a.byPeer[id] = i
	a.link(i)
	return i
}

// link puts a peer without connections at the young end, unlink takes it out when it has one again.
func (a *Admission) link(i int32) {
	p := &a.peers[i]
	p.older, p.younger = a.youngest, none
	if a.youngest != none {
		a.peers[a.youngest].younger = i
	} else {
		a.oldest = i
	}
	a.youngest = i
	a.idle++
}

func (a *Admission) unlink(i int32) {
	p := &a.peers[i]
	if p.older != none {
		a.peers[p.older].younger = p.younger
	} else {
		a.oldest = p.younger
	}
	if p.younger != none {
		a.peers[p.younger].older = p.older
	} else {
		a.youngest = p.older
	}
	p.older, p.younger = none, none
	a.idle--
}

// join counts a connection to a peer.
func (a *Admission) join(i int32) {
	if a.peers[i].conns++; a.peers[i].conns == 1 {
		a.unlink(i)
	}
}

func (a *Admission) part(i int32) {
	if a.peers[i].conns--; a.peers[i].conns == 0 {
		a.link(i)
		a.forget(a.set.Remember)
	}
}

// forget drops whoever was here longest ago, until so many are left of those without a connection.
func (a *Admission) forget(left int) {
	for a.idle > left && a.oldest != none {
		i := a.oldest
		a.unlink(i)
		delete(a.byPeer, a.peers[i].id)
		a.freePeers = append(a.freePeers, i)
	}
}

// fade brings a peer's score to this moment.
func (a *Admission) fade(p *peer) float64 {
	if d := a.now - p.scored; d > 0 {
		p.score *= math.Exp2(-float64(d) / float64(scoreHalf))
		p.scored = a.now
	}
	return p.score
}

// standing is what a peer is known as.
func (a *Admission) standing(p *peer) standing {
	switch {
	case p.listed:
		return listed
	case a.fade(p) >= knownFrom:
		return lately
	}
	return stranger
}

// allows takes a new connection out of a peer's rate, if that has one.
func (a *Admission) allows(p *peer, part float64) bool {
	if a.set.PerSecond <= 0 {
		return true
	}
	p.level = math.Min(math.Max(1, float64(a.set.Burst)*part), p.level+a.set.PerSecond*part*max(0, a.now-p.filled).Seconds())
	p.filled = a.now
	if p.level < 1 {
		return false
	}
	p.level--
	return true
}
