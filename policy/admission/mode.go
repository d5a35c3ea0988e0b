package admission

// Mode is an overload mode: how close the router is to its limits.
type Mode uint8

// The overload modes.
const (
	ModeOpen     Mode = iota
	ModeTight         // unknown peers have half of their quotas
	ModeFull          // unknown peers are admitted only if an idle connection can be closed for them
	ModeShedding      // descriptors have run out, and only allowlisted peers are admitted
	modeCount
)

var modeNames = [modeCount]string{"open", "tight", "full", "shedding"}

// String returns the name of the mode in the log.
func (m Mode) String() string { return modeNames[m] }

// modeSignal is an input of the state machine of the mode.
type modeSignal uint8

const (
	occupancyLow         modeSignal = iota // fewer than half of the unreserved slots are occupied
	occupancyHigh                          // at least three quarters are occupied
	occupancyFull                          // all are occupied
	occupancyEased                         // fewer than nine tenths are occupied
	descriptorsExhausted                   // no file descriptor was available
	descriptorsRestored                    // descriptors have been available for a while
	modeSignalCount
)

// Fractions of the unreserved slots at which the occupancy signals are raised.
const (
	lowOccupancy   = 0.5
	highOccupancy  = 0.75
	easedOccupancy = 0.9
)

// modeTransitions holds the next mode for each mode and signal. A mode is left at a lower occupancy than it is entered
// at, so that a single connection does not switch it back and forth.
var modeTransitions = [modeCount][modeSignalCount]Mode{
	//            low       high       full      eased      exhausted     restored
	ModeOpen:     {ModeOpen, ModeTight, ModeFull, ModeOpen, ModeShedding, ModeOpen},
	ModeTight:    {ModeOpen, ModeTight, ModeFull, ModeTight, ModeShedding, ModeTight},
	ModeFull:     {ModeOpen, ModeFull, ModeFull, ModeTight, ModeShedding, ModeFull},
	ModeShedding: {ModeShedding, ModeShedding, ModeShedding, ModeShedding, ModeShedding, ModeTight},
}

// changeMode applies a signal to the mode.
func (c *Controller) changeMode(signal modeSignal) {
	if next := modeTransitions[c.mode][signal]; next != c.mode {
		c.emit(Action{Kind: LogModeChange, From: c.mode, To: next})
		c.mode = next
	}
}

// updateOccupancy derives the mode from the number of occupied slots. Reserved slots do not count.
func (c *Controller) updateOccupancy() {
	occupied, slots := float64(c.connectionCount-c.reservedCount), float64(c.unreservedSlots())
	switch {
	case occupied >= slots:
		c.changeMode(occupancyFull)
	case occupied >= highOccupancy*slots:
		c.changeMode(occupancyHigh)
	}
	switch {
	case occupied < lowOccupancy*slots:
		c.changeMode(occupancyLow)
	case occupied < easedOccupancy*slots:
		c.changeMode(occupancyEased)
	}
}

// verdict is the decision about a new connection.
type verdict uint8

const (
	admit         verdict = iota
	admitReserved         // admit in a slot reserved for known peers
	admitEvicting         // admit if an idle connection can be closed, otherwise reject
	reject
)

// verdicts holds the verdict on a new connection whose peer is within its quotas.
var verdicts = [modeCount][reputationCount]verdict{
	//            unknown        recentlyServed allowlisted
	ModeOpen:     {admit, admit, admit},
	ModeTight:    {admit, admit, admit},
	ModeFull:     {admitEvicting, admitReserved, admitReserved},
	ModeShedding: {reject, reject, admitReserved},
}

// quotaFractions holds the factor that scales a peer's quotas. Quotas apply even to allowlisted peers, so that no peer
// can flood the router.
var quotaFractions = [modeCount][reputationCount]float64{
	//        unknown recentlyServed allowlisted
	ModeOpen:     {1, 1, 2},
	ModeTight:    {0.5, 1, 2},
	ModeFull:     {0.25, 1, 2},
	ModeShedding: {0.25, 0.5, 1},
}
