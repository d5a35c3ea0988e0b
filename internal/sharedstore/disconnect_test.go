package sharedstore

import (
	"testing"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/policy/routing"

	"go.uber.org/zap"

	policy "fennelarch/policy/sharedstore"
)

// The loss of a connection is noticed even while its reader is blocked because the engine takes no messages.
func TestDisconnectIsNoticedWhileReaderIsBlocked(t *testing.T) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	f := newFixture(t, zap.NewNop())
	f.silenceParent()
	for range cap(f.results) {
		f.results <- engine.AttemptResult{}
	}
	// Without this, the transport would wait for its reader forever.
	t.Cleanup(func() { go f.discardResults(done) })
	// A miss without a source: the reader delivers the result.
	f.requestFrom(7, 0)
	f.waitUntilNothingLeft(t)
	f.redis.Close()
	startedAt := time.Now()
	for object := routing.ObjectID(8); !f.isDisconnected(); object++ {
		if time.Since(startedAt) > 2*time.Second {
			t.Fatal("the loss of the connection was not noticed within 2 s")
		}
		f.request(object) // the loss of the connection shows when a command is written
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("noticed after %v", time.Since(startedAt).Round(time.Millisecond))
}

// Results that a reader reports after its connection has ended complete their commands, but do not mark the store as
// connected.
func TestLateResultsOfEndedConnection(t *testing.T) {
	f := newUnconnectedFixture(t)
	f.start(t)
	bounds := testLimits()
	client := f.clients[engine.EndpointID(storeUID)]
	ended := newConnection(&bounds, Credentials{}, time.Now())
	client.setConnection(ended, nil)
	f.requestFrom(7, 0)
	client.setConnection(nil, nil)
	f.handleDisconnected(client, errStoreSilent)

	f.handleResults(client, ended, []result{
		connectedResult{runID: 2, uptime: time.Hour},
		commandResult{command: getCommand(&client.keys, f.lastOperation, copyKey{object: 7}), reply: policy.ReplyMiss},
	})
	if !f.isDisconnected() {
		t.Error("a result of an ended connection marked the store as connected")
	}
	if result := f.result(t); result.Outcome != routing.CacheMiss {
		t.Errorf("the late reply to a get ends the attempt with outcome %v, want CacheMiss", result.Outcome)
	}
	f.request(8)
	f.result(t)
	if bypassed := f.Counts().Bypassed; bypassed != 1 {
		t.Errorf("%d requests have bypassed the store, want 1", bypassed)
	}
}

func (f *fixture) discardResults(done <-chan struct{}) {
	for {
		select {
		case <-f.results:
		case <-done:
			return
		}
	}
}

func (f *fixture) isDisconnected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clients[engine.EndpointID(storeUID)].isDisconnected
}

func (f *fixture) silenceParent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.parent.isSilent = true
}
