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
	Delay  time.Duration // before each answer
	Spread time.Duration // up to so much more
	Verbs  []string      // only these commands are answered with Word; all where there are none
	Silent bool          // it accepts and says nothing
	Word   string        // an error that is answered instead
	Cut    bool          // the connection is reset in the middle of each value
	Length bool          // a value is announced with more bytes than it has
	Crowd  bool          // it has as many clients as it takes: new ones are told so, and those there are gone
	Spoil  Spoil         // how values are corrupted on their way out
}

// Spoil is a way in which a value is not what was stored.
type Spoil uint8

// The ways of corruption.
const (
	Whole   Spoil = iota // none
	Flipped              // one bit is another
	Halved               // its second half is missing
	Foreign              // it is something else
	Newer                // it says that it is of a form to come
)

// Set puts a fault in force.
func (s *Store) Set(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	if !fault.Crowd {
		return
	}
	for connection := range s.connections {
		_ = connection.Close()
	}
}

// drawDelay draws for how long an answer is held up.
func (f Fault) drawDelay(random *rand.Rand) time.Duration {
	delay := f.Delay
	if f.Spread > 0 {
		delay += time.Duration(random.Int64N(int64(f.Spread)))
	}
	return delay
}

// hasErrorFor says whether a command is answered with the fault's error.
func (f Fault) hasErrorFor(verb string) bool {
	if f.Word == "" || verb == "INFO" {
		return false
	}
	return len(f.Verbs) == 0 || slices.Contains(f.Verbs, verb)
}

// writeValue answers with a value, as the fault has it. The caller holds the lock.
func (s *Store) writeValue(connection redcon.Conn, data []byte) {
	s.counter.valuesGiven++
	switch {
	case s.fault.Cut:
		frame := redcon.AppendBulk(nil, data)
		connection.WriteRaw(frame[:len(data)/2+1])
		socket := connection.NetConn()
		time.AfterFunc(cutDelay, func() { reset(socket) })
	case s.fault.Length:
		tooLong := append(append([]byte(nil), data...), make([]byte, excessBytes)...)
		connection.WriteRaw(redcon.AppendBulk(nil, tooLong)[:len(data)])
	default:
		connection.WriteBulk(s.fault.Spoil.apply(data))
	}
}

// apply returns a copy of a value that is corrupted.
func (p Spoil) apply(data []byte) []byte {
	corrupted := append([]byte(nil), data...)
	if len(data) < minCorruptBytes {
		return corrupted
	}
	switch p {
	case Flipped:
		corrupted[len(corrupted)/2] ^= flippedBit
	case Halved:
		corrupted = corrupted[:len(corrupted)/2]
	case Foreign:
		corrupted = []byte(foreignValue)
	case Newer:
		corrupted[formatVersionIndex]++
	case Whole:
	}
	return corrupted
}
