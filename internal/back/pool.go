package back

// This file owns the connections to the nodes: which node has which address, the goroutines that dial, read and write,
// and the closing of idle ones. It must never look into a frame or choose a node; a leg goes where it was sent.

import (
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/settings"
	"fennelarch/rules"
)

// Pool carries legs to nodes.
type Pool struct {
	limits limits.Limits
	names  names
	verb   string // of a probe
	post   func(at time.Time, what any)
	log    *zap.Logger

	mu    sync.Mutex
	nodes map[rules.NodeID]*node
	conns int
}

type node struct {
	uid, address string
	state        rules.State
	conns        []*conn
}

// conn is a connection, being dialled or up.
type conn struct {
	pool *Pool
	node rules.NodeID

	mu   sync.Mutex
	link *link
	net  net.Conn // nil while it is dialled
	over bool
	used time.Time
	wake chan struct{}
}

// New returns a pool that knows no node.
func New(l limits.Limits, n settings.Names, reports bool, log *zap.Logger) *Pool {
	p := &Pool{limits: l, names: names{tariffs: n.Tariffs, columns: n.Columns}, verb: "alive", log: log,
		nodes: map[rules.NodeID]*node{}}
	if reports {
		p.verb = "stats"
	}
	return p
}

// Report sets where ends of legs and probes go. It is called once, before any leg is sent.
func (p *Pool) Report(post func(at time.Time, what any)) { p.post = post }

// Learn keeps the address of each node of the list.
func (p *Pool) Learn(list []engine.Node, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[rules.NodeID]bool{}
	for _, m := range list {
		listed[m.Node] = true
		n := p.nodes[m.Node]
		if n == nil {
			n = &node{uid: m.UID}
			p.nodes[m.Node] = n
		}
		if n.state != m.State {
			p.log.Info("node", zap.String("uid", m.UID), zap.String("state", states[m.State]))
		}
		if n.address != m.Address && m.Address != "" {
			n.address = m.Address
		}
		n.state = m.State
	}
	for id, n := range p.nodes {
		if all && !listed[id] {
			n.state = rules.Gone
		}
		if n.state == rules.Gone && len(n.conns) == 0 {
			delete(p.nodes, id)
		}
	}
}

var states = [...]string{rules.Gone: "gone", rules.Ready: "ready", rules.Draining: "draining"}

// Send puts a leg on a connection to its node: one that is up and not in doubt, else a new one.
func (p *Pool) Send(l *engine.Leg) {
	if c, next := p.pick(l); c != nil {
		c.mu.Lock()
		if !c.over {
			c.link.send(l, next)
			c.mu.Unlock()
			c.stir()
			return
		}
		c.mu.Unlock()
	}
	p.later(engine.LegEnd{Leg: l, Outcome: rules.Unconnected})
}

// later reports without waiting: the engine is the caller.
func (p *Pool) later(what any) {
	now := time.Now()
	go p.post(now, what)
}

// pick finds the connection for a leg, and the name of its source.
func (p *Pool) pick(l *engine.Leg) (c *conn, next string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Source != 0 {
		n := p.nodes[l.Source]
		if n == nil {
			return nil, ""
		}
		next = n.uid
	}
	return p.find(l.Node, l), next
}

// find is the least busy connection to a node that takes the leg and is not in doubt, a new one where there is none,
// or at last one in doubt.
func (p *Pool) find(id rules.NodeID, l *engine.Leg) *conn {
	n := p.nodes[id]
	if n == nil {
		return nil
	}
	var found, doubted *conn
	least := p.limits.Streams
	for _, c := range n.conns {
		c.mu.Lock()
		busy, fits, doubt := c.link.busy(), !c.over && (l == nil || c.link.takes(l)), c.link.doubt
		c.mu.Unlock()
		switch {
		case !fits:
		case doubt:
			doubted = c
		case busy < least:
			found, least = c, busy
		}
	}
	if found != nil {
		return found
	}
	if len(n.conns) < p.limits.NodeConns && p.conns < p.limits.Nodes {
		c := &conn{pool: p, node: id, link: newLink(&p.limits, &p.names), wake: make(chan struct{}, 1), used: time.Now()}
		n.conns = append(n.conns, c)
		p.conns++
		go c.run(n.address)
		return c
	}
	return doubted
}

// Abort gives a leg up and says whether it may have run.
func (p *Pool) Abort(l *engine.Leg) bool {
	p.mu.Lock()
	n := p.nodes[l.Node]
	var conns []*conn
	if n != nil {
		conns = n.conns
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		held := c.link.holds(l)
		ran := !held || c.link.abort(l)
		c.mu.Unlock()
		if held {
			c.stir()
			return ran
		}
	}
	return true
}

// Probe asks a node for its state.
func (p *Pool) Probe(id rules.NodeID) {
	p.mu.Lock()
	c := p.find(id, nil)
	p.mu.Unlock()
	if c == nil {
		p.later(engine.Probed{Node: id, Outcome: rules.Unconnected})
		return
	}
	c.mu.Lock()
	c.link.ask(id, p.verb, time.Now())
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
	up, err := net.DialTimeout("tcp", address, c.pool.limits.Connect)
	if err != nil {
		c.end()
		return
	}
	c.mu.Lock()
	c.net = up
	c.mu.Unlock()
	go c.read(up)
	idle := time.NewTimer(c.pool.limits.Idle)
	defer idle.Stop()
	for {
		now := time.Now()
		c.mu.Lock()
		out, over := c.link.outgoing(), c.over
		c.mu.Unlock()
		if over {
			return
		}
		if len(out) > 0 {
			_ = up.SetWriteDeadline(now.Add(c.pool.limits.Stuck))
			n, err := up.Write(out)
			c.mu.Lock()
			c.link.wrote(n)
			c.used = now
			c.mu.Unlock()
			if err != nil {
				c.end()
				return
			}
			continue
		}
		select {
		case <-c.wake:
		case <-idle.C:
			if c.resting() {
				c.end()
				return
			}
			idle.Reset(c.pool.limits.Idle / 4)
		}
	}
}

// resting says whether nothing has been on the connection for long; from then on it takes nothing.
func (c *conn) resting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link.busy() == 0 && time.Since(c.used) > c.pool.limits.Idle {
		c.over = true
		return true
	}
	return false
}

func (c *conn) read(up net.Conn) {
	defer c.end()
	for {
		c.mu.Lock()
		space := c.link.space()
		c.mu.Unlock()
		n, err := up.Read(space)
		now := time.Now()
		c.mu.Lock()
		var bad error
		if n > 0 {
			bad = c.link.got(n, now)
			c.used = now
		}
		ends := c.link.take()
		c.mu.Unlock()
		for _, end := range ends {
			c.pool.post(now, end)
		}
		if err != nil || bad != nil {
			return
		}
	}
}

// end takes the connection out of the pool and reports what was open on it.
func (c *conn) end() {
	now := time.Now()
	p := c.pool
	p.mu.Lock()
	if n := p.nodes[c.node]; n != nil {
		for i, o := range n.conns {
			if o == c {
				n.conns = append(append([]*conn(nil), n.conns[:i]...), n.conns[i+1:]...)
				p.conns--
				break
			}
		}
	}
	p.mu.Unlock()
	c.mu.Lock()
	c.over = true
	c.link.over()
	ends := c.link.take()
	up := c.net
	c.mu.Unlock()
	if up != nil {
		_ = up.Close()
	}
	c.stir()
	for _, end := range ends {
		p.post(now, end)
	}
}
