package admission

import (
	"math"
	"time"
)

const ms = time.Millisecond

// conn is one connection that was taken.
type conn struct {
	id       ConnID
	peer     int32
	reserved bool
	asked    bool
	busy     bool
	hands    bool // its handshake is not over
	views    int
	known    int           // of them, opened while its peer was known
	till     time.Duration // something may lie unread on it until then
	row      int           // views refused in a row
	since    time.Duration // when it came, asked or came to rest
	links                  // among those that rest
	young    bool          // on the list of those that have not asked
}

// Controller holds all decisions on connections of one router. It is not safe for use by several goroutines.
type Controller struct {
	set  Settings
	now  time.Duration
	acts []Action
	mode mode

	conns  []conn
	free   []int32
	byConn map[ConnID]int32
	rest   [2]chain // those that have asked, those that have not
	count  int      // connections
	kept   int      // of them in the reserve
	views  int
	known  int // of them, of known peers
	hands  int
	cpu    float64 // seconds of handshakes that may be spent now
	cpuAt  time.Duration

	peers     []peer
	freePeers []int32
	byPeer    map[Peer]int32
	idle      chain // peers without a connection

	shedTill time.Duration
	allow    float64 // open views of all, past which a stranger has its share only
	pacedAt  time.Duration
	pressed  bool          // a known peer's view was turned back since then
	fits     int           // connections that descriptors were found to suffice for, 0: all
	fitsAt   time.Duration // when that was last found or raised
	Counts   Counts
}

// New returns decisions that know nobody.
func New(set Settings) *Controller {
	set.MaxRememberedPeers = max(1, set.MaxRememberedPeers)
	set.Reserve = min(set.Reserve, set.MaxConnections/2) // somebody must be able to become known
	a := &Controller{
		set: set, byConn: map[ConnID]int32{}, byPeer: map[Peer]int32{}, idle: newChain(),
		allow: float64(set.MaxRequests),
	}
	for i := range a.rest {
		a.rest[i] = newChain()
	}
	return a
}

// WithDefaults returns settings of an operator who wants admission, with what was not told filled in.
func (s Settings) WithDefaults() Settings {
	if s.ConnectionsPerPeer > 0 && s.Burst <= 0 {
		s.Burst = 2 * s.ConnectionsPerPeer // a peer that comes back with all its connections at once, twice
	}
	if s.NewPerPeerPerSecond > 0 && s.Burst <= 0 {
		s.Burst = int(max(1, 2*s.NewPerPeerPerSecond))
	}
	if s.MaxHandshakes <= 0 {
		s.MaxHandshakes = 64 // what a core signs in a twentieth of a second
	}
	if s.HandshakeCPU <= 0 {
		s.HandshakeCPU = 0.3 // views need little of a core; a flood may not have half of it
	}
	if s.MinIdle <= 0 {
		s.MinIdle = time.Second // a flood would end as many as it opens, and each costs more than a word
	}
	if s.MaxRememberedPeers <= 0 {
		s.MaxRememberedPeers = 4096 // some 600 KB
	}
	return s
}

// UpdateSettings takes settings that changed; connections that are there stay.
func (a *Controller) UpdateSettings(set Settings) {
	set.MaxRememberedPeers = max(1, set.MaxRememberedPeers)
	set.Reserve = min(set.Reserve, set.MaxConnections/2) // somebody must be able to become known
	a.set, a.allow = set, float64(set.MaxRequests)
	for i := range a.peers {
		if p := &a.peers[i]; a.byPeer[p.id] == int32(i) {
			p.listed = set.IsKnown != nil && set.IsKnown(p.id)
		}
	}
}

// ConnectionCount is how many connections there are.
func (a *Controller) ConnectionCount() int { return a.count }

// Mode names how near the bounds are.
func (a *Controller) Mode() string { return modeNames[a.mode] }

// Handle takes one event and appends what is to be done. A clock that goes back is taken to stand still.
func (a *Controller) Handle(now time.Duration, e *Event, acts []Action) []Action {
	a.now, a.acts = max(now, a.now), acts
	switch i, known := a.byConn[e.Conn]; {
	case e.Kind == EventArrive:
		a.arrive(e)
	case e.Kind == EventNoDescriptors:
		a.Counts.Exhausted++
		a.shedTill = a.now + shedFor
		a.turn(signExhausted)
		if a.fits == 0 || a.now-a.fitsAt >= 2*pauseFor { // once for each time that they run out
			a.fits, a.fitsAt = max(leastFits, int(fitsPart*float64(a.count))), a.now
		}
		for a.count > a.fits && a.makeRoom(listed) {
		}
		a.do(Action{Kind: Pause, Wait: pauseFor})
	case e.Kind == EventNoUpstreamDescriptors:
		a.shedTill = a.now + shedFor
		a.turn(signExhausted)
		for range shortRoom {
			a.makeRoom(listed)
		}
	case e.Kind == EventDescriptorAvailable:
		a.restored()
	case !known:
	default:
		a.heard(i, e)
	}
	acts, a.acts = a.acts, nil
	return acts
}

const (
	// pauseFor is how long nothing is accepted once no descriptor could be had: as long as a client's own retry at least,
	// and short enough that the queue of the system does not overflow meanwhile.
	pauseFor = 20 * ms
	// shedFor is how long descriptors must have been to be had before strangers are taken again.
	shedFor = 500 * ms
	// fitsPart is the part of the connections of the moment that is kept when descriptors run out: the rest of them is what
	// legs to nodes need. It grows by a twentieth each shedFor, down to leastFits it may fall.
	fitsPart, fitsGrow, leastFits = 0.5, 0.05, 16
	// shortRoom is how many that rest make room where a connection to a node found none: it, and the next few.
	shortRoom = 4
	// After so many views refused in a row a connection is not read for comeBack: a client that does not
	// heed it costs no more than one that does. At once where all is taken, or the engine lags.
	refusedRow = 8
	// crossing is how long before the end of a connection something may have been sent that is then sent again elsewhere.
	crossing = 50 * ms
	// comeBack is the shortest time to come back that is told; it grows with how full it is, and each peer is told another.
	comeBack = 250 * ms
)

func (a *Controller) do(x Action) { a.acts = append(a.acts, x) }

// turn changes the mode by the table.
func (a *Controller) turn(s sign) {
	if to := moods[a.mode][s]; to != a.mode {
		a.do(Action{Kind: Log, Text: "admission " + modeNames[a.mode] + ", now " + modeNames[to]})
		a.mode = to
	}
}

// most is how many connections there may be now.
func (a *Controller) most() int {
	if a.fits > 0 {
		return min(a.set.MaxConnections, a.fits)
	}
	return a.set.MaxConnections
}

func (a *Controller) restored() {
	if a.fits > 0 && a.now-a.fitsAt >= shedFor {
		a.fitsAt = a.now
		if a.fits += max(1, int(fitsGrow*float64(a.fits))); a.fits >= a.set.MaxConnections {
			a.fits = 0
		}
	}
	if a.mode == modeShedding && a.now >= a.shedTill {
		a.turn(signRestored)
	}
	a.weigh()
}

// open is how many places there are that strangers may take.
func (a *Controller) open() int {
	return max(1, a.most()-a.set.Reserve*a.most()/max(1, a.set.MaxConnections))
}

// weigh tells the mode how full it is. What the known have taken of their reserve does not count.
func (a *Controller) weigh() {
	taken, places := float64(a.count-a.kept), float64(a.open())
	switch {
	case taken >= places:
		a.turn(signCrowded)
	case taken >= 0.75*places:
		a.turn(signFilling)
	}
	switch {
	case taken < 0.5*places:
		a.turn(signCalm)
	case taken < 0.9*places:
		a.turn(signEased)
	}
}

// arrive takes a new connection, or not.
func (a *Controller) arrive(e *Event) {
	a.restored()
	i := a.find(e.Peer)
	a.join(i) // so that it is not forgotten while others make room
	if !a.enter(e, i) {
		a.part(i)
	}
	a.weigh()
}

// enter takes a connection of a peer, which is counted already, or says that it is not taken.
func (a *Controller) enter(e *Event, i int32) bool {
	p := &a.peers[i]
	known := a.standing(p)
	part := parts[a.mode][known]
	within := a.set.ConnectionsPerPeer <= 0 || p.conns <= max(1, int(float64(a.set.ConnectionsPerPeer)*part))
	if !within || !a.allows(p, part) {
		p.score = math.Max(0, p.score-refusedCosts)
		return a.refuse(e, Reject)
	}
	if e.TLS && !a.mayShake(known) {
		return a.refuse(e, Drop) // it could not read a word yet
	}
	v := doors[a.mode][known]
	if v == take && known > stranger && a.mayReserve(p) {
		v = reserve // so that no flood of strangers can end it
	}
	if v == reserve && !a.mayReserve(p) || v == take && a.count-a.kept >= a.open() {
		v = room
	}
	if v == room && a.count-a.kept < a.open() {
		v = take // a place is free after all
	}
	switch v {
	case take, reserve:
	case room:
		if !a.makeRoom(known) {
			return a.refuse(e, Reject)
		}
	case refuse:
		return a.refuse(e, Reject)
	default:
		return a.refuse(e, Drop)
	}
	a.take(e, i, v == reserve)
	return true
}

// reservePart is the part of the reserve that one peer may have: a known one that floods leaves the rest to the others.
const reservePart = 4

func (a *Controller) mayReserve(p *peer) bool {
	return a.kept < a.set.Reserve && p.reserved < max(1, a.set.Reserve/reservePart)
}

func (a *Controller) refuse(e *Event, how ActionKind) (taken bool) {
	if e.TLS {
		how = Drop
	}
	if how == Drop {
		a.Counts.Dropped++
	} else {
		a.Counts.Rejected++
	}
	a.do(Action{Kind: how, Conn: e.Conn, Wait: a.back(e.Conn)})
	return false
}

// back is when to come back: later the fuller it is, and not all in one moment.
func (a *Controller) back(c ConnID) time.Duration {
	if !a.set.SendRetryAfter {
		return 0
	}
	spread := float64(uint64(c)*0x9e3779b97f4a7c15>>40) / (1 << 24)
	wait := time.Duration(float64(comeBack) * (1 + float64(a.mode)) * (0.5 + spread))
	if a.set.MaxRetryAfter > 0 {
		wait = min(wait, a.set.MaxRetryAfter)
	}
	return wait
}

func (a *Controller) take(e *Event, p int32, kept bool) {
	var i int32
	if n := len(a.free); n > 0 {
		i = a.free[n-1]
		a.free = a.free[:n-1]
	} else {
		a.conns = append(a.conns, conn{})
		i = int32(len(a.conns) - 1)
	}
	a.conns[i] = conn{id: e.Conn, peer: p, reserved: kept, hands: e.TLS, since: a.now, young: true}
	a.byConn[e.Conn] = i
	a.count++
	if kept {
		a.kept++
		a.peers[p].reserved++
	}
	if e.TLS {
		a.hands++
	}
	a.lie(i)
	a.Counts.Accepted++
	a.do(Action{Kind: Accept, Conn: e.Conn})
}

func (a *Controller) connLinks(i int32) *links { return &a.conns[i].links }

// lie puts a connection at the young end of those that rest, rise takes it out.
func (a *Controller) lie(i int32) { a.rest[which(a.conns[i].young)].put(i, a.connLinks) }

func (a *Controller) rise(i int32) { a.rest[which(a.conns[i].young)].drop(i, a.connLinks) }

func which(young bool) int {
	if young {
		return 1
	}
	return 0
}

// mayEnd says whether a connection that rests may be ended for a newcomer of a standing.
func (a *Controller) mayEnd(c *conn, who standing) bool {
	if c.reserved || who < listed && a.now < c.till {
		return false
	}
	return who > stranger || a.standing(&a.peers[c.peer]) == stranger
}

// justCome is how long a connection that has not asked yet is about to: some times the way of a client's first message. Among
// many that come at once, it would else be ended for the next one before its message is there. It is spared for one that has
// rested for longer than that, so that those who never ask do not push out those who just did.
const justCome = 100 * ms

// makeRoom ends the connection that rested longest, and says whether there was one. One that has not asked for anything yet
// goes before those that have, unless it has only just come. None of the reserve is ended, and none of a known peer for a
// stranger. What may lie unread on one ends with it only where descriptors have run out: it was not picked up, and what was
// comes first.
func (a *Controller) makeRoom(who standing) bool {
	found, longest := none, time.Duration(math.MaxInt64)
	for k := range a.rest {
		i := a.rest[k].oldest
		for i != none && !a.mayEnd(&a.conns[i], who) {
			i = a.conns[i].younger
		}
		if i == none {
			continue
		}
		since := a.conns[i].since
		if k == 1 && a.now-since < justCome {
			since = a.now - justCome // one that has asked and rested for longer goes first
		} else if k == 1 {
			since -= a.set.FirstRequestGrace
		}
		if since < longest {
			found, longest = i, since
		}
	}
	if found == none || who == stranger && a.now-a.conns[found].since < a.set.MinIdle {
		return false
	}
	a.Counts.ClosedIdle++
	a.do(Action{Kind: CloseIdle, Conn: a.conns[found].id})
	a.gone(found)
	return true
}

const (
	// strangersShake is the part of the handshakes at once that strangers may have, and slowShake how long one of theirs may
	// take before it makes room for another: several round trips across a continent.
	strangersShake, slowShake = 0.75, 300 * ms
	// knownShake is how far the known may overdraw the time for handshakes, in seconds of all of it.
	knownShake = 1.0
)

// mayShake says whether one more handshake may begin: there is a place, or one that takes long makes it, and the time that
// they may use is not spent. What they cost is known when they are over: half a handshake costs next to nothing.
func (a *Controller) mayShake(who standing) bool {
	if a.set.HandshakeCPU > 0 {
		a.cpu = math.Min(a.set.HandshakeCPU/4, a.cpu+a.set.HandshakeCPU*(a.now-a.cpuAt).Seconds())
		a.cpuAt = a.now
		if least := -knownShake * a.set.HandshakeCPU; a.cpu < least || who == stranger && a.cpu <= 0 {
			return false
		}
	}
	most := a.set.MaxHandshakes
	if who == stranger {
		most = int(strangersShake * float64(most))
	}
	if a.set.MaxHandshakes <= 0 || a.hands < most {
		return true
	}
	for i := a.rest[1].oldest; i != none; i = a.conns[i].younger {
		if c := &a.conns[i]; c.hands && !c.reserved && a.now-c.since >= slowShake {
			a.Counts.ClosedIdle++
			a.do(Action{Kind: CloseIdle, Conn: c.id})
			a.gone(i)
			return true
		}
	}
	return false
}

// heard takes what came of a connection that was taken.
func (a *Controller) heard(i int32, e *Event) {
	c := &a.conns[i]
	p := &a.peers[c.peer]
	switch e.Kind {
	case EventHandshakeDone:
		if c.hands {
			c.hands = false
			a.hands--
			a.Counts.Handshakes++
			a.cpu -= e.Elapsed.Seconds()
		}
		if e.Peer != (Peer{}) {
			a.move(i, e.Peer)
		}
	case EventMessage:
		if !c.asked {
			c.asked, c.since = true, a.now
			if !c.busy {
				a.rise(i)
				c.young = false
				a.lie(i)
			} else {
				c.young = false
			}
		}
	case EventBusy:
		if !c.busy {
			a.rise(i)
			c.busy = true
		}
	case EventIdle:
		if c.busy {
			c.busy, c.since = false, a.now
			a.lie(i)
			if a.count > a.most() && !c.reserved && (a.now >= c.till || a.mode == modeShedding) && a.standing(p) == stranger {
				a.Counts.ClosedIdle++
				a.do(Action{Kind: CloseIdle, Conn: c.id})
				a.gone(i)
			}
		}
	case EventRequest:
		a.pace(e.Elapsed)
		who := a.standing(p)
		if !a.mayOpen(p, who) {
			a.Counts.RequestsRejected++
			wait := a.back(c.id + ConnID(a.Counts.RequestsRejected))
			a.do(Action{Kind: Reject, Conn: c.id, Wait: wait})
			if c.row++; c.row >= refusedRow || a.mode >= modeFull || a.allow < float64(a.set.MaxRequests) {
				c.row = 0
				c.till = a.now + comeBack + crossing
				a.do(Action{Kind: Pause, Conn: c.id, Wait: comeBack})
			}
			return
		}
		c.row = 0
		if !c.busy {
			a.rise(i)
			c.busy = true
		}
		c.views++
		p.views++
		a.views++
		if who > stranger {
			c.known++
			a.known++
		}
		a.do(Action{Kind: Accept, Conn: c.id})
	case EventRequestEnd:
		if c.views > 0 {
			c.views--
			p.views--
			a.views--
			if c.known > 0 {
				c.known--
				a.known--
			}
		}
		if e.Rejected && a.standing(p) > stranger {
			a.pressed = true
		}
		if e.InTime {
			p.score = math.Min(scoreMost, a.fade(p)+1)
		}
	case EventClosed:
		a.gone(i)
		a.weigh()
	}
}

// mayOpen: a peer has its own bound on open views. The known have all that may be open to themselves; strangers have no more
// than is allowed to them, and each its share once half of that is taken.
func (a *Controller) mayOpen(p *peer, who standing) bool {
	switch {
	case a.set.RequestsPerPeer > 0 && p.views >= a.set.RequestsPerPeer:
		return false
	case who == stranger && a.mode == modeShedding:
		return false // what is owed comes first
	case a.set.MaxRequests <= 0:
		return true
	case who > stranger:
		return a.known < a.set.MaxRequests
	}
	strangers, with := float64(a.views-a.known), len(a.byPeer)-a.idle.n
	share := a.allow / float64(max(1, with)) * parts[a.mode][who]
	return strangers < a.allow && (strangers < a.allow/2 || float64(p.views) < max(1, share))
}

const (
	// lagMost is how long an event may wait for the engine before strangers get fewer views: some times what it waits on a
	// busy day, and little beside a due time.
	lagMost = 3 * ms
	// The views allowed to strangers fall by a fifth, or grow by a hundredth, each paceEach: down in a fifth of a second, back in
	// some, so that what a flood does is not tried again at once; never under leastViews, so that it shows when the engine has caught up.
	paceEach, paceDown, paceUp, leastViews = 20 * ms, 0.8, 1.01, 8
)

// pace has the views allowed to strangers follow how long events wait for the engine, and whether a known peer's view was
// turned back: what strangers ask for may fill links and the origin before it fills the core.
func (a *Controller) pace(lag time.Duration) {
	if a.set.MaxRequests <= 0 || a.now-a.pacedAt < paceEach {
		return
	}
	a.pacedAt = a.now
	if lag > lagMost || a.pressed {
		a.pressed = false
		a.allow = math.Max(leastViews, a.allow*paceDown)
	} else {
		a.allow = math.Min(float64(a.set.MaxRequests), a.allow*paceUp)
	}
}

// move has a connection count for the certificate that it showed: behind one address, each has its own.
func (a *Controller) move(i int32, id Peer) {
	c := &a.conns[i]
	from := c.peer
	to := a.find(id)
	p, q := &a.peers[from], &a.peers[to]
	q.listed = true
	p.views -= c.views
	q.views += c.views
	if c.reserved {
		p.reserved--
		q.reserved++
	}
	a.join(to)
	a.part(from)
	c.peer = to
	// The connection was taken by the address's rate; the certificate's own bounds hold from here on.
	if part := parts[a.mode][listed]; a.set.ConnectionsPerPeer > 0 && q.conns > max(1, int(float64(a.set.ConnectionsPerPeer)*part)) {
		a.Counts.ClosedIdle++
		a.do(Action{Kind: CloseIdle, Conn: c.id})
		a.gone(i)
	}
}

// gone takes a connection out.
func (a *Controller) gone(i int32) {
	c := &a.conns[i]
	if !c.busy {
		a.rise(i)
	}
	p := &a.peers[c.peer]
	p.views -= c.views
	a.views -= c.views
	a.known -= c.known
	if c.reserved {
		a.kept--
		p.reserved--
	}
	if c.hands {
		a.hands--
	}
	a.count--
	delete(a.byConn, c.id)
	a.free = append(a.free, i)
	a.part(c.peer)
}
