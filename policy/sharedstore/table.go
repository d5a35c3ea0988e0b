package sharedstore

// stage is what a leg to the store waits for.
type stage uint8

const (
	stageNew  stage = iota
	stageJoin       // for another leg of this router that is after the same copy
	stageGet        // for the answer to a get
	stageBoth       // for that, or the fill begun meanwhile, whichever is first
	stageTake       // for the lease
	stageHold       // for another router's fill
	stageLook       // for the answer to a get after that
	stageFill       // for the fill
	stageKeep       // for the answer to a set; the leg itself is over
	stages
)

// input is what a leg hears of.
type input uint8

const (
	inHit    input = iota // a copy that will do
	inMiss                // none
	inFailed              // the store refused or broke off
	inLate                // it takes longer than it is worth
	inTook                // the lease is ours
	inTaken               // it is another's
	inFilled              // the source gave the object
	inUnfit               // it did not
	inShared              // the leg that was joined has a copy that will do
	inAlone               // it has none
	inStored              // the set is over, however
	inputs
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

type step struct {
	next   stage
	effect effect
}

// steps says what follows what. An input that a stage has no use for leaves all as it was.
var steps = [stages][inputs]step{
	stageJoin: {inShared: {stageJoin, share}, inAlone: {stageGet, again}, inLate: {stageGet, ask}},
	stageGet:  {inHit: {stageGet, serve}, inMiss: {stageTake, lease}, inFailed: {stageFill, fill}, inLate: {stageBoth, hedge}},
	stageBoth: {
		inHit: {stageBoth, serve}, inMiss: {stageFill, nothing}, inFailed: {stageFill, nothing},
		inFilled: {stageKeep, hand}, inUnfit: {stageGet, await},
	},
	stageTake: {inTook: {stageFill, fill}, inTaken: {stageHold, wait}, inFailed: {stageFill, fill}, inLate: {stageFill, fill}},
	stageHold: {inLate: {stageLook, look}},
	stageLook: {inHit: {stageLook, serve}, inMiss: {stageTake, lease}, inFailed: {stageFill, fill}, inLate: {stageBoth, hedge}},
	stageFill: {inFilled: {stageKeep, hand}, inUnfit: {stageFill, lack}},
	stageKeep: {inStored: {stageKeep, rest}},
}

// mode is what a store is good for.
type mode uint8

const (
	modeOut   mode = iota // no connection, or it refuses: passed by
	modeTrial             // one get at a time shows whether it is good again
	modeSlow              // it answers, but later than it is worth: passed by, with trials
	modeCold              // just started: asked within its budget
	modeReady
	modes
)

var modeNames = [modes]string{"out", "on trial", "slow", "cold", "ready"}

// sign is what changes a store's mode.
type sign uint8

const (
	signUp    sign = iota // a connection is up, the run known and long
	signFresh             // a connection is up to a store that has just started
	signDown              // no connection, or it refuses everything
	signLate              // several gets in a row were later than they are worth
	signGood              // a get in good time
	signWarm              // its cold time is over
	signPause             // the pause before a trial is over
	signs
)

// moods says which mode follows. Each mode has a way out: out and slow by their pause, trial by a get, cold by time.
var moods = [modes][signs]mode{
	modeOut:   {modeReady, modeCold, modeOut, modeOut, modeOut, modeOut, modeTrial},
	modeTrial: {modeTrial, modeCold, modeOut, modeSlow, modeReady, modeTrial, modeTrial},
	modeSlow:  {modeSlow, modeCold, modeOut, modeSlow, modeSlow, modeSlow, modeTrial},
	modeCold:  {modeCold, modeCold, modeOut, modeSlow, modeCold, modeReady, modeCold},
	modeReady: {modeReady, modeCold, modeOut, modeSlow, modeReady, modeReady, modeReady},
}
