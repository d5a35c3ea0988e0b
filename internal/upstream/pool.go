package upstream

// This file owns the connections to the nodes: which node has which address, the goroutines that dial, read and write,
// and the end of connections that rest, are in doubt or lead to a node that is no more. It must never look into a frame
// or choose a node: a leg goes where it was sent.

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/internal/system"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// Pool carries legs to nodes. Where both are held, its lock is taken before that of a connection.
type Pool struct {
	limits limits.Limits
	names  names
	verb   string // of a probe
	post   func(at time.Time, message engine.Message)
	log    *zap.Logger

	OnDescriptorShortage func() // if set, is called when there is no descriptor for a connection
	Monitor              *invariant.Monitor
	dial                 func(network, address string, within time.Duration) (net.Conn, error)

	mu    sync.Mutex
	nodes map[routing.EndpointID]*node
	conns int
}

type node struct {
	uid, address string
	place        invariant.Server
	state        routing.EndpointState
	told         time.Time // when its state last changed
	conns        []*conn
}

// conn is a connection, being dialled or up.
type conn struct {
	pool *Pool
	node routing.EndpointID

	mu      sync.Mutex
	link    *link
	up      net.Conn // nothing while it is dialled
	writing bool     // the system may have taken more than is accounted for
	dialled time.Time
	heard   time.Time // when a whole answer last came on it
	late    bool      // it does not come up, and what waits for it goes elsewhere
	second  bool      // it was dialled because another was late
	over    bool
	retired bool // it takes nothing more, and ends once nothing is open on it
	used    time.Time
	wake    chan struct{}
}

// New returns a pool that knows no node. Ends of legs and probes go to post.
func New(l limits.Limits, n config.Names, reports bool, post func(at time.Time, message engine.Message), log *zap.Logger) *Pool {
	p := &Pool{
		limits: l, names: names{tariffs: n.Classes, columns: n.Columns}, verb: "alive", post: post, log: log, dial: system.DialTimeout,
		nodes: map[routing.EndpointID]*node{},
	}
	if reports {
		p.verb = "stats"
	}
	return p
}

// ConnectionCount is how many connections there are.
func (p *Pool) ConnectionCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

var states = [...]string{routing.Gone: "gone", routing.Ready: "ready", routing.Draining: "draining"}

// UpdateEndpoints keeps the address of each node of the list. One that is gone is known for a while: legs may still name it.
func (p *Pool) UpdateEndpoints(list []engine.Endpoint, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	listed := map[routing.EndpointID]bool{}
	for _, m := range list {
		listed[m.ID] = true
		n := p.nodes[m.ID]
		if n == nil {
			n = &node{uid: m.UID, address: m.Address}
			p.nodes[m.ID] = n
		}
		n.place = invariant.Server{Endpoint: m.ID, Zone: m.Zone, Cell: m.Cell}
		if n.address != m.Address && m.Address != "" {
			n.address = m.Address
			p.retire(n)
		}
		p.turn(m.ID, n, m.State, now)
	}
	for id, n := range p.nodes {
		if all && !listed[id] {
			p.turn(id, n, routing.Gone, now)
		}
		if n.state != routing.Gone {
			continue
		}
		for _, m := range list {
			if m.Address == n.address && m.State == routing.Ready {
				p.drop(n) // another stands there now
			}
		}
		if len(n.conns) == 0 && now.Sub(n.told) > p.limits.ForgetAfter {
			delete(p.nodes, id)
		}
	}
}

func (p *Pool) turn(id routing.EndpointID, n *node, s routing.EndpointState, now time.Time) {
	if n.state == s {
		return
	}
	n.state, n.told = s, now
	p.Monitor.Record(flightrecorder.Entry{Event: flightrecorder.ServerState, Endpoint: uint64(id), Reason: uint8(s)})
	p.log.Info("node", zap.String("uid", n.uid), zap.String("id", fmt.Sprintf("%x", uint64(id))), zap.String("state", states[s]))
}

// drop ends the connections to a node, and with them what is open there: another server has its address, so that none of
// them leads anywhere.
func (p *Pool) drop(n *node) {
	for _, c := range n.conns {
		go c.end(invariant.CloseServerMoved)
	}
}

// retire has the connections to a node take nothing more, as it has moved: what waits for one goes elsewhere, and what is
// open keeps it up until it has ended, since the server may well answer where it was.
func (p *Pool) retire(n *node) {
	for _, c := range n.conns {
		c.mu.Lock()
		c.retired = true
		rests := c.link.busy() == 0 || c.up == nil
		c.mu.Unlock()
		if rests {
			go c.end(invariant.CloseServerMoved)
		} else {
			c.stir()
		}
	}
}

// Send puts a leg on a connection to its node. One that ends at this moment is no reason to fail: there may be another. A leg
// for which this router has no connection left was never sent, and tells nothing of its node.
func (p *Pool) Send(l *engine.Attempt) {
	now, how := time.Now(), routing.ConnectFailed
	for range 2 {
		p.mu.Lock()
		c, o := p.place(l, now)
		if known := p.nodes[l.Endpoint]; c == nil && known != nil {
			how = routing.NotSent
		}
		p.mu.Unlock()
		if c == nil {
			break
		}
		if c.send(o) {
			return
		}
	}
	go p.post(now, engine.AttemptResult{Attempt: l, Outcome: how}) // the caller must not wait
}

func (c *conn) send(o order) bool {
	c.mu.Lock()
	defer c.stir()
	defer c.mu.Unlock()
	if c.over || c.retired {
		return false
	}
	o.leg.TransportState = c
	c.link.send(o)
	return true
}

// place finds the connection for a leg. To a node, or from a source, that is told to leave, it must be on its way soon.
func (p *Pool) place(l *engine.Attempt, now time.Time) (*conn, order) {
	o := order{leg: l, place: invariant.Server{Endpoint: l.Endpoint}, until: now.Add(p.limits.AttemptStartWithin)}
	if !l.NotAfter.IsZero() {
		o.until = earlier(o.until, l.NotAfter)
	}
	for _, id := range [...]routing.EndpointID{l.Endpoint, l.Source} {
		n := p.nodes[id]
		switch {
		case id == 0:
			continue
		case n == nil:
			return nil, o
		case n.state != routing.Ready:
			o.until = earlier(o.until, now.Add(p.limits.DrainingStartWithin))
		}
		if id == l.Source {
			o.next = n.uid
		} else {
			o.place = n.place
		}
	}
	return p.find(l.Endpoint, l), o
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// find is the connection to a node for a leg: of those on which nothing is open the one used last, or a new one, so that
// what ends a connection takes no other leg with it; where there is no room for more, the least busy one, and at last one
// that may be stuck.
func (p *Pool) find(id routing.EndpointID, l *engine.Attempt) *conn {
	n := p.nodes[id]
	if n == nil {
		return nil
	}
	var free, least, unsure *conn
	var used time.Time
	most := p.limits.StreamsPerConnection
	for _, c := range n.conns {
		c.mu.Lock()
		busy, fits, stuck, last := c.link.busy(), !c.over && !c.retired && (l == nil || c.link.takes(l)), c.link.unsure(), c.used
		c.mu.Unlock()
		switch {
		case stuck && busy == 0:
			go c.end(invariant.CloseServerSuspect)
		case !fits:
		case stuck:
			unsure = c
		case busy == 0 && !last.Before(used):
			free, used = c, last
		case busy < most:
			least, most = c, busy
		}
	}
	if free == nil {
		free = p.open(id, n)
	}
	return cmp.Or(free, least, unsure)
}

// open begins a new connection to a node, where there is room for one.
func (p *Pool) open(id routing.EndpointID, n *node) *conn {
	if len(n.conns) >= p.limits.ConnectionsPerEndpoint || p.conns >= p.limits.UpstreamConnections && !p.spare() {
		return nil
	}
	now := time.Now()
	c := &conn{pool: p, node: id, link: newLink(&p.limits, &p.names), wake: make(chan struct{}, 1), used: now, dialled: now}
	n.conns = append(n.conns, c)
	p.conns++
	go c.run(n.address)
	return c
}

// rescue takes what waits for a connection that does not come up to another one of its node: one on which an answer came
// meanwhile, so that the node lives, or, once, a new one, as this dial may be the only one that is late.
func (p *Pool) rescue(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.mu.Lock()
	c.late = c.up == nil && !c.over
	again := c.late && !c.second && len(c.link.waiting) > 0
	c.mu.Unlock()
	n := p.nodes[c.node]
	if n == nil || !again {
		return
	}
	for _, other := range n.conns {
		p.move(c, other)
	}
	c.mu.Lock()
	again = len(c.link.waiting) > 0
	c.mu.Unlock()
	if !again {
		return
	}
	if other := p.open(c.node, n); other != nil {
		other.second = true
		p.shift(c, other)
	}
}

// move takes what waits for a late connection to another one, if that is up, alive and has nothing to do.
func (p *Pool) move(from, to *conn) {
	from.mu.Lock()
	late, since := from.late, from.dialled
	from.mu.Unlock()
	if !late || from == to {
		return
	}
	to.mu.Lock()
	fit := to.up != nil && !to.over && !to.retired && to.link.busy() == 0 && !to.link.unsure() && to.heard.After(since)
	to.mu.Unlock()
	if fit {
		p.shift(from, to)
	}
}

// shift takes the first leg that waits for a late connection to another.
func (p *Pool) shift(from, to *conn) {
	from.mu.Lock()
	if !from.late || from.up != nil || len(from.link.waiting) == 0 {
		from.mu.Unlock()
		return
	}
	o := from.link.waiting[0]
	from.link.waiting = from.link.waiting[1:]
	from.mu.Unlock()
	to.mu.Lock()
	fits := !to.over && to.link.takes(o.leg)
	to.mu.Unlock()
	if (!fits || !to.send(o)) && !from.send(o) {
		go p.post(time.Now(), engine.AttemptResult{Attempt: o.leg, Outcome: routing.ConnectFailed}) // the dial has failed meanwhile
	}
}

// freed is called when nothing is open on a connection any more: it takes what waits for a late one of its node.
func (p *Pool) freed(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.nodes[c.node]; n != nil {
		for _, other := range n.conns {
			p.move(other, c)
		}
	}
}

// spare ends a connection on which nothing is open, so that another may stand for it.
func (p *Pool) spare() bool {
	for _, n := range p.nodes {
		for _, c := range n.conns {
			if c.rests(0) {
				go c.end(invariant.CloseServerForCapacity)
				return true
			}
		}
	}
	return false
}

// CloseIdle ends the connections on which nothing is open: their descriptors are needed.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.nodes {
		for _, c := range n.conns {
			if c.rests(0) {
				go c.end(invariant.CloseServerForCapacity)
			}
		}
	}
}

// Abort gives a leg up and says whether it may have run.
func (p *Pool) Abort(l *engine.Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock() // so that it stays where it is
	c, sent := l.TransportState.(*conn)
	if !sent {
		return false
	}
	c.mu.Lock()
	defer c.stir()
	defer c.mu.Unlock()
	ran := c.link.abort(l, time.Now())
	if c.link.cut {
		c.over = true
		go c.end(invariant.CloseHalfWritten)
	}
	return ran
}

// CheckHealth asks a node for its state.
func (p *Pool) CheckHealth(id routing.EndpointID) {
	p.mu.Lock()
	c := p.find(id, nil)
	p.mu.Unlock()
	if c == nil {
		go p.post(time.Now(), engine.HealthCheckResult{Endpoint: id, Outcome: routing.ConnectFailed})
		return
	}
	c.mu.Lock()
	c.link.probe(id, p.verb, time.Now())
	c.mu.Unlock()
	c.stir()
}

func (c *conn) stir() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run dials, starts the reader, and writes until the connection is over.
func (c *conn) run(address string) {
	reason := invariant.CloseServerEnded
	defer func() { c.end(reason) }()
	up := c.connect(address)
	if up == nil {
		reason = invariant.CloseDialFailed
		return
	}
	go c.read(up)
	reason = c.write(up)
}

// connect brings the connection up, or returns nothing.
func (c *conn) connect(address string) net.Conn {
	late := time.AfterFunc(c.pool.limits.SlowConnect, func() { c.pool.rescue(c) })
	defer late.Stop()
	up, err := c.dial(address)
	if err != nil {
		return nil
	}
	late.Stop()
	c.mu.Lock()
	c.up, c.late = up, false
	over := c.over
	c.mu.Unlock()
	if over {
		_ = up.Close()
		return nil
	}
	return up
}

// dial tries until the connection is up, or it is known that it will not be. What concerns this machine alone, or may be over in a
// moment, is tried again; if that is what remains, it tells nothing of the server.
func (c *conn) dial(address string) (net.Conn, error) {
	l := &c.pool.limits
	begun := time.Now()
	up, err := c.pool.dial("tcp", address, l.ConnectTimeout)
	for n := 0; n < l.Redials && c.again(err, time.Since(begun)); n++ {
		if n > 0 && system.Exhausted(err) { // not for the moment only
			c.pool.CloseIdle()
			if c.pool.OnDescriptorShortage != nil {
				c.pool.OnDescriptorShortage() // others may make room: legs under way come first
			}
		}
		time.Sleep(l.RecheckInterval)
		up, err = c.pool.dial("tcp", address, max(l.RecheckInterval, l.ConnectTimeout-time.Since(begun)))
	}
	now := time.Now()
	fault := system.Classify(err)
	if fault == system.FaultSilent && c.pool.Monitor.Watch().Since(begun, now) {
		fault = system.FaultLocal // this process stood still meanwhile: nobody knows what came
	}
	c.pool.Monitor.Record(flightrecorder.Entry{
		Event: flightrecorder.ServerDialled, Endpoint: uint64(c.node), Reason: uint8(fault),
		Value: now.Sub(begun).Milliseconds(),
	})
	if err != nil {
		c.mu.Lock()
		c.link.short = fault == system.FaultLocal
		c.mu.Unlock()
	}
	return up, err
}

// again says whether a dial that failed after so long is worth another try.
func (c *conn) again(err error, took time.Duration) bool {
	switch system.Classify(err) {
	case system.FaultLocal:
		return true
	case system.FaultSilent: // told at once: the way to the server may be back in a moment
		return took < c.pool.limits.SlowConnect
	}
	return false
}

// write writes until the connection is over, and says why it is.
func (c *conn) write(up net.Conn) invariant.CloseReason {
	idle := time.NewTicker(c.pool.limits.UpstreamIdleTimeout / 4)
	defer idle.Stop()
	for {
		c.pool.Monitor.Watch().Settle() // a cancel of what waits here may have come while the process stood still
		now := time.Now()
		c.mu.Lock()
		over := c.over || c.retired && c.link.busy() == 0
		var out []byte
		if !over {
			out = c.link.outgoing(now)
		}
		patience := c.link.patience()
		c.writing = len(out) > 0
		ends := c.link.take()
		c.mu.Unlock()
		for _, end := range ends {
			c.pool.post(now, end)
		}
		if over {
			return invariant.CloseServerMoved // or for the reason for which it was ended before
		}
		if len(out) > 0 {
			_ = up.SetWriteDeadline(now.Add(patience))
			n, err := system.Write(up, out)
			c.mu.Lock()
			c.link.wrote(n, time.Now())
			c.writing, c.used = false, now
			c.mu.Unlock()
			if err != nil {
				return invariant.CloseServerWrite
			}
			continue
		}
		select {
		case <-c.wake:
		case <-idle.C:
			if c.rests(c.pool.limits.UpstreamIdleTimeout) {
				return invariant.CloseIdle
			}
		}
	}
}

// rests says whether nothing has been on the connection for so long; if so, it takes nothing more.
func (c *conn) rests(long time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.up == nil || c.over || c.link.busy() > 0 || time.Since(c.used) < long {
		return false
	}
	c.over = true
	return true
}

func (c *conn) read(up net.Conn) {
	reason := invariant.CloseServerEnded
	defer func() { c.end(reason) }()
	for {
		c.mu.Lock()
		space := c.link.space()
		c.mu.Unlock()
		n, err := system.Read(up, space)
		now := time.Now()
		c.mu.Lock()
		before := c.link.heard
		bad := c.link.got(n, now)
		c.used = now
		freed := c.link.heard > before && c.link.busy() == 0
		if c.link.heard > before {
			c.heard = now
		}
		retired := freed && c.retired
		ends := c.link.take()
		c.mu.Unlock()
		if freed && bad == nil && !retired {
			c.pool.freed(c)
		}
		for _, end := range ends {
			c.pool.post(now, end)
		}
		switch {
		case bad != nil:
			reason = invariant.CloseServerMalformed
			return
		case err != nil:
			return
		case retired:
			reason = invariant.CloseServerMoved
			return
		}
	}
}

// end takes the connection out of the pool and reports what was open on it: there is no other way to close one. It may be called
// more than once; the first reason counts. While something is being written, only the writer knows how much of it went: it is closed
// then, and the writer's own end reports.
func (c *conn) end(reason invariant.CloseReason) {
	now := time.Now()
	p := c.pool
	p.mu.Lock()
	first := false
	if n := p.nodes[c.node]; n != nil {
		if i := slices.Index(n.conns, c); i >= 0 {
			n.conns = slices.Delete(n.conns, i, i+1)
			p.conns--
			first = true
		}
	}
	p.mu.Unlock()
	c.mu.Lock()
	if first {
		p.Monitor.CloseServer(uint64(c.node), reason, c.link.busy())
	}
	c.over = true
	var ends []engine.Message
	if !c.writing {
		c.link.over()
		ends = c.link.take()
	}
	up := c.up
	c.mu.Unlock()
	if up != nil {
		_ = up.Close()
	}
	c.stir()
	for _, end := range ends {
		p.post(now, end)
	}
}
