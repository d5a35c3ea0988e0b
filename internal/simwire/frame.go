// Package wire turns the frames of the bench's wire into the events of package
// rules and its actions into reply frames. The wire's names end here.
package simwire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"fennelarch/internal/config"
	"fennelarch/policy/routing"
)

const (
	headerSize = 20
	eventSize  = 64
	actionSize = 48
	entrySize  = 25
	maxFrame   = 1 << 28 // a frame longer than this is taken for garbage
)

// Codes of events and actions.
const (
	evRing      = 0
	evPeers     = 1
	evLedger    = 2
	evBorn      = 3
	evWithdrawn = 4
	evKnock     = 5
	evWhisper   = 6
	evEnd       = 7
	evAbandoned = 8
	evHeaders   = 9
	evExit      = 10
	evPong      = 11

	acPrint     = 0
	acSubmit    = 2
	acServe     = 3
	acDecline   = 4
	acSubscribe = 5
	acNotify    = 6
	acSurrender = 7
	acProbe     = 9
	acLookup    = 10
	acCancel    = 12
)

var le = binary.LittleEndian

// Host hosts the routers of one process.
type Host struct {
	routers map[uint32]*routing.Router
	lists   [16][]routing.Endpoint
	event   routing.Event
	actions []routing.Action
	frame   []byte
	records []byte
	tail    []byte
	count   uint32
}

// NewHost returns a host without routers.
func NewHost() *Host {
	return &Host{routers: map[uint32]*routing.Router{}}
}

// Serve answers batches until the input ends.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, 1<<16)
	out := bufio.NewWriterSize(w, 1<<16)
	for {
		frame, err := h.read(in)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.Batch(frame); err != nil {
			return err
		}
		if err := h.reply(out, le.Uint32(frame)); err != nil {
			return err
		}
	}
}

// read returns the next frame; its memory grows only with what really arrives.
func (h *Host) read(in io.Reader) ([]byte, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(in, head[:12]); err != nil {
		if err == io.EOF {
			return nil, err
		}
		return nil, fmt.Errorf("frame header cut short: %w", err)
	}
	n := int(le.Uint32(head[8:]))
	if n < 8 || n > maxFrame {
		return nil, fmt.Errorf("frame of %d bytes is out of bounds", n)
	}
	h.frame = append(h.frame[:0], head[:12]...)
	for n > 0 {
		part := min(n, 1<<20)
		from := len(h.frame)
		h.frame = append(h.frame, make([]byte, part)...)
		if _, err := io.ReadFull(in, h.frame[from:]); err != nil {
			return nil, fmt.Errorf("frame cut short: %w", err)
		}
		n -= part
	}
	return h.frame, nil
}

func (h *Host) reply(out *bufio.Writer, number uint32) error {
	var head [12]byte
	le.PutUint32(head[0:], number)
	le.PutUint32(head[4:], uint32(4+len(h.records)+len(h.tail)))
	le.PutUint32(head[8:], h.count)
	for _, part := range [][]byte{head[:], h.records, h.tail} {
		if _, err := out.Write(part); err != nil {
			return err
		}
	}
	return out.Flush()
}

func millis(d time.Duration) float64 { return float64(d/time.Microsecond) / 1000 }

func f64(b []byte) float64 { return math.Float64frombits(le.Uint64(b)) }

func f32(b []byte) float64 {
	v := float64(math.Float32frombits(le.Uint32(b)))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// node packs an address and a port; the id is never 0 for a real server.
func node(b []byte) routing.EndpointID {
	return routing.EndpointID(uint64(b[0])<<40 | uint64(b[1])<<32 | uint64(b[2])<<24 | uint64(b[3])<<16 |
		uint64(le.Uint16(b[4:])))
}

func putNode(b []byte, n routing.EndpointID) {
	b[0], b[1], b[2], b[3] = byte(n>>40), byte(n>>32), byte(n>>24), byte(n>>16)
	le.PutUint16(b[4:], uint16(n))
}

func report(b []byte) routing.LoadReport {
	r := routing.LoadReport{Count: min(int(b[0]), 4)}
	for i := range r.Count {
		r.Values[i] = f32(b[1+4*i:])
	}
	return r
}

// Batch hands the events of one frame to their routers and gathers the actions.
func (h *Host) Batch(frame []byte) error {
	h.records, h.tail, h.count = h.records[:0], h.tail[:0], 0
	if len(frame) < headerSize {
		return fmt.Errorf("frame of %d bytes has no header", len(frame))
	}
	count, size := int(le.Uint32(frame[4:])), int(le.Uint32(frame[8:]))
	if size != len(frame)-12 {
		return fmt.Errorf("frame says %d bytes follow, %d do", size, len(frame)-12)
	}
	if count > (len(frame)-headerSize)/eventSize {
		return fmt.Errorf("frame of %d bytes cannot hold %d records", len(frame), count)
	}
	now := config.Milliseconds(f64(frame[12:]))
	tail := frame[headerSize+count*eventSize:]
	for i := range count {
		rec := frame[headerSize+i*eventSize:][:eventSize]
		if err := h.record(now, rec, tail); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
	}
	return nil
}

func tailPart(tail, field []byte, unit int) ([]byte, error) {
	from, n := uint64(le.Uint32(field)), uint64(le.Uint32(field[4:]))
	if from+n*uint64(unit) > uint64(len(tail)) {
		return nil, fmt.Errorf("offset %d and length %d leave the tail of %d bytes", from, n, len(tail))
	}
	return tail[from : from+n*uint64(unit)], nil
}

func (h *Host) record(now time.Duration, rec, tail []byte) error {
	id := le.Uint32(rec[1:])
	e := &h.event
	*e = routing.Event{}
	switch rec[0] {
	case evLedger:
		return h.ledger(rec, tail)
	case evBorn:
		conf, err := tailPart(tail, rec[13:], 1)
		if err != nil {
			return err
		}
		set, _, err := config.Decode(conf)
		if err != nil {
			return fmt.Errorf("%w", err)
		}
		r := routing.New(set, le.Uint64(rec[5:]))
		h.routers[id] = r
		h.actions = r.Start(now, h.actions[:0])
		return h.act(id)
	case evExit:
		delete(h.routers, id)
		return nil
	case evRing:
		e.Kind, e.Timer = routing.EventTimer, le.Uint64(rec[5:])
	case evPeers:
		e.Kind, e.EndpointListKind = routing.EventEndpoints, routing.EndpointListKind(rec[6])
		if e.EndpointListKind > routing.EndpointListFailed {
			return fmt.Errorf("list of unknown scope %d", rec[6])
		}
		if e.EndpointListKind != routing.EndpointListFailed {
			if rec[5] >= byte(len(h.lists)) {
				return fmt.Errorf("list number %d is out of bounds", rec[5])
			}
			e.Endpoints = h.lists[rec[5]]
		}
	case evWithdrawn:
		e.Kind, e.Object, e.Age = routing.EventPurge, routing.ObjectID(le.Uint64(rec[5:])), config.Milliseconds(f64(rec[13:]))
		e.Group = routing.GroupID(le.Uint16(rec[21:]))
	case evKnock:
		e.Kind, e.Request = routing.EventRequest, routing.RequestID(le.Uint64(rec[5:]))
		e.Class, e.Tenant = routing.ClassID(rec[13]), routing.TenantID(le.Uint32(rec[14:]))
		e.Object, e.TimeLeft, e.SizeKB = routing.ObjectID(le.Uint64(rec[18:])), config.Milliseconds(f64(rec[26:])), f32(rec[34:])
		e.Group, e.Part = routing.GroupID(max(0, f32(rec[38:]))), int(f32(rec[42:]))
		e.Repeat, e.Write = rec[46]&2 != 0, rec[46]&4 != 0
	case evWhisper:
		if _, err := tailPart(tail, rec[7:], 1); err != nil {
			return err
		}
		e.Kind = routing.EventGossip
	case evEnd:
		e.Kind, e.Request = routing.EventAttemptResult, routing.RequestID(le.Uint64(rec[5:]))
		e.Attempt, e.Endpoint = routing.AttemptNumber(le.Uint16(rec[13:])), node(rec[15:])
		if e.Outcome = routing.Outcome(le.Uint16(rec[21:])); e.Outcome > routing.CacheMiss {
			return fmt.Errorf("unknown outcome %d", le.Uint16(rec[21:]))
		}
		e.Elapsed, e.Final, e.Note = config.Milliseconds(f64(rec[23:])), rec[31] != 0, routing.Note(rec[32])
		e.FirstByteWait, e.LoadReport = config.Milliseconds(f64(rec[33:])), report(rec[41:])
	case evAbandoned:
		e.Kind, e.Request = routing.EventClientGone, routing.RequestID(le.Uint64(rec[5:]))
	case evHeaders:
		e.Kind, e.Request, e.Endpoint = routing.EventStreamStarted, routing.RequestID(le.Uint64(rec[5:])), node(rec[13:])
		e.Attempt, e.Elapsed = routing.AttemptNumber(le.Uint16(rec[19:])), config.Milliseconds(f64(rec[21:]))
	case evPong:
		e.Kind, e.Endpoint = routing.EventHealthCheck, node(rec[5:])
		if e.Outcome = routing.Outcome(le.Uint16(rec[11:])); e.Outcome > routing.CacheMiss {
			return fmt.Errorf("unknown outcome %d", le.Uint16(rec[11:]))
		}
		e.Elapsed, e.LoadReport = config.Milliseconds(f64(rec[13:])), report(rec[21:])
	default:
		return fmt.Errorf("unknown code %d", rec[0])
	}
	r := h.routers[id]
	if r == nil {
		return nil // the instance is not running; nothing is owed
	}
	h.actions = r.Handle(now, e, h.actions[:0])
	return h.act(id)
}

func (h *Host) ledger(rec, tail []byte) error {
	if rec[1] >= byte(len(h.lists)) {
		return fmt.Errorf("list number %d is out of bounds", rec[1])
	}
	part, err := tailPart(tail, rec[2:], entrySize)
	if err != nil {
		return err
	}
	list := make([]routing.Endpoint, 0, len(part)/entrySize)
	for ; len(part) > 0; part = part[entrySize:] {
		m := routing.Endpoint{
			ID: node(part[15:]), State: routing.EndpointState(part[8]), Kind: routing.KindID(le.Uint16(part[9:])),
			Zone: routing.ZoneID(le.Uint16(part[11:])), Cell: routing.CellID(le.Uint16(part[13:])),
			Weight: f32(part[21:]), StartedAt: config.Milliseconds(f64(part)),
		}
		if m.State > routing.Draining {
			return fmt.Errorf("unknown state %d", part[8])
		}
		if m.StartedAt == 0 {
			m.StartedAt = routing.LongAgo
		}
		list = append(list, m)
	}
	h.lists[rec[1]] = list
	return nil
}

// act writes the gathered actions of one router as records.
func (h *Host) act(id uint32) error {
	for i := range h.actions {
		a := &h.actions[i]
		from := len(h.records)
		h.records = append(h.records, make([]byte, actionSize)...)
		rec := h.records[from:]
		le.PutUint32(rec[1:], id)
		putF64 := func(at int, d time.Duration) { le.PutUint64(rec[at:], math.Float64bits(millis(d))) }
		switch a.Kind {
		case routing.ActionLookup:
			rec[0] = acSubmit
			le.PutUint64(rec[5:], uint64(a.Request))
			putNode(rec[13:], a.Endpoint)
			putF64(19, a.Timeout)
		case routing.ActionSend:
			rec[0] = acServe
			le.PutUint64(rec[5:], uint64(a.Request))
			putF64(13, a.MaxAge)
			putNode(rec[21:], a.Endpoint)
			rec[27] = a.CacheRank
			putF64(28, a.Timeout)
			putNode(rec[36:], a.Source)
			rec[42] = byte(a.FillOptions)
		case routing.ActionReject:
			rec[0] = acDecline
			le.PutUint64(rec[5:], uint64(a.Request))
			putF64(13, a.Wait)
		case routing.ActionFail:
			rec[0] = acSurrender
			le.PutUint64(rec[5:], uint64(a.Request))
		case routing.ActionCancel:
			rec[0] = acCancel
			le.PutUint64(rec[5:], uint64(a.Request))
			le.PutUint16(rec[13:], uint16(a.Attempt))
		case routing.ActionHealthCheck:
			rec[0] = acProbe
			putNode(rec[5:], a.Endpoint)
		case routing.ActionTimer:
			rec[0] = acNotify
			putF64(5, a.Wait)
			le.PutUint64(rec[13:], a.Timer)
		case routing.ActionWatchEndpoints:
			rec[0], rec[5] = acSubscribe, 1
		case routing.ActionPollEndpoints:
			rec[0] = acLookup
		case routing.ActionLog:
			rec[0] = acPrint
			le.PutUint32(rec[5:], uint32(len(h.tail)))
			le.PutUint32(rec[9:], uint32(len(a.Text)))
			h.tail = append(h.tail, a.Text...)
		default:
			return fmt.Errorf("action of unknown kind %d", a.Kind)
		}
		h.count++
	}
	return nil
}
