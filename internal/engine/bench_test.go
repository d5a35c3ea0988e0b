package engine

import (
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// A view through the engine and the decisions, served by a hit.
func BenchmarkView(b *testing.B) {
	r := newRig()
	r.mute = true
	id := routing.RequestID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		r.at += 100 * time.Microsecond
		r.tell(&Request{ID: id, Client: r, Tag: Tag(id), Object: routing.ObjectID(id%500 + 1), SizeKB: 30, Timeout: 2 * time.Second, ReceivedAt: r.start.Add(r.at)})
		r.end(len(r.legs)-1, routing.Succeeded, routing.NoteHit)
		r.legs = r.legs[:0]
		r.Tick(r.at)
	}
}
