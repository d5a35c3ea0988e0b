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
	isComplete      bool // it was answered or cancelled; only a set can remain
	hasLease        bool
	waitedForHolder bool // it has waited for another router's fill
	onlyIfCached    bool
	source          routing.EndpointID
	key             copyKey
	group           routing.GroupID
	startedAt       time.Duration
	objective       time.Duration // time of the latency objective
	deadline        time.Duration // time at which the attempt is abandoned
	minGeneratedAt  Timestamp     // older copies will not do
	ttl             time.Duration
	fillStartedAt   time.Duration
	timerID         uint64     // the timer that counts; earlier ones are ignored
	leader          *operation // the operation that this one joined
	firstFollower   *operation // head of the list of those that joined this one
	nextFollower    *operation // next in the leader's list
	generatedAt     Timestamp  // of the copy
	bodyBytes       int
	fillState       fillState
	fill            fillResult
}

// copyKey identifies a copy: operations with the same key can share one.
type copyKey struct {
	object routing.ObjectID
	part   int
}

// fillState is how far the operation's fill has come.
type fillState uint8

const (
	fillNone     fillState = iota // not started, or its result has been used
	fillInFlight                  // the source has not answered
	fillFailed                    // it failed while a get was in flight: there will be no other
)

// fillResult is how a source answered.
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
	stateGettingAndFilling                // that or the fill begun meanwhile, whichever comes first
	stateAcquiringLease                   // the lease
	stateWaitingForHolder                 // another router's fill
	stateGettingAgain                     // the reply to a get after that
	stateFilling                          // the fill
	stateStoring                          // the reply to a set; the operation itself is complete
	operationStates
)

// operationInput is what an operation hears of.
type operationInput uint8

const (
	inputHit           operationInput = iota // a usable copy
	inputMiss                                // no usable copy
	inputStoreFailed                         // the store refused or disconnected
	inputTimeout                             // the operation's timer fired
	inputLeaseAcquired                       // the lease is ours
	inputLeaseHeld                           // another router holds the lease
	inputFilled                              // the source returned the object
	inputFillFailed                          // the source did not
	inputCopyShared                          // the leader has a usable copy
	inputLeaderFailed                        // the leader has none
	inputStored                              // the set is done, whatever its result
	operationInputs
)

// effect is what a transition does. Where an effect cannot be had (no budget, no source, no time), the function that
// carries it out falls back to a lesser one: a fill without the lease, bypassing the store, an error.
type effect uint8

const (
	effectNone          effect = iota
	effectServeCopy            // answer with the store's copy
	effectAcquireLease         // try to acquire the lease, or fill where that is not worthwhile
	effectWaitForHolder        // give the lease holder time for its fill, or fill where there is none left
	effectGetAgain             // ask the store again
	effectFill                 // fill, with the lease where it is ours
	effectHedge                // fill beside the get that is late
	effectCompleteFill         // answer with what the fill brought, and store it afterwards
	effectFailFill             // answer with what the source said
	effectShareCopy            // answer with the leader's copy
	effectStart                // ask the store, or bypass it
	effectJoinOrStart          // the same, or join an operation that does so already
	effectForget               // nothing more comes
	effectAwaitGet             // the late get goes on alone: nothing else can be done
)

// transition is the state that follows an input, and what is done on the way.
type transition struct {
	next   operationState
	effect effect
}

// operationTransitions is the state machine of an operation. An input without an entry leaves all as it was: late
// replies and timers are normal.
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

// handlesInput says whether an input means anything in the operation's state.
func (op *operation) handlesInput(input operationInput) bool {
	return operationTransitions[op.state][input] != (transition{})
}

// accepts says whether a copy of that time is fresh enough for this operation.
func (op *operation) accepts(generatedAt Timestamp) bool { return generatedAt >= op.minGeneratedAt }
