package redis

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tidwall/redcon"
)

const (
	// cutDelay is until a connection is reset in the middle of a value: what was written is on its way by then.
	cutDelay = 2 * time.Millisecond

	// excessBytes is how much longer than a value its announced length may be.
	excessBytes = 1 << 20

	// minCorruptBytes is the length from which on values are corrupted.
	minCorruptBytes = 8

	// formatVersionIndex is the byte of a value that says which form it has.
	formatVersionIndex = 2

	flippedBit   = 0x10
	foreignValue = `{"somebody":"else"}`
)

// Fault is what is wrong with a store at the moment; the zero value is nothing.
type Fault struct {
	Delay            time.Duration // before each answer
	DelayJitter      time.Duration // up to so much more
	Verbs            []string      // only these commands are answered with Word; all where there are none
	Silent           bool          // it accepts and says nothing
	ErrorReply       string        // an error that is answered instead
	ResetDuringValue bool          // the connection is reset in the middle of each value
	WrongLength      bool          // a value is announced with more bytes than it has
	TooManyClients   bool          // it has as many clients as it takes: new ones are told so, and those there are gone
	Corruption       Corruption    // how values are corrupted on their way out
}

// Corruption is a way in which a value is not what was stored.
type Corruption uint8

// The ways of corruption.
const (
	NotCorrupted Corruption = iota // none
	BitFlipped                     // one bit is another
	Truncated                      // its second half is missing
	ForeignValue                   // it is something else
	NewerFormat                    // it says that it is of a form to come
)

// SetFault puts a fault in force.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	if !fault.TooManyClients {
		return
	}
	for connection := range s.connections {
		_ = connection.Close()
	}
}

// drawDelay draws for how long an answer is held up.
func (f Fault) drawDelay(random *rand.Rand) time.Duration {
	delay := f.Delay
	if f.DelayJitter > 0 {
		delay += time.Duration(random.Int64N(int64(f.DelayJitter)))
	}
	return delay
}

// hasErrorFor says whether a command is answered with the fault's error.
func (f Fault) hasErrorFor(verb string) bool {
	if f.ErrorReply == "" || verb == "INFO" {
		return false
	}
	return len(f.Verbs) == 0 || slices.Contains(f.Verbs, verb)
}

// writeValue answers with a value, as the fault has it. The caller holds the lock.
func (s *Store) writeValue(connection redcon.Conn, data []byte) {
	s.counter.valuesGiven++
	switch {
	case s.fault.ResetDuringValue:
		frame := redcon.AppendBulk(nil, data)
		connection.WriteRaw(frame[:len(data)/2+1])
		socket := connection.NetConn()
		time.AfterFunc(cutDelay, func() { reset(socket) })
	case s.fault.WrongLength:
		tooLong := append(append([]byte(nil), data...), make([]byte, excessBytes)...)
		connection.WriteRaw(redcon.AppendBulk(nil, tooLong)[:len(data)])
	default:
		connection.WriteBulk(s.fault.Corruption.apply(data))
	}
}

// apply returns a copy of a value that is corrupted.
func (p Corruption) apply(data []byte) []byte {
	corrupted := append([]byte(nil), data...)
	if len(data) < minCorruptBytes {
		return corrupted
	}
	switch p {
	case BitFlipped:
		corrupted[len(corrupted)/2] ^= flippedBit
	case Truncated:
		corrupted = corrupted[:len(corrupted)/2]
	case ForeignValue:
		corrupted = []byte(foreignValue)
	case NewerFormat:
		corrupted[formatVersionIndex]++
	case NotCorrupted:
	}
	return corrupted
}
