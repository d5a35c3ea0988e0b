package routing

// This file holds the state of a router and the plain machinery around it: ids in slabs, rings, moving means,
// the generator of chance. Nothing here decides anything.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

type role uint8

const (
	roleOwn role = iota // the router itself, with copies of its own
	roleCache
	roleParent
	roleOrigin
)

// none stands for no node, no view.
const none = int32(-1)

// node is what the router knows of a cache of its location, a parent or the origin.
type node struct {
	id      EndpointID
	role    role
	zone    ZoneID
	cell    CellID
	weight  float64
	state   EndpointState
	told    time.Duration // when told that it drains or is gone
	started time.Duration
	pipe    pipe // its link out, as far as this router's transfers show it
	health  health
	heard   time.Duration // last sign of life
	full    time.Duration // until then it has no place for a fill
	wait    time.Duration // usual time to the first byte of a fill that it holds
	drag    float64       // usual length of a fill's body over its prediction
	carries rate          // sending time a second that it has answered in
	next    time.Duration // while it is cold: nothing from this router before
	paced   time.Duration // the start for which that is reckoned
	slow    time.Duration // when a fill from it was last counted at the gate as late
	broke   time.Duration // when a connection to it last broke
	load    float64       // its last report of how busy it is
	seen    int           // last walk of a ring that met it
}

type leg struct {
	node, source int32
	sent, expect time.Duration // expect: predicted time to its end
	duty         float64       // part of its time in which it uses the link
	gate         float64       // part of its time in which it may wait for the origin
	out, ran     bool          // still out; may have run
	nudged       bool          // found overdue already
	held         bool          // the source gives only what it holds
	filled       bool          // predicted to need a fill
	kept         bool          // the cache keeps a copy
	slow         bool          // counted at the gate as late
}

// view is a view in hand, or one whose last legs have yet to end.
type view struct {
	id        RequestID
	tariff    ClassID
	object    ObjectID
	group     GroupID
	hash      uint64
	end, due  time.Duration // end: the client gives up
	sending   time.Duration // to send it at full pace
	again     time.Duration // when a write is tried again, 0: not
	sized     bool          // the size was told
	known     bool          // the size was told, or is recalled
	spare     bool          // over its tenant's allowance
	open      bool
	streaming bool
	stage     stage
	cache     int32 // the cache whose turn it is
	erred     int32 // the node that failed it without saying why
	legs      [maxLegs]leg
	n, outs   int
}

// allowance is a tenant's bucket of views within its share.
type allowance struct {
	left float64
	at   time.Duration
}

// Router decides for one router instance.
type Router struct {
	set     Settings
	rng     pcg
	now     time.Duration
	acts    []Action
	nodes   []node
	index   map[EndpointID]int32
	origin  int32
	own     int32 // the router itself, where it keeps copies
	caches  ring
	parents ring
	past    []pastRing
	walks   int
	views   []view
	free    []int32
	byID    map[RequestID]int32
	memory  []memo
	rows    []row
	tenants []allowance
	inlet   pipe // the location's link in, as this router's fills show it
	gate    gate
	retries float64 // further legs that may be spent
	purges  []purge
	share   float64 // this router's part of its location's views
	probeAt time.Duration
	arrived int // views, since a probe
}

// memo is what is recalled of an object.
type memo struct {
	key     uint64
	seen    time.Duration
	sending time.Duration
	at      int32
	count   uint8
}

type purge struct {
	object ObjectID // 0: the whole group
	group  GroupID
	at     time.Duration
}

// ring is a consistent-hash ring; pastRing one that was replaced.
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

// health follows a cache or a parent through its failures.
type health struct {
	out    bool
	silent bool          // it went out without a word: it may have been restarted
	rate   float64       // recent share of failures
	since  time.Duration // when it went out
	until  time.Duration // no trial before
	pause  time.Duration
	goods  int
}

// gate counts the fills that wait for the origin.
type gate struct {
	window    float64
	out       load          // the fills that wait
	wait      time.Duration // usual time to the first byte by way of the origin
	via       float64       // share of the parents' fills that went to the origin
	cut, good time.Duration // when it was narrowed, when an answer came in good time
	heard     time.Duration // when it last learned of the wait
	next      time.Duration // no trial before, while it is shut
	part      float64       // of a whole gate
	shut      bool          // as last logged
}

// rate is a fading sum over a span, divided by it or by what of it has been seen; most is its slowly fading
// peak.
type rate struct {
	value, most float64
	from, at    time.Duration
}

// row is what the module keeps by tariff: the usual sending time at full pace, or the time of a write.
type row struct{ usual mean }

// load is what this router has out: busy now, usual its fading mean, at when busy changed.
type load struct {
	busy, usual float64
	at          time.Duration
}

func (b *load) usualBy(now time.Duration) float64 {
	return b.busy + (b.usual-b.busy)*math.Exp(-float64(now-b.at)/float64(usualOver))
}

func (b *load) add(duty float64, now time.Duration) {
	b.usual, b.at = b.usualBy(now), now
	b.busy += duty
}

// pipe is a link as this router's own transfers show it: room is how many fit at full pace, those of others
// included, 0 for no evidence.
type pipe struct {
	load
	room  float64
	full  float64       // as reported lately
	heard time.Duration // when
	told  time.Duration // when its room was learned
}

// inlet is the link into the router's location in transfers, 0 where it is not told.
func (s *Settings) inlet() float64 {
	if z := int(s.Zone); z < len(s.ZoneIngressKBPerSecond) && s.FlowKBPerSecond > 0 {
		return s.ZoneIngressKBPerSecond[z] / s.FlowKBPerSecond
	}
	return 0
}

func (r *Router) act(a Action) { r.acts = append(r.acts, a) }

// log writes a line about a node: its role, its id and what happened.
func (r *Router) log(what string, n int32) {
	if n != none {
		d := &r.nodes[n]
		role := [...]string{"own", "cache", "parent", "origin"}[d.role]
		r.act(Action{Kind: ActionLog, Text: fmt.Sprintf("%s %x: %s", role, uint64(d.id), what)})
	}
}

func (r *Router) timer(wait time.Duration, name uint64) {
	r.act(Action{Kind: ActionTimer, Wait: wait, Timer: name})
}

func (r *Router) find(id RequestID) *view {
	if i, held := r.byID[id]; held {
		return &r.views[i]
	}
	return nil
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
	if i, held := r.byID[v.id]; held && !v.open && v.outs == 0 {
		delete(r.byID, v.id)
		r.free = append(r.free, i)
	}
}

// hash is the place of a view's object on the rings.
func (e *Event) hash() uint64 { return mix(uint64(e.Object) ^ uint64(e.Part)*0x9e3779b97f4a7c15) }

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

// filledFrom tells whether the view's cache has asked a source for all that it can do.
func (v *view) filledFrom(src int32) bool {
	for i := range v.n {
		if l := &v.legs[i]; l.node == v.cache && l.source == src && !l.held {
			return true
		}
	}
	return false
}

// ran tells whether a leg may have run.
func (v *view) ran() bool {
	return slices.ContainsFunc(v.legs[:v.n], func(l leg) bool { return l.ran })
}

func (r *Router) asked(v *view, n int32) bool {
	for i := range v.n {
		if v.legs[i].node == n {
			return true
		}
	}
	return false
}

func (f *rate) now(now, over time.Duration) float64 {
	return f.value * math.Exp(-float64(now-f.at)/float64(max(over, ms)))
}

func (f *rate) add(x float64, now, over time.Duration) {
	if f.at == 0 {
		f.from = now
	}
	f.value = f.now(now, over) + x/max(over, ms).Seconds()
	f.most = max(f.most*math.Exp(-float64(now-f.at)/float64(mostFor)), f.value/seen(now-f.from, over))
	f.at = now
}

// seen is the part of a fading sum that an age has filled; of very little, nothing can be told.
func seen(age, over time.Duration) float64 {
	return 1 - math.Exp(-max(0.2, float64(age)/float64(over)))
}

func (r *Router) newRing(members []int32) ring {
	g, total := ring{members: members}, 0.0
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
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.n, b.n))
	})
	return g
}

// walk visits the members in ring order from the hash on, and returns the first that will do.
func (r *Router) walk(g *ring, hash uint64, does func(int32) bool) int32 {
	from, _ := slices.BinarySearchFunc(g.points, hash, func(p point, h uint64) int {
		return cmp.Compare(p.at, h)
	})
	r.walks++
	walk := r.walks
	for i, left := 0, len(g.members); left > 0 && i < len(g.points); i++ {
		n := g.points[(from+i)%len(g.points)].n
		if r.nodes[n].seen == walk {
			continue
		}
		r.nodes[n].seen = walk
		left--
		if does(n) {
			return n
		}
	}
	return none
}

// warm is the part of its capacity that a node surely gives by now.
func (r *Router) warm(n int32) float64 {
	d := &r.nodes[n]
	least, over := r.set.SlowStartShare, r.set.SlowStartFor
	if d.role == roleParent {
		least, over = r.set.ParentSlowStartShare, r.set.ParentSlowStartFor
	}
	if age := r.now - d.started; d.role != roleOrigin && age < over {
		return least + (1-least)*max(0, float64(age))/float64(over)
	}
	return 1
}

// part is this router's part of the traffic of a node.
func (r *Router) part(n int32) float64 {
	if r.nodes[n].role == roleCache {
		return r.share
	}
	return 1 / float64(max(1, r.set.Routers))
}

// total is how many transfers run on a link of the location by now: this router's, and for each of the others
// that share it what this one usually has there, or the middle of that and of what reports tell.
func (r *Router) total(p *pipe) float64 {
	if r.own != none && p == &r.nodes[r.own].pipe {
		return p.busy // nobody shares it
	}
	others := p.usualBy(r.now) * (1/r.share - 1)
	if p.full > 0 && r.now-p.heard < reported && r.share < 1 {
		others = (others + max(0, p.full*p.room-p.usualBy(r.now))) / 2
	}
	return p.busy + others
}

// gatePart is this router's part of a whole gate.
func (r *Router) gatePart() float64 {
	return min(1, r.share*float64(max(1, len(r.caches.members)))/gateCaches)
}

// overAllowance: the tenant has had its share of views lately; such a view must not crowd out others.
func (r *Router) overAllowance(tenant int) bool {
	return tenant < len(r.tenants) && r.set.Tenants[tenant].QuotaPerSecond > 0 &&
		!r.tenants[tenant].take(r.set.Tenants[tenant].QuotaPerSecond/float64(max(1, r.set.Routers)), r.now)
}

// take takes one view of an allowance a second, if there is one left.
func (a *allowance) take(each float64, now time.Duration) bool {
	a.left, a.at = min(each, a.left+each*(now-a.at).Seconds()), now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}

// mean is a moving mean of times: a plain one at first, then at the pace given.
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
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// pcg is a permuted congruential generator (PCG-XSH-RR 64/32).
type pcg struct{ state uint64 }

func newPCG(seed uint64) pcg { return pcg{mix(seed) | 1} }

func (p *pcg) float() float64 {
	s := p.state
	p.state = s*6364136223846793005 + 1442695040888963407
	x, k := uint32((s>>18^s)>>27), uint32(s>>59)
	return float64(x>>k|x<<(-k&31)) / (1 << 32)
}

// update keeps the time at which a node was first told to leave.
func (r *Router) update(d *node, s EndpointState, told time.Duration) {
	if s != Ready && d.state == Ready {
		d.told = told
	}
	d.state = s
}

// place finds room for a new node: that of one long gone, else more.
func (r *Router) place() int32 {
	for i := range r.nodes {
		if d := &r.nodes[i]; d.state == Gone && d.pipe.busy < 0.001 && r.now-d.told > 2*relayFor {
			delete(r.index, d.id)
			return int32(i)
		}
	}
	r.nodes = append(r.nodes, node{})
	return int32(len(r.nodes) - 1)
}

// close ends a view: legs still out are cancelled, and its place is used again when they have ended.
func (r *Router) close(v *view) {
	v.open = false
	for i := range v.n {
		if v.legs[i].out && r.set.Cancel && !v.streaming {
			r.act(Action{Kind: ActionCancel, Request: v.id, Attempt: AttemptNumber(i)})
		}
	}
	r.release(v)
}

// hold counts a leg at the links that it uses, or takes it off again.
func (r *Router) hold(l *leg, sign float64) {
	r.nodes[l.node].pipe.add(sign*l.duty, r.now)
	if l.filled && r.nodes[l.source].role != roleCache {
		r.inlet.add(sign*l.duty, r.now)
	}
}

func (r *Router) purged(e *Event) {
	r.purges = slices.DeleteFunc(r.purges, func(p purge) bool { return r.now-p.at > r.set.PurgeCompleteAfter })
	r.purges = append(r.purges, purge{e.Object, e.Group, r.now - e.Age})
}

// enlist takes what the list says of the nodes. Caches of other locations are passed over.
func (r *Router) enlist(e *Event) {
	r.walks++
	told := r.now - e.Age
	for i := range e.Endpoints {
		m := &e.Endpoints[i]
		n, known := r.index[m.ID]
		if !known {
			k := roleCache
			switch m.Kind {
			case r.set.ParentKind:
				k = roleParent
			case r.set.OriginKind:
				k = roleOrigin
			}
			if m.State == Gone || k == roleCache && m.Zone != r.set.Zone {
				continue
			}
			n = r.place()
			r.index[m.ID] = n
			// One that is not ready when it is first heard of was told to leave at some time before.
			r.nodes[n] = node{id: m.ID, role: k, zone: m.Zone, cell: m.Cell, started: LongAgo, heard: r.now, told: LongAgo, paced: LongAgo}
			if r.set.WeightIsLinkCapacity {
				r.nodes[n].pipe.room = m.Weight // as told, until transfers show it
			}
			if k == roleOrigin {
				r.origin = n
			}
		}
		d := &r.nodes[n]
		d.seen, d.weight = r.walks, m.Weight
		if m.StartedAt > d.started {
			d.started, d.health = m.StartedAt, health{}
		}
		r.update(d, m.State, told)
	}
	for n := range r.nodes {
		if d := &r.nodes[n]; e.EndpointListKind != EndpointListDelta && d.seen != r.walks && d.role != roleOwn {
			r.update(d, Gone, told)
		}
	}
}

// rebuild makes the rings anew and keeps the last ones for the relay.
func (r *Router) rebuild() {
	var caches, parents []int32
	for i := range r.nodes {
		switch d := &r.nodes[i]; {
		case d.state != Ready:
		case d.role == roleCache:
			caches = append(caches, int32(i))
		case d.role == roleParent:
			parents = append(parents, int32(i))
		}
	}
	if len(r.caches.members) > 0 && !slices.Equal(caches, r.caches.members) {
		if len(r.past) == pastRings {
			r.past = slices.Delete(r.past, 0, 1)
		}
		r.past = append(r.past, pastRing{r.caches, r.now})
	}
	r.caches, r.parents = r.newRing(caches), r.newRing(parents)
	r.gate.part = r.gatePart()
}
