package resp

import (
	"strconv"

	"github.com/tidwall/redcon"
)

// AppendStrings adds an array of strings to b.
func AppendStrings(b []byte, words ...string) []byte {
	b = redcon.AppendArray(b, len(words))
	for _, word := range words {
		b = redcon.AppendBulkString(b, word)
	}
	return b
}

// Writer puts frames into a ring in parts, as there is room, and keeps account of the stream.
type Writer struct {
	Ring
	TakenBytes int64 // bytes of the stream that were taken so far
	added      int64 // bytes of the stream that were put into the ring so far
	header     []byte
	parts      [3][]byte // what is left of the frame that is being put in: its header, its body, its end
}

var lineEndBytes = []byte(lineEnd)

// Put begins a frame with a body as its last string, and returns the position in the stream at which it ends. The body
// must not change until the frame is in the ring.
func (w *Writer) Put(body []byte, args ...[]byte) (end int64) {
	header := redcon.AppendArray(w.header[:0], len(args)+1)
	for _, arg := range args {
		header = redcon.AppendBulk(header, arg)
	}
	header = append(header, byte(BulkString))
	header = strconv.AppendInt(header, int64(len(body)), 10)
	header = append(header, lineEnd...)
	w.header = header
	w.parts = [3][]byte{header, body, lineEndBytes}
	return w.added + int64(len(header)+len(body)+len(lineEnd))
}

// PutRaw begins what is framed already; it must not change until it is in the ring.
func (w *Writer) PutRaw(frames []byte) { w.parts = [3][]byte{frames} }

// Next is what is to be written next. Whenever a frame is in the ring, more is asked to begin another one, and says
// whether it did.
func (w *Writer) Next(more func() bool) []byte {
	for w.Room() > 0 {
		part := &w.parts[0]
		for i := 1; i < len(w.parts) && len(*part) == 0; i++ {
			part = &w.parts[i]
		}
		if len(*part) == 0 {
			w.parts = [3][]byte{}
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

// Advance says how much of it was taken.
func (w *Writer) Advance(n int) {
	w.Discard(n)
	w.TakenBytes += int64(n)
}

// Empty says whether all that was begun has been taken.
func (w *Writer) Empty() bool {
	return w.TakenBytes == w.added && len(w.parts[0])+len(w.parts[1])+len(w.parts[2]) == 0
}
