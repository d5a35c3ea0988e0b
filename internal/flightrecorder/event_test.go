package flightrecorder

import "testing"

func TestEventNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for event := range events {
		if event.String() == "" || seen[event.String()] {
			t.Errorf("event %d: %q", event, event)
		}
		seen[event.String()] = true
	}
}
