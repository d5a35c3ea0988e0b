package resp

// This file owns the framing: whole RESP arrays of bulk strings out of a ring, and the lists of fields in them. A
// length is checked when it is announced, not when its bytes have come. It must never touch a socket or know a
// verb; the calls on bytes are redcon's.

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/tidwall/redcon"
)

// ErrFraming says that what comes next on the connection cannot be told any more.
var ErrFraming = errors.New("not an array of bulk strings within the bounds")

// maxHead is the longest line that announces a length: a sign, ten digits, CR and LF.
const maxHead = 13

// Decoder finds whole frames in a ring. It looks at each byte of a frame's heads once, however they come.
type Decoder struct {
	Args int // most strings in a frame
	Size int // most bytes in a string
	Most int // most bytes in a frame

	at    int  // where the next head stands, or the frame ends; 0: no frame begun
	left  int  // heads to come
	whole bool // the frame was handed out
	args  [][]byte
}

// Next returns the strings of the next whole frame, or none if more bytes are needed. They hold until the next
// call.
func (d *Decoder) Next(r *Ring) ([][]byte, error) {
	if d.whole {
		r.Drop(d.at)
		d.at, d.whole = 0, false
	}
	for d.at == 0 || d.left > 0 {
		sign, most := byte('$'), d.Size
		if d.at == 0 {
			sign, most = '*', d.Args
		}
		n, used, err := head(r, d.at, sign, most)
		if used == 0 || err != nil {
			return nil, err
		}
		if d.at == 0 {
			d.at, d.left = used, n
			continue
		}
		d.at += used + n + len("\r\n")
		d.left--
		if d.at > d.Most {
			return nil, ErrFraming
		}
	}
	if d.at > r.Len() {
		return nil, nil
	}
	whole, args, _, _, err := redcon.ReadNextCommand(r.First(d.at), d.args[:0])
	if err != nil || !whole || len(args) == 0 {
		return nil, ErrFraming
	}
	d.args, d.whole = args, true
	return args, nil
}

// head reads the line at a place that announces a length; used is 0 while it is not whole.
func head(r *Ring, at int, sign byte, most int) (n, used int, err error) {
	if at >= r.Len() {
		return 0, 0, nil
	}
	if r.At(at) != sign {
		return 0, 0, ErrFraming
	}
	for i := 1; ; i++ {
		if at+i >= r.Len() {
			return 0, 0, nil
		}
		switch c := r.At(at + i); {
		case c >= '0' && c <= '9' && i < maxHead-2:
			if n = 10*n + int(c-'0'); n > most {
				return 0, 0, ErrFraming
			}
		case c == '\r' && i > 1:
			if at+i+1 >= r.Len() {
				return 0, 0, nil
			}
			if r.At(at+i+1) != '\n' {
				return 0, 0, ErrFraming
			}
			return n, i + 2, nil
		default:
			return 0, 0, ErrFraming
		}
	}
}

// Field takes the first of a list of fields off: its name, its value and the rest.
func Field(list []byte) (name, value, rest []byte) {
	list, rest, _ = bytes.Cut(list, []byte{','})
	name, value, _ = bytes.Cut(list, []byte{'='})
	return name, value, rest
}

// AppendFrame adds an array of strings but for its last one, of which only the head is added: a body may follow in
// parts, and then CR and LF.
func AppendFrame(b []byte, body int, args ...[]byte) []byte {
	b = redcon.AppendArray(b, len(args)+1)
	for _, a := range args {
		b = redcon.AppendBulk(b, a)
	}
	b = append(b, '$')
	b = strconv.AppendInt(b, int64(body), 10)
	return append(b, '\r', '\n')
}
