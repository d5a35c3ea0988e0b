package resp

import (
	"strings"
	"testing"
)

// Frames are written in pieces through a small ring, and Put returns the offset at which each frame ends.
func TestWriter(t *testing.T) {
	const ringBytes = 7
	writer := Writer{Ring: Ring{MaxBytes: ringBytes}}
	frames := [][]string{{"7", "OK", "", strings.Repeat("x", 30)}, {"8", "FAILED", "", ""}}
	var want, got string
	more := func() bool {
		if len(frames) == 0 {
			return false
		}
		values := frames[0]
		frames = frames[1:]
		want += string(AppendStrings(nil, values...))
		end := writer.Put([]byte(values[3]), []byte(values[0]), []byte(values[1]), []byte(values[2]))
		if int(end) != len(want) {
			t.Errorf("frame ends at %d, want %d", end, len(want))
		}
		return true
	}
	for next := writer.Next(more); len(next) > 0; next = writer.Next(more) {
		if writer.Empty() || len(next) > ringBytes {
			t.Fatalf("Next returned %d bytes, want at most ringBytes, or Empty is true too early", len(next))
		}
		n := min(3, len(next))
		got += string(next[:n])
		writer.Advance(n)
	}
	if got != want || !writer.Empty() || int(writer.WrittenBytes) != len(want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
