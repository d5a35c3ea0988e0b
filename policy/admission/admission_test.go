package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func ip(n int) Peer {
	return Address([16]byte{10: 0xff, 11: 0xff, 12: 127, 13: byte(n >> 16), 14: byte(n >> 8), 15: byte(n)})
}

const crew, crew2 = 200_000, 200_001 // listed by the operator

func plain() Settings {
	s := Settings{
		MaxConnections: 40, Reserve: 12, ConnectionsPerPeer: 10, NewPerPeerPerSecond: 20, RequestsPerPeer: 16, MaxRequests: 60, MaxRememberedPeers: 50, FirstRequestGrace: time.Second, SendRetryAfter: true,
		MaxRetryAfter: time.Second, MaxHandshakes: 4, HandshakeCPU: 0.1, IsKnown: func(p Peer) bool { return p == ip(crew) || p == ip(crew2) },
	}
	return s.WithDefaults()
}

// A world of clients that come, ask, go and flood in any order, and what must hold all along.
type world struct {
	a    *Controller
	now  time.Duration
	last ConnID
	open map[ConnID]*member
	bad  error
}

type member struct {
	peer   Peer
	busy   bool
	views  int
	known  bool
	shakes bool
}

func newWorld() *world { return &world{a: New(plain()), open: map[ConnID]*member{}} }

func (w *world) fail(format string, x ...any) {
	if w.bad == nil {
		w.bad = fmt.Errorf("at %v: %s", w.now, fmt.Sprintf(format, x...))
	}
}

func (w *world) tell(e Event) (verdict ActionKind) {
	verdict = Drop
	for _, x := range w.a.Handle(w.now, &e, nil) {
		switch x.Kind {
		case CloseIdle:
			m := w.open[x.Conn]
			if m == nil {
				w.fail("connection %d is ended, which is not there", x.Conn)
				continue
			}
			if m.busy {
				w.fail("a busy connection is ended")
			}
			delete(w.open, x.Conn)
		case Accept, Reject, Drop:
			if x.Conn != e.Conn {
				w.fail("a verdict on another connection")
			}
			if verdict = x.Kind; x.Wait < 0 || x.Wait > w.a.set.MaxRetryAfter {
				w.fail("come back in %v", x.Wait)
			}
		}
	}
	w.check()
	return verdict
}

func (w *world) arrive(p Peer, tls bool) (ConnID, bool) {
	w.last++
	taken := w.tell(Event{Kind: EventArrive, Conn: w.last, Peer: p, TLS: tls}) == Accept
	if taken {
		if c := &w.a.conns[w.a.byConn[w.last]]; c.reserved && w.a.standing(&w.a.peers[c.peer]) == stranger {
			w.fail("a stranger in the reserve")
		}
		w.open[w.last] = &member{peer: p, known: w.a.set.IsKnown(p), shakes: tls}
	}
	return w.last, taken
}

func (w *world) check() {
	a := w.a
	if len(w.open) != a.count && len(w.open) != a.count-1 { // one that is being taken
		w.fail("%d connections, %d counted", len(w.open), a.count)
	}
	if a.count > a.set.MaxConnections {
		w.fail("%d connections of %d", a.count, a.set.MaxConnections)
	}
	if a.count-a.kept > a.set.MaxConnections-a.set.Reserve {
		w.fail("strangers have %d places of %d", a.count-a.kept, a.set.MaxConnections-a.set.Reserve)
	}
	kept, views := 0, 0
	for _, i := range a.byConn {
		c := &a.conns[i]
		views += c.views
		if c.reserved {
			kept++
		}
	}
	if kept != a.kept || views != a.views {
		w.fail("%d kept, %d counted; %d views, %d counted", kept, a.kept, views, a.views)
	}
	if a.idle.n > a.set.MaxRememberedPeers || len(a.byPeer) > a.set.MaxRememberedPeers+a.set.MaxConnections+1 {
		w.fail("%d peers are remembered", len(a.byPeer))
	}
}

func (w *world) step(draw func(int) int) {
	pick := func() (ConnID, *member) {
		if len(w.open) == 0 {
			return 0, nil
		}
		n := draw(len(w.open))
		for id := ConnID(1); id <= w.last; id++ {
			if m := w.open[id]; m != nil {
				if n == 0 {
					return id, m
				}
				n--
			}
		}
		return 0, nil
	}
	switch n := draw(24); {
	case n < 6:
		w.arrive(ip(draw(4)), draw(4) == 0)
	case n < 9:
		w.arrive(ip(1000+draw(5000)), false)
	case n < 11:
		w.arrive(ip(crew+draw(2)), false)
	case n < 13:
		w.now += time.Duration(draw(400)) * ms
	case n == 13:
		w.tell(Event{Kind: EventNoDescriptors})
	case n == 14:
		w.tell(Event{Kind: EventDescriptorAvailable})
	default:
		id, m := pick()
		if m == nil {
			return
		}
		switch n {
		case 15:
			w.tell(Event{Kind: EventMessage, Conn: id})
		case 16, 17:
			if w.tell(Event{Kind: EventRequest, Conn: id}) == Accept {
				m.views++
			}
			if !m.busy {
				m.busy = true
				w.tell(Event{Kind: EventBusy, Conn: id})
			}
		case 18, 19:
			if m.views > 0 {
				m.views--
				w.tell(Event{Kind: EventRequestEnd, Conn: id, InTime: draw(3) > 0})
			}
			if m.views == 0 && m.busy {
				m.busy = false
				w.tell(Event{Kind: EventIdle, Conn: id})
			}
		case 20:
			if m.shakes {
				m.shakes = false
				e := Event{Kind: EventHandshakeDone, Conn: id, Elapsed: ms}
				if draw(2) == 0 {
					e.Peer = Certificate([32]byte{1: byte(draw(3))})
				}
				w.tell(e)
			}
		default:
			delete(w.open, id)
			w.tell(Event{Kind: EventClosed, Conn: id})
		}
	}
}

// finish: all go, and everything comes back to nothing; a while later all is open again.
func (w *world) finish() {
	for id := ConnID(1); id <= w.last; id++ {
		if w.open[id] != nil {
			delete(w.open, id)
			w.tell(Event{Kind: EventClosed, Conn: id})
		}
	}
	a := w.a
	if a.count != 0 || a.kept != 0 || a.views != 0 || a.known != 0 || a.hands != 0 || len(a.byConn) != 0 || len(a.byPeer) != a.idle.n {
		w.fail("left: %d connections, %d kept, %d views, %d handshakes", a.count, a.kept, a.views, a.hands)
	}
	w.now += time.Minute
	w.tell(Event{Kind: EventDescriptorAvailable})
	if _, taken := w.arrive(ip(7), false); !taken || a.mode != modeOpen {
		w.fail("nobody is there, and it is %s", a.Mode())
	}
}

func play(draw func(int) int, steps int) error {
	w := newWorld()
	for i := 0; i < steps && w.bad == nil; i++ {
		w.step(draw)
	}
	if w.bad == nil {
		w.finish()
	}
	return w.bad
}

// Whatever comes in whatever order: the reserve is never taken by a stranger, no busy connection is ended, counts come back
// to zero, no mode is a dead end, and what is remembered is bounded.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.IntRange(10, 500).Draw(t, "steps")
		if err := play(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }, steps); err != nil {
			t.Fatal(err)
		}
	})
}

// flood: one address, or a thousand, take what they can; the known still get in, and are not ended for strangers.
func flood(addresses int) error {
	w := newWorld()
	own, taken := w.arrive(ip(crew), false)
	if !taken {
		return fmt.Errorf("the crew does not get in at all")
	}
	for i := range 10_000 {
		w.arrive(ip(i%addresses), false)
		if i%10 == 0 {
			w.now += ms
		}
	}
	if w.open[own] == nil {
		w.fail("the crew's connection was ended for strangers")
	}
	if mine := w.a.peers[w.a.byPeer[ip(1%addresses)]].conns; mine > w.a.set.ConnectionsPerPeer {
		w.fail("one address has %d connections", mine)
	}
	for range 2 {
		if _, taken := w.arrive(ip(crew2), false); !taken {
			w.fail("the crew does not get in during the flood, which is %s", w.a.Mode())
		}
	}
	w.tell(Event{Kind: EventNoDescriptors})
	if _, taken := w.arrive(ip(crew), false); !taken {
		w.fail("the crew does not get in while descriptors are short")
	}
	return w.bad
}

// known: a peer that is served in good time is known after a while, and a stranger again after a longer one; flooding costs
// it that sooner.
func known() error {
	w := newWorld()
	id, _ := w.arrive(ip(5), false)
	at := func() standing { return w.a.standing(&w.a.peers[w.a.byPeer[ip(5)]]) }
	for range 8 {
		w.tell(Event{Kind: EventRequest, Conn: id})
		w.tell(Event{Kind: EventRequestEnd, Conn: id, InTime: true})
	}
	if at() != lately {
		return fmt.Errorf("served eight times in time, and still a stranger")
	}
	w.now += time.Minute
	for range 200 {
		w.arrive(ip(5), false)
	}
	if at() != stranger {
		return fmt.Errorf("it floods and is still known")
	}
	return w.bad
}

// late views make nobody known.
func unknown() error {
	w := newWorld()
	id, _ := w.arrive(ip(5), false)
	for range 50 {
		w.tell(Event{Kind: EventRequest, Conn: id})
		w.tell(Event{Kind: EventRequestEnd, Conn: id})
	}
	if w.a.standing(&w.a.peers[w.a.byPeer[ip(5)]]) != stranger {
		return fmt.Errorf("never served in time, and known")
	}
	return w.bad
}

func all() error {
	for _, f := range []func() error{func() error { return flood(1) }, func() error { return flood(1000) }, known, unknown} {
		if err := f(); err != nil {
			return err
		}
	}
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 5))
		if err := play(r.IntN, 400); err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	return nil
}

func TestFloods(t *testing.T) {
	if err := all(); err != nil {
		t.Error(err)
	}
}

// The checks can fail: with a door or a mode that is wrong, one does.
func TestMutations(t *testing.T) {
	for name, plant := range map[string]func() (undo func()){
		"strangers in the reserve": func() func() {
			was := doors[modeFull][stranger]
			doors[modeFull][stranger] = reserve
			return func() { doors[modeFull][stranger] = was }
		},
		"shedding without an end": func() func() {
			moods[modeShedding][signRestored] = modeShedding
			return func() { moods[modeShedding][signRestored] = modeTight }
		},
		"the known are shed": func() func() {
			doors[modeShedding][listed] = refuse
			return func() { doors[modeShedding][listed] = reserve }
		},
		"full without an end": func() func() {
			moods[modeFull][signCalm], moods[modeFull][signEased] = modeFull, modeFull
			return func() { moods[modeFull][signCalm], moods[modeFull][signEased] = modeOpen, modeTight }
		},
	} {
		undo := plant()
		err := all()
		undo()
		if err == nil {
			t.Errorf("%s: not seen", name)
		}
	}
}

// One address with many connections gets no more than its share of the views.
func ExampleController() {
	set := plain()
	set.NewPerPeerPerSecond = 0
	a := New(set)
	conn := ConnID(0)
	come := func(who int) ConnID {
		conn++
		a.Handle(0, &Event{Kind: EventArrive, Conn: conn, Peer: ip(who)}, nil)
		return conn
	}
	ask := func(c ConnID, n int) (taken int) {
		for range n {
			if a.Handle(0, &Event{Kind: EventRequest, Conn: c}, nil)[0].Kind == Accept {
				taken++
			}
		}
		return taken
	}
	bad := []ConnID{come(1), come(1), come(1), come(1)}
	for _, c := range bad {
		fmt.Print(ask(c, 10), " ")
	}
	fmt.Println("views of one address")
	for who := range 6 {
		fmt.Print(ask(come(10+who), 10), " ")
	}
	fmt.Println("of six others, where strangers may have 60")
	fmt.Println(ask(come(crew), 20), "views of the crew")
	// Output:
	// 10 6 0 0 views of one address
	// 10 10 10 10 4 0 of six others, where strangers may have 60
	// 16 views of the crew
}

func BenchmarkArrive(b *testing.B) {
	set := plain()
	set.MaxConnections, set.Reserve, set.MaxRememberedPeers = 400, 100, 4096
	a := New(set)
	acts := make([]Action, 0, 8)
	now, c := time.Duration(0), ConnID(0)
	b.ReportAllocs()
	for b.Loop() {
		c++
		now += 50 * time.Microsecond
		acts = a.Handle(now, &Event{Kind: EventArrive, Conn: c, Peer: ip(int(c) % 100_000)}, acts[:0])
	}
}

// A burst fills all places with connections that asked once and stay: who comes then has the time to ask, and one of those
// goes instead; one that has still not asked after it goes first. Met on a crowded day: new connections were ended after a
// tenth of a millisecond, one for the next.
func TestNewcomersMayAsk(t *testing.T) {
	a := New(Settings{MaxConnections: 20, FirstRequestGrace: time.Second, MaxRememberedPeers: 100})
	now, last := time.Second, ConnID(0)
	ended := map[ConnID]bool{}
	tell := func(e Event) {
		for _, x := range a.Handle(now, &e, nil) {
			if x.Kind == CloseIdle {
				ended[x.Conn] = true
			}
		}
	}
	arrive := func() ConnID {
		last++
		tell(Event{Kind: EventArrive, Conn: last, Peer: ip(int(last))})
		return last
	}
	for range 20 {
		tell(Event{Kind: EventMessage, Conn: arrive()})
		now += time.Millisecond
	}
	now += 150 * time.Millisecond
	var news []ConnID
	for range 15 {
		news = append(news, arrive())
		now += time.Millisecond
	}
	for _, c := range news {
		if ended[c] {
			t.Errorf("connection %d was ended before it could ask", c)
		}
	}
	now += 200 * time.Millisecond
	arrive()
	if !ended[news[0]] {
		t.Error("one that has not asked for long keeps its place")
	}
}
