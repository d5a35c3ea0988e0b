package sharedstore

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// ways are short lives of one leg, as words: each is an event, and the trace says what is done at once.
var ways = []string{
	"ask hit", "ask miss took filled stored", "ask failed filled stored", "ask late hit", "ask late miss filled stored",
	"ask late failed filled", "ask late filled hit", "ask late unfit miss", "ask late unfit hit", "ask miss taken late hit",
	"ask miss taken late miss took filled", "ask miss taken late failed filled", "ask miss taken late late filled",
	"ask miss failed filled", "ask miss late took filled", "ask miss took unfit", "ask refused filled", "ask cancel miss",
	"ask miss took cancel", "ask join miss took filled", "ask join hit", "ask join cancel hit2", "ask join miss took unfit", "ask join late2 hit2",
	"ask late miss unfit", "ask late failed unfit", "ask full", "ask old took filled",
}

// walk plays one of them and returns what was done, event by event.
func walk(way string) string {
	set := plainSet()
	set.Epoch = epoch
	k := New(set, 1, storeS)
	now := 5 * time.Second // no copy below is stamped later
	k.Handle(now, &Event{Kind: EventConnected, Endpoint: storeS, RunID: 1, Age: time.Hour}, nil)
	for range 20 {
		k.fillTime.add(40 * ms)
	}
	turns := map[OperationID]uint64{}
	var out []string
	stage := map[OperationID]ActionKind{1: ActionGet, 2: ActionGet}
	for word := range strings.FieldsSeq(way) {
		now += ms
		op := OperationID(1)
		if w, second := strings.CutSuffix(word, "2"); second {
			word, op = w, 2
		}
		e := Event{Operation: op, Endpoint: storeS, Elapsed: ms, Kind: EventGetDone}
		switch stage[op] {
		case ActionAcquireLease:
			e.Kind = EventLeaseDone
		case ActionSet:
			e.Kind = EventSetDone
		}
		switch word {
		case "ask", "join":
			if word == "join" {
				e.Operation = 2
			}
			e = Event{Kind: EventRequest, Operation: e.Operation, Endpoint: storeS, Source: parentP, Object: 7, UntilObjective: 400 * ms, UntilDeadline: time.Second}
		case "hit":
			e.Reply, e.GeneratedAt, e.ValidFrom = ReplyHit, epoch+3000, epoch+3000
		case "old":
			e.Reply, e.GeneratedAt, e.ValidFrom = ReplyHit, epoch-9000, epoch-9000
		case "miss":
			e.Reply = ReplyMiss
		case "failed":
			e.Reply = ReplyDisconnected
		case "full":
			e.Reply = ReplyOutOfMemory
		case "refused":
			e.Reply = ReplyDenied
		case "took":
			e.Kind, e.Reply = EventLeaseDone, ReplyOK
		case "taken":
			e.Reply = ReplyLeaseHeld
		case "stored":
			e.Kind, e.Reply = EventSetDone, ReplyOK
		case "late":
			e = Event{Kind: EventTimer, Operation: op, TimerID: turns[op]}
		case "filled":
			e = Event{Kind: EventFillDone, Operation: op, Outcome: routing.Succeeded, GeneratedAt: epoch + 3000, BodyBytes: 9, Elapsed: 40 * ms}
		case "unfit":
			e = Event{Kind: EventFillDone, Operation: op, Outcome: routing.CacheMiss, Note: routing.NoteSourceMiss, Elapsed: 4 * ms}
		case "cancel":
			e = Event{Kind: EventCancel, Operation: op}
		}
		var done []string
		for _, a := range k.Handle(now, &e, nil) {
			switch a.Kind {
			case ActionSetTimer:
				turns[a.Operation] = a.TimerID
				continue
			case ActionGet, ActionAcquireLease, ActionSet:
				stage[a.Operation] = a.Kind
			case ActionLog:
				continue
			}
			what := [...]string{
				ActionGet: "get", ActionAcquireLease: "lease", ActionReleaseLease: "unlease", ActionStartFill: "fill",
				ActionAbortFill: "drop", ActionSet: "set", ActionForget: "forget", ActionAnnounceStart: "cold",
				ActionComplete: fmt.Sprintf("end(%d,%d)", a.Outcome, a.Note),
			}[a.Kind]
			if a.Operation != 1 {
				what += fmt.Sprint(a.Operation)
			}
			done = append(done, what)
		}
		out = append(out, strings.TrimSpace(word+": "+strings.Join(done, " ")))
	}
	return strings.Join(out, "; ")
}

// Every life that a leg to a store can have, but for what chance adds.
func Example_ways() {
	for _, w := range ways {
		fmt.Println(walk(w))
	}
	// Output:
	// ask: get; hit: end(1,1) forget
	// ask: get; miss: lease; took: fill; filled: end(1,2) set unlease; stored: forget
	// ask: get; failed: fill; filled: end(1,2) set; stored: forget
	// ask: get; late: fill; hit: end(1,1) drop forget
	// ask: get; late: fill; miss:; filled: end(1,2) set; stored: forget
	// ask: get; late: fill; failed:; filled: end(1,2) set
	// ask: get; late: fill; filled: end(1,2) set; hit: forget
	// ask: get; late: fill; unfit:; miss: end(9,8) forget
	// ask: get; late: fill; unfit:; hit: end(1,1) forget
	// ask: get; miss: lease; taken:; late: get; hit: end(1,4) forget
	// ask: get; miss: lease; taken:; late: get; miss: lease; took: fill; filled: end(1,4) set unlease
	// ask: get; miss: lease; taken:; late: get; failed: fill; filled: end(1,4) set
	// ask: get; miss: lease; taken:; late: get; late: fill; filled: end(1,4) set
	// ask: get; miss: lease; failed: fill; filled: end(1,2) set
	// ask: get; miss: lease; late: fill; took:; filled: end(1,2) set unlease
	// ask: get; miss: lease; took: fill; unfit: unlease end(9,8) forget
	// ask: get; refused: fill; filled: end(1,2) forget
	// ask: get; cancel: forget; miss:
	// ask: get; miss: lease; took: fill; cancel: drop unlease forget
	// ask: get; join:; miss: lease; took: fill; filled: end(1,2) end(1,4)2 forget2 set unlease
	// ask: get; join:; hit: end(1,1) end(1,4)2 forget2 forget
	// ask: get; join:; cancel: get2 forget; hit: end(1,1)2 forget2
	// ask: get; join:; miss: lease; took: fill; unfit: unlease end(9,8) end(9,8)2 forget2 forget
	// ask: get; join:; late: get2; hit: end(1,1)2 forget2
	// ask: get; late: fill; miss:; unfit: end(9,8) forget
	// ask: get; late: fill; failed:; unfit: end(9,8) forget
	// ask: get; full: fill
	// ask: get; old: lease; took: fill; filled: end(1,2) set unlease
}

// Each entry of the stages shows in some trace: with any one of them not heard, one of the traces is another.
func TestTracesSeeStages(t *testing.T) {
	var want []string
	for _, w := range ways {
		want = append(want, walk(w))
	}
	for s := range operationTransitions {
		for in := range operationTransitions[s] {
			was := operationTransitions[s][in]
			if was == (transition{}) {
				continue
			}
			operationTransitions[s][in] = transition{}
			seen := false
			for i, w := range ways {
				seen = seen || walk(w) != want[i]
			}
			operationTransitions[s][in] = was
			if !seen {
				t.Errorf("stage %d, input %d: no trace sees that it is not heard", s, in)
			}
		}
	}
}
