package sharedstore

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/fake/redis"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"

	goredis "github.com/redis/go-redis/v9"
	"go.uber.org/zap"

	decide "fennelarch/policy/sharedstore"
)

// A value tells what is wrong with it.
func ExampleDecode() {
	c := Copy{Object: 7, Part: 2, Group: 3, Born: 1_700_000_000_000, Valid: 1_700_000_000_500, Sum: "tag", Body: []byte("bytes")}
	good := c.Encode(nil)
	back, err := Decode(good)
	fmt.Println(back.Object, back.Part, back.Group, back.Born, back.Valid, back.Sum, string(back.Body), err)
	change := func(at int, to byte) []byte { b := bytes.Clone(good); b[at] = to; return b }
	for _, v := range [][]byte{nil, []byte("{}"), change(2, 2), good[:30], good[:len(good)-9], change(40, 'x'), change(len(good)-1, 0), change(3, 200)} {
		_, err := Decode(v)
		fmt.Println(err)
	}
	// Output:
	// 7 2 3 1700000000000 1700000000500 tag bytes <nil>
	// not a value of ours
	// not a value of ours
	// of a newer form
	// cut off
	// cut off
	// its bytes do not add up
	// its bytes do not add up
	// cut off
}

func FuzzDecode(f *testing.F) {
	c := Copy{Object: 7, Sum: "tag", Body: []byte("bytes")}
	f.Add(c.Encode(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, err := Decode(b); err == nil && !bytes.Equal(c.Encode(nil), b) {
			t.Errorf("%x is read as another value", b)
		}
	})
}

func bounds() limits.Limits {
	return limits.From(limits.Inputs{Cores: 1, MemoryMB: 64, Sockets: 256, DrainGrace: time.Second, LongestDeadline: 3 * time.Second})
}

// A link greets, asks nothing before it has greeted, matches replies in their order, and says what never got one.
func Example_link() {
	l, at := bounds(), time.Unix(0, 0)
	k := newLink(&l, login{user: "u", word: "w", database: 3}, at)
	k.send(command{verb: verbGet, op: 1, key: copyKey{object: 7}, args: [][]byte{[]byte("GET"), []byte("k")}})
	show := func() {
		fmt.Printf("%q\n", k.outgoing(at))
		k.out.Wrote(len(k.out.Head()))
	}
	feed := func(text string) {
		copy(k.space(), text)
		err := k.got(len(text), at.Add(time.Millisecond))
		for _, e := range k.take() {
			switch e := e.(type) {
			case greeted:
				fmt.Println("greeted, runs for", e.age)
			case replied:
				fmt.Println("op", e.command.op, "reply", e.reply, e.err)
			}
		}
		if err != nil {
			fmt.Println(err)
		}
	}
	show()
	feed("+OK\r\n+OK\r\n")
	show()
	feed("$34\r\nrun_id:abc\r\nuptime_in_seconds:90\r\n\r\n")
	show()
	for op := decide.OperationID(2); op < 8; op++ {
		k.send(command{verb: verbLease, op: op, args: [][]byte{[]byte("SET")}})
	}
	show()
	feed("$3\r\nodd\r\n+OK\r\n$-1\r\n-OOM x\r\n-MOVED 1 h:1\r\n-ERR what\r\n")
	k.over(at)
	feed("")
	for _, e := range k.take() {
		fmt.Println("op", e.(replied).command.op, "reply", e.(replied).reply)
	}
	// Output:
	// "*3\r\n$4\r\nAUTH\r\n$1\r\nu\r\n$1\r\nw\r\n*2\r\n$6\r\nSELECT\r\n$1\r\n3\r\n*2\r\n$4\r\nINFO\r\n$6\r\nserver\r\n"
	// ""
	// greeted, runs for 1m30s
	// "*2\r\n$3\r\nGET\r\n$1\r\nk\r\n"
	// "*1\r\n$3\r\nSET\r\n*1\r\n$3\r\nSET\r\n*1\r\n$3\r\nSET\r\n*1\r\n$3\r\nSET\r\n*1\r\n$3\r\nSET\r\n*1\r\n$3\r\nSET\r\n"
	// op 1 reply 3 not a value of ours
	// op 2 reply 4 <nil>
	// op 3 reply 5 <nil>
	// op 4 reply 7 OOM x
	// op 5 reply 11 MOVED 1 h:1
	// op 6 reply 12 ERR what
	// op 7 reply 13 <nil>
}

// shelfSource answers fills at once, as a parent would.
type shelfSource struct {
	post  func(time.Time, engine.Message)
	body  []byte
	fills int
}

func (s *shelfSource) UpdateEndpoints([]engine.Endpoint, bool) {}
func (s *shelfSource) CheckHealth(routing.EndpointID)          {}
func (s *shelfSource) Abort(*engine.Attempt) bool              { return true }
func (s *shelfSource) Send(l *engine.Attempt) {
	s.fills++
	go s.post(time.Now(), engine.AttemptResult{Attempt: l, Outcome: routing.Succeeded, Note: routing.NoteHit, Body: s.body, ETag: "5", GeneratedAt: time.Now()})
}

const storeNode, parentNode = "s-redis", "s-parent"

// rig is a carrier over a stand-in; what reaches the engine comes on a channel.
type rig struct {
	*Transport
	redis  *redis.Store
	source *shelfSource
	ends   chan engine.AttemptResult
}

func newRig(t testing.TB, log *zap.Logger) *rig {
	s, err := redis.Start(redis.Config{Age: time.Hour, User: "u", Word: "w"})
	if err != nil {
		t.Fatal(err)
	}
	set := routing.Settings{ParentKind: 1, OriginKind: 2, FlowKBPerSecond: 1000, Classes: []routing.Class{{LatencyObjective: time.Second}}}
	r := &rig{redis: s, ends: make(chan engine.AttemptResult, 64)}
	r.Transport = New(bounds(), set, decide.Settings{Capacity: 0, MaxInFlight: 64, MaxValueBytes: 240_000, MaxTTL: time.Minute, Lease: true}, 1,
		[]Store{{UID: storeNode, Addresses: []string{s.Address()}, Weight: 1, Prefix: "t:", Login: NewLogin("u", "w", 1)}},
		time.Now().Add(-time.Second), func(_ time.Time, message engine.Message) {
			if end, is := message.(engine.AttemptResult); is {
				r.ends <- end
			}
		}, log)
	r.source = &shelfSource{post: r.Post, body: []byte(strings.Repeat("x", 20_000))}
	r.Over(r.source)
	ctx, end := context.WithCancel(context.Background())
	t.Cleanup(func() { end(); s.Close() })
	go r.Run(ctx)
	list := r.Told(engine.EndpointList{Complete: true, Endpoints: []engine.Endpoint{{UID: parentNode, Endpoint: routing.Endpoint{
		ID:    engine.EndpointID(parentNode),
		State: routing.Ready, Kind: 1,
	}}}}).(engine.EndpointList)
	r.UpdateEndpoints(list.Endpoints, true)
	for until := time.Now().Add(5 * time.Second); s.Counts().Commands < 3 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	return r
}

func (r *rig) ask(object routing.ObjectID) *engine.Attempt {
	now := time.Now()
	l := &engine.Attempt{
		Request: &engine.Request{Object: object, Group: 1, SizeKB: 10, Timeout: time.Second, ReceivedAt: now}, Endpoint: engine.EndpointID(storeNode),
		Source: engine.EndpointID(parentNode), Deadline: now.Add(time.Second), SentAt: now,
	}
	r.Send(l)
	return l
}

func (r *rig) end(t testing.TB) engine.AttemptResult {
	select {
	case e := <-r.ends:
		return e
	case <-time.After(5 * time.Second):
		t.Fatal("no end")
		return engine.AttemptResult{}
	}
}

// A miss is filled and stored, then it is a hit with the same bytes; after a purge it is filled anew.
func TestCarrier(t *testing.T) {
	r := newRig(t, zap.NewNop())
	time.Sleep(600 * time.Millisecond) // until a copy's birth is surely after the router's
	r.ask(7)
	if e := r.end(t); e.Outcome != routing.Succeeded || e.Note != routing.NoteFilled || !bytes.Equal(e.Body, r.source.body) {
		t.Fatalf("%v %v, %d bytes", e.Outcome, e.Note, len(e.Body))
	}
	time.Sleep(30 * time.Millisecond)
	r.ask(7)
	if e := r.end(t); e.Note != routing.NoteHit || !bytes.Equal(e.Body, r.source.body) || e.ETag != "5" {
		t.Fatalf("%v, %d bytes", e.Note, len(e.Body))
	}
	r.Told(engine.Purge{Object: 7, Issued: time.Now()})
	time.Sleep(5 * time.Millisecond)
	r.ask(7)
	if e := r.end(t); e.Note != routing.NoteFilled {
		t.Fatalf("%v after a purge", e.Note)
	}
	time.Sleep(30 * time.Millisecond) // it is stored again
	// Given up while the store is silent: no end follows, and nothing is left.
	r.redis.Set(redis.Fault{Silent: true})
	if l := r.ask(8); !r.Abort(l) {
		t.Error("not given up")
	}
	select {
	case e := <-r.ends:
		t.Errorf("an end after all: %v", e.Outcome)
	case <-time.After(50 * time.Millisecond):
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.legs) > 0 || len(r.ops) > 0 {
		t.Errorf("%d legs and %d ops are left", len(r.legs), len(r.ops))
	}
}

// What a get of 20 KB costs through the carrier, and through the client library that was weighed against it.
func BenchmarkGetCarrier(b *testing.B) {
	r := newRig(b, zap.NewNop())
	time.Sleep(600 * time.Millisecond)
	r.ask(7)
	r.end(b)
	time.Sleep(50 * time.Millisecond)
	b.ReportAllocs()
	b.SetBytes(20_000)
	for b.Loop() {
		r.ask(7)
		if e := r.end(b); e.Note != routing.NoteHit {
			b.Fatal(e.Note)
		}
	}
}

func BenchmarkGetLibrary(b *testing.B) {
	s, err := redis.Start(redis.Config{Age: time.Hour})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	c := goredis.NewClient(&goredis.Options{Addr: s.Address(), Protocol: 2, MaxRetries: -1, DisableIdentity: true})
	defer func() { _ = c.Close() }()
	ctx := context.Background()
	if err := c.Set(ctx, "k", strings.Repeat("x", 20_000), 0).Err(); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.SetBytes(20_000)
	for b.Loop() {
		ctx, end := context.WithTimeout(ctx, time.Second)
		if _, err := c.Get(ctx, "k").Bytes(); err != nil {
			b.Fatal(err)
		}
		end()
	}
}

// A get that is given up: the library holds the caller's connection until its time is up, the carrier goes on at once.
func TestGivenUpGet(t *testing.T) {
	s, err := redis.Start(redis.Config{Age: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.Set(redis.Fault{Silent: true})
	c := goredis.NewClient(&goredis.Options{Addr: s.Address(), Protocol: 2, MaxRetries: -1, DisableIdentity: true, ReadTimeout: 300 * time.Millisecond})
	defer func() { _ = c.Close() }()
	ctx, end := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, end)
	begun := time.Now()
	err = c.Get(ctx, "k").Err()
	t.Logf("the library returns %v after %v", err, time.Since(begun).Round(time.Millisecond))
	r := newRig(t, zap.NewNop())
	r.redis.Set(redis.Fault{Silent: true})
	begun = time.Now()
	r.Abort(r.ask(1))
	if took := time.Since(begun); took > 10*time.Millisecond {
		t.Errorf("giving up took %v", took)
	}
}
