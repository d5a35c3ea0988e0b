package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

const ms = time.Millisecond

// operation is one leg to a store.
type operation struct {
	id                  OperationID
	store               int32 // of the slab of stores
	state               operationState
	isComplete          bool // the leg has ended; what remains is a set
	hasLease            bool // the lease is ours
	waitedForHolder     bool // it waited for another's fill
	isFilling           bool // a fill is out
	onlyIfCached        bool
	source              routing.EndpointID
	key                 copyKey
	group               routing.GroupID
	startedAt           time.Duration
	objective, deadline time.Duration // of the view and of the leg
	minGeneratedAt      Timestamp     // born before this will not do
	ttl                 time.Duration
	fillStartedAt       time.Duration // when the fill began
	timerID             uint64        // of the timer that counts
	leader              int32         // the leg that this one joined, or none
	firstFollower       int32         // the first of those that joined this one
	nextFollower        int32         // the next of those that joined the same
	generatedAt         Timestamp
	bodyBytes           int
	fillFailure         *Event // what the source said while the get was still out
}

type copyKey struct {
	object routing.ObjectID
	part   int
}

const noOperation int32 = -1

// Coordinator holds all decisions on shared stores of one router. It is not safe for use by several goroutines.
type Coordinator struct {
	settings    Settings
	now         time.Duration
	actions     []Action
	operations  []operation
	freeSlots   []int32
	slotByID    map[OperationID]int32
	leaderByKey map[copyKey]int32 // the leg that others may join
	stores      []store
	storeIndex  map[routing.EndpointID]int32
	endpoints   map[routing.EndpointID]listed            // what the list says of all nodes
	fillLimits  map[routing.EndpointID]*concurrencyLimit // by source
	fillTime    latencyEstimate                          // the usual time of a fill
	log         invalidationLog
	sharedFrom  OperationID // of the copy that is being shared
	random      rng
	lastTimerID uint64
	Counts      Counts
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
	s.Epoch, s.MaxTTL = k.settings.Epoch, k.settings.MaxTTL
	s.Routers = max(1, s.Routers)
	k.settings = s
	for i := range k.stores {
		k.stores[i].limit.max = float64(max(1, s.MaxInFlight))
	}
}

// New returns decisions on the stores named, of which nothing is known.
func New(set Settings, seed uint64, stores ...routing.EndpointID) *Coordinator {
	k := &Coordinator{
		settings: set, slotByID: map[OperationID]int32{}, leaderByKey: map[copyKey]int32{}, storeIndex: map[routing.EndpointID]int32{},
		endpoints: map[routing.EndpointID]listed{}, fillLimits: map[routing.EndpointID]*concurrencyLimit{}, random: newRNG(seed),
	}
	k.settings.Routers = max(1, set.Routers)
	k.log = newLedger(set.Epoch, set.MaxTTL)
	for _, id := range stores {
		k.storeIndex[id] = int32(len(k.stores))
		k.stores = append(k.stores, store{id: id, started: routing.LongAgo, limit: concurrencyLimit{limit: firstRoom, max: float64(max(1, set.MaxInFlight))}})
	}
	return k
}

// Handle takes one event and appends what is to be done.
func (k *Coordinator) Handle(now time.Duration, e *Event, acts []Action) []Action {
	k.now, k.actions = max(now, k.now), acts
	switch e.Kind {
	case EventRequest:
		k.arrive(e)
	case EventTimer:
		k.alarm(e)
	case EventConnected, EventDisconnected, EventDataLost:
		k.link(e)
	case EventEndpointState:
		if l, known := k.endpoints[e.Endpoint]; !known || l.state != e.State {
			k.endpoints[e.Endpoint] = listed{e.State, k.now}
		}
		if e.State == routing.Gone {
			delete(k.fillLimits, e.Endpoint)
		}
		for id, l := range k.endpoints { // nodes come and go for months
			if l.state == routing.Gone && k.now-l.since > goneFor {
				delete(k.endpoints, id)
			}
		}
	default:
		if n, known := k.storeIndex[e.Endpoint]; known && (e.Kind == EventGetDone || e.Kind == EventLeaseDone || e.Kind == EventSetDone) {
			k.answered(&k.stores[n], e)
		}
		if i, known := k.slotByID[e.Operation]; known {
			k.heard(i, e)
		}
	}
	acts, k.actions = k.actions, nil
	return acts
}

// goneFor is how long a node that is gone is remembered: longer than any leg lasts that may have named it.
const goneFor = time.Minute

func (k *Coordinator) do(a Action) { k.actions = append(k.actions, a) }

// InFlight is how many legs and sets are not over.
func (k *Coordinator) InFlight() int { return len(k.slotByID) }

// arrive takes a new leg.
func (k *Coordinator) arrive(e *Event) {
	n, known := k.storeIndex[e.Endpoint]
	if !known {
		k.do(Action{Kind: ActionComplete, Operation: e.Operation, Outcome: routing.ConnectFailed})
		k.do(Action{Kind: ActionForget, Operation: e.Operation})
		return
	}
	i := k.take()
	o := &k.operations[i]
	*o = operation{
		id: e.Operation, store: n, onlyIfCached: e.OnlyIfCached, source: e.Source, key: copyKey{e.Object, e.Part}, group: e.Group, startedAt: k.now,
		objective: k.now + min(e.UntilObjective, e.UntilDeadline), deadline: k.now + e.UntilDeadline, ttl: e.TTL, leader: noOperation, firstFollower: noOperation, nextFollower: noOperation,
	}
	if e.Age > 0 {
		o.minGeneratedAt = k.wallClock() - Timestamp(e.Age/ms)
	}
	k.slotByID[e.Operation] = i
	if lead, open := k.leaderByKey[o.key]; open && k.operations[lead].store == n && k.operations[lead].objective <= o.objective+joinSlack {
		k.join(i, lead)
		return
	}
	k.apply(i, transition{stateGetting, ask})
}

// join has a leg wait for another one of this router that is after the same copy.
func (k *Coordinator) join(i, lead int32) {
	k.Counts.Joined++
	o, l := &k.operations[i], &k.operations[lead]
	o.state, o.leader, o.nextFollower = stateJoined, lead, l.firstFollower
	l.firstFollower = i
	k.await(i, k.maxWait(o))
}

// joinSlack is how much sooner a leg may be due than the one it joins: a fill's usual time differs by as much.
const joinSlack = 50 * ms

// maxWait is how long a leg may wait for what somebody else does: so long that a fill of its own would still be in time,
// and no longer than waitMost past the usual time of a fill.
func (k *Coordinator) maxWait(o *operation) time.Duration {
	return max(0, min(o.objective-k.now-k.fillTime.high(), o.startedAt+k.fillTime.usual()+waitMost-k.now))
}

// waitMost: the views' decisions take a leg for overdue 150 ms past twice its prediction, send another copy and blame its
// source; a fill begun after the wait must end before that. Found when holders were killed: the origin's gate shut.
const waitMost = 100 * ms

func (k *Coordinator) take() int32 {
	if n := len(k.freeSlots); n > 0 {
		i := k.freeSlots[n-1]
		k.freeSlots = k.freeSlots[:n-1]
		return i
	}
	k.operations = append(k.operations, operation{})
	return int32(len(k.operations) - 1)
}

// wallClock is the time by the Unix clock.
func (k *Coordinator) wallClock() Timestamp { return k.settings.Epoch + Timestamp(k.now/ms) }

// await sets the leg's timer; an earlier one does not count any more.
func (k *Coordinator) await(i int32, wait time.Duration) {
	k.lastTimerID++
	k.operations[i].timerID = k.lastTimerID
	k.do(Action{Kind: ActionSetTimer, Operation: k.operations[i].id, Wait: wait, TimerID: k.lastTimerID})
}

func (k *Coordinator) alarm(e *Event) {
	if e.Operation == 0 {
		k.pauseOver(e)
		return
	}
	if i, known := k.slotByID[e.Operation]; known && k.operations[i].timerID == e.TimerID {
		k.Counts.Overdue++
		if o := &k.operations[i]; o.state == stateGetting || o.state == stateGettingAgain {
			k.overdue(&k.stores[o.store], o.id)
		}
		k.input(i, inputTimeout)
	}
}

// heard takes what came of a command or a fill.
func (k *Coordinator) heard(i int32, e *Event) {
	o := &k.operations[i]
	switch e.Kind {
	case EventCancel:
		k.cancel(i)
		return
	case EventFillDone:
		o.isFilling = false
		k.filled(o, e)
		if e.Outcome == routing.Succeeded {
			o.generatedAt, o.bodyBytes = e.GeneratedAt, e.BodyBytes
			if e.GeneratedAt > 0 && !k.log.newer(o.key.object, o.group, e.GeneratedAt) {
				// The source had the copy from before a purge: it may not be handed on, and another way is found.
				k.Counts.Old++
				k.end(i, OperationID(0), routing.CacheMiss, routing.NoteSourceMiss, e.FirstByteWait)
				return
			}
			k.input(i, inputFilled, e)
			return
		}
		k.input(i, inputFillFailed, e)
		return
	}
	switch {
	case e.Kind == EventSetDone:
		k.input(i, inputStored)
	case e.Kind == EventLeaseDone && e.Reply == ReplyOK:
		if o.hasLease = true; o.state == stateAcquiringLease {
			k.input(i, inputLeaseAcquired)
		} else if !o.isFilling {
			k.release(o) // it came too late to be of use
		}
	case e.Kind == EventLeaseDone && e.Reply == ReplyLeaseHeld:
		k.input(i, inputLeaseHeld)
	case e.Kind == EventGetDone && e.Reply == ReplyHit:
		switch {
		case operationTransitions[o.state][inputHit] == (transition{}): // the leg needs it no more
		case e.GeneratedAt < o.minGeneratedAt || k.isInFuture(e.GeneratedAt, e.ValidFrom) || !k.log.proves(o.key.object, o.group, e.GeneratedAt, e.ValidFrom):
			k.Counts.Old++
			k.input(i, inputMiss)
		default:
			k.Counts.Hits++
			o.generatedAt = e.GeneratedAt
			k.input(i, inputHit)
		}
	case e.Kind == EventGetDone && (e.Reply == ReplyMiss || e.Reply == ReplyCorrupt):
		k.Counts.Misses++
		if e.Reply == ReplyCorrupt {
			k.Counts.Spoilt++
		}
		k.input(i, inputMiss)
	default:
		k.input(i, inputStoreFailed)
	}
}

// input looks a leg's next step up and does it.
func (k *Coordinator) input(i int32, in operationInput, e ...*Event) {
	if s := operationTransitions[k.operations[i].state][in]; s != (transition{}) {
		k.apply(i, s, e...)
	}
}

func (k *Coordinator) apply(i int32, s transition, e ...*Event) {
	o := &k.operations[i]
	o.state, o.timerID = s.next, 0
	switch s.effect {
	case ask:
		k.ask(i)
	case look:
		if n := &k.stores[o.store]; !k.may(n, 2) {
			o.state = stateFilling
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
		if o.source == 0 || k.now-o.startedAt > 0 && o.deadline <= k.now || !k.begin(i) {
			o.state = stateGetting // the get is all that there is
		}
	case await:
		o.fillFailure = &Event{Outcome: e[0].Outcome, Note: e[0].Note, FirstByteWait: e[0].FirstByteWait}
	case hand:
		k.hand(i, e[0])
	case lack:
		k.lack(i, e[0])
	case share:
		k.end(i, k.sharedFrom, routing.Succeeded, routing.NoteCoalesced, k.now-o.startedAt)
	case again:
		if lead, open := k.leaderByKey[o.key]; open && lead != i {
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
	o := &k.operations[i]
	k.leave(i)
	if _, open := k.leaderByKey[o.key]; !open {
		k.leaderByKey[o.key] = i
	}
	n := &k.stores[o.store]
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
	o.state = stateFilling
	k.fill(i)
}

func (k *Coordinator) refuse(i int32) {
	k.Counts.Refused++
	o := &k.operations[i]
	switch {
	case k.stores[o.store].state == healthUnavailable:
		k.end(i, 0, routing.ConnectFailed, routing.NoteNone, 0)
	case o.source == 0:
		// Not that there is no place: the views' decisions would name no source for 100 ms, and so it would go on.
		k.end(i, 0, routing.CacheMiss, routing.NoteSourceMiss, 0)
	default:
		k.end(i, 0, routing.Overloaded, routing.NoteNoFillCapacity, 0)
	}
}

func (k *Coordinator) get(n *store, i int32) {
	k.Counts.Gets++
	k.charge(n, 1)
	n.limit.inFlight++
	k.do(Action{Kind: ActionGet, Operation: k.operations[i].id})
	if k.operations[i].source != 0 {
		k.await(i, n.worth(k.fillTime, k.operations[i].objective-k.now))
	}
}

// lease asks for the right to fill. It is not worth asking where the source gives only what it holds, where another fill
// would be too late to wait for, or where nothing can be stored.
func (k *Coordinator) lease(i int32) {
	o := &k.operations[i]
	n := &k.stores[o.store]
	switch {
	case o.fillFailure != nil:
		k.lack(i, o.fillFailure)
	case o.source == 0:
		k.end(i, 0, routing.CacheMiss, routing.NoteSourceMiss, 0)
	case !k.settings.Lease || o.onlyIfCached || k.maxWait(o) < k.fillTime.high() || n.full || !k.may(n, 2):
		o.state = stateFilling
		k.fill(i)
	default:
		k.charge(n, 1)
		n.limit.inFlight++
		k.Counts.Leases++
		k.do(Action{Kind: ActionAcquireLease, Operation: o.id, Wait: k.leaseFor()})
		k.await(i, n.worth(k.fillTime, o.objective-k.now))
	}
}

// A lease lasts half as long again as a fill that is later than nearly all: a slow holder mostly keeps it, and those that
// wait for a dead one find it free before their patience ends. The bounds are a round trip to a far store, and a view's patience.
func (k *Coordinator) leaseFor() time.Duration {
	return min(max(3*k.fillTime.high()/2, 50*ms), 3*time.Second)
}

// wait gives the holder of the lease the time in which nearly all fills are done, then a quarter of a usual one again and
// again, as long as a fill of the leg's own would be in time after it.
func (k *Coordinator) wait(i int32) {
	o := &k.operations[i]
	each := k.fillTime.high()
	if o.waitedForHolder {
		each = k.fillTime.usual() / 4
	}
	each = max(each, 2*ms)
	o.waitedForHolder = true
	k.Counts.Waits++
	if each > k.maxWait(o) {
		o.state = stateFilling
		k.fill(i)
		return
	}
	k.await(i, each)
}

// fill begins a fill, or ends the leg with no place.
func (k *Coordinator) fill(i int32) {
	o := &k.operations[i]
	switch {
	case o.fillFailure != nil:
		k.lack(i, o.fillFailure)
	case k.begin(i):
	case o.source == 0:
		k.end(i, 0, routing.CacheMiss, routing.NoteSourceMiss, 0)
	default:
		k.refuse(i)
	}
}

// begin asks the source, where that is still allowed and has room.
func (k *Coordinator) begin(i int32) bool {
	o := &k.operations[i]
	if o.source == 0 || o.isFilling || k.now >= o.deadline || !k.mayFill(o) {
		return o.isFilling
	}
	b := k.source(o.source)
	if !b.free() {
		return false
	}
	b.inFlight++
	o.isFilling, o.fillStartedAt = true, k.now
	k.Counts.Fills++
	least := max(o.minGeneratedAt, k.log.last(o.key.object, o.group)+1)
	age := time.Duration(0)
	if least > 1 {
		age = max(ms, time.Duration(k.wallClock()-least)*ms)
	}
	k.do(Action{Kind: ActionStartFill, Operation: o.id, MaxAge: age})
	return true
}

// mayFill: a source that was told to leave since the leg was asked for is not begun with; one that was leaving already
// was named in its grace, which lasts for what begins at once.
func (k *Coordinator) mayFill(o *operation) bool {
	l, known := k.endpoints[o.source]
	if !known || l.state == routing.Ready {
		return true
	}
	return l.since <= o.startedAt && k.now-o.startedAt <= k.settings.DrainGrace/10
}

// hand ends the leg with what the fill brought, and stores it where that is worth it.
func (k *Coordinator) hand(i int32, e *Event) {
	o := &k.operations[i]
	n := &k.stores[o.store]
	note := routing.NoteFilled
	if e.Note == routing.NoteFilled || e.Note == routing.NoteViaOrigin {
		note = routing.NoteViaOrigin
	}
	keep := k.stay(o)
	stores := o.generatedAt > 0 && o.bodyBytes > 0 && o.bodyBytes <= k.settings.MaxValueBytes && keep > 0 && !n.full && n.state >= healthWarmingUp &&
		n.limit.half() && k.may(n, 1)
	note, waited := k.waited(o, note, e.FirstByteWait)
	k.end(i, o.id, routing.Succeeded, note, waited)
	o = &k.operations[i]
	if !stores {
		k.close(i)
		return
	}
	k.Counts.Sets++
	k.charge(n, 1)
	n.limit.inFlight++
	k.do(Action{Kind: ActionSet, Operation: o.id, Wait: keep, ValidFrom: k.valid(o)})
	if o.hasLease && k.now-o.fillStartedAt < k.leaseFor()/2 {
		k.release(o)
	}
}

// waited is how a success reads. One that waited for another's fill first tells nothing of store or source: what is learned
// of both must not come to hold the wait.
func (k *Coordinator) waited(o *operation, n routing.Note, w time.Duration) (routing.Note, time.Duration) {
	if o.waitedForHolder {
		return routing.NoteCoalesced, k.now - o.startedAt
	}
	return n, w
}

// valid is the moment before which no purge can have been missed on a copy's way here: its birth, or, for an old copy of a
// source that had dropped by then what was purged, the time when that was asked.
func (k *Coordinator) valid(o *operation) Timestamp {
	if k.settings.PurgeCompleteAfter <= 0 {
		return o.generatedAt
	}
	return max(o.generatedAt, k.settings.Epoch+Timestamp((o.fillStartedAt-k.settings.PurgeCompleteAfter)/ms))
}

// stay is how long a copy may stay: its tariff's time from its birth on, and from its validity on no longer than purges
// are remembered.
func (k *Coordinator) stay(o *operation) time.Duration {
	long := k.settings.MaxTTL - time.Duration(max(0, k.wallClock()-k.valid(o)))*ms
	if o.ttl > 0 {
		long = min(long, o.ttl-time.Duration(max(0, k.wallClock()-o.generatedAt))*ms)
	}
	return long
}

func (k *Coordinator) ready(n int32) bool {
	l, known := k.endpoints[k.stores[n].id]
	return !known || l.state == routing.Ready
}

// release gives the lease back, while it is surely still ours.
func (k *Coordinator) release(o *operation) {
	if o.hasLease && k.ready(o.store) {
		k.do(Action{Kind: ActionReleaseLease, Operation: o.id})
		k.charge(&k.stores[o.store], 1)
	}
	o.hasLease = false
}

// lacks says how a source's answer reads as the answer of a cache that filled from it.
var lacks = map[routing.Outcome]routing.Note{
	routing.CacheMiss: routing.NoteSourceMiss, routing.Overloaded: routing.NoteSourceRefused,
	routing.Failed: routing.NoteSourceUnreachable, routing.TimedOut: routing.NoteSourceUnreachable, routing.ConnectionBroken: routing.NoteSourceUnreachable,
	routing.ConnectFailed: routing.NoteSourceUnreachable, routing.NotSent: routing.NoteSourceUnreachable, routing.Cancelled: routing.NoteSourceUnreachable,
}

func (k *Coordinator) lack(i int32, e *Event) {
	o := &k.operations[i]
	note := lacks[e.Outcome]
	switch e.Note {
	case routing.NoteSourceRefused, routing.NoteSourceUnreachable, routing.NoteOriginFailed:
		// The source is a parent and speaks of the origin behind it.
		note = routing.NoteOriginFailed
	}
	k.release(o)
	k.end(i, 0, routing.CacheMiss, note, e.FirstByteWait)
}

// cancel ends a leg that is not wanted any more.
func (k *Coordinator) cancel(i int32) {
	o := &k.operations[i]
	if o.isComplete {
		return
	}
	o.isComplete = true
	k.pass(i, routing.Cancelled, routing.NoteNone, false)
	k.close(i)
}

// end gives the leg's answer; those that joined it get theirs from the same copy, or go on alone.
func (k *Coordinator) end(i int32, from OperationID, outcome routing.Outcome, note routing.Note, waited time.Duration) {
	o := &k.operations[i]
	if o.isComplete {
		return
	}
	o.isComplete = true
	k.do(Action{Kind: ActionComplete, Operation: o.id, CopyFrom: from, Outcome: outcome, Note: note, FirstByteWait: waited})
	k.pass(i, outcome, note, outcome == routing.CacheMiss || outcome == routing.Failed)
	if k.operations[i].state != stateStoring {
		k.close(i)
	}
}

// close lets go of what an ended leg still has out.
func (k *Coordinator) close(i int32) {
	o := &k.operations[i]
	if o.isFilling {
		k.source(o.source).inFlight--
		o.isFilling = false
		k.do(Action{Kind: ActionAbortFill, Operation: o.id})
	}
	k.release(o)
	k.forget(i)
}

// pass tells those that joined a leg of its end. Where its source failed, it failed for those that name the same one.
func (k *Coordinator) pass(i int32, outcome routing.Outcome, note routing.Note, heard bool) {
	id, born, source, held, at := k.operations[i].id, k.operations[i].generatedAt, k.operations[i].source, k.operations[i].onlyIfCached, k.operations[i].key
	if k.leaderByKey[at] == i {
		delete(k.leaderByKey, at)
	}
	for j := k.operations[i].firstFollower; j != noOperation; j = k.operations[i].firstFollower {
		k.leave(j)
		w := &k.operations[j]
		switch {
		case outcome == routing.Succeeded && (born >= w.minGeneratedAt || born == 0 && w.minGeneratedAt == 0):
			k.sharedFrom = id
			w.generatedAt = born
			k.input(j, inputCopyShared)
		case heard && outcome != routing.Succeeded && w.source == source && w.onlyIfCached == held:
			k.end(j, 0, outcome, note, 0)
		default:
			k.input(j, inputLeaderFailed)
		}
	}
}

// leave takes a leg out of the list of those that joined another.
func (k *Coordinator) leave(i int32) {
	o := &k.operations[i]
	if o.leader == noOperation {
		return
	}
	for at := &k.operations[o.leader].firstFollower; *at != noOperation; at = &k.operations[*at].nextFollower {
		if *at == i {
			*at = o.nextFollower
			break
		}
	}
	o.leader, o.nextFollower = noOperation, noOperation
}

// forget frees a leg's place. An answer to a command that is still out counts for the store all the same: the carrier
// tells it as EventGetDone with the node alone.
func (k *Coordinator) forget(i int32) {
	o := &k.operations[i]
	k.leave(i)
	if k.leaderByKey[o.key] == i {
		delete(k.leaderByKey, o.key)
	}
	k.do(Action{Kind: ActionForget, Operation: o.id})
	delete(k.slotByID, o.id)
	k.freeSlots = append(k.freeSlots, i)
}
