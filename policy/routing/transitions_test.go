package routing

import (
	"fmt"
	"testing"
)

// Prints the whole transition table except for rejections.
func Example_transitions() {
	stages := [stageCount]string{"parent", "relay", "parent cached", "origin", "bypass", "lookup", "local cache"}
	describe := func(following transition) string {
		switch following.kind {
		case tryNextSource:
			return "fill from " + stages[following.stage]
		case tryNextCache:
			return "next cache"
		default:
			return "reject"
		}
	}
	failures := [failureCount]string{
		"not cached", "source", "origin", "no capacity", "endpoint", "timeout", "request",
	}
	for stage, row := range transitions {
		fmt.Printf("%s\n", stages[stage])
		for failure, following := range row {
			if following.kind != rejectRequest {
				fmt.Printf("  %s: %s\n", failures[failure], describe(following))
			}
		}
	}
	// Output:
	// parent
	//   not cached: fill from origin
	//   source: fill from origin
	//   no capacity: next cache
	//   endpoint: next cache
	// relay
	//   not cached: fill from parent
	//   source: fill from parent
	//   origin: fill from parent
	//   no capacity: next cache
	//   endpoint: next cache
	// parent cached
	//   not cached: fill from parent
	//   source: fill from origin
	//   no capacity: next cache
	//   endpoint: next cache
	// origin
	//   source: fill from parent
	//   no capacity: next cache
	//   endpoint: next cache
	// bypass
	//   not cached: next cache
	//   source: next cache
	//   no capacity: next cache
	//   endpoint: next cache
	// lookup
	//   endpoint: next cache
	// local cache
}

func TestClassifyFailure(t *testing.T) {
	for name, test := range map[string]struct {
		event Event
		want  failureKind
	}{
		"note takes precedence over outcome": {Event{Outcome: Overloaded, Note: NoteSourceRefused}, failureSource},
		"source unreachable":                 {Event{Outcome: Failed, Note: NoteSourceUnreachable}, failureSource},
		"source without the object":          {Event{Outcome: CacheMiss, Note: NoteSourceMiss}, failureNotCached},
		"origin failed behind the parent":    {Event{Outcome: Failed, Note: NoteOriginFailed}, failureOrigin},
		"no capacity for a fill":             {Event{Outcome: Overloaded, Note: NoteNoFillCapacity}, failureNoCapacity},
		"miss":                               {Event{Outcome: CacheMiss}, failureNotCached},
		"overloaded":                         {Event{Outcome: Overloaded}, failureNoCapacity},
		"timed out":                          {Event{Outcome: TimedOut}, failureTimeout},
		"cancelled":                          {Event{Outcome: Cancelled}, failureTimeout},
		"not sent":                           {Event{Outcome: NotSent}, failureTimeout},
		"failed":                             {Event{Outcome: Failed}, failureEndpoint},
		"connect failed":                     {Event{Outcome: ConnectFailed}, failureEndpoint},
		"connection broken":                  {Event{Outcome: ConnectionBroken}, failureEndpoint},
	} {
		t.Run(name, func(t *testing.T) {
			if got := classifyFailure(&test.event); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
