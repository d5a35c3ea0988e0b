package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// A frame consists of its number, the count of its records, the size of the rest, the simulator's time, the records,
// and a tail with the data that the records refer to. All integers are little-endian.
const (
	frameNumberOffset = 0
	frameCountOffset  = 4
	frameSizeOffset   = 8 // number of bytes after this field
	frameTimeOffset   = 12
	frameHeaderSize   = 20
	eventRecordSize   = 64

	framePrefixSize = frameTimeOffset // bytes that are read before the frame's size is known
	minFrameSize    = frameHeaderSize - framePrefixSize
	maxFrameSize    = 1 << 28 // a larger size means corrupt input
	readStep        = 1 << 20 // maximum memory allocated ahead of the bytes received
)

// A reply consists of the number of its frame, the size of the rest, the count of its records, the records, and the
// texts that the records refer to.
const (
	replyNumberOffset = 0
	replySizeOffset   = 4 // number of bytes after this field
	replyCountOffset  = 8
	replyHeaderSize   = 12
	replyCountSize    = 4
	actionRecordSize  = 48
)

var byteOrder = binary.LittleEndian

func frameNumber(frame []byte) uint32 { return byteOrder.Uint32(frame[frameNumberOffset:]) }

// errEndOfInput is returned when the input ends between two frames.
var errEndOfInput = errors.New("end of input")

// readFrame reads the next frame into h.frame, which grows only as data arrives.
func (h *Host) readFrame(in io.Reader) error {
	var prefix [framePrefixSize]byte
	if _, err := io.ReadFull(in, prefix[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return errEndOfInput
		}
		return &TruncatedError{Part: "frame header", Err: err}
	}
	size := int(byteOrder.Uint32(prefix[frameSizeOffset:]))
	if size < minFrameSize || size > maxFrameSize {
		return &SizeError{fmt.Sprintf("frame of %d bytes is out of bounds", size)}
	}
	h.frame = append(h.frame[:0], prefix[:]...)
	for size > 0 {
		step := min(size, readStep)
		start := len(h.frame)
		h.frame = append(h.frame, make([]byte, step)...)
		if _, err := io.ReadFull(in, h.frame[start:]); err != nil {
			return &TruncatedError{Part: "frame", Err: err}
		}
		size -= step
	}
	return nil
}

// checkFrame validates the header of a frame and returns the count of its records.
func checkFrame(frame []byte) (count int, err error) {
	if len(frame) < frameHeaderSize {
		return 0, &SizeError{fmt.Sprintf("frame of %d bytes is shorter than its header", len(frame))}
	}
	size, following := int(byteOrder.Uint32(frame[frameSizeOffset:])), len(frame)-framePrefixSize
	if size != following {
		return 0, &SizeError{fmt.Sprintf("frame header announces %d more bytes, but %d follow", size, following)}
	}
	count = int(byteOrder.Uint32(frame[frameCountOffset:]))
	if count > (len(frame)-frameHeaderSize)/eventRecordSize {
		return 0, &SizeError{fmt.Sprintf("frame of %d bytes cannot hold %d records", len(frame), count)}
	}
	return count, nil
}

// reply accumulates the records and texts of one reply.
type reply struct {
	records []byte
	texts   []byte
	count   uint32
}

func (r *reply) reset() { r.records, r.texts, r.count = r.records[:0], r.texts[:0], 0 }

// addRecord appends an empty record and returns it.
func (r *reply) addRecord() record {
	start := len(r.records)
	r.records = append(r.records, make([]byte, actionRecordSize)...)
	r.count++
	return record(r.records[start:])
}

func (r *reply) writeTo(out *bufio.Writer, number uint32) error {
	var header [replyHeaderSize]byte
	byteOrder.PutUint32(header[replyNumberOffset:], number)
	byteOrder.PutUint32(header[replySizeOffset:], uint32(replyCountSize+len(r.records)+len(r.texts)))
	byteOrder.PutUint32(header[replyCountOffset:], r.count)
	for _, part := range [][]byte{header[:], r.records, r.texts} {
		if _, err := out.Write(part); err != nil {
			return err
		}
	}
	return out.Flush()
}
