package resp

import (
	"bytes"
	"testing"
)

// A ring keeps to its bound, gives bytes out in order, and frees its memory.
func TestRing(t *testing.T) {
	ring := Ring{Bound: 5000}
	var in, out []byte
	for i := range 4000 {
		data := bytes.Repeat([]byte{byte(i)}, i%7*100)
		in = append(in, data[:ring.Append(data)]...)
		if ring.Len() > ring.Bound || len(ring.buffer) > ring.Bound {
			t.Fatalf("%d bytes in %d of %d", ring.Len(), len(ring.buffer), ring.Bound)
		}
		n := min(len(ring.Head()), i%5*100)
		out = append(out, ring.Head()[:n]...)
		ring.Drop(n)
	}
	duplicate := ring.Copy()
	if !bytes.Equal(duplicate.First(duplicate.Len()), ring.First(ring.Len())) {
		t.Error("a copy holds other bytes")
	}
	out = append(out, ring.First(ring.Len())...)
	if !bytes.Equal(in, out) {
		t.Errorf("%d bytes went in, %d came out, or others", len(in), len(out))
	}
	if ring.Drop(ring.Len()); ring.Room() != ring.Bound {
		t.Errorf("an empty ring has room for %d of %d", ring.Room(), ring.Bound)
	}
	if ring.Release(); ring.buffer != nil {
		t.Error("an empty ring keeps its memory")
	}
}
