package sharedstore

import (
	"testing"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/policy/routing"
)

// Run reports a command as failed that cannot be sent because there is no connection, and the request is filled.
func TestRequestWithoutConnectionIsFilled(t *testing.T) {
	f := newUnconnectedFixture(t)
	f.request(7)
	if unsent, fills := f.unsentCommands(), f.fillsSent(); unsent != 1 || fills != 0 {
		t.Fatalf("%d unsent commands and %d fills before Run, want 1 and 0", unsent, fills)
	}
	f.start(t)
	if result := f.result(t); result.Outcome != routing.Succeeded || result.Note != routing.NoteFilled {
		t.Errorf("got outcome %v, note %v, want a filled result", result.Outcome, result.Note)
	}
	f.waitUntilNothingLeft(t)
	if sets, unsent := f.Counts().Sets, f.unsentCommands(); sets != 1 || unsent != 0 {
		t.Errorf("%d sets, and %d unsent commands are left; want 1 and 0", sets, unsent)
	}
}

// An attempt without a source sets no timer, so only the failure of the unsent command can end it.
func TestRequestWithoutConnectionAndSourceFails(t *testing.T) {
	f := newUnconnectedFixture(t)
	f.start(t)
	f.requestFrom(7, 0)
	if result := f.result(t); result.Outcome != routing.CacheMiss || result.Note != routing.NoteSourceMiss {
		t.Errorf("got outcome %v, note %v, want a miss at the source", result.Outcome, result.Note)
	}
	f.checkNothingLeft(t)
}

// Each follower of an aborted leader gets a result, even if each in turn becomes the leader, asks the store and fails.
// Abort lets only the first of them ask and leaves the others to Run, because Abort runs on the engine's goroutine.
func TestAbortOfLeaderWithoutConnection(t *testing.T) {
	const followers = 50
	f := newUnconnectedFixture(t)
	bounds := testLimits()
	client := f.clients[engine.EndpointID(storeUID)]
	client.setConnection(newConnection(&bounds, Credentials{}, time.Now()), nil)
	leader := f.request(7)
	for range followers {
		f.request(7)
	}
	client.setConnection(nil, nil)
	f.listParentDraining() // no follower can be filled, so each fails in turn and the next takes over
	if !f.Abort(leader) {
		t.Error("Abort returned false")
	}
	if unsent, results := f.unsentCommands(), f.outboxLength(); unsent != 1 || results != 0 {
		t.Errorf("%d unsent commands and %d results after Abort, want 1 and 0", unsent, results)
	}
	f.start(t)
	for range followers {
		if result := f.result(t); result.Outcome != routing.Overloaded || result.Attempt == leader {
			t.Errorf("got outcome %v, want Overloaded and the attempt of a follower", result.Outcome)
		}
	}
	f.checkNothingLeft(t)
}

func (f *fixture) unsentCommands() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.unsent)
}

func (f *fixture) fillsSent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.parent.fills)
}

func (f *fixture) outboxLength() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.outbox)
}
