// Package simwire implements the simulator's binary protocol. It decodes frames of event records into events of package
// routing, and encodes that package's actions into reply frames. The protocol's names and codes stay in this package.
package simwire

import (
	"bufio"
	"errors"
	"io"
	"time"

	"fennelarch/internal/config"
	"fennelarch/policy/routing"
)

// bufferBytes is the size of the input buffer and of the output buffer.
const bufferBytes = 1 << 16

// maxEndpointLists is the number of endpoint lists that the simulator may define. Events refer to them by number.
const maxEndpointLists = 16

// Host runs the routers of one process and exchanges frames with the simulator.
type Host struct {
	routers       map[routerNumber]*routing.Router
	endpointLists [maxEndpointLists][]routing.Endpoint

	// Buffers that are reused for each frame or record.
	frame   []byte
	event   routing.Event
	actions []routing.Action
	reply   reply
}

// routerNumber is the number by which the simulator identifies a router.
type routerNumber uint32

// NewHost returns a host without routers.
func NewHost() *Host {
	return &Host{routers: map[routerNumber]*routing.Router{}}
}

// Serve reads frames from r and writes a reply to each to w, until the input ends.
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
		if err := h.HandleFrame(h.frame); err != nil {
			return err
		}
		if err := h.reply.writeTo(out, frameNumber(h.frame)); err != nil {
			return err
		}
	}
}

// HandleFrame passes the events of one frame to their routers and collects their actions in the reply.
func (h *Host) HandleFrame(frame []byte) error {
	h.reply.reset()
	count, err := checkFrame(frame)
	if err != nil {
		return err
	}
	now := record(frame).milliseconds(frameTimeOffset)
	records, tail := frame[frameHeaderSize:], frame[frameHeaderSize+count*eventRecordSize:]
	for i := range count {
		if err := h.handleRecord(now, record(records[i*eventRecordSize:][:eventRecordSize]), tail); err != nil {
			return &RecordError{Index: i, Err: err}
		}
	}
	return nil
}

// handleRecord handles one event record. The tail holds the data that the record refers to.
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
		return nil // the router is not running, so nothing waits for its actions
	}
	h.actions = router.Handle(now, &h.event, h.actions[:0])
	return h.reply.addActions(number, h.actions)
}

// startRouter starts a router with the settings in the tail.
func (h *Host) startRouter(now time.Duration, number routerNumber, rec record, tail []byte) error {
	text, err := rec.tailPart(tail, startSettingsOffset, 1)
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
