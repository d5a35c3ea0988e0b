package sharedstore

import (
	"encoding/binary"

	"fennelarch/policy/routing"

	"github.com/cespare/xxhash/v2"

	policy "fennelarch/policy/sharedstore"
)

// Copy is the content of a stored value.
type Copy struct {
	Object      routing.ObjectID
	Part        int
	Group       routing.GroupID
	GeneratedAt policy.Timestamp // when the origin generated it
	ValidFrom   policy.Timestamp // the copy reflects every purge issued before this time
	ETag        string
	Body        []byte
}

// The layout of a stored value, with all numbers in big-endian order:
//
//	0   "FA"
//	2   format version
//	3   length of the ETag
//	4   object, 8 bytes
//	12  part and group, 4 bytes each
//	20  GeneratedAt, 8 bytes
//	28  ValidFrom, 8 bytes
//	36  ETag, body
//	end xxhash of all preceding bytes, 8 bytes
const (
	valueFormat       = 1
	objectOffset      = 4
	partGroupOffset   = 12
	generatedAtOffset = 20
	validFromOffset   = 28
	headerBytes       = 36
	checksumBytes     = 8
	valueOverhead     = headerBytes + checksumBytes
)

// encodedBytes returns the length of the encoded copy.
func (c *Copy) encodedBytes() int { return valueOverhead + len(c.ETag) + len(c.Body) }

// Encode appends the encoded copy to value.
func (c *Copy) Encode(value []byte) []byte {
	start := len(value)
	value = append(value, 'F', 'A', valueFormat, byte(len(c.ETag)))
	value = binary.BigEndian.AppendUint64(value, uint64(c.Object))
	value = binary.BigEndian.AppendUint64(value, uint64(c.Part)<<32|uint64(c.Group))
	value = binary.BigEndian.AppendUint64(value, uint64(c.GeneratedAt))
	value = binary.BigEndian.AppendUint64(value, uint64(c.ValidFrom))
	value = append(value, c.ETag...)
	value = append(value, c.Body...)
	return binary.BigEndian.AppendUint64(value, xxhash.Sum64(value[start:]))
}

// Decode decodes a stored value. The body of the copy is a slice of the value. The error is ErrForeignValue,
// ErrUnknownFormat, ErrTruncatedValue or ErrChecksum.
func Decode(value []byte) (Copy, error) {
	switch {
	case len(value) < 3 || value[0] != 'F' || value[1] != 'A':
		return Copy{}, ErrForeignValue
	case value[2] != valueFormat:
		return Copy{}, ErrUnknownFormat
	case len(value) < valueOverhead || len(value) < valueOverhead+int(value[3]):
		return Copy{}, ErrTruncatedValue
	}
	end := len(value) - checksumBytes
	if binary.BigEndian.Uint64(value[end:]) != xxhash.Sum64(value[:end]) {
		return Copy{}, ErrChecksum
	}
	partGroup := binary.BigEndian.Uint64(value[partGroupOffset:])
	bodyOffset := headerBytes + int(value[3])
	return Copy{
		Object:      routing.ObjectID(binary.BigEndian.Uint64(value[objectOffset:])),
		Part:        int(partGroup >> 32),
		Group:       routing.GroupID(partGroup),
		GeneratedAt: policy.Timestamp(binary.BigEndian.Uint64(value[generatedAtOffset:])),
		ValidFrom:   policy.Timestamp(binary.BigEndian.Uint64(value[validFromOffset:])),
		ETag:        string(value[headerBytes:bodyOffset]),
		Body:        value[bodyOffset:end],
	}, nil
}
