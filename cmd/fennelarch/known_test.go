package main

import (
	"testing"
	"time"
)

// A router starts with events that were told before: a cache server drained and another is gone. Nothing goes to either, as target or
// as source, from the first request on.
func TestNothingToWhoLeftBeforeTheStart(t *testing.T) {
	stays, drained, gone := newNode(t, "s-1", "std", missing), newNode(t, "s-2", "std", missing), newNode(t, "s-3", "std", missing)
	f := prepareFleet(t, stays, drained, gone)
	f.board.list(false, "draining", drained)
	f.board.list(false, "gone", gone)
	time.Sleep(400 * time.Millisecond) // past the grace of 0.3 s
	f.configureKnown()
	f.start()
	c := f.client().read()
	for object := range 60 {
		c.answer(c.view("clip", object+1, 500, ""))
	}
	if n := len(drained.got("fetch")) + len(gone.got("fetch")); n > 0 {
		t.Errorf("%d attempts reached servers that had left", n)
	}
	for _, q := range stays.got("fetch") {
		if next := q.fields["next"]; next == drained.uid || next == gone.uid {
			t.Errorf("%s is named as a source after it had left", next)
		}
	}
}
