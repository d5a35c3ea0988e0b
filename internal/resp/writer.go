package resp

import (
	"strconv"

	"github.com/tidwall/redcon"
)

// AppendStrings appends an array of bulk strings to b.
func AppendStrings(b []byte, values ...string) []byte {
	b = redcon.AppendArray(b, len(values))
	for _, value := range values {
		b = redcon.AppendBulkString(b, value)
	}
	return b
}

// Writer encodes frames into a ring piece by piece, as room allows, and counts the bytes of the stream.
type Writer struct {
	Ring
	WrittenBytes int64     // bytes of the stream that Advance has removed from the ring so far
	addedBytes   int64     // bytes of the stream that were put into the ring so far
	header       []byte    // for reuse
	parts        [3][]byte // rest of the current frame: header, body and final line end
}

var lineEndBytes = []byte(lineEnd)

// Put starts a frame whose last string is the body, and returns the offset in the stream at which the frame ends. The
// body must not change until the frame is in the ring.
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
	return w.addedBytes + int64(len(header)+len(body)+len(lineEnd))
}

// PutRaw starts frames that are already encoded. They must not change until they are in the ring.
func (w *Writer) PutRaw(frames []byte) { w.parts = [3][]byte{frames} }

// Next returns the bytes to be written next. Whenever the current frame is in the ring, Next calls more, which starts
// another frame and reports whether there was one.
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
		w.addedBytes += int64(n)
		*part = (*part)[n:]
	}
	return w.Head()
}

// Advance removes the first n bytes returned by Next.
func (w *Writer) Advance(n int) {
	w.Discard(n)
	w.WrittenBytes += int64(n)
}

// Empty reports whether Advance has removed all frames that were started.
func (w *Writer) Empty() bool {
	return w.WrittenBytes == w.addedBytes && len(w.parts[0])+len(w.parts[1])+len(w.parts[2]) == 0
}
