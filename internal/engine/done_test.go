package engine

import (
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// OnDone is called once for each request, after its last attempt has ended, and the body is dropped by then, also from
// the timers that still refer to the request.
func TestOnDone(t *testing.T) {
	for name, test := range map[string]struct {
		end   func(engine *checkedEngine)
		class routing.ClassID
	}{
		"served":  {func(engine *checkedEngine) { engine.deliverResult(0, routing.Succeeded, 0) }, nonIdempotentClass},
		"failed":  {func(engine *checkedEngine) { engine.deliverResult(0, routing.Failed, 0) }, nonIdempotentClass},
		"expired": {func(engine *checkedEngine) { engine.advance(4 * time.Second) }, nonIdempotentClass},
		"client gone": {func(engine *checkedEngine) {
			engine.isClosed = true
			engine.send(ClientGone{1})
		}, nonIdempotentClass},
		"served by a hedged request": {func(engine *checkedEngine) {
			engine.advance(time.Second)
			engine.deliverResult(len(engine.attempts)-1, routing.Succeeded, routing.NoteHit)
			engine.deliverResult(0, routing.Succeeded, routing.NoteHit)
		}, idempotentClass},
	} {
		t.Run(name, func(t *testing.T) {
			engine := newCheckedEngine(t, name)
			request, calls := engine.newRequest(1, test.class, 3*time.Second), 0
			request.Body = []byte("body")
			request.OnDone = func() { calls++ }
			engine.send(request)
			if calls > 0 {
				t.Fatal("done before the end")
			}
			test.end(engine)
			if calls != 1 || request.Body != nil || len(engine.requests) != 0 {
				t.Errorf("OnDone was called %d times, want once; body of %d bytes", calls, len(request.Body))
			}
			engine.advance(5 * time.Second)
			if calls != 1 {
				t.Errorf("OnDone was called %d times in the end, want once", calls)
			}
		})
	}
}

// The local cache yields memory to others that share it, the least recently used copies first, and takes it again.
func TestLocalCacheYieldsMemory(t *testing.T) {
	inUse := int64(0)
	local := newTestCache()
	local.settings.SharedBytes = 3 * (1000 + entryOverheadBytes)
	local.settings.SharedInUse = func() int64 { return inUse }
	for object := range routing.ObjectID(3) {
		local.storeObject(object+1, local.now)
	}
	local.find(requestFor(1), 0, local.now)
	inUse = 1
	if local.yield(); !local.holds(1) || local.holds(2) || !local.holds(3) {
		t.Errorf("%d bytes are kept, want two copies, without the one that was used longest ago", local.bytes)
	}
	if local.storeObject(4, local.now); local.holds(1) || !local.holds(4) { // holds uses a copy: 3 was used last
		t.Error("want a new copy in place of the one that was used longest ago")
	}
	inUse = local.settings.SharedBytes
	if local.yield(); local.bytes != 0 {
		t.Errorf("%d bytes are kept though others use all the memory", local.bytes)
	}
	if local.storeObject(5, local.now); local.holds(5) {
		t.Error("a copy is stored though others use all the memory")
	}
	inUse = 0
	if local.storeObject(5, local.now); !local.holds(5) {
		t.Error("no copy is stored though there is memory again")
	}
}
