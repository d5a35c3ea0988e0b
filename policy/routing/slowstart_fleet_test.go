package routing

// Many routers that share nothing, driven side by side in one clock, with one cold node among them: what all of them
// send to it together, against what it bears.

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// arrival is one request, or fill, that reached the cold node.
type arrival struct {
	at   time.Duration
	work float64 // over the mean
}

// coldFleet is a day of many routers round one cold node: uneven traffic, and a burst of it at the moment when the
// node's neighbour is lost.
type coldFleet struct {
	routers int
	link    float64 // transfers that each node's link carries when it is warm
	parent  bool    // the cold node is a parent, else a cache
	lostAt  time.Duration
	quiet   float64 // of the usual traffic until then
	failing bool    // what reaches the node fails, so that views go again
	seed    uint64

	restartAt time.Duration // when restarted of ten routers are killed and start anew at once, 0: never
	restarted int
}

// play returns what reached the cold node, and the part of all views that was served.
func (f *coldFleet) play(set Settings, start time.Duration) (got []arrival, served float64) {
	rng := newPCG(f.seed)
	set.Routers = f.routers
	set.ZoneRouters = []int{0, 0, f.routers}
	cold := cacheA
	if f.parent {
		cold = parentP
	}
	var fleet []*harness
	var share []float64
	total := 0.0
	// A process has a clock of its own, which stands at 0 when it starts; since is that moment on the test's clock.
	process := func(i int, since, now time.Duration) *harness {
		b := &harness{router: New(set, f.seed*1000+uint64(i)+uint64(since)), now: now - since, nextAttempt: map[RequestID]AttemptNumber{}, isMuted: true}
		b.actions = b.router.Start(b.now, nil)
		e := Event{Kind: EventEndpoints, EndpointListKind: EndpointListCached, Age: time.Hour}
		for _, n := range []EndpointID{cacheA, cacheB, cacheC, cacheD, parentP, parentQ, origin} {
			m := member(n)
			m.Weight = f.link
			if n == cold {
				m.StartedAt = start - since
			}
			e.Endpoints = append(e.Endpoints, m)
		}
		b.handle(&e)
		return b
	}
	begun := make([]time.Duration, f.routers)
	for i := range f.routers {
		fleet = append(fleet, process(i, 0, start))
		x := math.Exp(rng.float()*3 - 1.5) // some get twenty times what others do
		share = append(share, x)
		total += x
	}
	for i := range share {
		share[i] /= total
	}
	type due struct {
		at     time.Duration
		router int
		view   RequestID
		leg    AttemptNumber
		node   EndpointID
		note   Note
		fails  bool
	}
	var dues []due
	holds := map[EndpointID]map[ObjectID]bool{}
	for _, n := range []EndpointID{cacheA, cacheB, cacheC, cacheD} {
		holds[n] = map[ObjectID]bool{}
	}
	views, good := 0.0, 0.0
	id := RequestID(0)
	length := set.SlowStartFor
	if f.parent {
		length = set.ParentSlowStartFor
	}
	const turn = 10 * ms
	for now := start; now < start+length; now += turn {
		if f.restartAt > 0 && now-start >= f.restartAt && now-start < f.restartAt+turn {
			for i := range fleet {
				if i%10 < f.restarted {
					begun[i] = now
					fleet[i] = process(i, now, now)
				}
			}
			dues = slices.DeleteFunc(dues, func(d due) bool { return d.router%10 < f.restarted })
		}
		if f.lostAt > 0 && now-start >= f.lostAt && now-start < f.lostAt+turn {
			for _, b := range fleet { // all hear of it at once
				b.now = now - begun[slices.Index(fleet, b)]
				lost := []EndpointID{cacheB, cacheC, cacheD}
				if f.parent {
					lost = []EndpointID{parentQ}
				}
				for _, n := range lost {
					b.change(n, Gone, LongAgo)
				}
			}
		}
		take := func(i int, acts []Action) {
			for _, a := range acts {
				if a.Kind != ActionSend {
					continue
				}
				v := fleet[i].router.requests.find(a.Request)
				work := float64(v.transferTime) / float64(100*ms)
				filled := a.Source != a.Endpoint && !holds[a.Endpoint][v.object]
				if a.Endpoint == cold || a.Source == cold && filled {
					got = append(got, arrival{now, work})
				}
				fails := f.failing && (a.Endpoint == cold || a.Source == cold && filled)
				note := NoteHit
				if filled && !fails {
					note, holds[a.Endpoint][v.object] = NoteFilled, true
				}
				took := time.Duration(float64(v.transferTime) * 1.1)
				dues = append(dues, due{now + took, i, a.Request, AttemptNumber(v.attemptCount - 1), a.Endpoint, note, fails})
			}
		}
		for i, b := range fleet {
			b.now = now - begun[i]
			if (now/(20*ms))*(20*ms) == now {
				b.handle(&Event{Kind: EventTimer, Timer: timerTick})
				take(i, b.actions)
			}
			rate := share[i] * 60 * f.link * turn.Seconds()
			if f.lostAt > now-start {
				rate *= f.quiet
			}
			for n := rng.float(); n < rate; n++ {
				id++
				views++
				b.handle(&Event{Kind: EventRequest, Request: id, Object: ObjectID(rng.float() * 30000 * f.link), SizeKB: 20 + 160*rng.float(), TimeLeft: 3 * time.Second})
				take(i, b.actions)
			}
		}
		dues = slices.DeleteFunc(dues, func(d due) bool {
			if d.at > now {
				return false
			}
			b := fleet[d.router]
			e := Event{Kind: EventAttemptResult, Request: d.view, Attempt: d.leg, Endpoint: d.node, Outcome: Succeeded, Note: d.note, Final: true, Elapsed: 100 * ms}
			if d.fails {
				e.Outcome, e.Note, e.Final = Failed, NoteSourceUnreachable, false
			} else if v := b.router.requests.find(d.view); v != nil && v.open {
				good++
			}
			b.handle(&e)
			take(d.router, b.actions)
			return true
		})
	}
	return got, good / views
}

// worst is the highest ratio, over all windows, of the work that reached the node to what it bears without falling: N
// and twice its root and two more, N as the settings allow it at the window's end.
func (f *coldFleet) worst(set Settings, start time.Duration, got []arrival) (worst float64) {
	least, over, multiple := set.SlowStartShare, set.SlowStartFor, set.OverloadFactor
	if f.parent {
		least, over, multiple = set.ParentSlowStartShare, set.ParentSlowStartFor, set.ParentOverloadFactor
	}
	from, sum := 0, 0.0
	for _, a := range got {
		sum += a.work
		for got[from].at <= a.at-set.OverloadWindow {
			sum -= got[from].work
			from++
		}
		warm := least + (1-least)*float64(a.at-start)/float64(over)
		n := multiple * warm * f.link / 0.1 * set.OverloadWindow.Seconds() // requests of mean work, a tenth of a second each
		worst = math.Max(worst, sum/(n+2*math.Sqrt(n)+2))
	}
	return worst
}

// Rule 4 over the fleet: however many routers there are, however uneven their traffic, and when a neighbour of the
// cold node is lost at any moment, all of them together stay within its budget. The cost is seen in the part of views
// that is served.
func TestColdNodeAndManyRouters(t *testing.T) {
	start := time.Minute
	for _, routers := range []int{1, 4, 20, 300} {
		for _, link := range []float64{1, 60} {
			for _, parent := range []bool{false, true} {
				for _, failing := range []bool{false, true} {
					text, worst := "", 0.0
					for seed, lost := range []time.Duration{0, 3 * time.Second, 9 * time.Second, 13 * time.Second} {
						set := testSettings()
						set.WeightIsLinkCapacity, set.AllowDirect = true, false
						f := coldFleet{routers: routers, link: link, parent: parent, lostAt: lost, quiet: 0.1, failing: failing, seed: uint64(seed + 1)}
						got, served := f.play(set, start)
						ratio := f.worst(set, start, got)
						worst = max(worst, ratio)
						text += fmt.Sprintf("  lost at %2.0f s: %.2f of what it bears, %.2f served", lost.Seconds(), ratio, served)
					}
					what := fmt.Sprintf("%3d routers, link of %2g, parent %-5v failing %-5v", routers, link, parent, failing)
					t.Logf("%s%s", what, text)
					if worst > 1 {
						t.Errorf("%s: the cold node falls, at %.2f of what it bears", what, worst)
					}
				}
			}
		}
	}
}

// Most or all routers are killed and start anew at once, some time after a server started cold: each of them meets the
// server for the first time, and all together stay within its budget.
func TestColdNodeAndManyRestarts(t *testing.T) {
	start := time.Minute
	for _, routers := range []int{4, 20, 300} {
		for _, link := range []float64{1, 10, 60} {
			for _, parent := range []bool{false, true} {
				text, worst := "", 0.0
				for seed, c := range []struct {
					at        time.Duration
					restarted int
					quiet     float64
				}{{500 * ms, 7, 1}, {time.Second, 10, 1}, {3 * time.Second, 10, 1}, {6 * time.Second, 7, 0.1}} {
					set := testSettings()
					set.WeightIsLinkCapacity, set.AllowDirect = true, false
					f := coldFleet{
						routers: routers, link: link, parent: parent, lostAt: c.at + 2*time.Second, quiet: c.quiet,
						seed: uint64(seed + 1), restartAt: c.at, restarted: c.restarted,
					}
					got, served := f.play(set, start)
					ratio := f.worst(set, start, got)
					worst = max(worst, ratio)
					text += fmt.Sprintf("  %d of 10 at %.1f s: %.2f of what it bears, %.2f served", c.restarted, c.at.Seconds(), ratio, served)
				}
				what := fmt.Sprintf("%3d routers, link of %2g, parent %-5v", routers, link, parent)
				t.Logf("%s%s", what, text)
				if worst > 1 {
					t.Errorf("%s: the cold node falls, at %.2f of what it bears", what, worst)
				}
			}
		}
	}
}
