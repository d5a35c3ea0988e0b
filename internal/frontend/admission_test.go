package frontend

import (
	"net"
	"testing"
	"time"

	"fennelarch/internal/config"
	"fennelarch/policy/admission"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// A connection may be evicted just as one of its requests is rejected and its reading is paused. The length of the
// pause is not the time to retry after: here the settings send none.
func TestPauseOfEvictedConnectionIsNoRetryAfter(t *testing.T) {
	server := New(Options{
		Limits: testLimits(192), Names: config.Names{Classes: []string{"clip"}}, Classes: []routing.Class{{}},
		Log: zap.NewNop(), Admission: admission.Settings{RequestsPerPeer: 1, MaxRequests: 1},
	})
	raw, peer := net.Pipe()
	t.Cleanup(func() { _, _ = raw.Close(), peer.Close() })
	c := newConnection(server, raw, time.Now())
	server.register(c)
	server.handleAdmissionEvent(admission.Event{Kind: admission.EventArrival, Conn: c.id, Peer: admission.Peer{1}})
	if _, admitted := c.admitRequest(admission.Event{Kind: admission.EventRequest}); !admitted {
		t.Fatal("first request rejected, want it admitted")
	}
	server.unregister(c) // as evict does
	for i := range 20 {
		retryAfter, admitted := c.admitRequest(admission.Event{Kind: admission.EventRequest})
		if admitted || retryAfter != 0 {
			t.Fatalf("request %d: admitted %v, retry after %v, want a rejection without a time", i+2, admitted, retryAfter)
		}
	}
}
