// Package store carries legs to shared stores that speak RESP2. This file owns the carrier, which stands between the
// engine and the carrier of all other nodes: a leg to a store becomes gets, leases, fills and sets as the decisions in
// policy/sharedstore want, and ends as a leg to a cache does. It must never decide, and never keep the engine waiting.
package sharedstore

import (
	"container/heap"
	"context"
	"crypto/tls"
	"errors"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"
	decide "fennelarch/policy/sharedstore"
)

// Store is what the operator says of one.
type Store struct {
	UID       string
	Addresses []string // none: the list's
	Listed    bool     // the list names it, or else this router adds it
	Weight    float64
	Prefix    string
	Login     Login
	TLS       *tls.Config
}

// Login is how a connection names itself.
type Login = login

// NewLogin returns what a greeting needs; all may be empty.
func NewLogin(user, word string, database int) Login { return login{user, word, database} }

var errSilent = errors.New("nothing is heard of it")

// Carrier is an engine.Caches that knows stores. Its lock is taken before those of servers and of the inner carrier.
type Carrier struct {
	limits  limits.Limits
	set     routing.Settings
	log     *zap.Logger
	start   time.Time
	inner   engine.Caches
	deliver func(at time.Time, what any)
	wake    chan struct{}

	mu      sync.Mutex
	keep    *decide.Keeper
	stores  map[routing.NodeID]*server
	members map[routing.NodeID]engine.Node // as last told, stores only
	kinds   map[routing.NodeID]routing.KindID
	origin  routing.NodeID
	last    decide.OpID
	ops     map[decide.OpID]*op
	legs    map[*engine.Leg]decide.OpID // legs and fills
	timers  timers
	outbox  []engine.Event
	acts    []decide.Action
}

// op is one leg to a store.
type op struct {
	leg   *engine.Leg
	store *server
	relay bool // another cache was to be filled from the store
	over  bool
	fill  *engine.Leg
	begun time.Time
	copy  Copy
	born  time.Time
}

// New returns a carrier for the stores given. What is for the engine goes to deliver, from goroutines of its own only.
func New(l limits.Limits, set routing.Settings, decisions decide.Settings, seed uint64, stores []Store, start time.Time,
	deliver func(at time.Time, what any), log *zap.Logger) *Carrier {
	c := &Carrier{limits: l, set: set, log: log, start: start, deliver: deliver, wake: make(chan struct{}, 1),
		stores: map[routing.NodeID]*server{}, members: map[routing.NodeID]engine.Node{}, kinds: map[routing.NodeID]routing.KindID{},
		ops: map[decide.OpID]*op{}, legs: map[*engine.Leg]decide.OpID{}}
	var ids []routing.NodeID
	for _, s := range stores {
		id := engine.NodeID(s.UID)
		ids = append(ids, id)
		c.stores[id] = &server{carrier: c, id: id, conf: s, keys: keys{s.Prefix}, wake: make(chan struct{}, 1), addrs: s.Addresses}
	}
	decisions.Epoch = decide.Stamp(start.UnixMilli())
	c.keep = decide.New(decisions, seed, ids...)
	return c
}

// Over sets the carrier of all other nodes; it comes before anything else.
func (c *Carrier) Over(inner engine.Caches) { c.inner = inner }

// Run keeps the connections and delivers what is for the engine, until the context ends.
func (c *Carrier) Run(ctx context.Context) {
	for _, s := range c.stores {
		go s.run(ctx)
	}
	alarm := time.NewTimer(0)
	for {
		c.mu.Lock()
		now := c.now()
		for len(c.timers) > 0 && c.timers[0].at <= now {
			t := heap.Pop(&c.timers).(timer)
			c.tell(&decide.Event{Kind: decide.EventTimer, Op: t.op, Node: t.node, Timer: t.name})
		}
		if len(c.timers) > 0 {
			alarm.Reset(max(0, c.timers[0].at-c.now()))
		}
		c.mu.Unlock()
		c.flush()
		select {
		case <-c.wake:
		case <-alarm.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Carrier) now() time.Duration { return time.Since(c.start) }

func (c *Carrier) stir() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// out has something delivered to the engine: by flush, on a goroutine that may wait for it, or by Run.
func (c *Carrier) out(what any) {
	c.outbox = append(c.outbox, engine.Event{At: time.Now(), What: what})
}

func (c *Carrier) flush() {
	c.mu.Lock()
	out := c.outbox
	c.outbox = nil
	c.mu.Unlock()
	for _, e := range out {
		c.deliver(e.At, e.What)
	}
}

// unlock lets go on the engine's own goroutine, which must not wait for itself.
func (c *Carrier) unlock() {
	if len(c.outbox) > 0 {
		c.stir()
	}
	c.mu.Unlock()
}

// Told is to see whatever the bulletin tells before the engine does, and returns what the engine is to be told instead.
func (c *Carrier) Told(what any) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e := what.(type) {
	case engine.Purge:
		if c.keep.Purged(c.now(), decide.Mark{Object: e.Object, Group: e.Group, Issued: decide.Stamp(e.Issued.UnixMilli())}) {
			for _, s := range c.stores {
				go s.beat()
			}
		}
	case engine.List:
		if e.All {
			e.Nodes = append([]engine.Node(nil), e.Nodes...)
			for _, s := range c.stores {
				if !s.conf.Listed {
					e.Nodes = append(e.Nodes, c.member(s))
				}
			}
			return e
		}
	}
	return what
}

// member is a store's line in the list where this router adds it.
func (c *Carrier) member(s *server) engine.Node {
	if n, known := c.members[s.id]; known {
		return n
	}
	n := engine.Node{UID: s.conf.UID, Member: routing.Member{Node: s.id, State: routing.Ready, Zone: c.set.Zone, Weight: s.conf.Weight}}
	for n.Kind == c.set.ParentKind || n.Kind == c.set.OriginKind {
		n.Kind++
	}
	return n
}

// Current says that all that was told before a moment has been seen, Gap that something never will be.
func (c *Carrier) Current(asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep.Current(decide.Stamp(asOf.UnixMilli()))
}

// Stepped says that the wall clock was set by so much.
func (c *Carrier) Stepped(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep.Stepped(c.now(), by)
}

func (c *Carrier) Gap() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep.Gap(c.now())
}

// Counts is what was decided so far.
func (c *Carrier) Counts() decide.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keep.Counts
}

// Learn keeps what the list says of stores, and passes the rest on.
func (c *Carrier) Learn(nodes []engine.Node, all bool) {
	c.mu.Lock()
	defer c.unlock()
	rest := make([]engine.Node, 0, len(nodes))
	listed := map[routing.NodeID]bool{}
	for _, n := range nodes {
		listed[n.Node] = true
		c.kinds[n.Node] = n.Kind
		if n.Kind == c.set.OriginKind && n.State == routing.Ready {
			c.origin = n.Node
		}
		c.tell(&decide.Event{Kind: decide.EventState, Node: n.Node, State: n.State})
		if s := c.stores[n.Node]; s != nil {
			c.members[n.Node] = n
			s.at(n.Address)
			continue
		}
		if n.State == routing.Gone {
			delete(c.kinds, n.Node)
		}
		rest = append(rest, n)
	}
	if all {
		for id := range c.kinds {
			if !listed[id] {
				delete(c.kinds, id)
				c.tell(&decide.Event{Kind: decide.EventState, Node: id, State: routing.Gone})
			}
		}
	}
	c.inner.Learn(rest, all)
}

// Send takes a leg: to a store, to a cache that is to be filled from one, or to any other node.
func (c *Carrier) Send(l *engine.Leg) {
	id, relay := l.Node, false
	if c.stores[l.Node] == nil {
		if c.stores[l.Source] == nil {
			c.inner.Send(l)
			return
		}
		// No cache can fetch from a store: its copy goes to the client by this router instead.
		id, relay = l.Source, true
	}
	c.mu.Lock()
	defer c.unlock()
	a := l.Ask
	if a.Write {
		c.out(engine.LegEnd{Leg: l, Outcome: routing.Missed, Note: routing.NoteNoPlace})
		return
	}
	c.last++
	c.ops[c.last] = &op{leg: l, store: c.stores[id], relay: relay}
	c.legs[l] = c.last
	t := &c.set.Tariffs[a.Tariff]
	e := decide.Event{Kind: decide.EventAsk, Op: c.last, Node: id, Object: a.Object, Part: a.Part, Group: a.Group,
		Held: l.How&routing.HowHoldsOnly != 0, Due: c.due(a, t), Left: time.Until(l.Deadline), Age: l.Age}
	if !relay {
		e.Source = l.Source
	}
	if e.Age == 0 {
		e.Age = t.Fresh
	}
	if t.Fresh > 0 {
		e.Keep = t.Fresh + t.Grace
	}
	c.tell(&e)
}

// due is the time left until a view's due time, as its tariff has it.
func (c *Carrier) due(a *engine.Ask, t *routing.Tariff) time.Duration {
	sending := time.Duration(0)
	if c.set.FlowKB > 0 {
		sending = time.Duration(a.KB / c.set.FlowKB * t.DueStretch * float64(time.Second))
	}
	return min(t.Due+sending, a.Left) - time.Since(a.At)
}

// Abort gives a leg up. A view that may go to a store may run again: nothing hangs on whether it did.
func (c *Carrier) Abort(l *engine.Leg) bool {
	c.mu.Lock()
	defer c.unlock()
	id, known := c.legs[l]
	if !known {
		return c.inner.Abort(l)
	}
	c.ops[id].over = true
	c.tell(&decide.Event{Kind: decide.EventCancel, Op: id})
	return true
}

// Probe asks a node for its state.
func (c *Carrier) Probe(id routing.NodeID) {
	s := c.stores[id]
	if s == nil {
		c.inner.Probe(id)
		return
	}
	if !s.send(command{verb: verbProbe, args: [][]byte{[]byte("PING")}}) {
		c.mu.Lock()
		defer c.unlock()
		c.out(engine.Probed{Node: id, Outcome: routing.Unconnected})
	}
}

// Post takes what the inner carrier tells: the ends of fills are for this one, all else is for the engine.
func (c *Carrier) Post(at time.Time, what any) {
	if end, is := what.(engine.LegEnd); is && c.filled(&end, at) {
		return
	}
	c.deliver(at, what)
}

func (c *Carrier) filled(end *engine.LegEnd, at time.Time) bool {
	defer c.flush()
	c.mu.Lock()
	defer c.mu.Unlock()
	id, known := c.legs[end.Leg]
	if !known {
		return false
	}
	delete(c.legs, end.Leg)
	o := c.ops[id]
	if o.fill != end.Leg {
		return true // given up
	}
	o.fill = nil
	a := o.leg.Ask
	e := decide.Event{Kind: decide.EventFilled, Op: id, Outcome: end.Outcome, Note: end.Note, Waited: end.Waited,
		Took: at.Sub(o.begun), Size: len(end.Body)}
	if end.Outcome == routing.Succeeded {
		o.born = end.Born
		o.copy = Copy{Object: a.Object, Part: a.Part, Group: a.Group, Sum: end.Sum, Body: end.Body}
		if !end.Born.IsZero() {
			e.Born = decide.Stamp(end.Born.UnixMilli())
			o.copy.Born = e.Born
		}
	}
	c.tell(&e)
	return true
}

// took takes what a server's connection says.
func (c *Carrier) took(s *server, ends []any) {
	if len(ends) == 0 {
		return
	}
	defer c.flush()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, end := range ends {
		switch e := end.(type) {
		case greeted:
			s.reading, s.lost = false, false
			c.log.Info("store connected", zap.String("uid", s.conf.UID), zap.Duration("runs_for", e.age))
			c.tell(&decide.Event{Kind: decide.EventUp, Node: s.id, Run: e.run, Age: e.age})
			go s.beat()
		case replied:
			c.replied(s, &e)
		case probed:
			p := engine.Probed{Node: s.id, Outcome: routing.Unconnected, Took: e.took}
			if e.good {
				p.Outcome = routing.Succeeded
			}
			c.out(p)
		case interval:
			s.reading = false
			if e.good {
				c.write(s, c.keep.Read(c.now(), s.id, e.is))
			}
		case marks:
			c.marked(s, &e)
		case wrote:
			s.reading = false
			if e.good && c.keep.Wrote(s.id, e.plan) {
				go s.beat()
			}
		}
	}
}

var kindOf = map[verb]decide.EventKind{verbGet: decide.EventGot, verbLease: decide.EventLeased, verbSet: decide.EventSet}

func (c *Carrier) replied(s *server, r *replied) {
	e := decide.Event{Kind: kindOf[r.command.verb], Op: r.command.op, Node: s.id, Reply: r.reply, Took: r.took}
	told := time.Since(s.complained) < c.limits.Late // a line for each would drown the others
	if !told && (r.reply == decide.ReplySpoilt || r.reply == decide.ReplyOdd) {
		s.complained = time.Now()
	}
	if r.reply == decide.ReplySpoilt && !told {
		c.log.Warn("store value cannot be used", zap.String("uid", s.conf.UID), zap.Error(r.err),
			zap.String("object", strconv.FormatUint(uint64(r.command.key.object), 16)), zap.Int("part", r.command.key.part))
	}
	if r.reply == decide.ReplyOdd && !told {
		c.log.Warn("store refuses", zap.String("uid", s.conf.UID), zap.Error(r.err))
	}
	if o := c.ops[e.Op]; o != nil && !o.over && r.reply == decide.ReplyHit && e.Kind == decide.EventGot {
		e.Born, e.Valid = r.copy.Born, r.copy.Valid
		o.copy, o.born = r.copy, time.UnixMilli(int64(r.copy.Born))
	}
	c.tell(&e)
}

// write carries a plan for the ledger out.
func (c *Carrier) write(s *server, p decide.Plan) {
	switch {
	case p.Wants:
		s.taken = nil
		s.reading = s.send(s.page(0))
	case p.Seen > 0 || len(p.Marks) > 0:
		args := [][]byte{[]byte("ZADD"), s.keys.ledger(), []byte("GT")}
		add := func(at decide.Stamp, name []byte) {
			args = append(args, strconv.AppendInt(nil, int64(at), 10), name)
		}
		for _, m := range p.Marks {
			add(m.Issued, member(nil, m))
		}
		if p.Floor > 0 {
			add(p.Floor, []byte(memberFloor))
		}
		if p.Seen > 0 {
			add(p.Seen, []byte(memberSeen))
		}
		p.Marks = p.Marks[:len(p.Marks):len(p.Marks)]
		s.reading = s.send(command{verb: verbWrite, args: args, plan: p})
		if p.Old > 0 {
			s.send(command{verb: verbIgnore, args: [][]byte{[]byte("ZREMRANGEBYSCORE"), s.keys.ledger(), []byte("-inf"),
				strconv.AppendInt([]byte{'('}, int64(p.Old), 10)}})
		}
	}
}

func (s *server) page(from float64) command {
	return command{verb: verbMarks, from: from, args: [][]byte{[]byte("ZRANGEBYSCORE"), s.keys.ledger(),
		strconv.AppendFloat(nil, from, 'f', -1, 64), []byte("+inf"), []byte("WITHSCORES"), []byte("LIMIT"), []byte("0"),
		strconv.AppendInt(nil, marksPage, 10)}}
}

// marked takes a page of a store's marks. A page that holds one moment only can't be passed: then the marks are not whole.
func (c *Carrier) marked(s *server, e *marks) {
	s.taken = append(s.taken, e.list...)
	if e.good && !e.whole && e.last > e.from {
		s.reading = s.send(s.page(e.last))
		return
	}
	s.reading = false
	c.keep.Took(c.now(), s.id, s.taken, e.good && e.whole)
	s.taken = nil
}

func (c *Carrier) down(s *server, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.lost {
		c.log.Warn("store not connected", zap.String("uid", s.conf.UID), zap.Error(err))
	}
	s.lost = true
	c.tell(&decide.Event{Kind: decide.EventDown, Node: s.id})
}

// tell hands the decisions an event and does what they want done.
func (c *Carrier) tell(e *decide.Event) {
	acts := c.keep.Handle(c.now(), e, c.acts[:0])
	c.acts = nil // obeying may tell more
	for i := range acts {
		c.obey(&acts[i])
	}
	c.acts = acts[:0]
}

func (c *Carrier) obey(a *decide.Action) {
	o := c.ops[a.Op]
	switch a.Kind {
	case decide.ActionTimer:
		heap.Push(&c.timers, timer{at: c.now() + a.Wait, op: a.Op, node: a.Node, name: a.Timer})
		if c.timers[0].name == a.Timer {
			c.stir()
		}
		return
	case decide.ActionCold:
		if n, known := c.members[a.Node]; known && n.State == routing.Ready {
			n.Boot = time.Now().Add(-a.Wait)
			c.members[a.Node] = n
			c.out(engine.List{Nodes: []engine.Node{n}})
		}
		return
	case decide.ActionLog:
		c.log.Info(a.Text, zap.String("uid", c.stores[a.Node].conf.UID))
		return
	}
	if o == nil {
		return
	}
	k := copyKey{o.leg.Ask.Object, o.leg.Ask.Part}
	switch a.Kind {
	case decide.ActionGet:
		c.send(o, command{verb: verbGet, op: a.Op, key: k, args: [][]byte{[]byte("GET"), o.store.keys.value(k.object, k.part)}})
	case decide.ActionLease:
		c.send(o, command{verb: verbLease, op: a.Op, key: k, args: [][]byte{[]byte("SET"), o.store.keys.lease(k.object, k.part),
			[]byte("1"), []byte("NX"), []byte("PX"), millis(a.Wait)}})
	case decide.ActionUnlease:
		o.store.send(command{verb: verbIgnore, args: [][]byte{[]byte("DEL"), o.store.keys.lease(k.object, k.part)}})
	case decide.ActionSet:
		o.copy.Valid = a.Valid
		c.send(o, command{verb: verbSet, op: a.Op, key: k, args: [][]byte{[]byte("PSETEX"), o.store.keys.value(k.object, k.part),
			millis(a.Wait), o.copy.Encode(make([]byte, 0, overhead+len(o.copy.Sum)+len(o.copy.Body)))}})
	case decide.ActionFill:
		c.fill(a, o)
	case decide.ActionDropFill:
		if o.fill != nil {
			c.inner.Abort(o.fill)
			delete(c.legs, o.fill)
			o.fill = nil
		}
	case decide.ActionEnd:
		c.end(a, o)
	case decide.ActionForget:
		delete(c.ops, a.Op)
		delete(c.legs, o.leg)
	}
}

func millis(d time.Duration) []byte { return strconv.AppendInt(nil, max(1, d.Milliseconds()), 10) }

// send puts a command out; one that finds no connection is answered as broken, after whatever is being obeyed.
func (c *Carrier) send(o *op, cmd command) {
	if o.store.send(cmd) {
		return
	}
	go c.took(o.store, []any{replied{command: cmd, reply: decide.ReplyBroken}})
}

// fill asks the leg's source in the store's stead: a parent fetches from the origin what it lacks, unless it is to give
// only what it holds; any other cache gives what it holds.
func (c *Carrier) fill(a *decide.Action, o *op) {
	ask := *o.leg.Ask
	ask.Have = "" // the store needs the bytes
	l := &engine.Leg{Ask: &ask, No: o.leg.No, Node: o.leg.Source, Deadline: o.leg.Deadline, NotAfter: o.leg.NotAfter, Age: a.Age,
		How: o.leg.How &^ (routing.HowRenew | routing.HowCopy | routing.HowHoldsOnly)}
	if c.kinds[l.Node] == c.set.ParentKind && o.leg.How&routing.HowHoldsOnly == 0 {
		l.Source = c.origin
	}
	o.fill, o.begun = l, time.Now()
	c.legs[l] = a.Op
	c.inner.Send(l)
}

func (o *op) sent() time.Time { return o.leg.At }

// end tells the engine how the leg ended.
func (c *Carrier) end(a *decide.Action, o *op) {
	o.over = true
	delete(c.legs, o.leg)
	end := engine.LegEnd{Leg: o.leg, Outcome: a.Outcome, Note: a.Note, Waited: a.Waited}
	switch from := c.ops[a.From]; {
	case a.Outcome == routing.Succeeded && from != nil:
		end.Sum, end.Born, end.Body = from.copy.Sum, from.born, from.copy.Body
		if end.Same = o.leg.Ask.Have != "" && o.leg.Ask.Have == end.Sum; end.Same {
			end.Body = nil
		}
		if o.relay {
			end.Note = routing.NoteFilled
		}
	case o.relay:
		end.Outcome, end.Note = routing.Missed, routing.NoteLacks
	}
	c.out(end)
}

type timer struct {
	at   time.Duration
	op   decide.OpID
	node routing.NodeID
	name uint64
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// Set takes settings that changed while the router runs.
func (c *Carrier) Set(s decide.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep.Set(s)
}

// Limits are the bounds that the carrier was given.
func (c *Carrier) Limits() limits.Limits { return c.limits }
