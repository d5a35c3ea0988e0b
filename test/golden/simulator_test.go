package golden_test

// These tests pin each byte of a conversation with the simulator program.

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// firstSettings are the settings of a router with health checks, hedged requests and tenants.
const firstSettings = `{"az": 0, "dcs": ["west", "east"], "shapes": ["std", "parent", "origin"], "n_instances": 2,
 "registry_mode": "automatic", "weight_source": "rough",
 "classes": [
  {"name": "clip", "deadline_ms": 3000, "effect": "retryable", "importance": 2, "target_ms": 250, "late_worth": 0.2,
   "aim_stretch": 1.5},
  {"name": "post", "deadline_ms": 2000, "effect": "fragile", "importance": 3, "target_ms": 400},
  {"name": "live", "deadline_ms": 2500, "effect": "dedup", "group": "zone", "window_ms": 1500, "importance": 1,
   "target_ms": 150, "stream": true}],
 "tenants": [{"name": "a", "allowance_per_s": 15}, {"name": "b", "allowance_per_s": 500}],
 "caps": {"most_tries": 5, "cancelling": true, "connect_timeout_ms": 300, "max_retry_after_ms": 900, "probes": true,
  "retry_after": true, "second_copies": true},
 "report": {"columns": ["busy_reqs", "pending", "cpu_share", "x1"], "via": "probe"},
 "rules": {"drain_grace_ms": 400, "start_capacity": 0.3, "cold_ms": 4000, "fall_multiple": 2.5,
  "overload_for_ms": 2000},
 "specifics": {"class_write": [false, true, false], "flow_kb_per_s": 3000, "gone_everywhere_ms": 6000,
  "inlet_kb_per_s": [40000, 30000], "lifetime_by_class_ms": [2000, 0, 500], "older_by_ms": [3000, 0, 500],
  "may_pass_by": true, "merges_fills": true, "neighbours": "any", "origin_bears_ms": 3000,
  "origin_limit_factor": 2.5, "parent_floor": 0.1, "parent_ramp_ms": 3000, "upper_fall_multiple": 2,
  "purge_grace_ms": 800, "root_kind": 2, "second_tier_kind": 1, "says": "all", "seats_by_zone": [2, 1]}}`

// secondSettings are the settings of a router that subscribes to its endpoint list and receives less information.
const secondSettings = `{"az": 1, "dcs": ["west", "east"], "shapes": ["std", "parent", "origin"], "n_instances": 2,
 "registry_mode": "subscribe", "weight_source": "nominal", "unheard_of": {"x": [1]},
 "classes": [
  {"name": "clip", "deadline_ms": 1500, "effect": "retryable", "importance": 2, "target_ms": 200},
  {"name": "post", "deadline_ms": 1000, "effect": "fragile", "importance": 3, "target_ms": 300},
  {"name": "live", "deadline_ms": 1200, "effect": "dedup", "group": "cell", "window_ms": 900, "importance": 1,
   "target_ms": 120}],
 "caps": {"most_tries": 3, "connect_timeout_ms": 200, "retry_after": false, "cancelling": false},
 "report": {"columns": ["x0", "odd"], "via": "answers"},
 "rules": {"ask_within_ms": 1000, "drain_grace_ms": 200, "start_capacity": 0.5, "cold_ms": 1000, "fall_multiple": 2,
  "overload_for_ms": 1000},
 "specifics": {"flow_kb_per_s": 2000, "class_write": [false, true], "neighbours": "location", "root_kind": 2,
  "says": "hit", "seats_by_zone": [1, 1], "gone_everywhere_ms": 4000, "purge_grace_ms": 500}}`

// Codes of the actions to which the conversation reacts.
const (
	actionLog         = 0
	actionLookup      = 2
	actionSend        = 3
	actionSetTimer    = 6
	actionCheckHealth = 9
)

const (
	stepMillis = 20
	steps      = 150
)

// dueRecord is a record to send with the frame of a later step.
type dueRecord struct {
	step int
	rec  *record
}

// conversation simulates the clients and servers of two routers, and reacts to the routers' actions by fixed rules.
type conversation struct {
	t              *testing.T
	in             io.Writer
	out            *bufio.Reader
	transcript     bytes.Buffer
	step           int
	due            []dueRecord
	attemptNumbers map[string]uint16 // next attempt number, by router and request
	attemptCount   int
	healthChecks   int
}

// exchange sends a frame and reads the reply, and records both in the transcript.
func (c *conversation) exchange(b *frameBuilder) {
	c.t.Helper()
	frame := b.encode()
	fmt.Fprintf(&c.transcript, "frame %x\n", frame[:frameHeaderSize])
	for _, r := range b.records {
		fmt.Fprintf(&c.transcript, "> %x\n", r[:])
	}
	fmt.Fprintf(&c.transcript, "> tail %q\n", b.tail)
	if _, err := c.in.Write(frame); err != nil {
		c.t.Fatal(err)
	}
	head := make([]byte, replyHeaderSize)
	if _, err := io.ReadFull(c.out, head); err != nil {
		c.t.Fatal(err)
	}
	body := make([]byte, byteOrder.Uint32(head[4:])-4)
	if _, err := io.ReadFull(c.out, body); err != nil {
		c.t.Fatal(err)
	}
	c.recordReply(head, body)
}

// recordReply records a reply and reacts to its actions. The text of log lines may change, so that only their order
// among the actions is recorded; recordReply checks that the tail holds exactly these lines in order.
func (c *conversation) recordReply(head, body []byte) {
	c.t.Helper()
	count := int(byteOrder.Uint32(head[8:]))
	tail, logged := body[count*actionSize:], 0
	fmt.Fprintf(&c.transcript, "reply %x count %d\n", head[:4], count)
	for i := range count {
		action := body[i*actionSize:][:actionSize]
		if action[0] == actionLog {
			offset, length := int(byteOrder.Uint32(action[5:])), int(byteOrder.Uint32(action[9:]))
			if offset != logged || length == 0 {
				c.t.Errorf("step %d: log line of %d bytes at offset %d, want offset %d and at least 1 byte",
					c.step, length, offset, logged)
			}
			logged += length
			copy(action[5:13], "LOGGED..")
		}
		fmt.Fprintf(&c.transcript, "< %x\n", action)
		c.react(action)
	}
	if len(tail) != logged {
		c.t.Errorf("step %d: tail of %d bytes, want %d bytes of log lines", c.step, len(tail), logged)
	}
}

// schedule sends a record some steps from now, at least one.
func (c *conversation) schedule(steps int, r *record) {
	c.due = append(c.due, dueRecord{c.step + max(1, steps), r})
}

// react schedules the records that follow from an action.
func (c *conversation) react(action []byte) {
	router := byteOrder.Uint32(action[1:])
	switch action[0] {
	case actionSetTimer:
		wait := math.Float64frombits(byteOrder.Uint64(action[5:]))
		c.schedule(int(math.Ceil(wait/stepMillis)), newRecord(recordTimer, router).u64(5, byteOrder.Uint64(action[13:])))
	case actionCheckHealth:
		c.healthChecks++
		r := newRecord(recordHealthCheck, router).u16(11, uint16(1+c.healthChecks%3/2)).f64(13, 3.5)
		copy(r[5:], action[5:11])
		c.schedule(1+c.healthChecks%2, putLoadReport(r, 21, c.healthChecks))
	case actionLookup:
		c.scheduleAttempt(router, action[5:13], action[13:19])
	case actionSend:
		c.scheduleAttempt(router, action[5:13], action[21:27])
	}
}

// putLoadReport writes a load report into a record at an offset.
func putLoadReport(r *record, at, n int) *record {
	r.u8(at, 4)
	for i := range 4 {
		r.f32(at+1+4*i, float32((n*7+i*3)%10)/10)
	}
	return r
}

// attemptResult is the result of an attempt, and the number of steps until it arrives.
type attemptResult struct {
	outcome uint16
	note    byte
	final   byte
	steps   int
}

// attemptResults are the results that attempts get, in turn. A successful result, outcome 1, is final.
var attemptResults = []attemptResult{
	{1, 1, 1, 2},
	{1, 2, 1, 6},
	{9, 7, 0, 1},
	{1, 1, 1, 1},
	{3, 6, 0, 1},
	{1, 3, 1, 9},
	{2, 0, 0, 3},
	{1, 4, 1, 5},
	{9, 4, 0, 2},
	{1, 5, 1, 2},
	{5, 0, 0, 15},
	{1, 1, 1, 25},
	{6, 0, 0, 4},
	{9, 8, 0, 2},
	{1, 1, 1, 3},
	{3, 9, 0, 1},
	{1, 2, 1, 40},
	{9, 10, 0, 2},
	{4, 7, 0, 30},
	{1, 1, 1, 1},
	{7, 0, 0, 2},
	{8, 0, 0, 1},
	{1, 2, 1, 4},
}

// scheduleAttempt schedules the result of an attempt, and for some attempts the arrival of the first bytes.
func (c *conversation) scheduleAttempt(router uint32, requestID, endpoint []byte) {
	key := fmt.Sprintf("%d %x", router, requestID)
	number := c.attemptNumbers[key]
	c.attemptNumbers[key]++
	result := attemptResults[c.attemptCount%len(attemptResults)]
	c.attemptCount++
	if result.final == 1 && c.attemptCount%4 == 0 {
		r := newRecord(recordStreamStarted, router).u16(19, number).f64(21, 4.25)
		copy(r[5:], requestID)
		copy(r[13:], endpoint)
		c.schedule(1, r)
	}
	r := newRecord(recordAttemptResult, router).u16(13, number).u16(21, result.outcome)
	r.f64(23, float64(result.steps*stepMillis)).u8(31, result.final).u8(32, result.note).f64(33, float64(result.steps))
	copy(r[5:], requestID)
	copy(r[15:], endpoint)
	c.schedule(result.steps, putLoadReport(r, 41, c.attemptCount))
}

// endpointEntries returns a parent, the origin and caches in two zones.
func endpointEntries() []listEntry {
	list := []listEntry{
		{state: 1, kind: 1, endpoint: newAddress(200), weight: 12},
		{state: 1, kind: 2, endpoint: newAddress(250), weight: 20},
	}
	for i := range 6 {
		list = append(list, listEntry{
			state: 1, zone: uint16(i % 2), cell: uint16(i / 2), endpoint: newAddress(byte(i + 1)),
			weight: float32(4 + i%3),
		})
	}
	list[4].started = 9000
	return list
}

// newRequestRecord returns the record of a client's request to a router.
func newRequestRecord(router uint32, count int) *record {
	class, left := byte(0), float64(3000)
	switch {
	case count%11 == 5:
		class, left = 1, 2000
	case count%7 == 3:
		class, left = 2, 1200
	}
	object := uint64(count*count%37 + 1)
	r := newRecord(recordRequest, router).u64(5, uint64(count+1)).u8(13, class).u32(14, uint32(count%2))
	r.u64(18, object).f64(26, left).f32(34, float32(20+count%5*60)).f32(38, float32(object%4)).f32(42, float32(count%3))
	if class == 1 {
		r.u8(46, 4)
	}
	if count%13 == 6 {
		r.u8(46, r[46]|2)
	}
	return r
}

// addScripted adds the scripted records of a step, which do not depend on the routers.
func (c *conversation) addScripted(b *frameBuilder) {
	switch c.step {
	case 0:
		b.addStart(1, 0x8c1f30d27a5be964, firstSettings)
		b.addStart(2, 7, secondSettings)
		b.addList(3, endpointEntries()...)
		b.addEndpoints(1, 3, 1)
		b.addEndpoints(2, 3, 3) // the list was not available
	case 2:
		b.addEndpoints(2, 3, 2)
	case 30:
		list := endpointEntries()
		list[2].state, list[3].state = 2, 0
		b.addList(4, list[2], list[3])
		b.addEndpoints(1, 4, 0)
		b.addEndpoints(2, 4, 0)
	case 45:
		b.add(newRecord(recordPurge, 1).u64(5, 5).f64(13, 250), newRecord(recordPurge, 2).f64(13, 100).u16(21, 2))
	case 60:
		b.add(newRecord(recordGossip, 1).u32(7, b.addToTail([]byte("ignored"))).u32(11, 7))
	case 90:
		b.addList(15, endpointEntries()...)
		b.addEndpoints(1, 15, 1)
		b.add(newRecord(recordStop, 2))
	case 100:
		b.addStart(2, 9, secondSettings)
		b.addEndpoints(2, 15, 1)
	}
}

// play runs the whole conversation.
func (c *conversation) play() {
	requestCount := 0
	for c.step = range steps {
		b := &frameBuilder{number: uint32(c.step + 1), now: 10_000 + float64(c.step*stepMillis)}
		c.addScripted(b)
		for _, d := range c.due {
			if d.step <= c.step {
				b.add(d.rec)
			}
		}
		c.due = slices.DeleteFunc(c.due, func(d dueRecord) bool { return d.step <= c.step })
		for range 2 {
			if c.step > 1 {
				b.add(newRequestRecord(uint32(1+requestCount%2), requestCount))
				requestCount++
			}
		}
		if c.step%8 == 7 {
			abandoned := requestCount - 4
			b.add(newRecord(recordClientGone, uint32(1+abandoned%2)).u64(5, uint64(abandoned+1)))
		}
		c.exchange(b)
	}
	c.exchange(&frameBuilder{number: math.MaxUint32, now: 60_000})
}

func TestSimulatorConversation(t *testing.T) {
	cmd := exec.Command(simulatorProgram)
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }()
	c := &conversation{t: t, in: in, out: bufio.NewReader(out), attemptNumbers: map[string]uint16{}}
	c.play()
	_ = in.Close()
	if rest, err := io.ReadAll(c.out); err != nil || len(rest) > 0 {
		t.Errorf("read %d bytes and error %v after the last reply, want none", len(rest), err)
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	expectGolden(t, "simulator_conversation.txt", c.transcript.Bytes())
}

// malformedFrames returns frames that make the simulator exit, by name.
func malformedFrames() map[string][]byte {
	encode := func(r *record) []byte { return (&frameBuilder{number: 1, now: 10_000, records: []*record{r}}).encode() }
	encodeStart := func(settings string) []byte {
		b := &frameBuilder{number: 1, now: 10_000}
		b.addStart(7, 1, settings)
		return b.encode()
	}
	good := encode(newRecord(recordStop, 7))
	withLength := func(at int, n uint32) []byte {
		b := bytes.Clone(good)
		byteOrder.PutUint32(b[at:], n)
		return b
	}
	return map[string][]byte{
		"header cut short":       good[:5],
		"frame cut short":        good[:40],
		"too long":               withLength(lengthOffset, 0xfffffff0),
		"too short":              withLength(lengthOffset, 7),
		"too many records":       withLength(4, 1000),
		"unknown code":           encode(newRecord(99, 7)),
		"list outside the tail":  encode((&record{recordEndpointList, 3}).u32(2, 255).u32(6, 2)),
		"list number":            encode(&record{recordEndpointList, 16}),
		"list with odd state":    frameWithList(listEntry{state: 3, endpoint: newAddress(1)}),
		"peers list number":      encode(newRecord(recordEndpoints, 7).u8(5, 16)),
		"peers scope":            encode(newRecord(recordEndpoints, 7).u8(6, 9)),
		"outcome of an attempt":  encode(newRecord(recordAttemptResult, 7).u16(21, 10)),
		"outcome of a probe":     encode(newRecord(recordHealthCheck, 7).u16(11, 10)),
		"message outside tail":   encode(newRecord(recordGossip, 7).u32(7, 1).u32(11, 1)),
		"settings outside tail":  encode(newRecord(recordStart, 7).u32(13, 1).u32(17, 1)),
		"settings cut short":     encodeStart("{"),
		"settings odd effect":    encodeStart(`{"classes": [{"effect": "odd"}]}`),
		"settings of wrong type": encodeStart(`{"az": "x"}`),
		"settings no deadline":   encodeStart(`{"classes": [{"effect": "fragile"}]}`),
	}
}

func frameWithList(entries ...listEntry) []byte {
	b := &frameBuilder{number: 1, now: 10_000}
	b.addList(1, entries...)
	return b.encode()
}

func TestSimulatorMalformedFrames(t *testing.T) {
	var got strings.Builder
	frames := malformedFrames()
	for _, name := range sortedKeys(frames) {
		fmt.Fprintf(&got, "# %s\n%s", name, run(t, simulatorProgram, nil, frames[name]))
	}
	// The simulator answers the frames before a malformed one.
	good := (&frameBuilder{number: 5, now: 10_000}).encode()
	fmt.Fprintf(&got, "# after a good frame\n%q\n", run(t, simulatorProgram, nil, append(good, "abc"...)).String())
	expectGolden(t, "simulator_malformed.txt", []byte(got.String()))
}
