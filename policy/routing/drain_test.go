package routing

import (
	"testing"
	"time"
)

// A server that left before this router heard of it has no grace left, whether the list tells it all at once or event by event.
func TestLeftBeforeTheStart(t *testing.T) {
	for name, tell := range map[string]func(b *bench){
		"first seen as it drains": func(b *bench) {
			b.do(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListFull, Age: time.Minute, Endpoints: []Endpoint{member(cacheA), leaving(cacheB), member(parentP), member(origin)}})
		},
		"ready, then draining, long ago": func(b *bench) {
			b.do(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListFull, Age: time.Minute, Endpoints: []Endpoint{member(cacheA), member(cacheB), member(parentP), member(origin)}})
			b.do(&Event{Kind: EventEndpoints, Age: time.Minute, Endpoints: []Endpoint{leaving(cacheB)}})
		},
		"missing in a whole list": func(b *bench) {
			b.do(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListFull, Age: time.Minute, Endpoints: []Endpoint{member(cacheA), member(cacheB), member(parentP), member(origin)}})
			b.do(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListFull, Age: time.Minute, Endpoints: []Endpoint{member(cacheA), member(parentP), member(origin)}})
		},
	} {
		b := &bench{r: New(plain(), 1), legs: map[RequestID]AttemptNumber{}, mute: true}
		b.acts = b.r.Start(0, nil)
		tell(b)
		if n, known := b.r.index[cacheB]; known && b.r.usable(n) {
			t.Errorf("%s: it may still be named at the start", name)
		}
		for id := range RequestID(40) {
			b.view(id+1, 0, ObjectID(id+1))
		}
		for _, v := range b.r.views {
			for _, l := range v.legs[:v.n] {
				if b.r.nodes[l.node].id == cacheB || b.r.nodes[l.source].id == cacheB {
					t.Errorf("%s: an attempt names it", name)
				}
			}
		}
	}
	// One that is told now has its grace, as ever.
	b := newBench(plain(), cacheA, cacheB)
	b.mute = true
	b.do(&Event{Kind: EventEndpoints, Endpoints: []Endpoint{leaving(cacheB)}})
	if !b.r.usable(b.r.index[cacheB]) {
		t.Error("a drain that is told now has no grace")
	}
}

func leaving(n EndpointID) Endpoint {
	m := member(n)
	m.State = Draining
	return m
}
