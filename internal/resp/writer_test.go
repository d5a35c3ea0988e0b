package resp

import (
	"strings"
	"testing"
)

// Frames are written in pieces through a small ring, and Put returns the offset at which each frame ends.
func TestWriter(t *testing.T) {
	const bound = 7
	writer := Writer{Ring: Ring{MaxBytes: bound}}
	frames := [][]string{{"7", "OK", "", strings.Repeat("x", 30)}, {"8", "FAILED", "", ""}}
	var want, got string
	more := func() bool {
		if len(frames) == 0 {
			return false
		}
		words := frames[0]
		frames = frames[1:]
		want += string(AppendStrings(nil, words...))
		end := writer.Put([]byte(words[3]), []byte(words[0]), []byte(words[1]), []byte(words[2]))
		if int(end) != len(want) {
			t.Errorf("ends at %d, not %d", end, len(want))
		}
		return true
	}
	for next := writer.Next(more); len(next) > 0; next = writer.Next(more) {
		if writer.Empty() || len(next) > bound {
			t.Fatalf("%d bytes to be written", len(next))
		}
		n := min(3, len(next))
		got += string(next[:n])
		writer.Advance(n)
	}
	if got != want || !writer.Empty() || int(writer.TakenBytes) != len(want) {
		t.Errorf("%q, not %q", got, want)
	}
}
