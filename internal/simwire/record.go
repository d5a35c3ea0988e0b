package simwire

import (
	"math"
	"time"

	"fennelarch/internal/config"
	"fennelarch/policy/routing"
)

// Offsets of the fields that records have in common. Every record begins with its code. In all records but endpoint
// lists, the number of the router follows, and in records about a request, then the ID of the request.
const (
	codeOffset    = 0
	routerOffset  = 1
	requestOffset = 5
)

// An endpoint is an IPv4 address and a port, packed into an EndpointID; the ID of a server is never 0. A load report is
// a count and up to four values.
const (
	endpointPortOffset     = 4
	loadReportMaxValues    = 4
	loadReportValuesOffset = 1
	loadReportValueSize    = 4
)

// A reference to the tail of a frame consists of an offset and a length.
const (
	tailOffsetOffset = 0
	tailLengthOffset = 4
)

// record is one record of a frame or reply. Its methods read and write the field at an offset.
type record []byte

func (r record) uint16(offset int) uint16 { return byteOrder.Uint16(r[offset:]) }
func (r record) uint32(offset int) uint32 { return byteOrder.Uint32(r[offset:]) }
func (r record) uint64(offset int) uint64 { return byteOrder.Uint64(r[offset:]) }

func (r record) putUint16(offset int, v uint16) { byteOrder.PutUint16(r[offset:], v) }
func (r record) putUint32(offset int, v uint32) { byteOrder.PutUint32(r[offset:], v) }
func (r record) putUint64(offset int, v uint64) { byteOrder.PutUint64(r[offset:], v) }

// float32 returns the 32-bit number at an offset, or 0 if it is not finite.
func (r record) float32(offset int) float64 {
	v := float64(math.Float32frombits(r.uint32(offset)))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

func (r record) milliseconds(offset int) time.Duration {
	return config.Milliseconds(math.Float64frombits(r.uint64(offset)))
}

func (r record) putMilliseconds(offset int, d time.Duration) {
	r.putUint64(offset, math.Float64bits(float64(d/time.Microsecond)/1000))
}

func (r record) request() routing.RequestID { return routing.RequestID(r.uint64(requestOffset)) }

func (r record) putRequest(id routing.RequestID) { r.putUint64(requestOffset, uint64(id)) }

func (r record) endpoint(offset int) routing.EndpointID {
	address := r[offset:]
	return routing.EndpointID(uint64(address[0])<<40 | uint64(address[1])<<32 | uint64(address[2])<<24 |
		uint64(address[3])<<16 | uint64(r.uint16(offset+endpointPortOffset)))
}

func (r record) putEndpoint(offset int, id routing.EndpointID) {
	address := r[offset:]
	address[0], address[1], address[2], address[3] = byte(id>>40), byte(id>>32), byte(id>>24), byte(id>>16)
	r.putUint16(offset+endpointPortOffset, uint16(id))
}

func (r record) outcome(offset int) (routing.Outcome, error) {
	code := r.uint16(offset)
	outcome := routing.Outcome(code)
	if outcome > routing.CacheMiss {
		return 0, &UnknownCodeError{Description: "unknown outcome", Code: int(code)}
	}
	return outcome, nil
}

func (r record) loadReport(offset int) routing.LoadReport {
	report := routing.LoadReport{Count: min(int(r[offset]), loadReportMaxValues)}
	for i := range report.Count {
		report.Values[i] = r.float32(offset + loadReportValuesOffset + i*loadReportValueSize)
	}
	return report
}

// tailPart returns the part of a tail that the reference at an offset names. The length in the reference counts units
// of unitSize bytes.
func (r record) tailPart(tail []byte, offset, unitSize int) ([]byte, error) {
	start, length := uint64(r.uint32(offset+tailOffsetOffset)), uint64(r.uint32(offset+tailLengthOffset))
	end := start + length*uint64(unitSize)
	if end > uint64(len(tail)) {
		return nil, &TailError{Offset: start, Length: length, TailSize: len(tail)}
	}
	return tail[start:end], nil
}
