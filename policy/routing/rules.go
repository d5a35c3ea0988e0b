package routing

// This file holds every decision of the router. router.go is its door: a front end calls New with the
// settings and a seed, Start once, then Handle for each event in order; each call returns the actions to
// carry out, in order. Their types stand in iface.go, the state and its plain machinery in state.go; neither
// decides anything. docs/design.md tells what the mechanism is and when each exception to it acts.
//
// Reading order: the table of steps; arrive, start and fill (the ordinary path); send (the one gate through
// which every leg passes, with the guards of the five rules); legEnd and what it learns or blames; lookOver
// (overdue legs); pick, parent and former (which cache, which source); predictions, the gate, health.

import (
	"slices"
	"time"
)

const ms = time.Millisecond

// maxLegs is how many legs a view has places for; one more would hardly come in its due time.
const maxLegs = 8

// Timers. tick is how often views in hand are looked over: well under the shortest due time, and cheap.
// followWait is how long after a failed call the list is asked for again, and as much more by chance.
const (
	timerTick, timerList = 0, 1
	tick, followWait     = 20 * ms, 250 * ms
)

type stage uint8

const (
	stageHome   stage = iota // the ring's cache, filled from the ring's parent
	stageRelay               // filled from the slot's former owner, holds-only
	stageHeld                // filled from the parent, holds-only: the origin's gate is closed
	stageOrigin              // filled straight from the origin: the parent is failing
	stageDirect              // past the caches, straight to a parent or the origin
	stageLook                // the cache only, no fill
	stageOwn                 // the router's own copies
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
	endView                 // another node failed it alike: it is the view's own fault
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

var stop, next = step{effect: turnBack}, step{effect: retry}

// steps says what follows when a leg has ended without an answer. Where a next stage cannot be gone to (no
// such node, no budget, not in time), fill and start go on to a later one or give up.
var steps = [stages][endings]step{
	//            lacks                source               origin         place       cache       late  view
	stageHome:   {{stageOrigin, fill}, {stageOrigin, fill}, stop, next, next, stop, stop},
	stageRelay:  {{stageHome, fill}, {stageHome, fill}, {stageHome, fill}, next, next, stop, stop},
	stageHeld:   {{stageHome, fill}, {stageOrigin, fill}, stop, next, next, stop, stop},
	stageOrigin: {stop, {stageHome, fill}, stop, next, next, stop, stop},
	stageDirect: {next, next, stop, next, next, stop, stop},
	stageLook:   {stop, stop, stop, stop, next, stop, stop},
	stageOwn:    {stop, stop, stop, stop, stop, stop, stop},
}

// ended tells from an answer what failed. Without notes only the outcome speaks.
func ended(e *Event) ending {
	switch e.Note {
	case NoteSourceMiss:
		return endLacks
	case NoteSourceRefused, NoteSourceUnreachable:
		return endSource
	case NoteOriginFailed:
		return endOrigin
	case NoteNoFillCapacity:
		return endPlace
	}
	switch e.Outcome {
	case CacheMiss:
		return endLacks
	case Overloaded:
		return endPlace
	case TimedOut, Cancelled, NotSent:
		return endLate
	}
	return endCache
}

// arrive takes a new view, or turns it back.
func (r *Router) arrive(e *Event) {
	if int(e.Class) >= len(r.set.Classes) {
		r.act(Action{Kind: ActionReject, Request: e.Request})
		return
	}
	t, usual := &r.set.Classes[e.Class], &r.rows[e.Class].usual
	i := r.take()
	v := &r.views[i]
	r.arrived++
	*v = view{
		id: e.Request, tariff: e.Class, object: e.Object, group: e.Group, open: true, end: r.now + e.TimeLeft,
		cache: none, erred: none, sending: usual.get(), hash: e.hash(),
	}
	r.byID[e.Request] = i
	m := r.recall(v)
	v.sized = e.SizeKB > 0 && r.set.FlowKBPerSecond > 0 && !t.Write
	v.known = v.sized || m != nil && m.sending > 0
	switch {
	case v.sized:
		v.sending = time.Duration(e.SizeKB / r.set.FlowKBPerSecond * float64(time.Second))
		usual.add(v.sending, 0.02)
	case v.known:
		v.sending = m.sending
	}
	if r.set.ResponseDetail == DetailNone && !v.sized && !t.Write {
		// A time that may hold a fill's wait turns nothing back by itself, or nothing better would ever be learned.
		v.sending = min(v.sending, time.Duration(0.95/margin*float64(t.LatencyObjective)))
	}
	v.due = min(v.end, r.now+t.LatencyObjective+time.Duration(t.ObjectiveStretch*float64(v.sending)))
	v.spare = r.overAllowance(int(e.Tenant))
	r.retries = min(retriesMost, r.retries+retriesEach)
	if t.Write {
		r.write(v)
		return
	}
	if m != nil && m.count < 255 {
		m.count++
	}
	r.start(v)
}

// Further legs after a failure are bounded to this many a view on average, with a reserve for a burst: enough
// for a fifth of all views to fail once, too few to double the load when everything fails.
const retriesEach, retriesMost = 0.25, 20

// start sends a view by the ordinary path: the ring's cache, the former owner if the slot moved, the parent.
func (r *Router) start(v *view) {
	v.cache = r.pick(v)
	if !r.fill(v, stageRelay) && (v.cache != none || !r.set.AllowDirect || !r.direct(v)) {
		r.giveUp(v)
	}
}

// fill sends the view to its cache with the source of the stage, or of a later stage where that one cannot be
// gone to. It reports whether a leg went out. None does where an earlier leg ends after no cache was left.
func (r *Router) fill(v *view, st stage) bool {
	if v.cache == none {
		return false
	}
	if st == stageRelay {
		f := r.former(v)
		if f != none && r.inTime(v, v.cache, f) && r.send(v, stageRelay, v.cache, f, OnlyIfCached) {
			return true
		}
	}
	p, failing := r.parent(v)
	if o := r.origin; st == stageOrigin || failing || p == none {
		if !v.filledFrom(o) && r.reaches(v, v.cache, o) && r.send(v, stageOrigin, v.cache, o, 0) {
			return true
		}
		p = r.nextParent(v)
	}
	if p != none && !v.filledFrom(p) && r.inTime(v, v.cache, p) {
		if r.reaches(v, v.cache, p) {
			return r.send(v, stageHome, v.cache, p, 0)
		}
		if v.stage != stageHeld {
			return r.send(v, stageHeld, v.cache, p, OnlyIfCached)
		}
	}
	// Nothing can be filled in time: what the cache holds may still do.
	return v.n == 0 && r.inTime(v, v.cache, none) && r.send(v, stageLook, v.cache, v.cache, 0)
}

// reaches says whether a fill from src that has to wait for the origin may go: the gate has room and it comes
// in time, with luck where the gate is wide. One at a time goes in any case: who else would see it recover?
func (r *Router) reaches(v *view, n, src int32) bool {
	if src == none || r.now >= v.due {
		return false
	}
	expect, _, filled := r.predict(v, n, src)
	if filled && src != r.origin {
		expect += r.gate.wait
	}
	expect -= time.Duration(hope * (1 - r.gate.few()) * min(1, r.gate.window/gateMost) * float64(r.gate.wait))
	return r.hasPlace(gateLeast) || r.hasPlace(r.gate.window) && r.now+expect <= v.due
}

// gateCaches is how many caches a router with a whole gate has behind it: one of many routers that share few
// caches gets less, and less than a place is a part of the time. trialEach is the distance of trials of a
// whole gate while it is shut: failures may come at once, so that places alone would let a herd through, and
// parents and caches try on their own.
const gateCaches, trialEach = 4, 600 * ms

// hasPlace says whether the gate has a place of so many.
func (r *Router) hasPlace(places float64) bool {
	if r.gate.window <= gateLeast {
		return r.gate.out.busy < gateLeast && r.now >= r.gate.next
	}
	places *= r.gate.part
	return r.gate.out.busy < max(1, places) && (places >= 1 || r.gate.out.usualBy(r.now) < places)
}

// direct passes the caches by: only where the settings allow it and no cache of the location is fit to be
// asked at all (all lost, cold or failing). The origin is left to writes: its link is thin.
func (r *Router) direct(v *view) bool {
	p, failing := r.parent(v)
	if failing {
		p = r.nextParent(v)
	}
	if v.cache = p; p == none || !r.inTime(v, p, p) {
		return false
	}
	if !v.filledFrom(r.origin) && r.reaches(v, p, r.origin) {
		return r.send(v, stageDirect, p, r.origin, 0)
	}
	return !v.filledFrom(p) && r.send(v, stageDirect, p, p, 0)
}

// write runs a view at the origin: straight where that is allowed, else through a cache. One that provably
// did not run waits a little and goes again while it can be in time.
func (r *Router) write(v *view) {
	v.again = 0
	n := r.origin
	if !r.set.AllowDirect {
		n = r.pick(v)
	}
	if n == none || r.origin == none || !r.send(v, stageDirect, n, r.origin, 0) {
		r.giveUp(v)
	}
}

// writeAgain is the first wait before a write goes again; it doubles, so that a crowded origin gets air.
const writeAgain = 60 * ms

// send is the gate through which every leg passes; it holds the guards of the five rules and reports whether
// the leg went out.
func (r *Router) send(v *view, st stage, n, src int32, how FillOptions) bool {
	t := &r.set.Classes[v.tariff]
	// Rule 1: nothing for a view that is answered, nor so late that its answer cannot come back.
	if !v.open || v.streaming || v.n >= r.set.MaxAttempts || v.end-r.now < 2*ms {
		return false
	}
	// Rule 2: what may have run goes out again only as its tariff allows.
	if v.outs > 0 && !r.set.HedgedRequests || !r.mayRepeat(v, n) {
		return false
	}
	// Rules 3 and 4: nothing past its grace, no more to a cold node than it bears, as view or as source.
	if !r.usable(n) || !r.usable(src) || !r.affordable(v, n) || src != n && !r.affordable(v, src) {
		return false
	}
	r.charge(v, n, 1)
	l := leg{node: n, source: src, sent: r.now, out: true, ran: true, held: how&OnlyIfCached != 0}
	l.expect, l.duty, l.filled = r.predict(v, n, src)
	if l.filled {
		r.charge(v, src, 1)
	}
	if !l.held && src != n && r.nodes[src].role != roleCache && !t.Write {
		l.gate = float64(r.gate.wait+ms) / float64(r.gate.wait+v.sending+ms)
		if src != r.origin && v.stage != stageHeld {
			l.gate *= r.gate.via
		}
		r.gate.out.add(l.gate, r.now)
		r.gate.next = r.now + time.Duration((0.5+r.rng.float())*float64(trialEach)/r.gate.part)
	}
	for _, d := range [2]*health{&r.nodes[n].health, &r.nodes[src].health} {
		if d.out {
			d.until = r.now + d.pause/4
		}
	}
	r.hold(&l, 1)
	a := Action{Kind: ActionSend, Request: v.id, Endpoint: r.nodes[n].id, Source: r.nodes[src].id, FillOptions: how}
	a.StartWithin = r.window(v)
	if !t.Write {
		// Rule 5: nothing older than the last purge will do.
		a.MaxAge = r.oldest(v)
		if r.nodes[n].role == roleCache {
			a.CacheRank = r.rank(v)
		}
		if r.set.CoalesceFills {
			a.FillOptions |= CoalesceFill
		}
		if t.FreshFor > 0 && a.CacheRank > 1 {
			a.FillOptions |= StaleWhileRevalidate
		}
		if r.own != none && n != r.own {
			a.FillOptions |= StoreLocally
		}
	}
	l.kept = a.CacheRank > 0
	v.legs[v.n] = l
	v.n++
	v.outs++
	v.stage = st
	r.act(a)
	return true
}

// mayRepeat: a harmless view always; another one only if no leg may have run, or, stamped, inside the scope
// and window of the first that may have.
func (r *Router) mayRepeat(v *view, n int32) bool {
	t := &r.set.Classes[v.tariff]
	if t.Idempotency == Idempotent {
		return true
	}
	for i := range v.n {
		l := &v.legs[i]
		if !l.ran {
			continue
		}
		a, b := &r.nodes[l.node], &r.nodes[n]
		inside := t.DedupScope == ScopeAll || a.zone == b.zone && (t.DedupScope == ScopeZone || a.cell == b.cell)
		if t.Idempotency == NonIdempotent || !inside || r.now-l.sent >= t.DedupWindow {
			return false
		}
	}
	return true
}

// window is what is left of the time in which repeats of a stamped view are dropped, 0 where nothing may have
// run yet. A repeat must be on its way by then, however late its connection comes up. Guards rule 2.
func (r *Router) window(v *view) time.Duration {
	for i := range v.n {
		if l := &v.legs[i]; l.ran && r.set.Classes[v.tariff].Idempotency == IdempotentWithKey {
			return r.set.Classes[v.tariff].DedupWindow - (r.now - l.sent)
		}
	}
	return 0
}

// usable: listed ready, or told of its leaving so lately that a leg may still name it. A tenth of the grace
// is left unused, so that a leg sent at its end does not reach the node after it.
func (r *Router) usable(n int32) bool {
	return n != none && (r.nodes[n].state == Ready || r.now-r.nodes[n].told < r.set.DrainGrace*9/10)
}

// backoff is the middle of the time to come back: about a due time, spread against a common return.
const backoff = 300 * ms

// giveUp answers a view for good, unless a leg is still out that may answer it.
func (r *Router) giveUp(v *view) {
	if !v.open || v.outs > 0 {
		return
	}
	t := &r.set.Classes[v.tariff]
	// What the caches cannot give in time, a copy of the router's own may; it is asked last, so that they learn
	// of every view. Guards against lost, cold and crowded caches of whatever cause.
	if r.own != none && t.Idempotency == Idempotent && !t.Write && !r.asked(v, r.own) && r.inTime(v, r.own, none) &&
		r.send(v, stageOwn, r.own, r.own, 0) {
		return
	}
	if t.Idempotency == Idempotent || !v.ran() || t.Idempotency == IdempotentWithKey && t.DedupScope == ScopeAll {
		a := Action{Kind: ActionReject, Request: v.id}
		if r.set.RetryAfter {
			a.Wait = min(r.set.MaxRetryAfter, backoff/2+time.Duration(r.rng.float()*float64(backoff)))
		}
		r.act(a)
	} else {
		r.act(Action{Kind: ActionFail, Request: v.id})
	}
	r.close(v)
}

// legEnd learns from an outcome and takes the step that follows.
func (r *Router) legEnd(v *view, e *Event) {
	if v == nil || int(e.Attempt) >= v.n || !v.legs[e.Attempt].out {
		return
	}
	l := &v.legs[e.Attempt]
	l.out = false
	v.outs--
	r.hold(l, -1)
	r.gate.out.add(-l.gate, r.now)
	switch e.Outcome {
	case Overloaded, ConnectFailed, NotSent, CacheMiss:
		l.ran = false
	}
	r.report(l.node, &e.LoadReport)
	end := ended(e)
	if end == endCache && e.Outcome == Failed && v.erred != none && v.erred != l.node {
		end = endView
	}
	if e.Outcome == Succeeded {
		r.learn(v, l, e)
	} else {
		r.blame(v, l, e, end)
	}
	switch {
	case !v.open:
		r.release(v)
	case e.Final:
		r.close(v)
	default:
		r.follow(v, end)
	}
}

// follow takes a step for an open view.
func (r *Router) follow(v *view, end ending) {
	s := steps[v.stage][end]
	// A further leg after a failure, unlike one after a miss, is bounded: else it multiplies a trouble's load.
	if s.effect != turnBack && end != endLacks && !r.set.Classes[v.tariff].Write {
		if r.retries--; r.retries < 0 || r.now >= v.due {
			r.retries, s.effect = max(0, r.retries), turnBack
		}
	}
	switch {
	case r.set.Classes[v.tariff].Write:
		if wait := writeAgain << v.n; s.effect != turnBack && r.now+wait < v.due && r.mayRepeat(v, r.origin) {
			v.again = r.now + wait
			return
		}
	case s.effect == fill:
		if r.fill(v, s.next) {
			return
		}
	case s.effect == retry:
		r.start(v)
		return
	}
	r.giveUp(v)
}

// learn keeps what a good answer tells of the nodes and links on its way.
func (r *Router) learn(v *view, l *leg, e *Event) {
	n, t, row := &r.nodes[l.node], &r.set.Classes[v.tariff], &r.rows[v.tariff]
	r.good(l.node, l.sent, e.Note == NoteHit)
	if v.erred != none {
		r.bad(v.erred, badSoft)
	}
	if t.Write {
		row.usual.add(e.Elapsed, 0.1)
		return
	}
	far := n.role > roleCache
	filled := far || e.Note == NoteFilled || e.Note == NoteViaOrigin
	n.carries.add(v.sending.Seconds(), r.now, r.carriesOver(l.node))
	m := r.remember(v)
	// Where no answer tells, the first of an object stands for a hit, and any of a cache that should hold it.
	hit := e.Note == NoteHit || r.set.ResponseDetail == DetailNone && !far && (m.sending == 0 || r.holds(v, l.node))
	if m.seen = r.now; l.kept || hit {
		m.at = l.node
	}
	body, stretch := e.Elapsed-e.FirstByteWait, 1.0
	if v.sending > 0 {
		stretch = float64(body) / float64(v.sending)
	}
	if hit {
		// The shortest time seen is nearest to the sending time at full pace.
		shorter := !v.sized && (m.sending == 0 || e.Elapsed < m.sending)
		if shorter {
			m.sending = e.Elapsed
		}
		if !v.sized && n.load < calm || shorter && row.usual.n < sizesSeen {
			row.usual.add(m.sending, 0.02)
		}
		if v.known && !far && v.sending >= 100*ms && r.warm(l.node) >= 1 {
			n.pipe.learn(stretch, r.total(&n.pipe)+l.duty, 0.1, r.now)
		}
	}
	s := &r.nodes[l.source]
	if !filled || s.role == roleCache {
		return
	}
	s.drag += (min(dragMost, float64(body)/float64(l.expect+ms)) - s.drag) / 8
	if s.role == roleParent && body > dragging*l.expect+overdue && (v.known || r.drags(l.source)) {
		r.bad(l.source, badSoft)
	} else {
		r.good(l.source, l.sent, e.Note == NoteFilled)
	}
	s.carries.add(v.sending.Seconds(), r.now, r.carriesOver(l.source))
	own := 1.5 * r.stretch(&n.pipe, r.warm(l.node))
	if v.known && v.sending >= 100*ms && (stretch < stretched || stretch > own) {
		r.inlet.learn(stretch, r.total(&r.inlet)+l.duty, 1, r.now)
	}
	via := 0.0 // did the parent have it?
	if e.Note == NoteViaOrigin || s.role == roleOrigin {
		via = 1
		r.gate.learn(e.FirstByteWait, e.FirstByteWait > t.LatencyObjective/2 && r.now >= v.due, r.now)
	} else if !far {
		s.wait += (e.FirstByteWait - s.wait) / 8
	}
	if s.role == roleParent {
		r.gate.via += (via - r.gate.via) / 20
	}
}

// dragging is how many times its prediction the body of a fill may take before its parent counts as failing:
// the location's links are in the prediction, so what is left is the parent's own. Guards against slow and
// throttled parents that begin to answer in good time. dragMost bounds what one odd fill can tell.
const dragging, dragMost = 2, 8

// drags compares a parent's fills with those of the others: where sizes are only guessed, one long body tells
// nothing, but they are guessed alike for all parents.
func (r *Router) drags(n int32) bool {
	for _, p := range r.parents.members {
		if p != n && r.nodes[n].drag > dragging*max(0.5, r.nodes[p].drag) {
			return true
		}
	}
	return false
}

// sizesSeen is how many sizes make a usual one: those that end first are the small ones.
const sizesSeen = 20

// calm is the load below which a cache's link is taken to run at full pace.
const calm = 0.8

// blame tells nodes, gate and view apart as the cause of a failure. Notes say which; a source heard of since
// the leg went out, that took its time to fail, was itself waiting for the origin. An error without a note
// counts once another node has done the view: guards against clients that ask for what no node can do.
func (r *Router) blame(v *view, l *leg, e *Event, end ending) {
	n := &r.nodes[l.node]
	if l.node == r.origin {
		if end != endLacks && (e.Outcome != Cancelled || r.now >= v.due) { // a client that left early tells nothing
			r.gate.fail(r.now)
		}
		return
	}
	switch end {
	case endCache:
		switch {
		case e.Outcome == Failed:
			v.erred = l.node // the next node that it is sent to tells whose fault it is
		case e.Outcome != ConnectionBroken:
			r.bad(l.node, badHard)
		case r.now-n.broke >= together:
			n.broke = r.now
			r.bad(l.node, badSoft)
		}
		return
	case endLate, endView:
		return
	case endPlace:
		n.full = r.now + fullFor
	case endSource:
		switch {
		case l.source == r.origin,
			!l.held && e.FirstByteWait > overdue && r.nodes[l.source].heard > l.sent && r.gate.good < l.sent:
			r.gate.fail(r.now)
		case e.Note == NoteSourceUnreachable:
			r.bad(l.source, badHard)
		default:
			r.bad(l.source, badSoft)
		}
	case endOrigin:
		r.gate.fail(r.now)
		r.nodes[l.source].heard = r.now
	case endLacks:
		r.nodes[l.source].heard = r.now
	}
	n.heard = r.now
}

// together is how far apart breaks tell of a node more than once: what ends a connection ends many legs.
// fullFor is how long a cache that turned a view away is asked for no fills: some transfers end meanwhile.
// overdue is how far past twice its predicted time a leg may be before silence counts: a short pause of a
// node or a resent packet should fit.
const together, fullFor, overdue = 20 * ms, 100 * ms, 150 * ms

// lookOver sends writes again, and finds overdue legs. One whose node, or source, has shown no sign of life
// since it was sent gets a second copy by another way. Guards against silent caches and parents (vanished,
// cut off, stalled); the gate counts a parent's silence once. A node's long pause may cost a double transfer.
func (r *Router) lookOver() {
	for i := range r.views {
		v := &r.views[i]
		if !v.open || v.streaming {
			continue
		}
		if v.again > 0 && r.now >= v.again {
			r.write(v)
			continue
		}
		for k := range v.n {
			l := &v.legs[k]
			age := r.now - l.sent
			if !l.out || l.nudged || v.sending == 0 || age < 2*l.expect+overdue || l.node == r.origin {
				continue
			}
			silent := none
			switch {
			case v.sized && l.filled && l.gate > 0 && !l.slow && age > 2*v.sending+r.gate.wait &&
				(l.source == r.origin || r.nodes[l.source].slow <= r.nodes[l.source].heard):
				l.slow, r.nodes[l.source].slow = true, r.now
				r.gate.learn(age, true, r.now)
				continue
			case !l.held && age < 2*(l.expect+r.gate.wait)+overdue && l.filled:
				continue // it may well wait for the origin
			case r.nodes[l.node].heard < l.sent:
				silent = l.node
			case !l.filled && !v.sized:
				continue
			case l.source != r.origin && r.set.ResponseDetail == DetailFull && r.nodes[l.source].heard < l.sent:
				silent = l.source
			}
			l.nudged = true
			if silent != none {
				r.bad(silent, badHard)
				r.gate.out.add(-l.gate, r.now) // nothing of it waits for the origin any more
				l.gate = 0
			} else if !v.known {
				continue // it may just be long
			}
			if r.set.Classes[v.tariff].Idempotency == NonIdempotent || r.now > v.due || r.retries < 1 {
				continue
			}
			r.retries--
			if silent == l.source && silent != l.node {
				v.cache = l.node
				r.fill(v, stageOrigin)
			} else if c := r.pick(v); c != none {
				v.cache = c
				r.fill(v, stageRelay)
			}
		}
	}
	r.probe()
	if shut := r.gate.window <= gateLeast; shut != r.gate.shut && (shut || r.gate.window >= gateStart) {
		r.gate.shut = shut
		r.log(map[bool]string{true: "gate shut", false: "gate open"}[shut], r.origin)
	}
}

// probeEach is how often one cache is asked for its load, in turn, where reports come only so, and probeViews
// after how many views: a few in a hundred of them at most, also where each router has few.
const probeEach, probeViews = 500 * ms, 20

// probe asks for the state of the location's link, where no answer tells.
func (r *Router) probe() {
	if r.now < r.probeAt || r.arrived < probeViews || len(r.caches.members) == 0 || !r.set.HealthChecks ||
		r.set.ReportChannel != ReportsWithHealthChecks || !slices.Contains(r.set.ReportColumns, SignalLinkUtilization) {
		return
	}
	r.probeAt, r.arrived = r.now+probeEach, 0
	if n := r.caches.members[int(r.now/probeEach)%len(r.caches.members)]; r.healthy(n) {
		r.act(Action{Kind: ActionHealthCheck, Endpoint: r.nodes[n].id})
	}
}

// reported is how long a report of the location's link tells of it: some times as long as they are apart.
const reported = 2 * time.Second

// report reads a load report. A link whose size the settings tell is as wide as they say.
func (r *Router) report(n int32, rep *LoadReport) {
	for i := range min(rep.Count, len(r.set.ReportColumns)) {
		x := rep.Values[i]
		switch {
		case r.set.ReportColumns[i] == SignalUtilization:
			r.nodes[n].load = x
		case r.set.ReportColumns[i] != SignalLinkUtilization || r.nodes[n].role != roleCache:
		case r.set.inlet() > 0:
			r.inlet.full, r.inlet.heard = r.inlet.full+(x-r.inlet.full)/4, r.now
		case x > 0.2 && r.total(&r.inlet) > 0.5:
			seen := max(1, r.total(&r.inlet)/x)
			if r.inlet.room <= 0 {
				r.inlet.room = seen
			}
			r.inlet.room += (seen - r.inlet.room) / 10
		}
	}
}

// spill is how many caches after the ring's own may take a view that would be late there: more would spread
// copies of everything over the location.
const spill = 1

// pick walks the ring from the view's point to the first cache that may have it: listed, in health, warm
// enough for this object, not asked yet, and predicted in time. If none is in time, it is the first: it may
// hold the object. Where none may have it, its share is not asked of cold caches, only their budget; then,
// where views may not pass the caches by, nor is health: what fails everywhere is shared.
func (r *Router) pick(v *view) int32 {
	p, failing := r.parent(v)
	if failing {
		p = r.origin
	}
	for pass := range 3 {
		first, left := none, spill+1
		found := r.walk(&r.caches, v.hash, func(c int32) bool {
			if pass == 0 && !r.admits(c, v.hash) || pass < 2 && !r.healthy(c) || !r.affordable(v, c) || r.asked(v, c) {
				return false
			}
			if first == none {
				first = c
			}
			left--
			return left < 0 || r.inTime(v, c, p)
		})
		if found != none && left >= 0 {
			return found
		}
		if first != none || pass == 1 && r.set.AllowDirect {
			return first
		}
	}
	return none
}

// admits says whether a node takes the object: all objects once it is warm, while cold the share that it can
// give, chosen by the object's hash, so that all routers agree without talking. Guards rule 4.
func (r *Router) admits(n int32, hash uint64) bool {
	return float64(mix(hash^0xc01d)>>11)/(1<<53) < r.warm(n)
}

// coldSafety is the part of a cold node's budget that all routers together allow themselves: chance must fit
// too. guessCarries stands for what a warm one carries before any was seen to. carriesFor is the span over
// which this is measured by a router alone; one of many sees less and takes longer, to carriesMost.
const (
	coldSafety, guessCarries = 0.6, 1
	carriesFor, carriesMost  = time.Second, 15 * time.Second
)

// carriesOver is the span over which what a node carries for this router is measured.
func (r *Router) carriesOver(n int32) time.Duration {
	return min(carriesMost, time.Duration(float64(carriesFor)/r.part(n)))
}

// affordable says whether a cold node can bear this view from this router now.
func (r *Router) affordable(v *view, n int32) bool {
	if d := &r.nodes[n]; d.paced != d.started && r.warm(n) < 1 {
		// Nothing saved up: all routers hear of its start at about the same time, or start together after it.
		d.paced, d.next = d.started, r.now
		r.charge(v, n, r.rng.float()*(1-r.part(n)))
	}
	return r.warm(n) >= 1 || r.now >= r.nodes[n].next
}

// charge puts the next view to a cold node as far off as this router's part of its budget asks: the stated
// multiple of its link, as told or as others like it were seen to carry for this router at their best (those
// that carried far less tell of little use), times its warmth. What is saved up and may go at once is what
// a window bears beside the turns that go on in it; a router whose part is less waits its turn, from a start
// by chance, so that many together keep the budget.
// Guards rule 4 when the load is far from usual: a lost location, retries, a dead neighbour.
func (r *Router) charge(v *view, n int32, times float64) {
	weight, warm := r.rows[v.tariff].usual.get(), r.warm(n)
	if warm >= 1 {
		return
	}
	if r.rows[v.tariff].usual.n < sizesSeen {
		weight = r.set.Classes[v.tariff].LatencyObjective // until sizes are known: longer than any usual view
	}
	d, sum, count := &r.nodes[n], 0.0, 0.0
	if r.set.WeightIsLinkCapacity {
		sum = d.weight * r.part(n)
	} else {
		for i := range r.nodes {
			o := &r.nodes[i]
			if most := o.carries.most; o.role == d.role && most > 0 && most > sum/max(1, count)/2 {
				sum += most
				count++
			}
		}
	}
	multiple := r.set.OverloadFactor
	if d.role == roleParent {
		multiple = r.set.ParentOverloadFactor
	}
	carries := max(guessCarries*r.part(n), sum/max(1, count))
	rate := max(1e-6, coldSafety*multiple*warm*carries) // a setting that is missing leaves it next to nothing
	gap := time.Duration(float64(weight) / rate)
	saved := time.Duration((1/coldSafety - 1) * float64(r.set.OverloadWindow))
	d.next = max(d.next, r.now-max(0, saved-gap)) + time.Duration(times*float64(gap))
}

// mostFor is how long the peak of a rate is remembered: some times as long as a trouble lasts.
const mostFor = time.Minute

// remapAfter parts a brief failure of a parent from one that moves its arc: the design's 10 s.
const remapAfter = 10 * time.Second

// parent names the ring's parent for the object, and whether it is failing for the moment. A parent that has
// failed for remapAfter has handed its arc to the next one, but for trials.
func (r *Router) parent(v *view) (p int32, failing bool) {
	p = r.walk(&r.parents, v.hash, func(c int32) bool {
		h := &r.nodes[c].health
		lost := h.out && r.now-h.since >= remapAfter && r.now < h.until
		return !lost && r.admits(c, v.hash) && r.affordable(v, c)
	})
	return p, p != none && !r.healthy(p)
}

// nextParent is a healthy parent that the view has not been filled from: where the origin cannot be reached
// for a failing parent's objects.
func (r *Router) nextParent(v *view) int32 {
	return r.walk(&r.parents, v.hash, func(c int32) bool {
		return !v.filledFrom(c) && !r.nodes[c].health.out && r.admits(c, v.hash) && r.affordable(v, c)
	})
}

// relayFor is how long after a list change a moved slot is filled from its former owner: the design's 30 s.
const relayFor = 30 * time.Second

// former is the cache that held the view's slot before it moved, or none. It must still hold it: a cold cache
// holds nothing, and one past its grace must not be asked. A cache that started lately is empty though its
// slot may not have moved: the next of the ring had it meanwhile.
func (r *Router) former(v *view) int32 {
	if r.set.PeerFill == PeerFillNone {
		return none
	}
	good := func(f int32) bool {
		return f != v.cache && r.usable(f) && !r.nodes[f].health.out && r.warm(f) >= 1
	}
	for i := len(r.past) - 1; i >= 0 && r.now-r.past[i].until < relayFor; i-- {
		f := r.walk(&r.past[i].ring, v.hash, func(int32) bool { return true })
		if f != none && good(f) {
			return f
		}
	}
	if r.now-r.nodes[v.cache].started < relayFor {
		return r.walk(&r.caches, v.hash, good)
	}
	return none
}

// trusted is how long a room under one transfer is believed without news: then one goes on trial.
const trusted = 2 * time.Second

// stretch is how many times longer than alone one more transfer takes, on a link that gives a part of its
// room.
func (r *Router) stretch(p *pipe, part float64) float64 {
	if p.room <= 0 {
		return 1
	}
	room := p.room
	if r.now-p.told > trusted {
		room = max(1, room)
	}
	return max(1, (r.total(p)+1)/(room*part))
}

// usualOver is the span over which a link's usual load by this router is measured, to tell what others of its
// kind put on it: some views, even where each router has few.
const usualOver = 5 * time.Second

// stretched parts a transfer at full pace, with the noise of its size and way, from one on a full link.
const stretched = 1.25

// learn takes the stretch of a transfer and how many ran beside it. One at full pace shows that more fit than
// ran; a stretched one how many did, at the least so many: a slow node gives less than one. A tenth forgets
// in some ten transfers; where they are few, each counts twice.
func (p *pipe) learn(stretch, busy, least float64, now time.Duration) {
	pace := 0.1 + 0.1*min(1, (now-p.told).Seconds())
	p.told = now
	switch {
	case stretch < stretched:
		if p.room > 0 && busy+1 > p.room*0.7 {
			p.room += 0.1 * max(1, busy+1-p.room)
		}
	case p.room <= 0:
		p.room = max(least, busy/stretch*1.5)
	default:
		p.room += pace * (max(least, busy/stretch) - p.room)
	}
}

// predict is the time until a leg's answer is through, the part of it that uses the link, and whether a fill
// is expected. src none: the time of a hit.
func (r *Router) predict(v *view, n, src int32) (expect time.Duration, duty float64, filled bool) {
	if r.set.Classes[v.tariff].Write {
		return v.sending, 0, false
	}
	s := r.stretch(&r.nodes[n].pipe, r.warm(n))
	wait := time.Duration(0)
	// A view past the caches comes through the location's link whatever the parent holds.
	far := r.nodes[n].role > roleCache
	filled = far || src != n && src != none && !r.holds(v, n)
	if filled && (far || r.nodes[src].role != roleCache) {
		s = max(s, r.stretch(&r.inlet, 1))
		wait = r.nodes[src].wait
		if src == r.origin {
			wait = r.gate.wait
		}
	}
	grow := growth
	if n == r.own {
		grow = 0 // one transfer after the other, and nobody else's
	}
	send := time.Duration(float64(v.sending) * (s + (s-1)*grow))
	return wait + send, float64(send+ms) / float64(wait+send+ms), filled
}

// margin is what the rest of a prediction may be off. growth is how much more a shared link is stretched,
// over its stretch on arrival, by the views that come while this one is sent: a full link stays full. Both
// were tried: less growth lets views in that end late, more turns back on calm days.
const margin, growth = 1.2, 1.6

// inTime is the admission test. A tenant's views over its allowance must leave room for others'.
func (r *Router) inTime(v *view, n, src int32) bool {
	expect, _, filled := r.predict(v, n, src)
	if filled && r.now < r.nodes[n].full {
		return false
	}
	if v.spare {
		expect *= 2
	}
	return r.now+time.Duration(margin*float64(expect)) <= v.due
}

// The gate limits how many fills that wait for the origin are out at once. It closes when views are late
// after waiting for the origin for half their due time, or it fails, and opens again with each answer in good
// time. Guards against a slow, crowded or stopped origin, and against pushing it over; also holds back fills
// while many caches are empty. It hurts when a few slow answers shut it: then views are turned back that the
// origin could have served.
// gateStart fits a usual load from the start on, but no herd of routers that know nothing yet; gateMost is
// wide, and twice what is out with answers in good time may be more: the gate matters when answers say so.
// gateLeast keeps trials going. Answers within gateEach were under way together and tell one thing. hope is
// the part of the usual wait that a fill may be spared: half of all waits are shorter. 0.7 did no more.
const gateStart, gateMost, gateLeast, gateEach, hope = 8, 24, 1, 100 * ms, 0.5

func (g *gate) learn(wait time.Duration, late bool, now time.Duration) {
	// A running median: waits are skewed, and a few long ones don't make the next one late. Where answers are
	// few, each moves it further.
	step := time.Duration(min(0.4, 0.07+0.15*(now-g.heard).Seconds()) * float64(g.wait))
	if g.heard = now; g.wait == 0 {
		g.wait = wait
	} else if wait > g.wait {
		g.wait += step
	} else {
		g.wait -= step
	}
	if late {
		g.fail(now)
		return
	}
	g.good = now
	g.window = min(max(gateMost, 2*g.out.busy/g.part), g.window+0.5+1.5*g.few())
}

// few is how far a router with a part of a gate must take its few answers to speak for those of others.
func (g *gate) few() float64 { return (1 - g.part) * (1 - g.part) }

func (g *gate) fail(now time.Duration) {
	if now-g.cut >= gateEach {
		g.cut = now
		g.window = max(gateLeast, g.window*(0.75-0.7*g.few()))
	}
}

// A failure moves the rate of failures by this much: an error answer is softer than a lost connection.
const badSoft, badHard = 0.15, 0.3

// sickAt is the rate at which a node goes out: two lost connections, or four errors in a row. Trials begin
// after firstPause, then at twice the distance up to lastPause; wellAfter good ones in a row end them.
const (
	sickAt     = 0.45
	firstPause = time.Second
	lastPause  = 4 * time.Second
	wellAfter  = 3
)

// healthy: in, or due for a trial, which send then counts as begun.
func (r *Router) healthy(n int32) bool {
	h := &r.nodes[n].health
	return !h.out || r.now >= h.until
}

func (r *Router) bad(n int32, by float64) {
	h := &r.nodes[n].health
	h.rate += by * (1 - h.rate)
	h.goods = 0
	h.silent = by == badHard
	if h.out {
		h.pause = min(lastPause, 2*h.pause)
		h.until = r.now + h.pause
	} else if h.rate > sickAt {
		h.out, h.since, h.until, h.pause = true, r.now, r.now+firstPause, firstPause
		r.log("out", n)
	}
}

// good takes an answer to a leg sent at that time. One sent before a silence, or one from a kept copy, shows
// that nothing was lost.
func (r *Router) good(n int32, sent time.Duration, kept bool) {
	d := &r.nodes[n]
	d.heard = r.now
	h := &d.health
	h.rate -= badSoft * h.rate
	if !h.out {
		return
	}
	h.silent = h.silent && sent >= h.since && !kept
	if h.goods++; h.goods >= wellAfter {
		// Gone without a word and back: taken for restarted, so cold and empty. A list may say so too late.
		if h.silent {
			d.started = max(d.started, r.now-firstPause)
		}
		*h = health{}
		r.log("back", n)
	}
}

// memorySize is a power of two, some times what is asked for within heldFor, which is how long a cache is
// expected to hold what was not asked for again.
const memorySize, heldFor = 1 << 14, 10 * time.Second

// holds says whether the node is expected to have the view's object.
func (r *Router) holds(v *view, n int32) bool {
	m := r.recall(v)
	return m != nil && m.at == n && r.now-m.seen < heldFor && m.seen >= r.nodes[n].started
}

// rank is the rank at which a copy is kept: the lowest at first sight, the next when it is asked for again.
func (r *Router) rank(v *view) uint8 {
	if m := r.recall(v); m != nil && m.count > 0 {
		return 2
	}
	return 1
}

// oldest is the oldest copy that will do: 0 for the tariff's own limit, else younger than the last purge. A purge
// makes the tariff's limit stricter, never laxer.
func (r *Router) oldest(v *view) time.Duration {
	oldest, fresh := time.Duration(0), r.set.Classes[v.tariff].FreshFor
	for _, p := range r.purges {
		if r.now-p.at > r.set.PurgeCompleteAfter || p.object != v.object && (p.object != 0 || p.group != v.group) {
			continue
		}
		if age := max(ms, r.now-p.at-ms); (fresh == 0 || age < fresh) && (oldest == 0 || age < oldest) {
			oldest = age
		}
	}
	return oldest
}

// ringPoints a member evens the arcs to some six in a hundred. pastRings are kept for the relay: a deploy
// changes the list every few seconds.
const ringPoints, pastRings = 200, 3
