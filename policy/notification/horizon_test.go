package notification

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms    = time.Millisecond
	grace = 300 * ms
	hold  = 2 * time.Second
)

// Each case asks at a time from when on a copy must have been generated to be served.
func TestUnknownUntil(t *testing.T) {
	polled := []Report{{Current, 10_000 * ms, 0}, {PollSent, 12_000 * ms, hold}}
	for _, test := range []struct {
		name    string
		reports []Report
		at      time.Duration
		want    time.Duration
	}{
		{"between two polls", nil, 14_100 * ms, 0},
		{"outage, before a purge counts as notified", []Report{{PollFailed, 12_500 * ms, 0}}, 17_300 * ms, 0},
		{"outage, after that", []Report{{PollFailed, 12_500 * ms, 0}}, 17_301 * ms, 10_001 * ms},
		{"long outage", []Report{{PollFailed, 12_500 * ms, 0}}, 60_000 * ms, 52_700 * ms},
		{"after the outage", []Report{{PollFailed, 12_500 * ms, 0}, {Current, 30_000 * ms, 0}}, 34_000 * ms, 0},
		{"response broken off", []Report{{PollBroken, 12_500 * ms, 0}}, 14_799 * ms, 0},
		{"response broken off 2 s ago", []Report{{PollBroken, 12_500 * ms, 0}}, 14_800 * ms, 12_500 * ms},
		{"silent for less than 2 s past the hold", []Report{{PollOverdue, 14_500 * ms, 0}}, 16_299 * ms, 0},
		{"silent for 2 s past the hold", []Report{{PollOverdue, 14_500 * ms, 0}}, 16_300 * ms, 14_000 * ms},
		{"polled again after a failure", []Report{
			{PollFailed, 12_500 * ms, 0}, {PollSent, 13_000 * ms, hold},
		}, 13_300 * ms, 13_000 * ms},
		{"polled again, and answered", []Report{
			{PollBroken, 12_500 * ms, 0}, {PollSent, 13_000 * ms, hold}, {Current, 13_000 * ms, 0},
		}, 16_000 * ms, 0},
		{"an older poll is answered", []Report{
			{PollOverdue, 12_500 * ms, 0}, {PollSent, 13_000 * ms, hold}, {Current, 12_000 * ms, 0},
		}, 13_300 * ms, 13_000 * ms},
		{"moved less than 4 s ago", []Report{{AddressChanged, 12_500 * ms, 0}}, 16_799 * ms, 0},
		{"moved 4 s ago", []Report{{AddressChanged, 12_500 * ms, 0}}, 16_800 * ms, 12_500 * ms},
		{"moved, and polled there", []Report{{AddressChanged, 12_500 * ms, 0}, {Current, 12_600 * ms, 0}}, 16_800 * ms, 0},
		{"an event was lost", []Report{{EventsLost, 12_500 * ms, 0}, {Current, 12_600 * ms, 0}}, 16_800 * ms, 12_500 * ms},
	} {
		t.Run(test.name, func(t *testing.T) {
			horizon := New(Settings{HasPurges: true, Grace: grace})
			for _, report := range append(append([]Report(nil), polled...), test.reports...) {
				horizon.Record(report)
			}
			if got := horizon.UnknownUntil(test.at); got != test.want {
				t.Errorf("copies must be generated at %v or later, want %v", got, test.want)
			}
		})
	}
}

// Without purges, copies are served however long discovery is down.
func TestWithoutPurges(t *testing.T) {
	horizon := New(Settings{Grace: grace})
	horizon.Record(Report{Kind: EventsLost, At: time.Second})
	if got := horizon.UnknownUntil(time.Hour); got != 0 {
		t.Errorf("copies must be generated at %v or later, want any time", got)
	}
}

// However often discovery fails, the state stays small, and no copy is served that was generated before a purge that
// counts as notified by its age alone.
func TestManyFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		horizon := New(Settings{HasPurges: true, Grace: grace})
		now := time.Duration(0)
		for range rapid.IntRange(0, 60).Draw(t, "reports") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * ms
			kind := ReportKind(rapid.IntRange(int(PollSent), int(AddressChanged)).Draw(t, "kind"))
			horizon.Record(Report{Kind: kind, At: now, Hold: hold})
			if len(horizon.dues) > maxDue {
				t.Fatalf("%d due times are kept, want %d at most", len(horizon.dues), maxDue)
			}
			oldest := now - grace - maxDelay
			if got := horizon.UnknownUntil(now); oldest > 0 && got < oldest {
				t.Fatalf("copies from %v may be served at %v", got, now)
			}
		}
	})
}
