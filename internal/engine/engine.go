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

	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/invariant"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// Tag is a client's name for a view on its connection, Ident its id everywhere.
type (
	Tag             uint64
	ClientRequestID uint64
)

// Request is a view as a client brings it.
type Request struct {
	ID     routing.RequestID
	Client Client
	Tag    Tag

	ClientRequestID ClientRequestID // goes on unchanged, as do object, part, operation and body
	Class           routing.ClassID
	Tenant          routing.TenantID
	Object          routing.ObjectID
	Group           routing.GroupID
	Part            int
	SizeKB          float64
	Repeat          bool
	Write           bool
	HeldETag        string // the tag of a copy that the client holds
	IdempotencyKey  string // the operation by which repeats of a stamped view are known
	Body            []byte
	Timeout         time.Duration // from At until the client gives up
	ReceivedAt      time.Time     // the earliest moment at which its last byte may have come

	Invariants *invariant.Request // knows when it ends, whoever ends it; none: nobody guards it
}

// Client takes the one final answer of a view. It must not block.
type Client interface {
	Respond(tag Tag, a Response)
}

// Status is the kind of a final answer.
type Status uint8

const (
	StatusOK Status = iota
	StatusRejected
	StatusFailed
)

// Response is a final answer.
type Response struct {
	Status      Status
	NotModified bool // the client's copy is the one
	RetryAfter  time.Duration
	Body        []byte
}

// Attempt is one leg of a view on its way.
type Attempt struct {
	Request  *Request
	Number   routing.AttemptNumber
	Endpoint routing.EndpointID
	Source   routing.EndpointID // none: no fill

	Deadline time.Time // when it is given up: the server is told what is left until then
	NotAfter time.Time // on its way by then, or never; zero: no bound of its own

	MaxAge      time.Duration
	CacheRank   uint8
	FillOptions routing.FillOptions

	TransportState any // the carrier's own

	SentAt time.Time // when it was sent
	sent   time.Duration
	done   bool
}

// AttemptResult is how a leg ended at its node.
type AttemptResult struct {
	Attempt       *Attempt
	Outcome       routing.Outcome
	Note          routing.Note
	FirstByteWait time.Duration
	LoadReport    routing.LoadReport
	NotModified   bool // the client's copy is the one
	Body          []byte
	ETag          string    // the tag of the bytes
	GeneratedAt   time.Time // when the origin gave them out, zero where untold
}

// Transport carries legs to nodes. None of its calls may block.
type Transport interface {
	UpdateEndpoints(nodes []Endpoint, all bool)
	Send(l *Attempt)
	Abort(l *Attempt) (written bool) // no end follows
	CheckHealth(n routing.EndpointID)
}

// Endpoint is one line of the list.
type Endpoint struct {
	routing.Endpoint
	UID      string
	Address  string
	BootTime time.Time // zero: long ago
}

// EndpointID is the id of a node: a hash of its uid, so that all routers agree on it.
func EndpointID(uid string) routing.EndpointID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(uid))
	return routing.EndpointID(max(1, h.Sum64()))
}

// HealthCheckResult is the answer to a probe.
type HealthCheckResult struct {
	Endpoint   routing.EndpointID
	Outcome    routing.Outcome
	Elapsed    time.Duration
	LoadReport routing.LoadReport
}

// EndpointList is a list of nodes, or changes of it.
type EndpointList struct {
	Endpoints []Endpoint
	Complete  bool
	Age       time.Duration // how long ago it may have been told, before it was heard
}

// AgeBeforeStart is the age of what was told before this process began.
const AgeBeforeStart = 24 * time.Hour

// Purge tells that an object, or a group where it is 0, was purged.
type Purge struct {
	Object routing.ObjectID
	Group  routing.GroupID
	Issued time.Time
}

// ClientGone says that a client no longer waits for a view.
type ClientGone struct{ Request routing.RequestID }

// Shutdown says that this router will end: whatever view is open after so long gets its final answer then.
type Shutdown struct{ Grace time.Duration }

// Message is anything that the engine can be told: *Request, AttemptResult, HealthCheckResult, EndpointList, Purge,
// ClientGone and Shutdown, and nothing else.
type Message interface{ engineMessage() }

func (*Request) engineMessage()          {}
func (AttemptResult) engineMessage()     {}
func (HealthCheckResult) engineMessage() {}
func (EndpointList) engineMessage()      {}
func (Purge) engineMessage()             {}
func (ClientGone) engineMessage()        {}
func (Shutdown) engineMessage()          {}

// Event is a message with the time at which what it tells came about.
type Event struct {
	Time    time.Time
	Message Message
}

// Counts is what happened so far.
type Counts struct {
	Requests, Succeeded, Rejected, Failed, ClientCancelled, Attempts, LocalCacheHits uint64
	InFlight                                                                         int64
	EventQueueDelay                                                                  time.Duration // longest wait of an event since the last ones
}

type view struct {
	ask  *Request
	end  time.Duration
	open bool
	legs []*Attempt
	outs int
}

// Engine is driven by Run, or by hand through Handle and Tick.
type Engine struct {
	in      chan Event
	router  *routing.Router
	set     routing.Settings
	caches  Transport
	copies  *copies
	log     *zap.Logger
	start   time.Time
	now     time.Duration
	views   map[routing.RequestID]*view
	timers  timers
	acts    []routing.Action
	queue   []routing.Event
	members []routing.Endpoint
	counts  Counts
	stop    time.Duration // no view lasts longer
	monitor *invariant.Monitor
	stamps  stamps
	started map[routing.EndpointID]stampedStart

	departures departures
	open       atomic.Int64
	lag        atomic.Int64 // that the last event had
}

// New returns an engine whose clock starts at start.
func New(set routing.Settings, seed uint64, queue int, start time.Time, caches Transport, own LocalCacheSettings, log *zap.Logger) *Engine {
	set.LocalCacheCapacity = own.Capacity()
	return &Engine{
		in: make(chan Event, queue), router: routing.New(set, seed), set: set, caches: caches, copies: newCopies(own), log: log,
		start: start,
		stop:  math.MaxInt64, views: map[routing.RequestID]*view{}, departures: departures{told: make(chan struct{}, 1)},
		stamps: newStamps(start, stampsMatter(&set)), started: map[routing.EndpointID]stampedStart{},
	}
}

// SetMonitor has the engine let readers go first just after a stall of the process, and tell a monitor of what must not be.
// Where the wall clock steps, others are told of it too.
func (e *Engine) SetMonitor(m *invariant.Monitor, stepped func(by time.Duration)) {
	e.monitor = m
	e.stamps.onStep = func(by time.Duration) {
		stepped(by)
		m.Record(flightrecorder.Entry{Event: flightrecorder.ClockStepped, Value: by.Milliseconds()})
		e.log.Warn("the wall clock stepped", zap.Duration("by", by))
	}
}

// stampsMatter is how long anything that is stamped matters: while a server is cold, a purge unfinished, a copy fresh.
func stampsMatter(set *routing.Settings) time.Duration {
	longest := max(set.SlowStartFor, set.ParentSlowStartFor, set.PurgeCompleteAfter)
	for i := range set.Classes {
		longest = max(longest, set.Classes[i].FreshFor+set.Classes[i].MaxStale)
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
func (e *Engine) Post(at time.Time, message Message) (taken bool) {
	switch what := message.(type) {
	case ClientGone:
		e.departures.add(what)
	case *Request:
		select {
		case e.in <- Event{at, message}:
		default:
			return false
		}
	default:
		e.in <- Event{at, message}
	}
	return true
}

// departures are the requests whose clients have gone. There is at most one for each open request, so that nobody who tells
// of one ever waits.
type departures struct {
	mu   sync.Mutex
	list []ClientGone
	told chan struct{}
}

func (d *departures) add(g ClientGone) {
	d.mu.Lock()
	d.list = append(d.list, g)
	d.mu.Unlock()
	select {
	case d.told <- struct{}{}:
	default:
	}
}

func (d *departures) take() []ClientGone {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.list
	d.list = nil
	return list
}

// InFlight is how many views have no final answer yet, those in the queue included as far as they were posted.
func (e *Engine) InFlight() int { return int(e.open.Load()) + len(e.in) }

// EventQueueDelay is how long the last event waited.
func (e *Engine) EventQueueDelay() time.Duration { return time.Duration(e.lag.Load()) }

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
			e.counts.InFlight = e.open.Load()
			counts(e.counts)
			e.counts.EventQueueDelay = 0
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
		e.Handle(time.Since(e.start), Event{Message: g})
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
	if !ev.Time.IsZero() {
		lag := e.now - ev.Time.Sub(e.start)
		e.counts.EventQueueDelay = max(e.counts.EventQueueDelay, lag)
		e.lag.Store(int64(lag))
	}
	switch what := ev.Message.(type) {
	case *Request:
		e.ask(what)
	case AttemptResult:
		e.legEnd(what, ev.Time.Sub(e.start))
	case HealthCheckResult:
		e.tell(&routing.Event{Kind: routing.EventHealthCheck, Endpoint: what.Endpoint, Outcome: what.Outcome, Elapsed: what.Elapsed, LoadReport: what.LoadReport})
	case EndpointList:
		e.list(what)
	case Purge:
		e.purge(what)
	case ClientGone:
		if v := e.views[what.Request]; v != nil && v.open {
			e.counts.ClientCancelled++
			e.gone(v)
		}
	case Shutdown:
		e.stop = e.now + what.Grace
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
		case t.leg != nil && t.leg.Endpoint == routing.LocalCache:
			e.legEnd(AttemptResult{Attempt: t.leg, Outcome: routing.Succeeded}, e.now)
		case t.leg != nil:
			e.giveUp(t.leg, routing.TimedOut)
			e.settle()
		default:
			e.expire(t.view)
		}
	}
}

func (e *Engine) ask(a *Request) {
	if !a.Invariants.Open() { // its client has gone while it waited here
		e.counts.Requests++
		e.counts.ClientCancelled++
		return
	}
	v := &view{ask: a, end: min(e.stop, a.ReceivedAt.Sub(e.start)+a.Timeout), open: true}
	e.views[a.ID] = v
	e.open.Add(1)
	e.counts.Requests++
	heap.Push(&e.timers, timer{at: v.end, view: a.ID})
	e.tell(&routing.Event{
		Kind: routing.EventRequest, Request: a.ID, Class: a.Class, Tenant: a.Tenant, Object: a.Object, Group: a.Group, Part: a.Part,
		SizeKB: a.SizeKB, TimeLeft: v.end - e.now, Repeat: a.Repeat, Write: a.Write,
	})
}

func (e *Engine) list(l EndpointList) {
	e.caches.UpdateEndpoints(l.Endpoints, l.Complete)
	e.members = e.members[:0]
	for _, n := range l.Endpoints {
		m := n.Endpoint
		m.StartedAt = e.startOf(&n)
		e.members = append(e.members, m)
	}
	e.monitor.Record(flightrecorder.Entry{Event: flightrecorder.EndpointListReceived, Value: int64(len(l.Endpoints))})
	ev := routing.Event{Kind: routing.EventEndpoints, EndpointListKind: routing.EndpointListDelta, Endpoints: e.members, Age: l.Age}
	if l.Complete {
		ev.EndpointListKind = routing.EndpointListFull
	}
	e.tell(&ev)
}

// startOf is when a server started, never later than now. The same stamp told again means the same moment.
func (e *Engine) startOf(n *Endpoint) time.Duration {
	if n.BootTime.IsZero() || n.State == routing.Gone {
		delete(e.started, n.ID)
		return routing.LongAgo
	}
	if known, told := e.started[n.ID]; told && known.stamp.Equal(n.BootTime) {
		return known.at
	}
	least, _, _ := e.stamps.age(n.BootTime, e.now)
	e.started[n.ID] = stampedStart{n.BootTime, e.now - least}
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
	e.tell(&routing.Event{Kind: routing.EventPurge, Object: p.Object, Group: p.Group, Age: ago})
}

// legEnd takes the end of a leg from its node.
func (e *Engine) legEnd(end AttemptResult, at time.Duration) {
	l := end.Attempt
	if l.done {
		return
	}
	v := e.views[l.Request.ID]
	if end.Outcome == routing.Succeeded && v.open {
		e.answer(v, Response{Status: StatusOK, NotModified: end.NotModified, Body: end.Body})
	}
	if end.Outcome == routing.Succeeded && l.FillOptions&routing.StoreLocally != 0 {
		if _, most, believable := e.stamps.age(end.GeneratedAt, e.now); believable {
			e.copies.keep(l.Request, &end, e.now, e.now-most)
		}
	}
	e.finish(v, l)
	e.tell(&routing.Event{
		Kind: routing.EventAttemptResult, Request: l.Request.ID, Attempt: l.Number, Endpoint: l.Endpoint, Outcome: end.Outcome, Note: end.Note,
		Final: !v.open, Elapsed: max(0, min(at, e.now)-l.sent), FirstByteWait: end.FirstByteWait, LoadReport: end.LoadReport,
	})
	e.forget(v)
}

// serve answers from the router's own copies. The leg ends when its bytes are through.
func (e *Engine) serve(v *view, l *Attempt) {
	a := v.ask
	oldest := l.MaxAge
	if oldest == 0 {
		oldest = e.set.Classes[a.Class].FreshFor
	}
	c := e.copies.find(a, oldest, e.now)
	if c == nil {
		e.finish(v, l)
		e.queue = append(e.queue, routing.Event{Kind: routing.EventAttemptResult, Request: a.ID, Attempt: l.Number, Endpoint: l.Endpoint, Outcome: routing.CacheMiss})
		return
	}
	answer := Response{Status: StatusOK, NotModified: a.HeldETag != "" && a.HeldETag == c.sum, Body: c.body}
	size := len(c.body)
	if answer.NotModified {
		size /= unchanged
	}
	e.counts.LocalCacheHits++
	if e.copies.hitByPurge(c) {
		e.monitor.Violate(invariant.StaleCopyServed, uint64(a.ClientRequestID))
	}
	e.answer(v, answer)
	e.queue = append(e.queue, routing.Event{Kind: routing.EventStreamStarted, Request: a.ID, Attempt: l.Number, Endpoint: l.Endpoint})
	heap.Push(&e.timers, timer{at: e.copies.send(e.now, size), view: a.ID, leg: l})
}

// unchanged is the part of its bytes' time that it takes to tell a client that its copy holds: the protocol's twentieth.
const unchanged = 20

// giveUp ends a leg from this side; the router hears of it next.
func (e *Engine) giveUp(l *Attempt, how routing.Outcome) {
	if l.done {
		return
	}
	if !e.caches.Abort(l) {
		how = routing.NotSent
	}
	v := e.views[l.Request.ID]
	e.finish(v, l)
	e.queue = append(e.queue, routing.Event{
		Kind: routing.EventAttemptResult, Request: l.Request.ID, Attempt: l.Number, Endpoint: l.Endpoint, Outcome: how,
		Final: !v.open, Elapsed: e.now - l.sent,
	})
	e.forget(v)
}

func (e *Engine) finish(v *view, l *Attempt) {
	l.done = true
	v.outs--
}

func (e *Engine) forget(v *view) {
	if !v.open && v.outs == 0 {
		delete(e.views, v.ask.ID)
	}
}

// expire ends a view whose client's time is up: its legs have timed out, and what the router leaves open after that
// is terminated.
func (e *Engine) expire(id routing.RequestID) {
	v := e.views[id]
	if v == nil || !v.open {
		return
	}
	for _, l := range v.legs {
		e.giveUp(l, routing.TimedOut)
	}
	e.settle()
	if v.open {
		e.answer(v, Response{Status: StatusFailed})
		e.gone(v)
	}
}

// gone tells the router that a view is over.
func (e *Engine) gone(v *view) {
	if v.open {
		v.open = false
		e.open.Add(-1)
	}
	e.tell(&routing.Event{Kind: routing.EventClientGone, Request: v.ask.ID})
	e.forget(v)
}

func (e *Engine) answer(v *view, a Response) {
	if !v.open {
		return
	}
	v.open = false
	e.open.Add(-1)
	switch a.Status {
	case StatusOK:
		e.counts.Succeeded++
	case StatusRejected:
		e.counts.Rejected++
	default:
		e.counts.Failed++
	}
	v.ask.Client.Respond(v.ask.Tag, a)
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
		v := e.views[a.Request]
		switch a.Kind {
		case routing.ActionLookup, routing.ActionSend:
			if v != nil && v.open {
				e.send(v, a)
			}
		case routing.ActionReject:
			if v != nil {
				e.answer(v, Response{Status: StatusRejected, RetryAfter: a.Wait})
				e.forget(v)
			}
		case routing.ActionFail:
			if v != nil {
				e.answer(v, Response{Status: StatusFailed})
				e.forget(v)
			}
		case routing.ActionCancel:
			if v != nil && int(a.Attempt) < len(v.legs) {
				e.giveUp(v.legs[a.Attempt], routing.Cancelled)
			}
		case routing.ActionHealthCheck:
			e.caches.CheckHealth(a.Endpoint)
		case routing.ActionTimer:
			heap.Push(&e.timers, timer{at: e.now + a.Wait, name: a.Timer})
		case routing.ActionLog:
			e.log.Info(a.Text)
		}
	}
}

func (e *Engine) send(v *view, a *routing.Action) {
	l := &Attempt{
		Request: v.ask, Number: routing.AttemptNumber(len(v.legs)), Endpoint: a.Endpoint, Deadline: e.start.Add(v.end), MaxAge: a.MaxAge, CacheRank: a.CacheRank,
		FillOptions: a.FillOptions, SentAt: e.start.Add(e.now), sent: e.now,
	}
	if a.StartWithin > 0 {
		l.NotAfter = e.start.Add(e.now + a.StartWithin)
	}
	if a.Kind == routing.ActionSend && a.Source != a.Endpoint {
		l.Source = a.Source
	}
	v.legs = append(v.legs, l)
	v.outs++
	if !v.ask.Invariants.Open() { // its client left a moment ago, and the event that says so is on its way
		e.finish(v, l)
		e.queue = append(e.queue, routing.Event{Kind: routing.EventAttemptResult, Request: v.ask.ID, Attempt: l.Number, Endpoint: l.Endpoint, Outcome: routing.NotSent})
		return
	}
	if l.Endpoint == routing.LocalCache {
		e.serve(v, l)
		return
	}
	e.counts.Attempts++
	if limit := e.start.Add(e.now + a.Timeout); a.Timeout > 0 && limit.Before(l.Deadline) {
		l.Deadline = limit
		heap.Push(&e.timers, timer{at: e.now + a.Timeout, view: v.ask.ID, leg: l})
	}
	e.caches.Send(l)
}

// timer is one of the router's, or the end of a leg or of a view.
type timer struct {
	at   time.Duration
	view routing.RequestID // 0: the router's
	leg  *Attempt
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
