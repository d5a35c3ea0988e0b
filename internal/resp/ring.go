// Package resp encodes and decodes RESP2 messages in ring buffers: a Decoder finds arrays of bulk strings in a Ring, a
// ReplyDecoder finds the replies of a store, and a Writer encodes frames into its Ring. The package uses no socket and
// interprets no command. Byte slices are encoded with package redcon.
package resp

import "slices"

// minBufferBytes is the minimum size of a ring's buffer, unless MaxBytes is smaller. An unused ring has no buffer.
const minBufferBytes = 4 << 10

// Ring is a byte queue for one direction of one connection. Its buffer grows as needed, up to MaxBytes. The zero value
// is empty; MaxBytes must be set before use.
type Ring struct {
	MaxBytes int // maximum number of bytes held
	buffer   []byte
	head     int // index of the first byte in buffer
	size     int // number of bytes held
}

// Len returns the number of bytes held.
func (r *Ring) Len() int { return r.size }

// Room returns how many more bytes fit within MaxBytes.
func (r *Ring) Room() int { return r.MaxBytes - r.size }

// grow makes room for n more bytes, or as many of them as MaxBytes allows.
func (r *Ring) grow(n int) {
	needed := min(r.MaxBytes, r.size+n)
	if needed <= len(r.buffer) {
		return
	}
	capacity := max(minBufferBytes, len(r.buffer))
	for capacity < needed {
		capacity *= 2
	}
	r.moveTo(make([]byte, min(capacity, r.MaxBytes)))
}

// moveTo copies all bytes contiguously into another buffer, which replaces the current one.
func (r *Ring) moveTo(buffer []byte) {
	n := copy(buffer, r.Head())
	copy(buffer[n:], r.buffer[:r.size-n])
	r.buffer, r.head = buffer, 0
}

// Tail returns free memory to read into. It may be shorter than Room, and is empty only if the ring is full. Commit
// adds the bytes that were read into it.
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

// Commit adds the first n bytes of Tail.
func (r *Ring) Commit(n int) { r.size += n }

// Append adds as much of p as fits and returns the number of bytes added.
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

// Copy returns an independent ring that holds the same bytes.
func (r *Ring) Copy() Ring {
	duplicate := Ring{MaxBytes: r.MaxBytes}
	if r.size > 0 {
		duplicate.buffer, duplicate.size = make([]byte, len(r.buffer)), r.size
		n := copy(duplicate.buffer, r.Head())
		copy(duplicate.buffer[n:], r.buffer[:r.size-n])
	}
	return duplicate
}

// Head returns the longest contiguous run of bytes that begins with the first one.
func (r *Ring) Head() []byte {
	if r.size == 0 {
		return nil
	}
	return r.buffer[r.head:min(len(r.buffer), r.head+r.size)]
}

// At returns the byte at index i.
func (r *Ring) At(i int) byte {
	if i += r.head; i >= len(r.buffer) {
		i -= len(r.buffer)
	}
	return r.buffer[i]
}

// Peek returns the first n bytes as one slice, which is valid until bytes are next added or discarded.
func (r *Ring) Peek(n int) []byte {
	if r.head+n > len(r.buffer) {
		r.rotate()
	}
	return r.buffer[r.head : r.head+n]
}

// rotate moves the first byte to the start of the buffer, in place: memory for a second buffer may be short.
func (r *Ring) rotate() {
	slices.Reverse(r.buffer[:r.head])
	slices.Reverse(r.buffer[r.head:])
	slices.Reverse(r.buffer)
	r.head = 0
}

// Truncate removes all but the first n bytes.
func (r *Ring) Truncate(n int) { r.size = min(r.size, n) }

// Discard removes the first n bytes.
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

// Shrink frees the memory of an empty ring whose buffer is larger than minBufferBytes.
func (r *Ring) Shrink() {
	if len(r.buffer) > minBufferBytes {
		r.Release()
	}
}
