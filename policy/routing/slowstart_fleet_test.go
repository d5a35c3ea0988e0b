package routing

// These tests run many independent routers on one clock, with one cold endpoint. They compare the total load that the
// routers send to the endpoint with the load that it can bear.

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// coldFleet describes a run of many routers with one cold endpoint. The traffic is uneven, and it increases when the
// endpoint's neighbours are lost.
type coldFleet struct {
	routers      int
	linkCapacity float64 // capacity of each warm endpoint's link in transfers
	isParent     bool    // the cold endpoint is a parent, else a cache
	lostAt       time.Duration
	earlyTraffic float64 // traffic until lostAt as a share of the usual traffic
	failing      bool    // requests to the cold endpoint fail, so that they are retried
	seed         uint64

	restartAt time.Duration // when some routers are killed and restarted at once, 0: never
	restarted int           // number of restarted routers out of each ten
}

// arrival is a request or fill that reached the cold endpoint.
type arrival struct {
	at   time.Duration
	work float64 // transfer time as a multiple of the mean
}

// pendingResult is the result of an attempt, which is delivered at a later time.
type pendingResult struct {
	at       time.Duration
	router   int
	request  RequestID
	attempt  AttemptNumber
	endpoint EndpointID
	note     Note
	fails    bool
}

const fleetStep = 10 * ms

// fleetRun is a run of a coldFleet.
type fleetRun struct {
	coldFleet
	settings       Settings
	random         pcg
	start          time.Duration
	now            time.Duration
	coldEndpoint   EndpointID
	lostNeighbours []EndpointID // the neighbours that are lost

	routers   []*harness
	startedAt []time.Duration // start time of each router
	share     []float64       // share of the traffic of each router
	pending   []pendingResult
	cached    map[EndpointID]map[ObjectID]bool

	arrivals         []arrival
	requests, served float64
}

// simulate runs the fleet. It returns the arrivals at the cold endpoint and the share of requests that were served.
func (f *coldFleet) simulate(settings Settings, start time.Duration) (arrivals []arrival, served float64) {
	run := newFleetRun(*f, settings, start)
	duration := settings.SlowStartDuration
	if f.isParent {
		duration = settings.ParentSlowStartDuration
	}
	for run.now = start; run.now < start+duration; run.now += fleetStep {
		run.step()
	}
	return run.arrivals, run.served / run.requests
}

func newFleetRun(fleet coldFleet, settings Settings, start time.Duration) *fleetRun {
	settings.Routers = fleet.routers
	settings.ZoneRouters = []int{0, 0, fleet.routers}
	f := &fleetRun{
		coldFleet: fleet, settings: settings, random: newPCG(fleet.seed), start: start, now: start,
		coldEndpoint: cacheA, lostNeighbours: []EndpointID{cacheB, cacheC, cacheD},
		startedAt: make([]time.Duration, fleet.routers), cached: map[EndpointID]map[ObjectID]bool{},
	}
	if fleet.isParent {
		f.coldEndpoint, f.lostNeighbours = parentP, []EndpointID{parentQ}
	}
	for _, cache := range []EndpointID{cacheA, cacheB, cacheC, cacheD} {
		f.cached[cache] = map[ObjectID]bool{}
	}
	total := 0.0
	for i := range fleet.routers {
		f.routers = append(f.routers, f.startRouter(i, 0))
		weight := math.Exp(f.random.float()*3 - 1.5) // some routers get twenty times as much traffic as others
		f.share = append(f.share, weight)
		total += weight
	}
	for i := range f.share {
		f.share[i] /= total
	}
	return f
}

// startRouter starts a router, whose own clock is 0 at its start. startedAt is the time of the start on the test's
// clock.
func (f *fleetRun) startRouter(number int, startedAt time.Duration) *harness {
	seed := f.seed*1000 + uint64(number) + uint64(startedAt)
	started := &harness{
		router: New(f.settings, seed), now: f.now - startedAt,
		nextAttempt: map[RequestID]AttemptNumber{}, isQuiet: true,
	}
	started.actions = started.router.Start(started.now, nil)
	list := Event{Kind: EventEndpoints, EndpointListKind: EndpointListCached, Age: time.Hour}
	for _, id := range []EndpointID{cacheA, cacheB, cacheC, cacheD, parentP, parentQ, origin} {
		listed := member(id)
		listed.Weight = f.linkCapacity
		if id == f.coldEndpoint {
			listed.StartedAt = f.start - startedAt
		}
		list.Endpoints = append(list.Endpoints, listed)
	}
	started.handle(&list)
	return started
}

// isInStep reports whether the current step includes the given time after the start of the run.
func (f *fleetRun) isInStep(offset time.Duration) bool {
	age := f.now - f.start
	return offset > 0 && age >= offset && age < offset+fleetStep
}

func (f *fleetRun) step() {
	if f.isInStep(f.restartAt) {
		f.restartRouters()
	}
	if f.isInStep(f.lostAt) {
		f.loseNeighbours()
	}
	for i, router := range f.routers {
		router.now = f.now - f.startedAt[i]
		if (f.now/tickInterval)*tickInterval == f.now {
			router.handle(&Event{Kind: EventTimer, Timer: timerTick})
			f.carryOut(i)
		}
		f.sendRequests(i)
	}
	f.pending = slices.DeleteFunc(f.pending, func(p pendingResult) bool {
		if p.at > f.now {
			return false
		}
		f.deliver(&p)
		return true
	})
}

func (f *fleetRun) restartRouters() {
	for i := range f.routers {
		if i%10 < f.restarted {
			f.startedAt[i] = f.now
			f.routers[i] = f.startRouter(i, f.now)
		}
	}
	f.pending = slices.DeleteFunc(f.pending, func(p pendingResult) bool { return p.router%10 < f.restarted })
}

// loseNeighbours reports the loss of the neighbours to all routers at once.
func (f *fleetRun) loseNeighbours() {
	for i, router := range f.routers {
		router.now = f.now - f.startedAt[i]
		for _, id := range f.lostNeighbours {
			router.changeEndpoint(id, Gone, LongAgo)
		}
	}
}

// sendRequests sends a router its requests of the current step.
func (f *fleetRun) sendRequests(router int) {
	rate := f.share[router] * 60 * f.linkCapacity * fleetStep.Seconds()
	if f.lostAt > f.now-f.start {
		rate *= f.earlyTraffic
	}
	for sent := f.random.float(); sent < rate; sent++ {
		f.requests++
		f.routers[router].handle(&Event{
			Kind: EventRequest, Request: RequestID(f.requests), TimeLeft: 3 * time.Second,
			Object: ObjectID(f.random.float() * 30000 * f.linkCapacity), SizeKB: 20 + 160*f.random.float(),
		})
		f.carryOut(router)
	}
}

// carryOut carries out the ActionSend actions of a router.
func (f *fleetRun) carryOut(router int) {
	for _, action := range f.routers[router].actions {
		if action.Kind != ActionSend {
			continue
		}
		req := f.routers[router].router.requests.find(action.Request)
		needsFill := action.Source != action.Endpoint && !f.cached[action.Endpoint][req.object]
		reachesCold := action.Endpoint == f.coldEndpoint || action.Source == f.coldEndpoint && needsFill
		if reachesCold {
			f.arrivals = append(f.arrivals, arrival{f.now, float64(req.transferTime) / float64(100*ms)})
		}
		fails := f.failing && reachesCold
		note := NoteHit
		if needsFill && !fails {
			note = NoteFilled
			f.cached[action.Endpoint][req.object] = true
		}
		took := time.Duration(float64(req.transferTime) * 1.1)
		f.pending = append(f.pending, pendingResult{
			at: f.now + took, router: router, request: action.Request, attempt: AttemptNumber(req.attemptCount - 1),
			endpoint: action.Endpoint, note: note, fails: fails,
		})
	}
}

// deliver passes the result of an attempt to its router.
func (f *fleetRun) deliver(p *pendingResult) {
	router := f.routers[p.router]
	event := Event{
		Kind: EventAttemptResult, Request: p.request, Attempt: p.attempt, Endpoint: p.endpoint,
		Outcome: Succeeded, Note: p.note, Final: true, Elapsed: 100 * ms,
	}
	if p.fails {
		event.Outcome, event.Note, event.Final = Failed, NoteSourceUnreachable, false
	} else if req := router.router.requests.find(p.request); req != nil && req.isOpen() {
		f.served++
	}
	router.handle(&event)
	f.carryOut(p.router)
}

// worstRatio returns the maximum, over all overload windows, of the ratio of the work that reached the endpoint to the
// work that it can bear. If the settings allow N requests per window at the end of the window, the endpoint can bear
// N + 2*sqrt(N) + 2, which leaves room for random variation.
func (f *coldFleet) worstRatio(settings Settings, start time.Duration, arrivals []arrival) (worstRatio float64) {
	initial, duration, overloadFactor := settings.SlowStartShare, settings.SlowStartDuration, settings.OverloadFactor
	if f.isParent {
		initial, duration = settings.ParentSlowStartShare, settings.ParentSlowStartDuration
		overloadFactor = settings.ParentOverloadFactor
	}
	first, sum := 0, 0.0
	for _, last := range arrivals {
		sum += last.work
		for arrivals[first].at <= last.at-settings.OverloadWindow {
			sum -= arrivals[first].work
			first++
		}
		warm := initial + (1-initial)*float64(last.at-start)/float64(duration)
		// The unit is requests of mean work, which take a tenth of a second each.
		bearable := overloadFactor * warm * f.linkCapacity / 0.1 * settings.OverloadWindow.Seconds()
		worstRatio = math.Max(worstRatio, sum/(bearable+2*math.Sqrt(bearable)+2))
	}
	return worstRatio
}

// fleetSettings returns settings in which weights are link capacities and requests may not bypass the caches.
func fleetSettings() Settings {
	settings := testSettings()
	settings.WeightIsLinkCapacity, settings.AllowDirect = true, false
	return settings
}

// run runs the fleet. It returns the worst ratio and a description of the result.
func (f *coldFleet) run() (ratio float64, text string) {
	start, settings := time.Minute, fleetSettings()
	arrivals, served := f.simulate(settings, start)
	ratio = f.worstRatio(settings, start, arrivals)
	return ratio, fmt.Sprintf("%.2f of the load that the endpoint can bear, %.2f of the requests served", ratio, served)
}

// Rule 4 for all routers together: for any number of routers with uneven traffic, and whenever the neighbours of the
// cold endpoint are lost, the routers together stay within its budget. The logged share of served requests shows the
// cost.
func TestColdEndpointAndManyRouters(t *testing.T) {
	for _, routers := range []int{1, 4, 20, 300} {
		for _, link := range []float64{1, 60} {
			for _, isParent := range []bool{false, true} {
				for _, failing := range []bool{false, true} {
					name := fmt.Sprintf("%d routers, link of %g, parent %v, failing %v", routers, link, isParent, failing)
					fleet := coldFleet{routers: routers, linkCapacity: link, isParent: isParent, earlyTraffic: 0.1, failing: failing}
					t.Run(name, func(t *testing.T) { testLostNeighbours(t, fleet) })
				}
			}
		}
	}
}

func testLostNeighbours(t *testing.T, fleet coldFleet) {
	t.Helper()
	for seed, lostAt := range []time.Duration{0, 3 * time.Second, 9 * time.Second, 13 * time.Second} {
		fleet.lostAt, fleet.seed = lostAt, uint64(seed+1)
		ratio, text := fleet.run()
		t.Logf("neighbours lost at %2.0f s: %s", lostAt.Seconds(), text)
		if ratio > 1 {
			t.Errorf("neighbours lost at %v: got %.2f of the load that the endpoint can bear, want at most 1", lostAt, ratio)
		}
	}
}

// Most or all routers are killed and restarted at once some time after an endpoint started. Each has no record of the
// cold endpoint, and all together must stay within its budget.
func TestColdEndpointAndManyRestarts(t *testing.T) {
	for _, routers := range []int{4, 20, 300} {
		for _, link := range []float64{1, 10, 60} {
			for _, isParent := range []bool{false, true} {
				name := fmt.Sprintf("%d routers, link of %g, parent %v", routers, link, isParent)
				fleet := coldFleet{routers: routers, linkCapacity: link, isParent: isParent}
				t.Run(name, func(t *testing.T) { testRestartedRouters(t, fleet) })
			}
		}
	}
}

func testRestartedRouters(t *testing.T, fleet coldFleet) {
	t.Helper()
	for seed, restart := range []struct {
		at           time.Duration
		restarted    int
		earlyTraffic float64
	}{
		{500 * ms, 7, 1},
		{time.Second, 10, 1},
		{3 * time.Second, 10, 1},
		{6 * time.Second, 7, 0.1},
	} {
		fleet.lostAt, fleet.earlyTraffic, fleet.seed = restart.at+2*time.Second, restart.earlyTraffic, uint64(seed+1)
		fleet.restartAt, fleet.restarted = restart.at, restart.restarted
		ratio, text := fleet.run()
		t.Logf("%d of 10 routers restarted at %.1f s: %s", restart.restarted, restart.at.Seconds(), text)
		if ratio > 1 {
			t.Errorf("restart at %v: got %.2f of the load that the endpoint can bear, want at most 1", restart.at, ratio)
		}
	}
}
