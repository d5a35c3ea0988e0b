// Package resp frames RESP arrays over ring buffers. This file owns the ring: the bytes of one direction of one
// connection. It grows to its bound and no further, gives its memory back when it is empty for long, and must
// never know what the bytes mean or where they come from.
package resp

// least is the first size of a ring that is used at all.
const least = 4 << 10

// Ring is a byte queue of bounded size. The zero value holds nothing; Bound must be set before use.
type Ring struct {
	Bound int
	buf   []byte
	head  int
	size  int
}

// Len is how many bytes wait.
func (r *Ring) Len() int { return r.size }

// Room is how many more bytes fit within the bound.
func (r *Ring) Room() int { return r.Bound - r.size }

// grow makes room for n more bytes, within the bound.
func (r *Ring) grow(n int) {
	want := min(r.Bound, r.size+n)
	if want <= len(r.buf) {
		return
	}
	to := max(least, len(r.buf))
	for to < want {
		to *= 2
	}
	r.move(make([]byte, min(to, r.Bound)))
}

func (r *Ring) move(to []byte) {
	n := copy(to, r.Head())
	copy(to[n:], r.buf[:r.size-n])
	r.buf, r.head = to, 0
}

// Tail is a free stretch to read into: some of what fits, none if the ring is full. Commit says how much of it
// was filled.
func (r *Ring) Tail() []byte {
	if r.size == len(r.buf) {
		r.grow(max(least, len(r.buf)))
	}
	if r.size == len(r.buf) {
		return nil
	}
	from := (r.head + r.size) % len(r.buf)
	if from < r.head {
		return r.buf[from:r.head]
	}
	return r.buf[from:]
}

// Commit adds the n bytes that were put into Tail.
func (r *Ring) Commit(n int) { r.size += n }

// Append adds as much of p as fits and returns how much.
func (r *Ring) Append(p []byte) int {
	n := min(len(p), r.Room())
	r.grow(n)
	for done := 0; done < n; {
		k := copy(r.Tail(), p[done:n])
		r.size += k
		done += k
	}
	return n
}

// Copy is a ring of its own that holds the same bytes.
func (r *Ring) Copy() Ring {
	c := Ring{Bound: r.Bound}
	if r.size > 0 {
		c.buf, c.size = make([]byte, len(r.buf)), r.size
		copy(c.buf[copy(c.buf, r.Head()):], r.buf[:max(0, r.head+r.size-len(r.buf))])
	}
	return c
}

// Head is the longest stretch of waiting bytes that lies in one piece.
func (r *Ring) Head() []byte {
	if r.size == 0 {
		return nil
	}
	return r.buf[r.head:min(len(r.buf), r.head+r.size)]
}

// At is the waiting byte at place i.
func (r *Ring) At(i int) byte {
	if i += r.head; i >= len(r.buf) {
		i -= len(r.buf)
	}
	return r.buf[i]
}

// First is the first n waiting bytes in one piece; it holds until the ring is next added to or drained.
func (r *Ring) First(n int) []byte {
	if r.head+n > len(r.buf) {
		r.move(make([]byte, len(r.buf)))
	}
	return r.buf[r.head : r.head+n]
}

// Drop takes n bytes off the front.
func (r *Ring) Drop(n int) {
	if r.size -= n; r.size == 0 {
		r.head = 0
		return
	}
	r.head = (r.head + n) % len(r.buf)
}

// Release gives the memory of an empty ring back.
func (r *Ring) Release() {
	if r.size == 0 {
		r.buf, r.head = nil, 0
	}
}

// Shrink gives the memory of an empty ring back if it grew past its first size.
func (r *Ring) Shrink() {
	if len(r.buf) > least {
		r.Release()
	}
}
