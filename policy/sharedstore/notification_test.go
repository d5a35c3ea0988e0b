package sharedstore

import (
	"testing"
	"time"

	"fennelarch/policy/notification"
	"fennelarch/policy/routing"
)

// TestHitsDuringAnOutageOfDiscovery guards against answers from a store that are older than a purge which counts as
// notified, though discovery has not delivered it.
func TestHitsDuringAnOutageOfDiscovery(t *testing.T) {
	for _, test := range []struct {
		name       string
		current    time.Duration // all purges published until then are known
		validFrom  Timestamp
		wantStored bool // the store's copy is served
	}{
		{"purges are known until 2 s ago", 18 * time.Second, epoch + 3000, true},
		{"purges are known until 8 s ago", 12 * time.Second, epoch + 3000, false},
		{"and the copy reflects all that count as notified", 12 * time.Second, epoch + 13_300, true},
		{"and the clocks may differ by more than it is newer", 12 * time.Second, epoch + 12_900, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := testSettings()
			settings.Notification = notification.Settings{HasPurges: true, Grace: 300 * ms}
			coordinator := New(settings, 1, testStore)
			handle := func(event Event) []Action { return coordinator.Handle(20*time.Second, &event, nil) }
			coordinator.RecordDiscoveryReport(18*time.Second, notification.Report{Kind: notification.Current, At: test.current})
			handle(Event{Kind: EventConnected, Endpoint: testStore, RunID: 1, Uptime: time.Hour})
			handle(requestEvent(1))
			actions := handle(Event{
				Kind: EventGetDone, Operation: 1, Endpoint: testStore, Reply: ReplyHit,
				GeneratedAt: epoch + 3000, ValidFrom: test.validFrom,
			})
			isServed := len(actions) > 0 && actions[0].Kind == ActionComplete && actions[0].Outcome == routing.Succeeded
			if isServed != test.wantStored {
				t.Errorf("the store's copy is served: %v, want %v", isServed, test.wantStored)
			}
		})
	}
}
