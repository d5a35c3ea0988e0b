package sharedstore

import (
	"fmt"
	"slices"
	"time"

	"fennelarch/policy/routing"
)

// A world stands round a Keeper: stores that answer anything at any time, sources, purges and a list, moved by draws. It
// checks after every step what must always hold, and at its end that nothing is left open.
type world struct {
	k       *Coordinator
	now     time.Duration
	draw    func(n int) int // 0 to n-1
	bad     error
	asked   map[OperationID]*wish
	pending []*answer
	timers  []Action
	values  map[copyKey]*value
	states  map[routing.EndpointID]routing.EndpointState
	told    map[routing.EndpointID]time.Duration
	purges  map[routing.ObjectID]Timestamp
	leases  map[copyKey]time.Duration
	room    map[routing.EndpointID]int
	last    OperationID
	upRun   map[routing.EndpointID]uint64
	cmds    []time.Duration // to a store in its cold time
	calm    bool            // nothing fails, for the end
	kinds   map[string]int
}

type wish struct {
	op              OperationID
	node, source    routing.EndpointID
	object          routing.ObjectID
	at, due         time.Duration
	least           Timestamp
	ends, forgotten int
	cancelled       bool
	copy            Timestamp // born, of what the leg holds
	filling         bool
	fillAt          time.Duration
}

type answer struct {
	a  Action
	w  *wish
	to routing.EndpointID
	at time.Duration
}

type value struct{ born, valid Timestamp }

const (
	storeS  routing.EndpointID = 11
	storeT  routing.EndpointID = 12
	parentP routing.EndpointID = 21
	originO routing.EndpointID = 22
)

const epoch Timestamp = 1_700_000_000_000

func newWorld(set Settings, draw func(int) int) *world {
	w := &world{
		draw: draw, now: time.Second, asked: map[OperationID]*wish{}, values: map[copyKey]*value{}, states: map[routing.EndpointID]routing.EndpointState{},
		told: map[routing.EndpointID]time.Duration{}, purges: map[routing.ObjectID]Timestamp{}, leases: map[copyKey]time.Duration{}, room: map[routing.EndpointID]int{},
		upRun: map[routing.EndpointID]uint64{}, kinds: map[string]int{},
	}
	set.Epoch = epoch
	w.k = New(set, 7, storeS, storeT)
	for _, n := range []routing.EndpointID{storeS, storeT, parentP, originO} {
		w.states[n] = routing.Ready
		w.tell(&Event{Kind: EventEndpointState, Endpoint: n, State: routing.Ready})
	}
	for _, n := range []routing.EndpointID{storeS, storeT} {
		w.upRun[n] = 1
		w.tell(&Event{Kind: EventConnected, Endpoint: n, RunID: 1, Age: time.Hour})
	}
	return w
}

func (w *world) fail(format string, a ...any) {
	if w.bad == nil {
		w.bad = fmt.Errorf("at %v: %s", w.now, fmt.Sprintf(format, a...))
	}
}

func (w *world) wall() Timestamp { return epoch + Timestamp(w.now/ms) }

func (w *world) tell(e *Event) {
	acts := slices.Clone(w.k.Handle(w.now, e, nil))
	for _, a := range acts {
		w.obey(a)
	}
}

// command checks a command to a store.
func (w *world) command(x *wish, a Action) {
	if w.states[x.node] != routing.Ready && w.now > w.told[x.node] {
		w.fail("a command to a store that was told to leave")
	}
	if x.forgotten > 0 {
		w.fail("a command for a leg that is forgotten")
	}
	if a.Kind != ActionReleaseLease {
		w.room[x.node]++
		w.pending = append(w.pending, &answer{a: a, w: x, to: x.node, at: w.now})
	}
	w.cmds = append(w.cmds, w.now)
}

func (w *world) obey(a Action) {
	x := w.asked[a.Operation]
	switch a.Kind {
	case ActionSetTimer:
		w.timers = append(w.timers, Action{Operation: a.Operation, Endpoint: a.Endpoint, TimerID: a.TimerID, Wait: w.now + a.Wait})
		if a.Wait < 0 {
			w.fail("a timer in the past")
		}
	case ActionGet, ActionAcquireLease, ActionSet, ActionReleaseLease:
		w.command(x, a)
		if a.Kind == ActionSet {
			if a.Wait <= 0 || a.Wait > w.k.settings.MaxTTL {
				w.fail("a copy stays for %v", a.Wait)
			}
			if a.ValidFrom < x.copy || a.ValidFrom > w.wall() {
				w.fail("a copy is called valid from %d", a.ValidFrom)
			}
		}
		if a.Kind == ActionReleaseLease {
			delete(w.leases, copyKey{x.object, 0})
		}
	case ActionStartFill:
		if x.filling {
			w.fail("two fills of one leg")
		}
		if s := w.states[x.source]; s != routing.Ready && !(w.told[x.source] <= x.at && w.now-x.at <= w.k.settings.DrainGrace/10) {
			w.fail("a fill from a source that was told to leave %v ago", w.now-w.told[x.source])
		}
		if x.source == 0 {
			w.fail("a fill from nowhere")
		}
		if p := w.purges[x.object]; p > 0 && w.wall() > p+1 && (a.MaxAge == 0 || w.wall()-Timestamp(a.MaxAge/ms) <= p) {
			w.fail("a fill that may bring a copy from before a purge")
		}
		x.filling, x.fillAt = true, w.now
		w.pending = append(w.pending, &answer{a: a, w: x, at: w.now})
	case ActionAbortFill:
		x.filling = false
		w.pending = slices.DeleteFunc(w.pending, func(p *answer) bool { return p.w == x && p.a.Kind == ActionStartFill })
	case ActionComplete:
		if x.ends++; x.ends > 1 || x.cancelled {
			w.fail("leg %d ends again", a.Operation)
		}
		w.kinds[fmt.Sprint("end ", a.Outcome)]++
		if a.Outcome == routing.Succeeded {
			from := w.asked[a.CopyFrom]
			if from == nil || from.object != x.object || from.forgotten > 0 {
				w.fail("an answer from a copy that is not there")
				return
			}
			if from.copy <= w.purges[x.object] {
				w.fail("a copy from before a purge: %d, purged %d", from.copy, w.purges[x.object])
			}
			if a.Note == routing.NoteHit && from.copy < x.least {
				w.fail("a copy older than asked for")
			}
			if a.CopyFrom != a.Operation {
				w.kinds["shared"]++
			}
		}
	case ActionForget:
		if x.forgotten++; x.forgotten > 1 {
			w.fail("leg %d is forgotten twice", a.Operation)
		}
		if x.ends == 0 && !x.cancelled {
			w.fail("leg %d is forgotten without an end", a.Operation)
		}
		if x.filling {
			w.fail("leg %d is forgotten with a fill out", a.Operation)
		}
	case ActionAnnounceStart:
		w.kinds["cold"]++
	}
}

func (w *world) ask(source routing.EndpointID, due, age time.Duration) *wish {
	w.last++
	x := &wish{op: w.last, node: storeS, source: source, object: routing.ObjectID(1 + w.draw(3)), at: w.now, due: w.now + due}
	if age > 0 {
		x.least = w.wall() - Timestamp(age/ms)
	}
	w.asked[x.op] = x
	w.tell(&Event{
		Kind: EventRequest, Operation: x.op, Endpoint: x.node, Source: source, Object: x.object, UntilObjective: due, UntilDeadline: due + time.Second, Age: age,
		OnlyIfCached: source == originO && w.draw(4) == 0,
	})
	return x
}

// reply answers one thing that is out.
func (w *world) reply(i int) {
	p := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	x, took := p.w, w.now-p.at
	at := copyKey{x.object, 0}
	if p.a.Kind == ActionStartFill {
		x.filling = false
		e := Event{Kind: EventFillDone, Operation: x.op, Elapsed: took, Outcome: routing.Succeeded, Note: routing.NoteHit, BodyBytes: 100, GeneratedAt: w.wall()}
		if n := w.draw(12); !w.calm && n < 4 {
			e = Event{Kind: EventFillDone, Operation: x.op, Elapsed: took, Outcome: []routing.Outcome{routing.CacheMiss, routing.Overloaded, routing.ConnectionBroken, routing.TimedOut}[n]}
		} else if n < 6 {
			e.GeneratedAt -= Timestamp(w.draw(4000)) // the source had it
		}
		if e.Outcome == routing.Succeeded && x.ends == 0 {
			x.copy = e.GeneratedAt
		}
		w.tell(&e)
		return
	}
	w.room[p.to]--
	e := Event{Operation: x.op, Endpoint: p.to, Elapsed: took}
	broken := !w.calm && w.draw(10) == 0
	word := Reply(int(ReplyLoading) + w.draw(int(ReplyDisconnected-ReplyLoading)+1))
	switch p.a.Kind {
	case ActionGet:
		e.Kind = EventGetDone
		if v := w.values[at]; v != nil && w.draw(12) > 0 {
			e.Reply, e.GeneratedAt, e.ValidFrom = ReplyHit, v.born, v.valid
			if !broken && x.ends == 0 {
				x.copy = v.born
			}
		} else if e.Reply = ReplyMiss; w.draw(6) == 0 {
			e.Reply = ReplyCorrupt
		}
	case ActionAcquireLease:
		e.Kind, e.Reply = EventLeaseDone, ReplyOK
		if w.leases[at] > w.now || w.draw(5) == 0 {
			e.Reply = ReplyLeaseHeld
		} else {
			w.leases[at] = w.now + p.a.Wait
		}
	case ActionSet:
		e.Kind, e.Reply = EventSetDone, ReplyOK
		if !broken {
			w.values[at] = &value{x.copy, p.a.ValidFrom}
		}
	}
	if broken {
		e.Reply = word
	}
	w.kinds[fmt.Sprint("reply ", e.Kind, e.Reply)]++
	w.tell(&e)
}

// pass moves time on and lets timers go off on the way.
func (w *world) pass(d time.Duration) {
	for end := w.now + d; ; {
		next := -1
		for i, t := range w.timers {
			if t.Wait <= end && (next < 0 || t.Wait < w.timers[next].Wait) {
				next = i
			}
		}
		if next < 0 {
			w.now = end
			return
		}
		t := w.timers[next]
		w.timers = slices.Delete(w.timers, next, next+1)
		w.now = max(w.now, t.Wait)
		w.tell(&Event{Kind: EventTimer, Operation: t.Operation, Endpoint: t.Endpoint, TimerID: t.TimerID})
	}
}

func (w *world) step() {
	switch n := w.draw(40); {
	case n < 12:
		w.ask([]routing.EndpointID{parentP, parentP, originO, 0}[w.draw(4)], time.Duration(20+w.draw(600))*ms, time.Duration(w.draw(3))*time.Second)
	case n < 28 && len(w.pending) > 0:
		w.reply(w.draw(len(w.pending)))
	case n < 34:
		w.pass(time.Duration(w.draw(40)) * ms)
	case n == 34:
		w.pass(time.Duration(w.draw(2000)) * ms)
	case n == 35:
		o := routing.ObjectID(1 + w.draw(3))
		w.purges[o] = w.wall()
		w.k.RecordInvalidation(w.now, Invalidation{Object: o, IssuedAt: w.wall()})
	case n == 36:
		id := []routing.EndpointID{storeS, parentP, originO}[w.draw(3)]
		to := routing.EndpointState(w.draw(3))
		if w.states[id] != to {
			w.states[id], w.told[id] = to, w.now
			w.tell(&Event{Kind: EventEndpointState, Endpoint: id, State: to})
		}
	case n == 37:
		if w.draw(2) == 0 {
			w.tell(&Event{Kind: EventDisconnected, Endpoint: storeS})
		}
		if w.draw(3) == 0 {
			w.upRun[storeS]++
			w.values = map[copyKey]*value{}
			w.tell(&Event{Kind: EventConnected, Endpoint: storeS, RunID: w.upRun[storeS]})
			return
		}
		w.tell(&Event{Kind: EventConnected, Endpoint: storeS, RunID: w.upRun[storeS], Age: time.Hour})
	case n == 38 && w.last > 0:
		x := w.asked[OperationID(1+w.draw(int(w.last)))]
		if x.ends == 0 && !x.cancelled {
			x.cancelled = true
			w.tell(&Event{Kind: EventCancel, Operation: x.op})
		}
	}
	if w.k.stores[0].limit.inFlight != w.room[storeS] {
		w.fail("%d commands are out, %d counted", w.room[storeS], w.k.stores[0].limit.inFlight)
	}
}

// finish answers all that is out, and looks whether anything is left.
func (w *world) finish() {
	w.calm = true
	for _, id := range []routing.EndpointID{storeS, parentP, originO} {
		w.states[id] = routing.Ready
		w.tell(&Event{Kind: EventEndpointState, Endpoint: id, State: routing.Ready})
	}
	w.tell(&Event{Kind: EventConnected, Endpoint: storeS, RunID: w.upRun[storeS], Age: time.Hour})
	for i := 0; i < 4000 && w.k.InFlight() > 0; i++ {
		if len(w.pending) > 0 {
			w.reply(0)
		} else {
			w.pass(50 * ms)
		}
	}
	w.pass(time.Minute)
	for len(w.pending) > 0 {
		w.reply(0) // a trial's get, say
	}
	for _, x := range w.asked {
		if x.ends == 0 && !x.cancelled {
			w.fail("leg %d has no end", x.op)
		}
		if x.forgotten == 0 {
			w.fail("leg %d is not forgotten", x.op)
		}
	}
	for _, b := range w.k.fillLimits {
		if b.inFlight != 0 {
			w.fail("%d fills are still counted", b.inFlight)
		}
	}
	if len(w.k.leaderByKey) > 0 {
		w.fail("%d keys are still joined", len(w.k.leaderByKey))
	}
	// No mode is a dead end: a store that is well is used again.
	for range 40 {
		if w.k.stores[0].state == healthReady {
			return
		}
		w.pass(maxBackoff * 2)
		w.ask(parentP, time.Second, 0)
		for len(w.pending) > 0 {
			w.pass(ms / 4)
			w.reply(0)
		}
	}
	w.fail("a store that is well stays %s", healthStateNames[w.k.stores[0].state])
}

func plainSet() Settings {
	return Settings{
		Routers: 4, Capacity: 1000, SlowStartShare: 0.1, SlowStartFor: 5 * time.Second, OverloadFactor: 1, MaxInFlight: 64, MaxValueBytes: 1 << 18,
		MaxTTL: 10 * time.Minute, DrainGrace: time.Second, PurgeCompleteAfter: time.Second, Lease: true,
	}
}
