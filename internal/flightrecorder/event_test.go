package flightrecorder

import "testing"

func TestEventNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for event := range eventCount {
		if event.String() == "" || seen[event.String()] {
			t.Errorf("event %d has an empty or repeated name: %q", event, event)
		}
		seen[event.String()] = true
	}
}
