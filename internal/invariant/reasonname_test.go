package invariant

import (
	"testing"

	"fennelarch/internal/flightrecorder"
)

// Each reason has a name of its own.
func TestReasonNamesAreUnique(t *testing.T) {
	for list, names := range map[string][]string{
		"violations": violationNames[:], "send denials": sendDenialNames[:], "end reasons": endReasonNames[:],
		"close reasons": closeReasonNames[:],
	} {
		t.Run(list, func(t *testing.T) {
			seen := map[string]bool{}
			for i, name := range names {
				if name == "" || seen[name] {
					t.Errorf("place %d: %q", i, name)
				}
				seen[name] = true
			}
		})
	}
}

func TestUnknownReasonHasNoName(t *testing.T) {
	if ReasonName(flightrecorder.AttemptDenied, 200) != "" || ReasonName(flightrecorder.Stalled, 0) != "" {
		t.Error("an unknown reason has a name")
	}
}
