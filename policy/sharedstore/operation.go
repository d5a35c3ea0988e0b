package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

// operation is one request to a store.
type operation struct {
	id              OperationID
	store           *storeStatus
	state           operationState
	isComplete      bool // answered or cancelled; only a set can still be in flight
	hasLease        bool
	waitedForHolder bool // whether the operation has waited for another router's fill
	onlyIfCached    bool
	source          routing.EndpointID
	key             copyKey
	group           routing.GroupID
	startedAt       time.Duration
	objective       time.Duration // time of the latency objective
	deadline        time.Duration // time at which the attempt is abandoned
	minGeneratedAt  Timestamp     // copies generated earlier are too old
	ttl             time.Duration
	fillStartedAt   time.Duration
	timerID         uint64     // ID of the current timer; earlier timers are ignored
	leader          *operation // the operation that this one joined
	firstFollower   *operation // head of the list of operations that joined this one
	nextFollower    *operation // next operation in the leader's list
	generatedAt     Timestamp  // when the copy was generated
	bodyBytes       int
	fillState       fillState
	fill            fillResult
}

// copyKey identifies a copy. Operations with the same key can share one copy.
type copyKey struct {
	object routing.ObjectID
	part   int
}

// fillState is the progress of an operation's fill.
type fillState uint8

const (
	fillNone     fillState = iota // not started, or its result has been used
	fillInFlight                  // the source has not answered yet
	fillFailed                    // the fill failed while a get was in flight; no second fill is tried
)

// fillResult is a source's answer to a fill.
type fillResult struct {
	outcome       routing.Outcome
	note          routing.Note
	firstByteWait time.Duration
}

// operationState is what an operation waits for.
type operationState uint8

const (
	stateNew               operationState = iota
	stateJoined                           // another operation of this router for the same copy
	stateGetting                          // the reply to a get
	stateGettingAndFilling                // the reply to a get or the result of a fill, whichever comes first
	stateAcquiringLease                   // the reply to an attempt to acquire the lease
	stateWaitingForHolder                 // another router's fill
	stateGettingAgain                     // the reply to a get sent after another router's fill
	stateFilling                          // the result of a fill
	stateStoring                          // the reply to a set; the operation has been answered
	operationStates
)

// operationInput is something that can change an operation's state.
type operationInput uint8

const (
	inputHit           operationInput = iota // the store has a usable copy
	inputMiss                                // the store has no usable copy
	inputStoreFailed                         // the store returned an error or disconnected
	inputTimeout                             // the operation's timer fired
	inputLeaseAcquired                       // this router holds the lease
	inputLeaseHeld                           // another router holds the lease
	inputFilled                              // the source returned the object
	inputFillFailed                          // the source did not return the object
	inputCopyShared                          // the leader has a usable copy
	inputLeaderFailed                        // the leader has no usable copy
	inputStored                              // the set has ended, whatever its result
	operationInputs
)

// effect is what a transition does. If an effect is impossible (no budget, no source, no time), the function that
// carries out the effect falls back to a lesser one: a fill without the lease, a bypass of the store, or an error.
type effect uint8

const (
	effectNone          effect = iota
	effectServeCopy            // answer with the store's copy
	effectAcquireLease         // try to acquire the lease, or fill if a lease is not worthwhile
	effectWaitForHolder        // give the lease holder time for its fill, or fill if there is no time left
	effectGetAgain             // ask the store again
	effectFill                 // fill, with the lease if this router holds it
	effectHedge                // fill in parallel with the late get
	effectCompleteFill         // answer with the copy that the fill returned, then store the copy
	effectFailFill             // answer with the source's failure
	effectShareCopy            // answer with the leader's copy
	effectStart                // ask the store, or bypass the store with a fill
	effectJoinOrStart          // join another operation for the same copy, or do the same as effectStart
	effectForget               // drop the operation, which has nothing left in flight
	effectAwaitGet             // wait for the late get alone, because no second fill is tried
)

// transition is the state that follows an input, and the effect on the way there.
type transition struct {
	next   operationState
	effect effect
}

// operationTransitions is the state machine of an operation. An input without an entry changes nothing: late replies
// and timers are normal.
var operationTransitions = [operationStates][operationInputs]transition{
	stateJoined: {
		inputCopyShared:   {stateJoined, effectShareCopy},
		inputLeaderFailed: {stateGetting, effectJoinOrStart},
		inputTimeout:      {stateGetting, effectStart},
	},
	stateGetting: {
		inputHit:         {stateGetting, effectServeCopy},
		inputMiss:        {stateAcquiringLease, effectAcquireLease},
		inputStoreFailed: {stateFilling, effectFill},
		inputTimeout:     {stateGettingAndFilling, effectHedge},
	},
	stateGettingAndFilling: {
		inputHit:         {stateGettingAndFilling, effectServeCopy},
		inputMiss:        {stateFilling, effectNone},
		inputStoreFailed: {stateFilling, effectNone},
		inputFilled:      {stateStoring, effectCompleteFill},
		inputFillFailed:  {stateGetting, effectAwaitGet},
	},
	stateAcquiringLease: {
		inputLeaseAcquired: {stateFilling, effectFill},
		inputLeaseHeld:     {stateWaitingForHolder, effectWaitForHolder},
		inputStoreFailed:   {stateFilling, effectFill},
		inputTimeout:       {stateFilling, effectFill},
	},
	stateWaitingForHolder: {
		inputTimeout: {stateGettingAgain, effectGetAgain},
	},
	stateGettingAgain: {
		inputHit:         {stateGettingAgain, effectServeCopy},
		inputMiss:        {stateAcquiringLease, effectAcquireLease},
		inputStoreFailed: {stateFilling, effectFill},
		inputTimeout:     {stateGettingAndFilling, effectHedge},
	},
	stateFilling: {
		inputFilled:     {stateStoring, effectCompleteFill},
		inputFillFailed: {stateFilling, effectFailFill},
	},
	stateStoring: {
		inputStored: {stateStoring, effectForget},
	},
}

// handlesInput reports whether an input has a transition in the operation's state.
func (op *operation) handlesInput(input operationInput) bool {
	return operationTransitions[op.state][input] != (transition{})
}

// accepts reports whether a copy generated at the given time is fresh enough for the operation.
func (op *operation) accepts(generatedAt Timestamp) bool { return generatedAt >= op.minGeneratedAt }
