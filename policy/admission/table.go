package admission

// mode is how near the bounds are.
type mode uint8

const (
	modeOpen     mode = iota
	modeTight         // strangers have half of what a peer may have
	modeFull          // a stranger gets in only where one that rests makes room
	modeShedding      // descriptors have run out: all are turned back but the known
	modes
)

var modeNames = [modes]string{"open", "tight", "full", "shedding"}

// sign is what changes the mode.
type sign uint8

const (
	signCalm      sign = iota // under half of the strangers' places are taken
	signFilling               // over three quarters
	signCrowded               // all
	signEased                 // under nine tenths again
	signExhausted             // a descriptor could not be had
	signRestored              // descriptors are to be had, and have been for a while
	signs
)

// moods says which mode follows. Between its way up and its way down each mode has room, so that one connection more or
// less does not change it back and forth.
var moods = [modes][signs]mode{
	//            calm      filling    crowded   eased      exhausted     restored
	modeOpen:     {modeOpen, modeTight, modeFull, modeOpen, modeShedding, modeOpen},
	modeTight:    {modeOpen, modeTight, modeFull, modeTight, modeShedding, modeTight},
	modeFull:     {modeOpen, modeFull, modeFull, modeTight, modeShedding, modeFull},
	modeShedding: {modeShedding, modeShedding, modeShedding, modeShedding, modeShedding, modeTight},
}

// standing is what is known of a peer.
type standing uint8

const (
	stranger standing = iota
	lately            // served in good time, several times, not long ago
	listed            // by the operator, or by a certificate of the operator's authority
	standings
)

// verdict is what becomes of a new connection.
type verdict uint8

const (
	take    verdict = iota
	reserve         // taken from the places kept for the known
	room            // taken if one that rests can be ended for it, or else refused
	refuse
	drop // a word would cost a descriptor that is not there
)

// doors says what becomes of a new connection whose peer is within its own bounds.
var doors = [modes][standings]verdict{
	//            stranger  lately   listed
	modeOpen:     {take, take, take},
	modeTight:    {take, take, take},
	modeFull:     {room, reserve, reserve},
	modeShedding: {refuse, refuse, reserve},
}

// parts is the part of a peer's bounds that it has, by mode and standing. One that floods is held by them whoever it is.
var parts = [modes][standings]float64{
	modeOpen:     {1, 1, 2},
	modeTight:    {0.5, 1, 2},
	modeFull:     {0.25, 1, 2},
	modeShedding: {0.25, 0.5, 1},
}
