// Package resp frames messages of RESP2 over ring buffers: a Decoder finds arrays of bulk strings in a Ring, Replies
// finds the replies of a store, and a Writer puts frames into one. It touches no socket and knows no command; calls
// on bytes are those of package redcon.
package resp

// minBufferBytes is the first size of a ring that is used at all.
const minBufferBytes = 4 << 10

// Ring is a byte queue of bounded size, for one direction of one connection. It grows to its bound and no further. The
// zero value holds nothing; Bound must be set before use.
type Ring struct {
	MaxBytes int // most bytes that it holds
	buffer   []byte
	head     int // index of the first byte
	size     int
}

// Len is how many bytes it holds.
func (r *Ring) Len() int { return r.size }

// Room is how many more bytes fit within the bound.
func (r *Ring) Room() int { return r.MaxBytes - r.size }

// grow makes room for n more bytes, within the bound.
func (r *Ring) grow(n int) {
	want := min(r.MaxBytes, r.size+n)
	if want <= len(r.buffer) {
		return
	}
	capacity := max(minBufferBytes, len(r.buffer))
	for capacity < want {
		capacity *= 2
	}
	r.moveTo(make([]byte, min(capacity, r.MaxBytes)))
}

// moveTo copies all bytes into another buffer, in one piece, and goes on with it.
func (r *Ring) moveTo(buffer []byte) {
	n := copy(buffer, r.Head())
	copy(buffer[n:], r.buffer[:r.size-n])
	r.buffer, r.head = buffer, 0
}

// Tail is free memory to read into: some of what fits, none if the ring is full. Commit says how much of it was filled.
func (r *Ring) Tail() []byte {
	if r.size == len(r.buffer) {
		r.grow(max(minBufferBytes, len(r.buffer)))
	}
	if r.size == len(r.buffer) {
		return nil
	}
	from := (r.head + r.size) % len(r.buffer)
	if from < r.head {
		return r.buffer[from:r.head]
	}
	return r.buffer[from:]
}

// Commit adds the n bytes that were put into Tail.
func (r *Ring) Commit(n int) { r.size += n }

// Append adds as much of p as fits and returns how much.
func (r *Ring) Append(p []byte) int {
	n := min(len(p), r.Room())
	r.grow(n)
	for done := 0; done < n; {
		copied := copy(r.Tail(), p[done:n])
		r.size += copied
		done += copied
	}
	return n
}

// Copy is a ring of its own that holds the same bytes.
func (r *Ring) Copy() Ring {
	duplicate := Ring{MaxBytes: r.MaxBytes}
	if r.size > 0 {
		duplicate.buffer, duplicate.size = make([]byte, len(r.buffer)), r.size
		n := copy(duplicate.buffer, r.Head())
		copy(duplicate.buffer[n:], r.buffer[:r.size-n])
	}
	return duplicate
}

// Head is the longest run of bytes from the first on that lies in one piece.
func (r *Ring) Head() []byte {
	if r.size == 0 {
		return nil
	}
	return r.buffer[r.head:min(len(r.buffer), r.head+r.size)]
}

// At is the byte at index i.
func (r *Ring) At(i int) byte {
	if i += r.head; i >= len(r.buffer) {
		i -= len(r.buffer)
	}
	return r.buffer[i]
}

// Peek is the first n bytes in one piece; it holds until the ring is next added to or dropped from.
func (r *Ring) Peek(n int) []byte {
	if r.head+n > len(r.buffer) {
		r.moveTo(make([]byte, len(r.buffer)))
	}
	return r.buffer[r.head : r.head+n]
}

// Discard takes the first n bytes off.
func (r *Ring) Discard(n int) {
	if r.size -= n; r.size == 0 {
		r.head = 0
		return
	}
	r.head = (r.head + n) % len(r.buffer)
}

// Release frees the memory of an empty ring.
func (r *Ring) Release() {
	if r.size == 0 {
		r.buffer, r.head = nil, 0
	}
}

// Shrink frees the memory of an empty ring that has grown past its first size.
func (r *Ring) Shrink() {
	if len(r.buffer) > minBufferBytes {
		r.Release()
	}
}
