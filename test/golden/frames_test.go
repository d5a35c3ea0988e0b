package golden_test

// This file builds the frames that the simulator program reads. The offsets are defined here again, so that the
// tests do not depend on the code of the simulator's adapter.

import (
	"encoding/binary"
	"math"
)

const (
	frameHeaderSize = 20 // number, count of records, length of the rest, time
	recordSize      = 64
	actionSize      = 48
	replyHeaderSize = 12
	listEntrySize   = 25
	lengthOffset    = 8 // offset in a frame of the length of the rest
)

// Codes of the records in frames.
const (
	recordTimer         = 0
	recordEndpoints     = 1
	recordEndpointList  = 2
	recordStart         = 3
	recordPurge         = 4
	recordRequest       = 5
	recordGossip        = 6
	recordAttemptResult = 7
	recordClientGone    = 8
	recordStreamStarted = 9
	recordStop          = 10
	recordHealthCheck   = 11
)

var byteOrder = binary.LittleEndian

// record is one record of a frame. Its methods write a value at an offset.
type record [recordSize]byte

func newRecord(code byte, router uint32) *record {
	r := &record{code}
	return r.u32(1, router)
}

func (r *record) u8(at int, v byte) *record    { r[at] = v; return r }
func (r *record) u16(at int, v uint16) *record { byteOrder.PutUint16(r[at:], v); return r }
func (r *record) u32(at int, v uint32) *record { byteOrder.PutUint32(r[at:], v); return r }
func (r *record) u64(at int, v uint64) *record { byteOrder.PutUint64(r[at:], v); return r }
func (r *record) f32(at int, v float32) *record {
	return r.u32(at, math.Float32bits(v))
}

func (r *record) f64(at int, v float64) *record {
	return r.u64(at, math.Float64bits(v))
}

// address is the IPv4 address and port of an endpoint.
type address [6]byte

func newAddress(last byte) address { return address{10, 0, 0, last, 0x1f, 0x90} }

// listEntry is one entry of an endpoint list.
type listEntry struct {
	started          float64
	state            byte
	kind, zone, cell uint16
	endpoint         address
	weight           float32
}

func (l listEntry) encode() []byte {
	b := make([]byte, listEntrySize)
	byteOrder.PutUint64(b, math.Float64bits(l.started))
	b[8] = l.state
	byteOrder.PutUint16(b[9:], l.kind)
	byteOrder.PutUint16(b[11:], l.zone)
	byteOrder.PutUint16(b[13:], l.cell)
	copy(b[15:], l.endpoint[:])
	byteOrder.PutUint32(b[21:], math.Float32bits(l.weight))
	return b
}

// frameBuilder builds a frame.
type frameBuilder struct {
	number  uint32
	now     float64 // milliseconds
	records []*record
	tail    []byte
}

func (b *frameBuilder) add(r ...*record) { b.records = append(b.records, r...) }

// addToTail appends bytes to the tail and returns their offset in it.
func (b *frameBuilder) addToTail(s []byte) (offset uint32) {
	offset = uint32(len(b.tail))
	b.tail = append(b.tail, s...)
	return offset
}

// addList adds a record that defines an endpoint list under a number.
func (b *frameBuilder) addList(number byte, list ...listEntry) {
	var entries []byte
	for _, n := range list {
		entries = append(entries, n.encode()...)
	}
	r := &record{recordEndpointList, number}
	b.add(r.u32(2, b.addToTail(entries)).u32(6, uint32(len(list))))
}

// addStart adds a record that starts a router.
func (b *frameBuilder) addStart(router uint32, seed uint64, settings string) {
	at := b.addToTail([]byte(settings))
	b.add(newRecord(recordStart, router).u64(5, seed).u32(13, at).u32(17, uint32(len(settings))))
}

// addEndpoints adds a record that sends a router the endpoint list with a number.
func (b *frameBuilder) addEndpoints(router uint32, list, scope byte) {
	b.add(newRecord(recordEndpoints, router).u8(5, list).u8(6, scope))
}

func (b *frameBuilder) encode() []byte {
	f := byteOrder.AppendUint32(nil, b.number)
	f = byteOrder.AppendUint32(f, uint32(len(b.records)))
	f = byteOrder.AppendUint32(f, uint32(8+len(b.records)*recordSize+len(b.tail)))
	f = byteOrder.AppendUint64(f, math.Float64bits(b.now))
	for _, r := range b.records {
		f = append(f, r[:]...)
	}
	return append(f, b.tail...)
}
