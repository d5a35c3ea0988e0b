package routing

import (
	"fmt"
	"time"
)

// A bench drives one router by hand and prints what it does, in words that a person can read.
type bench struct {
	r    *Router
	now  time.Duration
	acts []Action
	legs map[ViewID]LegNo
	mute bool // prints nothing
}

// Nodes of the small fleet that the traces use: caches of the router's location, parents and the origin.
const (
	cacheA NodeID = 101 + iota
	cacheB
	cacheC
	cacheD
)
const (
	parentP NodeID = 201 + iota
	parentQ
)
const origin NodeID = 301

var names = map[NodeID]string{cacheA: "A", cacheB: "B", cacheC: "C", cacheD: "D", parentP: "P", parentQ: "Q",
	origin: "origin", Own: "own"}

// plain are the settings that the traces start from: one harmless tariff, one write, everything told and allowed.
func plain() Settings {
	return Settings{
		Routers: 1, Zone: 2, ZoneRouters: []int{0, 0, 1}, ParentKind: 1, OriginKind: 2,
		Tariffs: []Tariff{
			{Due: 500 * ms, DueStretch: 2, Hard: 5 * time.Second, Payoff: 2},
			{Due: 700 * ms, Hard: 3 * time.Second, Payoff: 3, Effect: OneShot, Write: true},
		},
		Cancel: true, SecondCopies: true, RetryAfter: true, Legs: 6, MaxWait: 500 * ms,
		DrainGrace: time.Second, ColdShare: 0.2, ColdFor: 16 * time.Second, FallMultiple: 2.5, FallFor: 3 * time.Second,
		ParentColdShare: 0.07, ParentColdFor: 20 * time.Second, ParentFallMultiple: 2,
		PurgeGrace: time.Second, PurgeDone: 6 * time.Second,
		Direct: true, Siblings: ReachLocation, Tells: TellsAll, FlowKB: 1000,
	}
}

func newBench(set Settings, caches ...NodeID) *bench {
	b := &bench{r: New(set, 1), now: time.Minute, legs: map[ViewID]LegNo{}}
	b.acts = b.r.Start(b.now, nil)
	b.list(ListCached, append(caches, parentP, parentQ, origin)...)
	return b
}

func member(n NodeID) Member {
	m := Member{Node: n, State: Ready, Zone: 2, Weight: 1, Started: LongAgo}
	switch {
	case n == origin:
		m.Kind, m.Zone = 2, 0
	case n >= parentP && n < origin:
		m.Kind, m.Zone = 1, 0
	}
	return m
}

func (b *bench) list(k ListKind, nodes ...NodeID) {
	e := Event{Kind: EventList, List: k}
	for _, n := range nodes {
		e.Members = append(e.Members, member(n))
	}
	b.do(&e)
}

// change tells of one node: its state, and when it started (LongAgo: unchanged).
func (b *bench) change(n NodeID, s State, started time.Duration) {
	m := member(n)
	m.State, m.Started = s, started
	b.do(&Event{Kind: EventList, List: ListChanges, Members: []Member{m}})
}

func (b *bench) do(e *Event) {
	b.acts = b.r.Handle(b.now, e, b.acts[:0])
	for _, a := range b.acts {
		b.print(&a)
		if a.Kind == ActionCancel { // it ends at once
			b.r.Handle(b.now, &Event{Kind: EventLegEnd, View: a.View, Leg: a.Leg, Outcome: Cancelled, Final: true}, nil)
		}
	}
}

func (b *bench) print(a *Action) {
	if b.mute {
		return
	}
	at := fmt.Sprintf("%6.2fs view %d", (b.now - time.Minute).Seconds(), a.View)
	switch a.Kind {
	case ActionAsk, ActionGet:
		how := ""
		if a.How&HowHoldsOnly != 0 {
			how = ", holds-only"
		}
		if a.Age > 0 {
			how += fmt.Sprintf(", no older than %v", a.Age)
		}
		if a.Begin > 0 {
			how += fmt.Sprintf(", on its way within %v", a.Begin)
		}
		fmt.Printf("%s: leg to %s, fill from %s%s\n", at, names[a.Node], names[a.Source], how)
	case ActionTurnBack:
		fmt.Printf("%s: turned back\n", at)
	case ActionTerminate:
		fmt.Printf("%s: terminated\n", at)
	case ActionCancel:
		fmt.Printf("%s: leg %d cancelled\n", at, a.Leg)
	case ActionFollow:
		fmt.Printf("%6.2fs the list is asked for\n", (b.now - time.Minute).Seconds())
	}
}

// view brings a view of 100 KB: a tenth of a second at full pace.
func (b *bench) view(id ViewID, tariff TariffID, o ObjectID) {
	b.legs[id] = 0
	b.do(&Event{Kind: EventView, View: id, Tariff: tariff, Object: o, Group: GroupID(o % 8), KB: 100, Left: 3 * time.Second,
		Write: tariff == 1})
}

// end ends a view's next leg after a time.
func (b *bench) end(id ViewID, n NodeID, after time.Duration, o Outcome, note Note) {
	b.pass(after)
	b.do(&Event{Kind: EventLegEnd, View: id, Leg: b.legs[id], Node: n, Outcome: o, Note: note, Took: after,
		Waited: max(0, after-110*ms), Final: o == Succeeded})
	b.legs[id]++
}

// pass lets time go by with the router's ticks.
func (b *bench) pass(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now = min(end, b.now+20*ms)
		b.do(&Event{Kind: EventTimer, Timer: timerTick})
	}
}

func (b *bench) owner(o ObjectID) NodeID {
	n := b.r.walk(&b.r.caches, mix(uint64(o)), func(int32) bool { return true })
	return b.r.nodes[n].id
}

func (b *bench) home(o ObjectID) NodeID {
	n := b.r.walk(&b.r.parents, mix(uint64(o)), func(int32) bool { return true })
	return b.r.nodes[n].id
}
