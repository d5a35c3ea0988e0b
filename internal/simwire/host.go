// Package simwire is the adapter for the simulator's wire: it turns frames of event records into the events of package
// routing, and its actions into reply frames. The names and codes of that wire end here.
package simwire

import (
	"bufio"
	"errors"
	"io"
	"time"

	"fennelarch/internal/config"
	"fennelarch/policy/routing"
)

// bufferBytes is the size of the buffers before the input and the output.
const bufferBytes = 1 << 16

// maxLists is how many endpoint lists the simulator may define; events name them by number.
const maxLists = 16

// Host hosts the routers of one process.
type Host struct {
	routers map[routerNumber]*routing.Router
	lists   [maxLists][]routing.Endpoint

	// Memory that is used again for each frame or record.
	frame   []byte
	event   routing.Event
	actions []routing.Action
	reply   reply
}

// routerNumber is the simulator's number of a router.
type routerNumber uint32

// NewHost returns a host without routers.
func NewHost() *Host {
	return &Host{routers: map[routerNumber]*routing.Router{}}
}

// Serve answers frames until the input ends.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, bufferBytes)
	out := bufio.NewWriterSize(w, bufferBytes)
	for {
		err := h.readFrame(in)
		if errors.Is(err, errEndOfInput) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.Batch(h.frame); err != nil {
			return err
		}
		if err := h.reply.writeTo(out, frameNumber(h.frame)); err != nil {
			return err
		}
	}
}

// Batch hands the events of one frame to their routers and collects the reply.
func (h *Host) Batch(frame []byte) error {
	h.reply.reset()
	count, err := checkFrame(frame)
	if err != nil {
		return err
	}
	now := record(frame).milliseconds(frameTimeOffset)
	records, tail := frame[frameHeaderSize:], frame[frameHeaderSize+count*eventSize:]
	for i := range count {
		if err := h.handleRecord(now, record(records[i*eventSize:][:eventSize]), tail); err != nil {
			return &RecordError{Index: i, Err: err}
		}
	}
	return nil
}

// handleRecord handles one event record; the tail holds what it refers to.
func (h *Host) handleRecord(now time.Duration, rec record, tail []byte) error {
	number := routerNumber(rec.uint32(routerOffset))
	switch rec[codeOffset] {
	case codeEndpointList:
		return h.defineEndpointList(rec, tail)
	case codeStart:
		return h.startRouter(now, number, rec, tail)
	case codeStop:
		delete(h.routers, number)
		return nil
	}
	if err := h.decodeEvent(rec, tail); err != nil {
		return err
	}
	router := h.routers[number]
	if router == nil {
		return nil // the router is not running: nobody waits for its actions
	}
	h.actions = router.Handle(now, &h.event, h.actions[:0])
	return h.reply.addActions(number, h.actions)
}

func (h *Host) startRouter(now time.Duration, number routerNumber, rec record, tail []byte) error {
	text, err := rec.tailPart(tail, startConfigOffset, 1)
	if err != nil {
		return err
	}
	settings, _, err := config.Decode(text)
	if err != nil {
		return err
	}
	router := routing.New(settings, rec.uint64(startSeedOffset))
	h.routers[number] = router
	h.actions = router.Start(now, h.actions[:0])
	return h.reply.addActions(number, h.actions)
}
