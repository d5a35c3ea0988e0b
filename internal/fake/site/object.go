package site

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Object identifies one part of an object.
type Object struct {
	ID   uint64
	Part int
}

// Body returns the body of an object that the origin serves at a time. It contains the object's ID, the part and the
// time, so that a receiver can verify every byte.
func Body(object Object, createdAt time.Time, size int) string {
	head := fmt.Sprintf("object=%016x part=%d born=%d ", object.ID, object.Part, createdAt.UnixMilli())
	if size <= len(head) {
		return head
	}
	padding := fmt.Sprintf("%016x", object.ID*0x9e3779b97f4a7c15+uint64(object.Part))
	return head + strings.Repeat(padding, (size-len(head))/len(padding)+1)[:size-len(head)]
}

// ParseBody returns the object that a body belongs to and the time at which the origin served it. isIntact reports
// whether every byte of the body is correct.
func ParseBody(body string) (object Object, createdAt time.Time, isIntact bool) {
	var createdMS int64
	n, err := fmt.Sscanf(body, "object=%x part=%d born=%d ", &object.ID, &object.Part, &createdMS)
	if n != 3 || err != nil {
		return object, createdAt, false
	}
	createdAt = time.UnixMilli(createdMS)
	return object, createdAt, Body(object, createdAt, len(body)) == body
}

// Checksum returns the checksum that a cache server reports for a copy. It encodes the time at which the origin served
// the copy.
func Checksum(createdAt time.Time) string { return fmt.Sprintf("%016x", createdAt.UnixMilli()) }

// ParseChecksum returns the time that a checksum encodes.
func ParseChecksum(checksum string) (createdAt time.Time, err error) {
	createdMS, err := strconv.ParseInt(checksum, 16, 64)
	if err != nil {
		return time.Time{}, fmt.Errorf("checksum %q: %w", checksum, err)
	}
	return time.UnixMilli(createdMS), nil
}

// Copy is a cached copy of an object.
type Copy struct {
	Body      string
	CreatedAt time.Time
}
