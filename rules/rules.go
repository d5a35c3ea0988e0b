package rules

// This file holds every decision of the router. A front end calls New with the settings and a seed, Start
// once, then Handle for each event in order; each call returns the actions to carry out, in order. The types
// stand in iface.go. docs/design.md tells what the mechanism is and when each exception to it acts.
//
// Reading order: Handle, arrive (the ordinary path), plan (which cache, which source), send (the one gate
// through which every leg passes, with the guards of the five rules), legEnd with the table steps, then
// health, pipes, rings and the list.

import (
	"math"
	"slices"
	"time"
)

const ms = time.Millisecond

type role uint8

const (
	roleCache role = iota
	roleParent
	roleOrigin
)

// none stands for no node, no view.
const none = int32(-1)

// node is what the router knows of a cache, a parent or the origin.
type node struct {
	id      NodeID
	role    role
	zone    ZoneID
	cell    CellID
	weight  float64
	state   State
	told    time.Duration // when told that it drains or is gone
	started time.Duration
	pipe    pipe // its link out, as far as this router's transfers show it
	health  health
	heard   time.Duration // last sign of life
	wait    time.Duration // usual time to the first byte of a fill from here, when it holds the object
	bucket  bucket        // what it may be sent while cold
}

type leg struct {
	node, source int32
	sent         time.Duration
	expect       time.Duration // predicted time to its end
	duty         float64       // part of its time in which it uses the link
	busy         float64       // transfers at the node when it was sent
	out, ran     bool          // still out; may have run
	via          float64       // counted at the origin's gate: the part of its time it may wait for the origin
	nudged       bool          // found overdue already
	filled       bool          // predicted to need a fill
}

// view is a view in hand, or one whose last legs have yet to end.
type view struct {
	id           ViewID
	tariff       TariffID
	tenant       TenantID
	object       ObjectID
	group        GroupID
	hash         uint64
	born, end    time.Duration // end: the client gives up
	due          time.Duration
	sending      time.Duration // to send it at full pace
	told         bool          // the size was told
	legs         [maxLegs]leg
	n            int
	outs         int
	stage        stage
	open         bool
	streaming    bool
	cache        int32 // the cache whose turn it is
	tried        uint64
	sources      uint64
	ranAt        time.Duration
	ranNode      int32
	lastNodeFail bool
}

// maxLegs bounds the legs of a view whatever the settings allow: more than this many never paid.
const maxLegs = 8

// row is what the module keeps by tariff.
type row struct {
	sending mean // sending time at full pace, where known
	written mean // time of a write
}

// Router decides for one router instance.
type Router struct {
	set     Settings
	rng     pcg
	now     time.Duration
	born    time.Duration
	acts    []Action
	nodes   []node
	index   map[NodeID]int32
	origin  int32
	caches  ring
	parents ring
	past    []pastRing
	views   []view
	free    []int32
	byID    map[ViewID]int32
	memory  []memo
	rows    []row
	inlet   pipe // the location's link in, as this router's fills show it
	gate    gate
	purges  []purge
	share   float64 // this router's part of its location's views
}

// New returns a router with empty hands.
func New(set Settings, seed uint64) *Router {
	r := &Router{set: set, rng: newPCG(seed), index: map[NodeID]int32{}, byID: map[ViewID]int32{}, origin: none}
	r.rows = make([]row, len(set.Tariffs))
	r.memory = make([]memo, memorySize)
	r.gate.window = gateStart
	r.share = 1
	if z := int(set.Zone); z < len(set.ZoneRouters) && set.ZoneRouters[z] > 1 {
		r.share = 1 / float64(set.ZoneRouters[z])
	}
	if r.set.Legs <= 0 || r.set.Legs > maxLegs {
		r.set.Legs = maxLegs
	}
	return r
}

// Timers.
const (
	timerTick = iota
	timerList
)

// tick is how often views in hand are looked over: well under the shortest due time, and cheap.
const tick = 20 * ms

// Start begins the router's life.
func (r *Router) Start(now time.Duration, acts []Action) []Action {
	r.now, r.born, r.acts = now, now, acts
	r.timer(tick, timerTick)
	if r.set.AskForList {
		r.act(Action{Kind: ActionFollow})
	}
	return r.acts
}

// Handle takes one event and returns the actions that it calls for, appended to acts.
func (r *Router) Handle(now time.Duration, e *Event, acts []Action) []Action {
	r.now, r.acts = now, acts
	switch e.Kind {
	case EventView:
		r.arrive(e)
	case EventLegEnd:
		r.legEnd(e)
	case EventStream:
		if v := r.find(e.View); v != nil {
			v.streaming = true
		}
	case EventGone:
		if v := r.find(e.View); v != nil {
			r.close(v)
		}
	case EventList:
		r.list(e)
	case EventPurge:
		r.purged(e)
	case EventTimer:
		switch e.Timer {
		case timerTick:
			r.timer(tick, timerTick)
			r.lookOver()
		case timerList:
			r.act(Action{Kind: ActionFollow})
		}
	}
	return r.acts
}

func (r *Router) act(a Action) { r.acts = append(r.acts, a) }

func (r *Router) timer(wait time.Duration, name uint64) {
	r.act(Action{Kind: ActionTimer, Wait: wait, Timer: name})
}

func (r *Router) find(id ViewID) *view {
	if i, held := r.byID[id]; held {
		return &r.views[i]
	}
	return nil
}

// The stages of a view, the ways in which a leg can end, and what follows.

type stage uint8

const (
	stageHome   stage = iota // the ring's cache, filled from the ring's parent
	stageRelay               // filled from the slot's former owner, holds-only
	stageHeld                // filled from the parent, holds-only: the origin's gate is closed
	stageOrigin              // filled straight from the origin: the parent is failing
	stageDirect              // past the caches, straight to a parent or the origin
	stageLook                // the cache only, no fill
	stages
)

type ending uint8

const (
	endLacks  ending = iota // nothing suitable held where it was asked for
	endSource               // the source failed
	endOrigin               // the origin failed behind the parent
	endPlace                // the cache is full, or has no place for a fill
	endCache                // the cache failed
	endLate                 // no answer in time
	endings
)

type effect uint8

const (
	fill     effect = iota // same cache, next source in stage
	retry                  // next cache of the ring
	turnBack               // nothing more can be done in time
)

type step struct {
	next   stage
	effect effect
}

// steps says what follows when a leg has ended without an answer. A stage that cannot be gone to (no
// such node, no budget, not in time) is turned back in send's stead.
var steps = [stages][endings]step{
	stageHome: {endLacks: {stageOrigin, fill}, endSource: {stageOrigin, fill}, endOrigin: {stageLook, turnBack},
		endPlace: {stageHome, retry}, endCache: {stageHome, retry}, endLate: {stageHome, turnBack}},
	stageRelay: {endLacks: {stageHome, fill}, endSource: {stageHome, fill}, endOrigin: {stageHome, fill},
		endPlace: {stageHome, retry}, endCache: {stageHome, retry}, endLate: {stageHome, turnBack}},
	stageHeld: {endLacks: {stageHome, fill}, endSource: {stageOrigin, fill}, endOrigin: {stageLook, turnBack},
		endPlace: {stageHome, retry}, endCache: {stageHome, retry}, endLate: {stageHome, turnBack}},
	stageOrigin: {endLacks: {stageHome, turnBack}, endSource: {stageHome, fill}, endOrigin: {stageHome, turnBack},
		endPlace: {stageHome, retry}, endCache: {stageHome, retry}, endLate: {stageHome, turnBack}},
	stageDirect: {endLacks: {stageDirect, retry}, endSource: {stageDirect, retry}, endOrigin: {stageDirect, turnBack},
		endPlace: {stageDirect, retry}, endCache: {stageDirect, retry}, endLate: {stageDirect, turnBack}},
	stageLook: {endLacks: {stageLook, turnBack}, endSource: {stageLook, turnBack}, endOrigin: {stageLook, turnBack},
		endPlace: {stageLook, turnBack}, endCache: {stageLook, retry}, endLate: {stageLook, turnBack}},
}

// ended tells from an answer what failed. Without notes only the outcome speaks.
func (r *Router) ended(v *view, l *leg, e *Event) ending {
	switch e.Note {
	case NoteLacks:
		return endLacks
	case NoteRefused, NoteUnreached:
		return endSource
	case NoteOriginFail:
		return endOrigin
	case NoteNoPlace:
		return endPlace
	}
	switch e.Outcome {
	case Missed:
		return endLacks
	case Full:
		return endPlace
	case TimedOut, Cancelled, Moot:
		return endLate
	}
	return endCache
}

// arrive takes a new view, or turns it back.
func (r *Router) arrive(e *Event) {
	if int(e.Tariff) >= len(r.set.Tariffs) {
		r.act(Action{Kind: ActionTurnBack, View: e.View})
		return
	}
	t := &r.set.Tariffs[e.Tariff]
	i := r.take()
	v := &r.views[i]
	*v = view{id: e.View, tariff: e.Tariff, tenant: e.Tenant, object: e.Object, group: e.Group, open: true,
		born: r.now, end: r.now + e.Left, cache: none, ranNode: none,
		hash: mix(uint64(e.Object) ^ uint64(e.Part)*0x9e3779b97f4a7c15)}
	r.byID[e.View] = i
	v.sending, v.told = r.rows[e.Tariff].sending.get(), e.KB > 0 && r.set.FlowKB > 0
	m := r.recall(v)
	if v.told {
		v.sending = time.Duration(e.KB / r.set.FlowKB * float64(time.Second))
		r.rows[e.Tariff].sending.add(v.sending, 0.02)
	} else if m != nil && m.sending > 0 {
		v.sending = m.sending
	}
	v.due = min(v.end, r.now+t.Due+time.Duration(t.DueStretch*float64(v.sending)))
	if t.Write {
		r.write(v)
		return
	}
	if m != nil && m.count < 255 {
		m.count++
	}
	r.start(v)
}

// start sends a view by the ordinary path: the ring's cache, then the source that plan names.
func (r *Router) start(v *view) {
	for v.open {
		c := r.pick(v)
		if c == none {
			break
		}
		v.cache = c
		v.tried |= 1 << c
		if r.fill(v, r.firstStage(v)) {
			return
		}
	}
	if r.set.Direct && r.direct(v) {
		return
	}
	r.giveUp(v)
}

// firstStage is the relay after a move, else the ring's parent.
func (r *Router) firstStage(v *view) stage {
	if r.former(v) != none {
		return stageRelay
	}
	return stageHome
}

// fill sends the view to its cache with the source of the stage, or of a later stage where that one cannot
// be gone to. It reports whether a leg went out.
func (r *Router) fill(v *view, st stage) bool {
	if st == stageRelay {
		if f := r.former(v); f != none && r.send(v, stageRelay, v.cache, f, HowHoldsOnly) {
			return true
		}
		st = stageHome
	}
	p, failing := r.parent(v)
	if st == stageOrigin || p == none || failing {
		if r.gate.open() && r.inTime(v, v.cache, r.origin) && r.send(v, stageOrigin, v.cache, r.origin, 0) {
			return true
		}
		if p == none || failing {
			p = r.nextParent(v)
		}
		st = stageHome
	}
	if p == none || v.sources>>p&1 != 0 {
		return r.look(v)
	}
	if r.gate.open() && r.inTime(v, v.cache, p) {
		v.sources |= 1 << p
		return r.send(v, stageHome, v.cache, p, 0)
	}
	if v.stage != stageHeld && r.send(v, stageHeld, v.cache, p, HowHoldsOnly) {
		return true
	}
	return false
}

// look asks the cache alone.
func (r *Router) look(v *view) bool {
	if v.n > 0 {
		return false // it has been asked already
	}
	return r.send(v, stageLook, v.cache, v.cache, 0)
}

// direct passes the caches by: only where the settings allow it and no cache of the location can be had.
func (r *Router) direct(v *view) bool {
	p, failing := r.parent(v)
	if failing {
		p = r.nextParent(v)
	}
	for _, n := range [2]int32{p, r.origin} {
		if n == none || v.tried>>n&1 != 0 || (n == r.origin && !r.gate.open()) {
			continue
		}
		v.tried |= 1 << n
		if r.inTime(v, n, n) && r.send(v, stageDirect, n, n, 0) {
			return true
		}
	}
	return false
}

// write runs a view at the origin: straight where that is allowed, else through a cache.
func (r *Router) write(v *view) {
	if r.origin == none {
		r.giveUp(v)
		return
	}
	v.stage = stageDirect
	if r.set.Direct {
		if !r.send(v, stageDirect, r.origin, r.origin, 0) {
			r.giveUp(v)
		}
		return
	}
	for c := r.pick(v); c != none; c = r.pick(v) {
		v.tried |= 1 << c
		if r.send(v, stageDirect, c, r.origin, 0) {
			return
		}
	}
	r.giveUp(v)
}

// send is the gate through which every leg passes; it holds the guards of the five rules and reports whether
// the leg went out.
func (r *Router) send(v *view, st stage, n, src int32, how How) bool {
	t := &r.set.Tariffs[v.tariff]
	// Rule 1: nothing for a view that is answered, and nothing that cannot come back in time.
	if !v.open || v.streaming || v.n >= r.set.Legs || v.end-r.now < 2*ms {
		return false
	}
	// Rule 2: what may have run goes out again only as its tariff allows.
	if !r.mayRepeat(v, n) || (v.outs > 0 && !r.set.SecondCopies) {
		return false
	}
	// Rule 3: nothing to a node past its grace, as view or as source.
	if !r.usable(n) || !r.usable(src) {
		return false
	}
	// Rule 4: no more than its share to a cold node; looks and refusals count as well.
	weight := r.rows[v.tariff].sending.get()
	if !r.affordable(n, weight) || (src != n && !r.affordable(src, weight)) {
		return false
	}
	r.spend(n, weight)
	if src != n {
		r.spend(src, weight)
	}
	l := leg{node: n, source: src, sent: r.now, out: true, ran: true, busy: r.nodes[n].pipe.busy}
	l.expect, l.duty, l.filled = r.predict(v, n, src)
	if how&HowHoldsOnly == 0 && src != n && r.nodes[src].role != roleCache && !t.Write {
		l.via = 1 - l.duty
		if src != r.origin {
			l.via *= r.gate.via
		}
		r.gate.out += l.via
	}
	r.nodes[n].pipe.busy += l.duty
	if l.filled {
		r.inlet.busy += l.duty
	}
	a := Action{Kind: ActionGet, View: v.id, Node: r.nodes[n].id, Source: r.nodes[src].id, How: how}
	if !t.Write {
		// Rule 5: nothing older than the purge will do.
		a.Age = r.oldest(v, t)
		a.Keep = r.rank(v, n)
		if r.set.Joins {
			a.How |= HowJoin
		}
		if t.Fresh > 0 && a.Keep > 1 {
			a.How |= HowRenew
		}
	}
	if r.nodes[n].role != roleCache {
		a.Keep = 0
	}
	v.legs[v.n] = l
	v.n++
	v.outs++
	v.stage = st
	r.act(a)
	return true
}

func (r *Router) mayRepeat(v *view, n int32) bool {
	t := &r.set.Tariffs[v.tariff]
	if t.Effect == Harmless || v.ranNode == none && v.outs == 0 {
		return true
	}
	if t.Effect == OneShot {
		return false
	}
	first, at := v.ranNode, v.ranAt
	for i := range v.n {
		if l := &v.legs[i]; l.ran && (first == none || l.sent < at) {
			first, at = l.node, l.sent
		}
	}
	if first == none {
		return true
	}
	a, b := &r.nodes[first], &r.nodes[n]
	inside := t.Scope == ScopeAll || a.zone == b.zone && (t.Scope == ScopeZone || a.cell == b.cell)
	return inside && r.now-at < t.Window
}

// usable: listed ready, or told of its leaving so lately that a leg may still name it. The grace is used to
// nine tenths, so that a leg sent at its end does not reach the node after it.
func (r *Router) usable(n int32) bool {
	if n == none {
		return false
	}
	d := &r.nodes[n]
	return d.state == Ready || r.now-d.told < r.set.DrainGrace*9/10
}

// giveUp answers a view for good, unless a leg is still out that may answer it.
func (r *Router) giveUp(v *view) {
	if !v.open || v.outs > 0 {
		return
	}
	t := &r.set.Tariffs[v.tariff]
	ran := false
	for i := range v.n {
		ran = ran || v.legs[i].ran
	}
	if t.Effect == Harmless || !ran || t.Effect == Stamped && t.Scope == ScopeAll {
		a := Action{Kind: ActionTurnBack, View: v.id}
		if r.set.RetryAfter {
			a.Wait = min(r.set.MaxWait, backoff/2+time.Duration(r.rng.float()*float64(backoff)))
		}
		r.act(a)
	} else {
		r.act(Action{Kind: ActionTerminate, View: v.id})
	}
	r.close(v)
}

// backoff is the middle of the time to come back: a usual due time, spread so that clients don't return at once.
const backoff = 300 * ms

// close ends a view: legs that are still out are cancelled, and its place is reused when they have ended.
func (r *Router) close(v *view) {
	v.open = false
	for i := range v.n {
		if v.legs[i].out && r.set.Cancel && !v.streaming {
			r.act(Action{Kind: ActionCancel, View: v.id, Leg: LegNo(i)})
		}
	}
	r.release(v)
}

func (r *Router) take() int32 {
	if n := len(r.free); n > 0 {
		i := r.free[n-1]
		r.free = r.free[:n-1]
		return i
	}
	r.views = append(r.views, view{})
	return int32(len(r.views) - 1)
}

func (r *Router) release(v *view) {
	if v.open || v.outs > 0 {
		return
	}
	if i, held := r.byID[v.id]; held {
		delete(r.byID, v.id)
		r.free = append(r.free, i)
	}
}

// legEnd learns from an outcome and takes the step that follows.
func (r *Router) legEnd(e *Event) {
	v := r.find(e.View)
	if v == nil || int(e.Leg) >= v.n || !v.legs[e.Leg].out {
		return
	}
	l := &v.legs[e.Leg]
	l.out = false
	v.outs--
	r.nodes[l.node].pipe.busy -= l.duty
	if l.filled {
		r.inlet.busy -= l.duty
	}
	r.gate.out -= l.via
	switch e.Outcome {
	case Full, Unconnected, Moot, Missed:
		l.ran = false
	}
	if l.ran && (v.ranNode == none || l.sent < v.ranAt) {
		v.ranNode, v.ranAt = l.node, l.sent
	}
	end := r.ended(v, l, e)
	r.learn(v, l, e, end)
	if e.Final || !v.open {
		if v.open {
			r.close(v)
		} else {
			r.release(v)
		}
		return
	}
	if v.streaming {
		r.giveUp(v)
		return
	}
	r.follow(v, steps[v.stage][end])
}

// follow takes a step for an open view.
func (r *Router) follow(v *view, s step) {
	if v.outs > 0 && s.effect == turnBack {
		return
	}
	if r.set.Tariffs[v.tariff].Write {
		if s.effect != turnBack && v.n < 4 && r.now < v.due {
			v.tried = 0
			r.write(v)
			return
		}
		r.giveUp(v)
		return
	}
	switch s.effect {
	case fill:
		if v.cache != none && r.fill(v, s.next) {
			return
		}
	case retry:
		if v.n < r.set.Legs {
			r.start(v)
			return
		}
	}
	r.giveUp(v)
}

// learn keeps what an outcome tells of the nodes and links on its way.
func (r *Router) learn(v *view, l *leg, e *Event, end ending) {
	n := &r.nodes[l.node]
	took := e.Took
	write := r.set.Tariffs[v.tariff].Write
	if e.Outcome == Succeeded {
		n.heard = r.now
		r.good(l.node)
		if write {
			r.rows[v.tariff].written.add(took, 0.1)
			return
		}
		hit := e.Note == NoteHit || e.Note == NoteStale || e.Note == NoteNone && r.set.Tells == TellsNone
		m := r.remember(v)
		m.at, m.seen = l.node, r.now
		if !v.told && hit && (m.sending == 0 || took < m.sending) {
			m.sending = took
			r.rows[v.tariff].sending.add(took, 0.02)
		}
		busy := (l.busy + n.pipe.busy + 2*l.duty) / 2
		if v.sending >= 100*ms {
			if hit {
				n.pipe.learn(float64(took)/float64(v.sending), busy)
			} else if e.Note == NoteFilled || e.Note == NoteViaOrigin {
				if s := float64(took-e.Waited) / float64(v.sending); s < 1.25 || s > 1.5*n.pipe.stretch() {
					r.inlet.learn(s, r.inlet.busy+l.duty)
				}
			}
		}
		if s := l.source; s != l.node && (e.Note == NoteFilled || e.Note == NoteViaOrigin) {
			r.nodes[s].heard = r.now
			r.good(s)
			via := e.Note == NoteViaOrigin || s == r.origin
			if via {
				r.gate.learn(e.Waited, r.set.Tariffs[v.tariff].Due, r.now)
			} else if r.nodes[s].role == roleParent {
				r.nodes[s].wait += (e.Waited - r.nodes[s].wait) / 8
			}
			if r.nodes[s].role == roleParent {
				r.gate.mix(via)
			}
		}
		return
	}
	switch end {
	case endLacks:
		n.heard = r.now
		r.good(l.node)
		if l.source != l.node && l.source >= 0 {
			r.nodes[l.source].heard = r.now
		}
	case endSource:
		n.heard = r.now
		if l.source != l.node {
			if e.Note == NoteUnreached {
				r.bad(l.source, badHard)
			} else {
				r.bad(l.source, badSoft)
			}
			if l.source == r.origin {
				r.gate.fail(r.now)
			}
		}
	case endOrigin:
		n.heard = r.now
		if l.source != l.node {
			r.nodes[l.source].heard = r.now
		}
		r.gate.fail(r.now)
	case endPlace:
		n.heard = r.now
		if l.node == r.origin {
			r.gate.fail(r.now)
		}
	case endCache:
		if l.node == r.origin {
			r.gate.fail(r.now)
			return
		}
		if e.Outcome == Errored {
			n.heard = r.now
			r.bad(l.node, badSoft)
		} else {
			r.bad(l.node, badHard)
		}
	case endLate:
		if e.Outcome == TimedOut && v.n == 1 && n.heard < l.sent {
			r.bad(l.node, badHard)
		}
	}
}

// lookOver finds overdue legs. One whose node, or source, has shown no sign of life since it was sent gets
// a second copy by another way. Guards against silent caches and parents (vanished, cut off, stalled). It
// may cost a double transfer when a node merely pauses for long.
func (r *Router) lookOver() {
	for i := range r.views {
		v := &r.views[i]
		if !v.open || v.outs == 0 || v.streaming {
			continue
		}
		for k := range v.n {
			l := &v.legs[k]
			if !l.out || l.nudged || r.now-l.sent < 2*l.expect+overdue {
				continue
			}
			l.nudged = true
			silent := none
			if r.nodes[l.node].heard < l.sent {
				silent = l.node
			} else if l.source != l.node && l.filled && r.nodes[l.source].heard < l.sent {
				silent = l.source
			}
			if silent == none || silent == r.origin {
				continue
			}
			r.bad(silent, badHard)
			if r.set.Tariffs[v.tariff].Effect == OneShot || !r.set.SecondCopies || r.now > v.due {
				continue
			}
			if silent == l.node {
				r.again(v)
			} else {
				r.fill(v, stageOrigin)
			}
		}
	}
}

// again tries the next cache for a view with a leg out.
func (r *Router) again(v *view) {
	if c := r.pick(v); c != none {
		v.cache = c
		v.tried |= 1 << c
		r.fill(v, r.firstStage(v))
	}
}

// overdue is how far past twice its predicted time a leg may be before its silence counts: a pause of a
// node or a resent packet should fit.
const overdue = 150 * ms

// pick walks the ring from the view's point to the first cache that may have it: listed, in health, warm
// enough for this object, and predicted in time. Where most caches are out, health is not asked: what fails
// everywhere at once is shared, and no cache is better than another.
func (r *Router) pick(v *view) int32 {
	sick := 0
	for _, c := range r.caches.members {
		if r.out(c) {
			sick++
		}
	}
	ignore := 2*sick > len(r.caches.members)
	found := none
	r.caches.walk(v.hash, func(c int32) bool {
		if v.tried>>c&1 != 0 || !r.admits(c, v.hash) || !ignore && !r.healthy(c) {
			return true
		}
		if !r.inTime(v, c, none) {
			return true
		}
		found = c
		return false
	})
	return found
}

// admits says whether a node takes the object: all objects once it is warm, while cold the share that it can
// give, chosen by the object's hash, so that all routers agree without talking. Guards rule 4.
func (r *Router) admits(n int32, hash uint64) bool {
	return float64(mix(hash^0xc01d)>>11)/(1<<53) < r.warm(n)
}

// warm is the part of its capacity that a node surely gives by now.
func (r *Router) warm(n int32) float64 {
	d := &r.nodes[n]
	least, over := r.set.ColdShare, r.set.ColdFor
	if d.role == roleParent {
		least, over = r.set.ParentColdShare, r.set.ParentColdFor
	}
	age := r.now - d.started
	if d.role == roleOrigin || over <= 0 || age >= over {
		return 1
	}
	return least + (1-least)*max(0, float64(age))/float64(over)
}

// bucket holds the sending time that a cold node may still be sent.
type bucket struct {
	level float64 // seconds of sending
	at    time.Duration
}

// bucketSafety is the part of the budget that this router allows itself: other routers' views, chance and
// a link smaller than the others' must fit in the rest.
const bucketSafety = 0.4

// guessRoom is how many transfers a link is taken to carry for this location before any was seen busy: few.
const guessRoom = 3

func (r *Router) budget(n int32) (rate, most float64) {
	d := &r.nodes[n]
	room, count := 0.0, 0
	for i := range r.nodes {
		if o := &r.nodes[i]; o.role == d.role && o.pipe.room > 0 && (d.role != roleCache || o.zone == d.zone) {
			room += o.pipe.room
			count++
		}
	}
	if count > 0 {
		room /= float64(count)
	}
	multiple, over := r.set.FallMultiple, r.set.FallFor
	if d.role == roleParent {
		multiple = r.set.ParentFallMultiple
	}
	room = max(room, guessRoom*r.share)
	rate = bucketSafety * multiple * r.warm(n) * room
	return rate, rate * over.Seconds()
}

func (r *Router) affordable(n int32, weight time.Duration) bool {
	d := &r.nodes[n]
	if d.role != roleCache || r.warm(n) >= 1 {
		return true
	}
	rate, most := r.budget(n)
	if d.bucket.at < d.started {
		d.bucket = bucket{level: most, at: max(d.started, r.born)}
	}
	d.bucket.level = min(most, d.bucket.level+rate*(r.now-d.bucket.at).Seconds())
	d.bucket.at = r.now
	return d.bucket.level >= weight.Seconds()
}

func (r *Router) spend(n int32, weight time.Duration) {
	if r.nodes[n].role == roleCache && r.warm(n) < 1 {
		r.nodes[n].bucket.level -= weight.Seconds()
	}
}

// parent names the ring's parent for the object, and whether it is failing for the moment. A parent that
// has failed for remapAfter has handed its arc to the next one.
func (r *Router) parent(v *view) (p int32, failing bool) {
	p = none
	r.parents.walk(v.hash, func(c int32) bool {
		if !r.admits(c, v.hash) {
			return true
		}
		if r.out(c) && r.now-r.nodes[c].health.since > remapAfter && !r.healthy(c) {
			return true
		}
		p = c
		return false
	})
	if p == none {
		return none, false
	}
	return p, !r.healthy(p)
}

// remapAfter parts a brief failure of a parent from one that moves its arc: the design's 10 s.
const remapAfter = 10 * time.Second

// nextParent is a healthy parent other than those tried: where the origin's gate is closed to a failing
// parent's objects.
func (r *Router) nextParent(v *view) int32 {
	p := none
	r.parents.walk(v.hash, func(c int32) bool {
		if r.out(c) || !r.admits(c, v.hash) || v.sources>>c&1 != 0 {
			return true
		}
		p = c
		return false
	})
	return p
}

// relayFor is how long after a list change a moved slot is filled from its former owner: the design's 30 s.
const relayFor = 30 * time.Second

// former is the cache that held the view's slot before it moved, or none. It must still hold it: a cold
// cache holds nothing, and one past its grace must not be asked.
func (r *Router) former(v *view) int32 {
	if r.set.Siblings == ReachNone || v.cache == none {
		return none
	}
	good := func(f int32) bool {
		return f != none && f != v.cache && r.usable(f) && !r.out(f) && r.warm(f) >= 1
	}
	for i := len(r.past) - 1; i >= 0 && r.now-r.past[i].until < relayFor; i-- {
		if f := r.past[i].ring.owner(v.hash); good(f) {
			return f
		}
	}
	// A cache that started lately is empty though its slot may not have moved: the next one had it meanwhile.
	if r.now-r.nodes[v.cache].started < relayFor {
		f := none
		r.caches.walk(v.hash, func(c int32) bool {
			if !good(c) {
				return true
			}
			f = c
			return false
		})
		return f
	}
	return none
}

// pipe is a link as this router's own transfers show it: room is how many fit at full pace. Where others
// share it, room is this router's part.
type pipe struct {
	busy, room float64
}

// stretch is how many times longer than alone one more transfer takes.
func (p *pipe) stretch() float64 {
	if p.room <= 0 {
		return 1
	}
	return max(1, (p.busy+1)/p.room)
}

// learn takes the stretch of a transfer and how many ran beside it. A transfer at full pace shows that more
// fit than ran; a stretched one how many did. The pace of a tenth forgets in some ten transfers.
func (p *pipe) learn(stretch, busy float64) {
	switch {
	case stretch < 1.25:
		if p.room > 0 && busy+1 > p.room*0.7 {
			p.room += 0.1 * max(1, busy+1-p.room)
		}
	case p.room <= 0:
		p.room = busy / stretch * 1.5
	default:
		p.room += (max(1, busy/stretch) - p.room) / 10
	}
}

// predict is the time until a leg's answer is through, the part of it that uses the link, and whether a
// fill is expected.
func (r *Router) predict(v *view, n, src int32) (time.Duration, float64, bool) {
	t := &r.set.Tariffs[v.tariff]
	if t.Write {
		return r.rows[v.tariff].written.get(), 0, false
	}
	d := &r.nodes[n]
	s := d.pipe.stretch() / max(0.1, r.warm(n))
	filled := src != n && !r.holds(v, n)
	wait := time.Duration(0)
	if filled {
		s = max(s, r.inlet.stretch())
		switch {
		case src == none:
		case src == r.origin:
			wait = r.gate.wait
		default:
			wait = r.nodes[src].wait
		}
	}
	send := time.Duration(float64(v.sending) * s)
	return wait + send, float64(send+ms) / float64(wait+send+ms), filled
}

// inTime is the admission test.
func (r *Router) inTime(v *view, n, src int32) bool {
	expect, _, _ := r.predict(v, n, src)
	return r.now+expect <= v.due
}

// gate limits how many fills that may reach the origin are out at once. It closes when the origin keeps
// views waiting for half their due time and three times its best, or fails, and opens again with each answer in good time. Guards
// against a slow, crowded or stopped origin, and against pushing it over; also holds back fills while many
// caches are empty. It hurts when the window is shut by a few slow answers: then views are turned back that
// the origin could have served.
type gate struct {
	window, out float64
	wait, base  time.Duration // usual and shortest time to the first byte by way of the origin
	via         float64
	cut         time.Duration
}

// gateStart is wide: the gate begins to matter when the origin's answers say so. gateLeast keeps trials going.
const (
	gateStart = 256
	gateLeast = 2
)

func (g *gate) open() bool { return g.out < g.window }

func (g *gate) learn(wait, due, now time.Duration) {
	if g.wait == 0 {
		g.wait, g.base = wait, wait
	}
	g.wait += (wait - g.wait) / 8
	g.base = min(g.base+g.base/200, wait)
	if wait > due/2 && wait > 3*g.base {
		g.fail(now)
	} else if g.window < gateStart {
		g.window += 0.5
	}
}

// fail narrows the window, once in a while only: answers that were under way together tell one thing.
func (g *gate) fail(now time.Duration) {
	if now-g.cut < 100*ms {
		return
	}
	g.cut = now
	g.window = max(gateLeast, min(g.window, g.out+1)*0.7)
}

func (g *gate) mix(via bool) {
	x := 0.0
	if via {
		x = 1
	}
	g.via += (x - g.via) / 20
}

// health follows a cache or a parent through its failures.
type health struct {
	state  healthState
	rate   float64       // recent share of failures
	since  time.Duration // when it went out
	until  time.Duration // no trial before
	pause  time.Duration
	goods  int
	gone   bool // it went out without a word: it may have been restarted
	trials time.Duration
}

type healthState uint8

const (
	up healthState = iota
	away
	healthStates
)

// A failure moves the rate of failures by this much: an error answer is softer evidence than a lost connection.
const (
	badSoft = 0.15
	badHard = 0.3
)

// sickAt is the rate at which a node goes out: two lost connections, or four errors in a row.
const sickAt = 0.45

// Trials begin after firstPause, then at twice the distance up to lastPause; wellAfter good ones end them.
const (
	firstPause = time.Second
	lastPause  = 4 * time.Second
	wellAfter  = 3
)

func (r *Router) out(n int32) bool { return r.nodes[n].health.state == away }

// healthy: up, or due for a trial, which this call then counts as begun.
func (r *Router) healthy(n int32) bool {
	h := &r.nodes[n].health
	if h.state == up {
		return true
	}
	if r.now < h.until {
		return false
	}
	h.until = r.now + h.pause/4
	return true
}

func (r *Router) bad(n int32, by float64) {
	if n == none {
		return
	}
	d := &r.nodes[n]
	if d.role == roleOrigin {
		return
	}
	h := &d.health
	h.rate += by * (1 - h.rate)
	h.goods = 0
	if h.state == away {
		h.pause = min(lastPause, 2*h.pause)
		h.until = r.now + h.pause
		h.gone = h.gone || by == badHard
	} else if h.rate > sickAt {
		*h = health{state: away, rate: h.rate, since: r.now, until: r.now + firstPause, pause: firstPause, gone: by == badHard}
	}
}

func (r *Router) good(n int32) {
	h := &r.nodes[n].health
	h.rate -= badSoft * h.rate
	if h.state != away {
		return
	}
	if h.goods++; h.goods >= wellAfter {
		// Gone without a word and back: taken for restarted, so cold and empty. A list that lags would say
		// so too late.
		if h.gone {
			r.nodes[n].started = max(r.nodes[n].started, r.now-firstPause)
		}
		*h = health{}
	}
}

// memo is what is recalled of an object.
type memo struct {
	key     uint64
	seen    time.Duration
	sending time.Duration
	at      int32
	count   uint8
}

// memorySize is a power of two, some times what is asked for within heldFor.
const memorySize = 1 << 14

// heldFor is how long a cache is expected to hold what was not asked for again.
const heldFor = 10 * time.Second

func (r *Router) recall(v *view) *memo {
	if m := &r.memory[v.hash%memorySize]; m.key == v.hash {
		return m
	}
	return nil
}

func (r *Router) remember(v *view) *memo {
	m := &r.memory[v.hash%memorySize]
	if m.key != v.hash {
		*m = memo{key: v.hash, at: none}
	}
	return m
}

// holds says whether the node is expected to have the view's object.
func (r *Router) holds(v *view, n int32) bool {
	m := r.recall(v)
	return m != nil && m.at == n && r.now-m.seen < heldFor && m.seen >= r.nodes[n].started
}

// rank is the rank at which a copy is kept: the lowest at first sight, the next when it is asked for again,
// none for what is far larger than usual and was never asked for.
func (r *Router) rank(v *view, n int32) uint8 {
	m := r.recall(v)
	if m != nil && m.count > 0 {
		return 2
	}
	if usual := r.rows[v.tariff].sending.get(); usual > 0 && v.sending > 6*usual {
		return 0
	}
	return 1
}

type purge struct {
	object ObjectID // 0: the whole group
	group  GroupID
	at     time.Duration
}

func (r *Router) purged(e *Event) {
	keep := r.purges[:0]
	for _, p := range r.purges {
		if r.now-p.at < r.set.PurgeDone {
			keep = append(keep, p)
		}
	}
	r.purges = append(keep, purge{e.Object, e.Group, r.now - e.Ago})
}

// oldest is the oldest copy that will do: 0 for the tariff's own limit, else younger than the last purge.
func (r *Router) oldest(v *view, t *Tariff) time.Duration {
	oldest := time.Duration(0)
	for _, p := range r.purges {
		if r.now-p.at > r.set.PurgeDone || p.object != v.object && (p.object != 0 || p.group != v.group) {
			continue
		}
		if age := max(ms, r.now-p.at-ms); oldest == 0 || age < oldest {
			oldest = age
		}
	}
	if oldest > 0 && t.Fresh > 0 {
		oldest = min(oldest, t.Fresh)
	}
	return oldest
}

// ring is a consistent-hash ring.
type ring struct {
	points  []point
	members []int32
}

type point struct {
	at uint64
	n  int32
}

type pastRing struct {
	ring  ring
	until time.Duration
}

// ringPoints a member evens the arcs to some six in a hundred.
const ringPoints = 200

func (r *Router) newRing(members []int32) ring {
	g := ring{members: members}
	total := 0.0
	for _, n := range members {
		total += r.nodes[n].weight
	}
	for _, n := range members {
		count := ringPoints
		if total > 0 {
			count = max(1, int(math.Round(ringPoints*r.nodes[n].weight/total*float64(len(members)))))
		}
		h := mix(uint64(r.nodes[n].id))
		for range count {
			h = mix(h + 0x9e3779b97f4a7c15)
			g.points = append(g.points, point{h, n})
		}
	}
	slices.SortFunc(g.points, func(a, b point) int {
		if a.at != b.at {
			if a.at < b.at {
				return -1
			}
			return 1
		}
		return int(a.n - b.n)
	})
	return g
}

// walk visits the members in ring order from the hash until visit returns false.
func (g *ring) walk(hash uint64, visit func(int32) bool) {
	from, _ := slices.BinarySearchFunc(g.points, hash, func(p point, h uint64) int {
		if p.at < h {
			return -1
		}
		if p.at > h {
			return 1
		}
		return 0
	})
	seen, left := uint64(0), len(g.members)
	for i := 0; left > 0; i++ {
		n := g.points[(from+i)%len(g.points)].n
		if seen>>n&1 != 0 {
			continue
		}
		seen |= 1 << n
		left--
		if !visit(n) {
			return
		}
	}
}

func (g *ring) owner(hash uint64) int32 {
	n := none
	g.walk(hash, func(c int32) bool { n = c; return false })
	return n
}

// list follows the list of nodes.
func (r *Router) list(e *Event) {
	if e.List == ListFailed {
		r.timer(200*ms+time.Duration(r.rng.float()*float64(300*ms)), timerList)
		return
	}
	var named uint64
	for i := range e.Members {
		m := &e.Members[i]
		n, known := r.index[m.Node]
		if !known {
			if m.State == Gone {
				continue
			}
			if n = r.place(); n == none {
				continue
			}
			r.index[m.Node] = n
			r.nodes[n] = node{id: m.Node, zone: m.Zone, cell: m.Cell, state: Ready, started: LongAgo, heard: r.now}
			switch m.Kind {
			case r.set.ParentKind:
				r.nodes[n].role = roleParent
			case r.set.OriginKind:
				r.nodes[n].role = roleOrigin
				r.origin = n
			}
		}
		named |= 1 << n
		r.update(n, m)
	}
	if e.List != ListChanges {
		for n := range r.nodes {
			if d := &r.nodes[n]; named>>n&1 == 0 && d.state != Gone {
				r.leave(d, Gone)
			}
		}
	}
	r.rebuild()
}

// place finds room for a new node. The bit sets hold 64: places of the long gone are used again.
func (r *Router) place() int32 {
	if len(r.nodes) < 64 {
		r.nodes = append(r.nodes, node{})
		return int32(len(r.nodes) - 1)
	}
	best := none
	for i := range r.nodes {
		d := &r.nodes[i]
		if d.state == Gone && d.pipe.busy < 0.01 && r.now-d.told > relayFor && (best == none || d.told < r.nodes[best].told) {
			best = int32(i)
		}
	}
	if best != none {
		delete(r.index, r.nodes[best].id)
	}
	return best
}

func (r *Router) leave(d *node, s State) {
	if d.state == Ready {
		d.told = r.now
	}
	d.state = s
}

func (r *Router) update(n int32, m *Member) {
	d := &r.nodes[n]
	d.weight = m.Weight
	if m.Started > d.started {
		d.started = m.Started
		d.health = health{}
		d.pipe.room = 0
	}
	if m.State == Ready {
		d.state = Ready
	} else {
		r.leave(d, m.State)
	}
}

// rebuild makes the rings anew and keeps the last ones for the relay.
func (r *Router) rebuild() {
	var caches, parents []int32
	for i := range r.nodes {
		d := &r.nodes[i]
		if d.state != Ready {
			continue
		}
		if d.role == roleCache && (d.zone == r.set.Zone) {
			caches = append(caches, int32(i))
		} else if d.role == roleParent {
			parents = append(parents, int32(i))
		}
	}
	if !slices.Equal(caches, r.caches.members) {
		if len(r.caches.members) > 0 {
			r.past = append(r.past, pastRing{r.caches, r.now})
			if len(r.past) > 3 {
				r.past = slices.Delete(r.past, 0, 1)
			}
		}
	}
	r.caches = r.newRing(caches)
	r.parents = r.newRing(parents)
}

// mean is a moving mean of times.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(d time.Duration, pace float64) {
	m.n++
	m.value += (float64(d) - m.value) * max(pace, 1/float64(m.n))
}

func (m *mean) get() time.Duration { return time.Duration(m.value) }

// mix spreads a number over 64 bits (the finisher of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// pcg is a permuted congruential generator (PCG-XSH-RR 64/32).
type pcg struct{ state uint64 }

func newPCG(seed uint64) pcg { return pcg{mix(seed) | 1} }

func (p *pcg) float() float64 {
	s := p.state
	p.state = s*6364136223846793005 + 1442695040888963407
	x := uint32((s>>18 ^ s) >> 27)
	k := uint32(s >> 59)
	return float64(x>>k|x<<(-k&31)) / (1 << 32)
}
