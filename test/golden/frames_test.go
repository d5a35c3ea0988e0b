package golden_test

// This file builds the frames that the simulator program reads, by their offsets.

import (
	"encoding/binary"
	"math"
)

const (
	frameHeader  = 20 // number, count, bytes to come, time
	recordSize   = 64
	actionSize   = 48
	replyHeader  = 12
	listEntry    = 25
	lengthOffset = 8 // of the length of the rest in a frame
)

// Codes of records.
const (
	recordTimer    = 0
	recordPeers    = 1
	recordList     = 2
	recordBirth    = 3
	recordPurge    = 4
	recordRequest  = 5
	recordMessage  = 6
	recordLegEnd   = 7
	recordGone     = 8
	recordStream   = 9
	recordKill     = 10
	recordProbeEnd = 11
)

var little = binary.LittleEndian

// record is one record of a frame.
type record [recordSize]byte

func newRecord(code byte, router uint32) *record {
	r := &record{code}
	return r.u32(1, router)
}

func (r *record) u8(at int, v byte) *record    { r[at] = v; return r }
func (r *record) u16(at int, v uint16) *record { little.PutUint16(r[at:], v); return r }
func (r *record) u32(at int, v uint32) *record { little.PutUint32(r[at:], v); return r }
func (r *record) u64(at int, v uint64) *record { little.PutUint64(r[at:], v); return r }
func (r *record) f32(at int, v float32) *record {
	return r.u32(at, math.Float32bits(v))
}

func (r *record) f64(at int, v float64) *record {
	return r.u64(at, math.Float64bits(v))
}

// address is a node's IPv4 address and port.
type address [6]byte

func newAddress(last byte) address { return address{10, 0, 0, last, 0x1f, 0x90} }

// listed is one line of a list of nodes.
type listed struct {
	started          float64
	state            byte
	kind, zone, cell uint16
	node             address
	weight           float32
}

func (l listed) encode() []byte {
	b := make([]byte, listEntry)
	little.PutUint64(b, math.Float64bits(l.started))
	b[8] = l.state
	little.PutUint16(b[9:], l.kind)
	little.PutUint16(b[11:], l.zone)
	little.PutUint16(b[13:], l.cell)
	copy(b[15:], l.node[:])
	little.PutUint32(b[21:], math.Float32bits(l.weight))
	return b
}

// batch is a frame under construction.
type batch struct {
	number  uint32
	now     float64 // milliseconds
	records []*record
	tail    []byte
}

func (b *batch) add(r ...*record) { b.records = append(b.records, r...) }

// text puts bytes into the tail and returns their place.
func (b *batch) text(s []byte) (offset uint32) {
	offset = uint32(len(b.tail))
	b.tail = append(b.tail, s...)
	return offset
}

// list gives a list of nodes a number.
func (b *batch) list(number byte, nodes ...listed) {
	var entries []byte
	for _, n := range nodes {
		entries = append(entries, n.encode()...)
	}
	r := &record{recordList, number}
	b.add(r.u32(2, b.text(entries)).u32(6, uint32(len(nodes))))
}

// birth starts a router.
func (b *batch) birth(router uint32, seed uint64, settings string) {
	at := b.text([]byte(settings))
	b.add(newRecord(recordBirth, router).u64(5, seed).u32(13, at).u32(17, uint32(len(settings))))
}

// peers tells a router the list of a number.
func (b *batch) peers(router uint32, list, scope byte) {
	b.add(newRecord(recordPeers, router).u8(5, list).u8(6, scope))
}

func (b *batch) encode() []byte {
	f := little.AppendUint32(nil, b.number)
	f = little.AppendUint32(f, uint32(len(b.records)))
	f = little.AppendUint32(f, uint32(8+len(b.records)*recordSize+len(b.tail)))
	f = little.AppendUint64(f, math.Float64bits(b.now))
	for _, r := range b.records {
		f = append(f, r[:]...)
	}
	return append(f, b.tail...)
}
