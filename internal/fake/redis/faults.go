package redis

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tidwall/redcon"
)

const (
	// resetDelay is the time between writing part of a value and resetting the connection. The part has been sent by
	// then.
	resetDelay = 2 * time.Millisecond

	// excessBytes is how far the announced length of a value exceeds its length under the WrongLength fault.
	excessBytes = 1 << 20

	// minCorruptBytes is the minimum length of values that are corrupted.
	minCorruptBytes = 8

	// formatVersionIndex is the index of the byte of a stored value that holds its format version.
	formatVersionIndex = 2

	flippedBit   = 0x10
	foreignValue = `{"somebody":"else"}`
)

// Fault describes how a store misbehaves. The zero value is no fault.
type Fault struct {
	Delay            time.Duration // before each answer
	DelayJitter      time.Duration // upper bound of a uniformly distributed addition to Delay
	Verbs            []string      // commands that are answered with ErrorReply, empty: all but INFO
	Silent           bool          // commands are accepted but not answered
	ErrorReply       string        // error that is returned instead of an answer, "": none
	ResetDuringValue bool          // the connection is reset in the middle of each value
	WrongLength      bool          // the announced length of each value is too large
	TooManyClients   bool          // new connections are rejected with an error, existing ones closed
	Corruption       Corruption    // how values are corrupted when they are returned
}

// Corruption is a way in which a returned value differs from the stored one.
type Corruption uint8

// Kinds of corruption.
const (
	NotCorrupted Corruption = iota // none
	BitFlipped                     // one bit is flipped
	Truncated                      // the second half is missing
	ForeignValue                   // another program's value is in its place
	NewerFormat                    // the format version is one higher than the stored one
)

// SetFault replaces the current fault.
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

// drawDelay returns a random delay for an answer.
func (f Fault) drawDelay(random *rand.Rand) time.Duration {
	delay := f.Delay
	if f.DelayJitter > 0 {
		delay += time.Duration(random.Int64N(int64(f.DelayJitter)))
	}
	return delay
}

// hasErrorFor reports whether a command is answered with ErrorReply.
func (f Fault) hasErrorFor(verb string) bool {
	if f.ErrorReply == "" || verb == "INFO" {
		return false
	}
	return len(f.Verbs) == 0 || slices.Contains(f.Verbs, verb)
}

// writeValue answers with a value, subject to the current fault. The caller holds the lock.
func (s *Store) writeValue(connection redcon.Conn, data []byte) {
	s.counter.valuesServed++
	switch {
	case s.fault.ResetDuringValue:
		frame := redcon.AppendBulk(nil, data)
		connection.WriteRaw(frame[:len(data)/2+1])
		socket := connection.NetConn()
		time.AfterFunc(resetDelay, func() { reset(socket) })
	case s.fault.WrongLength:
		padded := append(append([]byte(nil), data...), make([]byte, excessBytes)...)
		connection.WriteRaw(redcon.AppendBulk(nil, padded)[:len(data)])
	default:
		connection.WriteBulk(s.fault.Corruption.apply(data))
	}
}

// apply returns a corrupted copy of a value.
func (c Corruption) apply(data []byte) []byte {
	corrupted := append([]byte(nil), data...)
	if len(data) < minCorruptBytes {
		return corrupted
	}
	switch c {
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
