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

type endpointRole uint8

const (
	roleLocalCache endpointRole = iota // the router itself, with copies of its own
	roleCache
	roleParent
	roleOrigin
)

// noEndpoint stands for no node, no view.
const noEndpoint = int32(-1)

// endpoint is what the router knows of a cache of its location, a parent or the origin.
type endpoint struct {
	id             EndpointID
	role           endpointRole
	zone           ZoneID
	cell           CellID
	weight         float64
	state          EndpointState
	leavingSince   time.Duration // when told that it drains or is gone
	startedAt      time.Duration
	link           link // its link out, as far as this router's transfers show it
	health         endpointHealth
	lastHeardAt    time.Duration // last sign of life
	noFillsUntil   time.Duration // until then it has no place for a fill
	cachedFillWait time.Duration // usual time to the first byte of a fill that it holds
	fillSlowdown   float64       // usual length of a fill's body over its prediction
	throughput     decayingRate  // sending time a second that it has answered in
	nextAllowed    time.Duration // while it is cold: nothing from this router before
	budgetFor      time.Duration // the start for which that is reckoned
	lateFillAt     time.Duration // when a fill from it was last counted at the gate as late
	brokenAt       time.Duration // when a connection to it last broke
	utilization    float64       // its last report of how busy it is
	visit          int           // last walk of a ring that met it
}

type attempt struct {
	endpoint, source     int32
	sentAt, expected     time.Duration // expect: predicted time to its end
	linkShare            float64       // part of its time in which it uses the link
	originShare          float64       // part of its time in which it may wait for the origin
	inFlight, mayHaveRun bool          // still out; may have run
	overdue              bool          // found overdue already
	onlyIfCached         bool          // the source gives only what it holds
	needsFill            bool          // predicted to need a fill
	storesCopy           bool          // the cache keeps a copy
	countedLate          bool          // counted at the gate as late
}

// request is a view in hand, or one whose last legs have yet to end.
type request struct {
	id                     RequestID
	class                  ClassID
	object                 ObjectID
	group                  GroupID
	hash                   uint64
	deadline, objectiveAt  time.Duration // end: the client gives up
	transferTime           time.Duration // to send it at full pace
	retryWriteAt           time.Duration // when a write is tried again, 0: not
	sizeTold               bool          // the size was told
	sizeKnown              bool          // the size was told, or is recalled
	overQuota              bool          // over its tenant's allowance
	open                   bool
	streaming              bool
	stage                  fillStage
	cache                  int32 // the cache whose turn it is
	failedBy               int32 // the node that failed it without saying why
	attempts               [maxAttempts]attempt
	attemptCount, inFlight int
}

// tokenBucket is a tenant's bucket of views within its share.
type tokenBucket struct {
	tokens   float64
	filledAt time.Duration
}

// Router decides for one router instance.
type Router struct {
	settings         Settings
	random           pcg
	now              time.Duration
	actions          []Action
	endpoints        []endpoint
	endpointByID     map[EndpointID]int32
	origin           int32
	localCache       int32 // the router itself, where it keeps copies
	caches           ring
	parents          ring
	previousRings    []previousRing
	visits           int
	requests         []request
	freeRequests     []int32
	requestByID      map[RequestID]int32
	history          []objectRecord
	classes          []classStats
	tenantQuotas     []tokenBucket
	ingress          link // the location's link in, as this router's fills show it
	origins          originLimiter
	retryTokens      float64 // further legs that may be spent
	purges           []purge
	trafficShare     float64 // this router's part of its location's views
	nextHealthCheck  time.Duration
	sinceHealthCheck int // views, since a probe
}

// objectRecord is what is recalled of an object.
type objectRecord struct {
	hash         uint64
	seenAt       time.Duration
	transferTime time.Duration
	holder       int32
	requests     uint8
}

type purge struct {
	object   ObjectID // 0: the whole group
	group    GroupID
	issuedAt time.Duration
}

// ring is a consistent-hash ring; previousRing one that was replaced.
type ring struct {
	points  []ringPoint
	members []int32
}

type ringPoint struct {
	position uint64
	endpoint int32
}

type previousRing struct {
	ring       ring
	replacedAt time.Duration
}

// endpointHealth follows a cache or a parent through its failures.
type endpointHealth struct {
	ejected       bool
	wasSilent     bool          // it went out without a word: it may have been restarted
	failureRate   float64       // recent share of failures
	ejectedAt     time.Duration // when it went out
	nextTrial     time.Duration // no trial before
	trialInterval time.Duration
	successes     int
}

// originLimiter counts the fills that wait for the origin.
type originLimiter struct {
	limit             float64
	inFlight          concurrency   // the fills that wait
	wait              time.Duration // usual time to the first byte by way of the origin
	originShare       float64       // share of the parents' fills that went to the origin
	reducedAt, goodAt time.Duration // when it was narrowed, when an answer came in good time
	observedAt        time.Duration // when it last learned of the wait
	nextTrial         time.Duration // no trial before, while it is shut
	share             float64       // of a whole gate
	closed            bool          // as last logged
}

// decayingRate is a fading sum over a span, divided by it or by what of it has been seen; most is its slowly fading
// peak.
type decayingRate struct {
	value, peak          float64
	startedAt, updatedAt time.Duration
}

// classStats is what the module keeps by tariff: the usual sending time at full pace, or the time of a write.
type classStats struct{ transferTime movingAverage }

// concurrency is what this router has out: busy now, usual its fading mean, at when busy changed.
type concurrency struct {
	current, average float64
	changedAt        time.Duration
}

func (b *concurrency) averageAt(now time.Duration) float64 {
	return b.current + (b.average-b.current)*math.Exp(-float64(now-b.changedAt)/float64(concurrencySpan))
}

func (b *concurrency) add(duty float64, now time.Duration) {
	b.average, b.changedAt = b.averageAt(now), now
	b.current += duty
}

// link is a link as this router's own transfers show it: room is how many fit at full pace, those of others
// included, 0 for no evidence.
type link struct {
	concurrency
	capacity            float64
	reportedUtilization float64       // as reported lately
	reportedAt          time.Duration // when
	observedAt          time.Duration // when its room was learned
}

// ingressTransfers is the link into the router's location in transfers, 0 where it is not told.
func (s *Settings) ingressTransfers() float64 {
	if z := int(s.Zone); z < len(s.ZoneIngressKBPerSecond) && s.FlowKBPerSecond > 0 {
		return s.ZoneIngressKBPerSecond[z] / s.FlowKBPerSecond
	}
	return 0
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// logEndpoint writes a line about a node: its role, its id and what happened.
func (r *Router) logEndpoint(what string, n int32) {
	if n != noEndpoint {
		d := &r.endpoints[n]
		role := [...]string{"own", "cache", "parent", "origin"}[d.role]
		r.emit(Action{Kind: ActionLog, Text: fmt.Sprintf("%s %x: %s", role, uint64(d.id), what)})
	}
}

func (r *Router) setTimer(wait time.Duration, name uint64) {
	r.emit(Action{Kind: ActionTimer, Wait: wait, Timer: name})
}

func (r *Router) findRequest(id RequestID) *request {
	if i, held := r.requestByID[id]; held {
		return &r.requests[i]
	}
	return nil
}

func (r *Router) allocateRequest() int32 {
	if n := len(r.freeRequests); n > 0 {
		i := r.freeRequests[n-1]
		r.freeRequests = r.freeRequests[:n-1]
		return i
	}
	r.requests = append(r.requests, request{})
	return int32(len(r.requests) - 1)
}

func (r *Router) releaseRequest(v *request) {
	if i, held := r.requestByID[v.id]; held && !v.open && v.inFlight == 0 {
		delete(r.requestByID, v.id)
		r.freeRequests = append(r.freeRequests, i)
	}
}

// objectHash is the place of a view's object on the rings.
func (e *Event) objectHash() uint64 { return mix(uint64(e.Object) ^ uint64(e.Part)*0x9e3779b97f4a7c15) }

func (r *Router) findRecord(v *request) *objectRecord {
	if m := &r.history[v.hash%historySize]; m.hash == v.hash {
		return m
	}
	return nil
}

func (r *Router) ensureRecord(v *request) *objectRecord {
	m := &r.history[v.hash%historySize]
	if m.hash != v.hash {
		*m = objectRecord{hash: v.hash, holder: noEndpoint}
	}
	return m
}

// hasTriedSource tells whether the view's cache has asked a source for all that it can do.
func (v *request) hasTriedSource(src int32) bool {
	for i := range v.attemptCount {
		if l := &v.attempts[i]; l.endpoint == v.cache && l.source == src && !l.onlyIfCached {
			return true
		}
	}
	return false
}

// mayHaveRun tells whether a leg may have run.
func (v *request) mayHaveRun() bool {
	return slices.ContainsFunc(v.attempts[:v.attemptCount], func(l attempt) bool { return l.mayHaveRun })
}

func (r *Router) hasAsked(v *request, n int32) bool {
	for i := range v.attemptCount {
		if v.attempts[i].endpoint == n {
			return true
		}
	}
	return false
}

func (f *decayingRate) valueAt(now, over time.Duration) float64 {
	return f.value * math.Exp(-float64(now-f.updatedAt)/float64(max(over, ms)))
}

func (f *decayingRate) add(x float64, now, over time.Duration) {
	if f.updatedAt == 0 {
		f.startedAt = now
	}
	f.value = f.valueAt(now, over) + x/max(over, ms).Seconds()
	f.peak = max(f.peak*math.Exp(-float64(now-f.updatedAt)/float64(peakDecay)), f.value/observedFraction(now-f.startedAt, over))
	f.updatedAt = now
}

// observedFraction is the part of a fading sum that an age has filled; of very little, nothing can be told.
func observedFraction(age, over time.Duration) float64 {
	return 1 - math.Exp(-max(0.2, float64(age)/float64(over)))
}

func (r *Router) newRing(members []int32) ring {
	g, total := ring{members: members}, 0.0
	for _, n := range members {
		total += r.endpoints[n].weight
	}
	for _, n := range members {
		count := pointsPerEndpoint
		if total > 0 {
			count = max(1, int(math.Round(pointsPerEndpoint*r.endpoints[n].weight/total*float64(len(members)))))
		}
		h := mix(uint64(r.endpoints[n].id))
		for range count {
			h = mix(h + 0x9e3779b97f4a7c15)
			g.points = append(g.points, ringPoint{h, n})
		}
	}
	slices.SortFunc(g.points, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.endpoint, b.endpoint))
	})
	return g
}

// walk visits the members in ring order from the hash on, and returns the first that will do.
func (r *Router) walk(g *ring, hash uint64, does func(int32) bool) int32 {
	from, _ := slices.BinarySearchFunc(g.points, hash, func(p ringPoint, h uint64) int {
		return cmp.Compare(p.position, h)
	})
	r.visits++
	walk := r.visits
	for i, left := 0, len(g.members); left > 0 && i < len(g.points); i++ {
		n := g.points[(from+i)%len(g.points)].endpoint
		if r.endpoints[n].visit == walk {
			continue
		}
		r.endpoints[n].visit = walk
		left--
		if does(n) {
			return n
		}
	}
	return noEndpoint
}

// warmFraction is the part of its capacity that a node surely gives by now.
func (r *Router) warmFraction(n int32) float64 {
	d := &r.endpoints[n]
	least, over := r.settings.SlowStartShare, r.settings.SlowStartFor
	if d.role == roleParent {
		least, over = r.settings.ParentSlowStartShare, r.settings.ParentSlowStartFor
	}
	if age := r.now - d.startedAt; d.role != roleOrigin && age < over {
		return least + (1-least)*max(0, float64(age))/float64(over)
	}
	return 1
}

// shareOf is this router's part of the traffic of a node.
func (r *Router) shareOf(n int32) float64 {
	if r.endpoints[n].role == roleCache {
		return r.trafficShare
	}
	return 1 / float64(max(1, r.settings.Routers))
}

// totalTransfers is how many transfers run on a link of the location by now: this router's, and for each of the others
// that share it what this one usually has there, or the middle of that and of what reports tell.
func (r *Router) totalTransfers(p *link) float64 {
	if r.localCache != noEndpoint && p == &r.endpoints[r.localCache].link {
		return p.current // nobody shares it
	}
	others := p.averageAt(r.now) * (1/r.trafficShare - 1)
	if p.reportedUtilization > 0 && r.now-p.reportedAt < reportValidFor && r.trafficShare < 1 {
		others = (others + max(0, p.reportedUtilization*p.capacity-p.averageAt(r.now))) / 2
	}
	return p.current + others
}

// originLimiterShare is this router's part of a whole gate.
func (r *Router) originLimiterShare() float64 {
	return min(1, r.trafficShare*float64(max(1, len(r.caches.members)))/originLimiterCaches)
}

// isOverQuota: the tenant has had its share of views lately; such a view must not crowd out others.
func (r *Router) isOverQuota(tenant int) bool {
	return tenant < len(r.tenantQuotas) && r.settings.Tenants[tenant].QuotaPerSecond > 0 &&
		!r.tenantQuotas[tenant].take(r.settings.Tenants[tenant].QuotaPerSecond/float64(max(1, r.settings.Routers)), r.now)
}

// take takes one view of an allowance a second, if there is one left.
func (a *tokenBucket) take(each float64, now time.Duration) bool {
	a.tokens, a.filledAt = min(each, a.tokens+each*(now-a.filledAt).Seconds()), now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// movingAverage is a moving mean of times: a plain one at first, then at the pace given.
type movingAverage struct {
	value   float64
	samples int
}

func (m *movingAverage) add(d time.Duration, pace float64) {
	m.samples++
	m.value += (float64(d) - m.value) * max(pace, 1/float64(m.samples))
}

func (m *movingAverage) duration() time.Duration { return time.Duration(m.value) }

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

// setState keeps the time at which a node was first told to leave.
func (r *Router) setState(d *endpoint, s EndpointState, told time.Duration) {
	if s != Ready && d.state == Ready {
		d.leavingSince = told
	}
	d.state = s
}

// allocateEndpoint finds room for a new node: that of one long gone, else more.
func (r *Router) allocateEndpoint() int32 {
	for i := range r.endpoints {
		if d := &r.endpoints[i]; d.state == Gone && d.link.current < 0.001 && r.now-d.leavingSince > 2*relayFor {
			delete(r.endpointByID, d.id)
			return int32(i)
		}
	}
	r.endpoints = append(r.endpoints, endpoint{})
	return int32(len(r.endpoints) - 1)
}

// closeRequest ends a view: legs still out are cancelled, and its place is used again when they have ended.
func (r *Router) closeRequest(v *request) {
	v.open = false
	for i := range v.attemptCount {
		if v.attempts[i].inFlight && r.settings.Cancel && !v.streaming {
			r.emit(Action{Kind: ActionCancel, Request: v.id, Attempt: AttemptNumber(i)})
		}
	}
	r.releaseRequest(v)
}

// countOnLinks counts a leg at the links that it uses, or takes it off again.
func (r *Router) countOnLinks(l *attempt, sign float64) {
	r.endpoints[l.endpoint].link.add(sign*l.linkShare, r.now)
	if l.needsFill && r.endpoints[l.source].role != roleCache {
		r.ingress.add(sign*l.linkShare, r.now)
	}
}

func (r *Router) handlePurge(e *Event) {
	r.purges = slices.DeleteFunc(r.purges, func(p purge) bool { return r.now-p.issuedAt > r.settings.PurgeCompleteAfter })
	r.purges = append(r.purges, purge{e.Object, e.Group, r.now - e.Age})
}

// applyEndpointList takes what the list says of the nodes. Caches of other locations are passed over.
func (r *Router) applyEndpointList(e *Event) {
	r.visits++
	told := r.now - e.Age
	for i := range e.Endpoints {
		m := &e.Endpoints[i]
		n, known := r.endpointByID[m.ID]
		if !known {
			k := roleCache
			switch m.Kind {
			case r.settings.ParentKind:
				k = roleParent
			case r.settings.OriginKind:
				k = roleOrigin
			}
			if m.State == Gone || k == roleCache && m.Zone != r.settings.Zone {
				continue
			}
			n = r.allocateEndpoint()
			r.endpointByID[m.ID] = n
			// One that is not ready when it is first heard of was told to leave at some time before.
			r.endpoints[n] = endpoint{id: m.ID, role: k, zone: m.Zone, cell: m.Cell, startedAt: LongAgo, lastHeardAt: r.now, leavingSince: LongAgo, budgetFor: LongAgo}
			if r.settings.WeightIsLinkCapacity {
				r.endpoints[n].link.capacity = m.Weight // as told, until transfers show it
			}
			if k == roleOrigin {
				r.origin = n
			}
		}
		d := &r.endpoints[n]
		d.visit, d.weight = r.visits, m.Weight
		if m.StartedAt > d.startedAt {
			d.startedAt, d.health = m.StartedAt, endpointHealth{}
		}
		r.setState(d, m.State, told)
	}
	for n := range r.endpoints {
		if d := &r.endpoints[n]; e.EndpointListKind != EndpointListDelta && d.visit != r.visits && d.role != roleLocalCache {
			r.setState(d, Gone, told)
		}
	}
}

// rebuildRings makes the rings anew and keeps the last ones for the relay.
func (r *Router) rebuildRings() {
	var caches, parents []int32
	for i := range r.endpoints {
		switch d := &r.endpoints[i]; {
		case d.state != Ready:
		case d.role == roleCache:
			caches = append(caches, int32(i))
		case d.role == roleParent:
			parents = append(parents, int32(i))
		}
	}
	if len(r.caches.members) > 0 && !slices.Equal(caches, r.caches.members) {
		if len(r.previousRings) == maxPreviousRings {
			r.previousRings = slices.Delete(r.previousRings, 0, 1)
		}
		r.previousRings = append(r.previousRings, previousRing{r.caches, r.now})
	}
	r.caches, r.parents = r.newRing(caches), r.newRing(parents)
	r.origins.share = r.originLimiterShare()
}
