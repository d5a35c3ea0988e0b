package admission

import (
	"math"
	"time"
)

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
	links    // among those without a connection
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
func (a *Controller) find(id Peer) int32 {
	if i, known := a.byPeer[id]; known {
		return i
	}
	a.forget(a.set.MaxRememberedPeers - 1)
	var i int32
	switch {
	case len(a.freePeers) > 0:
		i = a.freePeers[len(a.freePeers)-1]
		a.freePeers = a.freePeers[:len(a.freePeers)-1]
	default:
		a.peers = append(a.peers, peer{})
		i = int32(len(a.peers) - 1)
	}
	a.peers[i] = peer{
		id: id, level: float64(a.set.Burst), filled: a.now, scored: a.now,
		listed: a.set.IsKnown != nil && a.set.IsKnown(id),
	}
	a.byPeer[id] = i
	a.idle.put(i, a.peerLinks)
	return i
}

func (a *Controller) peerLinks(i int32) *links { return &a.peers[i].links }

// join counts a connection to a peer.
func (a *Controller) join(i int32) {
	if a.peers[i].conns++; a.peers[i].conns == 1 {
		a.idle.drop(i, a.peerLinks)
	}
}

func (a *Controller) part(i int32) {
	if a.peers[i].conns--; a.peers[i].conns == 0 {
		a.idle.put(i, a.peerLinks)
		a.forget(a.set.MaxRememberedPeers)
	}
}

// forget drops whoever was here longest ago, until so many are left of those without a connection.
func (a *Controller) forget(left int) {
	for a.idle.n > max(0, left) {
		i := a.idle.oldest
		a.idle.drop(i, a.peerLinks)
		delete(a.byPeer, a.peers[i].id)
		a.freePeers = append(a.freePeers, i)
	}
}

// fade brings a peer's score to this moment.
func (a *Controller) fade(p *peer) float64 {
	if d := a.now - p.scored; d > 0 {
		p.score *= math.Exp2(-float64(d) / float64(scoreHalf))
		p.scored = a.now
	}
	return p.score
}

// standing is what a peer is known as.
func (a *Controller) standing(p *peer) standing {
	switch {
	case p.listed:
		return listed
	case a.fade(p) >= knownFrom:
		return lately
	}
	return stranger
}

// allows takes a new connection out of a peer's rate, if that has one.
func (a *Controller) allows(p *peer, part float64) bool {
	if a.set.NewPerPeerPerSecond <= 0 {
		return true
	}
	p.level = math.Min(math.Max(1, float64(a.set.Burst)*part), p.level+a.set.NewPerPeerPerSecond*part*max(0, a.now-p.filled).Seconds())
	p.filled = a.now
	if p.level < 1 {
		return false
	}
	p.level--
	return true
}
