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

// Fresh is a decoder with the same bounds that has seen nothing.
func (d *Decoder) Fresh() Decoder { return Decoder{Args: d.Args, Size: d.Size, Most: d.Most} }

// Taken is the length of the frame that was returned last.
func (d *Decoder) Taken() int { return d.at }

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

// Partial returns the strings that are whole of a frame that is not: they tell whose it is. They hold until the ring changes.
func (d *Decoder) Partial(r *Ring) (args [][]byte) {
	count, at, err := head(r, 0, '*', d.Args)
	for ; at > 0 && err == nil && count > 0; count-- {
		length, used, failed := head(r, at, '$', d.Size)
		if used == 0 || failed != nil || at+used+length+len("\r\n") > r.Len() {
			break
		}
		at += used + length + len("\r\n")
		args = append(args, r.First(at)[at-length-len("\r\n"):at-len("\r\n")])
	}
	return args
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

// AppendWords adds an array of strings.
func AppendWords(b []byte, words ...string) []byte {
	b = redcon.AppendArray(b, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return b
}

// Writer puts frames into a ring in parts, as there is room, and keeps account of the stream.
type Writer struct {
	Ring
	Written int64 // bytes that were taken so far
	added   int64
	head    []byte
	rest    [3][]byte // of the frame that is being put in: its head, its body, its end
}

var newline = []byte("\r\n")

// Put begins a frame with a body as its last string, and returns the place in the stream at which it ends. The body is
// lent until the frame is in.
func (w *Writer) Put(body []byte, args ...[]byte) (end int64) {
	b := redcon.AppendArray(w.head[:0], len(args)+1)
	for _, a := range args {
		b = redcon.AppendBulk(b, a)
	}
	b = append(b, '$')
	b = strconv.AppendInt(b, int64(len(body)), 10)
	w.head = append(b, newline...)
	w.rest = [3][]byte{w.head, body, newline}
	return w.added + int64(len(w.head)+len(body)+len(newline))
}

// PutRaw begins what is framed already; it is lent too.
func (w *Writer) PutRaw(b []byte) { w.rest = [3][]byte{b} }

// Next is what is to be written next. Whenever a frame is in, more is asked to begin another one, and says whether it did.
func (w *Writer) Next(more func() bool) []byte {
	for w.Room() > 0 {
		part := &w.rest[0]
		for i := 1; i < len(w.rest) && len(*part) == 0; i++ {
			part = &w.rest[i]
		}
		if len(*part) == 0 {
			w.rest = [3][]byte{}
			if !more() {
				break
			}
			continue
		}
		n := w.Append(*part)
		w.added += int64(n)
		*part = (*part)[n:]
	}
	return w.Head()
}

// Wrote says how much of it was taken.
func (w *Writer) Wrote(n int) {
	w.Drop(n)
	w.Written += int64(n)
}

// Empty says whether all that was begun has been taken.
func (w *Writer) Empty() bool {
	return w.Written == w.added && len(w.rest[0])+len(w.rest[1])+len(w.rest[2]) == 0
}
