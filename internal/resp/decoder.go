package resp

import (
	"bytes"
	"errors"

	"github.com/tidwall/redcon"
)

// ErrMalformed reports input that is malformed or exceeds a limit. Decoding cannot resume after it, because the start
// of the next frame is unknown.
var ErrMalformed = errors.New("malformed RESP2 message or length beyond the limit")

const (
	lineEnd = "\r\n"

	// maxHeaderBytes is the maximum length of a header line: the kind, a length of up to ten digits, CR and LF.
	maxHeaderBytes = 13
)

// Decoder finds complete frames, which are arrays of bulk strings, in a ring. It checks a length when it is announced,
// before the bytes arrive, and parses each header once, however the input is split. It does not interpret the strings.
type Decoder struct {
	MaxStrings     int // maximum number of strings in a frame
	MaxStringBytes int // maximum length of a string
	MaxFrameBytes  int // maximum length of a frame

	position         int      // offset of the next header, or of the end of the frame; 0: no frame begun
	remainingHeaders int      // string headers still to be parsed
	isReturned       bool     // Next has returned the frame and discards it when called again
	args             [][]byte // returned by Next, for reuse
}

// NewWithSameLimits returns a decoder with the same limits that has not parsed anything.
func (d *Decoder) NewWithSameLimits() Decoder {
	return Decoder{MaxStrings: d.MaxStrings, MaxStringBytes: d.MaxStringBytes, MaxFrameBytes: d.MaxFrameBytes}
}

// FrameBytes returns the length of the frame that the last call of Next returned.
func (d *Decoder) FrameBytes() int { return d.position }

// Next returns the strings of the next complete frame, or nil if more bytes are needed. The strings are valid until the
// next call.
func (d *Decoder) Next(r *Ring) ([][]byte, error) {
	if d.isReturned {
		r.Discard(d.position)
		d.position, d.isReturned = 0, false
	}
	for d.position == 0 || d.remainingHeaders > 0 {
		kind, limit := BulkString, d.MaxStringBytes
		if d.position == 0 {
			kind, limit = Array, d.MaxStrings
		}
		length, used, err := parseHeader(r, d.position, kind, limit)
		if used == 0 || err != nil {
			return nil, err
		}
		if kind == Array {
			d.position, d.remainingHeaders = used, length
			continue
		}
		d.position += used + length + len(lineEnd)
		d.remainingHeaders--
		if d.position > d.MaxFrameBytes {
			return nil, ErrMalformed
		}
	}
	if d.position > r.Len() {
		return nil, nil
	}
	isComplete, args, _, _, err := redcon.ReadNextCommand(r.Peek(d.position), d.args[:0])
	if err != nil || !isComplete || len(args) == 0 {
		return nil, ErrMalformed
	}
	d.args, d.isReturned = args, true
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
