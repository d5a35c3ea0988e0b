package engine

import (
	"testing"
	"time"

	"fennelarch/internal/invariant"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// guarded is a request with a guard of its own.
func (w *watcher) guarded(id routing.RequestID, left time.Duration) *Request {
	at := w.start.Add(w.at)
	var nobody *invariant.Monitor
	return &Request{
		ID: id, Client: w, Tag: Tag(id), Object: 7, SizeKB: 100, Timeout: left, ReceivedAt: at,
		Invariants: nobody.NewRequest(uint64(id), at.Add(left), invariant.RepeatPolicy{}),
	}
}

// A client leaves while its request waits for the engine, and the event that says so is before it, behind it, or not there yet:
// nothing is sent, and nothing is left.
func TestDepartureOvertakes(t *testing.T) {
	for name, order := range map[string]func(w *watcher, a *Request){
		"before":        func(w *watcher, a *Request) { w.tell(ClientGone{a.ID}); w.tell(a) },
		"behind":        func(w *watcher, a *Request) { w.tell(a); w.tell(ClientGone{a.ID}) },
		"not there yet": func(w *watcher, a *Request) { w.tell(a) },
	} {
		w := newWatcher(t, name)
		a := w.guarded(1, 2*time.Second)
		a.Invariants.End(invariant.EndClientLeft, w.start)
		w.over = true
		order(w, a)
		w.pass(3 * time.Second)
		if len(w.legs) > 0 || len(w.answers) > 0 || len(w.views) > 0 || w.InFlight() != 0 {
			t.Errorf("%s: %d attempts, %d answers, %d requests left", name, len(w.legs), len(w.answers), len(w.views))
		}
	}
}

// A client leaves between two attempts: the next one is not sent, though the router of decisions wants it.
func TestDepartureBetweenAttempts(t *testing.T) {
	w := newWatcher(t, "between attempts")
	a := w.guarded(1, 2*time.Second)
	w.tell(a)
	if len(w.legs) != 1 {
		t.Fatalf("%d attempts", len(w.legs))
	}
	a.Invariants.End(invariant.EndCancelled, w.start)
	w.over = true
	w.end(0, routing.CacheMiss, routing.NoteSourceMiss)
	w.tell(ClientGone{1})
	w.pass(3 * time.Second)
	if len(w.legs) != 1 || len(w.views) != 0 || w.InFlight() != 0 {
		t.Errorf("%d attempts, %d requests left", len(w.legs), len(w.views))
	}
}

// Where the engine has too much before it, a request is not taken, and nobody waits; that a client has gone is always taken.
func TestFullQueue(t *testing.T) {
	e := New(routing.Settings{}, 1, 2, time.Now(), nil, LocalCacheSettings{}, zap.NewNop())
	now := time.Now()
	for i := range 2 {
		if !e.Post(now, &Request{ID: routing.RequestID(i + 1)}) {
			t.Fatal("a request is not taken though there is room")
		}
	}
	if e.Post(now, &Request{ID: 3}) {
		t.Error("a request is taken though there is no room")
	}
	done := make(chan bool)
	go func() { done <- e.Post(now, ClientGone{1}) && e.Post(now, ClientGone{2}) }()
	select {
	case taken := <-done:
		if gone := e.departures.take(); !taken || len(gone) != 2 || gone[0].Request != 1 {
			t.Errorf("%v", gone)
		}
	case <-time.After(10 * time.Second):
		t.Error("whoever tells of a departure waits")
	}
}
