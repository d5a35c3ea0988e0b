package sharedstore

// operationState is what a leg to the store waits for.
type operationState uint8

const (
	stateNew               operationState = iota
	stateJoined                           // for another leg of this router that is after the same copy
	stateGetting                          // for the answer to a get
	stateGettingAndFilling                // for that, or the fill begun meanwhile, whichever is first
	stateAcquiringLease                   // for the lease
	stateWaitingForHolder                 // for another router's fill
	stateGettingAgain                     // for the answer to a get after that
	stateFilling                          // for the fill
	stateStoring                          // for the answer to a set; the leg itself is over
	operationStates
)

// operationInput is what a leg hears of.
type operationInput uint8

const (
	inputHit           operationInput = iota // a copy that will do
	inputMiss                                // none
	inputStoreFailed                         // the store refused or broke off
	inputTimeout                             // it takes longer than it is worth
	inputLeaseAcquired                       // the lease is ours
	inputLeaseHeld                           // it is another's
	inputFilled                              // the source gave the object
	inputFillFailed                          // it did not
	inputCopyShared                          // the leg that was joined has a copy that will do
	inputLeaderFailed                        // it has none
	inputStored                              // the set is over, however
	operationInputs
)

// effect is what is done. Where an effect cannot be had (no budget, no source, no time), the function that carries it
// out goes on to a lesser one: a fill without the lease, the store passed by, no place.
type effect uint8

const (
	nothing effect = iota
	serve          // end the leg with the store's copy
	lease          // ask for the lease; fill where that cannot be had
	wait           // give the holder of the lease its time, or fill where there is none to give
	look           // ask again
	fill           // fill, with the lease where it is ours
	hedge          // fill beside the get that is late
	hand           // end the leg with what the fill brought, and store it behind
	lack           // end the leg with what the source said
	share          // end the leg with the other one's copy
	ask            // ask the store for itself
	again          // the same, or join whoever does so already
	rest           // nothing more comes
	await          // the get that is late goes on alone: nothing else can be done
)

type transition struct {
	next   operationState
	effect effect
}

// operationTransitions says what follows what. An input that a stage has no use for leaves all as it was.
var operationTransitions = [operationStates][operationInputs]transition{
	stateJoined:  {inputCopyShared: {stateJoined, share}, inputLeaderFailed: {stateGetting, again}, inputTimeout: {stateGetting, ask}},
	stateGetting: {inputHit: {stateGetting, serve}, inputMiss: {stateAcquiringLease, lease}, inputStoreFailed: {stateFilling, fill}, inputTimeout: {stateGettingAndFilling, hedge}},
	stateGettingAndFilling: {
		inputHit: {stateGettingAndFilling, serve}, inputMiss: {stateFilling, nothing}, inputStoreFailed: {stateFilling, nothing},
		inputFilled: {stateStoring, hand}, inputFillFailed: {stateGetting, await},
	},
	stateAcquiringLease:   {inputLeaseAcquired: {stateFilling, fill}, inputLeaseHeld: {stateWaitingForHolder, wait}, inputStoreFailed: {stateFilling, fill}, inputTimeout: {stateFilling, fill}},
	stateWaitingForHolder: {inputTimeout: {stateGettingAgain, look}},
	stateGettingAgain:     {inputHit: {stateGettingAgain, serve}, inputMiss: {stateAcquiringLease, lease}, inputStoreFailed: {stateFilling, fill}, inputTimeout: {stateGettingAndFilling, hedge}},
	stateFilling:          {inputFilled: {stateStoring, hand}, inputFillFailed: {stateFilling, lack}},
	stateStoring:          {inputStored: {stateStoring, rest}},
}

// healthState is what a store is good for.
type healthState uint8

const (
	healthUnavailable healthState = iota // no connection, or it refuses: passed by
	healthProbing                        // one get at a time shows whether it is good again
	healthSlow                           // it answers, but later than it is worth: passed by, with trials
	healthWarmingUp                      // just started: asked within its budget
	healthReady
	healthStates
)

var healthStateNames = [healthStates]string{"out", "on trial", "slow", "cold", "ready"}

// healthSignal is what changes a store's mode.
type healthSignal uint8

const (
	signalConnected    healthSignal = iota // a connection is up, the run known and long
	signalStarted                          // a connection is up to a store that has just started
	signalDisconnected                     // no connection, or it refuses everything
	signalLate                             // several gets in a row were later than they are worth
	signalInTime                           // a get in good time
	signalWarm                             // its cold time is over
	signalBackoffOver                      // the pause before a trial is over
	healthSignals
)

// healthTransitions says which mode follows. Each mode has a way out: out and slow by their pause, trial by a get, cold by time.
var healthTransitions = [healthStates][healthSignals]healthState{
	healthUnavailable: {healthReady, healthWarmingUp, healthUnavailable, healthUnavailable, healthUnavailable, healthUnavailable, healthProbing},
	healthProbing:     {healthProbing, healthWarmingUp, healthUnavailable, healthSlow, healthReady, healthProbing, healthProbing},
	healthSlow:        {healthSlow, healthWarmingUp, healthUnavailable, healthSlow, healthSlow, healthSlow, healthProbing},
	healthWarmingUp:   {healthWarmingUp, healthWarmingUp, healthUnavailable, healthSlow, healthWarmingUp, healthReady, healthWarmingUp},
	healthReady:       {healthReady, healthWarmingUp, healthUnavailable, healthSlow, healthReady, healthReady, healthReady},
}
