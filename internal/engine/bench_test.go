package engine

import (
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// BenchmarkRequest measures a request through the engine and the router, served by a cache hit.
func BenchmarkRequest(b *testing.B) {
	engine := newTestEngine()
	engine.quiet = true
	id := routing.RequestID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		engine.elapsed += 100 * time.Microsecond
		engine.send(&Request{
			ID: id, Client: engine, Tag: Tag(id), Object: routing.ObjectID(id%500 + 1), SizeKB: 30, Timeout: 2 * time.Second,
			ReceivedAt: engine.start.Add(engine.elapsed),
		})
		engine.deliverResult(len(engine.attempts)-1, routing.Succeeded, routing.NoteHit)
		engine.attempts = engine.attempts[:0]
		engine.Tick(engine.elapsed)
	}
}
