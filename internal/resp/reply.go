package resp

import "strconv"

// Kind is what a reply is: the sign with which it begins.
type Kind byte

// The kinds of RESP2.
const (
	SimpleString Kind = '+'
	ErrorReply   Kind = '-'
	Integer      Kind = ':'
	BulkString   Kind = '$'
	Array        Kind = '*'
)

// nullLength is the length that announces a null.
const nullLength = -1

// maxNumberBytes is the longest text of a number.
const maxNumberBytes = 24

// Reply is one reply, or one part of an array; its bytes hold until the next call.
type Reply struct {
	Kind      Kind
	IsNull    bool // a bulk string or an array that is null
	Text      []byte
	Int       int64
	PartCount int // parts of an array, which follow it
}

// ReplyDecoder finds complete replies of RESP2 in a ring. It checks a length when it is announced,
// not when its bytes have come. The zero value must be given its bounds.
type ReplyDecoder struct {
	MaxStringBytes int // most bytes in a string
	MaxLineBytes   int // most bytes in a line
	MaxParts       int // most parts in a reply, those of arrays in arrays counted

	position  int // of the next part; those before it have been parsed
	remaining int // parts to come
	taken     int // bytes of the reply handed out last
	parts     []part
	replies   []Reply
}

// part is a reply, or one part of an array: its kind and where in the ring its text lies.
type part struct {
	kind     Kind
	isNull   bool
	from, to int
	number   int64 // its value, or the length that it announces
}

// Next returns the parts of the next whole reply, an array before its parts, or none if more bytes are needed.
func (d *ReplyDecoder) Next(r *Ring) ([]Reply, error) {
	if d.taken > 0 {
		r.Discard(d.taken)
		d.taken = 0
	}
	if d.position == 0 {
		d.remaining, d.parts = 1, d.parts[:0]
	}
	for d.remaining > 0 {
		next, used, err := d.parsePart(r)
		if err != nil || used == 0 {
			return nil, err
		}
		d.position += used
		d.remaining--
		if next.kind == Array && !next.isNull {
			d.remaining += int(next.number)
		}
		d.parts = append(d.parts, next)
		if len(d.parts)+d.remaining > d.MaxParts {
			return nil, ErrFraming
		}
	}
	whole := r.Peek(d.position)
	d.replies = d.replies[:0]
	for i := range d.parts {
		p := &d.parts[i]
		d.replies = append(d.replies, Reply{
			Kind:      p.kind,
			IsNull:    p.isNull,
			Text:      whole[p.from:p.to],
			Int:       p.number,
			PartCount: int(p.number),
		})
	}
	d.taken, d.position = d.position, 0
	return d.replies, nil
}

// parsePart reads the part at the current position; used is 0 while it is not whole.
func (d *ReplyDecoder) parsePart(r *Ring) (next part, used int, err error) {
	lineLength, isWhole, err := d.findLine(r)
	if !isWhole || err != nil {
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
		return part{}, 0, ErrFraming
	}
	if next.number, err = parseNumber(r, next.from, next.to); err != nil {
		return part{}, 0, err
	}
	switch {
	case next.kind == Integer:
	case next.number == nullLength:
		next.isNull, next.to = true, next.from
	case next.number < 0:
		return part{}, 0, ErrFraming
	case next.kind == BulkString:
		return d.parseBulk(r, next, used)
	case next.number > int64(d.MaxParts):
		return part{}, 0, ErrFraming
	}
	return next, used, nil
}

// findLine looks for the end of the line at the current position; its length is that before CR and LF.
func (d *ReplyDecoder) findLine(r *Ring) (length int, isWhole bool, err error) {
	if d.position >= r.Len() {
		return 0, false, nil
	}
	for length = 1; ; length++ {
		if length > d.MaxLineBytes {
			return 0, false, ErrFraming
		}
		if d.position+length+1 >= r.Len() {
			return 0, false, nil
		}
		if r.At(d.position+length) == '\r' {
			break
		}
	}
	if r.At(d.position+length+1) != '\n' {
		return 0, false, ErrFraming
	}
	return length, true, nil
}

// parseBulk finds the bytes of a bulk string behind its line, which used so many bytes.
func (d *ReplyDecoder) parseBulk(r *Ring, next part, used int) (part, int, error) {
	if next.number > int64(d.MaxStringBytes) {
		return part{}, 0, ErrFraming
	}
	next.from = d.position + used
	next.to = next.from + int(next.number)
	used += int(next.number) + len(lineEnd)
	if d.position+used > r.MaxBytes {
		return part{}, 0, ErrFraming // it could never be whole
	}
	if r.Len() < d.position+used {
		return part{}, 0, nil
	}
	if r.At(next.to) != '\r' || r.At(next.to+1) != '\n' {
		return part{}, 0, ErrFraming
	}
	return next, used, nil
}

// parseNumber reads the number between two positions.
func parseNumber(r *Ring, from, to int) (int64, error) {
	var text [maxNumberBytes]byte
	if to-from > len(text) || to == from {
		return 0, ErrFraming
	}
	for i := from; i < to; i++ {
		text[i-from] = r.At(i)
	}
	number, err := strconv.ParseInt(string(text[:to-from]), 10, 64)
	if err != nil {
		return 0, ErrFraming
	}
	return number, nil
}
