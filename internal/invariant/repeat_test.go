package invariant

import (
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// Whether a second attempt may begin depends on the idempotency, the dedup scope and window, and whether the first
// attempt is proven not to have run.
func TestRepeats(t *testing.T) {
	withKey := func(scope routing.DedupScope) RepeatPolicy {
		return RepeatPolicy{routing.IdempotentWithKey, scope, time.Second}
	}
	idempotent := RepeatPolicy{Idempotency: routing.Idempotent}
	nonIdempotent := RepeatPolicy{Idempotency: routing.NonIdempotent}
	now := time.Now()
	for _, testCase := range []struct {
		name   string
		policy RepeatPolicy
		to     Server
		later  time.Duration
		notRun bool
		want   SendDenial
	}{
		{"idempotent", idempotent, otherZone, time.Second, false, SendAllowed},
		{"not idempotent", nonIdempotent, baseServer, 0, false, SendRepeatUnsafe},
		{"not idempotent, did not run", nonIdempotent, otherZone, 0, true, SendAllowed},
		{"with key, in its cell", withKey(routing.ScopeCell), sameCell, 0, false, SendAllowed},
		{"with key, out of its cell", withKey(routing.ScopeCell), sameZone, 0, false, SendRepeatUnsafe},
		{"with key, in its zone", withKey(routing.ScopeZone), sameZone, 0, false, SendAllowed},
		{"with key, out of its zone", withKey(routing.ScopeZone), otherZone, 0, false, SendRepeatUnsafe},
		{"with key, anywhere", withKey(routing.ScopeAll), otherZone, 0, false, SendAllowed},
		{"with key, after its window", withKey(routing.ScopeAll), baseServer, time.Second, false, SendRepeatUnsafe},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			request := newMonitor().NewRequest(7, now.Add(time.Minute), testCase.policy)
			request.BeginAttempt(Attempt{Server: baseServer}, now)
			if testCase.notRun {
				request.MarkNotRun(0, baseServer.Endpoint)
			}
			got := request.BeginAttempt(Attempt{Number: 1, Server: testCase.to}, now.Add(testCase.later))
			if got != testCase.want {
				t.Errorf("second attempt: got %v, want %v", got, testCase.want)
			}
		})
	}
}
