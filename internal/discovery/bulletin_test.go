package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/stalldetect"

	"go.uber.org/zap"
)

func testFollower() *Watcher {
	l := limits.From(limits.Inputs{MemoryMB: 64, Sockets: 256})
	l.PollHold, l.PollTimeout, l.BackoffMin = 50*time.Millisecond, 200*time.Millisecond, time.Millisecond
	l.PollStallTimeout, l.DiscoveryRewindAfter = 100*time.Millisecond, 0
	return New(l, config.Names{Zones: []string{"west", "east"}, Kinds: []string{"std", "parent"}}, "", zap.NewNop())
}

func purge(no int) string {
	return fmt.Sprintf(`{"no":%d,"recall":{"lot":%d,"issued":1764576000480}}`, no, no)
}

func page(no int, items ...string) string {
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, no, strings.Join(items, ","))
}

// told takes a page and prints what is passed on.
func told(f *Watcher, text string) {
	p, cut := readPage(strings.NewReader(text))
	err := f.Apply(&p, 0, func(message engine.Message) { fmt.Printf("%+v; ", message) })
	fmt.Println(cmp.Or(err, cut), f.last)
}

func ExampleWatcher_Apply() {
	f := testFollower()
	told(f, page(2, `{"no":1,"roster":{"rev":7,"all":true,"targets":[{"uid":"s-1","endpoint":"10.1.0.9:9090","az":"east",
	  "model":"std","pod_group":2,"state":"draining","capacity_hint":4,"boot_ms":0}]}}`,
		`{"no":2,"recall":{"item":"7f3a9c21e0b4d655","lot":5,"issued":1764576000123}}`))
	told(f, page(3, purge(1), purge(2), purge(3))) // only the new one
	told(f, page(6, purge(5), purge(6)))           // 4 is missing: asked for again
	told(f, page(6, purge(5), purge(6)))           // and not to be had
	told(f, page(8, `{"no":7,"other":{}}`, purge(8)))
	told(f, page(9, `{"no":9,"roster":{"targets":[{"uid":"s-2","az":"east","model":"std","state":"odd"},
	  {"uid":"s-3","az":"north","model":"std","state":"ready"},{"uid":"s-4","az":"west","model":"parent","state":"gone"}]}}`))
	told(f, page(11, `{"no":10,"recall":{"item":"x"}}`, purge(11)))
	told(f, page(11, purge(11)))
	told(f, page(13, purge(12), purge(13))[:90]) // breaks off in an event
	told(f, `{"items":[]}`)                      // not the numbers of a new bulletin
	told(f, `[1`)
	told(f, page(1, purge(1))) // the bulletin began anew
	told(f, page(4, `{"no":2,"roster":{"targets":"all of them"}}`, purge(3), purge(4)))
	told(f, page(4, purge(3), purge(4))) // what can't be read hides nothing after it
	told(f, page(6, `{"no":"five"}`, purge(6)))
	// Output:
	// {Nodes:[{Member:{Node:9330572330461544228 State:2 Kind:0 Zone:1 Cell:2 Weight:4 Started:0s} UID:s-1 Address:10.1.0.9:9090 Boot:0001-01-01 00:00:00 +0000 UTC}] All:true Ago:0s}; {Object:9167811660783867477 Group:5 Issued:2025-12-01 08:00:00.123 +0000 UTC}; <nil> 2
	// {Object:0 Group:3 Issued:2025-12-01 08:00:00.48 +0000 UTC}; <nil> 3
	// <nil> 3
	// {Object:0 Group:5 Issued:2025-12-01 08:00:00.48 +0000 UTC}; {Object:0 Group:6 Issued:2025-12-01 08:00:00.48 +0000 UTC}; <nil> 6
	// {Object:0 Group:8 Issued:2025-12-01 08:00:00.48 +0000 UTC}; <nil> 8
	// {Nodes:[{Member:{Node:9330569031926659595 State:0 Kind:1 Zone:0 Cell:0 Weight:0 Started:0s} UID:s-4 Address: Boot:0001-01-01 00:00:00 +0000 UTC}] All:false Ago:0s}; <nil> 9
	// {Object:0 Group:11 Issued:2025-12-01 08:00:00.48 +0000 UTC}; event 10: strconv.ParseUint: parsing "x": invalid syntax 11
	// <nil> 11
	// {Object:0 Group:12 Issued:2025-12-01 08:00:00.48 +0000 UTC}; unexpected EOF 12
	// <nil> 12
	// not a page of events 12
	// {Object:0 Group:1 Issued:2025-12-01 08:00:00.48 +0000 UTC}; <nil> 1
	// {Object:0 Group:3 Issued:2025-12-01 08:00:00.48 +0000 UTC}; {Object:0 Group:4 Issued:2025-12-01 08:00:00.48 +0000 UTC}; event 2: json: cannot unmarshal string into Go struct field roster.roster.targets of type []bulletin.target 4
	// <nil> 4
	// json: cannot unmarshal string into Go struct field Item.no of type int64 4
}

// Every kind of failed poll is tried again, at whichever address, and each event comes once and in order.
func TestFailedPolls(t *testing.T) {
	var polls atomic.Int64
	silent := make(chan struct{})
	f := testFollower()
	var second *httptest.Server
	serve := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var after int
		fmt.Sscan(r.FormValue("after"), &after)
		switch n := polls.Add(1); {
		case r.URL.Path != "/bulletins" || r.FormValue("patience") != "50":
			t.Errorf("asked for %s", r.URL)
		case n == 2:
			http.Error(w, "no", http.StatusInternalServerError)
		case n == 3:
			fmt.Fprint(w, `{"no":9,"ite`)
		case n == 4:
			panic(http.ErrAbortHandler)
		case n == 5:
			<-silent
		case n == 6: // begins, and stays open
			fmt.Fprint(w, page(after+2, purge(after+1), purge(after+2))[:90])
			_ = http.NewResponseController(w).Flush()
			<-silent
		case n == 7: // moves while it is asked
			f.SetAddress(second.Listener.Addr().String())
			<-silent
		default:
			if n > 7 && r.Host != second.Listener.Addr().String() {
				t.Errorf("asked %s", r.Host)
			}
			fmt.Fprint(w, page(after+1, purge(after+1)))
		}
	})
	first := httptest.NewServer(serve)
	defer first.Close()
	second = httptest.NewServer(serve)
	defer second.Close()
	defer close(silent)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.SetAddress(first.Listener.Addr().String())
	events := make(chan engine.Message, 1)
	go f.Run(ctx, func(_ time.Time, message engine.Message) {
		select {
		case events <- message:
		case <-ctx.Done():
		}
	})
	for want := 1; want <= 20; want++ {
		select {
		case e := <-events:
			if got := e.(engine.Purge).Group; int(got) != want {
				t.Fatalf("event %d came, not %d", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("event %d did not come", want)
		}
	}
}

// follow runs a follower of what a handler tells, and returns the groups of the purges that it passes on.
func follow(t *testing.T, f *Watcher, address string) chan int {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	t.Cleanup(func() { cancel(); <-done })
	events := make(chan int, 1000)
	f.SetAddress(address)
	go func() {
		defer close(done)
		f.Run(ctx, func(_ time.Time, message engine.Message) { events <- int(message.(engine.Purge).Group) })
	}()
	return events
}

func served(t *testing.T, does http.HandlerFunc) string {
	end := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go func() {
			select {
			case <-end:
				cancel()
			case <-ctx.Done():
			}
		}()
		does(w, r.WithContext(ctx))
	}))
	t.Cleanup(func() { close(end); s.Close() })
	return s.Listener.Addr().String()
}

func expect(t *testing.T, events chan int, want int) {
	t.Helper()
	select {
	case n := <-events:
		if n != want {
			t.Fatalf("event %d came, not %d", n, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("event %d did not come", want)
	}
}

// in writes a text in parts, and stops where nobody reads it any more.
func in(w http.ResponseWriter, r *http.Request, text string, each int, pause time.Duration) bool {
	for len(text) > 0 && r.Context().Err() == nil {
		n := min(each, len(text))
		fmt.Fprint(w, text[:n])
		_ = http.NewResponseController(w).Flush()
		text = text[n:]
		time.Sleep(pause)
	}
	return r.Context().Err() == nil
}

// One event that takes longer than a standstill may, but keeps coming, is waited for: it would take as long the next time.
func TestEventInPieces(t *testing.T) {
	f := testFollower()
	long := strings.Replace(page(1, purge(1)), `"recall"`, `"odd":"`+strings.Repeat("x", 600)+`","recall"`, 1)
	events := follow(t, f, served(t, func(w http.ResponseWriter, r *http.Request) { in(w, r, long, 20, 20*time.Millisecond) }))
	expect(t, events, 1)
}

// A page that never ends is cut, and what it told is taken; the next one goes on from there.
func TestEndlessPage(t *testing.T) {
	f := testFollower()
	f.limits.PollPageTimeout = 300 * time.Millisecond
	events := follow(t, f, served(t, func(w http.ResponseWriter, r *http.Request) {
		var after int
		fmt.Sscan(r.FormValue("after"), &after)
		in(w, r, `{"no":1000000,"items":[`, 100, 0)
		for no := after + 1; in(w, r, purge(no)+",", 100, 10*time.Millisecond); no++ {
		}
	}))
	for want := 1; want <= 60; want++ {
		expect(t, events, want)
	}
}

// While the bulletin is out of reach, a dial is answered by nobody. It is given up soon, and another one finds the bulletin back.
func TestFollowedSoonAfterSilence(t *testing.T) {
	f := testFollower()
	f.limits.PollTimeout, f.limits.DiscoveryDialTimeout = time.Hour, 50*time.Millisecond // the dial's own bound has to do it
	var dials atomic.Int64
	f.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) <= 3 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	events := follow(t, f, served(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, page(1, purge(1))) }))
	expect(t, events, 1)
}

// A bulletin that has not caught up tells what is no longer so: it is passed over. One that stays behind is a new one.
func TestBehind(t *testing.T) {
	f := testFollower()
	f.limits.DiscoveryRewindAfter = 100 * time.Millisecond
	taken := 0
	take := func(text string) error {
		p, err := readPage(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		return f.Apply(&p, 0, func(engine.Message) { taken++ })
	}
	if err := take(page(3, purge(1), purge(2), purge(3))); err != nil || taken != 3 {
		t.Fatalf("%d events, %v", taken, err)
	}
	for range 2 {
		if err := take(page(2, purge(1), purge(2))); !errors.Is(err, errBehind) || taken != 3 || f.last != 3 {
			t.Errorf("%d events up to %d, %v", taken, f.last, err)
		}
	}
	if err := take(page(4, purge(4))); err != nil || taken != 4 { // it has caught up
		t.Errorf("%d events, %v", taken, err)
	}
	_ = take(page(2, purge(1), purge(2)))
	time.Sleep(120 * time.Millisecond)
	if err := take(page(2, purge(1), purge(2))); err != nil || taken != 6 || f.last != 2 {
		t.Errorf("a new bulletin: %d events up to %d, %v", taken, f.last, err)
	}
}

// One line of a list can't be read: the others of its event, and the events after it, are told.
func TestUnreadableLine(t *testing.T) {
	f := testFollower()
	p, err := readPage(strings.NewReader(page(2, `{"no":1,"roster":{"all":true,"targets":[{"uid":7},
	  {"uid":"s-1","endpoint":"10.1.0.9:9090","az":"east","model":"std","state":"ready","capacity_hint":"four"},
	  {"uid":"s-2","endpoint":"10.1.0.9:9091","az":"east","model":"std","state":"ready","capacity_hint":4}]}}`, purge(2))))
	if err != nil {
		t.Fatal(err)
	}
	var told []engine.Message
	if err := f.Apply(&p, 0, func(message engine.Message) { told = append(told, message) }); err != nil || len(told) != 2 {
		t.Fatalf("%v, %v", told, err)
	}
	if list := told[0].(engine.EndpointList); len(list.Endpoints) != 1 || list.Endpoints[0].UID != "s-2" {
		t.Errorf("%+v", list)
	}
}

// How long ago events may have been told: what lay there when it was asked for may be as old as the last answer before; what came while
// a poll waited is new; what a new process hears first may be of any age.
func TestToldAgo(t *testing.T) {
	f := testFollower()
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }
	if got := f.age(at(-time.Second), now); got != engine.AgeBeforeStart {
		t.Errorf("at first: %v", got)
	}
	f.current = at(-5 * time.Second)
	if got := f.age(at(-10*time.Millisecond), now); got != 5*time.Second {
		t.Errorf("after an outage: %v", got)
	}
	if got := f.age(at(-time.Second), now); got != 0 {
		t.Errorf("while it waited: %v", got)
	}
	f.Stalls = stalldetect.New()
	time.Sleep(70 * time.Millisecond) // it does not beat
	if got := f.age(time.Now().Add(-time.Second), time.Now()); got < 5*time.Second {
		t.Errorf("while the process stood still: %v", got)
	}
}
