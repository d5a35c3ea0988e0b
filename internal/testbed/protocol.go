package testbed

import (
	"fmt"
	"strings"
	"time"

	"fennelarch/internal/fake/site"
)

// Verbs of the client protocol.
const (
	verbRequest = "DO"
	verbCancel  = "UNDO"
	verbPing    = "PING"
)

// Statuses of a response.
const (
	StatusOK     = "OK"
	StatusBusy   = "BUSY"
	StatusFailed = "FAILED"
)

// ConnectionRejected takes the place of the tag in the message with which a router rejects a connection before reading
// from it.
const ConnectionRejected = "-BUSY"

// ClientRequest is a client's request to a router.
type ClientRequest struct {
	ID            string
	Class         string
	Object        site.Object
	Group         int // purge group of the object
	SizeKB        float64
	Timeout       time.Duration
	CachedVersion string // of the client's copy, "": the client has none
	Body          string
}

// Frame encodes the request with a tag that identifies it on its connection. Only Frame depends on the
// protocol's names of these fields.
func (r *ClientRequest) Frame(tag string) []byte {
	fields := fmt.Sprintf("req=%s,timeout=%d,subject=%016x,piece=%d,lot=%d,need=%.1f", r.ID, r.Timeout.Milliseconds(),
		r.Object.ID, r.Object.Part, r.Group, r.SizeKB)
	if r.CachedVersion != "" {
		fields += ",ver=" + r.CachedVersion
	}
	return site.Frame(verbRequest, tag, r.Class, fields, r.Body)
}

// CancelFrame returns the frame that cancels the request with a tag.
func CancelFrame(tag string) []byte { return site.Frame(verbCancel, tag) }

// PingFrame returns the frame that asks whether the router is up.
func PingFrame(tag string) []byte { return site.Frame(verbPing, tag) }

// Response is a router's response to a request.
type Response struct {
	Status        string
	IsNotModified bool // the client's own copy is current
	Body          string
}

// ParseResponse parses a frame that a router sent. The tag is empty if the frame is not a response.
func ParseResponse(words [][]byte) (tag string, response Response) {
	if len(words) < 2 {
		return "", Response{}
	}
	response.Status = string(words[1])
	if len(words) > 2 {
		response.IsNotModified = strings.Contains(string(words[2]), "unchanged=1")
	}
	if len(words) > 3 {
		response.Body = string(words[3])
	}
	return string(words[0]), response
}

// WaitFor waits until isDone returns true, but no longer than the timeout.
func WaitFor(timeout time.Duration, isDone func() bool) {
	const interval = 10 * time.Millisecond
	for end := time.Now().Add(timeout); time.Now().Before(end) && !isDone(); {
		time.Sleep(interval)
	}
}
