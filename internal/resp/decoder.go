package resp

import (
	"bytes"
	"errors"

	"github.com/tidwall/redcon"
)

// ErrFraming says that the bytes that come next are no frame within the bounds: where the one after it begins can't be
// known any more.
var ErrFraming = errors.New("not an array of bulk strings within the bounds")

const (
	lineEnd = "\r\n"

	// maxHeaderBytes is the longest line that announces a length: its sign, ten digits, CR and LF.
	maxHeaderBytes = 13
)

// Decoder finds whole frames, which are arrays of bulk strings, in a ring. It checks a length when it is announced, not
// when its bytes have come, and looks at each header once, in whatever pieces it comes. It knows no verbs.
type Decoder struct {
	MaxStrings     int // most strings in a frame
	MaxStringBytes int // most bytes in a string
	MaxFrameBytes  int // most bytes in a frame

	position int  // of the next header, or of the end of the frame; 0: no frame begun
	headers  int  // still to come
	isTaken  bool // the frame was handed out
	args     [][]byte
}

// Fresh is a decoder with the same bounds that has seen nothing.
func (d *Decoder) Fresh() Decoder {
	return Decoder{MaxStrings: d.MaxStrings, MaxStringBytes: d.MaxStringBytes, MaxFrameBytes: d.MaxFrameBytes}
}

// FrameBytes is the length of the frame that was returned last.
func (d *Decoder) FrameBytes() int { return d.position }

// Next returns the strings of the next whole frame, or none if more bytes are needed. They hold until the next
// call.
func (d *Decoder) Next(r *Ring) ([][]byte, error) {
	if d.isTaken {
		r.Discard(d.position)
		d.position, d.isTaken = 0, false
	}
	for d.position == 0 || d.headers > 0 {
		sign, most := BulkString, d.MaxStringBytes
		if d.position == 0 {
			sign, most = Array, d.MaxStrings
		}
		length, used, err := parseHeader(r, d.position, sign, most)
		if used == 0 || err != nil {
			return nil, err
		}
		if sign == Array {
			d.position, d.headers = used, length
			continue
		}
		d.position += used + length + len(lineEnd)
		d.headers--
		if d.position > d.MaxFrameBytes {
			return nil, ErrFraming
		}
	}
	if d.position > r.Len() {
		return nil, nil
	}
	isWhole, args, _, _, err := redcon.ReadNextCommand(r.Peek(d.position), d.args[:0])
	if err != nil || !isWhole || len(args) == 0 {
		return nil, ErrFraming
	}
	d.args, d.isTaken = args, true
	return args, nil
}

// Partial returns the strings that are whole of a frame that is not: they tell whose it is. They hold until the ring
// changes.
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

// parseHeader reads the line at a position that announces a length after its sign; used is 0 while it is not whole.
func parseHeader(r *Ring, position int, sign Kind, most int) (length, used int, err error) {
	if position >= r.Len() {
		return 0, 0, nil
	}
	if Kind(r.At(position)) != sign {
		return 0, 0, ErrFraming
	}
	for offset := 1; ; offset++ {
		if position+offset >= r.Len() {
			return 0, 0, nil
		}
		switch c := r.At(position + offset); {
		case c >= '0' && c <= '9' && offset < maxHeaderBytes-len(lineEnd):
			if length = 10*length + int(c-'0'); length > most {
				return 0, 0, ErrFraming
			}
		case c == '\r' && offset > 1:
			if position+offset+1 >= r.Len() {
				return 0, 0, nil
			}
			if r.At(position+offset+1) != '\n' {
				return 0, 0, ErrFraming
			}
			return length, offset + len(lineEnd), nil
		default:
			return 0, 0, ErrFraming
		}
	}
}

// Field takes the first of a list of fields off, name=value,name=value: its name, its value and the rest.
func Field(list []byte) (name, value, rest []byte) {
	list, rest, _ = bytes.Cut(list, []byte{','})
	name, value, _ = bytes.Cut(list, []byte{'='})
	return name, value, rest
}
