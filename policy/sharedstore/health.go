package sharedstore

// What is known of each store and source: how long their answers take, how many commands may be out, what one just
// started may be asked, and when it is out or on trial.

import (
	"math"
	"time"

	"fennelarch/policy/routing"
)

// store is one store.
type store struct {
	id      routing.EndpointID
	state   healthState
	run     uint64
	known   bool          // it was up before
	started time.Duration // of its run, as far as this router knows
	level   float64       // commands that its cold budget gives now
	filled  time.Duration // when the budget was last topped up
	limit   concurrencyLimit
	latency latencyEstimate
	lateAt  time.Duration // when the first of the late ones was
	late    int           // gets in a row that were later than they are worth
	trial   OperationID   // the get on trial
	pause   time.Duration
	turn    uint64 // of the pause that counts
	full    bool   // it takes no values
	down    bool   // there is no connection
	logSync sync   // of the ledger
}

const (
	firstRoom = 16 // commands out before any answer: a round of clients at most; it grows with each good answer
	leastRoom = 1
	// A limit falls by a tenth with each answer that took twice the usual time, at most once a round trip; three tenths
	// with a refusal or a break.
	slowCut, failCut = 0.9, 0.7
	// Gets in a row that are late before a store counts as slow: one alone is a pause of its own, six cost a few views
	// some milliseconds each.
	lateGetsUntilSlow = 6
	// and how long they must go on: under load a pause of the machine makes as many late in one moment.
	lateFor = 50 * ms
	// Pauses before a trial: short enough that a store back is missed by few views, doubled up to what a silent one may
	// cost.
	minBackoff, maxBackoff = 250 * ms, 4 * time.Second
	handshake              = 4   // commands that a new connection asks before anything else
	coldMargin             = 0.8 // of the stated multiple: routers learn of a start at different moments
)

// concurrencyLimit is a limit on what is out at once, that follows how it goes.
type concurrencyLimit struct {
	limit, max float64
	inFlight   int
	reducedAt  time.Duration // when it was last lowered
}

func (b *concurrencyLimit) free() bool { return float64(b.inFlight) < math.Max(leastRoom, b.limit) }

// half leaves the other half to what clients wait for.
func (b *concurrencyLimit) half() bool { return float64(b.inFlight) < math.Max(leastRoom, b.limit/2) }

// good raises the limit: by one until it was first lowered, so that it doubles each round trip of a full load; by one a round
// trip after that.
func (b *concurrencyLimit) good() {
	more := 1.0
	if b.reducedAt > 0 {
		more /= math.Max(1, b.limit)
	}
	b.limit = math.Min(b.max, b.limit+more)
}

// bad lowers the limit by a factor, once for all that was out together.
func (b *concurrencyLimit) bad(by float64, now, each time.Duration) {
	if now-b.reducedAt >= each {
		b.limit, b.reducedAt = math.Max(leastRoom, b.limit*by), now
	}
}

// latencyEstimate follows a time and how far it strays.
type latencyEstimate struct {
	mean, deviation float64 // seconds
	samples         int
}

// seen is the weight of one answer: twenty are a second or less of any load that matters.
const seen = 0.05

func (a *latencyEstimate) add(d time.Duration) {
	x := d.Seconds()
	if a.samples++; a.samples == 1 {
		a.mean, a.deviation = x, x/2
		return
	}
	w := math.Max(seen, 1/float64(a.samples))
	a.deviation += w * (math.Abs(x-a.mean) - a.deviation)
	a.mean += w * (x - a.mean)
}

// unknown stands for times of which nothing was seen: a fill across two hops with its bytes.
const unknown = 50 * ms

func (a *latencyEstimate) usual() time.Duration {
	if a.samples == 0 {
		return unknown
	}
	return time.Duration(a.mean * float64(time.Second))
}

// high is later than nineteen of twenty.
func (a *latencyEstimate) high() time.Duration {
	if a.samples == 0 {
		return 2 * unknown
	}
	return time.Duration((a.mean + 2*a.deviation) * float64(time.Second))
}

// worth is how long a get may take before the fill begins beside it: later than nearly all gets so far, yet no more than
// half of what the fill takes, and an eighth of what the view still has. Under 2 ms a busy machine looks like a slow store.
func (n *store) worth(fill latencyEstimate, left time.Duration) time.Duration {
	long := n.latency.usual() + time.Duration(6*n.latency.deviation*float64(time.Second))
	if n.latency.samples == 0 {
		long = unknown / 2
	}
	return max(2*ms, min(long, max(fill.usual()/2, 5*ms), left/8))
}

// share is the part of its capacity that a store has by now.
func (k *Coordinator) share(n *store) float64 {
	if k.settings.SlowStartFor <= 0 || k.now-n.started >= k.settings.SlowStartFor {
		return 1
	}
	return k.settings.SlowStartShare + (1-k.settings.SlowStartShare)*float64(k.now-n.started)/float64(k.settings.SlowStartFor)
}

// rate is how many commands a second this router may ask of a cold store, so that all routers together, each by this
// alone, stay under the multiple.
func (k *Coordinator) rate(n *store) float64 {
	return k.settings.Capacity * k.share(n) * k.settings.OverloadFactor * margin / float64(k.settings.Routers)
}

func (k *Coordinator) cold(n *store) bool { return k.settings.Capacity > 0 && k.share(n) < 1 }

// may says whether so many commands can be asked now: there is room, and a cold store's budget has them.
func (k *Coordinator) may(n *store, commands float64) bool {
	if n.state == healthUnavailable || !n.limit.free() || !k.ready(k.storeIndex[n.id]) {
		return false
	}
	if !k.cold(n) {
		return true
	}
	k.top(n)
	return n.level >= commands
}

// top fills the budget up; it holds no more than a fiftieth of a second, or the three commands of one view.
func (k *Coordinator) top(n *store) {
	r := k.rate(n)
	n.level = math.Min(math.Max(3, r/50), n.level+r*(k.now-n.filled).Seconds())
	n.filled = k.now
}

func (k *Coordinator) charge(n *store, commands float64) {
	if k.cold(n) {
		n.level -= commands
	}
}

// mode says whether a leg may ask the store by its mode; on trial only one may, and only one that can be filled.
func (k *Coordinator) mode(n *store, i int32) bool {
	switch n.state {
	case healthReady, healthWarmingUp:
		return true
	case healthProbing:
		if n.trial == 0 && k.operations[i].source != 0 {
			n.trial = k.operations[i].id
			return true
		}
	}
	return false
}

// turn changes a store's mode by the table.
func (k *Coordinator) turn(n *store, s healthSignal) {
	to := healthTransitions[n.state][s]
	if to == n.state && s != signalDisconnected && s != signalLate {
		return
	}
	from := n.state
	n.state = to
	switch {
	case to == healthUnavailable || to == healthSlow:
		n.trial = 0
		if from == healthReady || from == healthWarmingUp {
			n.pause = minBackoff
		} else if from == healthProbing {
			n.pause = min(2*max(n.pause, minBackoff), maxBackoff)
		} else {
			break // it is out or slow already and its pause runs
		}
		// Routers that saw one event must not try again in one moment.
		wait := time.Duration(float64(n.pause) * (0.75 + k.random.float()/2))
		k.lastTimerID++
		n.turn = k.lastTimerID
		k.do(Action{Kind: ActionSetTimer, Endpoint: n.id, Wait: wait, TimerID: k.lastTimerID})
	case to == healthReady:
		n.late, n.pause = 0, 0
	}
	if from != to {
		k.do(Action{Kind: ActionLog, Endpoint: n.id, Message: "store " + healthStateNames[to]})
	}
}

func (k *Coordinator) pauseOver(e *Event) {
	i, known := k.storeIndex[e.Endpoint]
	if !known || k.stores[i].turn != e.TimerID {
		return
	}
	n := &k.stores[i]
	n.full = false
	switch {
	case n.state == healthWarmingUp && !k.cold(n):
		k.turn(n, signalWarm)
	case n.state == healthWarmingUp:
		k.warmAt(n)
	case n.state == healthUnavailable && n.down:
		return // the carrier brings the connection back, and says so
	default:
		k.turn(n, signalBackoffOver)
	}
}

// warmAt has the store looked at again when its cold time is over.
func (k *Coordinator) warmAt(n *store) {
	k.lastTimerID++
	n.turn = k.lastTimerID
	k.do(Action{Kind: ActionSetTimer, Endpoint: n.id, Wait: max(ms, n.started+k.settings.SlowStartFor-k.now), TimerID: k.lastTimerID})
}

// link takes news of a store's connection.
func (k *Coordinator) link(e *Event) {
	i, known := k.storeIndex[e.Endpoint]
	if !known {
		return
	}
	n := &k.stores[i]
	switch e.Kind {
	case EventDisconnected:
		n.down, n.logSync = true, sync{}
		k.turn(n, signalDisconnected)
		return
	case EventDataLost:
		// Its process is as warm as before, but its data has gone: sources must not get at once what it served.
		k.fresh(n, k.now)
		return
	}
	n.down, n.logSync = false, sync{}
	n.full = false
	again := n.known && n.run == e.RunID
	n.known, n.run = true, e.RunID
	if started := k.now - e.Age; !again && (k.settings.SlowStartFor > e.Age) {
		k.fresh(n, started)
		return
	}
	if n.state == healthUnavailable {
		k.turn(n, signalConnected)
	}
}

// fresh takes a store for just started: its budget begins with what the connection itself has asked already.
func (k *Coordinator) fresh(n *store, started time.Duration) {
	n.started, n.level, n.filled = started, 1-handshake, k.now
	n.limit.limit = math.Min(n.limit.limit, firstRoom)
	n.latency, n.late = latencyEstimate{}, 0
	k.turn(n, signalStarted)
	k.warmAt(n)
	if k.settings.Capacity <= 0 {
		k.do(Action{Kind: ActionAnnounceStart, Endpoint: n.id, Wait: k.now - started})
	}
}

// refusals are what a store's own words mean for it: whether it is out, or only takes no values.
var refusals = [...]struct {
	out, full bool
	text      string
}{
	ReplyLoading:      {out: true, text: "store reads its data in"},
	ReplyOutOfMemory:  {full: true, text: "store has no memory left: nothing is stored"},
	ReplyReadOnly:     {full: true, text: "store takes no writes: nothing is stored"},
	ReplyDenied:       {out: true, text: "store refuses this user"},
	ReplyBusy:         {out: true, text: "store is busy"},
	ReplyMoved:        {out: true, text: "store is part of a cluster, which is not served: the key belongs elsewhere"},
	ReplyUnknownError: {},
	ReplyDisconnected: {},
}

// answered takes the end of a command at a store, whatever became of the leg.
func (k *Coordinator) answered(n *store, e *Event) {
	n.limit.inFlight = max(0, n.limit.inFlight-1)
	trial := n.trial == e.Operation
	if trial {
		n.trial = 0
	}
	if e.Reply >= ReplyLoading {
		n.limit.bad(failCut, k.now, n.latency.usual())
		what := refusals[e.Reply]
		switch {
		case what.out:
			if n.state != healthUnavailable {
				k.do(Action{Kind: ActionLog, Endpoint: n.id, Message: what.text})
			}
			k.turn(n, signalDisconnected)
		case what.full && !n.full:
			k.do(Action{Kind: ActionLog, Endpoint: n.id, Message: what.text})
			n.full = true
			k.lastTimerID++
			n.turn = k.lastTimerID
			k.do(Action{Kind: ActionSetTimer, Endpoint: n.id, Wait: maxBackoff, TimerID: k.lastTimerID})
		case trial && e.Reply == ReplyDisconnected:
			k.turn(n, signalDisconnected)
		}
		return
	}
	if e.Kind == EventGetDone {
		inTime := e.Elapsed <= max(2*ms, max(k.fillTime.usual()/2, 5*ms))
		switch {
		case inTime:
			n.late = 0
			k.turn(n, signalInTime)
		case trial:
			k.turn(n, signalLate)
		}
		if e.Elapsed > 2*n.latency.usual()+ms {
			n.limit.bad(slowCut, k.now, n.latency.usual())
		} else {
			n.limit.good()
		}
	}
	n.latency.add(e.Elapsed)
}

// overdue counts a get that is later than it is worth.
func (k *Coordinator) overdue(n *store, o OperationID) {
	if n.late++; n.late == 1 {
		n.lateAt = k.now
	}
	n.limit.bad(slowCut, k.now, n.latency.usual())
	if n.late >= lateGetsUntilSlow && k.now-n.lateAt >= lateFor || n.trial == o {
		n.late = 0
		k.turn(n, signalLate)
	}
}

// source is the limit on fills from one source.
func (k *Coordinator) source(id routing.EndpointID) *concurrencyLimit {
	b := k.fillLimits[id]
	if b == nil {
		b = &concurrencyLimit{limit: firstFills, max: fillsMost}
		k.fillLimits[id] = b
	}
	return b
}

// firstFills is what a source is taken to bear before any answer: what one busy router without a store has out there at its
// start. fillsMost is far over that, and what it may add to in bad times.
const firstFills, fillsMost = 64, 256

// filled takes the end of a fill: what it says of the source, and of the time that fills take.
func (k *Coordinator) filled(o *operation, e *Event) {
	b := k.source(o.source)
	b.inFlight = max(0, b.inFlight-1)
	switch e.Outcome {
	case routing.Succeeded:
		k.fillTime.add(e.Elapsed)
		b.good()
	case routing.CacheMiss:
		b.good()
	case routing.Cancelled, routing.NotSent:
	default:
		b.bad(failCut, k.now, k.fillTime.usual())
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
