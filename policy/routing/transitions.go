package routing

type fillStage uint8

const (
	stageParent       fillStage = iota // the ring's cache, filled from the ring's parent
	stageRelay                         // filled from the slot's former owner, holds-only
	stageParentCached                  // filled from the parent, holds-only: the origin's gate is closed
	stageOrigin                        // filled straight from the origin: the parent is failing
	stageBypass                        // past the caches, straight to a parent or the origin
	stageLookup                        // the cache only, no fill
	stageLocalCache                    // the router's own copies
	stageCount
)

type failureKind uint8

const (
	failureNotCached  failureKind = iota // nothing suitable held where it was asked for
	failureSource                        // the source failed
	failureOrigin                        // the origin failed behind the parent
	failureNoCapacity                    // the cache is full, or has no place for a fill
	failureEndpoint                      // the cache failed
	failureTimeout                       // no answer in time
	failureRequest                       // another node failed it alike: it is the view's own fault
	failureCount
)

type followUpKind uint8

const (
	tryNextSource followUpKind = iota // same cache, next source in stage
	tryNextCache                      // next cache of the ring
	rejectRequest                     // nothing more can be done in time
)

type transition struct {
	stage fillStage
	kind  followUpKind
}

var toRejection, toNextCache = transition{kind: rejectRequest}, transition{kind: tryNextCache}

// transitions says what follows when a leg has ended without an answer. Where a next stage cannot be gone to (no
// such node, no budget, not in time), fill and start go on to a later one or give up.
var transitions = [stageCount][failureCount]transition{
	//            lacks                source               origin         place       cache       late  view
	stageParent:       {{stageOrigin, tryNextSource}, {stageOrigin, tryNextSource}, toRejection, toNextCache, toNextCache, toRejection, toRejection},
	stageRelay:        {{stageParent, tryNextSource}, {stageParent, tryNextSource}, {stageParent, tryNextSource}, toNextCache, toNextCache, toRejection, toRejection},
	stageParentCached: {{stageParent, tryNextSource}, {stageOrigin, tryNextSource}, toRejection, toNextCache, toNextCache, toRejection, toRejection},
	stageOrigin:       {toRejection, {stageParent, tryNextSource}, toRejection, toNextCache, toNextCache, toRejection, toRejection},
	stageBypass:       {toNextCache, toNextCache, toRejection, toNextCache, toNextCache, toRejection, toRejection},
	stageLookup:       {toRejection, toRejection, toRejection, toRejection, toNextCache, toRejection, toRejection},
	stageLocalCache:   {toRejection, toRejection, toRejection, toRejection, toRejection, toRejection, toRejection},
}

// classifyFailure tells from an answer what failed. Without notes only the outcome speaks.
func classifyFailure(e *Event) failureKind {
	switch e.Note {
	case NoteSourceMiss:
		return failureNotCached
	case NoteSourceRefused, NoteSourceUnreachable:
		return failureSource
	case NoteOriginFailed:
		return failureOrigin
	case NoteNoFillCapacity:
		return failureNoCapacity
	}
	switch e.Outcome {
	case CacheMiss:
		return failureNotCached
	case Overloaded:
		return failureNoCapacity
	case TimedOut, Cancelled, NotSent:
		return failureTimeout
	}
	return failureEndpoint
}
