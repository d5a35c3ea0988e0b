package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

const ms = time.Millisecond

// op is one leg to a store.
type op struct {
	id       OpID
	node     int32 // of the slab of stores
	stage    stage
	over     bool // the leg has ended; what remains is a set
	leased   bool // the lease is ours
	looked   bool // it waited for another's fill
	filling  bool // a fill is out
	held     bool
	source   routing.EndpointID
	key      key
	group    routing.GroupID
	asked    time.Duration
	due, end time.Duration // of the view and of the leg
	least    Timestamp     // born before this will not do
	keep     time.Duration
	filled   time.Duration // when the fill began
	turn     uint64        // of the timer that counts
	lead     int32         // the leg that this one joined, or none
	joined   int32         // the first of those that joined this one
	next     int32         // the next of those that joined the same
	born     Timestamp
	size     int
	unfit    *Event // what the source said while the get was still out
}

type key struct {
	object routing.ObjectID
	part   int
}

const none int32 = -1

// Coordinator holds all decisions on shared stores of one router. It is not safe for use by several goroutines.
type Coordinator struct {
	set    Settings
	now    time.Duration
	acts   []Action
	ops    []op
	free   []int32
	byID   map[OpID]int32
	byKey  map[key]int32 // the leg that others may join
	nodes  []node
	index  map[routing.EndpointID]int32
	states map[routing.EndpointID]listed // what the list says of all nodes
	fills  map[routing.EndpointID]*bound // by source
	fillIn average                       // the usual time of a fill
	ledger ledger
	giver  OpID // of the copy that is being shared
	rng    rng
	timer  uint64
	Counts Counts
}

type listed struct {
	state routing.EndpointState
	since time.Duration
}

// WithDefaults returns the settings with what was not told filled in: a store of which nothing is told is taken for one that
// starts like a cache does, and no copy is kept for longer than purges can be remembered in a fixed place.
func (s Settings) WithDefaults(r *routing.Settings) Settings {
	if s.Routers <= 0 {
		if s.Routers = r.Routers; int(r.Zone) < len(r.ZoneRouters) {
			s.Routers = r.ZoneRouters[r.Zone]
		}
	}
	if s.SlowStartShare <= 0 {
		s.SlowStartShare, s.SlowStartFor = r.SlowStartShare, r.SlowStartFor
	}
	if s.OverloadFactor <= 0 {
		s.OverloadFactor = 1 // nothing is known of how much more one bears
	}
	if s.MaxInFlight <= 0 {
		s.MaxInFlight = 128 // a millisecond's work of a store that does a hundred thousand commands a second
	}
	if s.MaxTTL <= 0 {
		s.MaxTTL = 10 * time.Minute // a few purges a second fit the ledger
	}
	s.DrainGrace, s.PurgeCompleteAfter = r.DrainGrace, r.PurgeCompleteAfter
	return s
}

// UpdateSettings takes settings that changed while the router runs; what copies and ledgers rest on stays.
func (k *Coordinator) UpdateSettings(s Settings) {
	s.Epoch, s.MaxTTL = k.set.Epoch, k.set.MaxTTL
	s.Routers = max(1, s.Routers)
	k.set = s
	for i := range k.nodes {
		k.nodes[i].room.most = float64(max(1, s.MaxInFlight))
	}
}

// New returns decisions on the stores named, of which nothing is known.
func New(set Settings, seed uint64, stores ...routing.EndpointID) *Coordinator {
	k := &Coordinator{
		set: set, byID: map[OpID]int32{}, byKey: map[key]int32{}, index: map[routing.EndpointID]int32{},
		states: map[routing.EndpointID]listed{}, fills: map[routing.EndpointID]*bound{}, rng: newRNG(seed),
	}
	k.set.Routers = max(1, set.Routers)
	k.ledger = newLedger(set.Epoch, set.MaxTTL)
	for _, id := range stores {
		k.index[id] = int32(len(k.nodes))
		k.nodes = append(k.nodes, node{id: id, started: routing.LongAgo, room: bound{limit: firstRoom, most: float64(max(1, set.MaxInFlight))}})
	}
	return k
}

// Handle takes one event and appends what is to be done.
func (k *Coordinator) Handle(now time.Duration, e *Event, acts []Action) []Action {
	k.now, k.acts = max(now, k.now), acts
	switch e.Kind {
	case EventAsk:
		k.arrive(e)
	case EventTimer:
		k.alarm(e)
	case EventUp, EventDown, EventLost:
		k.link(e)
	case EventState:
		if l, known := k.states[e.Node]; !known || l.state != e.State {
			k.states[e.Node] = listed{e.State, k.now}
		}
		if e.State == routing.Gone {
			delete(k.fills, e.Node)
		}
		for id, l := range k.states { // nodes come and go for months
			if l.state == routing.Gone && k.now-l.since > goneFor {
				delete(k.states, id)
			}
		}
	default:
		if n, known := k.index[e.Node]; known && (e.Kind == EventGot || e.Kind == EventLeased || e.Kind == EventSet) {
			k.answered(&k.nodes[n], e)
		}
		if i, known := k.byID[e.Op]; known {
			k.heard(i, e)
		}
	}
	acts, k.acts = k.acts, nil
	return acts
}

// goneFor is how long a node that is gone is remembered: longer than any leg lasts that may have named it.
const goneFor = time.Minute

func (k *Coordinator) do(a Action) { k.acts = append(k.acts, a) }

// InFlight is how many legs and sets are not over.
func (k *Coordinator) InFlight() int { return len(k.byID) }

// arrive takes a new leg.
func (k *Coordinator) arrive(e *Event) {
	n, known := k.index[e.Node]
	if !known {
		k.do(Action{Kind: ActionEnd, Op: e.Op, Outcome: routing.ConnectFailed})
		k.do(Action{Kind: ActionForget, Op: e.Op})
		return
	}
	i := k.take()
	o := &k.ops[i]
	*o = op{
		id: e.Op, node: n, held: e.Held, source: e.Source, key: key{e.Object, e.Part}, group: e.Group, asked: k.now,
		due: k.now + min(e.Due, e.Left), end: k.now + e.Left, keep: e.Keep, lead: none, joined: none, next: none,
	}
	if e.Age > 0 {
		o.least = k.wall() - Timestamp(e.Age/ms)
	}
	k.byID[e.Op] = i
	if lead, open := k.byKey[o.key]; open && k.ops[lead].node == n && k.ops[lead].due <= o.due+joinSlack {
		k.join(i, lead)
		return
	}
	k.apply(i, step{stageGet, ask})
}

// join has a leg wait for another one of this router that is after the same copy.
func (k *Coordinator) join(i, lead int32) {
	k.Counts.Joined++
	o, l := &k.ops[i], &k.ops[lead]
	o.stage, o.lead, o.next = stageJoin, lead, l.joined
	l.joined = i
	k.await(i, k.patience(o))
}

// joinSlack is how much sooner a leg may be due than the one it joins: a fill's usual time differs by as much.
const joinSlack = 50 * ms

// patience is how long a leg may wait for what somebody else does: so long that a fill of its own would still be in time,
// and no longer than waitMost past the usual time of a fill.
func (k *Coordinator) patience(o *op) time.Duration {
	return max(0, min(o.due-k.now-k.fillIn.high(), o.asked+k.fillIn.usual()+waitMost-k.now))
}

// waitMost: the views' decisions take a leg for overdue 150 ms past twice its prediction, send another copy and blame its
// source; a fill begun after the wait must end before that. Found when holders were killed: the origin's gate shut.
const waitMost = 100 * ms

func (k *Coordinator) take() int32 {
	if n := len(k.free); n > 0 {
		i := k.free[n-1]
		k.free = k.free[:n-1]
		return i
	}
	k.ops = append(k.ops, op{})
	return int32(len(k.ops) - 1)
}

// wall is the time by the Unix clock.
func (k *Coordinator) wall() Timestamp { return k.set.Epoch + Timestamp(k.now/ms) }

// await sets the leg's timer; an earlier one does not count any more.
func (k *Coordinator) await(i int32, wait time.Duration) {
	k.timer++
	k.ops[i].turn = k.timer
	k.do(Action{Kind: ActionTimer, Op: k.ops[i].id, Wait: wait, Timer: k.timer})
}

func (k *Coordinator) alarm(e *Event) {
	if e.Op == 0 {
		k.pauseOver(e)
		return
	}
	if i, known := k.byID[e.Op]; known && k.ops[i].turn == e.Timer {
		k.Counts.Overdue++
		if o := &k.ops[i]; o.stage == stageGet || o.stage == stageLook {
			k.overdue(&k.nodes[o.node], o.id)
		}
		k.input(i, inLate)
	}
}

// heard takes what came of a command or a fill.
func (k *Coordinator) heard(i int32, e *Event) {
	o := &k.ops[i]
	switch e.Kind {
	case EventCancel:
		k.cancel(i)
		return
	case EventFilled:
		o.filling = false
		k.filled(o, e)
		if e.Outcome == routing.Succeeded {
			o.born, o.size = e.Born, e.Size
			if e.Born > 0 && !k.ledger.newer(o.key.object, o.group, e.Born) {
				// The source had the copy from before a purge: it may not be handed on, and another way is found.
				k.Counts.Old++
				k.end(i, OpID(0), routing.CacheMiss, routing.NoteSourceMiss, e.Waited)
				return
			}
			k.input(i, inFilled, e)
			return
		}
		k.input(i, inUnfit, e)
		return
	}
	switch {
	case e.Kind == EventSet:
		k.input(i, inStored)
	case e.Kind == EventLeased && e.Reply == ReplyDone:
		if o.leased = true; o.stage == stageTake {
			k.input(i, inTook)
		} else if !o.filling {
			k.release(o) // it came too late to be of use
		}
	case e.Kind == EventLeased && e.Reply == ReplyTaken:
		k.input(i, inTaken)
	case e.Kind == EventGot && e.Reply == ReplyHit:
		switch {
		case steps[o.stage][inHit] == (step{}): // the leg needs it no more
		case e.Born < o.least || k.ahead(e.Born, e.Valid) || !k.ledger.proves(o.key.object, o.group, e.Born, e.Valid):
			k.Counts.Old++
			k.input(i, inMiss)
		default:
			k.Counts.Hits++
			o.born = e.Born
			k.input(i, inHit)
		}
	case e.Kind == EventGot && (e.Reply == ReplyMiss || e.Reply == ReplySpoilt):
		k.Counts.Misses++
		if e.Reply == ReplySpoilt {
			k.Counts.Spoilt++
		}
		k.input(i, inMiss)
	default:
		k.input(i, inFailed)
	}
}

// input looks a leg's next step up and does it.
func (k *Coordinator) input(i int32, in input, e ...*Event) {
	if s := steps[k.ops[i].stage][in]; s != (step{}) {
		k.apply(i, s, e...)
	}
}

func (k *Coordinator) apply(i int32, s step, e ...*Event) {
	o := &k.ops[i]
	o.stage, o.turn = s.next, 0
	switch s.effect {
	case ask:
		k.ask(i)
	case look:
		if n := &k.nodes[o.node]; !k.may(n, 2) {
			o.stage = stageFill
			k.fill(i)
		} else {
			k.get(n, i)
		}
	case serve:
		note, waited := k.waited(o, routing.NoteHit, 0)
		k.end(i, o.id, routing.Succeeded, note, waited)
	case lease:
		k.lease(i)
	case wait:
		k.wait(i)
	case fill:
		k.fill(i)
	case hedge:
		if o.source == 0 || k.now-o.asked > 0 && o.end <= k.now || !k.begin(i) {
			o.stage = stageGet // the get is all that there is
		}
	case await:
		o.unfit = &Event{Outcome: e[0].Outcome, Note: e[0].Note, Waited: e[0].Waited}
	case hand:
		k.hand(i, e[0])
	case lack:
		k.lack(i, e[0])
	case share:
		k.end(i, k.giver, routing.Succeeded, routing.NoteCoalesced, k.now-o.asked)
	case again:
		if lead, open := k.byKey[o.key]; open && lead != i {
			k.join(i, lead)
			return
		}
		k.ask(i)
	case rest:
		k.forget(i)
	}
}

// ask begins with the store, or passes it by.
func (k *Coordinator) ask(i int32) {
	o := &k.ops[i]
	k.leave(i)
	if _, open := k.byKey[o.key]; !open {
		k.byKey[o.key] = i
	}
	n := &k.nodes[o.node]
	if k.may(n, 1) && k.mode(n, i) {
		k.get(n, i)
		return
	}
	if o.source == 0 {
		// Nothing to pass it by with: say so at once, that the view may go elsewhere.
		k.refuse(i)
		return
	}
	k.Counts.Passed++
	o.stage = stageFill
	k.fill(i)
}

func (k *Coordinator) refuse(i int32) {
	k.Counts.Refused++
	o := &k.ops[i]
	switch {
	case k.nodes[o.node].mode == modeOut:
		k.end(i, 0, routing.ConnectFailed, routing.NoteNone, 0)
	case o.source == 0:
		// Not that there is no place: the views' decisions would name no source for 100 ms, and so it would go on.
		k.end(i, 0, routing.CacheMiss, routing.NoteSourceMiss, 0)
	default:
		k.end(i, 0, routing.Overloaded, routing.NoteNoFillCapacity, 0)
	}
}

func (k *Coordinator) get(n *node, i int32) {
	k.Counts.Gets++
	k.charge(n, 1)
	n.room.out++
	k.do(Action{Kind: ActionGet, Op: k.ops[i].id})
	if k.ops[i].source != 0 {
		k.await(i, n.worth(k.fillIn, k.ops[i].due-k.now))
	}
}

// lease asks for the right to fill. It is not worth asking where the source gives only what it holds, where another fill
// would be too late to wait for, or where nothing can be stored.
func (k *Coordinator) lease(i int32) {
	o := &k.ops[i]
	n := &k.nodes[o.node]
	switch {
	case o.unfit != nil:
		k.lack(i, o.unfit)
	case o.source == 0:
		k.end(i, 0, routing.CacheMiss, routing.NoteSourceMiss, 0)
	case !k.set.Lease || o.held || k.patience(o) < k.fillIn.high() || n.full || !k.may(n, 2):
		o.stage = stageFill
		k.fill(i)
	default:
		k.charge(n, 1)
		n.room.out++
		k.Counts.Leases++
		k.do(Action{Kind: ActionLease, Op: o.id, Wait: k.leaseFor()})
		k.await(i, n.worth(k.fillIn, o.due-k.now))
	}
}

// A lease lasts half as long again as a fill that is later than nearly all: a slow holder mostly keeps it, and those that
// wait for a dead one find it free before their patience ends. The bounds are a round trip to a far store, and a view's patience.
func (k *Coordinator) leaseFor() time.Duration {
	return min(max(3*k.fillIn.high()/2, 50*ms), 3*time.Second)
}

// wait gives the holder of the lease the time in which nearly all fills are done, then a quarter of a usual one again and
// again, as long as a fill of the leg's own would be in time after it.
func (k *Coordinator) wait(i int32) {
	o := &k.ops[i]
	each := k.fillIn.high()
	if o.looked {
		each = k.fillIn.usual() / 4
	}
	each = max(each, 2*ms)
	o.looked = true
	k.Counts.Waits++
	if each > k.patience(o) {
		o.stage = stageFill
		k.fill(i)
		return
	}
	k.await(i, each)
}

// fill begins a fill, or ends the leg with no place.
func (k *Coordinator) fill(i int32) {
	o := &k.ops[i]
	switch {
	case o.unfit != nil:
		k.lack(i, o.unfit)
	case k.begin(i):
	case o.source == 0:
		k.end(i, 0, routing.CacheMiss, routing.NoteSourceMiss, 0)
	default:
		k.refuse(i)
	}
}

// begin asks the source, where that is still allowed and has room.
func (k *Coordinator) begin(i int32) bool {
	o := &k.ops[i]
	if o.source == 0 || o.filling || k.now >= o.end || !k.mayFill(o) {
		return o.filling
	}
	b := k.source(o.source)
	if !b.free() {
		return false
	}
	b.out++
	o.filling, o.filled = true, k.now
	k.Counts.Fills++
	least := max(o.least, k.ledger.last(o.key.object, o.group)+1)
	age := time.Duration(0)
	if least > 1 {
		age = max(ms, time.Duration(k.wall()-least)*ms)
	}
	k.do(Action{Kind: ActionFill, Op: o.id, Age: age})
	return true
}

// mayFill: a source that was told to leave since the leg was asked for is not begun with; one that was leaving already
// was named in its grace, which lasts for what begins at once.
func (k *Coordinator) mayFill(o *op) bool {
	l, known := k.states[o.source]
	if !known || l.state == routing.Ready {
		return true
	}
	return l.since <= o.asked && k.now-o.asked <= k.set.DrainGrace/10
}

// hand ends the leg with what the fill brought, and stores it where that is worth it.
func (k *Coordinator) hand(i int32, e *Event) {
	o := &k.ops[i]
	n := &k.nodes[o.node]
	note := routing.NoteFilled
	if e.Note == routing.NoteFilled || e.Note == routing.NoteViaOrigin {
		note = routing.NoteViaOrigin
	}
	keep := k.stay(o)
	stores := o.born > 0 && o.size > 0 && o.size <= k.set.MaxValueBytes && keep > 0 && !n.full && n.mode >= modeCold &&
		n.room.half() && k.may(n, 1)
	note, waited := k.waited(o, note, e.Waited)
	k.end(i, o.id, routing.Succeeded, note, waited)
	o = &k.ops[i]
	if !stores {
		k.close(i)
		return
	}
	k.Counts.Sets++
	k.charge(n, 1)
	n.room.out++
	k.do(Action{Kind: ActionSet, Op: o.id, Wait: keep, Valid: k.valid(o)})
	if o.leased && k.now-o.filled < k.leaseFor()/2 {
		k.release(o)
	}
}

// waited is how a success reads. One that waited for another's fill first tells nothing of store or source: what is learned
// of both must not come to hold the wait.
func (k *Coordinator) waited(o *op, n routing.Note, w time.Duration) (routing.Note, time.Duration) {
	if o.looked {
		return routing.NoteCoalesced, k.now - o.asked
	}
	return n, w
}

// valid is the moment before which no purge can have been missed on a copy's way here: its birth, or, for an old copy of a
// source that had dropped by then what was purged, the time when that was asked.
func (k *Coordinator) valid(o *op) Timestamp {
	if k.set.PurgeCompleteAfter <= 0 {
		return o.born
	}
	return max(o.born, k.set.Epoch+Timestamp((o.filled-k.set.PurgeCompleteAfter)/ms))
}

// stay is how long a copy may stay: its tariff's time from its birth on, and from its validity on no longer than purges
// are remembered.
func (k *Coordinator) stay(o *op) time.Duration {
	long := k.set.MaxTTL - time.Duration(max(0, k.wall()-k.valid(o)))*ms
	if o.keep > 0 {
		long = min(long, o.keep-time.Duration(max(0, k.wall()-o.born))*ms)
	}
	return long
}

func (k *Coordinator) ready(n int32) bool {
	l, known := k.states[k.nodes[n].id]
	return !known || l.state == routing.Ready
}

// release gives the lease back, while it is surely still ours.
func (k *Coordinator) release(o *op) {
	if o.leased && k.ready(o.node) {
		k.do(Action{Kind: ActionUnlease, Op: o.id})
		k.charge(&k.nodes[o.node], 1)
	}
	o.leased = false
}

// lacks says how a source's answer reads as the answer of a cache that filled from it.
var lacks = map[routing.Outcome]routing.Note{
	routing.CacheMiss: routing.NoteSourceMiss, routing.Overloaded: routing.NoteSourceRefused,
	routing.Failed: routing.NoteSourceUnreachable, routing.TimedOut: routing.NoteSourceUnreachable, routing.ConnectionBroken: routing.NoteSourceUnreachable,
	routing.ConnectFailed: routing.NoteSourceUnreachable, routing.NotSent: routing.NoteSourceUnreachable, routing.Cancelled: routing.NoteSourceUnreachable,
}

func (k *Coordinator) lack(i int32, e *Event) {
	o := &k.ops[i]
	note := lacks[e.Outcome]
	switch e.Note {
	case routing.NoteSourceRefused, routing.NoteSourceUnreachable, routing.NoteOriginFailed:
		// The source is a parent and speaks of the origin behind it.
		note = routing.NoteOriginFailed
	}
	k.release(o)
	k.end(i, 0, routing.CacheMiss, note, e.Waited)
}

// cancel ends a leg that is not wanted any more.
func (k *Coordinator) cancel(i int32) {
	o := &k.ops[i]
	if o.over {
		return
	}
	o.over = true
	k.pass(i, routing.Cancelled, routing.NoteNone, false)
	k.close(i)
}

// end gives the leg's answer; those that joined it get theirs from the same copy, or go on alone.
func (k *Coordinator) end(i int32, from OpID, outcome routing.Outcome, note routing.Note, waited time.Duration) {
	o := &k.ops[i]
	if o.over {
		return
	}
	o.over = true
	k.do(Action{Kind: ActionEnd, Op: o.id, From: from, Outcome: outcome, Note: note, Waited: waited})
	k.pass(i, outcome, note, outcome == routing.CacheMiss || outcome == routing.Failed)
	if k.ops[i].stage != stageKeep {
		k.close(i)
	}
}

// close lets go of what an ended leg still has out.
func (k *Coordinator) close(i int32) {
	o := &k.ops[i]
	if o.filling {
		k.source(o.source).out--
		o.filling = false
		k.do(Action{Kind: ActionDropFill, Op: o.id})
	}
	k.release(o)
	k.forget(i)
}

// pass tells those that joined a leg of its end. Where its source failed, it failed for those that name the same one.
func (k *Coordinator) pass(i int32, outcome routing.Outcome, note routing.Note, heard bool) {
	id, born, source, held, at := k.ops[i].id, k.ops[i].born, k.ops[i].source, k.ops[i].held, k.ops[i].key
	if k.byKey[at] == i {
		delete(k.byKey, at)
	}
	for j := k.ops[i].joined; j != none; j = k.ops[i].joined {
		k.leave(j)
		w := &k.ops[j]
		switch {
		case outcome == routing.Succeeded && (born >= w.least || born == 0 && w.least == 0):
			k.giver = id
			w.born = born
			k.input(j, inShared)
		case heard && outcome != routing.Succeeded && w.source == source && w.held == held:
			k.end(j, 0, outcome, note, 0)
		default:
			k.input(j, inAlone)
		}
	}
}

// leave takes a leg out of the list of those that joined another.
func (k *Coordinator) leave(i int32) {
	o := &k.ops[i]
	if o.lead == none {
		return
	}
	for at := &k.ops[o.lead].joined; *at != none; at = &k.ops[*at].next {
		if *at == i {
			*at = o.next
			break
		}
	}
	o.lead, o.next = none, none
}

// forget frees a leg's place. An answer to a command that is still out counts for the store all the same: the carrier
// tells it as EventGot with the node alone.
func (k *Coordinator) forget(i int32) {
	o := &k.ops[i]
	k.leave(i)
	if k.byKey[o.key] == i {
		delete(k.byKey, o.key)
	}
	k.do(Action{Kind: ActionForget, Op: o.id})
	delete(k.byID, o.id)
	k.free = append(k.free, i)
}
