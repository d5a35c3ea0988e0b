package invariant

import (
	"testing"

	"fennelarch/internal/flightrecorder"
)

// Every reason has a name, which no other reason of its list shares.
func TestReasonNamesAreUnique(t *testing.T) {
	for list, names := range map[string][]string{
		"violations": violationNames[:], "send denials": sendDenialNames[:], "end reasons": endReasonNames[:],
		"close reasons": closeReasonNames[:],
	} {
		t.Run(list, func(t *testing.T) {
			seen := map[string]bool{}
			for i, name := range names {
				if name == "" || seen[name] {
					t.Errorf("reason %d has an empty or repeated name: %q", i, name)
				}
				seen[name] = true
			}
		})
	}
}

func TestUnknownReasonHasNoName(t *testing.T) {
	if ReasonName(flightrecorder.AttemptDenied, 200) != "" || ReasonName(flightrecorder.Stalled, 0) != "" {
		t.Error("unknown reason has a name")
	}
}
