package routing

import (
	"fmt"
	"testing"
	"time"
)

// A view through the decisions, served by a hit, by the number of caches of its location.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{4, 130, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := New(plain(), 1)
			now := time.Minute
			acts := r.Start(now, nil)
			e := Event{Kind: EventList, List: ListFull, Members: []Member{member(parentP), member(origin)}}
			for i := range n {
				m := member(cacheA)
				m.Node = NodeID(100_000 + i*7919)
				e.Members = append(e.Members, m)
			}
			acts = r.Handle(now, &e, acts[:0])
			id := ViewID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now += 100 * time.Microsecond
				acts = r.Handle(now, &Event{Kind: EventView, View: id, Object: ObjectID(id%5000 + 1), KB: 30, Left: 2 * time.Second}, acts[:0])
				if len(acts) == 0 {
					b.Fatal("no leg")
				}
				acts = r.Handle(now, &Event{Kind: EventLegEnd, View: id, Node: acts[len(acts)-1].Node, Outcome: Succeeded, Note: NoteHit,
					Final: true, Took: 30 * time.Millisecond}, acts[:0])
			}
		})
	}
}
