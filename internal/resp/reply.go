package resp

// This file owns the framing of the answers of a store: RESP2 replies out of a ring, each whole or not at all. A length is
// checked against the bounds when it is announced. It must never touch a socket or know a command.

import "strconv"

// Kind is what a reply is.
type Kind byte

const (
	Simple Kind = '+'
	Error  Kind = '-'
	Int    Kind = ':'
	Bulk   Kind = '$'
	Array  Kind = '*'
)

// Reply is one reply, or one part of an array; its bytes hold until the next call.
type Reply struct {
	Kind Kind
	Null bool // a bulk string or an array that is none
	Text []byte
	Int  int64
	Len  int // parts of an array, which follow it
}

// Replies finds whole replies in a ring. The zero value must be given its bounds.
type Replies struct {
	Size  int // most bytes in a string
	Line  int // most bytes in a line
	Parts int // most parts in a reply, those of arrays in arrays counted

	at    int // where the next part begins; heads before it were looked at
	left  int // parts to come
	drop  int // bytes of the reply handed out last
	parts []place
	out   []Reply
}

type place struct {
	kind     Kind
	null     bool
	from, to int
	n        int64
}

// Next returns the parts of the next whole reply, an array before its parts, or none if more bytes are needed.
func (d *Replies) Next(r *Ring) ([]Reply, error) {
	if d.drop > 0 {
		r.Drop(d.drop)
		d.drop = 0
	}
	if d.at == 0 {
		d.left, d.parts = 1, d.parts[:0]
	}
	for d.left > 0 {
		p, used, err := d.part(r)
		if err != nil || used == 0 {
			return nil, err
		}
		d.at += used
		d.left--
		if p.kind == Array && !p.null {
			d.left += int(p.n)
		}
		if d.parts = append(d.parts, p); len(d.parts)+d.left > d.Parts {
			return nil, ErrFraming
		}
	}
	whole := r.First(d.at)
	d.out = d.out[:0]
	for _, p := range d.parts {
		d.out = append(d.out, Reply{Kind: p.kind, Null: p.null, Text: whole[p.from:p.to], Int: p.n, Len: int(p.n)})
	}
	d.drop, d.at = d.at, 0
	return d.out, nil
}

// part reads one part at the place come to; used is 0 while it is not whole.
func (d *Replies) part(r *Ring) (p place, used int, err error) {
	if d.at >= r.Len() {
		return p, 0, nil
	}
	p.kind = Kind(r.At(d.at))
	end := d.at + 1
	for ; ; end++ {
		if end-d.at > d.Line {
			return p, 0, ErrFraming
		}
		if end+1 >= r.Len() {
			return p, 0, nil
		}
		if r.At(end) == '\r' {
			break
		}
	}
	if r.At(end+1) != '\n' {
		return p, 0, ErrFraming
	}
	p.from, p.to = d.at+1, end
	used = end + 2 - d.at
	switch p.kind {
	case Simple, Error:
		return p, used, nil
	case Int, Bulk, Array:
	default:
		return p, 0, ErrFraming
	}
	var line [24]byte
	if p.to-p.from > len(line) || p.to == p.from {
		return p, 0, ErrFraming
	}
	for i := p.from; i < p.to; i++ {
		line[i-p.from] = r.At(i)
	}
	if p.n, err = strconv.ParseInt(string(line[:p.to-p.from]), 10, 64); err != nil {
		return p, 0, ErrFraming
	}
	switch {
	case p.kind == Int:
	case p.n == -1:
		p.null, p.to = true, p.from
	case p.n < 0 || p.kind == Bulk && p.n > int64(d.Size) || p.kind == Array && p.n > int64(d.Parts):
		return p, 0, ErrFraming
	case p.kind == Bulk:
		p.from = d.at + used
		p.to = p.from + int(p.n)
		if used += int(p.n) + 2; d.at+used > r.Bound {
			return p, 0, ErrFraming // it could never be whole
		}
		if r.Len() < d.at+used {
			return p, 0, nil
		}
		if r.At(p.to) != '\r' || r.At(p.to+1) != '\n' {
			return p, 0, ErrFraming
		}
	}
	return p, used, nil
}
