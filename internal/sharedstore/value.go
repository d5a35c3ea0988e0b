package sharedstore

// This file owns the form in which a copy stands in a store, and the names of keys. A value says whose it is, of which
// form, when the origin gave it out, and what it must add up to; one that fails in any of it is no copy. It must never
// decide whether a copy will do.

import (
	"encoding/binary"
	"errors"
	"strconv"

	"fennelarch/policy/routing"

	"github.com/cespare/xxhash/v2"

	decide "fennelarch/policy/sharedstore"
)

// Copy is what a value holds.
type Copy struct {
	Object routing.ObjectID
	Part   int
	Group  routing.GroupID
	Born   decide.Timestamp // when the origin gave it out
	Valid  decide.Timestamp // no purge before this can have been missed on its way here
	Sum    string           // the tag of the bytes
	Body   []byte
}

// What a value can be besides a copy.
var (
	ErrForeign = errors.New("not a value of ours")
	ErrForm    = errors.New("of a newer form")
	ErrCut     = errors.New("cut off")
	ErrCorrupt = errors.New("its bytes do not add up")
	ErrOther   = errors.New("a copy of something else")
)

// A value is "FA", the form, the length of the tag, then eight bytes each of object, part and group, birth, and validity,
// the tag, the body, and eight bytes of a hash over all before.
const (
	form     = 1
	headSize = 4 + 4*8
	overhead = headSize + 8
)

// Encode appends a copy's value.
func (c *Copy) Encode(b []byte) []byte {
	at := len(b)
	b = append(b, 'F', 'A', form, byte(len(c.Sum)))
	b = binary.BigEndian.AppendUint64(b, uint64(c.Object))
	b = binary.BigEndian.AppendUint64(b, uint64(c.Part)<<32|uint64(c.Group))
	b = binary.BigEndian.AppendUint64(b, uint64(c.Born))
	b = binary.BigEndian.AppendUint64(b, uint64(c.Valid))
	b = append(b, c.Sum...)
	b = append(b, c.Body...)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b[at:]))
}

// Decode reads a value; the copy's bytes are those of b.
func Decode(b []byte) (c Copy, err error) {
	switch {
	case len(b) < 3 || b[0] != 'F' || b[1] != 'A':
		return c, ErrForeign
	case b[2] != form:
		return c, ErrForm
	case len(b) < overhead || len(b) < overhead+int(b[3]):
		return c, ErrCut
	}
	end := len(b) - 8
	if binary.BigEndian.Uint64(b[end:]) != xxhash.Sum64(b[:end]) {
		return c, ErrCorrupt
	}
	at := binary.BigEndian.Uint64(b[12:])
	c = Copy{
		Object: routing.ObjectID(binary.BigEndian.Uint64(b[4:])), Part: int(at >> 32), Group: routing.GroupID(at),
		Born: decide.Timestamp(binary.BigEndian.Uint64(b[20:])), Valid: decide.Timestamp(binary.BigEndian.Uint64(b[28:])),
	}
	tag := headSize + int(b[3])
	c.Sum, c.Body = string(b[headSize:tag]), b[tag:end]
	return c, nil
}

// names are the keys of one store.
type keys struct{ prefix string }

func (k keys) of(kind string, o routing.ObjectID, part int) []byte {
	b := append([]byte(k.prefix), kind...)
	b = strconv.AppendUint(b, uint64(o), 16)
	b = append(b, ':')
	return strconv.AppendInt(b, int64(part), 10)
}

func (k keys) value(o routing.ObjectID, part int) []byte { return k.of("v:", o, part) }
func (k keys) lease(o routing.ObjectID, part int) []byte { return k.of("l:", o, part) }
func (k keys) ledger() []byte                            { return []byte(k.prefix + "purges") }

// The ledger is a sorted set: a member for each purge, scored by its time, and the ends of the interval.
const (
	memberFloor = "floor"
	memberSeen  = "seen"
)

func member(b []byte, m decide.Invalidation) []byte {
	if m.Object != 0 {
		return strconv.AppendUint(append(b, "o:"...), uint64(m.Object), 16)
	}
	return strconv.AppendUint(append(b, "g:"...), uint64(m.Group), 10)
}

// readMember reads a member and its score; a foreign one is passed over.
func readMember(name, score []byte) (m decide.Invalidation, known bool) {
	at, err := strconv.ParseFloat(string(score), 64)
	if err != nil || len(name) < 3 || name[1] != ':' {
		return m, false
	}
	m.IssuedAt = decide.Timestamp(at)
	switch name[0] {
	case 'o':
		n, err := strconv.ParseUint(string(name[2:]), 16, 64)
		m.Object = routing.ObjectID(n)
		return m, err == nil && n != 0
	case 'g':
		n, err := strconv.ParseUint(string(name[2:]), 10, 32)
		m.Group = routing.GroupID(n)
		return m, err == nil
	}
	return m, false
}
