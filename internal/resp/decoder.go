package resp

import (
	"bytes"
	"errors"
	"slices"
)

// ErrMalformed reports input that is malformed or exceeds a limit. Decoding cannot resume after it, because the start
// of the next frame is unknown.
var ErrMalformed = errors.New("malformed RESP2 message or length beyond the limit")

const (
	lineEnd = "\r\n"

	// maxHeaderBytes is the maximum length of a header line: the kind, a length of up to ten digits, CR and LF.
	maxHeaderBytes = 13
)

// separateBodyBytes is the length from which the last string of a frame is read into memory of its own. So is a shorter
// one that does not fit into the ring beside the strings before it.
const separateBodyBytes = 4 << 10

// BodyDecision is what becomes of a long last string of a frame.
type BodyDecision uint8

// The decisions.
const (
	BodyAllocated BodyDecision = iota // it is read into the given memory
	BodySkipped                       // it is discarded as it arrives
	BodyDelayed                       // no memory yet: nothing is read until the next call of Next asks again
)

// span is the place of a string in the ring.
type span struct{ from, to int }

// Decoder finds complete frames, which are arrays of bulk strings, in a ring. It checks a length when it is announced,
// before the bytes arrive, and parses each header once, however the input is split. It does not interpret the strings.
//
// If AllocateBody is set, a long last string that has not arrived yet bypasses the ring, which then stays small. The
// input must in that case be read into Buffer and added with Commit.
type Decoder struct {
	MaxStrings       int // maximum number of strings in a frame
	MaxStringBytes   int // maximum length of a string
	MaxFrameBytes    int // maximum length of a frame
	MaxBufferedBytes int // maximum length of the part of a frame that is in the ring; 0: that of the frame

	// AllocateBody decides about a long last string, given the strings before it and its length.
	AllocateBody func(head [][]byte, length int) (body []byte, decision BodyDecision)

	position         int      // offset in the ring of the next header, or of the end of the frame; 0: no frame begun
	remainingHeaders int      // string headers still to be parsed
	strings          []span   // of the strings whose headers are parsed
	isReturned       bool     // Next has returned the frame and discards it when called again
	args             [][]byte // returned by Next, for reuse

	isSeparate bool   // the last string bypasses the ring
	isDelayed  bool   // there was no memory yet for the last string
	body       []byte // memory of the last string; nil if it is skipped
	bodyLength int    // of a last string that bypasses the ring
	bodyBytes  int    // received of it
}

// ScanCopy returns a decoder for a copy of the ring that goes on where this one is. It allocates no memory for bodies.
func (d *Decoder) ScanCopy() Decoder {
	duplicate := *d
	duplicate.AllocateBody, duplicate.args, duplicate.strings = nil, nil, slices.Clone(d.strings)
	return duplicate
}

// FrameBytes returns how many bytes of the ring the frame takes that the last call of Next returned.
func (d *Decoder) FrameBytes() int { return d.position }

// IsBodySkipped reports whether the last string of the frame that Next has returned was discarded.
func (d *Decoder) IsBodySkipped() bool { return d.isSeparate && d.body == nil }

// SkipBody discards the rest of a last string that is being read, and its memory.
func (d *Decoder) SkipBody() { d.body = nil }

// Buffer returns the memory for the next read, which is empty if no more can be read for now.
func (d *Decoder) Buffer(r *Ring) []byte {
	missing := d.bodyLength - d.bodyBytes
	switch {
	case d.isDelayed:
		return nil
	case missing == 0:
		return r.Tail()
	case d.body != nil:
		return d.body[d.bodyBytes:]
	}
	tail := r.Tail()
	return tail[:min(len(tail), missing)]
}

// Commit adds the first n bytes of Buffer.
func (d *Decoder) Commit(r *Ring, n int) {
	if d.bodyBytes < d.bodyLength {
		d.bodyBytes += n
		return
	}
	r.Commit(n)
}

// Next returns the strings of the next complete frame, or nil if more bytes are needed. The strings are valid until the
// next call, and a last string that bypassed the ring belongs to the caller.
func (d *Decoder) Next(r *Ring) ([][]byte, error) {
	if d.isReturned {
		d.discardFrame(r)
	}
	if isComplete, err := d.parseHeaders(r); !isComplete || err != nil {
		return nil, err
	}
	if d.position > r.Len() && !d.isSeparate {
		d.separateBody(r)
	}
	if d.position > r.Len() || d.bodyBytes < d.bodyLength {
		return nil, nil
	}
	return d.takeFrame(r)
}

// discardFrame removes the frame that Next has returned.
func (d *Decoder) discardFrame(r *Ring) {
	r.Discard(d.position)
	d.position, d.isReturned, d.strings = 0, false, d.strings[:0]
	d.isSeparate, d.body, d.bodyLength, d.bodyBytes = false, nil, 0, 0
}

// parseHeaders parses the headers that have arrived, and reports whether these are all of the frame.
func (d *Decoder) parseHeaders(r *Ring) (isComplete bool, err error) {
	for d.position == 0 || d.remainingHeaders > 0 {
		kind, limit := BulkString, d.MaxStringBytes
		if d.position == 0 {
			kind, limit = Array, d.MaxStrings
		}
		length, used, err := parseHeader(r, d.position, kind, limit)
		if used == 0 || err != nil {
			return false, err
		}
		if kind == Array {
			d.position, d.remainingHeaders = used, length
			continue
		}
		from := d.position + used
		d.strings = append(d.strings, span{from, from + length})
		d.position = from + length + len(lineEnd)
		d.remainingHeaders--
		if d.position > d.MaxFrameBytes || d.remainingHeaders > 0 && d.exceedsBuffer(d.position) {
			return false, ErrMalformed
		}
	}
	return true, nil
}

// exceedsBuffer reports whether a length is more than the ring may hold of a frame.
func (d *Decoder) exceedsBuffer(bytes int) bool {
	return d.MaxBufferedBytes > 0 && bytes > d.MaxBufferedBytes
}

// separateBody has a long last string bypass the ring, and takes the bytes that are in the ring already.
func (d *Decoder) separateBody(r *Ring) {
	d.isDelayed = false
	last := len(d.strings) - 1
	if d.AllocateBody == nil || last < 0 {
		return
	}
	from, length := d.strings[last].from, d.strings[last].to-d.strings[last].from
	fitsIntoRing := length < separateBodyBytes && from+length+len(lineEnd) <= r.MaxBytes
	if fitsIntoRing || r.Len() >= from+length {
		return
	}
	buffered := r.Peek(r.Len())
	body, decision := d.AllocateBody(d.stringsIn(buffered, last), length)
	if decision == BodyDelayed {
		d.isDelayed = true
		return
	}
	d.isSeparate, d.body, d.bodyLength = true, body, length
	d.bodyBytes = len(buffered) - from
	copy(body, buffered[from:])
	r.Truncate(from)
	d.position = from + len(lineEnd)
	d.strings[last].to = from
}

// stringsIn returns the first count strings, which are in the buffered bytes.
func (d *Decoder) stringsIn(buffered []byte, count int) [][]byte {
	d.args = d.args[:0]
	for _, place := range d.strings[:count] {
		d.args = append(d.args, buffered[place.from:place.to])
	}
	return d.args
}

// takeFrame returns the strings of the frame if each ends as it must.
func (d *Decoder) takeFrame(r *Ring) ([][]byte, error) {
	for _, place := range d.strings {
		if r.At(place.to) != lineEnd[0] || r.At(place.to+1) != lineEnd[1] {
			return nil, ErrMalformed
		}
	}
	if len(d.strings) == 0 {
		return nil, ErrMalformed
	}
	args := d.stringsIn(r.Peek(d.position), len(d.strings))
	if d.isSeparate {
		args[len(args)-1] = d.body
	}
	d.isReturned = true
	return args, nil
}

// Partial returns the complete strings of an incomplete frame, so that the caller can tell which request the frame
// belongs to. The strings are valid until the ring changes.
func (d *Decoder) Partial(r *Ring) (args [][]byte) {
	count, position, err := parseHeader(r, 0, Array, d.MaxStrings)
	if position == 0 || err != nil {
		return nil
	}
	for ; count > 0; count-- {
		length, used, err := parseHeader(r, position, BulkString, d.MaxStringBytes)
		end := position + used + length
		if used == 0 || err != nil || end+len(lineEnd) > r.Len() {
			break
		}
		position = end + len(lineEnd)
		args = append(args, r.Peek(position)[end-length:end])
	}
	return args
}

// parseHeader parses the header line at a position: the expected kind and a length of at most the limit. It returns
// that length and the length of the line, which is 0 if the line is incomplete.
func parseHeader(r *Ring, position int, kind Kind, limit int) (length, used int, err error) {
	if position >= r.Len() {
		return 0, 0, nil
	}
	if Kind(r.At(position)) != kind {
		return 0, 0, ErrMalformed
	}
	for offset := 1; ; offset++ {
		if position+offset >= r.Len() {
			return 0, 0, nil
		}
		switch c := r.At(position + offset); {
		case c >= '0' && c <= '9' && offset < maxHeaderBytes-len(lineEnd):
			if length = 10*length + int(c-'0'); length > limit {
				return 0, 0, ErrMalformed
			}
		case c == '\r' && offset > 1:
			if position+offset+1 >= r.Len() {
				return 0, 0, nil
			}
			if r.At(position+offset+1) != '\n' {
				return 0, 0, ErrMalformed
			}
			return length, offset + len(lineEnd), nil
		default:
			return 0, 0, ErrMalformed
		}
	}
}

// Field splits the first field off a list of the form name=value,name=value. It returns the field's name, its value and
// the rest of the list.
func Field(list []byte) (name, value, rest []byte) {
	list, rest, _ = bytes.Cut(list, []byte{','})
	name, value, _ = bytes.Cut(list, []byte{'='})
	return name, value, rest
}
