package routing

import (
	"fmt"
	"testing"
	"time"
)

// A view through the decisions, served by a hit, by the number of caches of its location.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{4, 130, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := New(testSettings(), 1)
			now := time.Minute
			acts := r.Start(now, nil)
			e := Event{Kind: EventEndpoints, EndpointListKind: EndpointListFull, Endpoints: []Endpoint{member(parentP), member(origin)}}
			for i := range n {
				m := member(cacheA)
				m.ID = EndpointID(100_000 + i*7919)
				e.Endpoints = append(e.Endpoints, m)
			}
			acts = r.Handle(now, &e, acts[:0])
			id := RequestID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now += 100 * time.Microsecond
				acts = r.Handle(now, &Event{Kind: EventRequest, Request: id, Object: ObjectID(id%5000 + 1), SizeKB: 30, TimeLeft: 2 * time.Second}, acts[:0])
				if len(acts) == 0 {
					b.Fatal("no leg")
				}
				acts = r.Handle(now, &Event{
					Kind: EventAttemptResult, Request: id, Endpoint: acts[len(acts)-1].Endpoint, Outcome: Succeeded, Note: NoteHit,
					Final: true, Elapsed: 30 * time.Millisecond,
				}, acts[:0])
			}
		})
	}
}
