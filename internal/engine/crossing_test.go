package engine

// What comes in one turn of the engine: the end of a leg, a second answer, the client's leaving, its time being up and the order
// to stop, in every order. One clock reading serves all of them.

import (
	"fmt"
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// orders is every order of n things.
func orders(n int) (all [][]int) {
	if n == 0 {
		return [][]int{nil}
	}
	for _, o := range orders(n - 1) {
		for at := range n {
			p := append([]int(nil), o[:at]...)
			all = append(all, append(append(p, n-1), o[at:]...))
		}
	}
	return all
}

// watcher counts what a client hears, and which legs go out once nothing may.
type watcher struct {
	rig
	answers []Status
	over    bool // the client has left, or has its answer
	t       *testing.T
	what    string
}

func (w *watcher) Respond(_ Tag, a Response) {
	w.answers = append(w.answers, a.Status)
	w.over = true
}

func (w *watcher) Send(l *Attempt) {
	if w.over {
		w.t.Errorf("%s: leg %d was sent for a view that was over", w.what, l.Number)
	}
	w.legs = append(w.legs, l)
}

func (w *watcher) Abort(l *Attempt) bool { return w.tried }

func newWatcher(t *testing.T, what string, own ...LocalCacheSettings) *watcher {
	r := newRig(own...)
	w := &watcher{rig: *r, t: t, what: what}
	w.mute = true
	w.caches = w
	return w
}

// Whatever coincides with the end of a leg, and in which order: a client that stays has one answer, one that left before it has
// none, nothing is sent for a view that is over, a one-shot view that may have run goes nowhere else, and nothing is left in the
// engine. Played in the turn in which the view's time is up, and with much of it left.
func TestOneTurnInEveryOrder(t *testing.T) {
	ends := []struct {
		name    string
		outcome routing.Outcome
		note    routing.Note
	}{
		{"succeeded", routing.Succeeded, routing.NoteHit},
		{"broken", routing.ConnectionBroken, 0},
		{"refused", routing.ConnectFailed, 0},
		{"missed", routing.CacheMiss, routing.NoteSourceMiss},
		{"error", routing.Failed, 0},
		{"full", routing.Overloaded, 0},
	}
	for tariff := range routing.ClassID(2) {
		for _, end := range ends {
			for _, ran := range []bool{true, false} { // what giving up finds
				for _, time := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
					for _, o := range orders(5) {
						oneTurn(t, tariff, end.name, end.outcome, end.note, ran, time, o)
					}
				}
			}
		}
	}
}

func oneTurn(t *testing.T, tariff routing.ClassID, name string, outcome routing.Outcome, note routing.Note, ran bool, left time.Duration, order []int) {
	w := newWatcher(t, fmt.Sprintf("tariff %d, %s, may have run %v, %v left, order %v", tariff, name, ran, left, order))
	w.tried = ran
	w.tell(&Request{ID: 1, Client: w, Tag: 1, Class: tariff, Write: tariff == 1, Object: 7, SizeKB: 100, Timeout: left, ReceivedAt: w.start.Add(w.at)})
	if len(w.legs) != 1 {
		t.Fatalf("%s: %d legs", w.what, len(w.legs))
	}
	w.pass(299 * time.Millisecond)
	before := len(w.legs)
	w.at += time.Millisecond
	gone, answered, mayRun := false, 0, false
	for _, what := range order {
		switch what {
		case 0:
			mayRun = mayRun || !w.legs[0].done && (outcome == routing.ConnectionBroken || outcome == routing.Failed)
			w.end(0, outcome, note)
		case 1:
			if !gone {
				answered = len(w.answers)
			}
			gone, w.over = true, true
			w.tell(ClientGone{1})
		case 2:
			w.Tick(w.at)
		case 3:
			w.end(0, routing.Succeeded, routing.NoteHit) // a second answer
		case 4:
			w.tell(Shutdown{Grace: time.Second})
		}
	}
	w.pass(4 * time.Second)
	for i := range w.legs { // what is out yet ends now
		w.end(i, routing.ConnectionBroken, 0)
	}
	w.pass(time.Second)
	switch n := len(w.answers); {
	case n > 1 || n == 0 && !gone:
		t.Fatalf("%s: %d answers", w.what, n)
	case gone && n > answered:
		t.Fatalf("%s: an answer to a client that had gone", w.what)
	case tariff == 1 && mayRun && len(w.legs) > before:
		t.Fatalf("%s: a one-shot view that may have run was sent again", w.what)
	case tariff == 1 && mayRun && n == 1 && w.answers[0] == StatusRejected:
		t.Fatalf("%s: turned back though it may have run", w.what)
	}
	if len(w.views) != 0 || w.InFlight() != 0 {
		t.Fatalf("%s: %d views, %d open", w.what, len(w.views), w.InFlight())
	}
}

// A copy of the router's own is dropped for another, or purged, while its bytes are on their way: they arrive whole, and the leg
// ends once.
func TestOwnCopyDroppedWhileSent(t *testing.T) {
	for _, drops := range []func(w *watcher){
		func(w *watcher) { w.tell(Purge{Object: 7, Issued: w.start.Add(w.at)}) },
		func(w *watcher) {
			a := &Request{Object: 8, Timeout: time.Second}
			w.copies.keep(a, &AttemptResult{Body: make([]byte, 900), ETag: "other", GeneratedAt: w.start.Add(w.at)}, w.at, w.at)
		},
		func(w *watcher) { w.tell(ClientGone{2}) },
	} {
		w := newWatcher(t, "own copies", LocalCacheSettings{Bytes: 1300, FlowBytesPerSecond: 1000, LinkBytesPerSecond: 1000, MaxInFlight: time.Second})
		ask := func(id routing.RequestID) {
			w.over = false
			w.tell(&Request{ID: id, Client: w, Tag: Tag(id), Object: 7, SizeKB: 100, Timeout: 3 * time.Second, ReceivedAt: w.start.Add(w.at)})
		}
		ask(1)
		w.end(0, routing.Succeeded, routing.NoteHit)
		ask(2)
		for i := 1; i < len(w.legs) && len(w.answers) < 2; i++ { // all nodes are full: its own copy is what is left
			w.end(i, routing.Overloaded, 0)
		}
		if len(w.answers) != 2 || w.answers[1] != StatusOK {
			t.Fatalf("answers %v", w.answers)
		}
		drops(w)
		w.pass(time.Second)
		if len(w.answers) != 2 || len(w.views) != 0 || w.InFlight() != 0 {
			t.Errorf("%d answers, %d views, %d open", len(w.answers), len(w.views), w.InFlight())
		}
	}
}
