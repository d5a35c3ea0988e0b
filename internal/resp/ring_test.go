package resp

import (
	"bytes"
	"testing"
)

// A ring never exceeds its maximum size, returns bytes in order, and frees its memory.
func TestRing(t *testing.T) {
	ring := Ring{MaxBytes: 5000}
	var in, out []byte
	for i := range 4000 {
		data := bytes.Repeat([]byte{byte(i)}, i%7*100)
		in = append(in, data[:ring.Append(data)]...)
		if ring.Len() > ring.MaxBytes || len(ring.buffer) > ring.MaxBytes {
			t.Fatalf("%d bytes in a buffer of %d, limit %d", ring.Len(), len(ring.buffer), ring.MaxBytes)
		}
		n := min(len(ring.Head()), i%5*100)
		out = append(out, ring.Head()[:n]...)
		ring.Discard(n)
	}
	duplicate := ring.Copy()
	if !bytes.Equal(duplicate.Peek(duplicate.Len()), ring.Peek(ring.Len())) {
		t.Error("Copy holds other bytes than the ring")
	}
	out = append(out, ring.Peek(ring.Len())...)
	if !bytes.Equal(in, out) {
		t.Errorf("%d bytes were added and %d removed, or the contents differ", len(in), len(out))
	}
	if ring.Discard(ring.Len()); ring.Room() != ring.MaxBytes {
		t.Errorf("an empty ring has room for %d of %d", ring.Room(), ring.MaxBytes)
	}
	if ring.Release(); ring.buffer != nil {
		t.Error("Release keeps the memory of an empty ring")
	}
}
