package resp

import "strconv"

// Kind is the type of a reply, given by the first byte of its encoding.
type Kind byte

// The kinds of replies in RESP2.
const (
	SimpleString Kind = '+'
	ErrorReply   Kind = '-'
	Integer      Kind = ':'
	BulkString   Kind = '$'
	Array        Kind = '*'
)

// nullLength is the announced length of a null bulk string or null array.
const nullLength = -1

// maxNumberBytes is the maximum length of a decimal number, sign included.
const maxNumberBytes = 24

// Reply is a reply, or one element of an array. Text is valid until the next call of ReplyDecoder.Next.
type Reply struct {
	Kind      Kind
	IsNull    bool // a null bulk string or a null array
	Text      []byte
	Int       int64 // value of an integer, or the announced length
	PartCount int   // number of elements of an array; they follow the array
}

// ReplyDecoder finds complete RESP2 replies in a ring. It checks a length when it is announced, before the bytes
// arrive. Its limits must be set before use.
type ReplyDecoder struct {
	MaxStringBytes int // maximum length of a bulk string
	MaxLineBytes   int // maximum length of a line, without CR and LF
	MaxParts       int // maximum number of parts in a reply, nested arrays and their elements included

	position       int // offset of the next part to be parsed
	remainingParts int // parts still to be parsed
	returnedBytes  int // length of the reply that Next returned last, 0 if it has been discarded
	parts          []part
	replies        []Reply
}

// part is a parsed Reply whose text is still in the ring, between two offsets.
type part struct {
	kind     Kind
	isNull   bool
	from, to int
	number   int64 // value of an integer, or the announced length
}

// Next returns the parts of the next complete reply, an array before its elements, or nil if more bytes are needed. The
// parts are valid until the next call.
func (d *ReplyDecoder) Next(r *Ring) ([]Reply, error) {
	if d.returnedBytes > 0 {
		r.Discard(d.returnedBytes)
		d.returnedBytes = 0
	}
	if d.position == 0 {
		d.remainingParts, d.parts = 1, d.parts[:0]
	}
	for d.remainingParts > 0 {
		next, used, err := d.parsePart(r)
		if err != nil || used == 0 {
			return nil, err
		}
		d.position += used
		d.remainingParts--
		if next.kind == Array && !next.isNull {
			d.remainingParts += int(next.number)
		}
		d.parts = append(d.parts, next)
		if len(d.parts)+d.remainingParts > d.MaxParts {
			return nil, ErrMalformed
		}
	}
	encoded := r.Peek(d.position)
	d.replies = d.replies[:0]
	for i := range d.parts {
		p := &d.parts[i]
		d.replies = append(d.replies, Reply{
			Kind:      p.kind,
			IsNull:    p.isNull,
			Text:      encoded[p.from:p.to],
			Int:       p.number,
			PartCount: int(p.number),
		})
	}
	d.returnedBytes, d.position = d.position, 0
	return d.replies, nil
}

// parsePart parses the part at the current position. It returns the part and its length, which is 0 if the part is
// incomplete.
func (d *ReplyDecoder) parsePart(r *Ring) (next part, used int, err error) {
	lineLength, isComplete, err := d.findLine(r)
	if !isComplete || err != nil {
		return part{}, 0, err
	}
	next = part{
		kind: Kind(r.At(d.position)),
		from: d.position + 1,
		to:   d.position + lineLength,
	}
	used = lineLength + len(lineEnd)
	switch next.kind {
	case SimpleString, ErrorReply:
		return next, used, nil
	case Integer, BulkString, Array:
	default:
		return part{}, 0, ErrMalformed
	}
	if next.number, err = parseNumber(r, next.from, next.to); err != nil {
		return part{}, 0, err
	}
	switch {
	case next.kind == Integer:
	case next.number == nullLength:
		next.isNull, next.to = true, next.from
	case next.number < 0:
		return part{}, 0, ErrMalformed
	case next.kind == BulkString:
		return d.parseBulk(r, next, used)
	case next.number > int64(d.MaxParts):
		return part{}, 0, ErrMalformed
	}
	return next, used, nil
}

// findLine finds the end of the line at the current position. The length does not include CR and LF.
func (d *ReplyDecoder) findLine(r *Ring) (length int, isComplete bool, err error) {
	if d.position >= r.Len() {
		return 0, false, nil
	}
	for length = 1; ; length++ {
		if length > d.MaxLineBytes {
			return 0, false, ErrMalformed
		}
		if d.position+length+1 >= r.Len() {
			return 0, false, nil
		}
		if r.At(d.position+length) == '\r' {
			break
		}
	}
	if r.At(d.position+length+1) != '\n' {
		return 0, false, ErrMalformed
	}
	return length, true, nil
}

// parseBulk finds the content of a bulk string after its header line of the given length. It returns the part and the
// length of header line and content together, which is 0 if the content is incomplete.
func (d *ReplyDecoder) parseBulk(r *Ring, next part, used int) (part, int, error) {
	if next.number > int64(d.MaxStringBytes) {
		return part{}, 0, ErrMalformed
	}
	next.from = d.position + used
	next.to = next.from + int(next.number)
	used += int(next.number) + len(lineEnd)
	if d.position+used > r.MaxBytes {
		return part{}, 0, ErrMalformed // the string would never fit into the ring
	}
	if r.Len() < d.position+used {
		return part{}, 0, nil
	}
	if r.At(next.to) != '\r' || r.At(next.to+1) != '\n' {
		return part{}, 0, ErrMalformed
	}
	return next, used, nil
}

// parseNumber parses the number between two offsets.
func parseNumber(r *Ring, from, to int) (int64, error) {
	var text [maxNumberBytes]byte
	if to-from > len(text) || to == from {
		return 0, ErrMalformed
	}
	for i := from; i < to; i++ {
		text[i-from] = r.At(i)
	}
	number, err := strconv.ParseInt(string(text[:to-from]), 10, 64)
	if err != nil {
		return 0, ErrMalformed
	}
	return number, nil
}
