package routing

// fillStage says which kind of endpoint serves an attempt, and which kind of source a miss is filled from.
type fillStage uint8

const (
	stageParent       fillStage = iota // the ring's cache, filled from the ring's parent
	stageRelay                         // the ring's cache, filled from the previous owner if it has a copy
	stageParentCached                  // as stageParent, but only if the parent has a copy: the origin has no capacity
	stageOrigin                        // the ring's cache, filled directly from the origin: the parent is failing
	stageBypass                        // directly to a parent or the origin, bypassing the caches
	stageLookup                        // the ring's cache without a fill
	stageLocalCache                    // the router's own cache
	stageCount
)

// failureKind says what failed when an attempt has ended without an answer.
type failureKind uint8

const (
	failureNotCached  failureKind = iota // neither the endpoint nor the source has a suitable copy
	failureSource                        // the source failed
	failureOrigin                        // the parent's request to the origin failed
	failureNoCapacity                    // the endpoint is overloaded, or has no capacity for a fill
	failureEndpoint                      // the endpoint failed
	failureTimeout                       // no answer in time, or the attempt was cancelled or not sent
	failureRequest                       // a second endpoint answered with an error, so the request is the cause
	failureCount
)

// followUpKind says how the router continues after a failed attempt.
type followUpKind uint8

const (
	tryNextSource followUpKind = iota // retry at the same cache, with the source of another stage
	tryNextCache                      // retry at the next cache of the ring
	rejectRequest                     // give up: no further attempt can succeed in time
)

// transition is the reaction to a failed attempt. The stage is used only with tryNextSource.
type transition struct {
	stage fillStage
	kind  followUpKind
}

var (
	toParent    = transition{stageParent, tryNextSource}
	toOrigin    = transition{stageOrigin, tryNextSource}
	toNextCache = transition{kind: tryNextCache}
	toRejection = transition{kind: rejectRequest}
)

// transitions maps the stage of an attempt and its failure to the reaction. If the next stage cannot be used (no such
// endpoint, no budget, not in time), sendWithFill and route continue with a later stage or give up.
var transitions = [stageCount][failureCount]transition{
	stageParent: {
		failureNotCached: toOrigin, failureSource: toOrigin, failureOrigin: toRejection,
		failureNoCapacity: toNextCache, failureEndpoint: toNextCache,
		failureTimeout: toRejection, failureRequest: toRejection,
	},
	stageRelay: {
		failureNotCached: toParent, failureSource: toParent, failureOrigin: toParent,
		failureNoCapacity: toNextCache, failureEndpoint: toNextCache,
		failureTimeout: toRejection, failureRequest: toRejection,
	},
	stageParentCached: {
		failureNotCached: toParent, failureSource: toOrigin, failureOrigin: toRejection,
		failureNoCapacity: toNextCache, failureEndpoint: toNextCache,
		failureTimeout: toRejection, failureRequest: toRejection,
	},
	stageOrigin: {
		failureNotCached: toRejection, failureSource: toParent, failureOrigin: toRejection,
		failureNoCapacity: toNextCache, failureEndpoint: toNextCache,
		failureTimeout: toRejection, failureRequest: toRejection,
	},
	stageBypass: {
		failureNotCached: toNextCache, failureSource: toNextCache, failureOrigin: toRejection,
		failureNoCapacity: toNextCache, failureEndpoint: toNextCache,
		failureTimeout: toRejection, failureRequest: toRejection,
	},
	stageLookup: {
		failureNotCached: toRejection, failureSource: toRejection, failureOrigin: toRejection,
		failureNoCapacity: toRejection, failureEndpoint: toNextCache,
		failureTimeout: toRejection, failureRequest: toRejection,
	},
	stageLocalCache: {
		failureNotCached: toRejection, failureSource: toRejection, failureOrigin: toRejection,
		failureNoCapacity: toRejection, failureEndpoint: toRejection,
		failureTimeout: toRejection, failureRequest: toRejection,
	},
}

// classifyFailure returns what failed according to the note in the result of an attempt, else according to the outcome.
func classifyFailure(event *Event) failureKind {
	switch event.Note {
	case NoteSourceMiss:
		return failureNotCached
	case NoteSourceRefused, NoteSourceUnreachable:
		return failureSource
	case NoteOriginFailed:
		return failureOrigin
	case NoteNoFillCapacity:
		return failureNoCapacity
	default:
		return classifyOutcome(event.Outcome)
	}
}

func classifyOutcome(outcome Outcome) failureKind {
	switch outcome {
	case CacheMiss:
		return failureNotCached
	case Overloaded:
		return failureNoCapacity
	case TimedOut, Cancelled, NotSent:
		return failureTimeout
	default:
		return failureEndpoint
	}
}
