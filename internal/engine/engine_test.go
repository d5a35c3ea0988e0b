package engine

import (
	"fmt"
	"testing"
	"time"

	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// A rig drives an engine by hand, with a clock of its own, and prints what reaches clients and nodes. Its fleet is one
// cache A, one parent P and the origin O.
type rig struct {
	*Engine
	start time.Time
	at    time.Duration
	legs  []*Attempt
	tried bool // the next legs given up are found not begun
	mute  bool
}

const cache, parent, origin routing.EndpointID = 1, 2, 3

func newRig(own ...LocalCacheSettings) *rig {
	set := routing.Settings{
		Routers: 1, ZoneRouters: []int{1}, ParentKind: 1, OriginKind: 2, Cancel: true, HedgedRequests: true,
		RetryAfter: true, MaxAttempts: 6, MaxRetryAfter: time.Second, DrainGrace: time.Second, SlowStartShare: 1, ParentSlowStartShare: 1,
		PurgeGrace: time.Second, PurgeCompleteAfter: 6 * time.Second, AllowDirect: true, ResponseDetail: routing.DetailFull, FlowKBPerSecond: 1000,
		Classes: []routing.Class{
			{LatencyObjective: 500 * time.Millisecond, ObjectiveStretch: 2, Deadline: 5 * time.Second, Value: 2},
			{LatencyObjective: 700 * time.Millisecond, Deadline: 3 * time.Second, Value: 3, Idempotency: routing.NonIdempotent, Write: true},
		},
	}
	r := &rig{start: time.Now(), tried: true}
	r.Engine = New(set, 1, 16, r.start, r, append(own, LocalCacheSettings{})[0], zap.NewNop())
	r.stamps.read = func() (time.Duration, time.Time) { return r.at, r.start.Add(r.at).Round(0) }
	r.Start(0)
	var nodes []Endpoint
	for kind, id := range []routing.EndpointID{cache, parent, origin} {
		nodes = append(nodes, Endpoint{Endpoint: routing.Endpoint{ID: id, State: routing.Ready, Kind: routing.KindID(kind), Weight: 1}})
	}
	r.tell(EndpointList{Endpoints: nodes, Complete: true})
	return r
}

func (r *rig) tell(what Message) { r.Handle(r.at, Event{Time: r.start.Add(r.at), Message: what}) }

func (r *rig) pass(d time.Duration) {
	for end := r.at + d; r.at < end; {
		r.at = min(end, r.at+time.Millisecond)
		r.Tick(r.at)
	}
}

func (r *rig) view(id routing.RequestID, tariff routing.ClassID, left time.Duration) {
	r.tell(&Request{
		ID: id, Client: r, Tag: Tag(id), Class: tariff, Write: tariff == 1, Object: 7, SizeKB: 100, Timeout: left,
		ReceivedAt: r.start.Add(r.at),
	})
}

func (r *rig) end(leg int, o routing.Outcome, note routing.Note) {
	r.tell(AttemptResult{Attempt: r.legs[leg], Outcome: o, Note: note, Body: []byte("bytes"), ETag: "tag", GeneratedAt: r.start.Add(r.at)})
}

func (r *rig) say(format string, args ...any) {
	if !r.mute {
		fmt.Printf("%7v ", r.at)
		fmt.Printf(format+"\n", args...)
	}
}

func (r *rig) Respond(tag Tag, a Response) {
	if a.NotModified {
		r.say("view %d: unchanged", tag)
		return
	}
	r.say("view %d: %s, %d bytes", tag, [...]string{"succeeded", "turned back", "terminated"}[a.Status], len(a.Body))
}

func (r *rig) UpdateEndpoints([]Endpoint, bool) {}
func (r *rig) CheckHealth(routing.EndpointID)   {}

func (r *rig) Send(l *Attempt) {
	r.legs = append(r.legs, l)
	names := [...]string{"none", "A", "P", "O"}
	r.say("view %d: leg to %s, fill from %s, for %v", l.Request.ID, names[l.Endpoint], names[l.Source], l.Deadline.Sub(r.start.Add(r.at)))
}

func (r *rig) Abort(l *Attempt) bool {
	r.say("view %d: leg %d given up", l.Request.ID, l.Number)
	return r.tried
}

func Example_ordinary() {
	r := newRig()
	r.view(1, 0, 2*time.Second)
	r.pass(50 * time.Millisecond)
	r.end(0, routing.CacheMiss, routing.NoteSourceMiss)
	r.pass(50 * time.Millisecond)
	r.end(1, routing.Succeeded, routing.NoteFilled)
	r.end(1, routing.Succeeded, routing.NoteFilled) // a second end is nobody's
	fmt.Println(len(r.views), r.InFlight())
	// Output:
	//      0s view 1: leg to A, fill from P, for 2s
	//    50ms view 1: leg to A, fill from O, for 1.95s
	//   100ms view 1: succeeded, 5 bytes
	// 0 0
}

// The client's time is up: the legs are given up and the view gets its one answer.
func Example_timeOut() {
	r := newRig()
	r.view(1, 0, 300*time.Millisecond)
	r.view(2, 1, 300*time.Millisecond)
	r.pass(time.Second)
	r.end(0, routing.Succeeded, routing.NoteHit)
	fmt.Println(len(r.views), r.InFlight())
	// Output:
	//      0s view 1: leg to A, fill from P, for 300ms
	//      0s view 2: leg to O, fill from none, for 300ms
	//   300ms view 1: leg 0 given up
	//   300ms view 1: turned back, 0 bytes
	//   300ms view 2: leg 0 given up
	//   300ms view 2: terminated, 0 bytes
	// 0 0
}

// A client that no longer waits gets nothing, and its legs are given up.
func Example_gone() {
	r := newRig()
	r.view(1, 0, 2*time.Second)
	r.pass(10 * time.Millisecond)
	r.tell(ClientGone{Request: 1})
	r.tell(ClientGone{Request: 1})
	r.end(0, routing.Succeeded, routing.NoteHit)
	r.pass(3 * time.Second)
	fmt.Println(len(r.views), r.InFlight())
	// Output:
	//      0s view 1: leg to A, fill from P, for 2s
	//    10ms view 1: leg 0 given up
	// 0 0
}

// A one-shot view goes again only if it provably did not run; else it is terminated, not turned back.
func Example_oneShot() {
	r := newRig()
	r.view(1, 1, 2*time.Second)
	r.end(0, routing.ConnectFailed, 0)
	r.pass(200 * time.Millisecond)
	r.end(1, routing.ConnectionBroken, 0)
	r.view(2, 1, 100*time.Millisecond)
	r.tried = false // of the next leg nothing is written when the time is up
	r.pass(time.Second)
	fmt.Println(len(r.views), r.InFlight())
	// Output:
	//      0s view 1: leg to O, fill from none, for 2s
	//   120ms view 1: leg to O, fill from none, for 1.88s
	//   200ms view 1: terminated, 0 bytes
	//   200ms view 2: leg to O, fill from none, for 100ms
	//   300ms view 2: leg 0 given up
	//   300ms view 2: turned back, 0 bytes
	// 0 0
}

// At the order to stop every view has its answer in the time that is left, those that come later too.
func Example_stop() {
	r := newRig()
	r.view(1, 0, 5*time.Second)
	r.pass(100 * time.Millisecond)
	r.tell(Shutdown{Grace: time.Second})
	r.pass(500 * time.Millisecond)
	r.view(2, 0, 5*time.Second)
	r.view(3, 0, 5*time.Second)
	r.pass(100 * time.Millisecond)
	r.end(2, routing.Succeeded, routing.NoteHit)
	r.pass(time.Second)
	fmt.Println(len(r.views), r.InFlight())
	// Output:
	//      0s view 1: leg to A, fill from P, for 5s
	//   600ms view 2: leg to A, fill from P, for 500ms
	//   600ms view 3: leg to A, fill from P, for 500ms
	//   700ms view 3: succeeded, 5 bytes
	//   960ms view 2: leg to A, fill from O, for 140ms
	//    1.1s view 1: leg 0 given up
	//    1.1s view 1: turned back, 0 bytes
	//    1.1s view 2: leg 0 given up
	//    1.1s view 2: leg 1 given up
	//    1.1s view 2: turned back, 0 bytes
	// 0 0
}

// What passed through the router is kept, and given where the view would be turned back; but not if it was purged, and
// to a client whose copy is the one without its bytes. The leg ends when the link has carried it.
func Example_ownCopies() {
	r := newRig(LocalCacheSettings{Bytes: 1 << 20, FlowBytesPerSecond: 50, LinkBytesPerSecond: 50, MaxInFlight: 10 * time.Second})
	r.view(1, 0, 2*time.Second)
	r.end(0, routing.Succeeded, routing.NoteHit)
	r.tell(EndpointList{Complete: true}) // nobody is left
	r.view(2, 0, 2*time.Second)
	fmt.Println(len(r.views), r.InFlight())
	r.view(3, 0, 2*time.Second) // after the other on the link, and still in time
	r.pass(100 * time.Millisecond)
	fmt.Println(len(r.views), r.InFlight())
	r.tell(&Request{ID: 4, Client: r, Tag: 4, Object: 7, SizeKB: 100, Timeout: time.Second, ReceivedAt: r.start.Add(r.at), HeldETag: "tag"})
	r.pass(100 * time.Millisecond)
	r.tell(Purge{Group: 1, Issued: r.start.Add(r.at)})
	r.view(5, 0, 2*time.Second)
	r.pass(100 * time.Millisecond)
	r.tell(Purge{Object: 7, Issued: r.start.Add(r.at)})
	r.view(6, 0, 2*time.Second)
	r.pass(time.Second)
	fmt.Println(len(r.views), r.InFlight(), r.counts.LocalCacheHits)
	// Output:
	//      0s view 1: leg to A, fill from P, for 2s
	//      0s view 1: succeeded, 5 bytes
	//      0s view 2: succeeded, 5 bytes
	// 1 0
	//      0s view 3: succeeded, 5 bytes
	// 1 0
	//   100ms view 4: unchanged
	//   200ms view 5: succeeded, 5 bytes
	//   300ms view 6: turned back, 0 bytes
	// 0 0 4
}

// Copies keep to their bound, the least lately used go first, and one from before a purge is not taken after it.
func TestCopies(t *testing.T) {
	c := newCopies(LocalCacheSettings{Bytes: 3 * (1000 + overhead), FlowBytesPerSecond: 1000, LinkBytesPerSecond: 2500, MaxInFlight: 10 * time.Second})
	now, start := time.Hour, time.Now()
	ask := func(o routing.ObjectID) *Request { return &Request{Object: o, Group: routing.GroupID(o % 2)} }
	at := func(d time.Duration) time.Time { return start.Add(d) }
	keep := func(o routing.ObjectID, born time.Duration) {
		c.keep(ask(o), &AttemptResult{Body: make([]byte, 1000), GeneratedAt: at(born)}, now, born)
	}
	for o := range routing.ObjectID(3) {
		keep(o+1, now)
	}
	c.find(ask(1), 0, now)
	keep(4, now)
	keep(4, now)
	if c.find(ask(1), 0, now) == nil || c.find(ask(2), 0, now) != nil || c.held > c.own.Bytes || c.used.Len() != 3 {
		t.Errorf("%d copies, %d bytes", c.used.Len(), c.held)
	}
	if c.find(ask(1), time.Second, now+2*time.Second) != nil {
		t.Error("a copy too old was given")
	}
	told := now + time.Minute
	c.purge(Purge{Group: 1, Issued: at(now)}, told, now)
	keep(1, now-time.Second)
	if c.find(ask(1), 0, now) != nil || c.find(ask(3), 0, now) != nil || c.find(ask(4), 0, now) == nil {
		t.Error("a purge of a group took others, or not all")
	}
	if keep(1, now+time.Millisecond); c.find(ask(1), 0, now) == nil {
		t.Error("a copy from after the purge was not kept")
	}
	if c.keep(ask(5), &AttemptResult{Body: make([]byte, 1000)}, now, now); c.find(ask(5), 0, now) != nil {
		t.Error("a copy of unknown age was kept")
	}
	for i, want := range []time.Duration{2, 2, 3} { // two places on the link
		if got := c.send(time.Second, 1000); got != want*time.Second {
			t.Errorf("transfer %d ends at %v", i, got)
		}
	}
}

// What waited in the queue is taken off the client's time, and told as the engine's lag.
func TestLag(t *testing.T) {
	r := newRig()
	r.mute = true
	r.at = 400 * time.Millisecond
	r.Handle(r.at, Event{Time: r.start.Add(100 * time.Millisecond), Message: &Request{
		ID: 1, Client: r, SizeKB: 1, Timeout: time.Second,
		ReceivedAt: r.start.Add(100 * time.Millisecond),
	}})
	if len(r.legs) != 1 || r.legs[0].Deadline.Sub(r.start) != 1100*time.Millisecond || r.counts.EventQueueDelay != 300*time.Millisecond {
		t.Errorf("%d legs, lag %v", len(r.legs), r.counts.EventQueueDelay)
	}
}

// Many views in every way that they can end leave nothing behind.
func TestNothingIsLeft(t *testing.T) {
	r := newRig()
	r.mute = true
	outcomes := []routing.Outcome{routing.Succeeded, routing.Failed, routing.Overloaded, routing.ConnectFailed, routing.ConnectionBroken, routing.NotSent, routing.CacheMiss}
	for i := range 5000 {
		r.view(routing.RequestID(i+1), routing.ClassID(i%5/4), time.Duration(i%400)*time.Millisecond)
		r.pass(time.Duration(i%3) * time.Millisecond)
		for k := max(0, len(r.legs)-4); k < len(r.legs); k++ {
			r.end(k, outcomes[(i+k)%len(outcomes)], routing.Note(i%11))
		}
		if i%7 == 0 {
			r.tell(ClientGone{Request: routing.RequestID(i + 1)})
		}
	}
	r.pass(10 * time.Second)
	if len(r.views) > 0 || r.InFlight() > 0 || len(r.timers) > 1 || len(r.queue) > 0 {
		t.Errorf("%d views, %d open, %d timers, %d events", len(r.views), r.InFlight(), len(r.timers), len(r.queue))
	}
	c := r.counts
	if c.Succeeded+c.Rejected+c.Failed+c.ClientCancelled != c.Requests || c.Succeeded == 0 || c.ClientCancelled == 0 {
		t.Errorf("%+v", c)
	}
}
