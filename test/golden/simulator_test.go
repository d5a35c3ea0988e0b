package golden_test

// These tests hold a conversation with the simulator program and pin each byte of it.

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

// firstSettings are those of a router with probes, second copies and tenants.
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

// secondSettings are those of a router that asks for its list and is told less.
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

// Codes of actions to which the conversation answers.
const (
	actionLog   = 0
	actionAsk   = 2
	actionServe = 3
	actionTimer = 6
	actionProbe = 9
)

const (
	stepMillis = 20
	steps      = 150
)

// dueRecord is a record that a later frame brings.
type dueRecord struct {
	step int
	rec  *record
}

// conversation is a scripted fleet: it answers the actions of the routers by fixed rules.
type conversation struct {
	t              *testing.T
	in             io.Writer
	out            *bufio.Reader
	transcript     bytes.Buffer
	step           int
	due            []dueRecord
	attemptNumbers map[string]uint16 // attempts by router and request
	attempts       int
	probes         int
}

// exchange sends a frame and reads the reply, and notes both.
func (c *conversation) exchange(b *batch) {
	c.t.Helper()
	frame := b.encode()
	fmt.Fprintf(&c.transcript, "frame %x\n", frame[:frameHeader])
	for _, r := range b.records {
		fmt.Fprintf(&c.transcript, "> %x\n", r[:])
	}
	fmt.Fprintf(&c.transcript, "> tail %q\n", b.tail)
	if _, err := c.in.Write(frame); err != nil {
		c.t.Fatal(err)
	}
	head := make([]byte, replyHeader)
	if _, err := io.ReadFull(c.out, head); err != nil {
		c.t.Fatal(err)
	}
	body := make([]byte, little.Uint32(head[4:])-4)
	if _, err := io.ReadFull(c.out, body); err != nil {
		c.t.Fatal(err)
	}
	c.note(head, body)
}

// note writes a reply down and answers it. The words of log lines are free: of a log line, only its place is pinned,
// and that the tail holds exactly the lines one after the other.
func (c *conversation) note(head, body []byte) {
	c.t.Helper()
	count := int(little.Uint32(head[8:]))
	tail, logged := body[count*actionSize:], 0
	fmt.Fprintf(&c.transcript, "reply %x count %d\n", head[:4], count)
	for i := range count {
		action := body[i*actionSize:][:actionSize]
		if action[0] == actionLog {
			offset, length := int(little.Uint32(action[5:])), int(little.Uint32(action[9:]))
			if offset != logged || length == 0 {
				c.t.Errorf("step %d: a log line of %d bytes at %d, not %d", c.step, length, offset, logged)
			}
			logged += length
			copy(action[5:13], "LOGGED..")
		}
		fmt.Fprintf(&c.transcript, "< %x\n", action)
		c.answer(action)
	}
	if len(tail) != logged {
		c.t.Errorf("step %d: a tail of %d bytes for %d of log lines", c.step, len(tail), logged)
	}
}

// later has a record told some steps from now.
func (c *conversation) later(steps int, r *record) {
	c.due = append(c.due, dueRecord{c.step + max(1, steps), r})
}

// answer schedules what follows from an action.
func (c *conversation) answer(action []byte) {
	router := little.Uint32(action[1:])
	switch action[0] {
	case actionTimer:
		wait := math.Float64frombits(little.Uint64(action[5:]))
		c.later(int(math.Ceil(wait/stepMillis)), newRecord(recordTimer, router).u64(5, little.Uint64(action[13:])))
	case actionProbe:
		c.probes++
		r := newRecord(recordProbeEnd, router).u16(11, uint16(1+c.probes%3/2)).f64(13, 3.5)
		copy(r[5:], action[5:11])
		c.later(1+c.probes%2, report(r, 21, c.probes))
	case actionAsk:
		c.attempt(router, action[5:13], action[13:19])
	case actionServe:
		c.attempt(router, action[5:13], action[21:27])
	}
}

// report puts a load report into a record.
func report(r *record, at, n int) *record {
	r.u8(at, 4)
	for i := range 4 {
		r.f32(at+1+4*i, float32((n*7+i*3)%10)/10)
	}
	return r
}

// ending is how an attempt ends.
type ending struct {
	outcome uint16
	note    byte
	final   byte
	steps   int
}

// endings are the ways in which attempts end, in turn. A success is final.
var endings = []ending{
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

// attempt schedules the end of an attempt, and for some that their first bytes came.
func (c *conversation) attempt(router uint32, requestID, node []byte) {
	key := fmt.Sprintf("%d %x", router, requestID)
	number := c.attemptNumbers[key]
	c.attemptNumbers[key]++
	end := endings[c.attempts%len(endings)]
	c.attempts++
	if end.final == 1 && c.attempts%4 == 0 {
		r := newRecord(recordStream, router).u16(19, number).f64(21, 4.25)
		copy(r[5:], requestID)
		copy(r[13:], node)
		c.later(1, r)
	}
	r := newRecord(recordLegEnd, router).u16(13, number).u16(21, end.outcome)
	r.f64(23, float64(end.steps*stepMillis)).u8(31, end.final).u8(32, end.note).f64(33, float64(end.steps))
	copy(r[5:], requestID)
	copy(r[15:], node)
	c.later(end.steps, report(r, 41, c.attempts))
}

// nodes are the caches of two zones, a parent and the origin.
func nodes() []listed {
	list := []listed{
		{state: 1, kind: 1, node: newAddress(200), weight: 12},
		{state: 1, kind: 2, node: newAddress(250), weight: 20},
	}
	for i := range 6 {
		list = append(list, listed{
			state: 1, zone: uint16(i % 2), cell: uint16(i / 2), node: newAddress(byte(i + 1)),
			weight: float32(4 + i%3),
		})
	}
	list[4].started = 9000
	return list
}

// request brings a client's request to a router.
func request(router uint32, count int) *record {
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

// events adds what the script tells at a step, whatever the routers do.
func (c *conversation) events(b *batch) {
	switch c.step {
	case 0:
		b.birth(1, 0x8c1f30d27a5be964, firstSettings)
		b.birth(2, 7, secondSettings)
		b.list(3, nodes()...)
		b.peers(1, 3, 1)
		b.peers(2, 3, 3) // the call failed
	case 2:
		b.peers(2, 3, 2)
	case 30:
		list := nodes()
		list[2].state, list[3].state = 2, 0
		b.list(4, list[2], list[3])
		b.peers(1, 4, 0)
		b.peers(2, 4, 0)
	case 45:
		b.add(newRecord(recordPurge, 1).u64(5, 5).f64(13, 250), newRecord(recordPurge, 2).f64(13, 100).u16(21, 2))
	case 60:
		b.add(newRecord(recordMessage, 1).u32(7, b.text([]byte("ignored"))).u32(11, 7))
	case 90:
		b.list(15, nodes()...)
		b.peers(1, 15, 1)
		b.add(newRecord(recordKill, 2))
	case 100:
		b.birth(2, 9, secondSettings)
		b.peers(2, 15, 1)
	}
}

// talk holds the whole conversation.
func (c *conversation) talk() {
	asked := 0
	for c.step = range steps {
		b := &batch{number: uint32(c.step + 1), now: 10_000 + float64(c.step*stepMillis)}
		c.events(b)
		for _, d := range c.due {
			if d.step <= c.step {
				b.add(d.rec)
			}
		}
		c.due = slices.DeleteFunc(c.due, func(d dueRecord) bool { return d.step <= c.step })
		for range 2 {
			if c.step > 1 {
				b.add(request(uint32(1+asked%2), asked))
				asked++
			}
		}
		if c.step%8 == 7 {
			gone := asked - 4
			b.add(newRecord(recordGone, uint32(1+gone%2)).u64(5, uint64(gone+1)))
		}
		c.exchange(b)
	}
	c.exchange(&batch{number: math.MaxUint32, now: 60_000})
}

func TestSimulatorConversation(t *testing.T) {
	cmd := exec.Command(simulator)
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
	c.talk()
	_ = in.Close()
	if rest, err := io.ReadAll(c.out); err != nil || len(rest) > 0 {
		t.Errorf("%d bytes after the last reply, %v", len(rest), err)
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	expectGolden(t, "simulator_conversation.txt", c.transcript.Bytes())
}

// malformedFrames are frames that end the simulator.
func malformedFrames() map[string][]byte {
	one := func(r *record) []byte { return (&batch{number: 1, now: 10_000, records: []*record{r}}).encode() }
	born := func(settings string) []byte {
		b := &batch{number: 1, now: 10_000}
		b.birth(7, 1, settings)
		return b.encode()
	}
	good := one(newRecord(recordKill, 7))
	withLength := func(at int, n uint32) []byte {
		b := bytes.Clone(good)
		little.PutUint32(b[at:], n)
		return b
	}
	return map[string][]byte{
		"header cut short":       good[:5],
		"frame cut short":        good[:40],
		"too long":               withLength(lengthOffset, 0xfffffff0),
		"too short":              withLength(lengthOffset, 7),
		"too many records":       withLength(4, 1000),
		"unknown code":           one(newRecord(99, 7)),
		"list outside the tail":  one((&record{recordList, 3}).u32(2, 255).u32(6, 2)),
		"list number":            one(&record{recordList, 16}),
		"list with odd state":    frameWithList(listed{state: 3, node: newAddress(1)}),
		"peers list number":      one(newRecord(recordPeers, 7).u8(5, 16)),
		"peers scope":            one(newRecord(recordPeers, 7).u8(6, 9)),
		"outcome of an attempt":  one(newRecord(recordLegEnd, 7).u16(21, 10)),
		"outcome of a probe":     one(newRecord(recordProbeEnd, 7).u16(11, 10)),
		"message outside tail":   one(newRecord(recordMessage, 7).u32(7, 1).u32(11, 1)),
		"settings outside tail":  one(newRecord(recordBirth, 7).u32(13, 1).u32(17, 1)),
		"settings cut short":     born("{"),
		"settings odd effect":    born(`{"classes": [{"effect": "odd"}]}`),
		"settings of wrong type": born(`{"az": "x"}`),
		"settings no deadline":   born(`{"classes": [{"effect": "fragile"}]}`),
	}
}

func frameWithList(nodes ...listed) []byte {
	b := &batch{number: 1, now: 10_000}
	b.list(1, nodes...)
	return b.encode()
}

func TestSimulatorMalformedFrames(t *testing.T) {
	var got strings.Builder
	frames := malformedFrames()
	for _, name := range sortedKeys(frames) {
		fmt.Fprintf(&got, "# %s\n%s", name, run(t, simulator, nil, frames[name]))
	}
	// What came before a malformed frame is answered.
	good := (&batch{number: 5, now: 10_000}).encode()
	fmt.Fprintf(&got, "# after a good frame\n%q\n", run(t, simulator, nil, append(good, "abc"...)).String())
	expectGolden(t, "simulator_malformed.txt", []byte(got.String()))
}
