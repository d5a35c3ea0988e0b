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

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"

	"go.uber.org/zap"

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

// Transport is an engine.Caches that knows stores. Its lock is taken before those of servers and of the inner carrier.
type Transport struct {
	limits  limits.Limits
	set     routing.Settings
	log     *zap.Logger
	start   time.Time
	inner   engine.Transport
	deliver func(at time.Time, message engine.Message)
	wake    chan struct{}

	mu      sync.Mutex
	keep    *decide.Coordinator
	stores  map[routing.EndpointID]*server
	members map[routing.EndpointID]engine.Endpoint // as last told, stores only
	kinds   map[routing.EndpointID]routing.KindID
	origin  routing.EndpointID
	last    decide.OperationID
	ops     map[decide.OperationID]*op
	legs    map[*engine.Attempt]decide.OperationID // legs and fills
	timers  timers
	outbox  []engine.Event
	acts    []decide.Action
}

// op is one leg to a store.
type op struct {
	leg   *engine.Attempt
	store *server
	relay bool // another cache was to be filled from the store
	over  bool
	fill  *engine.Attempt
	begun time.Time
	copy  Copy
	born  time.Time
}

// New returns a carrier for the stores given. What is for the engine goes to deliver, from goroutines of its own only.
func New(l limits.Limits, set routing.Settings, decisions decide.Settings, seed uint64, stores []Store, start time.Time,
	deliver func(at time.Time, message engine.Message), log *zap.Logger,
) *Transport {
	c := &Transport{
		limits: l, set: set, log: log, start: start, deliver: deliver, wake: make(chan struct{}, 1),
		stores: map[routing.EndpointID]*server{}, members: map[routing.EndpointID]engine.Endpoint{}, kinds: map[routing.EndpointID]routing.KindID{},
		ops: map[decide.OperationID]*op{}, legs: map[*engine.Attempt]decide.OperationID{},
	}
	var ids []routing.EndpointID
	for _, s := range stores {
		id := engine.EndpointID(s.UID)
		ids = append(ids, id)
		c.stores[id] = &server{carrier: c, id: id, conf: s, keys: keys{s.Prefix}, wake: make(chan struct{}, 1), addrs: s.Addresses}
	}
	decisions.Epoch = decide.Timestamp(start.UnixMilli())
	c.keep = decide.New(decisions, seed, ids...)
	return c
}

// Over sets the carrier of all other nodes; it comes before anything else.
func (c *Transport) Over(inner engine.Transport) { c.inner = inner }

// Run keeps the connections and delivers what is for the engine, until the context ends.
func (c *Transport) Run(ctx context.Context) {
	for _, s := range c.stores {
		go s.run(ctx)
	}
	alarm := time.NewTimer(0)
	for {
		c.mu.Lock()
		now := c.now()
		for len(c.timers) > 0 && c.timers[0].at <= now {
			t := heap.Pop(&c.timers).(timer)
			c.tell(&decide.Event{Kind: decide.EventTimer, Operation: t.op, Endpoint: t.node, TimerID: t.name})
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

func (c *Transport) now() time.Duration { return time.Since(c.start) }

func (c *Transport) stir() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// out has something delivered to the engine: by flush, on a goroutine that may wait for it, or by Run.
func (c *Transport) out(message engine.Message) {
	c.outbox = append(c.outbox, engine.Event{Time: time.Now(), Message: message})
}

func (c *Transport) flush() {
	c.mu.Lock()
	out := c.outbox
	c.outbox = nil
	c.mu.Unlock()
	for _, e := range out {
		c.deliver(e.Time, e.Message)
	}
}

// unlock lets go on the engine's own goroutine, which must not wait for itself.
func (c *Transport) unlock() {
	if len(c.outbox) > 0 {
		c.stir()
	}
	c.mu.Unlock()
}

// Told is to see whatever the bulletin tells before the engine does, and returns what the engine is to be told instead.
func (c *Transport) Told(message engine.Message) engine.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e := message.(type) {
	case engine.Purge:
		if c.keep.RecordInvalidation(c.now(), decide.Invalidation{Object: e.Object, Group: e.Group, IssuedAt: decide.Timestamp(e.Issued.UnixMilli())}) {
			for _, s := range c.stores {
				go s.beat()
			}
		}
	case engine.EndpointList:
		if e.Complete {
			e.Endpoints = append([]engine.Endpoint(nil), e.Endpoints...)
			for _, s := range c.stores {
				if !s.conf.Listed {
					e.Endpoints = append(e.Endpoints, c.member(s))
				}
			}
			return e
		}
	}
	return message
}

// member is a store's line in the list where this router adds it.
func (c *Transport) member(s *server) engine.Endpoint {
	if n, known := c.members[s.id]; known {
		return n
	}
	n := engine.Endpoint{UID: s.conf.UID, Endpoint: routing.Endpoint{ID: s.id, State: routing.Ready, Zone: c.set.Zone, Weight: s.conf.Weight}}
	for n.Kind == c.set.ParentKind || n.Kind == c.set.OriginKind {
		n.Kind++
	}
	return n
}

// Current says that all that was told before a moment has been seen, Gap that something never will be.
func (c *Transport) Current(asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep.DiscoveryCurrent(decide.Timestamp(asOf.UnixMilli()))
}

// Stepped says that the wall clock was set by so much.
func (c *Transport) Stepped(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep.ClockStepped(c.now(), by)
}

func (c *Transport) Gap() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep.DiscoveryGap(c.now())
}

// Counts is what was decided so far.
func (c *Transport) Counts() decide.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keep.Counts
}

// UpdateEndpoints keeps what the list says of stores, and passes the rest on.
func (c *Transport) UpdateEndpoints(nodes []engine.Endpoint, all bool) {
	c.mu.Lock()
	defer c.unlock()
	rest := make([]engine.Endpoint, 0, len(nodes))
	listed := map[routing.EndpointID]bool{}
	for _, n := range nodes {
		listed[n.ID] = true
		c.kinds[n.ID] = n.Kind
		if n.Kind == c.set.OriginKind && n.State == routing.Ready {
			c.origin = n.ID
		}
		c.tell(&decide.Event{Kind: decide.EventEndpointState, Endpoint: n.ID, State: n.State})
		if s := c.stores[n.ID]; s != nil {
			c.members[n.ID] = n
			s.at(n.Address)
			continue
		}
		if n.State == routing.Gone {
			delete(c.kinds, n.ID)
		}
		rest = append(rest, n)
	}
	if all {
		for id := range c.kinds {
			if !listed[id] {
				delete(c.kinds, id)
				c.tell(&decide.Event{Kind: decide.EventEndpointState, Endpoint: id, State: routing.Gone})
			}
		}
	}
	c.inner.UpdateEndpoints(rest, all)
}

// Send takes a leg: to a store, to a cache that is to be filled from one, or to any other node.
func (c *Transport) Send(l *engine.Attempt) {
	id, relay := l.Endpoint, false
	if c.stores[l.Endpoint] == nil {
		if c.stores[l.Source] == nil {
			c.inner.Send(l)
			return
		}
		// No cache can fetch from a store: its copy goes to the client by this router instead.
		id, relay = l.Source, true
	}
	c.mu.Lock()
	defer c.unlock()
	a := l.Request
	if a.Write {
		c.out(engine.AttemptResult{Attempt: l, Outcome: routing.CacheMiss, Note: routing.NoteNoFillCapacity})
		return
	}
	c.last++
	c.ops[c.last] = &op{leg: l, store: c.stores[id], relay: relay}
	c.legs[l] = c.last
	t := &c.set.Classes[a.Class]
	e := decide.Event{
		Kind: decide.EventRequest, Operation: c.last, Endpoint: id, Object: a.Object, Part: a.Part, Group: a.Group,
		OnlyIfCached: l.FillOptions&routing.OnlyIfCached != 0, UntilObjective: c.due(a, t), UntilDeadline: time.Until(l.Deadline), MaxAge: l.MaxAge,
	}
	if !relay {
		e.Source = l.Source
	}
	if e.MaxAge == 0 {
		e.MaxAge = t.FreshFor
	}
	if t.FreshFor > 0 {
		e.TTL = t.FreshFor + t.MaxStale
	}
	c.tell(&e)
}

// due is the time left until a view's due time, as its tariff has it.
func (c *Transport) due(a *engine.Request, t *routing.Class) time.Duration {
	sending := time.Duration(0)
	if c.set.FlowKBPerSecond > 0 {
		sending = time.Duration(a.SizeKB / c.set.FlowKBPerSecond * t.ObjectiveStretch * float64(time.Second))
	}
	return min(t.LatencyObjective+sending, a.Timeout) - time.Since(a.ReceivedAt)
}

// Abort gives a leg up. A view that may go to a store may run again: nothing hangs on whether it did.
func (c *Transport) Abort(l *engine.Attempt) bool {
	c.mu.Lock()
	defer c.unlock()
	id, known := c.legs[l]
	if !known {
		return c.inner.Abort(l)
	}
	c.ops[id].over = true
	c.tell(&decide.Event{Kind: decide.EventCancel, Operation: id})
	return true
}

// CheckHealth asks a node for its state.
func (c *Transport) CheckHealth(id routing.EndpointID) {
	s := c.stores[id]
	if s == nil {
		c.inner.CheckHealth(id)
		return
	}
	if !s.send(command{verb: verbProbe, args: [][]byte{[]byte("PING")}}) {
		c.mu.Lock()
		defer c.unlock()
		c.out(engine.HealthCheckResult{Endpoint: id, Outcome: routing.ConnectFailed})
	}
}

// Post takes what the inner carrier tells: the ends of fills are for this one, all else is for the engine.
func (c *Transport) Post(at time.Time, message engine.Message) {
	if end, is := message.(engine.AttemptResult); is && c.filled(&end, at) {
		return
	}
	c.deliver(at, message)
}

func (c *Transport) filled(end *engine.AttemptResult, at time.Time) bool {
	defer c.flush()
	c.mu.Lock()
	defer c.mu.Unlock()
	id, known := c.legs[end.Attempt]
	if !known {
		return false
	}
	delete(c.legs, end.Attempt)
	o := c.ops[id]
	if o.fill != end.Attempt {
		return true // given up
	}
	o.fill = nil
	a := o.leg.Request
	e := decide.Event{
		Kind: decide.EventFillDone, Operation: id, Outcome: end.Outcome, Note: end.Note, FirstByteWait: end.FirstByteWait,
		Elapsed: at.Sub(o.begun), BodyBytes: len(end.Body),
	}
	if end.Outcome == routing.Succeeded {
		o.born = end.GeneratedAt
		o.copy = Copy{Object: a.Object, Part: a.Part, Group: a.Group, Sum: end.ETag, Body: end.Body}
		if !end.GeneratedAt.IsZero() {
			e.GeneratedAt = decide.Timestamp(end.GeneratedAt.UnixMilli())
			o.copy.Born = e.GeneratedAt
		}
	}
	c.tell(&e)
	return true
}

// took takes what a server's connection says.
func (c *Transport) took(s *server, ends []any) {
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
			c.tell(&decide.Event{Kind: decide.EventConnected, Endpoint: s.id, RunID: e.run, Uptime: e.age})
			go s.beat()
		case replied:
			c.replied(s, &e)
		case probed:
			p := engine.HealthCheckResult{Endpoint: s.id, Outcome: routing.ConnectFailed, Elapsed: e.took}
			if e.good {
				p.Outcome = routing.Succeeded
			}
			c.out(p)
		case interval:
			s.reading = false
			if e.good {
				c.write(s, c.keep.PlanLogUpdate(c.now(), s.id, e.is))
			}
		case marks:
			c.marked(s, &e)
		case wrote:
			s.reading = false
			if e.good && c.keep.LogUpdateWritten(s.id, e.plan) {
				go s.beat()
			}
		}
	}
}

var kindOf = map[verb]decide.EventKind{verbGet: decide.EventGetDone, verbLease: decide.EventLeaseDone, verbSet: decide.EventSetDone}

func (c *Transport) replied(s *server, r *replied) {
	e := decide.Event{Kind: kindOf[r.command.verb], Operation: r.command.op, Endpoint: s.id, Reply: r.reply, Elapsed: r.took}
	told := time.Since(s.complained) < c.limits.BackoffMax // a line for each would drown the others
	if !told && (r.reply == decide.ReplyCorrupt || r.reply == decide.ReplyUnknownError) {
		s.complained = time.Now()
	}
	if r.reply == decide.ReplyCorrupt && !told {
		c.log.Warn("store value cannot be used", zap.String("uid", s.conf.UID), zap.Error(r.err),
			zap.String("object", strconv.FormatUint(uint64(r.command.key.object), 16)), zap.Int("part", r.command.key.part))
	}
	if r.reply == decide.ReplyUnknownError && !told {
		c.log.Warn("store refuses", zap.String("uid", s.conf.UID), zap.Error(r.err))
	}
	if o := c.ops[e.Operation]; o != nil && !o.over && r.reply == decide.ReplyHit && e.Kind == decide.EventGetDone {
		e.GeneratedAt, e.ValidFrom = r.copy.Born, r.copy.Valid
		o.copy, o.born = r.copy, time.UnixMilli(int64(r.copy.Born))
	}
	c.tell(&e)
}

// write carries a plan for the ledger out.
func (c *Transport) write(s *server, p decide.LogUpdate) {
	switch {
	case p.NeedsAll:
		s.taken = nil
		s.reading = s.send(s.page(0))
	case p.CompleteTo > 0 || len(p.Invalidations) > 0:
		args := [][]byte{[]byte("ZADD"), s.keys.ledger(), []byte("GT")}
		add := func(at decide.Timestamp, name []byte) {
			args = append(args, strconv.AppendInt(nil, int64(at), 10), name)
		}
		for _, m := range p.Invalidations {
			add(m.IssuedAt, member(nil, m))
		}
		if p.CompleteFrom > 0 {
			add(p.CompleteFrom, []byte(memberFloor))
		}
		if p.CompleteTo > 0 {
			add(p.CompleteTo, []byte(memberSeen))
		}
		p.Invalidations = p.Invalidations[:len(p.Invalidations):len(p.Invalidations)]
		s.reading = s.send(command{verb: verbWrite, args: args, plan: p})
		if p.TrimBefore > 0 {
			s.send(command{verb: verbIgnore, args: [][]byte{
				[]byte("ZREMRANGEBYSCORE"), s.keys.ledger(), []byte("-inf"),
				strconv.AppendInt([]byte{'('}, int64(p.TrimBefore), 10),
			}})
		}
	}
}

func (s *server) page(from float64) command {
	return command{verb: verbMarks, from: from, args: [][]byte{
		[]byte("ZRANGEBYSCORE"), s.keys.ledger(),
		strconv.AppendFloat(nil, from, 'f', -1, 64), []byte("+inf"), []byte("WITHSCORES"), []byte("LIMIT"), []byte("0"),
		strconv.AppendInt(nil, marksPage, 10),
	}}
}

// marked takes a page of a store's marks. A page that holds one moment only can't be passed: then the marks are not whole.
func (c *Transport) marked(s *server, e *marks) {
	s.taken = append(s.taken, e.list...)
	if e.good && !e.whole && e.last > e.from {
		s.reading = s.send(s.page(e.last))
		return
	}
	s.reading = false
	c.keep.MergeInvalidations(c.now(), s.id, s.taken, e.good && e.whole)
	s.taken = nil
}

func (c *Transport) down(s *server, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.lost {
		c.log.Warn("store not connected", zap.String("uid", s.conf.UID), zap.Error(err))
	}
	s.lost = true
	c.tell(&decide.Event{Kind: decide.EventDisconnected, Endpoint: s.id})
}

// tell hands the decisions an event and does what they want done.
func (c *Transport) tell(e *decide.Event) {
	acts := c.keep.Handle(c.now(), e, c.acts[:0])
	c.acts = nil // obeying may tell more
	for i := range acts {
		c.obey(&acts[i])
	}
	c.acts = acts[:0]
}

func (c *Transport) obey(a *decide.Action) {
	o := c.ops[a.Operation]
	switch a.Kind {
	case decide.ActionSetTimer:
		heap.Push(&c.timers, timer{at: c.now() + a.Delay, op: a.Operation, node: a.Endpoint, name: a.TimerID})
		if c.timers[0].name == a.TimerID {
			c.stir()
		}
		return
	case decide.ActionAnnounceStart:
		if n, known := c.members[a.Endpoint]; known && n.State == routing.Ready {
			n.BootTime = time.Now().Add(-a.Uptime)
			c.members[a.Endpoint] = n
			c.out(engine.EndpointList{Endpoints: []engine.Endpoint{n}})
		}
		return
	case decide.ActionLog:
		c.log.Info(a.Message, zap.String("uid", c.stores[a.Endpoint].conf.UID))
		return
	}
	if o == nil {
		return
	}
	k := copyKey{o.leg.Request.Object, o.leg.Request.Part}
	switch a.Kind {
	case decide.ActionGet:
		c.send(o, command{verb: verbGet, op: a.Operation, key: k, args: [][]byte{[]byte("GET"), o.store.keys.value(k.object, k.part)}})
	case decide.ActionAcquireLease:
		c.send(o, command{verb: verbLease, op: a.Operation, key: k, args: [][]byte{
			[]byte("SET"), o.store.keys.lease(k.object, k.part),
			[]byte("1"), []byte("NX"), []byte("PX"), millis(a.TTL),
		}})
	case decide.ActionReleaseLease:
		o.store.send(command{verb: verbIgnore, args: [][]byte{[]byte("DEL"), o.store.keys.lease(k.object, k.part)}})
	case decide.ActionSet:
		o.copy.Valid = a.ValidFrom
		c.send(o, command{verb: verbSet, op: a.Operation, key: k, args: [][]byte{
			[]byte("PSETEX"), o.store.keys.value(k.object, k.part),
			millis(a.TTL), o.copy.Encode(make([]byte, 0, overhead+len(o.copy.Sum)+len(o.copy.Body))),
		}})
	case decide.ActionStartFill:
		c.fill(a, o)
	case decide.ActionAbortFill:
		if o.fill != nil {
			c.inner.Abort(o.fill)
			delete(c.legs, o.fill)
			o.fill = nil
		}
	case decide.ActionComplete:
		c.end(a, o)
	case decide.ActionForget:
		delete(c.ops, a.Operation)
		delete(c.legs, o.leg)
	}
}

func millis(d time.Duration) []byte { return strconv.AppendInt(nil, max(1, d.Milliseconds()), 10) }

// send puts a command out; one that finds no connection is answered as broken, after whatever is being obeyed.
func (c *Transport) send(o *op, cmd command) {
	if o.store.send(cmd) {
		return
	}
	go c.took(o.store, []any{replied{command: cmd, reply: decide.ReplyDisconnected}})
}

// fill asks the leg's source in the store's stead: a parent fetches from the origin what it lacks, unless it is to give
// only what it holds; any other cache gives what it holds.
func (c *Transport) fill(a *decide.Action, o *op) {
	ask := *o.leg.Request
	ask.HeldETag = "" // the store needs the bytes
	l := &engine.Attempt{
		Request: &ask, Number: o.leg.Number, Endpoint: o.leg.Source, Deadline: o.leg.Deadline, NotAfter: o.leg.NotAfter, MaxAge: a.MaxAge,
		FillOptions: o.leg.FillOptions &^ (routing.StaleWhileRevalidate | routing.StoreLocally | routing.OnlyIfCached),
	}
	if c.kinds[l.Endpoint] == c.set.ParentKind && o.leg.FillOptions&routing.OnlyIfCached == 0 {
		l.Source = c.origin
	}
	o.fill, o.begun = l, time.Now()
	c.legs[l] = a.Operation
	c.inner.Send(l)
}

func (o *op) sent() time.Time { return o.leg.SentAt }

// end tells the engine how the leg ended.
func (c *Transport) end(a *decide.Action, o *op) {
	o.over = true
	delete(c.legs, o.leg)
	end := engine.AttemptResult{Attempt: o.leg, Outcome: a.Outcome, Note: a.Note, FirstByteWait: a.FirstByteWait}
	switch from := c.ops[a.CopyFrom]; {
	case a.Outcome == routing.Succeeded && from != nil:
		end.ETag, end.GeneratedAt, end.Body = from.copy.Sum, from.born, from.copy.Body
		if end.NotModified = o.leg.Request.HeldETag != "" && o.leg.Request.HeldETag == end.ETag; end.NotModified {
			end.Body = nil
		}
		if o.relay {
			end.Note = routing.NoteFilled
		}
	case o.relay:
		end.Outcome, end.Note = routing.CacheMiss, routing.NoteSourceMiss
	}
	c.out(end)
}

type timer struct {
	at   time.Duration
	op   decide.OperationID
	node routing.EndpointID
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
func (c *Transport) Set(s decide.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep.UpdateSettings(s)
}

// Limits are the bounds that the carrier was given.
func (c *Transport) Limits() limits.Limits { return c.limits }
