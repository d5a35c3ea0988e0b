package sharedstore

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fennelarch/policy/routing"

	"pgregory.net/rapid"
)

func play(draw func(int) int, steps int) *world {
	w := newWorld(plainSet(), draw)
	for i := 0; i < steps && w.bad == nil; i++ {
		w.step()
	}
	if w.bad == nil {
		w.finish()
	}
	return w
}

// Whatever comes in whatever order: one end for each leg, nothing left open, no command to a store past its notice, no fill
// from a source past its own, no copy from before a purge, and no mode that is a dead end.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.IntRange(10, 400).Draw(t, "steps")
		if w := play(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }, steps); w.bad != nil {
			t.Fatal(w.bad)
		}
	})
}

func seeded(seed uint64) func(int) int {
	r := rand.New(rand.NewPCG(seed, 5))
	return func(n int) int { return r.IntN(n) }
}

// first plays seeds until one shows a fault.
func first(seeds int) error {
	for seed := range uint64(seeds) {
		if w := play(seeded(seed), 300); w.bad != nil {
			return fmt.Errorf("seed %d: %w", seed, w.bad)
		}
	}
	return errors.Join(cold(), slow())
}

// cold: a store just started is asked for no more than its budget, however much is wanted.
func cold() error {
	set := plainSet()
	w := newWorld(set, seeded(3))
	w.calm = true
	w.tell(&Event{Kind: EventConnected, Endpoint: storeS, RunID: 2, Age: 0})
	w.cmds = nil
	begun := w.now
	for w.now < begun+set.SlowStartFor {
		w.ask(parentP, 300*ms, 0)
		w.pass(ms)
		for len(w.pending) > 0 {
			w.reply(0)
		}
	}
	for i := range w.cmds {
		from, n := w.cmds[i], 0
		for _, at := range w.cmds[i:] {
			if at < from+time.Second {
				n++
			}
		}
		bears := 0.0
		for d := time.Duration(0); d < time.Second; d += 100 * ms {
			bears += set.Capacity / 10 * min(1, set.SlowStartShare+(1-set.SlowStartShare)*(from+d-begun).Seconds()/set.SlowStartFor.Seconds())
		}
		if part := bears / float64(set.Routers); float64(n) > part {
			return fmt.Errorf("%d commands in the second from %v on, the part is %.0f", n, from-begun, part)
		}
	}
	if len(w.cmds) < 200 {
		return fmt.Errorf("only %d commands while cold", len(w.cmds))
	}
	return w.bad
}

// slow: a store that is silent for a while is passed by soon, and used again when it is well.
func slow() error {
	w := newWorld(plainSet(), seeded(2))
	w.calm = true
	for i := 0; w.k.stores[0].state != healthSlow; i++ {
		if i > 3*lateGetsUntilSlow {
			return fmt.Errorf("after %d gets without an answer it is %s", i, healthStateNames[w.k.stores[0].state])
		}
		w.ask(parentP, 400*ms, 0)
		w.pass(30 * ms)
	}
	w.finish()
	return w.bad
}

func TestColdBudget(t *testing.T) {
	if err := errors.Join(cold(), slow()); err != nil {
		t.Error(err)
	}
}

// A lease that another holds for ever costs nobody the due time, as long as a fill fits before it.
func TestHolderDies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(plainSet(), seeded(1))
		w.calm = true
		fill := time.Duration(rapid.IntRange(5, 60).Draw(t, "fill")) * ms
		for range 30 {
			w.k.fillTime.add(fill)
		}
		due := fill*time.Duration(rapid.IntRange(3, 12).Draw(t, "due")) + 20*ms
		x := w.ask(parentP, due, 0)
		for range 10000 {
			if x.ends > 0 {
				break
			}
			for i := 0; i < len(w.pending); i++ {
				p := w.pending[i]
				switch {
				case p.a.Kind == ActionAcquireLease:
					w.leases[copyKey{x.object, 0}] = w.now + time.Hour
					w.reply(i)
				case p.a.Kind != ActionStartFill || w.now-p.at >= fill:
					w.reply(i)
				}
			}
			w.pass(ms / 2)
		}
		if x.ends == 0 || w.now > x.due {
			t.Fatalf("ended %d times, by %v of %v", x.ends, w.now-x.at, due)
		}
	})
}

// The checks above can fail: with a fault planted in the modes or the budget, one of them does. Example_ways sees the
// stages.
func TestMutations(t *testing.T) {
	if err := first(60); err != nil {
		t.Fatal(err)
	}
	for name, plant := range map[string]func() (undo func()){
		"no budget": func() func() { was := margin; margin = 100; return func() { margin = was } },
		"out without an end": func() func() {
			was := healthTransitions[healthUnavailable]
			healthTransitions[healthUnavailable] = [healthSignals]healthState{}
			return func() { healthTransitions[healthUnavailable] = was }
		},
		"slow without an end": func() func() {
			was := healthTransitions[healthSlow][signalBackoffOver]
			healthTransitions[healthSlow][signalBackoffOver] = healthSlow
			return func() { healthTransitions[healthSlow][signalBackoffOver] = was }
		},
		"trial without an end": func() func() {
			was := healthTransitions[healthProbing][signalInTime]
			healthTransitions[healthProbing][signalInTime] = healthProbing
			return func() { healthTransitions[healthProbing][signalInTime] = was }
		},
	} {
		undo := plant()
		err := first(60)
		undo()
		if err == nil {
			t.Errorf("%s: not seen", name)
		}
	}
}

// say prints what is done.
func say(acts []Action) {
	words := [...]string{
		ActionGet: "get", ActionAcquireLease: "lease", ActionReleaseLease: "unlease", ActionStartFill: "fill", ActionAbortFill: "drop fill",
		ActionSet: "set", ActionComplete: "end", ActionForget: "forget", ActionSetTimer: "timer", ActionAnnounceStart: "cold", ActionLog: "log",
	}
	for _, a := range acts {
		switch a.Kind {
		case ActionComplete:
			fmt.Printf("  end %d outcome %d note %d from %d\n", a.Operation, a.Outcome, a.Note, a.CopyFrom)
		case ActionSetTimer:
			fmt.Printf("  timer %d in %v\n", a.Operation, a.Wait.Round(ms/10))
		case ActionLog:
			fmt.Printf("  log %q\n", a.Message)
		case ActionAcquireLease, ActionSet, ActionAnnounceStart:
			fmt.Printf("  %s %d %v\n", words[a.Kind], a.Operation, a.Wait.Round(ms))
		default:
			fmt.Printf("  %s %d\n", words[a.Kind], a.Operation)
		}
	}
}

// A miss is filled by whoever has the lease; a second view of this router joins it, and one of another router's waits.
func ExampleCoordinator() {
	set := plainSet()
	set.Epoch = epoch
	k := New(set, 1, storeS)
	now := time.Second
	tell := func(what string, e Event) {
		fmt.Println(what)
		say(k.Handle(now, &e, nil))
	}
	tell("up", Event{Kind: EventConnected, Endpoint: storeS, RunID: 1, Age: time.Hour})
	ask := Event{Kind: EventRequest, Operation: 1, Endpoint: storeS, Source: parentP, Object: 7, UntilObjective: 400 * ms, UntilDeadline: time.Second}
	tell("a view", ask)
	ask.Operation = 2
	tell("another for the same", ask)
	now += ms / 2
	tell("the store lacks it", Event{Kind: EventGetDone, Operation: 1, Endpoint: storeS, Reply: ReplyMiss, Elapsed: ms / 2})
	now += ms / 2
	tell("the lease is ours", Event{Kind: EventLeaseDone, Operation: 1, Endpoint: storeS, Reply: ReplyOK, Elapsed: ms / 2})
	now += 40 * ms
	tell("the source gives it", Event{Kind: EventFillDone, Operation: 1, Outcome: routing.Succeeded, Note: routing.NoteHit, GeneratedAt: epoch + 500, BodyBytes: 10, Elapsed: 40 * ms})
	now += ms
	tell("it is stored", Event{Kind: EventSetDone, Operation: 1, Endpoint: storeS, Reply: ReplyOK, Elapsed: ms})
	ask.Operation, ask.Object = 3, 8
	tell("a view for another object", ask)
	tell("the store lacks it", Event{Kind: EventGetDone, Operation: 3, Endpoint: storeS, Reply: ReplyMiss, Elapsed: ms / 2})
	tell("another router has the lease", Event{Kind: EventLeaseDone, Operation: 3, Endpoint: storeS, Reply: ReplyLeaseHeld, Elapsed: ms / 2})
	// Output:
	// up
	//   log "store ready"
	// a view
	//   get 1
	//   timer 1 in 25ms
	// another for the same
	//   timer 2 in 150ms
	// the store lacks it
	//   lease 1 150ms
	//   timer 1 in 2ms
	// the lease is ours
	//   fill 1
	// the source gives it
	//   end 1 outcome 1 note 2 from 1
	//   end 2 outcome 1 note 4 from 1
	//   forget 2
	//   set 1 9m59.459s
	//   unlease 1
	// it is stored
	//   forget 1
	// a view for another object
	//   get 3
	//   timer 3 in 2.2ms
	// the store lacks it
	//   lease 3 120ms
	//   timer 3 in 2ms
	// another router has the lease
	//   timer 3 in 80ms
}

// A store that falls silent is passed by after a few views, and tried again at a distance.
func ExampleCoordinator_slow() {
	set := plainSet()
	set.Epoch = epoch
	k := New(set, 1, storeS)
	k.Handle(0, &Event{Kind: EventConnected, Endpoint: storeS, RunID: 1, Age: time.Hour}, nil)
	now := time.Second
	for op := OperationID(1); op <= 8; op++ {
		acts := k.Handle(now, &Event{Kind: EventRequest, Operation: op, Endpoint: storeS, Source: parentP, Object: routing.ObjectID(op), UntilObjective: 400 * ms, UntilDeadline: time.Second}, nil)
		fmt.Println("a view")
		say(acts)
		now += 30 * ms
		for _, a := range acts {
			if a.Kind == ActionSetTimer {
				say(k.Handle(now, &Event{Kind: EventTimer, Operation: a.Operation, TimerID: a.TimerID}, nil))
			}
		}
	}
	// Output:
	// a view
	//   get 1
	//   timer 1 in 25ms
	//   fill 1
	// a view
	//   get 2
	//   timer 2 in 25ms
	//   fill 2
	// a view
	//   get 3
	//   timer 3 in 25ms
	//   fill 3
	// a view
	//   get 4
	//   timer 4 in 25ms
	//   fill 4
	// a view
	//   get 5
	//   timer 5 in 25ms
	//   fill 5
	// a view
	//   get 6
	//   timer 6 in 25ms
	//   timer 0 in 234.4ms
	//   log "store slow"
	//   fill 6
	// a view
	//   fill 7
	// a view
	//   fill 8
}

func BenchmarkHit(b *testing.B) {
	set := plainSet()
	set.Epoch = epoch
	k := New(set, 1, storeS)
	k.Handle(0, &Event{Kind: EventConnected, Endpoint: storeS, RunID: 1, Age: time.Hour}, nil)
	acts := make([]Action, 0, 16)
	now := time.Minute
	op := OperationID(0)
	b.ReportAllocs()
	for b.Loop() {
		op++
		now += 10 * time.Microsecond
		acts = k.Handle(now, &Event{Kind: EventRequest, Operation: op, Endpoint: storeS, Source: parentP, Object: routing.ObjectID(op%1000 + 1), UntilObjective: 400 * ms, UntilDeadline: time.Second}, acts[:0])
		acts = k.Handle(now, &Event{Kind: EventGetDone, Operation: op, Endpoint: storeS, Reply: ReplyHit, GeneratedAt: epoch + 50_000, ValidFrom: epoch + 50_000, Elapsed: 300 * time.Microsecond}, acts[:0])
	}
}
