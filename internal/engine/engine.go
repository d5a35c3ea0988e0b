// Package engine drives the decisions. This file owns the router, its clock, timers, views and legs: one goroutine
// runs Run, all else sends it events, and it does what the router says. It must never block, decide anything or know
// a protocol: clients and caches stand behind two small interfaces.
package engine

import (
	"container/heap"
	"hash/fnv"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/invariant"
	"fennelarch/policy/routing"
)

// Tag is a client's name for a view on its connection, Ident its id everywhere.
type (
	Tag   uint64
	Ident uint64
)

// Ask is a view as a client brings it.
type Ask struct {
	View   routing.ViewID
	Client Client
	Tag    Tag

	Ident  Ident // goes on unchanged, as do object, part, operation and body
	Tariff routing.TariffID
	Tenant routing.TenantID
	Object routing.ObjectID
	Group  routing.GroupID
	Part   int
	KB     float64
	Repeat bool
	Write  bool
	Have   string // the tag of a copy that the client holds
	Once   string // the operation by which repeats of a stamped view are known
	Body   []byte
	Left   time.Duration // from At until the client gives up
	At     time.Time     // the earliest moment at which its last byte may have come

	Guard *invariant.Request // knows when it ends, whoever ends it; none: nobody guards it
}

// Client takes the one final answer of a view. It must not block.
type Client interface {
	Answer(tag Tag, a Answer)
}

// Verdict is the kind of a final answer.
type Verdict uint8

const (
	Succeeded Verdict = iota
	TurnedBack
	Terminated
)

// Answer is a final answer.
type Answer struct {
	Verdict   Verdict
	Unchanged bool // the client's copy is the one
	Wait      time.Duration
	Body      []byte
}

// Leg is one leg of a view on its way.
type Leg struct {
	Ask    *Ask
	No     routing.LegNo
	Node   routing.NodeID
	Source routing.NodeID // none: no fill

	Deadline time.Time // when it is given up: the server is told what is left until then
	NotAfter time.Time // on its way by then, or never; zero: no bound of its own

	Age  time.Duration
	Keep uint8
	How  routing.How

	Carrier any // the carrier's own

	At   time.Time // when it was sent
	sent time.Duration
	done bool
}

// LegEnd is how a leg ended at its node.
type LegEnd struct {
	Leg     *Leg
	Outcome routing.Outcome
	Note    routing.Note
	Waited  time.Duration
	Report  routing.Report
	Same    bool // the client's copy is the one
	Body    []byte
	Sum     string    // the tag of the bytes
	Born    time.Time // when the origin gave them out, zero where untold
}

// Caches carries legs to nodes. None of its calls may block.
type Caches interface {
	Learn(nodes []Node, all bool)
	Send(l *Leg)
	Abort(l *Leg) (written bool) // no end follows
	Probe(n routing.NodeID)
}

// Node is one line of the list.
type Node struct {
	routing.Member
	UID     string
	Address string
	Boot    time.Time // zero: long ago
}

// NodeID is the id of a node: a hash of its uid, so that all routers agree on it.
func NodeID(uid string) routing.NodeID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(uid))
	return routing.NodeID(max(1, h.Sum64()))
}

// Probed is the answer to a probe.
type Probed struct {
	Node    routing.NodeID
	Outcome routing.Outcome
	Took    time.Duration
	Report  routing.Report
}

// List is a list of nodes, or changes of it.
type List struct {
	Nodes []Node
	All   bool
	Ago   time.Duration // how long ago it may have been told, before it was heard
}

// LongTold is the age of what was told before this process began.
const LongTold = 24 * time.Hour

// Purge tells that an object, or a group where it is 0, was purged.
type Purge struct {
	Object routing.ObjectID
	Group  routing.GroupID
	Issued time.Time
}

// Gone says that a client no longer waits for a view.
type Gone struct{ View routing.ViewID }

// Stop says that this router will end: whatever view is open after so long gets its final answer then.
type Stop struct{ After time.Duration }

// Event is anything that the engine is told, with the time at which it came about.
type Event struct {
	At   time.Time
	What any // *Ask, LegEnd, Probed, List, Purge, Gone, Stop
}

// Counts is what happened so far.
type Counts struct {
	Views, Succeeded, TurnedBack, Terminated, Gone, Legs, Own uint64
	Open                                                      int64
	Lag                                                       time.Duration // longest wait of an event since the last ones
}

type view struct {
	ask  *Ask
	end  time.Duration
	open bool
	legs []*Leg
	outs int
}

// Engine is driven by Run, or by hand through Handle and Tick.
type Engine struct {
	in      chan Event
	router  *routing.Router
	set     routing.Settings
	caches  Caches
	copies  *copies
	log     *zap.Logger
	start   time.Time
	now     time.Duration
	views   map[routing.ViewID]*view
	timers  timers
	acts    []routing.Action
	queue   []routing.Event
	members []routing.Member
	counts  Counts
	stop    time.Duration // no view lasts longer
	monitor *invariant.Monitor
	stamps  stamps
	started map[routing.NodeID]stampedStart

	departures departures
	open       atomic.Int64
	lag        atomic.Int64 // that the last event had
}

// New returns an engine whose clock starts at start.
func New(set routing.Settings, seed uint64, queue int, start time.Time, caches Caches, own Own, log *zap.Logger) *Engine {
	set.OwnRoom = own.Room()
	return &Engine{in: make(chan Event, queue), router: routing.New(set, seed), set: set, caches: caches, copies: newCopies(own), log: log,
		start: start,
		stop:  math.MaxInt64, views: map[routing.ViewID]*view{}, departures: departures{told: make(chan struct{}, 1)},
		stamps: newStamps(start, stampsMatter(&set)), started: map[routing.NodeID]stampedStart{}}
}

// Guarded has the engine let readers go first just after a stall of the process, and tell a monitor of what must not be.
// Where the wall clock steps, others are told of it too.
func (e *Engine) Guarded(m *invariant.Monitor, stepped func(by time.Duration)) {
	e.monitor = m
	e.stamps.onStep = func(by time.Duration) {
		stepped(by)
		m.Record(flightrecorder.Entry{Event: flightrecorder.ClockStepped, Value: by.Milliseconds()})
		e.log.Warn("the wall clock stepped", zap.Duration("by", by))
	}
}

// stampsMatter is how long anything that is stamped matters: while a server is cold, a purge unfinished, a copy fresh.
func stampsMatter(set *routing.Settings) time.Duration {
	longest := max(set.ColdFor, set.ParentColdFor, set.PurgeDone)
	for i := range set.Tariffs {
		longest = max(longest, set.Tariffs[i].Fresh+set.Tariffs[i].Grace)
	}
	return longest + time.Minute
}

// stampedStart is when a server started, by a stamp that was told of it.
type stampedStart struct {
	stamp time.Time
	at    time.Duration
}

// Post tells the engine of an event. A request is not taken where too many events are before it: its client's connection
// must go on being read, or a cancel behind it would not be seen. That a client has gone is always taken, at once; all else
// waits for its turn.
func (e *Engine) Post(at time.Time, what any) (taken bool) {
	switch what := what.(type) {
	case Gone:
		e.departures.add(what)
	case *Ask:
		select {
		case e.in <- Event{at, what}:
		default:
			return false
		}
	default:
		e.in <- Event{at, what}
	}
	return true
}

// departures are the requests whose clients have gone. There is at most one for each open request, so that nobody who tells
// of one ever waits.
type departures struct {
	mu   sync.Mutex
	list []Gone
	told chan struct{}
}

func (d *departures) add(g Gone) {
	d.mu.Lock()
	d.list = append(d.list, g)
	d.mu.Unlock()
	select {
	case d.told <- struct{}{}:
	default:
	}
}

func (d *departures) take() []Gone {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.list
	d.list = nil
	return list
}

// Open is how many views have no final answer yet, those in the queue included as far as they were posted.
func (e *Engine) Open() int { return int(e.open.Load()) + len(e.in) }

// Lag is how long the last event waited.
func (e *Engine) Lag() time.Duration { return time.Duration(e.lag.Load()) }

// Run drives the engine by the system's clock until done is closed, and hands out its counts now and then.
func (e *Engine) Run(done <-chan struct{}, every time.Duration, counts func(Counts)) {
	timer := time.NewTimer(0)
	told := e.now
	for {
		select {
		case ev := <-e.in:
			e.settleAfterStall()
			e.depart()
			e.Handle(time.Since(e.start), ev)
		case <-e.departures.told:
			e.depart()
		case <-timer.C:
			e.settleAfterStall()
			e.depart()
		case <-done:
			return
		}
		now := time.Since(e.start)
		e.Tick(now)
		if now-told >= every {
			told = now
			e.counts.Open = e.open.Load()
			counts(e.counts)
			e.counts.Lag = 0
		}
		if len(e.timers) > 0 {
			timer.Reset(e.timers[0].at - now)
		}
	}
}

// settleAfterStall has readers go first once the process has stood still: what came meanwhile may be a cancel, or an answer
// of a server that would else be taken for silent.
func (e *Engine) settleAfterStall() {
	if !e.monitor.Watch().Settle() {
		return
	}
	e.depart()
	for range len(e.in) {
		e.Handle(time.Since(e.start), <-e.in)
	}
}

// depart takes the requests whose clients have gone.
func (e *Engine) depart() {
	for _, g := range e.departures.take() {
		e.Handle(time.Since(e.start), Event{What: g})
	}
}

// Start begins the router's life; it comes before anything else.
func (e *Engine) Start(now time.Duration) {
	e.now = now
	e.acts = e.router.Start(now, e.acts[:0])
	e.obey()
}

// Handle takes one event.
func (e *Engine) Handle(now time.Duration, ev Event) {
	e.now = max(now, e.now)
	if !ev.At.IsZero() {
		lag := e.now - ev.At.Sub(e.start)
		e.counts.Lag = max(e.counts.Lag, lag)
		e.lag.Store(int64(lag))
	}
	switch what := ev.What.(type) {
	case *Ask:
		e.ask(what)
	case LegEnd:
		e.legEnd(what, ev.At.Sub(e.start))
	case Probed:
		e.tell(&routing.Event{Kind: routing.EventProbed, Node: what.Node, Outcome: what.Outcome, Took: what.Took, Report: what.Report})
	case List:
		e.list(what)
	case Purge:
		e.purge(what)
	case Gone:
		if v := e.views[what.View]; v != nil && v.open {
			e.counts.Gone++
			e.gone(v)
		}
	case Stop:
		e.stop = e.now + what.After
		for id, v := range e.views {
			if v.end > e.stop {
				v.end = e.stop
				heap.Push(&e.timers, timer{at: v.end, view: id})
			}
		}
	}
}

// Tick does what has fallen due by now.
func (e *Engine) Tick(now time.Duration) {
	e.now = max(now, e.now)
	e.stamps.look(e.now)
	for len(e.timers) > 0 && e.timers[0].at <= e.now {
		t := heap.Pop(&e.timers).(timer)
		switch {
		case t.view == 0:
			e.tell(&routing.Event{Kind: routing.EventTimer, Timer: t.name})
		case t.leg != nil && t.leg.Node == routing.Own:
			e.legEnd(LegEnd{Leg: t.leg, Outcome: routing.Succeeded}, e.now)
		case t.leg != nil:
			e.giveUp(t.leg, routing.TimedOut)
			e.settle()
		default:
			e.expire(t.view)
		}
	}
}

func (e *Engine) ask(a *Ask) {
	if !a.Guard.Open() { // its client has gone while it waited here
		e.counts.Views++
		e.counts.Gone++
		return
	}
	v := &view{ask: a, end: min(e.stop, a.At.Sub(e.start)+a.Left), open: true}
	e.views[a.View] = v
	e.open.Add(1)
	e.counts.Views++
	heap.Push(&e.timers, timer{at: v.end, view: a.View})
	e.tell(&routing.Event{Kind: routing.EventView, View: a.View, Tariff: a.Tariff, Tenant: a.Tenant, Object: a.Object, Group: a.Group, Part: a.Part,
		KB: a.KB, Left: v.end - e.now, Repeat: a.Repeat, Write: a.Write})
}

func (e *Engine) list(l List) {
	e.caches.Learn(l.Nodes, l.All)
	e.members = e.members[:0]
	for _, n := range l.Nodes {
		m := n.Member
		m.Started = e.startOf(&n)
		e.members = append(e.members, m)
	}
	e.monitor.Record(flightrecorder.Entry{Event: flightrecorder.ListReceived, Value: int64(len(l.Nodes))})
	ev := routing.Event{Kind: routing.EventList, List: routing.ListChanges, Members: e.members, Ago: l.Ago}
	if l.All {
		ev.List = routing.ListFull
	}
	e.tell(&ev)
}

// startOf is when a server started, never later than now. The same stamp told again means the same moment.
func (e *Engine) startOf(n *Node) time.Duration {
	if n.Boot.IsZero() || n.State == routing.Gone {
		delete(e.started, n.Node)
		return routing.LongAgo
	}
	if known, told := e.started[n.Node]; told && known.stamp.Equal(n.Boot) {
		return known.at
	}
	least, _, _ := e.stamps.age(n.Boot, e.now)
	e.started[n.Node] = stampedStart{n.Boot, e.now - least}
	return e.now - least
}

// purge takes a purge that was told. One without a stamp was issued a moment ago.
func (e *Engine) purge(p Purge) {
	e.monitor.Record(flightrecorder.Entry{Event: flightrecorder.PurgeReceived, ID: uint64(p.Object), Value: int64(p.Group)})
	ago := time.Duration(0)
	if p.Issued.Unix() > 0 {
		ago, _, _ = e.stamps.age(p.Issued, e.now)
	}
	e.copies.purge(p, e.now, e.now-ago)
	e.tell(&routing.Event{Kind: routing.EventPurge, Object: p.Object, Group: p.Group, Ago: ago})
}

// legEnd takes the end of a leg from its node.
func (e *Engine) legEnd(end LegEnd, at time.Duration) {
	l := end.Leg
	if l.done {
		return
	}
	v := e.views[l.Ask.View]
	if end.Outcome == routing.Succeeded && v.open {
		e.answer(v, Answer{Verdict: Succeeded, Unchanged: end.Same, Body: end.Body})
	}
	if end.Outcome == routing.Succeeded && l.How&routing.HowCopy != 0 {
		if _, most, believable := e.stamps.age(end.Born, e.now); believable {
			e.copies.keep(l.Ask, &end, e.now, e.now-most)
		}
	}
	e.finish(v, l)
	e.tell(&routing.Event{Kind: routing.EventLegEnd, View: l.Ask.View, Leg: l.No, Node: l.Node, Outcome: end.Outcome, Note: end.Note,
		Final: !v.open, Took: max(0, min(at, e.now)-l.sent), Waited: end.Waited, Report: end.Report})
	e.forget(v)
}

// serve answers from the router's own copies. The leg ends when its bytes are through.
func (e *Engine) serve(v *view, l *Leg) {
	a := v.ask
	oldest := l.Age
	if oldest == 0 {
		oldest = e.set.Tariffs[a.Tariff].Fresh
	}
	c := e.copies.find(a, oldest, e.now)
	if c == nil {
		e.finish(v, l)
		e.queue = append(e.queue, routing.Event{Kind: routing.EventLegEnd, View: a.View, Leg: l.No, Node: l.Node, Outcome: routing.Missed})
		return
	}
	answer := Answer{Verdict: Succeeded, Unchanged: a.Have != "" && a.Have == c.sum, Body: c.body}
	size := len(c.body)
	if answer.Unchanged {
		size /= unchanged
	}
	e.counts.Own++
	if e.copies.hitByPurge(c) {
		e.monitor.Violate(invariant.StaleCopyServed, uint64(a.Ident))
	}
	e.answer(v, answer)
	e.queue = append(e.queue, routing.Event{Kind: routing.EventStream, View: a.View, Leg: l.No, Node: l.Node})
	heap.Push(&e.timers, timer{at: e.copies.send(e.now, size), view: a.View, leg: l})
}

// unchanged is the part of its bytes' time that it takes to tell a client that its copy holds: the protocol's twentieth.
const unchanged = 20

// giveUp ends a leg from this side; the router hears of it next.
func (e *Engine) giveUp(l *Leg, how routing.Outcome) {
	if l.done {
		return
	}
	if !e.caches.Abort(l) {
		how = routing.Moot
	}
	v := e.views[l.Ask.View]
	e.finish(v, l)
	e.queue = append(e.queue, routing.Event{Kind: routing.EventLegEnd, View: l.Ask.View, Leg: l.No, Node: l.Node, Outcome: how,
		Final: !v.open, Took: e.now - l.sent})
	e.forget(v)
}

func (e *Engine) finish(v *view, l *Leg) {
	l.done = true
	v.outs--
}

func (e *Engine) forget(v *view) {
	if !v.open && v.outs == 0 {
		delete(e.views, v.ask.View)
	}
}

// expire ends a view whose client's time is up: its legs have timed out, and what the router leaves open after that
// is terminated.
func (e *Engine) expire(id routing.ViewID) {
	v := e.views[id]
	if v == nil || !v.open {
		return
	}
	for _, l := range v.legs {
		e.giveUp(l, routing.TimedOut)
	}
	e.settle()
	if v.open {
		e.answer(v, Answer{Verdict: Terminated})
		e.gone(v)
	}
}

// gone tells the router that a view is over.
func (e *Engine) gone(v *view) {
	if v.open {
		v.open = false
		e.open.Add(-1)
	}
	e.tell(&routing.Event{Kind: routing.EventGone, View: v.ask.View})
	e.forget(v)
}

func (e *Engine) answer(v *view, a Answer) {
	if !v.open {
		return
	}
	v.open = false
	e.open.Add(-1)
	switch a.Verdict {
	case Succeeded:
		e.counts.Succeeded++
	case TurnedBack:
		e.counts.TurnedBack++
	default:
		e.counts.Terminated++
	}
	v.ask.Client.Answer(v.ask.Tag, a)
}

// tell hands the router an event and does what it wants done, and so on for what follows from that.
func (e *Engine) tell(ev *routing.Event) {
	e.acts = e.router.Handle(e.now, ev, e.acts[:0])
	e.obey()
	e.settle()
}

// settle hands over the events that this side brought about.
func (e *Engine) settle() {
	for i := 0; i < len(e.queue); i++ {
		ev := e.queue[i]
		e.acts = e.router.Handle(e.now, &ev, e.acts[:0])
		e.obey()
	}
	e.queue = e.queue[:0]
}

func (e *Engine) obey() {
	for i := range e.acts {
		a := &e.acts[i]
		v := e.views[a.View]
		switch a.Kind {
		case routing.ActionAsk, routing.ActionGet:
			if v != nil && v.open {
				e.send(v, a)
			}
		case routing.ActionTurnBack:
			if v != nil {
				e.answer(v, Answer{Verdict: TurnedBack, Wait: a.Wait})
				e.forget(v)
			}
		case routing.ActionTerminate:
			if v != nil {
				e.answer(v, Answer{Verdict: Terminated})
				e.forget(v)
			}
		case routing.ActionCancel:
			if v != nil && int(a.Leg) < len(v.legs) {
				e.giveUp(v.legs[a.Leg], routing.Cancelled)
			}
		case routing.ActionProbe:
			e.caches.Probe(a.Node)
		case routing.ActionTimer:
			heap.Push(&e.timers, timer{at: e.now + a.Wait, name: a.Timer})
		case routing.ActionLog:
			e.log.Info(a.Text)
		}
	}
}

func (e *Engine) send(v *view, a *routing.Action) {
	l := &Leg{Ask: v.ask, No: routing.LegNo(len(v.legs)), Node: a.Node, Deadline: e.start.Add(v.end), Age: a.Age, Keep: a.Keep,
		How: a.How, At: e.start.Add(e.now), sent: e.now}
	if a.Begin > 0 {
		l.NotAfter = e.start.Add(e.now + a.Begin)
	}
	if a.Kind == routing.ActionGet && a.Source != a.Node {
		l.Source = a.Source
	}
	v.legs = append(v.legs, l)
	v.outs++
	if !v.ask.Guard.Open() { // its client left a moment ago, and the event that says so is on its way
		e.finish(v, l)
		e.queue = append(e.queue, routing.Event{Kind: routing.EventLegEnd, View: v.ask.View, Leg: l.No, Node: l.Node, Outcome: routing.Moot})
		return
	}
	if l.Node == routing.Own {
		e.serve(v, l)
		return
	}
	e.counts.Legs++
	if limit := e.start.Add(e.now + a.Limit); a.Limit > 0 && limit.Before(l.Deadline) {
		l.Deadline = limit
		heap.Push(&e.timers, timer{at: e.now + a.Limit, view: v.ask.View, leg: l})
	}
	e.caches.Send(l)
}

// timer is one of the router's, or the end of a leg or of a view.
type timer struct {
	at   time.Duration
	view routing.ViewID // 0: the router's
	leg  *Leg
	name uint64
}

type timers []timer

func (t timers) Len() int      { return len(t) }
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].view < t[j].view
}
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
