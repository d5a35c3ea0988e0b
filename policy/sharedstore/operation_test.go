package sharedstore

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// operationScripts are short event sequences for one or two operations. Each word is an event; the suffix 2 directs the
// event to the second operation.
var operationScripts = []string{
	"request hit",
	"request miss acquired filled stored",
	"request broken filled stored",
	"request timeout hit",
	"request timeout miss filled stored",
	"request timeout broken filled",
	"request timeout filled hit",
	"request timeout fillfailed miss",
	"request timeout fillfailed hit",
	"request miss held timeout hit",
	"request miss held timeout miss acquired filled",
	"request miss held timeout broken filled",
	"request miss held timeout timeout filled",
	"request miss broken filled",
	"request miss timeout acquired filled",
	"request miss acquired fillfailed",
	"request denied filled",
	"request cancel miss",
	"request miss acquired cancel",
	"request join miss acquired filled",
	"request join hit",
	"request join cancel hit2",
	"request join miss acquired fillfailed",
	"request join timeout2 hit2",
	"request timeout miss fillfailed",
	"request timeout broken fillfailed",
	"request oom",
	"request old acquired filled",
}

// scriptRunner runs a script and records the actions that follow from each event.
type scriptRunner struct {
	coordinator *Coordinator
	now         time.Duration
	lastCommand map[OperationID]ActionKind
	timers      map[OperationID]uint64
}

func newScriptRunner() *scriptRunner {
	runner := &scriptRunner{
		coordinator: New(testSettings(), 1, testStore),
		now:         5 * time.Second, // later than the generation of every copy in the scripts
		lastCommand: map[OperationID]ActionKind{1: ActionGet, 2: ActionGet},
		timers:      map[OperationID]uint64{},
	}
	connected := Event{Kind: EventConnected, Endpoint: testStore, RunID: 1, Uptime: time.Hour}
	runner.coordinator.Handle(runner.now, &connected, nil)
	for range 20 {
		runner.coordinator.fillTime.add(40 * ms)
	}
	return runner
}

// runScript runs a script and returns its trace: each event with the actions that follow from it.
func runScript(script string) string {
	runner := newScriptRunner()
	var trace []string
	for word := range strings.FieldsSeq(script) {
		runner.now += ms
		id := OperationID(1)
		if first, isSecond := strings.CutSuffix(word, "2"); isSecond {
			word, id = first, 2
		}
		event := runner.event(word, id)
		actions := runner.coordinator.Handle(runner.now, &event, nil)
		trace = append(trace, strings.TrimSpace(word+": "+runner.record(actions)))
	}
	return strings.Join(trace, "; ")
}

func (r *scriptRunner) event(word string, id OperationID) Event {
	switch word {
	case "request":
		return requestEvent(id)
	case "join":
		return requestEvent(2)
	case "timeout":
		return Event{Kind: EventTimer, Operation: id, TimerID: r.timers[id]}
	case "filled":
		return Event{
			Kind: EventFillDone, Operation: id, Outcome: routing.Succeeded, GeneratedAt: epoch + 3000, BodyBytes: 9,
			Elapsed: 40 * ms,
		}
	case "fillfailed":
		return Event{
			Kind: EventFillDone, Operation: id, Outcome: routing.CacheMiss, Note: routing.NoteSourceMiss, Elapsed: 4 * ms,
		}
	case "cancel":
		return Event{Kind: EventCancel, Operation: id}
	}
	return r.replyEvent(word, id)
}

func requestEvent(id OperationID) Event {
	return Event{
		Kind: EventRequest, Operation: id, Endpoint: testStore, Source: testParent, Object: 7, UntilObjective: 400 * ms,
		UntilDeadline: time.Second,
	}
}

// replyEvent returns the reply to the operation's last command.
func (r *scriptRunner) replyEvent(word string, id OperationID) Event {
	event := Event{Kind: EventGetDone, Operation: id, Endpoint: testStore, Elapsed: ms}
	switch r.lastCommand[id] {
	case ActionAcquireLease:
		event.Kind = EventLeaseDone
	case ActionSet:
		event.Kind = EventSetDone
	default:
	}
	switch word {
	case "hit":
		event.Reply, event.GeneratedAt, event.ValidFrom = ReplyHit, epoch+3000, epoch+3000
	case "old":
		event.Reply, event.GeneratedAt, event.ValidFrom = ReplyHit, epoch-9000, epoch-9000
	case "miss":
		event.Reply = ReplyMiss
	case "broken":
		event.Reply = ReplyDisconnected
	case "oom":
		event.Reply = ReplyOutOfMemory
	case "denied":
		event.Reply = ReplyDenied
	case "acquired":
		event.Kind, event.Reply = EventLeaseDone, ReplyOK
	case "held":
		event.Reply = ReplyLeaseHeld
	case "stored":
		event.Kind, event.Reply = EventSetDone, ReplyOK
	default:
		panic("unknown word " + word)
	}
	return event
}

// record stores the last commands and timers, and returns the names of the actions.
func (r *scriptRunner) record(actions []Action) string {
	names := [...]string{
		ActionGet: "get", ActionAcquireLease: "lease", ActionReleaseLease: "release", ActionStartFill: "fill",
		ActionAbortFill: "abort", ActionSet: "set", ActionForget: "forget", ActionAnnounceStart: "announce",
	}
	var done []string
	for i := range actions {
		action := &actions[i]
		var name string
		switch action.Kind {
		case ActionSetTimer:
			r.timers[action.Operation] = action.TimerID
			continue
		case ActionLog:
			continue
		case ActionComplete:
			name = fmt.Sprintf("complete(%d,%d)", action.Outcome, action.Note)
		case ActionGet, ActionAcquireLease, ActionSet:
			r.lastCommand[action.Operation] = action.Kind
			name = names[action.Kind]
		default:
			name = names[action.Kind]
		}
		if action.Operation != 1 {
			name += fmt.Sprint(action.Operation)
		}
		done = append(done, name)
	}
	return strings.Join(done, " ")
}

// The traces of the scripts, which together use every transition of an operation.
func Example_operations() {
	for _, script := range operationScripts {
		fmt.Println(runScript(script))
	}
	// Output:
	// request: get; hit: complete(1,1) forget
	// request: get; miss: lease; acquired: fill; filled: complete(1,2) set release; stored: forget
	// request: get; broken: fill; filled: complete(1,2) set; stored: forget
	// request: get; timeout: fill; hit: complete(1,1) abort forget
	// request: get; timeout: fill; miss:; filled: complete(1,2) set; stored: forget
	// request: get; timeout: fill; broken:; filled: complete(1,2) set
	// request: get; timeout: fill; filled: complete(1,2) set; hit: forget
	// request: get; timeout: fill; fillfailed:; miss: complete(9,8) forget
	// request: get; timeout: fill; fillfailed:; hit: complete(1,1) forget
	// request: get; miss: lease; held:; timeout: get; hit: complete(1,4) forget
	// request: get; miss: lease; held:; timeout: get; miss: lease; acquired: fill; filled: complete(1,4) set release
	// request: get; miss: lease; held:; timeout: get; broken: fill; filled: complete(1,4) set
	// request: get; miss: lease; held:; timeout: get; timeout: fill; filled: complete(1,4) set
	// request: get; miss: lease; broken: fill; filled: complete(1,2) set
	// request: get; miss: lease; timeout: fill; acquired:; filled: complete(1,2) set release
	// request: get; miss: lease; acquired: fill; fillfailed: release complete(9,8) forget
	// request: get; denied: fill; filled: complete(1,2) forget
	// request: get; cancel: forget; miss:
	// request: get; miss: lease; acquired: fill; cancel: abort release forget
	// request: get; join:; miss: lease; acquired: fill; filled: complete(1,2) complete(1,4)2 forget2 set release
	// request: get; join:; hit: complete(1,1) complete(1,4)2 forget2 forget
	// request: get; join:; cancel: get2 forget; hit: complete(1,1)2 forget2
	// request: get; join:; miss: lease; acquired: fill; fillfailed: release complete(9,8) complete(9,8)2 forget2 forget
	// request: get; join:; timeout: get2; hit: complete(1,1)2 forget2
	// request: get; timeout: fill; miss:; fillfailed: complete(9,8) forget
	// request: get; timeout: fill; broken:; fillfailed: complete(9,8) forget
	// request: get; oom: fill
	// request: get; old: lease; acquired: fill; filled: complete(1,2) set release
}

// Each transition is covered by a trace: without the transition, at least one trace differs.
func TestTracesCoverTransitions(t *testing.T) {
	want := make([]string, len(operationScripts))
	for i, script := range operationScripts {
		want[i] = runScript(script)
	}
	differs := func() bool {
		for i, script := range operationScripts {
			if runScript(script) != want[i] {
				return true
			}
		}
		return false
	}
	for state := range operationTransitions {
		for input, original := range operationTransitions[state] {
			if original == (transition{}) {
				continue
			}
			operationTransitions[state][input] = transition{}
			if !differs() {
				t.Errorf("state %d, input %d: no trace differs without the transition", state, input)
			}
			operationTransitions[state][input] = original
		}
	}
}
