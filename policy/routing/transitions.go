package routing

// fillStage says how an attempt is served: by which kind of cache, filled from which kind of source.
type fillStage uint8

const (
	stageParent       fillStage = iota // the ring's cache, filled from the ring's parent
	stageRelay                         // the ring's cache, filled from the previous owner if that has a copy
	stageParentCached                  // filled from the parent if that has a copy: the origin limiter is closed
	stageOrigin                        // filled straight from the origin: the parent is failing
	stageBypass                        // past the caches, straight to a parent or the origin
	stageLookup                        // the cache only, no fill
	stageLocalCache                    // the router's own copies
	stageCount
)

// failureKind says what failed where an attempt has ended without an answer.
type failureKind uint8

const (
	failureNotCached  failureKind = iota // no suitable copy where it was asked for
	failureSource                        // the source failed
	failureOrigin                        // the origin failed behind the parent
	failureNoCapacity                    // the cache is overloaded, or has no capacity for a fill
	failureEndpoint                      // the cache failed
	failureTimeout                       // no answer in time
	failureRequest                       // another endpoint failed it alike: it is the request's own fault
	failureCount
)

// followUpKind says what follows a failed attempt.
type followUpKind uint8

const (
	tryNextSource followUpKind = iota // the same cache, filled from the source of the next stage
	tryNextCache                      // the next cache of the ring
	rejectRequest                     // nothing more can be done in time
)

// transition is what follows a failed attempt; stage is the next one where kind is tryNextSource.
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

// transitions says what follows when an attempt has ended without an answer. Where a next stage cannot be used (no such
// endpoint, no budget, not in time), sendWithFill and route go on to a later one or give up.
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

// classifyFailure tells from the result of an attempt what failed. Without a note only the outcome speaks.
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
