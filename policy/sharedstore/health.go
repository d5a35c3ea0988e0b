package sharedstore

// What is known of each store and source: how long their answers take, how many commands may be out, what one just
// started may be asked, and when it is out or on trial.

import (
	"math"
	"time"

	"fennelarch/policy/routing"
)

// node is one store.
type node struct {
	id      routing.EndpointID
	mode    mode
	run     uint64
	known   bool          // it was up before
	started time.Duration // of its run, as far as this router knows
	level   float64       // commands that its cold budget gives now
	filled  time.Duration // when the budget was last topped up
	room    bound
	took    average
	lateAt  time.Duration // when the first of the late ones was
	late    int           // gets in a row that were later than they are worth
	trial   OpID          // the get on trial
	pause   time.Duration
	turn    uint64 // of the pause that counts
	full    bool   // it takes no values
	down    bool   // there is no connection
	synced  sync   // of the ledger
}

const (
	firstRoom = 16 // commands out before any answer: a round of clients at most; it grows with each good answer
	leastRoom = 1
	// A limit falls by a tenth with each answer that took twice the usual time, at most once a round trip; three tenths
	// with a refusal or a break.
	slowCut, failCut = 0.9, 0.7
	// Gets in a row that are late before a store counts as slow: one alone is a pause of its own, six cost a few views
	// some milliseconds each.
	lateRun = 6
	// and how long they must go on: under load a pause of the machine makes as many late in one moment.
	lateFor = 50 * ms
	// Pauses before a trial: short enough that a store back is missed by few views, doubled up to what a silent one may
	// cost.
	firstPause, lastPause = 250 * ms, 4 * time.Second
	handshake             = 4   // commands that a new connection asks before anything else
	coldMargin            = 0.8 // of the stated multiple: routers learn of a start at different moments
)

// bound is a limit on what is out at once, that follows how it goes.
type bound struct {
	limit, most float64
	out         int
	cut         time.Duration // when it was last lowered
}

func (b *bound) free() bool { return float64(b.out) < math.Max(leastRoom, b.limit) }

// half leaves the other half to what clients wait for.
func (b *bound) half() bool { return float64(b.out) < math.Max(leastRoom, b.limit/2) }

// good raises the limit: by one until it was first lowered, so that it doubles each round trip of a full load; by one a round
// trip after that.
func (b *bound) good() {
	more := 1.0
	if b.cut > 0 {
		more /= math.Max(1, b.limit)
	}
	b.limit = math.Min(b.most, b.limit+more)
}

// bad lowers the limit by a factor, once for all that was out together.
func (b *bound) bad(by float64, now, each time.Duration) {
	if now-b.cut >= each {
		b.limit, b.cut = math.Max(leastRoom, b.limit*by), now
	}
}

// average follows a time and how far it strays.
type average struct {
	mean, stray float64 // seconds
	n           int
}

// seen is the weight of one answer: twenty are a second or less of any load that matters.
const seen = 0.05

func (a *average) add(d time.Duration) {
	x := d.Seconds()
	if a.n++; a.n == 1 {
		a.mean, a.stray = x, x/2
		return
	}
	w := math.Max(seen, 1/float64(a.n))
	a.stray += w * (math.Abs(x-a.mean) - a.stray)
	a.mean += w * (x - a.mean)
}

// unknown stands for times of which nothing was seen: a fill across two hops with its bytes.
const unknown = 50 * ms

func (a *average) usual() time.Duration {
	if a.n == 0 {
		return unknown
	}
	return time.Duration(a.mean * float64(time.Second))
}

// high is later than nineteen of twenty.
func (a *average) high() time.Duration {
	if a.n == 0 {
		return 2 * unknown
	}
	return time.Duration((a.mean + 2*a.stray) * float64(time.Second))
}

// worth is how long a get may take before the fill begins beside it: later than nearly all gets so far, yet no more than
// half of what the fill takes, and an eighth of what the view still has. Under 2 ms a busy machine looks like a slow store.
func (n *node) worth(fill average, left time.Duration) time.Duration {
	long := n.took.usual() + time.Duration(6*n.took.stray*float64(time.Second))
	if n.took.n == 0 {
		long = unknown / 2
	}
	return max(2*ms, min(long, max(fill.usual()/2, 5*ms), left/8))
}

// share is the part of its capacity that a store has by now.
func (k *Coordinator) share(n *node) float64 {
	if k.set.SlowStartFor <= 0 || k.now-n.started >= k.set.SlowStartFor {
		return 1
	}
	return k.set.SlowStartShare + (1-k.set.SlowStartShare)*float64(k.now-n.started)/float64(k.set.SlowStartFor)
}

// rate is how many commands a second this router may ask of a cold store, so that all routers together, each by this
// alone, stay under the multiple.
func (k *Coordinator) rate(n *node) float64 {
	return k.set.Capacity * k.share(n) * k.set.OverloadFactor * margin / float64(k.set.Routers)
}

func (k *Coordinator) cold(n *node) bool { return k.set.Capacity > 0 && k.share(n) < 1 }

// may says whether so many commands can be asked now: there is room, and a cold store's budget has them.
func (k *Coordinator) may(n *node, commands float64) bool {
	if n.mode == modeOut || !n.room.free() || !k.ready(k.index[n.id]) {
		return false
	}
	if !k.cold(n) {
		return true
	}
	k.top(n)
	return n.level >= commands
}

// top fills the budget up; it holds no more than a fiftieth of a second, or the three commands of one view.
func (k *Coordinator) top(n *node) {
	r := k.rate(n)
	n.level = math.Min(math.Max(3, r/50), n.level+r*(k.now-n.filled).Seconds())
	n.filled = k.now
}

func (k *Coordinator) charge(n *node, commands float64) {
	if k.cold(n) {
		n.level -= commands
	}
}

// mode says whether a leg may ask the store by its mode; on trial only one may, and only one that can be filled.
func (k *Coordinator) mode(n *node, i int32) bool {
	switch n.mode {
	case modeReady, modeCold:
		return true
	case modeTrial:
		if n.trial == 0 && k.ops[i].source != 0 {
			n.trial = k.ops[i].id
			return true
		}
	}
	return false
}

// turn changes a store's mode by the table.
func (k *Coordinator) turn(n *node, s sign) {
	to := moods[n.mode][s]
	if to == n.mode && s != signDown && s != signLate {
		return
	}
	from := n.mode
	n.mode = to
	switch {
	case to == modeOut || to == modeSlow:
		n.trial = 0
		if from == modeReady || from == modeCold {
			n.pause = firstPause
		} else if from == modeTrial {
			n.pause = min(2*max(n.pause, firstPause), lastPause)
		} else {
			break // it is out or slow already and its pause runs
		}
		// Routers that saw one event must not try again in one moment.
		wait := time.Duration(float64(n.pause) * (0.75 + k.rng.float()/2))
		k.timer++
		n.turn = k.timer
		k.do(Action{Kind: ActionTimer, Node: n.id, Wait: wait, Timer: k.timer})
	case to == modeReady:
		n.late, n.pause = 0, 0
	}
	if from != to {
		k.do(Action{Kind: ActionLog, Node: n.id, Text: "store " + modeNames[to]})
	}
}

func (k *Coordinator) pauseOver(e *Event) {
	i, known := k.index[e.Node]
	if !known || k.nodes[i].turn != e.Timer {
		return
	}
	n := &k.nodes[i]
	n.full = false
	switch {
	case n.mode == modeCold && !k.cold(n):
		k.turn(n, signWarm)
	case n.mode == modeCold:
		k.warmAt(n)
	case n.mode == modeOut && n.down:
		return // the carrier brings the connection back, and says so
	default:
		k.turn(n, signPause)
	}
}

// warmAt has the store looked at again when its cold time is over.
func (k *Coordinator) warmAt(n *node) {
	k.timer++
	n.turn = k.timer
	k.do(Action{Kind: ActionTimer, Node: n.id, Wait: max(ms, n.started+k.set.SlowStartFor-k.now), Timer: k.timer})
}

// link takes news of a store's connection.
func (k *Coordinator) link(e *Event) {
	i, known := k.index[e.Node]
	if !known {
		return
	}
	n := &k.nodes[i]
	switch e.Kind {
	case EventDown:
		n.down, n.synced = true, sync{}
		k.turn(n, signDown)
		return
	case EventLost:
		// Its process is as warm as before, but its data has gone: sources must not get at once what it served.
		k.fresh(n, k.now)
		return
	}
	n.down, n.synced = false, sync{}
	n.full = false
	again := n.known && n.run == e.Run
	n.known, n.run = true, e.Run
	if started := k.now - e.Age; !again && (k.set.SlowStartFor > e.Age) {
		k.fresh(n, started)
		return
	}
	if n.mode == modeOut {
		k.turn(n, signUp)
	}
}

// fresh takes a store for just started: its budget begins with what the connection itself has asked already.
func (k *Coordinator) fresh(n *node, started time.Duration) {
	n.started, n.level, n.filled = started, 1-handshake, k.now
	n.room.limit = math.Min(n.room.limit, firstRoom)
	n.took, n.late = average{}, 0
	k.turn(n, signFresh)
	k.warmAt(n)
	if k.set.Capacity <= 0 {
		k.do(Action{Kind: ActionCold, Node: n.id, Wait: k.now - started})
	}
}

// refusals are what a store's own words mean for it: whether it is out, or only takes no values.
var refusals = [...]struct {
	out, full bool
	text      string
}{
	ReplyLoading:  {out: true, text: "store reads its data in"},
	ReplyFull:     {full: true, text: "store has no memory left: nothing is stored"},
	ReplyReadOnly: {full: true, text: "store takes no writes: nothing is stored"},
	ReplyDenied:   {out: true, text: "store refuses this user"},
	ReplyBusy:     {out: true, text: "store is busy"},
	ReplyMoved:    {out: true, text: "store is part of a cluster, which is not served: the key belongs elsewhere"},
	ReplyOdd:      {},
	ReplyBroken:   {},
}

// answered takes the end of a command at a store, whatever became of the leg.
func (k *Coordinator) answered(n *node, e *Event) {
	n.room.out = max(0, n.room.out-1)
	trial := n.trial == e.Op
	if trial {
		n.trial = 0
	}
	if e.Reply >= ReplyLoading {
		n.room.bad(failCut, k.now, n.took.usual())
		what := refusals[e.Reply]
		switch {
		case what.out:
			if n.mode != modeOut {
				k.do(Action{Kind: ActionLog, Node: n.id, Text: what.text})
			}
			k.turn(n, signDown)
		case what.full && !n.full:
			k.do(Action{Kind: ActionLog, Node: n.id, Text: what.text})
			n.full = true
			k.timer++
			n.turn = k.timer
			k.do(Action{Kind: ActionTimer, Node: n.id, Wait: lastPause, Timer: k.timer})
		case trial && e.Reply == ReplyBroken:
			k.turn(n, signDown)
		}
		return
	}
	if e.Kind == EventGot {
		inTime := e.Took <= max(2*ms, max(k.fillIn.usual()/2, 5*ms))
		switch {
		case inTime:
			n.late = 0
			k.turn(n, signGood)
		case trial:
			k.turn(n, signLate)
		}
		if e.Took > 2*n.took.usual()+ms {
			n.room.bad(slowCut, k.now, n.took.usual())
		} else {
			n.room.good()
		}
	}
	n.took.add(e.Took)
}

// overdue counts a get that is later than it is worth.
func (k *Coordinator) overdue(n *node, o OpID) {
	if n.late++; n.late == 1 {
		n.lateAt = k.now
	}
	n.room.bad(slowCut, k.now, n.took.usual())
	if n.late >= lateRun && k.now-n.lateAt >= lateFor || n.trial == o {
		n.late = 0
		k.turn(n, signLate)
	}
}

// source is the limit on fills from one source.
func (k *Coordinator) source(id routing.EndpointID) *bound {
	b := k.fills[id]
	if b == nil {
		b = &bound{limit: firstFills, most: fillsMost}
		k.fills[id] = b
	}
	return b
}

// firstFills is what a source is taken to bear before any answer: what one busy router without a store has out there at its
// start. fillsMost is far over that, and what it may add to in bad times.
const firstFills, fillsMost = 64, 256

// filled takes the end of a fill: what it says of the source, and of the time that fills take.
func (k *Coordinator) filled(o *op, e *Event) {
	b := k.source(o.source)
	b.out = max(0, b.out-1)
	switch e.Outcome {
	case routing.Succeeded:
		k.fillIn.add(e.Took)
		b.good()
	case routing.CacheMiss:
		b.good()
	case routing.Cancelled, routing.NotSent:
	default:
		b.bad(failCut, k.now, k.fillIn.usual())
	}
}

// rng is a permuted congruential generator, 32 bits out of 64.
type rng struct{ state uint64 }

func newRNG(seed uint64) rng {
	r := rng{seed + 0x9e3779b97f4a7c15}
	r.next()
	return r
}

func (r *rng) next() uint32 {
	old := r.state
	r.state = old*6364136223846793005 + 1442695040888963407
	x, rot := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return x>>rot | x<<((-rot)&31)
}

func (r *rng) float() float64 { return float64(r.next()) / (1 << 32) }

// margin is the part of the stated multiple that routers allow themselves: they learn of a start at different moments, and
// what one connection asks at its greeting comes on top.
var margin = 0.8
