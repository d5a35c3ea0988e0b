package admission

// Mode is how close the router is to its bounds.
type Mode uint8

// The overload modes.
const (
	ModeOpen     Mode = iota
	ModeTight         // unknown peers have half of their quotas
	ModeFull          // an unknown peer gets in only where an idle connection can be closed for it
	ModeShedding      // descriptors have run out: only allowlisted peers get in
	modeCount
)

var modeNames = [modeCount]string{"open", "tight", "full", "shedding"}

// String is the name under which a mode is logged.
func (m Mode) String() string { return modeNames[m] }

// modeSignal is what may change the mode.
type modeSignal uint8

const (
	occupancyLow         modeSignal = iota // under half of the unreserved places are taken
	occupancyHigh                          // over three quarters
	occupancyFull                          // all
	occupancyEased                         // under nine tenths again
	descriptorsExhausted                   // a descriptor could not be had
	descriptorsRestored                    // descriptors are to be had, and have been for a while
	modeSignalCount
)

// Parts of the unreserved places at which the occupancy signals are given.
const (
	lowOccupancy   = 0.5
	highOccupancy  = 0.75
	easedOccupancy = 0.9
)

// modeTransitions says which mode follows. A mode is left at a lower occupancy than it is entered at, so that one
// connection more or less does not change it back and forth.
var modeTransitions = [modeCount][modeSignalCount]Mode{
	//            low       high       full      eased      exhausted     restored
	ModeOpen:     {ModeOpen, ModeTight, ModeFull, ModeOpen, ModeShedding, ModeOpen},
	ModeTight:    {ModeOpen, ModeTight, ModeFull, ModeTight, ModeShedding, ModeTight},
	ModeFull:     {ModeOpen, ModeFull, ModeFull, ModeTight, ModeShedding, ModeFull},
	ModeShedding: {ModeShedding, ModeShedding, ModeShedding, ModeShedding, ModeShedding, ModeTight},
}

// changeMode follows the table.
func (c *Controller) changeMode(signal modeSignal) {
	if next := modeTransitions[c.mode][signal]; next != c.mode {
		c.emit(Action{Kind: ModeChanged, From: c.mode, To: next})
		c.mode = next
	}
}

// updateOccupancy derives the mode from how many places are taken. Those that known peers have of their reserve do
// not count.
func (c *Controller) updateOccupancy() {
	taken, places := float64(c.connectionCount-c.reservedCount), float64(c.unreservedPlaces())
	switch {
	case taken >= places:
		c.changeMode(occupancyFull)
	case taken >= highOccupancy*places:
		c.changeMode(occupancyHigh)
	}
	switch {
	case taken < lowOccupancy*places:
		c.changeMode(occupancyLow)
	case taken < easedOccupancy*places:
		c.changeMode(occupancyEased)
	}
}

// verdict is what becomes of a new connection.
type verdict uint8

const (
	admit         verdict = iota
	admitReserved         // on one of the places reserved for known peers
	admitEvicting         // if an idle connection can be closed for it; rejected otherwise
	reject
)

// verdicts says what becomes of a new connection whose peer is within its quotas.
var verdicts = [modeCount][reputationCount]verdict{
	//            unknown        recentlyServed allowlisted
	ModeOpen:     {admit, admit, admit},
	ModeTight:    {admit, admit, admit},
	ModeFull:     {admitEvicting, admitReserved, admitReserved},
	ModeShedding: {reject, reject, admitReserved},
}

// quotaFractions is the part of its quotas that a peer has. They hold for every peer, so that none can flood the
// router.
var quotaFractions = [modeCount][reputationCount]float64{
	//        unknown recentlyServed allowlisted
	ModeOpen:     {1, 1, 2},
	ModeTight:    {0.5, 1, 2},
	ModeFull:     {0.25, 1, 2},
	ModeShedding: {0.25, 0.5, 1},
}
